// Package loadgen sends requests at the instants at which they are due, whatever became of the ones before, and counts
// latency from those instants: a server that stalls must not hide its own queue (Tene, "How NOT to Measure Latency").
package loadgen

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"tuliprock/internal/testkit/schedule"
)

// Sender makes one request. It is called from many goroutines at once.
type Sender interface {
	// Send sends request n and returns when its answer has come whole, or can't come any more, at the latest when ctx ends.
	Send(ctx context.Context, n int64) Response
}

// Response is what became of a request.
type Response struct {
	Wrote  time.Time // its first byte; zero: none was
	Status int       // 0: no whole answer came
	Failed string    // why not, in one of a few words
	Resent bool      // sent again by itself, since a kept connection had ended
}

// What a request without a whole answer failed of.
const (
	FailedDial    = "not connected"
	FailedTimeout = "out of time"
	FailedBroken  = "broken off"
)

// Options say what is sent. Zero values are not legal but where said.
type Options struct {
	Process         schedule.Process
	Seed            uint64
	Duration        time.Duration
	ResponseTimeout time.Duration // for an answer, from when the request was due
	Connections     int           // requests out at once, each on a connection of its own; those beyond are not sent
	MaxSendLateness time.Duration // p99 of our own lateness from which a run is not valid; 0: 10 ms
}

// defaultLate is the generator's own lateness that still leaves latencies of tens of milliseconds what they are.
const defaultLate = 10 * time.Millisecond

// Run sends the load until it is over or ctx ends, and waits for the answers that are still due. The result is that of
// what was sent. Memory is bounded by Connections and by the length of the run in seconds.
func Run(ctx context.Context, o Options, send Sender) (*Result, error) {
	stream, err := schedule.NewStream(rand.New(rand.NewPCG(o.Seed, 0x6c6f6164)), o.Process)
	switch {
	case err != nil:
		return nil, err
	case o.Duration <= 0 || o.ResponseTimeout <= 0 || o.Connections <= 0:
		return nil, errors.New("length, time to wait and connections must be over 0")
	}
	if o.MaxSendLateness == 0 {
		o.MaxSendLateness = defaultLate
	}
	r := newResult(o)
	var mu sync.Mutex // r
	var busy sync.WaitGroup
	slots := make(chan struct{}, o.Connections)
	start := time.Now()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n := int64(0); ; n++ {
		at, ok := stream.Next(o.Duration)
		if !ok || !wait(ctx, timer, start.Add(at)) {
			break
		}
		due := start.Add(at)
		select {
		case slots <- struct{}{}:
		default:
			mu.Lock()
			r.notSent(at)
			mu.Unlock()
			continue
		}
		busy.Go(func() {
			defer func() { <-slots }()
			out, cancel := context.WithDeadline(context.Background(), due.Add(o.ResponseTimeout))
			defer cancel()
			a := send.Send(out, n)
			done := time.Now()
			mu.Lock()
			defer mu.Unlock()
			r.take(at, due, done, a)
		})
	}
	r.Sent = min(time.Since(start), o.Duration)
	r.Interrupted = ctx.Err() != nil
	busy.Wait()
	r.judge()
	return r, nil
}

// wait passes the time until an instant; it is false if ctx ends before.
func wait(ctx context.Context, timer *time.Timer, until time.Time) bool {
	if d := time.Until(until); d > 0 {
		timer.Reset(d)
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
	}
	return ctx.Err() == nil
}
