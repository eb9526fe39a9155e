package balance

import "time"

// Constants of the retry budget, which prevents the retries of several tiers from multiplying.
const (
	retryBudgetRatio = 0.1  // retries that each request adds to the budget
	maxRetryBudget   = 10.0 // largest number of retries in the budget
)

// canRetry reports whether the body, the attempt limit, the retry budget and the deadline permit another
// attempt.
func (b *Balancer) canRetry(now time.Duration, req *request) bool {
	return !req.bodyConsumed && (b.settings.MaxAttempts <= 0 || len(req.attempts) < b.settings.MaxAttempts) &&
		b.retryBudget >= 1 && b.canMeetDeadline(now, req, 1)
}

// isSafeToSend reports whether the request cannot take effect twice if it is sent to the endpoint now. It
// returns false while an attempt is in flight. After an attempt that may have run, it returns true only if
// the request is idempotent or the endpoint drops it as a duplicate.
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
