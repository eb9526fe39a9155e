package consensus

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// exploredCluster is a small cluster whose steps are explored exhaustively, in every order up to some number of steps.
// The cluster has two daemons, two versions and at most one change of the leader. Time advances by steps; daemon 0's
// clock is as slow and daemon 1's as fast as LeaseConfig.MaxClockDrift allows. The guarantees of raft are assumed: there
// is one log, and a former leader grants leases only for requests that were made before its successor was elected.
type exploredCluster struct {
	state            *State
	manager          *LeaseManager
	now              time.Duration    // true time, which the leader's clock shows
	holders          [2]*LeaseHolder  // lease holders of the two daemons
	grantsInFlight   [2]*LeaseGrant   // by daemon: grant that the leader has sent and that has not reached the daemon yet; nil: none
	firstActiveAt    [3]time.Duration // by version: true time at which a daemon first acted on the version; 0: no daemon has acted on it
	hasNewLeader     bool             // whether the leader has changed
	hasSecondVersion bool             // whether stepPut has made version 2
}

// exploredLeaseConfig has leases of 4 s, or of 1 s while a version is pending, by clocks that gain or lose at most 10 %.
var exploredLeaseConfig = LeaseConfig{Duration: 4 * time.Second, ShortDuration: time.Second, MaxClockDrift: 0.1}

// localClock returns the time by a daemon's own clock: daemon 0's is the slowest allowed, daemon 1's the fastest.
func (x *exploredCluster) localClock(daemon int) time.Duration {
	return time.Duration(float64(x.now) * []float64{1 - exploredLeaseConfig.MaxClockDrift, 1 + exploredLeaseConfig.MaxClockDrift}[daemon])
}

// newExploredCluster returns the cluster before the first explored step: version 1 is active, and both daemons have a lease
// on it.
func newExploredCluster(tb testing.TB) *exploredCluster {
	tb.Helper()
	x := &exploredCluster{state: NewState(), now: time.Minute}
	x.apply(tb, Command{ID: "a", Put: &DocumentPut{"x", nil}})
	x.apply(tb, Command{ActivateVersion: 1})
	x.manager = NewLeaseManager(x.now-time.Minute, exploredLeaseConfig)
	for daemon := range x.holders {
		x.holders[daemon] = NewLeaseHolder(fmt.Sprint(daemon), exploredLeaseConfig, 0, nil)
		for range 2 { // the first grant has the documents of version 1, the second grant the lease on version 1
			x.step(tb, stepRequest+daemon)
			x.step(tb, stepGrant+daemon)
		}
	}
	return x
}

// completeCheckAndInstall reports to a LeaseHolder that its daemon accepts the version offered for a check, and that
// the daemon has installed the leased version.
func completeCheckAndInstall(h *LeaseHolder) {
	version, _ := h.PendingCheck()
	h.CompleteCheck(version, nil)
	h.MarkInstalled(h.Leased().Version)
}

// apply applies a command that must succeed to the cluster's State.
func (x *exploredCluster) apply(tb testing.TB, c Command) {
	tb.Helper()
	if _, err := apply(tb, x.state, c); err != nil {
		tb.Fatal(err)
	}
}

// Numbers of the steps that are explored. stepRequest and stepGrant are steps of daemon 0; stepRequest+1 and stepGrant+1
// are the same steps of daemon 1.
const (
	stepRequest    = 0 // the daemon sends a lease request, and the leader sends a grant, which stays in flight
	stepGrant      = 2 // the grant in flight reaches the daemon, which checks the offered version and installs the leased one
	stepPut        = 4 // a document is written, which makes version 2
	stepNewLeader  = 5 // another leader is elected
	stepActivate   = 6 // the leader activates the pending version
	stepShortDelay = 7 // true time advances by 300 ms
	stepLongDelay  = 8 // true time advances by 1.7 s

	stepCount = 9 // the step numbers are 0 to stepCount-1
)

// step does the step with a number from 0 to stepCount-1. It returns false if the step is not possible now.
func (x *exploredCluster) step(tb testing.TB, step int) bool {
	tb.Helper()
	switch {
	case step < stepGrant:
		request, _ := x.holders[step].NextRequest(x.localClock(step))
		grant := x.manager.Grant(x.now, request, x.state)
		x.grantsInFlight[step] = &grant
	case step < stepPut:
		daemon := step - stepGrant
		grant := x.grantsInFlight[daemon]
		if grant == nil {
			return false
		}
		x.grantsInFlight[daemon] = nil
		x.holders[daemon].HandleGrant(x.localClock(daemon), *grant)
		completeCheckAndInstall(x.holders[daemon])
	case step == stepPut:
		if x.hasSecondVersion {
			return false
		}
		x.hasSecondVersion = true
		x.apply(tb, Command{ID: "b", Put: &DocumentPut{"x", []byte("2")}})
	case step == stepNewLeader:
		if x.hasNewLeader {
			return false
		}
		x.hasNewLeader = true
		x.manager = NewLeaseManager(x.now, exploredLeaseConfig)
	case step == stepActivate:
		version := x.manager.VersionToActivate(x.now, x.state)
		if version == 0 {
			return false
		}
		x.apply(tb, Command{ActivateVersion: version})
	case step == stepShortDelay:
		x.now += 300 * time.Millisecond
	default:
		x.now += 1700 * time.Millisecond
	}
	return true
}

