package swim

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever is lost, delayed, duplicated or reordered, and whoever restarts: incarnations never go back, a member that left
// stays so, a node's lists agree, and once all messages are delivered all views become equal.
func TestNodesConvergeAfterLossReorderingAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestNetwork(rapid.IntRange(2, 5).Draw(t, "nodes"))
		lastRun := uint64(100)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				w.tick(t, rapid.SampledFrom(w.nodes).Draw(t, "node"))
			},
			"deliver": func(t *rapid.T) {
				if len(w.inTransit) > 0 {
					w.deliver(t, rapid.IntRange(0, len(w.inTransit)-1).Draw(t, "which"))
				}
			},
			"lose": func(_ *rapid.T) {
				if len(w.inTransit) > 0 {
					w.inTransit = w.inTransit[1:]
				}
			},
			"duplicate": func(t *rapid.T) {
				if len(w.inTransit) > 0 && len(w.inTransit) < 200 {
					w.inTransit = append(w.inTransit, rapid.SampledFrom(w.inTransit).Draw(t, "which"))
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
				lastRun++
				self := testPeer(i)
				self.Generation = lastRun
				join := []netip.AddrPort{testPeer((i + 1) % len(w.nodes)).Addr}
				w.nodes[i] = New(w.now, Options{Self: self, Join: join, Seed: lastRun})
			},
		})
		w.requireConvergence(t)
	})
}

// All orders of five events among three nodes are tried. An event is a tick of a node, or the delivery or loss of the oldest
// message to it.
func TestInvariantsHoldInEveryOrderOfFiveEvents(t *testing.T) {
	const depth, choices = 5, 9
	orders := 1
	for range depth {
		orders *= choices
	}
	tried := 0
	for order := range orders {
		w := newTestNetwork(3)
		w.now += 400 * time.Millisecond
		rest := order
		for range depth {
			w.now += 350 * time.Millisecond
			w.step(t, rest%choices)
			rest /= choices
		}
		if order%97 == 0 { // convergence after every order would take minutes
			w.requireConvergence(t)
		}
		tried++
	}
	t.Logf("%d orders", tried)
}

// step carries out one of nine events: for each of three nodes a tick, or a delivery or loss of the oldest message to it.
func (w *testNetwork) step(t testingT, choice int) {
	t.Helper()
	const tick, deliver = 0, 1
	node, event := choice%3, choice/3
	if event == tick {
		w.tick(t, w.nodes[node])
		return
	}
	for i, e := range w.inTransit {
		if e.To != testPeer(node).Addr {
			continue
		}
		if event == deliver {
			w.deliver(t, i)
		} else {
			w.inTransit = append(w.inTransit[:i], w.inTransit[i+1:]...)
		}
		return
	}
}

// Of two processes with one name the younger sends nothing of its own for as long as the elder responds, and takes the name
// once the elder is gone.
func TestYoungerProcessOfOneNameYieldsUntilElderIsGone(t *testing.T) {
	w := newTestNetwork(3)
	elder := w.nodes[1]
	youngerPeer := testPeer(1)
	youngerPeer.Addr, youngerPeer.Generation = testPeer(9).Addr, 1000
	younger := New(w.now, Options{Self: youngerPeer, Join: []netip.AddrPort{testPeer(0).Addr}})
	w.nodes = append(w.nodes, younger)
	w.run(t, 10*time.Second)

	view := younger.View()
	if _, answers, yields := younger.NameConflict(); !answers || !yields || view.Rival == "" || view.Connectivity != CutOff {
		t.Fatalf("the younger: answers %v, yields %v, view %+v", answers, yields, view)
	}
	if _, answers, yields := elder.NameConflict(); yields {
		t.Fatalf("the elder: answers %v, yields %v", answers, yields)
	}
	younger.nextGossip = w.now // it has updates to gossip, and must not
	younger.Tick(w.now)
	for _, e := range younger.TakeMessages() {
		if e.Message.Kind == Gossip || len(e.Message.Updates) > 0 {
			t.Errorf("the younger sends %+v", e.Message)
		}
	}
	for _, n := range w.nodes[:3] {
		if n.self.Name != "s1" && n.members["s1"].Addr != testPeer(1).Addr {
			t.Errorf("%s holds the younger", n.self.Name)
		}
	}

	w.nodes = []*Node{w.nodes[0], w.nodes[2], younger}
	w.run(t, 10*time.Second)
	for _, n := range w.nodes[:2] {
		if m := n.members["s1"]; m.Addr != youngerPeer.Addr || m.State != Alive {
			t.Errorf("%s holds %+v", n.self.Name, m.Update)
		}
	}
}
