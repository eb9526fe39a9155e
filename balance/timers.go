package balance

import "time"

// Timer implements Events. A timer that fires before wakeupAt is stale, since timers cannot be cancelled, and
// is ignored.
func (b *Balancer) Timer(now time.Duration) {
	if b.wakeupAt != 0 && now >= b.wakeupAt {
		b.wakeupAt = 0
		b.processDueTasks(now)
		if b.resubscribeAt > 0 {
			b.wakeAt(b.resubscribeAt)
		}
		for _, req := range b.unfinished {
			b.wakeAt(b.nextCheckAt(req))
		}
	}
}

// nextCheckAt returns the instant at which processDueTasks has to check the request next.
func (b *Balancer) nextCheckAt(req *request) time.Duration {
	at := req.giveUpInstant()
	if req.isQueued {
		at = b.queueDeadline(req)
	}
	if len(req.pendingProbes) > 0 {
		at = min(at, req.probeDeadline)
	}
	for i := range req.attempts {
		if req.attempts[i].inFlight {
			at = min(at, req.attempts[i].overdueAt)
		}
	}
	return at
}

// wakeAt sets a timer, so that processDueTasks runs at the given instant, unless an earlier timer is set.
func (b *Balancer) wakeAt(at time.Duration) {
	if b.wakeupAt == 0 || at < b.wakeupAt {
		b.wakeupAt = at
		b.host.Timer(at)
	}
}

// Bounds of the results of Balancer.jitter, as multiples of the mean.
const (
	minJitter = 0.75
	maxJitter = 1.25
)

// jitter returns a random duration between minJitter and maxJitter times d, so that balancers with the same
// events do not act at the same instant.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (minJitter + (maxJitter-minJitter)*b.rng.Float64()))
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
