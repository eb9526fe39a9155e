package balance_test

import (
	"fmt"
	"testing"

	"tuliprock/balance"
)

// The place among balancers changes under way: other endpoints are used, and what was learned of all of them stays.
func TestChangedIndexChangesTheSubsetAndKeepsWhatWasLearned(t *testing.T) {
	s := defaultSettings()
	s.Balancers = 60
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("e%02d", i))
	}
	r := newHarness(t, s, ids...)
	r.learnBaseline("read")
	used := func(r *harness) map[string]bool {
		out := map[string]bool{}
		for range 400 {
			id, ep := r.request("read")
			out[ep] = true
			r.advance(100 * ms)
			r.finish(id, balance.OK)
		}
		return out
	}
	before := used(r)
	r.balancer.Share(r.now, 60, 0) // no news
	r.balancer.Share(r.now, 60, 30)
	other := used(r)
	same := 0
	for ep := range other {
		if before[ep] {
			same++
		}
	}
	if same == len(before) {
		t.Error("another place among the balancers has the same endpoints")
	}
	r.balancer.Share(r.now, 60, 0)
	if listed, avoided := r.balancer.Census(); listed != 100 || avoided != 0 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
}
