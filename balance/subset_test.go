package balance_test

import (
	"fmt"
	"strconv"
	"testing"

	"tuliprock/balance"
)

// With another index a balancer uses other endpoints, and what was learned of all of them stays.
func TestChangedIndexChangesTheSubsetAndKeepsWhatWasLearned(t *testing.T) {
	s := defaultSettings()
	s.Balancers = 60
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("e%02d", i))
	}
	h := newHarness(t, s, ids...)
	h.learnBaseline("read")
	used := func(h *harness) map[string]bool {
		out := map[string]bool{}
		for range 400 {
			id, ep := h.request("read")
			out[ep] = true
			h.advance(100 * ms)
			h.finish(id, balance.OK)
		}
		return out
	}
	before := used(h)
	h.balancer.SetBalancerCount(h.now, 60, 0) // no change
	h.balancer.SetBalancerCount(h.now, 60, 30)
	other := used(h)
	same := 0
	for ep := range other {
		if before[ep] {
			same++
		}
	}
	if same == len(before) {
		t.Error("another index among the balancers has the same endpoints")
	}
	h.balancer.SetBalancerCount(h.now, 60, 0)
	if listed, avoided := h.balancer.EndpointCounts(); listed != 100 || avoided != 0 {
		t.Errorf("%d listed, %d ejected", listed, avoided)
	}
}

// measureSubsets returns how many balancers with one request a second each use an endpoint, and the fewest and the most
// endpoints that one balancer uses.
func measureSubsets(t *testing.T, balancers, endpoints int) (met map[string]int, fewest, most int) {
	t.Helper()
	names := []string{}
	for i := range endpoints {
		names = append(names, "e"+strconv.Itoa(i))
	}
	met, fewest = map[string]int{}, endpoints
	for c := range balancers {
		s := defaultSettings()
		s.Balancers, s.Index = balancers, c
		h := newHarness(t, s, names...)
		own := map[string]bool{}
		for range 40 {
			id, ep := h.request("read")
			own[ep] = true
			h.advance(50 * ms)
			h.finish(id, balance.OK)
			h.advance(950 * ms)
		}
		for ep := range own {
			met[ep]++
		}
		fewest, most = min(fewest, len(own)), max(most, len(own))
	}
	return met, fewest, most
}

// On tartu's full-size days each of 420 balancers with two requests a second used each of 80 endpoints every 40 s: none
// noticed a slow endpoint, and nearly every request opened a connection.
func TestManyQuietBalancersKeepToSubsets(t *testing.T) {
	met, fewest, most := measureSubsets(t, 200, 60)
	if fewest < 4 || most > 12 {
		t.Errorf("balancers use %d to %d of 60 endpoints", fewest, most)
	}
	least, highest := 200, 0
	for _, n := range met {
		least, highest = min(least, n), max(highest, n)
	}
	if len(met) < 60 || float64(highest) > 1.3*float64(least) {
		t.Errorf("%d endpoints are used, by %d to %d balancers", len(met), least, highest)
	}
}

// With few balancers, one more or less that has an endpoint in its subset would be an imbalance of its own.
func TestFewBalancersUseAllEndpoints(t *testing.T) {
	if met, fewest, _ := measureSubsets(t, 6, 12); len(met) != 12 || fewest != 12 {
		t.Errorf("a balancer among few uses %d of 12 endpoints, all together %d", fewest, len(met))
	}
}
