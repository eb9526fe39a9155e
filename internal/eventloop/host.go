package eventloop

import (
	"context"
	"slices"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/upstream"
)

// host carries out what the module decides. It runs on the loop's goroutine, blocks on nothing and does not call the module
// back: what the module is to be notified of is deferred to the end of the event.
type host struct{ *Loop }

var _ balance.Host = host{}

// Send implements balance.Host.
func (h host) Send(id, endpoint string, timeout time.Duration) {
	c := h.calls[id]
	if c == nil {
		return // no request of this loop: there is nothing to report either
	}
	o := balance.Outcome{ID: id, Attempt: len(c.cancelAttempts), Endpoint: endpoint}
	sent := h.clock.now()
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, max(c.Deadline, c.StreamUntil)-sent))
	c.cancelAttempts = append(c.cancelAttempts, cancel)
	c.attemptsInFlight++
	if c.isFinished.Load() {
		o.Result = balance.NotSent
		h.deferred = append(h.deferred, func(now time.Duration) { h.attemptEnded(now, c, o, sent, upstream.Response{}) })
		return
	}
	hooks := h.attemptHooks(c, o.Attempt)
	go func() {
		var a upstream.Response
		o.Result, o.ReusedConnection, a = h.upstream.Attempt(ctx, endpoint, c.Message, hooks)
		cancel()
		h.Post(func(now time.Duration) { h.attemptEnded(now, c, o, sent, a) })
	}()
}

// Cancel implements balance.Host.
func (h host) Cancel(id string, n int) {
	if c := h.calls[id]; c != nil && n >= 0 && n < len(c.cancelAttempts) {
		c.cancelAttempts[n]()
	}
}

// Reject implements balance.Host.
func (h host) Reject(id string, retryAfter time.Duration) {
	c := h.calls[id]
	if c != nil && c.lastResponse.Status != 0 { // an endpoint's own error says more to the client, and promises less
		h.Fail(id)
		return
	}
	h.reply(c, Reply{Verdict: Shed, RetryAfter: retryAfter})
}

// Fail implements balance.Host.
func (h host) Fail(id string) {
	if c := h.calls[id]; c != nil {
		h.reply(c, Reply{Verdict: Failed, Response: c.lastResponse})
	}
}

// Probe implements balance.Host. There are no health checks of endpoints: the settings given to the module never allow them,
// and one that it asks for all the same has not been sent.
func (h host) Probe(endpoint string) {
	h.deferred = append(h.deferred, func(now time.Duration) {
		h.balancer.Probed(now, balance.ProbeResult{Endpoint: endpoint, Result: balance.NotSent})
	})
}

// HasIdleConnection implements balance.Host.
func (h host) HasIdleConnection(endpoint string) bool { return h.upstream.HasIdle(endpoint) }

// Subscribe implements balance.Host.
func (h host) Subscribe() { h.requestWatch() }

// Timer implements balance.Host.
func (h host) Timer(at time.Duration) {
	i, _ := slices.BinarySearch(h.timers, at)
	h.timers = slices.Insert(h.timers, i, at)
}

// Log implements balance.Host.
func (h host) Log(line string) { h.log.Info(line) }
