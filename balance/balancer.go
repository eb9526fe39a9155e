package balance

// The events of a Balancer and the path of a request. The interface is in api.go, the state in state.go; each
// mechanism has its own file. The design is the round-robin (RR) policy of Cicconetti, Conti and Passarella,
// "A Decentralized Framework for Serverless Edge Computing in the Internet of Things": a latency smoothed per
// endpoint (its weight), endpoints within twice the best kept active, and the lowest deficit picked. Here a
// weight is a stretch: latency over the baseline latency of the request's class, so 1 without load.

import (
	"fmt"
	"slices"
	"time"
)

// EndpointList implements Events. From this event on an endpoint that is draining or gone gets no attempt.
func (b *Balancer) EndpointList(now time.Duration, l EndpointUpdate) {
	if l.Failed { // resubscribe with jitter, so that balancers do not do it at once, and in time
		if b.settings.MustSubscribe {
			longest := max(b.settings.SubscribeWithin/2, minBackoff)
			b.resubscribeBackoff = min(max(2*b.resubscribeBackoff, minBackoff), longest)
			b.resubscribeAt = now + b.jitter(b.resubscribeBackoff)
			b.wakeAt(b.resubscribeAt)
		}
		return
	}
	b.resubscribeBackoff, b.resubscribeAt = 0, 0
	isFirst, availableBefore := len(b.endpoints) == 0, b.availableCount
	for _, ep := range b.mergeList(l) {
		b.startInactive(now, ep, isFirst)
	}
	if isFirst {
		b.concurrencyLimit, availableBefore = initialLimitPerEndpoint*b.endpointShare(), 0
	}
	b.availabilityChanged(now, availableBefore)
}

// availabilityChanged adapts subset, concurrency limit and queue to a change of the available endpoints.
func (b *Balancer) availabilityChanged(now time.Duration, availableBefore int) {
	b.rebuildSubset(now)
	if availableBefore > 0 && b.availableCount > 0 { // the load of many must not go to the few that remain
		b.concurrencyLimit *= float64(b.availableCount) / float64(availableBefore)
	}
	b.sendQueued(now)
	if b.allManuallyEjected() { // only operators can change this, and that takes longer than requests wait
		for _, req := range slices.Clone(b.queue) {
			b.rejectOrFail(now, req)
		}
		b.queue = b.queue[:0]
	}
}

// SetEjected implements Events. Attempts in flight at an endpoint that is ejected run to their end.
func (b *Balancer) SetEjected(now time.Duration, id string, out bool) {
	if b.manuallyEjected[id] == out {
		return
	}
	if out {
		b.manuallyEjected[id] = true
	} else {
		delete(b.manuallyEjected, id)
	}
	ep, availableBefore := b.endpointByID[id], b.availableCount
	if ep == nil {
		return
	}
	if ep.manuallyEjected = out; !out {
		ep.incarnation++
		ep.restoredAt, ep.Started, ep.trialInFlight = now, now, false
		ep.errorRate, ep.reportedLoad, ep.reportedLoadAt = 0, 0, 0
		b.startInactive(now, ep, false)
	}
	b.countAvailable()
	b.availabilityChanged(now, availableBefore)
}

// Request implements Events: it rejects the request, sends it, or queues it until an endpoint has capacity.
func (b *Balancer) Request(now time.Duration, r Request) {
	c := b.classes[r.Class]
	if c == nil { // not in the settings: never retried, and not stored, because such names have no bound
		c = &class{Class: Class{Idempotency: NonIdempotent, LatencyObjective: max(r.Deadline-now, 0)}}
	}
	b.countRequest(now)
	req := &request{Request: r, class: c, arrivedAt: now, liveIndex: len(b.live)}
	b.setDeadline(req, r.Deadline)
	b.requests[r.ID], b.live = req, append(b.live, req)
	b.retryBudget = min(b.retryBudget+retryBudgetRatio, maxRetryBudget)
	if b.shouldShed(now, req) {
		b.rejectOrFail(now, req)
		return
	}
	if !b.settings.CanProbe || !b.probeCandidates(now, req) {
		b.dispatch(now, req)
	}
	b.wakeAt(b.nextCheckAt(req))
}

