package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// During a hot restart two processes never use more than the limit, once each has seen what the other uses.
func TestDescriptorLimitsOfTwoProcessesFitTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(256, 4096).Draw(t, "limit")
		olderView := View{Others: []int{2}, Superseded: rapid.Bool().Draw(t, "newer is ready")}
		usedByOlder := rapid.IntRange(20, limit-startupDescriptors-reservedDescriptors).Draw(t, "used by the older")
		newer := DescriptorLimit(limit, View{Others: []int{1}}, usedByOlder)
		if newer+usedByOlder > limit {
			t.Fatalf("the newer one may use %d beside %d of %d", newer, usedByOlder, limit)
		}
		usedByNewer := rapid.IntRange(0, max(newer, 0)).Draw(t, "used by the newer")
		if older := DescriptorLimit(limit, olderView, usedByNewer); older+usedByNewer > limit {
			t.Fatalf("the older one may use %d beside %d of %d", older, usedByNewer, limit)
		}
		if DescriptorLimit(limit, View{}, 0) != limit {
			t.Fatal("a process that is alone has less than the limit")
		}
	})
}

func TestSupersededProcessKeepsAQuarterOfTheDescriptors(t *testing.T) {
	if got := DescriptorLimit(1024, View{Others: []int{2}, Superseded: true}, 500); got != 256 {
		t.Errorf("where the newer one needs half, the older one keeps %d", got)
	}
}
