package balance

import (
	"slices"
	"time"
)

// attempt is the state of one attempt of a request, which is one call of Host.Send.
type attempt struct {
	endpoint          *endpoint
	incarnation       int           // incarnation of the endpoint to which the attempt was sent
	zone              string        // zone of the endpoint when the attempt was sent
	cell              int           // cell of the endpoint when the attempt was sent
	sentAt            time.Duration // instant at which Host.Send was called
	waitingSince      time.Duration // sentAt, or the instant of a streaming request body's last byte
	overdueAt         time.Duration // instant of the next check whether the attempt takes too long
	inFlight          bool          // whether the attempt's Outcome has not been reported yet
	mayHaveRun        bool          // whether the attempt has ended and may have taken effect
	isTrial           bool          // whether the endpoint was not active when the attempt was sent
	wasOverdue        bool          // whether overdueAt has passed at least once
	responseStreaming bool          // whether the response is streaming to the client
	bodyStreaming     bool          // whether the request body or the response body is streaming
}

// request is the state of one request.
type request struct {
	Request
	class           *class
	arrivedAt       time.Duration // instant at which Events.Request reported the request
	giveUpAt        time.Duration // last instant at which a response still reaches the client in time
	attempts        []attempt     // all attempts so far, in the order in which they were sent
	isFinished      bool          // whether the client has its final response or has disconnected
	isQueued        bool          // whether the request waits in Balancer.queue
	pendingProbes   []*endpoint   // endpoints whose load reports the request waits for
	probeDeadline   time.Duration // instant at which the request stops waiting for load reports
	unfinishedIndex int           // index of the request in Balancer.unfinished
	bodyConsumed    bool          // whether bytes of a streaming body were consumed: no retry is possible
}

// inFlightAttempt returns attempt n if it is in flight, else nil. It may be called on a nil request.
func (r *request) inFlightAttempt(n int) *attempt {
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].inFlight {
		return nil
	}
	return &r.attempts[n]
}

// setDeadline sets the instant at which the request's client stops waiting, and giveUpAt accordingly.
func (b *Balancer) setDeadline(req *request, deadline time.Duration) {
	req.Deadline, req.giveUpAt = deadline, deadline-max(b.settings.TimerResolution, time.Millisecond)
}

// giveUpInstant returns the instant at which the request is given up: not before StreamUntil while
// the client is still sending the body.
func (r *request) giveUpInstant() time.Duration {
	for i := range r.attempts {
		if att := &r.attempts[i]; att.inFlight && att.bodyStreaming && !att.responseStreaming {
			return max(r.StreamUntil, r.giveUpAt)
		}
	}
	return r.giveUpAt
}

// ClientDisconnected implements Events: it cancels the request.
func (b *Balancer) ClientDisconnected(now time.Duration, id string) {
	if req := b.requests[id]; req != nil && !req.isFinished {
		b.removeRequest(req)
		b.sendQueued(now)
	}
}

// removeRequest marks a request as finished, cancels its attempts in flight except for a streaming response,
// and deletes the request if no attempt is in flight any more.
func (b *Balancer) removeRequest(req *request) {
	if !req.isFinished {
		req.isFinished, req.isQueued, req.pendingProbes = true, false, nil
		lastIndex := len(b.unfinished) - 1
		b.unfinished[req.unfinishedIndex] = b.unfinished[lastIndex]
		b.unfinished[req.unfinishedIndex].unfinishedIndex = req.unfinishedIndex
		b.unfinished[lastIndex] = nil
		b.unfinished = b.unfinished[:lastIndex]
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

// hasAttemptInFlight reports whether at least one attempt of the request still has no Outcome.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight })
}

// wasSentTo reports whether an attempt of the request was sent to the endpoint.
func (r *request) wasSentTo(ep *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == ep })
}
