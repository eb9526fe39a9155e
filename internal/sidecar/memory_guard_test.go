package sidecar

import (
	"log/slog"
	"testing"
	"time"

	"tuliprock/internal/memusage"
)

// Close to the limit garbage is returned to the system, and new requests are rejected only if that does not help, and only as long.
func TestMemoryGuardCollectsFirstAndShedsIfThatDoesNotHelp(t *testing.T) {
	const limit = 32_000_000
	resident, afterCollection, collections, isShedding := int64(0), int64(0), 0, false
	g := newMemoryGuard(32, func(shedding bool) { isShedding = shedding }, slog.New(slog.DiscardHandler))
	g.read = func() int64 { return resident }
	g.collect = func() { collections++; resident = afterCollection }
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		name                      string
		resident, afterCollection int64
		wantCollections           int
		wantShedding              bool
		wantInterval              time.Duration
	}{
		{"far below the limit", limit / 2, limit / 2, 0, false, relaxedCheckInterval},
		{"not far below", limit * 8 / 10, limit * 8 / 10, 0, false, watchfulCheckInterval},
		{"garbage", limit * 98 / 100, limit * 8 / 10, 1, false, watchfulCheckInterval},
		{"no garbage", limit * 98 / 100, limit * 98 / 100, 2, true, watchfulCheckInterval},
		{"less in use", limit / 2, limit / 2, 2, false, relaxedCheckInterval},
	} {
		now = now.Add(minCollectInterval)
		resident, afterCollection = step.resident, step.afterCollection
		if interval := g.check(now); interval != step.wantInterval || collections != step.wantCollections || isShedding != step.wantShedding {
			t.Errorf("%s: next check in %v, %d collections, shedding %t, want %v, %d and %t", step.name, interval, collections, isShedding,
				step.wantInterval, step.wantCollections, step.wantShedding)
		}
	}
	for i := range 3 {
		resident, afterCollection = limit, limit
		g.check(now.Add(minCollectInterval + time.Duration(i)*time.Millisecond))
	}
	if collections != 3 {
		t.Errorf("%d collections, want one for three checks within some milliseconds", collections)
	}
	g.setProcesses(32, 2)
	if got := g.limit.Load(); got != memusage.LimitBytes(32, 2) {
		t.Errorf("the limit of one of two processes is %d bytes", got)
	}
}
