package eventloop

import (
	"context"
	"sync/atomic"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/upstream"
)

// Verdict is how a request ended.
type Verdict int

// Values of Verdict, one for each way in which a request can end.
const (
	// Served means that an endpoint's response is the reply.
	Served Verdict = iota
	// Shed means that the request is rejected, and that its client may send it again: the request was not executed, or
	// executing it again is harmless.
	Shed
	// Failed means that the request may or may not have been executed.
	Failed
	// Duplicate means that another request with the same id is not finished yet.
	Duplicate
	// ClientGone means that the client has disconnected and needs no response.
	ClientGone
)

// verdictNames are the names of the verdicts in the log.
var verdictNames = [...]string{Served: "served", Shed: "shed", Failed: "failed", Duplicate: "duplicate", ClientGone: "client_gone"}

// String returns the name of the verdict in the log.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// Reply is the final result of a request.
type Reply struct {
	Verdict    Verdict
	RetryAfter time.Duration // time after which the client should retry; 0: no Retry-After is sent
	// Response is the endpoint's response if the verdict is Served. If the verdict is Failed, it is the error response to the
	// last attempt, if there was one.
	Response upstream.Response
}

// Call is a request that is submitted to a Loop. The submitter sets the exported fields and must not change them after Submit;
// the other fields belong to the loop.
type Call struct {
	balance.Request
	HTTPRequest *upstream.Request
	Replies     chan Reply // receives the request's only Reply; the channel needs a buffer of one, since the loop must not block

	// ResponseTimeout is how long to wait for the response to a request with a streaming body, from the last byte that its client
	// sent; 0 means until the deadline.
	ResponseTimeout time.Duration

	// HasUniqueID says that no other request ever has this request's id, so that one with the same id is this request again.
	HasUniqueID bool

	// AcceptsRequests, if not nil, is called by Submit before the balancer decides on the request. If it returns false, the request is
	// shed at once, with RejectionRetryAfter as its Retry-After.
	AcceptsRequests     func() bool
	RejectionRetryAfter time.Duration // Retry-After of a request that is shed because AcceptsRequests returns false

	// IsClientConnected reports whether the client is still connected; nil means that the client never disconnects. The function
	// must be safe to call from any goroutine. An attempt calls it right before its first byte is written, since the loop may be
	// notified of a disconnect later.
	IsClientConnected func() bool

	// isFinished means that the request has its reply or that its client has disconnected. Only the loop sets it; attempts read
	// it before they write their first byte.
	isFinished       atomic.Bool
	knownDeadline    atomic.Int64         // Deadline, for attempts; 0 while a streaming body is being received, whose end decides on it
	mayHaveRunAt     time.Duration        // instant at which the first attempt that may have run was sent; 0: no attempt may have run
	lastOutcome      balance.Outcome      // outcome of the attempt that ended last; zero if none has ended
	submittedAt      time.Duration        // instant of Submit
	lastResponse     upstream.Response    // response of the attempt that ended last; zero if it received none
	cancelAttempts   []context.CancelFunc // cancel functions of all attempts, by the number of the attempt
	attemptsInFlight int
	hasClaim         bool // the request's id is claimed
	isAbandoned      bool // the client has disconnected before its reply
	isBodyOverdue    bool // the client's time has passed while its body was being sent
	isDeadlineFixed  bool // Deadline counts from the last byte of a streaming body, and does not change any more
}

// isClientConnected reports whether the client is still connected, as far as is known.
func (c *Call) isClientConnected() bool { return c.IsClientConnected == nil || c.IsClientConnected() }

// upload returns the request's streaming body, or nil if its body is buffered.
func (c *Call) upload() *body.Upload {
	if c.HTTPRequest == nil {
		return nil
	}
	return c.HTTPRequest.Upload
}

// claimDuration is how long an id stays claimed after its request has ended: longer than clients wait for a response, or send a request
// again.
const claimDuration = 30 * time.Second

