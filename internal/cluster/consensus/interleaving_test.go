package consensus

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// Small cases gone through whole: two daemons, two versions, one change of leader, and every order of so many steps. Time goes on
// by steps; one daemon's clock runs as slow and the other's as fast as they may. What raft promises is taken for granted: one log,
// and grants by a former leader only to who asked before its successor was elected.
type interleaving struct {
	state        *State
	manager      *LeaseManager
	now          time.Duration // true time; the leader's clock is right
	holders      [2]*LeaseHolder
	inFlight     [2]*LeaseGrant
	firstActive  [3]time.Duration // when a version was acted on first; 0: not yet
	hasNewLeader bool
	hasPut       bool
}

var interleavingConfig = LeaseConfig{Lease: 4 * time.Second, Short: time.Second, Drift: 0.1}

func (x *interleaving) localClock(d int) time.Duration {
	return time.Duration(float64(x.now) * []float64{1 - interleavingConfig.Drift, 1 + interleavingConfig.Drift}[d])
}

func newInterleaving(t testing.TB) *interleaving {
	x := &interleaving{state: NewState(), now: time.Minute}
	x.apply(t, Command{ID: "a", Put: &DocumentPut{"x", nil}})
	x.apply(t, Command{Activate: 1})
	x.manager = NewLeaseManager(x.now-time.Minute, interleavingConfig)
	for d := range x.holders {
		x.holders[d] = NewLeaseHolder(fmt.Sprint(d), interleavingConfig, 0, nil)
		for range 2 { // the documents, and then a lease
			x.step(t, d)
			x.step(t, 2+d)
		}
	}
	return x
}

// completeCheckAndInstall checks what was offered, and takes up what is acted on.
func completeCheckAndInstall(h *LeaseHolder) {
	version, _ := h.PendingCheck()
	h.CompleteCheck(version, nil)
	h.MarkInstalled(h.Leased().Version)
}

func (x *interleaving) apply(t testing.TB, c Command) {
	b, err := c.Encode()
	if err == nil {
		_, err = x.state.Apply(b)
	}
	if err != nil {
		t.Fatal(err)
	}
}

const interleavingSteps = 9

// step does one of the steps; false: it is none here.
func (x *interleaving) step(t testing.TB, which int) bool {
	switch {
	case which < 2: // a daemon asks, and is answered; the answer is on its way
		r, _ := x.holders[which].NextRequest(x.localClock(which))
		g := x.manager.Grant(x.now, r, x.state)
		x.inFlight[which] = &g
	case which < 4: // the answer comes
		g := x.inFlight[which-2]
		if g == nil {
			return false
		}
		x.inFlight[which-2] = nil
		h := x.holders[which-2]
		h.HandleGrant(x.localClock(which-2), *g)
		completeCheckAndInstall(h)
	case which == 4: // somebody puts
		if x.hasPut {
			return false
		}
		x.hasPut = true
		x.apply(t, Command{ID: "b", Put: &DocumentPut{"x", []byte("2")}})
	case which == 5: // another leader
		if x.hasNewLeader {
			return false
		}
		x.hasNewLeader = true
		x.manager = NewLeaseManager(x.now, interleavingConfig)
	case which == 6: // the leader activates what it may
		v := x.manager.VersionToActivate(x.now, x.state)
		if v == 0 {
			return false
		}
		x.apply(t, Command{Activate: v})
	case which == 7:
		x.now += 300 * time.Millisecond
	default:
		x.now += 1700 * time.Millisecond
	}
	return true
}

// longestOverlap has both daemons act, and gives how long the latest contradiction lasts.
func (x *interleaving) longestOverlap() (over time.Duration) {
	var on [2]uint64
	for d, h := range x.holders {
		if v, _, ok := h.Valid(x.localClock(d)); ok {
			on[d] = v
			if x.firstActive[v] == 0 {
				x.firstActive[v] = x.now
			}
		}
	}
	for _, v := range on {
		if v == 1 && x.firstActive[2] > 0 {
			over = max(over, x.now-x.firstActive[2])
		}
	}
	return over
}

// explore goes through all orders of depth steps, and gives how many there were and the longest contradiction.
func explore(t testing.TB, depth int, prefix []int, visit func(x *interleaving)) (orders int) {
	x := newInterleaving(t)
	for _, which := range prefix {
		if !x.step(t, which) {
			return 0
		}
		visit(x)
	}
	if depth == 0 {
		return 1
	}
	for which := range interleavingSteps {
		orders += explore(t, depth-1, append(prefix[:len(prefix):len(prefix)], which), visit)
	}
	return orders
}

// EXPLORE=6 goes a step deeper: nine times as many orders.
func TestEveryOrderOfStepsStaysWithinMaxOverlap(t *testing.T) {
	depth := 5
	if more, err := strconv.Atoi(os.Getenv("EXPLORE")); err == nil {
		depth = more
	}
	longest := time.Duration(0)
	orders := explore(t, depth, nil, func(x *interleaving) { longest = max(longest, x.longestOverlap()) })
	// Deeper where it is narrow: a put, both daemons ready, and then whatever comes.
	for _, prefix := range [][]int{{4, 0, 2, 1, 3, 0, 2, 1, 3}, {4, 0, 2, 0, 2, 1, 3, 1}, {4, 0, 2, 0, 2, 1}} {
		orders += explore(t, depth-1, prefix, func(x *interleaving) { longest = max(longest, x.longestOverlap()) })
	}
	t.Logf("%d orders, the longest contradiction %v of %v", orders, longest, interleavingConfig.Overlap())
	if longest > interleavingConfig.Overlap() {
		t.Errorf("a contradiction of %v", longest)
	}
	if longest == 0 {
		t.Error("no order has a contradiction at all: the steps are too few to say anything")
	}
}

// Without the wait the same orders have a contradiction that is too long.
func TestSkippingActivationWaitExceedsMaxOverlap(t *testing.T) {
	was := interleavingConfig
	defer func() { interleavingConfig = was }()
	interleavingConfig.NoWait = true
	longest := time.Duration(0)
	explore(t, 5, []int{4, 0, 2}, func(x *interleaving) { longest = max(longest, x.longestOverlap()) })
	if longest <= interleavingConfig.Overlap() {
		t.Errorf("the longest contradiction is %v", longest)
	}
}
