package swim

import (
	"fmt"
	"net/netip"
	"time"
)

// testingT has the methods of testing.T and rapid.T that the helpers of a testNetwork use.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// testPeer returns the name, address and generation of the first process of the daemon with number i. A restart gives the
// daemon another generation.
func testPeer(i int) Peer {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7)
	return Peer{Name: fmt.Sprint("s", i), Addr: addr, Generation: uint64(i + 1)}
}

// testNetwork consists of nodes in virtual time and the messages in transit between them, which a test delivers, drops,
// duplicates or reorders.
type testNetwork struct {
	now       time.Duration // current instant of virtual time
	nodes     []*Node       // running nodes; a test replaces one to restart it
	inTransit []Envelope    // messages that were sent and neither delivered nor lost, in the order of sending

	// Each key of maxIncarnation and leftIncarnation is a text that consists of the generation of a node and the name of a
	// member in that node's view.
	maxIncarnation  map[string]uint64 // highest incarnation of a member that one node has had in its view
	leftIncarnation map[string]uint64 // incarnation in which a member left the cluster, as one node's view had it
}

// newTestNetwork returns a network of size nodes that all know one another.
func newTestNetwork(size int) *testNetwork {
	network := &testNetwork{now: time.Hour, maxIncarnation: map[string]uint64{}, leftIncarnation: map[string]uint64{}}
	var knownMembers []Update
	for i := range size {
		knownMembers = append(knownMembers, Update{Peer: testPeer(i), Incarnation: 1})
	}
	for i := range size {
		network.nodes = append(network.nodes, New(network.now, Options{Self: testPeer(i), InitialMembers: knownMembers, Seed: uint64(i)}))
	}
	return network
}

// tick calls a node's Tick at the current instant, even if no timer of the node is due.
func (network *testNetwork) tick(t testingT, n *Node) {
	t.Helper()
	n.Tick(network.now)
	n.NextTick()
	network.collectAndCheck(t, n)
}

// deliver delivers the message at index i of inTransit.
func (network *testNetwork) deliver(t testingT, i int) {
	t.Helper()
	e := network.inTransit[i]
	network.inTransit = append(network.inTransit[:i], network.inTransit[i+1:]...)
	for _, n := range network.nodes {
		if n.self.Addr == e.To {
			n.Receive(network.now, e.Message)
			network.collectAndCheck(t, n)
		}
	}
}

// collectAndCheck moves the messages that a node wants to send to inTransit, and checks the invariants of the node's view and
// membership table.
func (network *testNetwork) collectAndCheck(t testingT, n *Node) {
	t.Helper()
	for _, e := range n.TakeMessages() {
		if len(e.Message.Updates) > MaxPiggybackedUpdates+1 && !e.NeedsStream {
			t.Fatalf("%d updates are piggybacked on a message, want at most %d", len(e.Message.Updates), MaxPiggybackedUpdates+1)
		}
		network.inTransit = append(network.inTransit, e)
	}
	for _, m := range n.View().Members {
		key := fmt.Sprint(n.self.Generation, " ", m.Name)
		if m.Incarnation < network.maxIncarnation[key] {
			t.Fatalf("%s had incarnation %d of %s in its view, and now has %d", n.self.Name, network.maxIncarnation[key], m.Name, m.Incarnation)
		}
		network.maxIncarnation[key] = m.Incarnation
		if m.State == Left {
			network.leftIncarnation[key] = m.Incarnation
		} else if leftIncarnation, ok := network.leftIncarnation[key]; ok && m.Incarnation <= leftIncarnation {
			t.Fatalf("%s considers %s %v in incarnation %d, after it left in incarnation %d", n.self.Name, m.Name, m.State, m.Incarnation, leftIncarnation)
		}
	}
	checkMembershipTable(t, n)
}

// checkMembershipTable checks that a node's lists present, failed and suspects, its count of addresses and its digest match the
// members that the node knows.
func checkMembershipTable(t testingT, n *Node) {
	t.Helper()
	digest, presentCount, failedCount := n.self.digest(), 0, 0
	for name, m := range n.members {
		if m.Name != name {
			t.Fatalf("members has %s under the name %s", m.Name, name)
		}
		if (m.State == Suspect) != (m.suspicion != nil) || (n.suspects[name] == m) != (m.State == Suspect) {
			t.Fatalf("%s is %v, but its suspicion is %v and suspects has it: %v", name, m.State, m.suspicion, n.suspects[name] == m)
		}
		switch {
		case m.State.IsPresent():
			presentCount++
			digest ^= m.digest()
			if n.present[m.index] != m {
				t.Fatalf("%s is not at its index of the present members", name)
			}
		case m.State == Failed:
			failedCount++
			if n.failed[m.index] != m {
				t.Fatalf("%s is not at its index of the failed members", name)
			}
		}
	}
	addrCount := 0
	for _, count := range n.presentAddrs {
		addrCount += count
	}
	if presentCount != len(n.present) || failedCount != len(n.failed) || addrCount != presentCount || digest != n.digest ||
		n.probeIndex > len(n.present) {
		t.Fatalf("lists have %d present and %d failed members, want %d and %d; %d addresses, want %d; digest %x, want %x; "+
			"probe index %d, want at most %d",
			len(n.present), len(n.failed), presentCount, failedCount, addrCount, presentCount, n.digest, digest, n.probeIndex, len(n.present))
	}
}

// runUntil calls Tick of each node when it is due and delivers all messages in order until isDone returns true, or until d of
// virtual time has passed. It reports whether isDone returned true.
func (network *testNetwork) runUntil(t testingT, d time.Duration, isDone func() bool) bool {
	t.Helper()
	for end := network.now + d; network.now < end; network.now += 10 * time.Millisecond {
		for _, n := range network.nodes {
			if network.now >= n.NextTick() {
				n.Tick(network.now)
				network.collectAndCheck(t, n)
			}
		}
		for len(network.inTransit) > 0 {
			network.deliver(t, 0)
		}
		if isDone() {
			return true
		}
	}
	return false
}

// run calls Tick of each node when it is due and delivers all messages in order until d of virtual time has passed.
func (network *testNetwork) run(t testingT, d time.Duration) {
	t.Helper()
	network.runUntil(t, d, func() bool { return false })
}

// requireConvergence fails the test unless, within a minute without further faults, all nodes consider one another alive.
func (network *testNetwork) requireConvergence(t testingT) {
	t.Helper()
	if !network.runUntil(t, time.Minute, network.isConverged) {
		t.Fatalf("views still differ a minute after the last fault: %+v and %+v", network.nodes[0].View(), network.nodes[1].View())
	}
}

// isConverged reports whether all nodes consider one another alive, in the same incarnations.
func (network *testNetwork) isConverged() bool {
	for _, n := range network.nodes {
		if n.digest != network.nodes[0].digest || len(n.present) != len(network.nodes)-1 || len(n.suspects) > 0 {
			return false
		}
	}
	return true
}
