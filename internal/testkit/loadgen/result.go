package loadgen

import (
	"fmt"
	"strconv"
	"time"

	"tuliprock/internal/testkit/schedule"
)

// Result is what a run showed.
type Result struct {
	Options Options
	Runs    int           // joined into this one
	Sent    time.Duration // for which requests were sent

	Due, NotSent, Resent int64                        // NotSent: for lack of connections
	Latency              map[string]*schedule.Latency // from when each request was due to its end, by status or by why there is none
	All                  *schedule.Latency            // of whole answers
	Service              *schedule.Latency            // of the same, from the first byte written
	SendLateness         *schedule.Latency            // our own lateness: from when a request was due to its first byte
	Seconds              []Second

	Interrupted bool
	Invalid     string // why the figures are ours and not the server's; empty: they aren't
}

// Ended counts requests by status or by why there is none.
func (r *Result) Ended() map[string]int64 {
	out := make(map[string]int64, len(r.Latency))
	for name, l := range r.Latency {
		out[name] = l.Count()
	}
	return out
}

// Second is one second of a run, by when requests were due.
type Second struct {
	Due, NotSent int64
	Latency      *schedule.Latency // of whole answers
}

func newResult(o Options) *Result {
	r := &Result{Options: o, Runs: 1, Latency: map[string]*schedule.Latency{}, All: schedule.NewLatency(),
		Service: schedule.NewLatency(), SendLateness: schedule.NewLatency()}
	return r
}

// second is that of an instant. There are as many as the run is long.
func (r *Result) second(at time.Duration) *Second {
	for int(at/time.Second) >= len(r.Seconds) {
		r.Seconds = append(r.Seconds, Second{Latency: schedule.NewLatency()})
	}
	return &r.Seconds[at/time.Second]
}

func (r *Result) notSent(at time.Duration) {
	r.Due++
	r.NotSent++
	s := r.second(at)
	s.Due++
	s.NotSent++
}

// take counts a request that has ended.
func (r *Result) take(at time.Duration, due, done time.Time, a Response) {
	r.Due++
	s := r.second(at)
	s.Due++
	if !a.Wrote.IsZero() {
		r.SendLateness.Record(a.Wrote.Sub(due))
	}
	if a.Resent {
		r.Resent++
	}
	name := a.Failed
	if a.Status != 0 {
		name = strconv.Itoa(a.Status)
		s.Latency.Record(done.Sub(due))
		r.All.Record(done.Sub(due))
		if !a.Wrote.IsZero() {
			r.Service.Record(done.Sub(a.Wrote))
		}
	}
	if r.Latency[name] == nil {
		r.Latency[name] = schedule.NewLatency()
	}
	r.Latency[name].Record(done.Sub(due))
}

// judge says whether the figures are the server's.
func (r *Result) judge() {
	if late := r.SendLateness.At(0.99); late > r.Options.MaxSendLateness {
		r.Invalid = fmt.Sprintf("the generator itself was late by %v (p99), %v are allowed: this machine, not the server, is the limit", late.Round(10*time.Microsecond), r.Options.MaxSendLateness)
	}
}