// measureOverlap has both daemons act on the versions for which they have valid leases now. It returns the time since a
// daemon first acted on version 2, or 0 if no daemon acts on version 1 now or none has acted on version 2.
func (x *exploredCluster) measureOverlap() (overlap time.Duration) {
	var actingVersions [2]uint64
	for daemon, h := range x.holders {
		if version, _, ok := h.Valid(x.localClock(daemon)); ok {
			actingVersions[daemon] = version
			if x.firstActiveAt[version] == 0 {
				x.firstActiveAt[version] = x.now
			}
		}
	}
	for _, version := range actingVersions {
		if version == 1 && x.firstActiveAt[2] > 0 {
			overlap = max(overlap, x.now-x.firstActiveAt[2])
		}
	}
	return overlap
}

// explore tries every sequence that begins with prefix and continues with depth more steps. It does the steps of each
// sequence on a new cluster and calls visit after each step. It returns the number of sequences in which every step was
// possible.
func explore(tb testing.TB, depth int, prefix []int, visit func(x *exploredCluster)) (orderCount int) {
	tb.Helper()
	x := newExploredCluster(tb)
	for _, step := range prefix {
		if !x.step(tb, step) {
			return 0
		}
		visit(x)
	}
	if depth == 0 {
		return 1
	}
	for step := range stepCount {
		orderCount += explore(tb, depth-1, append(prefix[:len(prefix):len(prefix)], step), visit)
	}
	return orderCount
}

// In every order of 5 steps, no daemon acts on version 1 for longer than MaxOverlap after a daemon has acted on version
// 2. The environment variable TULIPROCK_TEST_INTERLEAVING_STEPS sets another number of steps; each further step makes nine
// times as many orders.
func TestEveryOrderOfStepsStaysWithinMaxOverlap(t *testing.T) {
	depth := 5
	if steps, err := strconv.Atoi(os.Getenv("TULIPROCK_TEST_INTERLEAVING_STEPS")); err == nil {
		depth = steps
	}
	longestOverlap := time.Duration(0)
	visit := func(x *exploredCluster) { longestOverlap = max(longestOverlap, x.measureOverlap()) }
	orderCount := explore(t, depth, nil, visit)
	// Explore longer orders in which the overlap comes close to MaxOverlap. Each prefix has stepPut (4) and then lease
	// requests (0 or 1) and grants (2 or 3) of both daemons. After it, both daemons have the documents of version 2, or
	// can get these documents within a few more steps.
	for _, prefix := range [][]int{{4, 0, 2, 1, 3, 0, 2, 1, 3}, {4, 0, 2, 0, 2, 1, 3, 1}, {4, 0, 2, 0, 2, 1}} {
		orderCount += explore(t, depth-1, prefix, visit)
	}
	t.Logf("%d orders: the longest overlap is %v, allowed are %v", orderCount, longestOverlap, exploredLeaseConfig.MaxOverlap())
	if longestOverlap > exploredLeaseConfig.MaxOverlap() {
		t.Errorf("the longest overlap is %v, want at most %v", longestOverlap, exploredLeaseConfig.MaxOverlap())
	}
	if longestOverlap == 0 {
		t.Error("no order has an overlap, want some: the orders have too few steps to show anything")
	}
}

// With the injected fault that the leader does not wait for outstanding leases, the exploration finds an overlap that is
// longer than MaxOverlap.
func TestSkippingActivationWaitExceedsMaxOverlap(t *testing.T) {
	originalConfig := exploredLeaseConfig
	t.Cleanup(func() { exploredLeaseConfig = originalConfig })
	exploredLeaseConfig.SkipActivationWait = true
	longestOverlap := time.Duration(0)
	explore(t, 5, []int{4, 0, 2}, func(x *exploredCluster) { longestOverlap = max(longestOverlap, x.measureOverlap()) })
	if longestOverlap <= exploredLeaseConfig.MaxOverlap() {
		t.Errorf("the longest overlap is %v, want more than %v", longestOverlap, exploredLeaseConfig.MaxOverlap())
	}
}
