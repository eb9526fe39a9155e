package balance

import (
	"slices"
	"time"
)

// Admission control: tenant quotas, load shedding and the final answer to what is not served.
const (
	quotaBurstSeconds     = 1.0  // seconds of a tenant's quota that may arrive at once
	usedLimitFraction     = 0.6  // fraction of the concurrency limit above which it counts as used
	shedStretch           = 1.2  // recent stretch above which a used limit or a high rate is pressure
	highRateQuotaMultiple = 1.3  // request rate, in sums of all quotas, above which it is high
	maxQueueTimeFraction  = 0.05 // longest time in the queue, in mean latency objectives of the classes
	minTimeLeftFraction   = 0.6  // of the expected latency: must remain to the deadline while others queue

	meanRetryAfter = 300 * time.Millisecond // mean Retry-After of rejected requests, before jitter
)

// tenant is the token bucket of a tenant's quota.
type tenant struct {
	Tenant
	tokens     float64 // as of refilledAt
	refilledAt time.Duration
}

// shouldShed decides admission. A request is shed if it cannot be answered in time, if operators have ejected
// all endpoints, or if it exceeds its quota while capacity is short: while requests are queued, or responses
// stretch and the limit is used or the rate high. With little traffic the rate shows before endpoints
// are saturated; without the stretch a high rate may only mean that clients are spread unevenly.
func (b *Balancer) shouldShed(now time.Duration, req *request) bool {
	exceedsQuota := b.chargeQuota(now, req)
	isStretched := b.recentStretch > shedStretch
	isShort := len(b.queue) > 0 ||
		float64(b.inFlight) > usedLimitFraction*b.concurrencyLimit && isStretched ||
		isStretched && b.requestRate(now) > highRateQuotaMultiple*b.totalQuota
	return now >= req.giveUpAt || b.allManuallyEjected() || isShort && exceedsQuota ||
		len(b.queue) > 0 && !b.canMeetDeadline(now, req, minTimeLeftFraction)
}

// chargeQuota charges a request to the token bucket of its tenant and reports whether it exceeds the quota.
// Quotas apply in the first tier alone, because further down one client request causes several.
func (b *Balancer) chargeQuota(now time.Duration, req *request) bool {
	t := b.tenants[req.Tenant]
	if t == nil || t.Quota <= 0 || b.settings.Tier > 0 {
		return false
	}
	rate := t.Quota / float64(max(b.settings.Balancers, 1))
	t.tokens = min(t.tokens+rate*(now-t.refilledAt).Seconds(), max(rate*quotaBurstSeconds, 1))
	t.refilledAt = now
	if t.tokens < 1 {
		return true
	}
	if !req.IsRetry { // a client's retry was charged with its first request
		t.tokens--
	}
	return false
}

// queueDeadline is when a queued request leaves the queue. The wait is alike for all classes: those with a
// short latency objective would else starve in overload.
func (b *Balancer) queueDeadline(req *request) time.Duration {
	switch {
	case len(req.attempts) > 0:
		return req.giveUpAt
	case b.availableCount == 0: // an endpoint that becomes available may still respond in time
		return req.giveUpAt - seconds(b.baselineSeconds(req))
	}
	return min(req.giveUpAt, req.arrivedAt+seconds(maxQueueTimeFraction*b.meanLatencyObjective))
}

// canMeetDeadline reports whether the given fraction of the latency expected at the best endpoint still fits
// before the request is given up.
func (b *Balancer) canMeetDeadline(now time.Duration, req *request, fraction float64) bool {
	return now+seconds(b.baselineSeconds(req)*b.smallestActiveWeight()*fraction) <= req.giveUpAt
}

// rejectOrFail gives the final answer: a rejection if a retry by the client is harmless, else a failure.
func (b *Balancer) rejectOrFail(now time.Duration, req *request) {
	if req.isQueued && len(req.attempts) == 0 && float64(b.inFlight) < b.concurrencyLimit {
		b.admittedCounter.add(now) // it lacked an endpoint, and was not held back by the limit
	}
	if req.canReject() {
		b.host.Reject(req.ID, min(b.jitter(meanRetryAfter), b.settings.MaxRetryAfter))
	} else {
		b.host.Fail(req.ID)
	}
	b.removeRequest(req)
}

// canReject reports whether a retry by the client is harmless. For a request with a streaming body that holds
// only if no attempt can have run.
func (r *request) canReject() bool {
	c := r.class
	isIdempotent := c.Idempotency == Idempotent || c.Idempotency == IdempotencyKey && c.DedupScope == ScopeAll
	return isIdempotent && r.StreamUntil == 0 ||
		!slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight || a.mayHaveRun })
}
