package balance

import "time"

// slowStartLoadMultiple is the rate of requests to an endpoint that is warming up, divided by the rate that
// would be proportional to the endpoint's capacity (see capacityFraction). It is above 1 to get latency
// samples soon, and low enough that all balancers together do not overload the endpoint.
const slowStartLoadMultiple = 1.5

// paceSlowStart updates the slow start after a rebuild of the subset. An endpoint that is warming up gets its
// first request at a random instant within slowStartInterval: after a list update or a restart of balancers,
// many subsets take the endpoint in at once, and their first requests alone would overload it. If an endpoint
// must still wait for its next request, the rest of the wait is scaled with slowStartRoundSeconds, which a
// restarted balancer estimates from its first requests. Without an active endpoint no first request is
// delayed.
func (b *Balancer) paceSlowStart(now time.Duration) {
	roundSeconds := b.slowStartRoundSeconds(now)
	for _, ep := range b.endpoints {
		if wait := (ep.slowStartNextAt - now).Seconds(); wait > 0 && b.lastSlowStartRoundSeconds > 0 {
			ep.slowStartNextAt = now + seconds(wait*roundSeconds/b.lastSlowStartRoundSeconds)
		}
	}
	b.lastSlowStartRoundSeconds = roundSeconds
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

// slowStartInterval returns the time between two attempts, trials included, at an endpoint that is warming
// up.
func (b *Balancer) slowStartInterval(now time.Duration, ep *endpoint) time.Duration {
	return seconds(b.slowStartRoundSeconds(now) / (b.capacityFraction(now, ep) * slowStartLoadMultiple))
}

// slowStartRoundSeconds returns the time, in seconds, in which each endpoint of the subset gets one request
// if all get the same number. Unlike roundDuration it counts only admitted requests, because rejected ones
// reach no endpoint, and clients retry them.
func (b *Balancer) slowStartRoundSeconds(now time.Duration) float64 {
	return float64(len(b.subset)) / max(b.admittedCounter.perSecond(now, b.startedAt), minRequestRate)
}

// capacityFraction returns the least fraction of its full capacity that the endpoint has now; 1 unless it is
// warming up.
func (b *Balancer) capacityFraction(now time.Duration, ep *endpoint) float64 {
	if ep.StartedAt <= 0 || now-ep.StartedAt >= b.settings.SlowStartDuration {
		return 1
	}
	warmedFraction := float64(max(now-ep.StartedAt, 0)) / float64(b.settings.SlowStartDuration)
	return max(b.settings.SlowStartCapacity+(1-b.settings.SlowStartCapacity)*warmedFraction, 0.05)
}