// dispatch sends a request to the endpoint picked, or queues it. Retries may exceed the concurrency limit.
func (b *Balancer) dispatch(now time.Duration, req *request) {
	isRetry := len(req.attempts) > 0
	if isRetry || len(b.queue) == 0 || req.isQueued {
		var ep *endpoint
		if isRetry || float64(b.inFlight) < b.concurrencyLimit {
			ep = b.pickFromSubset(now, req)
		} else {
			ep = b.pickBelowFairUsage(now, req)
		}
		if ep == nil && isRetry { // the endpoints that know its idempotency key may be outside the subset
			ep = b.pick(now, req, b.endpoints)
		}
		if ep != nil {
			b.send(now, req, ep)
			return
		}
	}
	if !req.isQueued {
		req.isQueued, b.queue = true, append(b.queue, req)
	}
	b.wakeAt(b.nextCheckAt(req))
	for _, ep := range b.endpoints {
		if ep.slowStartNextAt > now {
			b.wakeAt(ep.slowStartNextAt)
		}
	}
}

// sendQueued dispatches queued requests, oldest first, until one that is no retry finds no capacity.
func (b *Balancer) sendQueued(now time.Duration) {
	isFull := false
	for _, req := range b.queue {
		if req.isQueued && (!isFull || len(req.attempts) > 0) {
			b.dispatch(now, req)
			isFull = isFull || req.isQueued && len(req.attempts) == 0
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(req *request) bool { return !req.isQueued })
}

// send charges the endpoint and hands the attempt to the host.
func (b *Balancer) send(now time.Duration, req *request, ep *endpoint) {
	if b.capacityShare(now, ep) < 1 {
		ep.slowStartNextAt = now + b.slowStartInterval(now, ep)
	}
	if ep.active {
		b.chargeDeficit(now, req, ep)
	}
	b.noteUse(ep)
	if len(req.attempts) == 0 {
		b.admittedCounter.add(now)
	}
	att := attempt{endpoint: ep, incarnation: ep.incarnation, sentAt: now, waitingSince: now, inFlight: true,
		isTrial: !ep.active, hasStreamingBody: req.StreamUntil > 0, overdueAt: b.overdueInstant(now, req, ep)}
	ep.trialInFlight = att.isTrial
	b.countInFlight(&att, 1)
	req.attempts, req.isQueued, req.pendingProbes = append(req.attempts, att), false, nil
	b.wakeAt(att.overdueAt)
	b.host.Send(req.ID, ep.ID, max(req.Deadline-now, req.StreamUntil-now, time.Microsecond))
}

// Outcome implements Events: it learns from the end of an attempt and decides whether to retry.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	req := b.requests[o.ID]
	att := req.inFlightAttempt(o.Attempt)
	if att == nil {
		return
	}
	att.inFlight, att.mayHaveRun = false, o.Result.MayHaveRun()
	b.countInFlight(att, -1)
	req.bodyConsumed = req.bodyConsumed || o.BodyConsumed
	if !att.isStreaming {
		if req.StreamUntil > 0 { // the client determines how long a streaming body takes, not the endpoint
			o.Latency = now - att.waitingSince
		}
		b.recordResult(now, req, att, attributedResult(o), o.Latency)
	}
	switch {
	case req.isAnswered || o.IsFinal || o.Result == OK:
		b.removeRequest(req)
	case req.isQueued:
	case b.canRetry(now, req) && slices.ContainsFunc(b.endpoints, func(ep *endpoint) bool {
		return ep.isAvailable() && b.isSafeToSend(now, req, ep)
	}):
		if o.Result != ConnectFailed { // which cost the endpoints nothing
			b.retryBudget--
		}
		b.dispatch(now, req)
	default:
		b.rejectOrFail(now, req)
	}
	b.sendQueued(now)
}

// processDue does what has fallen due by time alone: subscription, deadlines, lost probes, overdue attempts.
func (b *Balancer) processDue(now time.Duration) {
	if b.resubscribeAt > 0 && now >= b.resubscribeAt {
		b.resubscribeAt = 0
		b.host.Subscribe()
	}
	for _, req := range slices.Clone(b.live) {
		if now >= req.giveUpInstant() || req.isQueued && now >= b.queueDeadline(req) {
			if len(req.attempts) == 0 {
				b.log(now, "full", fmt.Sprintf("no endpoint has room, %d requests wait", len(b.queue)))
			}
			b.rejectOrFail(now, req)
			continue
		}
		if len(req.pendingProbes) > 0 && now >= req.probeDeadline {
			req.pendingProbes = nil
			b.dispatch(now, req)
		}
		for i := range req.attempts {
			if req.attempts[i].inFlight && now >= req.attempts[i].overdueAt {
				b.handleOverdue(now, req, i)
			}
		}
	}
	b.sendQueued(now)
}
