package balance

import (
	"slices"
	"time"
)

// Constants of admission control, which limits tenants to their quotas and sheds load when capacity is short.
const (
	quotaBurstSeconds     = 1.0  // size of a tenant's token bucket, in seconds of its quota
	shedStretch           = 1.2  // recent latency / baseline latency above which over-quota load may be shed
	highRateQuotaMultiple = 1.3  // request rate / Balancer.totalQuota above which the request rate is high
	maxQueueTimeFraction  = 0.05 // longest time that a request is queued / Balancer.meanLatencyObjective

	// minTimeLeftFraction is the least time to its deadline with which a request is admitted while others are
	// queued, as a fraction of the expected latency.
	minTimeLeftFraction = 0.6

	meanRetryAfter = 300 * time.Millisecond // mean Retry-After of rejected requests
)

// tenant holds a tenant's quota and the token bucket that enforces the quota.
type tenant struct {
	Tenant
	tokens     float64       // requests that the tenant could send within its quota at refilledAt
	refilledAt time.Duration // instant at which tokens was last updated
}

// shouldShed decides on admission. A request is shed if it cannot be served before its deadline, if operators
// have ejected all endpoints, or if it exceeds its quota while capacity is short. Capacity is short while
// requests are queued, or while responses are slow and either the concurrency limit is used or the request
// rate is high. The rate matters because a balancer with little traffic does not reach its limit before
// endpoints are saturated. Slow responses are a condition because a high rate alone may come from an uneven
// spread of clients.
func (b *Balancer) shouldShed(now time.Duration, req *request) bool {
	exceedsQuota := b.chargeQuota(now, req)
	areResponsesSlow := b.recentStretch > shedStretch
	isCapacityShort := len(b.queue) > 0 ||
		float64(b.inFlight) > limitInUseThreshold*b.concurrencyLimit && areResponsesSlow ||
		areResponsesSlow && b.requestRate(now) > highRateQuotaMultiple*b.totalQuota
	return now >= req.giveUpAt || b.allManuallyEjected() || isCapacityShort && exceedsQuota ||
		len(b.queue) > 0 && !b.canMeetDeadline(now, req, minTimeLeftFraction)
}

// chargeQuota charges a request to the token bucket of its tenant and reports whether the request exceeds the
// tenant's quota. Quotas apply only in the first tier, because one client request causes several requests in
// the tiers below.
func (b *Balancer) chargeQuota(now time.Duration, req *request) bool {
	t := b.tenants[req.Tenant]
	if t == nil || t.Quota <= 0 || b.settings.Tier > 0 {
		return false
	}
	refillRate := t.Quota / float64(max(b.settings.BalancerCount, 1))
	t.tokens = min(t.tokens+refillRate*(now-t.refilledAt).Seconds(), max(refillRate*quotaBurstSeconds, 1))
	t.refilledAt = now
	if t.tokens < 1 {
		return true
	}
	if !req.IsRetry { // a retry takes no token, as the client's first request took one
		t.tokens--
	}
	return false
}

// queueDeadline returns the instant at which a queued request is given up. The longest wait is the same for
// all classes, because classes with a short latency objective would otherwise starve in overload.
func (b *Balancer) queueDeadline(req *request) time.Duration {
	switch {
	case len(req.attempts) > 0:
		return req.giveUpAt
	case b.availableCount == 0: // wait while a newly available endpoint could still respond in time
		return req.giveUpAt - seconds(b.baselineSeconds(req))
	}
	return min(req.giveUpAt, req.arrivedAt+seconds(maxQueueTimeFraction*b.meanLatencyObjective))
}

// canMeetDeadline reports whether the time until the request is given up is at least latencyFraction times
// the latency expected at the fastest active endpoint.
func (b *Balancer) canMeetDeadline(now time.Duration, req *request, latencyFraction float64) bool {
	return now+seconds(b.baselineSeconds(req)*b.smallestActiveWeight()*latencyFraction) <= req.giveUpAt
}

// rejectOrFail sends the final response: a rejection if a retry by the client is harmless, else a failure.
func (b *Balancer) rejectOrFail(now time.Duration, req *request) {
	if req.isQueued && len(req.attempts) == 0 && float64(b.inFlight) < b.concurrencyLimit {
		// The request counts as admitted: it is within the concurrency limit, but no endpoint could take it.
		b.admittedCounter.add(now)
	}
	if b.canReject(now, req) {
		b.host.Reject(req.ID, min(b.jitter(meanRetryAfter), b.settings.MaxRetryAfter))
	} else {
		b.host.Fail(req.ID)
	}
	b.removeRequest(req)
}

// canReject reports whether a retry by the client is harmless: either no attempt can have run, or the body is
// buffered and the request is idempotent, or has an idempotency key by which all endpoints still drop
// duplicates when the client retries.
func (b *Balancer) canReject(now time.Duration, req *request) bool {
	c := req.class
	canRunTwice := req.StreamUntil == 0 &&
		(c.Idempotency == Idempotent || c.Idempotency == IdempotencyKey && c.DedupScope == ScopeAll)
	return !slices.ContainsFunc(req.attempts, func(a attempt) bool {
		return (a.inFlight || a.mayHaveRun) && (!canRunTwice || !b.isClientRetryHarmless(now, c, &a))
	})
}

// isClientRetryHarmless reports whether, after an attempt that may have run, endpoints drop the client's
// retry as a duplicate, or may run it again. The client retries after the Retry-After of the rejection.
func (b *Balancer) isClientRetryHarmless(now time.Duration, c *class, att *attempt) bool {
	maxRetryAfter := min(time.Duration(maxJitter*float64(meanRetryAfter)), b.settings.MaxRetryAfter)
	retriedAt := now + maxRetryAfter + 2*b.settings.TimerResolution
	return c.Idempotency == Idempotent || retriedAt < att.sentAt+c.DedupWindow
}
