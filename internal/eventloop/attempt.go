package eventloop

import (
	"math"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/upstream"
)

// attemptHooks returns hooks that post what happens during an attempt as events. The attempt's goroutine calls them.
func (l *Loop) attemptHooks(c *Call, attempt int) upstream.AttemptHooks {
	return upstream.AttemptHooks{
		IsWanted:    l.isWantedFunc(c),
		Deadline:    func() time.Time { return l.deadlineTime(c) },
		RequestSent: func() { l.Post(func(now time.Duration) { l.handleBodySent(now, c, attempt) }) },
		ResponseStarted: func(response upstream.Response) bool {
			becomesReply := make(chan bool, 1)
			l.Post(func(now time.Duration) { becomesReply <- l.handleStreamStarted(now, c, attempt, response) })
			return l.awaitResult(becomesReply)
		},
	}
}

// deadlineTime returns the time at which a request is given up, or the zero time if its body has not been received completely and so does
// not count yet. It may be called from any goroutine.
func (l *Loop) deadlineTime(c *Call) time.Time {
	instant := time.Duration(c.knownDeadline.Load())
	if instant == 0 {
		return time.Time{}
	}
	return l.clock.timeOf(instant)
}

// awaitResult returns what a posted event sends to result, or false if the loop has ended without handling the event.
func (l *Loop) awaitResult(result <-chan bool) bool {
	select {
	case ok := <-result:
		return ok
	case <-l.done:
	}
	select {
	case ok := <-result: // the event was the last one that the loop handled
		return ok
	default:
		return false
	}
}

// isWantedFunc returns the hook IsWanted of an attempt, which reports whether the request should still be sent now that the connection
// is established. After the balancer decided on the attempt, the request may have got its reply, or its client may have disconnected.
// A request with an idempotency key that an earlier attempt may have run must not be sent once endpoints no longer drop duplicates of
// the key. The hook reads isFinished after it has asked the kernel about the client, since the loop may finish the request in between.
func (l *Loop) isWantedFunc(c *Call) func() bool {
	windowEndsAt := time.Duration(math.MaxInt64)
	if window, hasKey := l.idempotencyWindows[c.Class]; hasKey && c.mayHaveRunAt > 0 {
		windowEndsAt = c.mayHaveRunAt + window
	}
	return func() bool { return c.isClientConnected() && !c.isFinished.Load() && l.clock.now() < windowEndsAt }
}

// handleBodySent handles the event that an attempt has written the last byte of a streaming body.
func (l *Loop) handleBodySent(now time.Duration, c *Call, attempt int) {
	if !c.isFinished.Load() {
		l.fixDeadline(now, c)
	}
	l.balancer.BodySent(now, c.ID, attempt, c.Deadline)
}

// fixDeadline sets the deadline of a request whose streaming body was received completely. It counts from the last byte that the
// client has sent, so only the first call has an effect: a retry sends that byte again, but the client waits no longer for it.
func (l *Loop) fixDeadline(now time.Duration, c *Call) {
	if c.ResponseTimeout <= 0 || c.isDeadlineFixed {
		return
	}
	c.Deadline, c.isDeadlineFixed = min(l.bodyWrittenAt(now, c)+c.ResponseTimeout, c.StreamUntil), true
	c.knownDeadline.Store(int64(c.Deadline))
}

// bodyWrittenAt returns the earliest instant at which the client of a request may have written the last byte of the request's body.
func (l *Loop) bodyWrittenAt(now time.Duration, c *Call) time.Duration {
	if upload := c.upload(); upload != nil {
		return min(l.At(upload.ClientUnfinishedAt(time.Now())), now)
	}
	return now
}

// watchUpload makes sure that a request with a streaming body gets its final response in time, also if its body can't be sent: an
// endpoint may take the body so slowly that the client has long written its last byte, and waits, while the rest of the body is still
// in the buffers of both systems.
func (l *Loop) watchUpload(now time.Duration, c *Call) {
	if c.isFinished.Load() || c.isDeadlineFixed {
		return
	}
	writtenAt := l.bodyWrittenAt(now, c)
	if wait := writtenAt + c.ResponseTimeout - now; wait > 0 {
		time.AfterFunc(wait, func() { l.Post(func(now time.Duration) { l.watchUpload(now, c) }) })
		return
	}
	c.isBodyOverdue = true
	l.balancer.BodyOverdue(now, c.ID, writtenAt)
}

// attemptRequest returns the request as the next attempt forwards it, and the instant by which the attempt must end. Once the body was
// received completely, the attempt gets only the time that is left of the request's deadline, and tells its endpoint so.
func (l *Loop) attemptRequest(now time.Duration, c *Call) (request *upstream.Request, endsAt time.Duration) {
	if upload := c.upload(); upload != nil && upload.IsComplete() {
		l.fixDeadline(now, c)
	}
	if !c.isDeadlineFixed {
		return c.HTTPRequest, max(c.Deadline, c.StreamUntil)
	}
	limited := *c.HTTPRequest
	limited.ResponseTimeout = 0 // the deadline of the attempt's context applies
	return &limited, c.Deadline
}

// handleStreamStarted handles the event that an attempt has received the beginning of a streaming response. It returns false if the
// request is already finished. Otherwise the response is the reply, even if its stream breaks off later.
func (l *Loop) handleStreamStarted(now time.Duration, c *Call, attempt int, response upstream.Response) bool {
	if c.isFinished.Load() {
		return false
	}
	c.isFinished.Store(true)
	c.Replies <- Reply{Verdict: Served, Response: response}
	l.balancer.StreamStarted(now, c.ID, attempt)
	return true
}

// handleAttemptEnded handles the end of an attempt. A complete response is forwarded at once, or dropped if the request is already
// finished.
func (l *Loop) handleAttemptEnded(now time.Duration, c *Call, outcome balance.Outcome, sentAt time.Duration, response upstream.Response) {
	c.attemptsInFlight--
	c.lastResponse = response
	if upload := c.upload(); upload != nil {
		outcome.BodyConsumed = upload.IsConsumed()
		if upload.Err() != nil { // the client failed to send its body, which ends the request
			l.ClientDisconnected(now, c)
		}
	}
	if outcome.Result == balance.NotSent && !c.isClientConnected() && l.ClientDisconnected(now, c) {
		c.Replies <- Reply{Verdict: ClientGone} // the receiver of Replies may not have noticed the disconnect, and would wait for a reply
	}
	if c.mayHaveRunAt == 0 && outcome.Result.MayHaveRun() {
		c.mayHaveRunAt = sentAt
	}
	outcome.Latency, outcome.IsFinal = now-sentAt, c.isFinished.Load()
	c.lastOutcome = outcome
	l.logAttempt(c, outcome)
	if outcome.Result == balance.OK && !c.isFinished.Load() {
		outcome.IsFinal = true
		l.reply(c, Reply{Verdict: Served, Response: response})
	}
	l.balancer.Outcome(now, outcome)
	l.removeIfFinished(c)
}
