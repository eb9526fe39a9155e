package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants of the subset, which holds the endpoints that this balancer uses. The subset has the largest size
// that subsetRequestInterval, balancersPerEndpoint or minSubsetSize demands. Each endpoint is in many
// subsets, so that one subset more or less matters little for the load of the endpoint.
const (
	// subsetRequestInterval is the interval at which an endpoint must get requests from a balancer so
	// that the balancer's weight for the endpoint stays current.
	subsetRequestInterval = time.Second

	balancersPerEndpoint = 12.0 // least number of subsets that contain an endpoint
	minSubsetSize        = 4.0  // least number of endpoints, so that a retry finds another endpoint

	minRequestRate = 0.2 // requests per second that a balancer is assumed to have at least
)

// countRequest counts a request, and rebuilds the subset if the size that the request rate requires differs
// by more than half from subsetSizeByRate.
func (b *Balancer) countRequest(now time.Duration) {
	b.requestCounter.add(now)
	sizeByRate := b.requestRate(now) * subsetRequestInterval.Seconds()
	if sizeByRate > 1.5*b.subsetSizeByRate || sizeByRate < 0.5*b.subsetSizeByRate {
		b.subsetSizeByRate = sizeByRate
		b.rebuildSubset(now)
	}
}

// rebuildSubset chooses the endpoints that this balancer uses. A balancer with little traffic that used all
// of them would not know their latency, and would open a connection for nearly every request. The subset
// takes endpoints at even distances from a list sorted by kind, beginning at a position given by the
// balancer's index, so that all endpoints are in about as many subsets and all subsets have the same mix of
// kinds.
func (b *Balancer) rebuildSubset(now time.Duration) {
	defer b.paceSlowStart(now)
	b.recentlyUsed, b.pickSample, b.cachedWeightUses = b.recentlyUsed[:0], b.pickSample[:0], 0
	isUnavailable := func(ep *endpoint) bool { return !ep.isAvailable() }
	b.subset = slices.DeleteFunc(slices.Clone(b.endpoints), isUnavailable)
	n, balancers := float64(len(b.subset)), float64(max(b.settings.BalancerCount, 1))
	subsetSize := math.Floor(max(b.subsetSizeByRate, minSubsetSize, balancersPerEndpoint*n/balancers))
	if 2*subsetSize >= n {
		return
	}
	slices.SortFunc(b.subset, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
	})
	startFraction := min(float64(max(b.settings.BalancerIndex, 0))/balancers, 1-1/balancers)
	for i := range int(subsetSize) {
		b.subset[i] = b.subset[int((float64(i)+startFraction)/subsetSize*n)]
	}
	b.subset = b.subset[:int(subsetSize)]
}

// roundDuration returns the length of a round: the time in which each endpoint of the subset gets one request
// if all get the same number.
func (b *Balancer) roundDuration(now time.Duration) time.Duration {
	return seconds(float64(len(b.subset)) / max(b.requestRate(now), minRequestRate))
}

// requestRate returns the recent rate of requests, in requests per second.
func (b *Balancer) requestRate(now time.Duration) float64 {
	return b.requestCounter.perSecond(now, b.startedAt)
}
