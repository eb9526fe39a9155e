package schedule

import (
	"encoding/json"
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MarshalJSON implements json.Marshaler. It encodes the complete histogram as a string, in HdrHistogram's compressed format V2
// with base64.
func (l *LatencyHistogram) MarshalJSON() ([]byte, error) {
	text, err := l.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	return json.Marshal(string(text))
}

// UnmarshalJSON implements json.Unmarshaler. It rejects a histogram with another range or resolution than NewLatencyHistogram's, since
// the two could not be merged exactly.
func (l *LatencyHistogram) UnmarshalJSON(text []byte) (err error) {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	defer func() { // hdrhistogram.Decode doesn't validate the lengths in its input and panics if they are wrong
		if r := recover(); r != nil {
			err = fmt.Errorf("latency: %v", r)
		}
	}()
	h, err := hdrhistogram.Decode([]byte(s))
	if err != nil {
		return fmt.Errorf("latency: %w", err)
	}
	want := NewLatencyHistogram().histogram
	if h.HighestTrackableValue() != want.HighestTrackableValue() || h.LowestTrackableValue() != want.LowestTrackableValue() ||
		h.SignificantFigures() != significantDigits {
		return fmt.Errorf("latency: the range is not %v to %v with %d significant digits", minLatency, maxLatency, significantDigits)
	}
	l.histogram = h
	return nil
}
