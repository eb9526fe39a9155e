package balance

import (
	"math"
	"time"
)

// Constants of the adaptive concurrency limit, which bounds the attempts in flight at all endpoints,
// streaming bodies excluded.
const (
	initialLimitPerEndpoint = 6.0             // limit before any response, in attempts per endpoint
	stretchTimeConstant     = 2 * time.Second // time in which a response's part of recentStretch falls to 1/e
	maxLimitStretch         = 3.0             // cap on a response's stretch, as it may be an outlier
	congestionStretch       = 1.6             // recentStretch above which the limit is reduced if in use
	limitGrowthStretch      = 1.5             // recentStretch below which the limit grows when reached
	limitGrowthGain         = 0.2             // growth per response / (limitGrowthStretch - recentStretch)
	usedLimitFraction       = 0.6             // part of the limit in flight above which the limit is in use

	// limitReductionFloor is the least factor by which a reduction multiplies the limit. At least half a
	// response time passes between two reductions.
	limitReductionFloor = 0.5

	// In the first tier clients are spread unevenly over balancers, so that some soon need a higher limit.
	firstTierGrowthStretch  = 1.3 // recentStretch below which the limit of the first tier grows faster
	firstTierGrowthMultiple = 2.0 // factor by which the limit of the first tier grows faster
)

// updateConcurrencyLimit updates the limit after a response with the given stretch, which is its latency
// divided by the baseline latency. It reduces the limit if recent responses are slow and much of the limit is
// in use, before endpoints are saturated, and raises the limit if responses are fast and the limit is
// reached. A balancer with little traffic has few responses, so the weight of a response grows with the time
// since the previous response, and the attempt that has just ended still counts as in flight.
func (b *Balancer) updateConcurrencyLimit(now time.Duration, stretch float64) {
	gain := 1 - math.Exp(-(now-b.limitUpdatedAt).Seconds()/stretchTimeConstant.Seconds())
	b.limitUpdatedAt = now
	b.recentStretch += (min(stretch, maxLimitStretch) - b.recentStretch) * max(gain, recentMeanGain)
	isLimitUsed := float64(b.inFlight+1) > usedLimitFraction*b.concurrencyLimit
	switch {
	case b.recentStretch > congestionStretch && isLimitUsed && now >= b.nextReductionAt:
		usedLimit := min(b.concurrencyLimit, float64(b.inFlight+1))
		reductionFactor := max(limitReductionFloor, congestionStretch/b.recentStretch)
		b.concurrencyLimit = max(usedLimit*reductionFactor, b.endpointsPerBalancer())
		b.nextReductionAt = now + seconds(b.recentStretch*b.meanBaselineSeconds()/2)
	case float64(b.inFlight+2) > b.concurrencyLimit:
		growth := limitGrowthGain
		if b.settings.Tier == 0 && b.recentStretch < firstTierGrowthStretch {
			growth *= firstTierGrowthMultiple
		}
		b.concurrencyLimit += growth * max(limitGrowthStretch-b.recentStretch, 0)
	}
}

// endpointsPerBalancer returns the number of endpoints divided by that of balancers, at least 1. Behind the
// first tier it returns the number of all endpoints, since balancers there are many and each has little
// traffic.
func (b *Balancer) endpointsPerBalancer() float64 {
	n := float64(len(b.endpoints))
	if b.settings.Tier == 0 {
		n /= float64(max(b.settings.Balancers, 1))
	}
	return max(n, 1)
}
