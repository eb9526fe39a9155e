package balance_test

import (
	"fmt"
	"strconv"
	"testing"

	"tuliprock/balance"
)

// A balancer with a changed index uses other endpoints, and the state of all endpoints is kept.
func TestChangedIndexChangesTheSubsetAndKeepsEndpointState(t *testing.T) {
	s := defaultSettings()
	s.BalancerCount = 60
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("e%02d", i))
	}
	h := newHarness(t, s, ids...)
	h.learnBaseline("read")
	collectUsedEndpoints := func(h *harness) map[string]bool {
		used := map[string]bool{}
		for range 400 {
			id, ep := h.request("read")
			used[ep] = true
			h.advance(100 * ms)
			h.finish(id, balance.OK)
		}
		return used
	}
	before := collectUsedEndpoints(h)
	h.balancer.SetBalancerCount(h.now, 60, 0) // has no effect: the count is 60 and the index 0 already
	h.balancer.SetBalancerCount(h.now, 60, 30)
	after := collectUsedEndpoints(h)
	sharedEndpoints := 0
	for ep := range after {
		if before[ep] {
			sharedEndpoints++
		}
	}
	if sharedEndpoints == len(before) {
		t.Errorf("with another index the balancer uses the same %d endpoints as before, want others", sharedEndpoints)
	}
	h.balancer.SetBalancerCount(h.now, 60, 0)
	if listed, ejected := h.balancer.EndpointCounts(); listed != 100 || ejected != 0 {
		t.Errorf("%d endpoints are listed and %d ejected, want 100 and none", listed, ejected)
	}
}

// measureSubsets runs balancers with one request per second each. It returns the number of balancers that use an endpoint, by
// endpoint ID, and the smallest and largest number of endpoints that one balancer uses.
func measureSubsets(t *testing.T, balancers, endpoints int) (balancersByEndpoint map[string]int, smallestSubset, largestSubset int) {
	t.Helper()
	names := []string{}
	for i := range endpoints {
		names = append(names, "e"+strconv.Itoa(i))
	}
	balancersByEndpoint, smallestSubset = map[string]int{}, endpoints
	for c := range balancers {
		s := defaultSettings()
		s.BalancerCount, s.BalancerIndex = balancers, c
		h := newHarness(t, s, names...)
		used := map[string]bool{}
		for range 40 {
			id, ep := h.request("read")
			used[ep] = true
			h.advance(50 * ms)
			h.finish(id, balance.OK)
			h.advance(950 * ms)
		}
		for ep := range used {
			balancersByEndpoint[ep]++
		}
		smallestSubset, largestSubset = min(smallestSubset, len(used)), max(largestSubset, len(used))
	}
	return balancersByEndpoint, smallestSubset, largestSubset
}

// Balancers with little traffic must use only a subset of the endpoints. When each of 420 balancers with two requests per
// second used each of 80 endpoints every 40 s, no balancer detected a slow endpoint, and nearly every request opened a
// connection (simulations of site tartu at full size).
func TestManyLowTrafficBalancersUseSubsets(t *testing.T) {
	balancersByEndpoint, smallestSubset, largestSubset := measureSubsets(t, 200, 60)
	if smallestSubset < 4 || largestSubset > 12 {
		t.Errorf("balancers use %d to %d of 60 endpoints, want 4 to 12", smallestSubset, largestSubset)
	}
	minBalancers, maxBalancers := 200, 0
	for _, n := range balancersByEndpoint {
		minBalancers, maxBalancers = min(minBalancers, n), max(maxBalancers, n)
	}
	if len(balancersByEndpoint) < 60 || float64(maxBalancers) > 1.3*float64(minBalancers) {
		t.Errorf("%d endpoints are used, by %d to %d balancers, want 60, the most by 1.3 times the fewest", len(balancersByEndpoint), minBalancers, maxBalancers)
	}
}

// If there are few balancers, each must use all endpoints: with subsets, one balancer more or less per endpoint would be an
// imbalance.
func TestFewBalancersUseAllEndpoints(t *testing.T) {
	if balancersByEndpoint, smallestSubset, _ := measureSubsets(t, 6, 12); len(balancersByEndpoint) != 12 || smallestSubset != 12 {
		t.Errorf("a balancer uses %d of 12 endpoints and all balancers together use %d, want 12", smallestSubset, len(balancersByEndpoint))
	}
}
