// Package loadgen is an open-loop load generator: it sends each request at the instant at which it is due, whatever the outcome
// of earlier requests, and measures latency from that instant. A closed loop would send less while the server stalls, and so
// miss the time that requests would have waited (Tene, "How NOT to Measure Latency").
package loadgen

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"tuliprock/internal/testkit/schedule"
)

// Sender sends the requests of a run. Run calls Send from several goroutines at the same time.
type Sender interface {
	// Send sends request number n, counted from 0. It returns when the response is complete or the request has failed, at the latest
	// when ctx is done.
	Send(ctx context.Context, n int64) Response
}

// Response says how a request ended, with or without a complete response.
type Response struct {
	WrittenAt time.Time // instant at which the request was written to a connection; zero if the request was not written
	Status    int       // HTTP status of the complete response; 0 if there is none
	Failure   string    // one of the Failure constants if there is no complete response, else empty
	WasResent bool      // whether the transport sent the request again, since a reused connection had been closed
}

// Reasons why a request got no complete response. They are keys of Result.LatencyByOutcome.
const (
	FailureNotConnected = "not connected" // no connection to the server could be opened
	FailureTimeout      = "out of time"   // Options.ResponseTimeout passed before the response was complete
	FailureBrokenOff    = "broken off"    // the exchange failed after a connection was opened
)

// Options configure a run. Every field must be set unless its comment gives a default.
type Options struct {
	Process         schedule.Process // arrival process of the requests
	Seed            uint64           // seed of the instants at which requests are due; may be 0
	Duration        time.Duration    // time during which requests are sent
	ResponseTimeout time.Duration    // longest time from a request's due instant to the end of its response
	Connections     int              // highest number of requests in flight, each on its own connection; requests that become due while so many are in flight are not sent
	MaxSendLateness time.Duration    // p99 of Result.SendLateness above which the result is invalid; 0: defaultMaxSendLateness
}

// defaultMaxSendLateness is the p99 of Result.SendLateness above which a result is invalid if Options.MaxSendLateness is 0. It is
// short enough for latencies of tens of milliseconds to be measured.
const defaultMaxSendLateness = 10 * time.Millisecond

// randStream is the second half of the random generator's seed, so that the schedule differs from other random numbers that are drawn
// with the same Options.Seed. Its value is "load" in ASCII.
const randStream = 0x6c6f6164

// Run sends requests until Options.Duration has passed or ctx is done, and then waits for the responses of the requests in flight. The
// result covers all requests that were due before sending ended. Memory use grows with Options.Connections and with the number of
// seconds of the run, but not with the number of requests.
func Run(ctx context.Context, o Options, sender Sender) (*Result, error) {
	stream, err := schedule.NewStream(rand.New(rand.NewPCG(o.Seed, randStream)), o.Process)
	switch {
	case err != nil:
		return nil, err
	case o.Duration <= 0 || o.ResponseTimeout <= 0 || o.Connections <= 0:
		return nil, errors.New("duration, response timeout and connections must be over 0")
	}
	if o.MaxSendLateness == 0 {
		o.MaxSendLateness = defaultMaxSendLateness
	}
	result := newResult(o)
	var mu sync.Mutex // guards result
	var inFlight sync.WaitGroup
	slots := make(chan struct{}, o.Connections)
	start := time.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n := int64(0); ; n++ {
		instant, ok := stream.Next(o.Duration)
		if !ok || !waitUntil(ctx, timer, start.Add(instant)) {
			break
		}
		due := start.Add(instant)
		select {
		case slots <- struct{}{}:
		default:
			mu.Lock()
			result.countNotSent(instant)
			mu.Unlock()
			continue
		}
		inFlight.Go(func() {
			defer func() { <-slots }()
			// The context is not derived from ctx, since an interrupted run still waits for the responses of its requests in flight.
			requestCtx, cancel := context.WithDeadline(context.Background(), due.Add(o.ResponseTimeout))
			defer cancel()
			response := sender.Send(requestCtx, n)
			endedAt := time.Now()
			mu.Lock()
			defer mu.Unlock()
			result.record(instant, due, endedAt, response)
		})
	}
	result.SendDuration = min(time.Since(start), o.Duration)
	result.Interrupted = ctx.Err() != nil
	inFlight.Wait()
	result.checkSendLateness()
	return result, nil
}

// waitUntil waits until an instant and returns true, or returns false as soon as ctx is done. It resets timer, which must have no
// other use.
func waitUntil(ctx context.Context, timer *time.Timer, instant time.Time) bool {
	if d := time.Until(instant); d > 0 {
		timer.Reset(d)
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	return ctx.Err() == nil
}
