package swim

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards the invariants of a node while messages are lost, delayed, duplicated and reordered and nodes restart: incarnations
// never decrease, a member that left does not come back in the same incarnation, and the lists and the digest of a node match
// the members that it knows. Once all messages are delivered again, all nodes come to consider one another alive, in the same
// incarnations.
func TestNodesConvergeAfterLossReorderingAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		network := newTestNetwork(rapid.IntRange(2, 5).Draw(t, "nodes"))
		lastGeneration := uint64(100)
		t.Repeat(map[string]func(*rapid.T){
			"tick after a delay": func(t *rapid.T) {
				network.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				network.tick(t, rapid.SampledFrom(network.nodes).Draw(t, "node"))
			},
			"deliver": func(t *rapid.T) {
				if len(network.inTransit) > 0 {
					network.deliver(t, rapid.IntRange(0, len(network.inTransit)-1).Draw(t, "which"))
				}
			},
			"lose": func(_ *rapid.T) {
				if len(network.inTransit) > 0 {
					network.inTransit = network.inTransit[1:]
				}
			},
			"duplicate": func(t *rapid.T) {
				if len(network.inTransit) > 0 && len(network.inTransit) < 200 {
					network.inTransit = append(network.inTransit, rapid.SampledFrom(network.inTransit).Draw(t, "which"))
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(network.nodes)-1).Draw(t, "node")
				lastGeneration++
				self := testPeer(i)
				self.Generation = lastGeneration
				join := []netip.AddrPort{testPeer((i + 1) % len(network.nodes)).Addr}
				network.nodes[i] = New(network.now, Options{Self: self, Join: join, Seed: lastGeneration})
			},
		})
		network.requireConvergence(t)
	})
}

// Checks the invariants of a node in all sequences of five events among three nodes. An event is a tick of a node, or the
// delivery or loss of the oldest message in transit to that node.
func TestInvariantsHoldInEveryOrderOfFiveEvents(t *testing.T) {
	const eventsPerOrder, eventChoices = 5, 9
	orderCount := 1
	for range eventsPerOrder {
		orderCount *= eventChoices
	}
	checkedOrders := 0
	for order := range orderCount {
		network := newTestNetwork(3)
		network.now += 400 * time.Millisecond
		remainingEvents := order // numbers of the events yet to run: the digits of order in the number system with base eventChoices
		for range eventsPerOrder {
			network.now += 350 * time.Millisecond
			network.runEvent(t, remainingEvents%eventChoices)
			remainingEvents /= eventChoices
		}
		if order%97 == 0 { // checking after every order that the nodes' views become equal would take minutes
			network.requireConvergence(t)
		}
		checkedOrders++
	}
	t.Logf("checked %d orders of events", checkedOrders)
}

// runEvent runs the event with a number from 0 to 8: eventNumber%3 is the index of a node; eventNumber/3 is 0 for a tick
// of the node, 1 for the delivery and 2 for the loss of the oldest message in transit to the node.
func (network *testNetwork) runEvent(t testingT, eventNumber int) {
	t.Helper()
	const tick, deliver = 0, 1
	nodeIndex, eventKind := eventNumber%3, eventNumber/3
	if eventKind == tick {
		network.tick(t, network.nodes[nodeIndex])
		return
	}
	for i, e := range network.inTransit {
		if e.To != testPeer(nodeIndex).Addr {
			continue
		}
		if eventKind == deliver {
			network.deliver(t, i)
		} else {
			network.inTransit = append(network.inTransit[:i], network.inTransit[i+1:]...)
		}
		return
	}
}

// Guards against two processes with one name that override each other's updates in turn: the younger process must send no
// updates for as long as the older process responds, and take over the name once the older process is gone.
func TestYoungerProcessOfOneNameYieldsUntilOlderOneIsGone(t *testing.T) {
	network := newTestNetwork(3)
	older := network.nodes[1]
	youngerPeer := testPeer(1)
	youngerPeer.Addr, youngerPeer.Generation = testPeer(9).Addr, 1000
	younger := New(network.now, Options{Self: youngerPeer, Join: []netip.AddrPort{testPeer(0).Addr}})
	network.nodes = append(network.nodes, younger)
	network.run(t, 10*time.Second)

	view := younger.View()
	if _, responds, yields := younger.NameConflict(); !responds || !yields || view.ElderAddr == "" || view.Connectivity != CutOff {
		t.Fatalf("younger process: other responds %v, yields %v, view %+v; want true, true, and a cut-off view with an ElderAddr",
			responds, yields, view)
	}
	if _, responds, yields := older.NameConflict(); yields {
		t.Fatalf("older process yields, want that it does not; other responds %v", responds)
	}
	younger.nextGossip = network.now // the next Tick would send queued updates in a round of gossip, if the younger process were allowed to gossip
	younger.Tick(network.now)
	for _, e := range younger.TakeMessages() {
		if e.Message.Kind == Gossip || len(e.Message.Updates) > 0 {
			t.Errorf("the younger process sent %+v, want no gossip and no updates", e.Message)
		}
	}
	for _, n := range network.nodes[:3] {
		if n.self.Name != "s1" && n.members["s1"].Addr != testPeer(1).Addr {
			t.Errorf("%s has %v as the address of s1, want that of the older process", n.self.Name, n.members["s1"].Addr)
		}
	}

	network.nodes = []*Node{network.nodes[0], network.nodes[2], younger}
	network.run(t, 10*time.Second)
	for _, n := range network.nodes[:2] {
		if m := n.members["s1"]; m.Addr != youngerPeer.Addr || m.State != Alive {
			t.Errorf("%s has %+v of s1, want the younger process as alive", n.self.Name, m.Update)
		}
	}
}
