package balance

import "time"

// slowStartLoadMultiple is the load of an endpoint that is warming up, in even shares scaled to its capacity.
// Above 1 it gets measured soon enough; all balancers together must not overload it.
const slowStartLoadMultiple = 1.5

// paceSlowStart follows a change of the subset. An endpoint that is warming up gets its first request at a
// random moment of its interval: when lists change or balancers restart, many subsets take it in at once, and
// their first requests alone would overload it. Waits in progress are scaled with the length of a turn, which
// a restarted balancer learns from its first requests. Without an active endpoint nothing is delayed.
func (b *Balancer) paceSlowStart(now time.Duration) {
	turn := b.slowStartRoundSeconds(now)
	for _, ep := range b.endpoints {
		if wait := (ep.slowStartNextAt - now).Seconds(); wait > 0 && b.pacedRoundSeconds > 0 {
			ep.slowStartNextAt = now + seconds(wait*turn/b.pacedRoundSeconds)
		}
	}
	b.pacedRoundSeconds = turn
	hasActive := b.summarizeActive().count > 0
	for _, ep := range b.subset {
		if hasActive && !ep.wasInSubset && b.capacityFraction(now, ep) < 1 {
			wait := seconds(b.rng.Float64() * b.slowStartInterval(now, ep).Seconds())
			ep.slowStartNextAt = max(ep.slowStartNextAt, now+wait)
		}
	}
	for _, ep := range b.endpoints {
		ep.wasInSubset = false
	}
	for _, ep := range b.subset {
		ep.wasInSubset = true
	}
}

// slowStartInterval is the time between two attempts, trials included, at an endpoint that is warming up.
func (b *Balancer) slowStartInterval(now time.Duration, ep *endpoint) time.Duration {
	return seconds(b.slowStartRoundSeconds(now) / (b.capacityFraction(now, ep) * slowStartLoadMultiple))
}

// slowStartRoundSeconds is the length of a turn in seconds, by admitted requests only: what is rejected
// reaches no endpoint, and clients repeat it.
func (b *Balancer) slowStartRoundSeconds(now time.Duration) float64 {
	return float64(len(b.subset)) / max(b.admittedCounter.perSecond(now, b.startedAt), minRequestRate)
}

// capacityFraction is the least fraction of its full capacity that the endpoint has by now; 1 unless it is
// warming up.
func (b *Balancer) capacityFraction(now time.Duration, ep *endpoint) float64 {
	if ep.Started <= 0 || now-ep.Started >= b.settings.SlowStartDuration {
		return 1
	}
	age := float64(max(now-ep.Started, 0)) / float64(b.settings.SlowStartDuration)
	return max(b.settings.SlowStartCapacity+(1-b.settings.SlowStartCapacity)*age, 0.05)
}
