package eventloop

import (
	"math"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/upstream"
)

// attemptHooks makes events of what happens during an attempt. The attempt's goroutine calls the hooks.
func (l *Loop) attemptHooks(c *Call, n int) upstream.AttemptHooks {
	return upstream.AttemptHooks{
		IsWanted:    l.isWantedFunc(c),
		RequestSent: func() { l.Post(func(now time.Duration) { l.bodySent(now, c, n) }) },
		ResponseStarted: func(a upstream.Response) bool {
			taken := make(chan bool, 1)
			l.Post(func(now time.Duration) { taken <- l.streamStarted(now, c, n, a) })
			select {
			case ok := <-taken:
				return ok
			case <-l.done:
				return false
			}
		},
	}
}

// isWantedFunc makes what an attempt asks last, before its first byte goes out: is the request still to be sent? It is not once
// it has its answer or its client has gone, nor, if it may have run before, once endpoints no longer drop duplicates of its
// idempotency key: the module decided before the connection came up. What the loop itself knows is read last, since the loop may
// be notified of an end while the kernel is asked about the client.
func (l *Loop) isWantedFunc(c *Call) func() bool {
	last := time.Duration(math.MaxInt64)
	if window, keyed := l.idempotencyWindows[c.Class]; keyed && c.mayHaveRunAt > 0 {
		last = c.mayHaveRunAt + window
	}
	return func() bool { return c.isClientConnected() && !c.isFinished.Load() && l.clock.now() < last }
}

// bodySent reports that the last byte of an attempt whose body streams has gone out.
func (l *Loop) bodySent(now time.Duration, c *Call, n int) {
	if !c.isFinished.Load() && c.ResponseTimeout > 0 {
		c.Deadline = min(now+c.ResponseTimeout, c.StreamUntil)
	}
	l.balancer.BodySent(now, c.ID, n, c.Deadline)
}

// streamStarted gives a response that has begun to stream to the client, and reports whether that one still waits for it. From
// then on the response is the client's, whatever becomes of it.
func (l *Loop) streamStarted(now time.Duration, c *Call, n int, a upstream.Response) bool {
	if c.isFinished.Load() {
		return false
	}
	c.isFinished.Store(true)
	c.Replies <- Reply{Verdict: Served, Response: a}
	l.balancer.StreamStarted(now, c.ID, n)
	return true
}

// attemptEnded reports the end of an attempt. A complete response is passed on at once; one that comes too late is dropped.
func (l *Loop) attemptEnded(now time.Duration, c *Call, o balance.Outcome, sent time.Duration, a upstream.Response) {
	c.attemptsInFlight--
	c.lastResponse = a
	if u := c.Message.Upload; u != nil {
		o.BodyConsumed = u.IsConsumed()
		if u.Err() != nil { // the caller's fault, and its end
			l.ClientDisconnected(now, c)
		}
	}
	if o.Result == balance.NotSent && !c.isClientConnected() && l.ClientDisconnected(now, c) {
		c.Replies <- Reply{Verdict: ClientGone} // whoever waits for the answer may not have seen it
	}
	if c.mayHaveRunAt == 0 && o.Result.MayHaveRun() {
		c.mayHaveRunAt = sent
	}
	o.Latency, o.IsFinal = now-sent, c.isFinished.Load()
	if o.Result == balance.OK && !c.isFinished.Load() {
		o.IsFinal = true
		l.reply(c, Reply{Verdict: Served, Response: a})
	}
	l.balancer.Outcome(now, o)
	l.removeIfFinished(c)
}
