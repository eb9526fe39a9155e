package hotrestart

import (
	"testing"

	"pgregory.net/rapid"
)

// During a hot restart, the limit of either process plus the descriptors that the other one uses never exceeds the common limit.
func TestDescriptorLimitsOfTwoProcessesFitTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(256, 4096).Draw(t, "common limit")
		olderView := View{Others: []int{2}, Superseded: rapid.Bool().Draw(t, "newer process is ready")}
		usedByOlder := rapid.IntRange(20, limit-startupDescriptors-reservedDescriptors).Draw(t, "descriptors of the older process")
		newerLimit := DescriptorLimit(limit, View{Others: []int{1}}, usedByOlder)
		if newerLimit+usedByOlder > limit {
			t.Fatalf("the newer process may use %d descriptors while the older one uses %d, want at most %d together", newerLimit, usedByOlder, limit)
		}
		usedByNewer := rapid.IntRange(0, max(newerLimit, 0)).Draw(t, "descriptors of the newer process")
		if olderLimit := DescriptorLimit(limit, olderView, usedByNewer); olderLimit+usedByNewer > limit {
			t.Fatalf("the older process may use %d descriptors while the newer one uses %d, want at most %d together", olderLimit, usedByNewer, limit)
		}
		if got := DescriptorLimit(limit, View{}, 0); got != limit {
			t.Fatalf("the only process may use %d descriptors, want the common limit %d", got, limit)
		}
	})
}

func TestSupersededProcessKeepsAQuarterOfTheDescriptors(t *testing.T) {
	if got := DescriptorLimit(1024, View{Others: []int{2}, Superseded: true}, 500); got != 256 {
		t.Errorf("a superseded process may use %d descriptors of 1024 while the newer one uses 500, want 256", got)
	}
}
