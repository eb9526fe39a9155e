package schedule

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// What a Latency can tell apart: from 10 microseconds to ten minutes, to three digits (about 0.1%).
const (
	leastLatency = 10 * time.Microsecond
	mostLatency  = 10 * time.Minute
	digits       = 3
)

// Latency is a distribution of latencies. Distributions merge exactly; percentiles are never averaged. It is not safe
// for concurrent use.
type Latency struct{ h *hdrhistogram.Histogram }

// NewLatency makes an empty distribution.
func NewLatency() *Latency {
	return &Latency{hdrhistogram.New(leastLatency.Microseconds(), mostLatency.Microseconds(), digits)}
}

// Record counts one latency. What lies outside the range counts as its nearer end.
func (l *Latency) Record(d time.Duration) {
	_ = l.h.RecordValue(min(max(d, leastLatency), mostLatency).Microseconds()) // in range: no error
}

// Merge adds another distribution.
func (l *Latency) Merge(o *Latency) { l.h.Merge(o.h) }

// Count is how many latencies were counted.
func (l *Latency) Count() int64 { return l.h.TotalCount() }

// At is the latency that the given share of all (0.99, say) did not pass; 0 if none was counted.
func (l *Latency) At(share float64) time.Duration {
	if l.Count() == 0 {
		return 0
	}
	return time.Duration(l.h.ValueAtQuantile(share*100)) * time.Microsecond
}

// Most is the highest latency counted.
func (l *Latency) Most() time.Duration { return time.Duration(l.h.Max()) * time.Microsecond }
