package consensus

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// interleaving is a small case that is explored exhaustively: two daemons, two versions, one change of leader, and
// every order of so many steps. Time advances by steps; one daemon's clock runs as slow and the other's as fast as is
// allowed. What raft guarantees is assumed: one log, and grants of a former leader only for requests from before its
// successor was elected.
type interleaving struct {
	state            *State
	manager          *LeaseManager
	now              time.Duration // true time; the leader's clock is right
	holders          [2]*LeaseHolder
	grantsInFlight   [2]*LeaseGrant
	firstActive      [3]time.Duration // when a version was first acted on; 0: not yet
	hasNewLeader     bool
	hasSecondVersion bool
}

var interleavingConfig = LeaseConfig{Duration: 4 * time.Second, ShortDuration: time.Second, MaxClockDrift: 0.1}

func (x *interleaving) localClock(daemon int) time.Duration {
	return time.Duration(float64(x.now) * []float64{1 - interleavingConfig.MaxClockDrift, 1 + interleavingConfig.MaxClockDrift}[daemon])
}

// newInterleaving returns the case before its first step: version 1 is active, and both daemons have a lease.
func newInterleaving(tb testing.TB) *interleaving {
	tb.Helper()
	x := &interleaving{state: NewState(), now: time.Minute}
	x.apply(tb, Command{ID: "a", Put: &DocumentPut{"x", nil}})
	x.apply(tb, Command{Activate: 1})
	x.manager = NewLeaseManager(x.now-time.Minute, interleavingConfig)
	for daemon := range x.holders {
		x.holders[daemon] = NewLeaseHolder(fmt.Sprint(daemon), interleavingConfig, 0, nil)
		for range 2 { // the first grant brings the documents, the second the lease
			x.step(tb, stepRequest+daemon)
			x.step(tb, stepGrant+daemon)
		}
	}
	return x
}

// completeCheckAndInstall accepts the version that was offered, and installs the one that is leased.
func completeCheckAndInstall(h *LeaseHolder) {
	version, _ := h.PendingCheck()
	h.CompleteCheck(version, nil)
	h.MarkInstalled(h.Leased().Version)
}

func (x *interleaving) apply(tb testing.TB, c Command) {
	tb.Helper()
	if _, err := apply(tb, x.state, c); err != nil {
		tb.Fatal(err)
	}
}

// The steps.
const (
	stepRequest   = 0 // and 1: a daemon's request is answered; the grant is in flight
	stepGrant     = 2 // and 3: the grant arrives
	stepPut       = 4 // a second version is put
	stepNewLeader = 5
	stepActivate  = 6 // the leader activates what it may
	stepShortTime = 7
	stepLongTime  = 8

	interleavingSteps = 9
)

// step does one of the steps; false: it is not possible now.
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

// longestOverlap has both daemons act, and returns for how long a daemon has acted on version 1 since one acted on
// version 2.
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

// explore visits all orders of depth steps after a prefix, and returns how many there were.
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

// EXPLORE=6 in the environment goes one step deeper, through nine times as many orders.
func TestEveryOrderOfStepsStaysWithinMaxOverlap(t *testing.T) {
	depth := 5
	if deeper, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		depth = deeper
	}
	longest := time.Duration(0)
	visit := func(x *interleaving) { longest = max(longest, x.longestOverlap()) }
	orders := explore(t, depth, nil, visit)
	// Deeper where the margin is small: a put, and both daemons ready or nearly so, before the explored steps.
	for _, prefix := range [][]int{{4, 0, 2, 1, 3, 0, 2, 1, 3}, {4, 0, 2, 0, 2, 1, 3, 1}, {4, 0, 2, 0, 2, 1}} {
		orders += explore(t, depth-1, prefix, visit)
	}
	t.Logf("%d orders, the longest overlap is %v of %v", orders, longest, interleavingConfig.MaxOverlap())
	if longest > interleavingConfig.MaxOverlap() {
		t.Errorf("overlap of %v, want at most %v", longest, interleavingConfig.MaxOverlap())
	}
	if longest == 0 {
		t.Error("no order has an overlap at all: there are too few steps to show anything")
	}
}

// The exploration detects a leader that does not wait for outstanding leases.
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
