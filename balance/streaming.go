package balance

import "time"

// BodySent implements Events: the attempt becomes one that waits for its endpoint.
func (b *Balancer) BodySent(now time.Duration, id string, n int, deadline time.Duration) {
	req := b.requests[id]
	if att := req.inFlightAttempt(n); att != nil && att.bodyStreaming && !att.responseStreaming {
		b.countInFlight(att, -1)
		att.bodyStreaming, att.waitingSince = false, now
		b.countInFlight(att, 1)
		b.setDeadline(req, deadline)
		att.overdueAt = b.overdueInstant(now, req, att.endpoint)
		b.wakeAt(b.nextCheckAt(req))
	}
}

// StreamStarted implements Events: the request is answered, and its response has no time limit any more.
func (b *Balancer) StreamStarted(now time.Duration, id string, n int) {
	req := b.requests[id]
	if att := req.inFlightAttempt(n); att != nil {
		b.recordResult(now, req, att, OK, now-att.waitingSince)
		b.countInFlight(att, -1)
		att.responseStreaming, att.bodyStreaming = true, true
		b.countInFlight(att, 1)
		b.removeRequest(req)
		b.sendQueued(now)
	}
}

// countInFlight adds by to the count that the attempt belongs to. Streaming bodies do not count against the
// concurrency limit, which is for attempts that last about a response time: a few transfers would use it up
// for as long as they last.
func (b *Balancer) countInFlight(att *attempt, by int) {
	if att.bodyStreaming {
		att.endpoint.streamsInFlight += by
		return
	}
	att.endpoint.inFlight += by
	b.inFlight += by
}
