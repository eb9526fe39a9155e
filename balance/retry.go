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
			!ep.dropsDuplicatesOf(now, c, att) {
			return false
		}
	}
	return true
}

// dropsDuplicatesOf reports whether the endpoint is certain to know the idempotency keys of the endpoint that
// the attempt was sent to. A process that may be another one than the list says may belong to another zone or
// cell, and know none of them.
func (e *endpoint) dropsDuplicatesOf(now time.Duration, c *class, att *attempt) bool {
	switch c.DedupScope {
	case ScopeZone:
		return !e.mayBeReplaced(now) && att.zone == e.Zone
	case ScopeCell:
		return !e.mayBeReplaced(now) && att.cell == e.Cell
	}
	return true
}
