package balance

import "time"

const (
	resendShare = 0.1  // resends earned by each request
	resendMost  = 10.0 // resends saved up at most
)

// mayTry tells whether limit, time and budget allow one more attempt. Resends must not multiply over tiers.
func (b *Balancer) mayTry(now time.Duration, q *request) bool {
	return !q.spent && (b.s.MaxAttempts <= 0 || len(q.attempts) < b.s.MaxAttempts) &&
		b.budget >= 1 && b.inTime(now, q, 1)
}

// mayResend is the rule against double effects.
func (b *Balancer) mayResend(now time.Duration, q *request, e *endpoint) bool {
	for i := range q.attempts {
		a, c := &q.attempts[i], q.class
		if a.out {
			return false
		}
		if !a.mayRun || c.Effect == Safe {
			continue
		}
		if c.Effect == Unsafe || now+2*b.s.Resolution >= a.sent+c.Window ||
			c.Group == GroupZone && a.e.Zone != e.Zone || c.Group == GroupCell && a.e.Cell != e.Cell {
			return false
		}
	}
	return true
}
