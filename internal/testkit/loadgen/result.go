package loadgen

import (
	"fmt"
	"strconv"
	"time"

	"tuliprock/internal/testkit/schedule"
)

// Result holds the measurements of a run, or of several runs that were merged.
type Result struct {
	Options      Options       // options of the run; the zero value in a result that Read has decoded
	Runs         int           // number of runs that the result holds: 1 unless results were merged
	SendDuration time.Duration // time during which requests were sent; in a merged result, the longest of all runs

	Scheduled int64 // number of requests that were due during the run, sent or not
	NotSent   int64 // number of requests that were not sent, since all connections were in use
	Resent    int64 // number of requests that the transport sent again, since a reused connection had been closed

	// LatencyByOutcome holds the times from a request's due instant to its end, by HTTP status ("200"), or by Response.Failure
	// for requests without a complete response.
	LatencyByOutcome map[string]*schedule.LatencyHistogram
	Latency          *schedule.LatencyHistogram // times from a request's due instant to its complete response, whatever the status
	ServiceTime      *schedule.LatencyHistogram // times from the writing of a request to its complete response
	SendLateness     *schedule.LatencyHistogram // times by which the generator wrote requests later than they were due
	Seconds          []Second                   // measurements of the requests that were due in each second of the run; Seconds[0] is for the first second

	Interrupted   bool   // whether the run was ended before Options.Duration had passed
	InvalidReason string // reason why the generator was too slow to measure the server; empty if the measurements are valid
}

// CountByOutcome returns the number of requests by HTTP status, or by Response.Failure for requests without a complete response.
func (r *Result) CountByOutcome() map[string]int64 {
	counts := make(map[string]int64, len(r.LatencyByOutcome))
	for outcome, l := range r.LatencyByOutcome {
		counts[outcome] = l.Count()
	}
	return counts
}

// Second holds the measurements of the requests that were due during one second of a run.
type Second struct {
	Scheduled int64                      // number of requests that were due, sent or not
	NotSent   int64                      // number of requests that were due but not sent, since all connections were in use
	Latency   *schedule.LatencyHistogram // times from a request's due instant to its complete response, whatever the status
}

func newResult(o Options) *Result {
	r := &Result{Options: o, Runs: 1, LatencyByOutcome: map[string]*schedule.LatencyHistogram{}, Latency: schedule.NewLatencyHistogram(),
		ServiceTime: schedule.NewLatencyHistogram(), SendLateness: schedule.NewLatencyHistogram()}
	return r
}

// secondAt returns the measurements of the second that contains an instant of the run, and appends seconds up to it as needed.
func (r *Result) secondAt(instant time.Duration) *Second {
	for int(instant/time.Second) >= len(r.Seconds) {
		r.Seconds = append(r.Seconds, Second{Latency: schedule.NewLatencyHistogram()})
	}
	return &r.Seconds[instant/time.Second]
}

// countNotSent counts a request that was due at an instant of the run and was not sent.
func (r *Result) countNotSent(instant time.Duration) {
	r.Scheduled++
	r.NotSent++
	s := r.secondAt(instant)
	s.Scheduled++
	s.NotSent++
}

// record counts a request that was sent and has ended at endedAt. instant is the time from the start of the run to due.
func (r *Result) record(instant time.Duration, due, endedAt time.Time, response Response) {
	r.Scheduled++
	s := r.secondAt(instant)
	s.Scheduled++
	if !response.WrittenAt.IsZero() {
		r.SendLateness.Record(response.WrittenAt.Sub(due))
	}
	if response.WasResent {
		r.Resent++
	}
	outcome := response.Failure
	if response.Status != 0 {
		outcome = strconv.Itoa(response.Status)
		s.Latency.Record(endedAt.Sub(due))
		r.Latency.Record(endedAt.Sub(due))
		if !response.WrittenAt.IsZero() {
			r.ServiceTime.Record(endedAt.Sub(response.WrittenAt))
		}
	}
	if r.LatencyByOutcome[outcome] == nil {
		r.LatencyByOutcome[outcome] = schedule.NewLatencyHistogram()
	}
	r.LatencyByOutcome[outcome].Record(endedAt.Sub(due))
}

// checkSendLateness sets r.InvalidReason if the p99 of SendLateness exceeds Options.MaxSendLateness.
func (r *Result) checkSendLateness() {
	if p99 := r.SendLateness.Quantile(0.99); p99 > r.Options.MaxSendLateness {
		r.InvalidReason = fmt.Sprintf("the generator itself was late by %v (p99), %v are allowed: this machine, not the server, is the limit", p99.Round(10*time.Microsecond), r.Options.MaxSendLateness)
	}
}
