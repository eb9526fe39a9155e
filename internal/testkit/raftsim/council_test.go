package raftsim

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/cluster/consensus"
)

var terms = consensus.LeaseConfig{Duration: 6 * time.Second, ShortDuration: 1500 * time.Millisecond, MaxClockDrift: 0.01}

// play is one drawn schedule of faults.
func play(o Options) *World {
	if o.Puts == 0 {
		o.Puts = 400 * time.Millisecond
	}
	w := New(o)
	w.Run(3 * time.Second)
	w.Trouble(25 * time.Second)
	w.Settle(30 * time.Second)
	return w
}

// COUNCIL=number plays more schedules.
func TestDrawnSchedules(t *testing.T) {
	n := 20
	if more, err := strconv.Atoi(os.Getenv("COUNCIL")); err == nil {
		n = more
	}
	var mu sync.Mutex
	var busy sync.WaitGroup
	longest, acts, refused, versions := time.Duration(0), 0, 0, uint64(0)
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		busy.Go(func() {
			for seed := range seeds {
				o := Options{Voters: 3 + 2*int(seed%2), Followers: 4 * int(1+seed%10/9*11), Seed: seed, Terms: terms}
				if seed%3 == 0 {
					o.Seats = 2 * time.Second
				}
				w := play(o)
				mu.Lock()
				for _, b := range w.Checker.Broken[:min(len(w.Checker.Broken), 3)] {
					t.Errorf("seed %d: %s", seed, b)
				}
				if w.Checker.Overlap > terms.MaxOverlap() {
					t.Errorf("seed %d: contradicting versions for %v, %v are allowed", seed, w.Checker.Overlap, terms.MaxOverlap())
				}
				longest, acts, refused, versions = max(longest, w.Checker.Overlap), acts+w.Acts, refused+w.Refused, versions+w.Checker.latest
				mu.Unlock()
			}
		})
	}
	for seed := range uint64(n) {
		seeds <- seed + 1
	}
	close(seeds)
	busy.Wait()
	t.Logf("%d schedules: longest overlap %v of %v; %d acts, %d without a lease; %d versions", n, longest, terms.MaxOverlap(), acts, refused, versions)
}

// What makes the promise, left out one by one, is missed by the checker's word.
func TestWhatIsLeftOutIsMissed(t *testing.T) {
	for name, spoil := range map[string]func(*Options){
		"an activation does not wait for leases":      func(o *Options) { o.Terms.SkipActivationWait = true },
		"a daemon acts before it looks":               func(o *Options) { o.Terms.SkipExpiryCheck = true },
		"a log without sync":                          func(o *Options) { o.Forgets = true },
		"clocks that differ by more than they are to": func(o *Options) { o.Drift = 0.3 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(300) {
				o := Options{Voters: 3, Followers: 4, Seed: seed + 1, Terms: terms}
				spoil(&o)
				w := play(o)
				if len(w.Checker.Broken) > 0 || w.Checker.Overlap > terms.MaxOverlap() {
					t.Logf("seed %d: overlap %v, %d broken", seed+1, w.Checker.Overlap, len(w.Checker.Broken))
					return
				}
			}
			t.Error("300 schedules, and nothing was missed")
		})
	}
}

// The same seed gives the same play.
func TestThePlayIsTheSeeds(t *testing.T) {
	a, b := play(Options{Voters: 3, Followers: 2, Seed: 9, Terms: terms}), play(Options{Voters: 3, Followers: 2, Seed: 9, Terms: terms})
	if a.Acts != b.Acts || a.Refused != b.Refused || a.Checker.Overlap != b.Checker.Overlap || a.Checker.latest != b.Checker.latest {
		t.Errorf("%d, %d, %v and %d, %d, %v", a.Acts, a.Refused, a.Checker.Overlap, b.Acts, b.Refused, b.Checker.Overlap)
	}
}
