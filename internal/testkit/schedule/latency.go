package schedule

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and resolution of a Latency.
const (
	minLatency        = 10 * time.Microsecond
	maxLatency        = 10 * time.Minute
	significantDigits = 3 // a resolution of about 0.1 %
)

// Latency is a histogram of latencies. Merging two histograms loses no precision, which averaging their percentiles would. It
// is not safe for concurrent use.
type Latency struct{ histogram *hdrhistogram.Histogram }

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)}
}

// Record counts one latency. A latency outside the histogram's range is counted as minLatency or maxLatency.
func (l *Latency) Record(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d, minLatency), maxLatency).Microseconds()) // an error means out of range, which can't happen here
}

// Merge adds the counts of another histogram to this one.
func (l *Latency) Merge(other *Latency) { l.histogram.Merge(other.histogram) }

// Count returns how many latencies were recorded.
func (l *Latency) Count() int64 { return l.histogram.TotalCount() }

// At returns the latency that the given fraction of all recorded latencies did not exceed: the median for 0.5, the
// 99th percentile for 0.99. It returns 0 if none was recorded.
func (l *Latency) At(fraction float64) time.Duration {
	if l.Count() == 0 {
		return 0
	}
	return time.Duration(l.histogram.ValueAtQuantile(fraction*100)) * time.Microsecond
}

// Most returns the highest latency recorded, or 0 if there is none.
func (l *Latency) Most() time.Duration { return time.Duration(l.histogram.Max()) * time.Microsecond }
