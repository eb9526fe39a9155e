package balance

import (
	"math"
	"time"
)

// The adaptive concurrency limit: attempts in flight, streaming bodies apart, over all endpoints.
const (
	initialLimitPerEndpoint = 6.0             // attempts in flight per endpoint, before any response
	stretchTimeConstant     = 2 * time.Second // after which a response counts 1/e of the recent stretch
	maxLimitStretch         = 3.0             // one response contributes no more: it may be an outlier
	congestionStretch       = 1.6             // recent stretch above which the limit is reduced,
	limitReductionFloor     = 0.5             // to no less than this fraction each half response time
	limitGrowthStretch      = 1.5             // recent stretch below which a limit that is reached grows,
	limitGrowthGain         = 0.2             // per response, by this times the distance below that stretch
	firstTierGrowthStretch  = 1.3             // below which the first tier, where clients are spread
	firstTierGrowthMultiple = 2.0             // unevenly, has it grow this many times as fast
)

// updateConcurrencyLimit reduces the limit while it is used and responses stretch, lest endpoints are driven
// into a slow state, and raises it while it is reached and they hardly do. A balancer with little traffic has
// few responses to go by: the latest weighs most, and the attempt that it ended counts as in flight.
func (b *Balancer) updateConcurrencyLimit(now time.Duration, stretch float64) {
	gain := 1 - math.Exp(-(now-b.limitUpdatedAt).Seconds()/stretchTimeConstant.Seconds())
	b.limitUpdatedAt = now
	b.recentStretch += (min(stretch, maxLimitStretch) - b.recentStretch) * max(gain, recentMeanGain)
	isUsed := float64(b.inFlight+1) > usedLimitFraction*b.concurrencyLimit
	switch {
	case b.recentStretch > congestionStretch && isUsed && now >= b.nextReductionAt:
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

// endpointsPerBalancer is how many endpoints there are per balancer. Behind the first tier it is all of them:
// balancers are many there, and each has little traffic.
func (b *Balancer) endpointsPerBalancer() float64 {
	n := float64(len(b.endpoints))
	if b.settings.Tier == 0 {
		n /= float64(max(b.settings.Balancers, 1))
	}
	return max(n, 1)
}
