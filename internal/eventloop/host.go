package eventloop

import (
	"context"
	"slices"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/upstream"
)

// host carries out the balancer's decisions. Its methods run on the loop's goroutine, must not block and must not call the
// balancer: events that they cause are deferred until the current event has been handled.
type host struct{ *Loop }

var _ balance.Host = host{}

// Send implements balance.Host. It makes an attempt at an endpoint on a goroutine of its own.
func (h host) Send(id, endpoint string, timeout time.Duration) {
	c := h.calls[id]
	if c == nil {
		return // the loop has no such request, so there is no outcome to report
	}
	outcome := balance.Outcome{ID: id, AttemptNumber: len(c.cancelAttempts), Endpoint: endpoint}
	sentAt := h.clock.now()
	request, endsAt := h.attemptRequest(sentAt, c)
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, endsAt-sentAt))
	c.cancelAttempts = append(c.cancelAttempts, cancel)
	c.attemptsInFlight++
	if c.isFinished.Load() {
		outcome.Result = balance.NotSent
		h.deferredEvents = append(h.deferredEvents, func(now time.Duration) { h.handleAttemptEnded(now, c, outcome, sentAt, upstream.Response{}) })
		return
	}
	hooks := h.attemptHooks(c, outcome.AttemptNumber)
	go func() {
		var response upstream.Response
		outcome.Result, outcome.ReusedConnection, response = h.upstream.Attempt(ctx, endpoint, request, hooks)
		cancel()
		h.Post(func(now time.Duration) { h.handleAttemptEnded(now, c, outcome, sentAt, response) })
	}()
}

// Cancel implements balance.Host. It does nothing if the request or the attempt does not exist.
func (h host) Cancel(id string, attempt int) {
	if c := h.calls[id]; c != nil && attempt >= 0 && attempt < len(c.cancelAttempts) {
		c.cancelAttempts[attempt]()
	}
}

// Reject implements balance.Host. The request's verdict is Shed, or Failed if the last attempt received an error response.
func (h host) Reject(id string, retryAfter time.Duration) {
	c := h.calls[id]
	// If the last attempt received an error response, that response is forwarded. It tells the client more than the verdict Shed and,
	// unlike Shed, does not promise that a retry is harmless.
	if c != nil && c.lastResponse.Status != 0 {
		h.Fail(id)
		return
	}
	h.reply(c, Reply{Verdict: Shed, RetryAfter: retryAfter})
}

// Fail implements balance.Host. The request's verdict is Failed, and the last attempt's error response, if any, is forwarded.
func (h host) Fail(id string) {
	if c := h.calls[id]; c != nil {
		h.reply(c, Reply{Verdict: Failed, Response: c.lastResponse})
	}
}

// Probe implements balance.Host. This host sends no load probes, and the balancer's settings never allow them. If the balancer
// requests a load probe nevertheless, the result that it gets is NotSent.
func (h host) Probe(endpoint string) {
	h.deferredEvents = append(h.deferredEvents, func(now time.Duration) {
		h.balancer.Probed(now, balance.ProbeResult{Endpoint: endpoint, Result: balance.NotSent})
	})
}

// HasIdleConnection implements balance.Host. It asks the upstream, which owns the connections.
func (h host) HasIdleConnection(endpoint string) bool { return h.upstream.HasIdleConnection(endpoint) }

// Subscribe implements balance.Host. It asks discovery to watch the endpoint list, or to poll it at once.
func (h host) Subscribe() { h.requestWatch() }

// Timer implements balance.Host. The loop reports the timer to the balancer at the given instant.
func (h host) Timer(at time.Duration) {
	i, _ := slices.BinarySearch(h.timers, at)
	h.timers = slices.Insert(h.timers, i, at)
}

// Log implements balance.Host. It writes the line to the daemon's log at level Info.
func (h host) Log(line string) { h.log.Info(line) }
