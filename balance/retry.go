package balance

import "time"

// The retry budget, which keeps retries of several tiers from multiplying.
const (
	retryBudgetRatio = 0.1  // retries earned per request
	maxRetryBudget   = 10.0 // retries saved up at most
)

// canRetry reports whether body, attempt limit, retry budget and deadline permit another attempt.
func (b *Balancer) canRetry(now time.Duration, req *request) bool {
	return !req.bodyConsumed && (b.settings.MaxAttempts <= 0 || len(req.attempts) < b.settings.MaxAttempts) &&
		b.retryBudget >= 1 && b.canMeetDeadline(now, req, 1)
}

// isSafeToSend reports whether the request cannot take effect twice if the endpoint gets it now: no attempt
// is in flight, and any that may have run is harmless to repeat or will be dropped there as a duplicate.
func (b *Balancer) isSafeToSend(now time.Duration, req *request, ep *endpoint) bool {
	for i := range req.attempts {
		att, c := &req.attempts[i], req.class
		if att.inFlight {
			return false
		}
		if !att.mayHaveRun || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NonIdempotent || now+2*b.settings.TimerResolution >= att.sentAt+c.DedupWindow ||
			c.DedupScope == ScopeZone && att.endpoint.Zone != ep.Zone ||
			c.DedupScope == ScopeCell && att.endpoint.Cell != ep.Cell {
			return false
		}
	}
	return true
}
