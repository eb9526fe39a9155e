package fake

import (
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/testpeer"
)

func TestCapacityRisesLinearlyDuringWarmUp(t *testing.T) {
	for seconds, want := range map[time.Duration]float64{0: 0.4, 2: 0.7, 4: 1, 9: 1} {
		if got := warmCapacityFraction(0.4, 4*time.Second, seconds*time.Second); math.Abs(got-want) > 1e-9 {
			t.Errorf("fraction of the capacity after %d s is %v, want %v", seconds, got, want)
		}
	}
}

// TestNodeCollapsesWhenInvariantIsBroken checks that a fake node that is warming up collapses under the load that the invariant
// checker reports as an overload of a warming node, and not under a lower one.
func TestNodeCollapsesWhenInvariantIsBroken(t *testing.T) {
	rules := invariant.Rules{Classes: []invariant.Class{{Name: "read"}}, ColdOverloadFactor: 4, ColdOverloadWindow: 3 * time.Second,
		ColdOverloadTolerance: ColdOverloadTolerance}
	for _, n := range []int{10, 60} {
		f := newNodeFixture(t, func(s *NodeSpec) {
			s.Slots, s.ColdCapacityFraction, s.WarmUpDuration = 100, 0.3, time.Minute
			s.ColdOverloadFactor, s.ColdOverloadWindow = 4, 3*time.Second
		})
		f.Stop()
		if _, err := f.Start(true); err != nil {
			t.Fatal(err)
		}
		f.recorder.Add(invariant.Event{Kind: invariant.SidecarStarted, Sidecar: "s"})
		m := Member{ID: "n1", State: StateReady, StartedMs: time.Now().Add(time.Second).UnixMilli()}
		f.recorder.Add(NotificationEvent("s", m, f.recorder))
		// Each request has 0.1 s of work. The node has one core and 0.3 of its capacity, so it can do 0.3 * 3 s of work within
		// ColdOverloadWindow. It collapses above (1 + ColdOverloadTolerance) * ColdOverloadFactor times that: 1.1 * 4 * 0.9 s = 3.96 s.
		for range n {
			nc, err := net.Dial("tcp", f.Addr)
			if err != nil {
				break // the dial failed since the node has collapsed
			}
			defer nc.Close()
			id := fmt.Sprint("r", f.requestCount+1)
			f.recorder.Add(invariant.Event{Kind: invariant.RequestSent, Request: id, Sidecar: "s"})
			f.writeRequest(t, nc, readClass, "", 100*time.Millisecond)
			testpeer.Eventually(t, "the request received", func() bool { return f.countEvents(invariant.AttemptReceived, id) == 1 })
		}
		wantCollapse := n == 60
		if wantCollapse {
			testpeer.Eventually(t, "the node down", func() bool { return !f.IsUp() })
			if _, err := f.Start(true); err == nil {
				t.Error("the collapsed node could be started again")
			}
		}
		events, _ := f.recorder.Events()
		r := invariant.Check(rules, events)
		if got := r.Rules[3].Verdict == invariant.Broken; got != wantCollapse || f.IsUp() == wantCollapse || (r.Collapses > 0) != wantCollapse {
			t.Errorf("%d requests: node up %v, rule 4 %s, %d collapses; want collapse %v", n, f.IsUp(), r.Rules[3].Verdict, r.Collapses, wantCollapse)
		}
	}
}

func TestOverloadSlowsNodeUntilItRecovers(t *testing.T) {
	f := newNodeFixture(t, func(s *NodeSpec) {
		s.Slots = 100
		s.Overload = &OverloadSpec{Threshold: 2, AveragedOver: 200 * time.Millisecond, Slowdown: 3,
			RecoverAfter: 200 * time.Millisecond, IdleBelow: 0.5, MaxDuration: time.Minute}
	})
	for range 20 {
		f.writeRequest(t, f.dial(t), readClass, "", 30*time.Millisecond)
	}
	testpeer.Eventually(t, "the node overloaded", func() bool { return f.WasOverloaded() })
	if got := f.coreSpeed(f.incarnation); got != 1.0/3 {
		t.Errorf("core speed of the overloaded node is %v, want 1/3", got)
	}
	testpeer.Eventually(t, "the node recovered", func() bool { return f.coreSpeed(f.incarnation) == 1 })
	if f.countEvents(invariant.AttemptCompleted, "") != 20 {
		t.Error("the node recovered before it had completed all 20 requests")
	}
}
