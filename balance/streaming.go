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

// BodyOverdue implements Events: the request gets its final response. An attempt in flight that sends the
// body has waited for its endpoint at least since writtenAt, as if the body had been sent then.
func (b *Balancer) BodyOverdue(now time.Duration, id string, writtenAt time.Duration) {
	req := b.requests[id]
	if req == nil || req.isFinished {
		return
	}
	for i := range req.attempts {
		if att := &req.attempts[i]; att.inFlight && att.bodyStreaming && !att.responseStreaming {
			b.countInFlight(att, -1)
			att.bodyStreaming, att.waitingSince = false, max(att.sentAt, writtenAt)
			b.countInFlight(att, 1)
			b.handleOverdueBody(now, req, i)
		}
	}
	b.rejectOrFail(now, req)
	b.sendQueued(now)
}

// handleOverdueBody handles attempt i of a request, whose endpoint does not take the body. If the endpoint is
// not active and has responded to nothing since, the attempt is a failed trial, for which the next trial was
// scheduled while the body was streaming.
func (b *Balancer) handleOverdueBody(now time.Duration, req *request, i int) {
	att := &req.attempts[i]
	ep, isSilent := att.endpoint, att.endpoint.lastResponseAt < att.waitingSince
	isFailedTrial := !ep.active && !att.isTrial && isSilent && att.incarnation == ep.incarnation
	b.handleOverdue(now, req, i)
	if isFailedTrial {
		b.scheduleTrial(now, ep, true)
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
