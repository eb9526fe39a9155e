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
func play(o Options) *Simulation {
	if o.PutInterval == 0 {
		o.PutInterval = 400 * time.Millisecond
	}
	w := New(o)
	w.Run(3 * time.Second)
	w.InjectFaults(25 * time.Second)
	w.Converge(30 * time.Second)
	return w
}

// TULIPROCK_TEST_RAFTSIM_SCHEDULES=number plays more schedules.
func TestDrawnSchedules(t *testing.T) {
	n := 20
	if more, err := strconv.Atoi(os.Getenv("TULIPROCK_TEST_RAFTSIM_SCHEDULES")); err == nil {
		n = more
	}
	var mu sync.Mutex
	var busy sync.WaitGroup
	longest, acts, refused, versions := time.Duration(0), 0, 0, uint64(0)
	seeds := make(chan uint64)
	for range runtime.GOMAXPROCS(0) {
		busy.Go(func() {
			for seed := range seeds {
				o := Options{Voters: 3 + 2*int(seed%2), NonVoters: 4 * int(1+seed%10/9*11), Seed: seed, LeaseConfig: terms}
				if seed%3 == 0 {
					o.ReconfigurationInterval = 2 * time.Second
				}
				w := play(o)
				mu.Lock()
				for _, b := range w.Checker.Violations[:min(len(w.Checker.Violations), 3)] {
					t.Errorf("seed %d: %s", seed, b)
				}
				if w.Checker.MaxOverlap > terms.MaxOverlap() {
					t.Errorf("seed %d: contradicting versions for %v, %v are allowed", seed, w.Checker.MaxOverlap, terms.MaxOverlap())
				}
				longest, acts, refused, versions = max(longest, w.Checker.MaxOverlap), acts+w.Decisions, refused+w.DecisionsWithoutLease, versions+w.Checker.latestVersion
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
		"an activation does not wait for leases":      func(o *Options) { o.LeaseConfig.SkipActivationWait = true },
		"a daemon acts before it looks":               func(o *Options) { o.LeaseConfig.SkipExpiryCheck = true },
		"a log without sync":                          func(o *Options) { o.DisksIgnoreSync = true },
		"clocks that differ by more than they are to": func(o *Options) { o.ClockDrift = 0.3 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(300) {
				o := Options{Voters: 3, NonVoters: 4, Seed: seed + 1, LeaseConfig: terms}
				spoil(&o)
				w := play(o)
				if len(w.Checker.Violations) > 0 || w.Checker.MaxOverlap > terms.MaxOverlap() {
					t.Logf("seed %d: overlap %v, %d broken", seed+1, w.Checker.MaxOverlap, len(w.Checker.Violations))
					return
				}
			}
			t.Error("300 schedules, and nothing was missed")
		})
	}
}

// The same seed gives the same play.
func TestThePlayIsTheSeeds(t *testing.T) {
	a, b := play(Options{Voters: 3, NonVoters: 2, Seed: 9, LeaseConfig: terms}), play(Options{Voters: 3, NonVoters: 2, Seed: 9, LeaseConfig: terms})
	if a.Decisions != b.Decisions || a.DecisionsWithoutLease != b.DecisionsWithoutLease || a.Checker.MaxOverlap != b.Checker.MaxOverlap || a.Checker.latestVersion != b.Checker.latestVersion {
		t.Errorf("%d, %d, %v and %d, %d, %v", a.Decisions, a.DecisionsWithoutLease, a.Checker.MaxOverlap, b.Decisions, b.DecisionsWithoutLease, b.Checker.MaxOverlap)
	}
}
