package schedule

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and resolution of every LatencyHistogram. Latencies outside the range are counted as the nearest bound.
const (
	minLatency        = 10 * time.Microsecond
	maxLatency        = 10 * time.Minute
	significantDigits = 3 // decimal digits to which latencies are exact, which makes a resolution of about 0.1 %
)

// LatencyHistogram counts latencies by their duration. Merging two histograms loses no precision, which averaging their
// percentiles would. It is not safe for concurrent use.
type LatencyHistogram struct{ histogram *hdrhistogram.Histogram }

// NewLatencyHistogram returns an empty histogram for latencies from 10 µs to 10 min.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)}
}

// Record counts one latency. A latency outside the histogram's range is counted as minLatency or maxLatency.
func (l *LatencyHistogram) Record(d time.Duration) {
	_ = l.histogram.RecordValue(min(max(d, minLatency), maxLatency).Microseconds()) // RecordValue fails only for a value out of range, which min and max exclude
}

// Merge adds the counts of another histogram to this one.
func (l *LatencyHistogram) Merge(other *LatencyHistogram) { l.histogram.Merge(other.histogram) }

// Count returns how many latencies were recorded.
func (l *LatencyHistogram) Count() int64 { return l.histogram.TotalCount() }

// Quantile returns the latency that the given fraction of all recorded latencies did not exceed: the median for 0.5, the
// 99th percentile for 0.99. It returns 0 if no latency was recorded.
func (l *LatencyHistogram) Quantile(fraction float64) time.Duration {
	if l.Count() == 0 {
		return 0
	}
	return time.Duration(l.histogram.ValueAtQuantile(fraction*100)) * time.Microsecond
}

// Max returns the highest latency recorded, within the histogram's resolution.
func (l *LatencyHistogram) Max() time.Duration {
	return time.Duration(l.histogram.Max()) * time.Microsecond
}
