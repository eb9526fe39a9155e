package consensus

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// interleaving is a small cluster whose steps are explored exhaustively, in every order up to some number of steps. It
// has two daemons, two versions and at most one change of the leader. Time advances by steps; one daemon's clock runs as
// slow and the other's as fast as is allowed. The guarantees of raft are assumed: there is one log, and a former leader
// grants leases only for requests that were made before its successor was elected.
type interleaving struct {
	state            *State
	manager          *LeaseManager
	now              time.Duration    // true time, which the leader's clock shows
	holders          [2]*LeaseHolder  // lease holders of the two daemons
	grantsInFlight   [2]*LeaseGrant   // grant that has not reached the daemon yet; nil: none
	firstActive      [3]time.Duration // by version: true time at which a daemon first acted on it; 0: none has
	hasNewLeader     bool             // the leader has changed
	hasSecondVersion bool             // version 2 was put
}

// interleavingConfig is the lease configuration of the explored cluster.
var interleavingConfig = LeaseConfig{Duration: 4 * time.Second, ShortDuration: time.Second, MaxClockDrift: 0.1}

// localClock returns the time by a daemon's own clock: daemon 0's is the slowest allowed, daemon 1's the fastest.
func (x *interleaving) localClock(daemon int) time.Duration {
	return time.Duration(float64(x.now) * []float64{1 - interleavingConfig.MaxClockDrift, 1 + interleavingConfig.MaxClockDrift}[daemon])
}

// newInterleaving returns the cluster before the first explored step: version 1 is active, and both daemons have a lease
// on it.
func newInterleaving(tb testing.TB) *interleaving {
	tb.Helper()
	x := &interleaving{state: NewState(), now: time.Minute}
	x.apply(tb, Command{ID: "a", Put: &DocumentPut{"x", nil}})
	x.apply(tb, Command{Activate: 1})
	x.manager = NewLeaseManager(x.now-time.Minute, interleavingConfig)
	for daemon := range x.holders {
		x.holders[daemon] = NewLeaseHolder(fmt.Sprint(daemon), interleavingConfig, 0, nil)
		for range 2 { // the first grant has the documents, the second one the lease
			x.step(tb, stepRequest+daemon)
			x.step(tb, stepGrant+daemon)
		}
	}
	return x
}

// completeCheckAndInstall accepts the version that the daemon is to check, and marks the leased one as installed.
func completeCheckAndInstall(h *LeaseHolder) {
	version, _ := h.PendingCheck()
	h.CompleteCheck(version, nil)
	h.MarkInstalled(h.Leased().Version)
}

// apply applies a command that must succeed to the cluster's State.
func (x *interleaving) apply(tb testing.TB, c Command) {
	tb.Helper()
	if _, err := apply(tb, x.state, c); err != nil {
		tb.Fatal(err)
	}
}

// The steps that are explored. stepRequest and stepGrant are those of daemon 0; the next number is that of daemon 1.
const (
	stepRequest   = 0 // a daemon sends a request, and the leader's grant is in flight
	stepGrant     = 2 // the grant in flight reaches the daemon, which checks and installs what it offers
	stepPut       = 4 // version 2 is put
	stepNewLeader = 5 // another leader is elected
	stepActivate  = 6 // the leader activates the pending version
	stepShortTime = 7 // 300 ms pass
	stepLongTime  = 8 // 1.7 s pass

	interleavingSteps = 9 // number of steps
)

