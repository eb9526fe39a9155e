package schedule

import (
	"encoding/json"
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// MarshalJSON implements json.Marshaler: the whole distribution, in HdrHistogram's own compressed form (V2, base64).
func (l *Latency) MarshalJSON() ([]byte, error) {
	text, err := l.h.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("latency: %w", err)
	}
	return json.Marshal(string(text))
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Latency) UnmarshalJSON(text []byte) (err error) {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	defer func() { // the decoder trusts lengths that it reads
		if r := recover(); r != nil {
			err = fmt.Errorf("latency: %v", r)
		}
	}()
	h, err := hdrhistogram.Decode([]byte(s))
	if err != nil {
		return fmt.Errorf("latency: %w", err)
	}
	whole := NewLatency()
	if h.HighestTrackableValue() != whole.h.HighestTrackableValue() || h.LowestTrackableValue() != whole.h.LowestTrackableValue() || h.SignificantFigures() != digits {
		return fmt.Errorf("latency: another range than from %v to %v", leastLatency, mostLatency)
	}
	l.h = h
	return nil
}
