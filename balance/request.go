package balance

import "time"

import "slices"

// attempt is one Host.Send.
type attempt struct {
	endpoint          *endpoint
	incarnation       int // of the endpoint, when the attempt was sent
	sentAt            time.Duration
	waitingSince      time.Duration // when it began to wait for the endpoint, the streaming body sent
	overdueAt         time.Duration // when it is overdue next
	inFlight          bool          // has no Outcome yet
	mayHaveRun        bool          // has ended, and may have taken effect
	isTrial           bool          // of an endpoint that is not active
	wasOverdue        bool
	responseStreaming bool // its response streams to the client
	bodyStreaming     bool // its body streams, in either direction
}

// request is what is known of one request.
type request struct {
	Request
	class           *class
	arrivedAt       time.Duration
	giveUpAt        time.Duration // last instant at which an answer still reaches the client
	attempts        []attempt
	isFinished      bool          // has its final answer, or its client has left
	isQueued        bool          // waits in Balancer.queue
	pendingProbes   []*endpoint   // endpoints whose load report is awaited
	probeDeadline   time.Duration // when it stops waiting for load reports
	unfinishedIndex int           // its index in Balancer.live
	bodyConsumed    bool          // it cannot be sent again
}

// inFlightAttempt returns attempt n if it is in flight, else nil. The request may be nil.
func (r *request) inFlightAttempt(n int) *attempt {
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].inFlight {
		return nil
	}
	return &r.attempts[n]
}

// setDeadline sets when the request's client stops waiting.
func (b *Balancer) setDeadline(req *request, deadline time.Duration) {
	req.Deadline, req.giveUpAt = deadline, deadline-max(b.settings.TimerResolution, time.Millisecond)
}

// giveUpInstant is when the request is given up: the deadline does not apply while its body still streams in.
func (r *request) giveUpInstant() time.Duration {
	for i := range r.attempts {
		if att := &r.attempts[i]; att.inFlight && att.bodyStreaming && !att.responseStreaming {
			return max(r.StreamUntil, r.giveUpAt)
		}
	}
	return r.giveUpAt
}

// ClientDisconnected implements Events.
func (b *Balancer) ClientDisconnected(now time.Duration, id string) {
	if req := b.requests[id]; req != nil && !req.isFinished {
		b.removeRequest(req)
		b.sendQueued(now)
	}
}

// removeRequest marks a request as answered, cancels its attempts in flight and forgets it after the last of
// them.
func (b *Balancer) removeRequest(req *request) {
	if !req.isFinished {
		req.isFinished, req.isQueued, req.pendingProbes = true, false, nil
		last := len(b.unfinished) - 1
		b.unfinished[req.unfinishedIndex] = b.unfinished[last]
		b.unfinished[req.unfinishedIndex].unfinishedIndex = req.unfinishedIndex
		b.unfinished[last] = nil
		b.unfinished = b.unfinished[:last]
		for i := range req.attempts {
			if att := &req.attempts[i]; att.inFlight && !att.responseStreaming && b.settings.CanCancel {
				b.host.Cancel(req.ID, i)
			}
		}
	}
	if !req.hasAttemptInFlight() {
		delete(b.requests, req.ID)
	}
}

// hasAttemptInFlight reports whether an Outcome is still to come.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight })
}

// wasSentTo reports whether an attempt went to the endpoint.
func (r *request) wasSentTo(ep *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == ep })
}