// IDClaims remembers which request ids must not be used again. *idclaim.Table implements it. It must be safe for concurrent use.
type IDClaims interface {
	// Claim claims an id for some time. It returns false if the id is claimed already.
	Claim(id string, duration time.Duration) bool
	// Keep sets the remaining duration of a claim.
	Keep(id string, duration time.Duration)
	// Release ends a claim.
	Release(id string)
}

// Submit passes a request to the balancer, which decides on it. If an earlier request still uses the id, the new request gets
// the verdict Duplicate, so that the two cannot interfere; so does a request that may have run under this id before, if running it twice
// would not be harmless. Submit is called from an event.
func (l *Loop) Submit(now time.Duration, c *Call) {
	c.submittedAt = now
	if l.calls[c.ID] != nil {
		l.refuse(now, c, Reply{Verdict: Duplicate}, reasonIDInFlight)
		return
	}
	if c.AcceptsRequests != nil && !c.AcceptsRequests() {
		l.refuse(now, c, Reply{Verdict: Shed, RetryAfter: c.RejectionRetryAfter}, reasonNoLease)
		return
	}
	if !l.claimID(now, c) {
		l.refuse(now, c, Reply{Verdict: Duplicate}, reasonIDUsed)
		return
	}
	l.calls[c.ID] = c
	if c.ResponseTimeout <= 0 {
		c.knownDeadline.Store(int64(c.Deadline))
	}
	l.balancer.Request(now, c.Request)
	if c.ResponseTimeout > 0 {
		l.watchUpload(now, c)
	}
}

// refuse sends the reply to a request that the balancer does not see.
func (l *Loop) refuse(now time.Duration, c *Call, r Reply, reason endReason) {
	l.logEnd(now, c, r.Verdict, reason)
	c.Replies <- r
}

// ClientDisconnected notifies the balancer that the client of a request has disconnected. It returns false if the request was
// finished before. It is called from an event.
func (l *Loop) ClientDisconnected(now time.Duration, c *Call) bool {
	if l.calls[c.ID] != c || c.isFinished.Load() {
		return false
	}
	c.isAbandoned = true
	c.isFinished.Store(true)
	l.logEnd(now, c, ClientGone, reasonClientGone)
	l.balancer.ClientDisconnected(now, c.ID)
	l.removeIfFinished(c)
	return true
}

// reply finishes a request with its reply. It does nothing if the request is nil or finished.
func (l *Loop) reply(c *Call, r Reply) {
	if c == nil || c.isFinished.Load() {
		return
	}
	c.isFinished.Store(true)
	if r.Verdict != Served {
		l.logEnd(l.clock.now(), c, r.Verdict, c.balancerReason())
	}
	c.Replies <- r
	l.removeIfFinished(c)
}

// removeIfFinished removes a finished call that has no attempt in flight: no more events can concern the call, and its id is free
// again.
func (l *Loop) removeIfFinished(c *Call) {
	if c.isFinished.Load() && c.attemptsInFlight == 0 && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
		l.endClaim(c)
	}
}

// claimID claims the id of a request that must not run twice, and reports whether the request may be sent. The claim covers the
// request's life.
func (l *Loop) claimID(now time.Duration, c *Call) bool {
	if l.idClaims == nil || l.idempotentClasses[c.Class] {
		return true
	}
	c.hasClaim = l.idClaims.Claim(l.claimKey(c), max(c.Deadline, c.StreamUntil)-now+claimDuration)
	return c.hasClaim
}

// endClaim keeps the claim of a request that has ended for some time, if the request may have run and its client may send it again, and
// releases the claim otherwise.
func (l *Loop) endClaim(c *Call) {
	switch mayHaveRun := c.mayHaveRunAt > 0; {
	case !c.hasClaim:
	case mayHaveRun && (c.HasUniqueID || c.isAbandoned):
		l.idClaims.Keep(l.claimKey(c), claimDuration)
	default:
		l.idClaims.Release(l.claimKey(c))
	}
}

// claimKey returns the name under which a request's id is claimed: the same id may be used in each pool.
func (l *Loop) claimKey(c *Call) string { return l.poolName + "/" + c.ID }
