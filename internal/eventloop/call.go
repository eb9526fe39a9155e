package eventloop

import (
	"context"
	"sync/atomic"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/upstream"
)

// Verdict is how a request ended.
type Verdict int

// The verdicts.
const (
	// Served is a request that an endpoint answered.
	Served Verdict = iota
	// Shed is a request of which nothing has run, or that does no harm where it runs again.
	Shed
	// Failed is a request of whose effect nothing is promised.
	Failed
	// Duplicate is a request whose id is in use by one that is still open.
	Duplicate
	// ClientGone is a request whose client has disconnected: there is nobody to be answered.
	ClientGone
)

// Reply is the final answer to a client.
type Reply struct {
	Verdict    Verdict
	RetryAfter time.Duration     // 0: no advice
	Response   upstream.Response // if served; an endpoint's own error, where the last attempt brought one
}

// Call is a request that was admitted. Whoever submits it fills in the exported fields and leaves them alone from then on;
// the others are the loop's.
type Call struct {
	balance.Request
	Message *upstream.Request
	Replies chan Reply // takes the one final answer without blocking: it must have room for one

	// Patience, of a request whose body streams, is how long its response may be waited for after the last byte of the body;
	// 0: to the deadline.
	ResponseTimeout time.Duration

	// Guard, if set, is called in the event that has the module decide, before anything of the request goes out. Where it
	// returns false the request is refused at once, with Unsure as its Retry-After.
	Guard           func() bool
	GuardRetryAfter time.Duration

	// Here reports, from any goroutine, whether the client is still connected; nil: it is. It is called last, before the first
	// byte of an attempt goes out: the loop may be notified of a disconnect later.
	IsClientConnected func() bool

	// isOver: answered, or the client has disconnected. The loop alone sets it; attempts that have written nothing yet read it.
	isFinished       atomic.Bool
	mayHaveRunAt     time.Duration     // when the first attempt that may have run was sent; 0: none may have
	lastResponse     upstream.Response // of the latest attempt that ended, if it brought one
	cancelAttempts   []context.CancelFunc
	attemptsInFlight int
}

// isClientConnected reports whether the client still waits, as far as that can be known.
func (c *Call) isClientConnected() bool { return c.IsClientConnected == nil || c.IsClientConnected() }

// Submit admits a request and has the module decide on it. One whose id is still in use is rejected, so that it can't
// disturb the first. It is called from an event.
func (l *Loop) Submit(now time.Duration, c *Call) {
	if l.calls[c.ID] != nil {
		c.Replies <- Reply{Verdict: Duplicate}
		return
	}
	if c.Guard != nil && !c.Guard() {
		c.Replies <- Reply{Verdict: Shed, RetryAfter: c.GuardRetryAfter}
		return
	}
	l.calls[c.ID] = c
	l.balancer.Request(now, c.Request)
}

// ClientDisconnected reports that the client of a request has gone. It returns false if the request had its final answer
// before. It is called from an event.
func (l *Loop) ClientDisconnected(now time.Duration, c *Call) bool {
	if l.calls[c.ID] != c || c.isFinished.Load() {
		return false
	}
	c.isFinished.Store(true)
	l.balancer.ClientDisconnected(now, c.ID)
	l.removeIfFinished(c)
	return true
}

// reply gives the final answer, once.
func (l *Loop) reply(c *Call, r Reply) {
	if c == nil || c.isFinished.Load() {
		return
	}
	c.isFinished.Store(true)
	c.Replies <- r
	l.removeIfFinished(c)
}

// removeIfFinished drops a call that is over and has no attempt in flight: nothing more can come of it, and its id is free.
func (l *Loop) removeIfFinished(c *Call) {
	if c.isFinished.Load() && c.attemptsInFlight == 0 && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
	}
}
