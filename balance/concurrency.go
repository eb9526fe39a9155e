package balance

import (
	"math"
	"time"
)

// Constants of the adaptive concurrency limit, which bounds the attempts in flight at all endpoints together.
// Attempts whose request or response body is streaming do not count.
const (
	initialLimitPerEndpoint = 6.0             // limit before any response, in attempts per endpoint
	stretchTimeConstant     = 2 * time.Second // time in which a response's part of recentStretch falls to 1/e
	maxResponseStretch      = 3.0             // cap on a sample of recentStretch, as it may be an outlier
	congestionStretch       = 1.6             // recentStretch above which the limit is reduced if in use
	limitGrowthStretch      = 1.5             // recentStretch below which the limit grows when reached
	limitInUseThreshold     = 0.6             // attempts in flight / limit above which the limit is in use

	// limitGrowthGain is the number of attempts that a response adds to the limit, divided by the difference
	// limitGrowthStretch - recentStretch.
	limitGrowthGain = 0.2

	// limitReductionFloor is the least factor by which a reduction multiplies the limit.
	limitReductionFloor = 0.5

	// In the first tier, clients are spread unevenly over balancers. The limit grows faster there, because a
	// balancer with many clients soon needs a higher limit.
	firstTierGrowthStretch  = 1.3 // recentStretch below which the limit of the first tier grows faster
	firstTierGrowthMultiple = 2.0 // factor by which the limit of the first tier grows faster
)

// updateConcurrencyLimit updates the limit after a response with the given stretch, which is its latency
// divided by the baseline latency. It reduces the limit if recent responses are slow and much of the limit is
// in use, before endpoints are saturated, and raises the limit if responses are fast and the limit is
// reached. At least half a response time passes between two reductions. A balancer with little traffic has
// few responses and few attempts in flight. Therefore the weight of a response grows with the time since the
// previous response, and the attempt that has just ended still counts as in flight.
func (b *Balancer) updateConcurrencyLimit(now time.Duration, stretch float64) {
	gain := 1 - math.Exp(-(now-b.stretchUpdatedAt).Seconds()/stretchTimeConstant.Seconds())
	b.stretchUpdatedAt = now
	b.recentStretch += (min(stretch, maxResponseStretch) - b.recentStretch) * max(gain, recentMeanGain)
	isLimitUsed := float64(b.inFlight+1) > limitInUseThreshold*b.concurrencyLimit
	switch {
	case b.recentStretch > congestionStretch && isLimitUsed && now >= b.nextReductionAt:
		usedLimit := min(b.concurrencyLimit, float64(b.inFlight+1))
		reductionFactor := max(limitReductionFloor, congestionStretch/b.recentStretch)
		b.concurrencyLimit = max(usedLimit*reductionFactor, b.endpointShare())
		b.nextReductionAt = now + seconds(b.recentStretch*b.meanBaselineSeconds()/2)
	case float64(b.inFlight+2) > b.concurrencyLimit:
		growthGain := limitGrowthGain
		if b.settings.Tier == 0 && b.recentStretch < firstTierGrowthStretch {
			growthGain *= firstTierGrowthMultiple
		}
		b.concurrencyLimit += growthGain * max(limitGrowthStretch-b.recentStretch, 0)
	}
}

// endpointShare returns the number of endpoints whose attempts the limit is made for, at least 1. In the
// first tier the balancers divide the endpoints evenly. Behind the first tier the result is the number of all
// endpoints: balancers there are many and each has little traffic, so a divided limit would be too small.
func (b *Balancer) endpointShare() float64 {
	n := float64(len(b.endpoints))
	if b.settings.Tier == 0 {
		n /= float64(max(b.settings.BalancerCount, 1))
	}
	return max(n, 1)
}
