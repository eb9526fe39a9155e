package balance

import (
	"slices"
	"time"
)

const (
	quotaBurst  = 1.0                    // seconds of a tenant's quota that may come at once
	overRoom    = 0.6                    // share of the room up to which over-share requests are let in
	allShares   = 1.3                    // or while requests come at this multiple of all quotas together
	wary        = 1.2                    // stretch from which room in use is pressure
	holdShare   = 0.05                   // share of the mean aim that a request waits here at most
	hopeless    = 0.6                    // share of the expected time that must be left, when room is short
	retryAdvice = 300 * time.Millisecond // how long a refused client is asked to stay away
)

// overShare charges a request to its tenant's quota and tells whether it is beyond. Only the first tier can
// tell: further down one request becomes several calls.
func (b *Balancer) overShare(now time.Duration, q *request) bool {
	t := b.tenants[q.Tenant]
	if t == nil || t.Quota <= 0 || b.s.Tier > 0 {
		return false
	}
	rate := t.Quota / float64(max(b.s.Balancers, 1))
	t.tokens = min(t.tokens+rate*(now-t.at).Seconds(), max(rate*quotaBurst, 1))
	t.at = now
	if t.tokens < 1 {
		return true
	}
	if !q.Repeat { // the first try has paid
		t.tokens--
	}
	return false
}

// holdEnd ends the wait for room, alike for all classes: else those with the shortest aim starve in overload.
func (b *Balancer) holdEnd(q *request) time.Duration {
	switch {
	case len(q.attempts) > 0:
		return q.giveUp
	case b.ready == 0: // whoever comes first may still answer in time
		return q.giveUp - seconds(b.expected(q))
	}
	return min(q.giveUp, q.arrived+seconds(holdShare*b.aim))
}

// inTime tells whether an attempt sent now can still bring an answer that counts.
func (b *Balancer) inTime(now time.Duration, q *request, share float64) bool {
	return now+seconds(b.expected(q)*b.smallest()*share) <= q.giveUp
}

// end gives the final answer: refused if that is true, else failed.
func (b *Balancer) end(now time.Duration, q *request) {
	if q.held && len(q.attempts) == 0 && float64(b.out) < b.room { // for want of an endpoint
		b.admitted.add(now)
	}
	if q.mayRefuse() {
		b.host.Refuse(q.ID, min(b.jitter(retryAdvice), b.s.MaxRetryAfter))
	} else {
		b.host.Fail(q.ID)
	}
	b.close(q)
}

// mayRefuse tells whether "trying again is harmless" is true. Of a request whose body flows nothing is left
// to doubt: there it is true only if no attempt can have run.
func (q *request) mayRefuse() bool {
	harmless := q.class.Effect == Safe || q.class.Effect == Keyed && q.class.Group == GroupAll
	return harmless && q.Flow == 0 ||
		!slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.out || a.mayRun })
}
