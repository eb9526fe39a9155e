package balance

import "time"

// BodySent implements Events: from now on the attempt waits for its endpoint and counts against the
// concurrency limit, and the request has a deadline.
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

// StreamStarted implements Events: the request counts as finished, and its streaming response has no time
// limit.
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

// countInFlight adds delta to the counter of attempts in flight, or to that of streams if the attempt's body
// is streaming. Streaming bodies do not count against the concurrency limit, which assumes attempts that last
// about one response time: a few long transfers would use it up.
func (b *Balancer) countInFlight(att *attempt, delta int) {
	if att.bodyStreaming {
		att.endpoint.streamsInFlight += delta
		return
	}
	att.endpoint.inFlight += delta
	b.inFlight += delta
}
