package balance

import (
	"math"
	"time"
)

// Constants of the adaptive concurrency limit, which bounds the attempts in flight at all endpoints,
// streaming bodies excluded.
const (
	initialLimitPerEndpoint = 6.0             // limit before any response, in attempts per endpoint
	stretchTimeConstant     = 2 * time.Second // time in which a response's weight falls to 1/e
	maxLimitStretch         = 3.0             // largest stretch counted, as a response may be an outlier
	congestionStretch       = 1.6             // recentStretch above which a used limit is reduced
	limitGrowthStretch      = 1.5             // recentStretch below which a limit that is reached grows
	limitGrowthGain         = 0.2             // growth per response, times limitGrowthStretch - recentStretch
	usedLimitFraction       = 0.6             // fraction of the limit in flight above which it counts as used

	// limitReductionFloor is the least factor by which a reduction multiplies the limit. At least half a
	// response time passes between two reductions.
	limitReductionFloor = 0.5

	// In the first tier clients are spread unevenly over balancers, so that some soon need a higher limit.
	firstTierGrowthStretch  = 1.3 // recentStretch below which the limit of the first tier grows faster
	firstTierGrowthMultiple = 2.0 // factor by which the limit of the first tier grows faster
)

// updateConcurrencyLimit updates the limit after a response. It reduces a limit that is used while the recent
// stretch is high, before endpoints are saturated, and raises a limit that is reached while the stretch is
// low. A balancer with little traffic has few responses, so the gain grows with the time since the last one,
// and the attempt that has just ended counts as in flight.
func (b *Balancer) updateConcurrencyLimit(now time.Duration, stretch float64) {
	gain := 1 - math.Exp(-(now-b.limitUpdatedAt).Seconds()/stretchTimeConstant.Seconds())
	b.limitUpdatedAt = now
	b.recentStretch += (min(stretch, maxLimitStretch) - b.recentStretch) * max(gain, recentMeanGain)
	isLimitUsed := float64(b.inFlight+1) > usedLimitFraction*b.concurrencyLimit
	switch {
	case b.recentStretch > congestionStretch && isLimitUsed && now >= b.nextReductionAt:
		inUse := min(b.concurrencyLimit, float64(b.inFlight+1))
		reduction := max(limitReductionFloor, congestionStretch/b.recentStretch)
		b.concurrencyLimit = max(inUse*reduction, b.endpointsPerBalancer())
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