// step does one of the steps. It returns false if the step is not possible now.
func (x *interleaving) step(tb testing.TB, which int) bool {
	tb.Helper()
	switch {
	case which < stepGrant:
		request, _ := x.holders[which].NextRequest(x.localClock(which))
		grant := x.manager.Grant(x.now, request, x.state)
		x.grantsInFlight[which] = &grant
	case which < stepPut:
		daemon := which - stepGrant
		grant := x.grantsInFlight[daemon]
		if grant == nil {
			return false
		}
		x.grantsInFlight[daemon] = nil
		x.holders[daemon].HandleGrant(x.localClock(daemon), *grant)
		completeCheckAndInstall(x.holders[daemon])
	case which == stepPut:
		if x.hasSecondVersion {
			return false
		}
		x.hasSecondVersion = true
		x.apply(tb, Command{ID: "b", Put: &DocumentPut{"x", []byte("2")}})
	case which == stepNewLeader:
		if x.hasNewLeader {
			return false
		}
		x.hasNewLeader = true
		x.manager = NewLeaseManager(x.now, interleavingConfig)
	case which == stepActivate:
		version := x.manager.VersionToActivate(x.now, x.state)
		if version == 0 {
			return false
		}
		x.apply(tb, Command{Activate: version})
	case which == stepShortTime:
		x.now += 300 * time.Millisecond
	default:
		x.now += 1700 * time.Millisecond
	}
	return true
}

// longestOverlap has both daemons act on the versions for which they have valid leases now. If one acts on version 1, it
// returns the time since a daemon first acted on version 2, else 0.
func (x *interleaving) longestOverlap() (overlap time.Duration) {
	var acting [2]uint64
	for daemon, h := range x.holders {
		if version, _, ok := h.Valid(x.localClock(daemon)); ok {
			acting[daemon] = version
			if x.firstActive[version] == 0 {
				x.firstActive[version] = x.now
			}
		}
	}
	for _, version := range acting {
		if version == 1 && x.firstActive[2] > 0 {
			overlap = max(overlap, x.now-x.firstActive[2])
		}
	}
	return overlap
}

// explore runs all sequences that consist of the steps in prefix and depth more steps. It calls visit after each step of
// prefix, at each level of its recursion, and returns the number of complete sequences.
func explore(tb testing.TB, depth int, prefix []int, visit func(x *interleaving)) (orders int) {
	tb.Helper()
	x := newInterleaving(tb)
	for _, which := range prefix {
		if !x.step(tb, which) {
			return 0
		}
		visit(x)
	}
	if depth == 0 {
		return 1
	}
	for which := range interleavingSteps {
		orders += explore(tb, depth-1, append(prefix[:len(prefix):len(prefix)], which), visit)
	}
	return orders
}

// In every order of 5 steps, no daemon acts on version 1 for longer than MaxOverlap after a daemon has acted on version
// 2. The environment variable EXPLORE sets another number of steps; each further step makes nine times as many orders.
func TestEveryOrderOfStepsStaysWithinMaxOverlap(t *testing.T) {
	depth := 5
	if steps, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		depth = steps
	}
	longest := time.Duration(0)
	visit := func(x *interleaving) { longest = max(longest, x.longestOverlap()) }
	orders := explore(t, depth, nil, visit)
	// Explore longer orders where the overlap is close to MaxOverlap: they begin with stepPut and with requests and grants
	// after which both daemons have the documents of version 2, or nearly so.
	for _, prefix := range [][]int{{4, 0, 2, 1, 3, 0, 2, 1, 3}, {4, 0, 2, 0, 2, 1, 3, 1}, {4, 0, 2, 0, 2, 1}} {
		orders += explore(t, depth-1, prefix, visit)
	}
	t.Logf("%d orders: the longest overlap is %v, allowed are %v", orders, longest, interleavingConfig.MaxOverlap())
	if longest > interleavingConfig.MaxOverlap() {
		t.Errorf("the longest overlap is %v, want at most %v", longest, interleavingConfig.MaxOverlap())
	}
	if longest == 0 {
		t.Error("no order has an overlap, want some: the orders have too few steps to show anything")
	}
}

// With the injected fault that the leader does not wait for outstanding leases, the exploration finds an overlap that is
// longer than MaxOverlap.
func TestSkippingActivationWaitExceedsMaxOverlap(t *testing.T) {
	original := interleavingConfig
	t.Cleanup(func() { interleavingConfig = original })
	interleavingConfig.SkipActivationWait = true
	longest := time.Duration(0)
	explore(t, 5, []int{4, 0, 2}, func(x *interleaving) { longest = max(longest, x.longestOverlap()) })
	if longest <= interleavingConfig.MaxOverlap() {
		t.Errorf("the longest overlap is %v, want more than %v", longest, interleavingConfig.MaxOverlap())
	}
}
