package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The size of the subset: the largest of three bounds.
const (
	subsetRequestInterval = time.Second // each endpoint gets a request this often: its weight stays known
	balancersPerEndpoint  = 12.0        // subsets that each endpoint is in: one more matters little
	minSubsetSize         = 4.0         // endpoints, so that a retry finds another one
	minRequestRate        = 0.2         // requests per second that a balancer is taken to have at least
)

// countRequest counts a request, and rebuilds the subset where the rate has changed the wanted size by half.
func (b *Balancer) countRequest(now time.Duration) {
	b.requestCounter.add(now)
	wanted := b.requestRate(now) * subsetRequestInterval.Seconds()
	if wanted > 1.5*b.subsetSizeByRate || wanted < 0.5*b.subsetSizeByRate {
		b.subsetSizeByRate = wanted
		b.rebuildSubset(now)
	}
}

// rebuildSubset chooses the endpoints that this balancer uses. With little traffic over all of them it would
// not know their latency, and open a connection for nearly every request. A subset takes even steps through
// the endpoints sorted by kind, from a start by the balancer's index: all endpoints get as many balancers,
// all balancers the same mix of kinds.
func (b *Balancer) rebuildSubset(now time.Duration) {
	defer b.paceSlowStart(now)
	b.recentlyUsed, b.pickSample, b.cachedWeightUses = b.recentlyUsed[:0], b.pickSample[:0], 0
	isUnavailable := func(ep *endpoint) bool { return !ep.isAvailable() }
	b.subset = slices.DeleteFunc(slices.Clone(b.endpoints), isUnavailable)
	n, balancers := float64(len(b.subset)), float64(max(b.settings.Balancers, 1))
	size := math.Floor(max(b.subsetSizeByRate, minSubsetSize, balancersPerEndpoint*n/balancers))
	if 2*size >= n {
		return
	}
	slices.SortFunc(b.subset, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
	})
	start := min(float64(max(b.settings.Index, 0))/balancers, 1-1/balancers)
	for i := range int(size) {
		b.subset[i] = b.subset[int((float64(i)+start)/size*n)]
	}
	b.subset = b.subset[:int(size)]
}

// roundDuration is the time between two attempts of this balancer at one endpoint if all get the same.
func (b *Balancer) roundDuration(now time.Duration) time.Duration {
	return seconds(float64(len(b.subset)) / max(b.requestRate(now), minRequestRate))
}

// requestRate is the recent rate of requests per second.
func (b *Balancer) requestRate(now time.Duration) float64 {
	return b.requestCounter.perSecond(now, b.startedAt)
}
