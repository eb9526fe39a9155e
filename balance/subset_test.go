package balance_test

import (
	"fmt"
	"testing"

	"tuliprock/balance"
)

// The place among balancers changes under way: other endpoints are used, and what was learned of all of them stays.
func TestAShareChangesUnderWay(t *testing.T) {
	s := basic()
	s.Balancers = 60
	var ids []string
	for i := range 100 {
		ids = append(ids, fmt.Sprintf("e%02d", i))
	}
	r := newRig(t, s, ids...)
	r.calm("read")
	used := func(r *rig) map[string]bool {
		out := map[string]bool{}
		for range 400 {
			id, ep := r.call("read")
			out[ep] = true
			r.wait(100 * ms)
			r.end(id, balance.OK)
		}
		return out
	}
	before := used(r)
	r.b.Share(r.now, 60, 0) // no news
	r.b.Share(r.now, 60, 30)
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
	r.b.Share(r.now, 60, 0)
	if listed, avoided := r.b.Census(); listed != 100 || avoided != 0 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
}
