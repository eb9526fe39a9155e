package balance

import "time"

// Timer implements Events. Timers cannot be cancelled: one before the next wake-up is stale and ignored.
func (b *Balancer) Timer(now time.Duration) {
	if b.wakeupAt != 0 && now >= b.wakeupAt {
		b.wakeupAt = 0
		b.processDue(now)
		if b.resubscribeAt > 0 {
			b.wakeAt(b.resubscribeAt)
		}
		for _, req := range b.unfinished {
			b.wakeAt(b.nextCheckAt(req))
		}
	}
}

// nextCheckAt is when processDue has to check the request next.
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

// wakeAt makes sure that processDue runs at the instant given.
func (b *Balancer) wakeAt(at time.Duration) {
	if b.wakeupAt == 0 || at < b.wakeupAt {
		b.wakeupAt = at
		b.host.Timer(at)
	}
}

// jitter varies a duration by a quarter at most, so that balancers that see the same do not act at the same
// moment.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
