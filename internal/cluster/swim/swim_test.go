package swim

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func peer(i int) Peer {
	return Peer{Name: fmt.Sprint("s", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7), Run: uint64(i + 1)}
}

// testNetwork is nodes, and messages between them that chance or a test carries.
type testNetwork struct {
	now             time.Duration
	nodes           []*Node
	inTransit       []Envelope
	maxIncarnation  map[string]uint64 // by whose run, of whom: the highest incarnation held
	leftIncarnation map[string]uint64
}

func newTestNetwork(n int) *testNetwork {
	m := &testNetwork{now: time.Hour, maxIncarnation: map[string]uint64{}, leftIncarnation: map[string]uint64{}}
	var known []Update
	for i := range n {
		known = append(known, Update{Peer: peer(i), Incarnation: 1})
	}
	for i := range n {
		m.nodes = append(m.nodes, New(m.now, Options{Self: peer(i), Known: known, Seed: uint64(i)}))
	}
	return m
}

type fataler interface{ Fatalf(string, ...any) }

// collect takes what a node sends, and holds what it believes against what must always be so.
func (m *testNetwork) collect(t fataler, n *Node) {
	for _, e := range n.TakeMessages() {
		if len(e.Message.Updates) > MaxPiggyback+1 && !e.Stream {
			t.Fatalf("%d updates on the back of a message", len(e.Message.Updates))
		}
		m.inTransit = append(m.inTransit, e)
	}
	v := n.View()
	for _, x := range v.Members {
		key := fmt.Sprint(n.self.Run, " ", x.Name)
		if x.Incarnation < m.maxIncarnation[key] {
			t.Fatalf("%s held incarnation %d of %s, and now %d", n.self.Name, m.maxIncarnation[key], x.Name, x.Incarnation)
		}
		m.maxIncarnation[key] = x.Incarnation
		if x.State == Left {
			m.leftIncarnation[key] = x.Incarnation
		} else if was, ok := m.leftIncarnation[key]; ok && x.Incarnation <= was {
			t.Fatalf("%s holds %s for %v in the incarnation in which it left", n.self.Name, x.Name, x.State)
		}
	}
	checkInvariants(t, n)
}

// checkInvariants holds a node's lists against one another.
func checkInvariants(t fataler, n *Node) {
	digest, here, away := n.self.digest(), 0, 0
	for name, m := range n.members {
		if m.Name != name {
			t.Fatalf("%s stands at %s", m.Name, name)
		}
		if (m.State == Suspect) != (m.suspicion != nil) || (n.suspects[name] == m) != (m.State == Suspect) {
			t.Fatalf("%s is %v, and its suspicion is not", name, m.State)
		}
		switch {
		case m.State.IsPresent():
			here++
			digest ^= m.digest()
			if n.present[m.index] != m {
				t.Fatalf("%s is not at its place", name)
			}
		case m.State == Failed:
			away++
			if n.failed[m.index] != m {
				t.Fatalf("%s is not among the failed", name)
			}
		}
	}
	sum := 0
	for _, k := range n.presentAddrs {
		sum += k
	}
	if here != len(n.present) || away != len(n.failed) || sum != here || digest != n.digest || n.probeIndex > len(n.present) {
		t.Fatalf("%d here of %d, %d away of %d, %d addresses, digest %x of %x", here, len(n.present), away, len(n.failed), sum, digest, n.digest)
	}
}

func (m *testNetwork) deliver(t fataler, i int) {
	e := m.inTransit[i]
	m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
	for _, n := range m.nodes {
		if n.self.Addr == e.To {
			n.Receive(m.now, e.Message)
			m.collect(t, n)
		}
	}
}

// Whatever is lost, late, repeated or out of order, whoever leaves or starts again: incarnations never go back, what left
// stays so, a node's lists agree, and when all is delivered at last all hold the same.
func TestNodesConvergeAfterLossReorderingAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTestNetwork(rapid.IntRange(2, 5).Draw(t, "nodes"))
		lives := uint64(100)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				n := rapid.SampledFrom(m.nodes).Draw(t, "node")
				n.Tick(m.now)
				n.NextTick()
				m.collect(t, n)
			},
			"deliver": func(t *rapid.T) {
				if len(m.inTransit) > 0 {
					m.deliver(t, rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "which"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(m.inTransit) > 0 {
					m.inTransit = m.inTransit[1:]
				}
			},
			"repeat": func(t *rapid.T) {
				if len(m.inTransit) > 0 && len(m.inTransit) < 200 {
					m.inTransit = append(m.inTransit, rapid.SampledFrom(m.inTransit).Draw(t, "which"))
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")
				lives++
				p := peer(i)
				p.Run = lives
				m.nodes[i] = New(m.now, Options{Self: p, Join: []netip.AddrPort{peer((i + 1) % len(m.nodes)).Addr}, Seed: lives})
			},
		})
		m.settle(t)
	})
}

// settle delivers everything in order, until all hold the same.
func (m *testNetwork) settle(t fataler) {
	if !m.runUntil(t, time.Minute, m.isConverged) {
		t.Fatalf("a minute after the last fault views differ: %+v and %+v", m.nodes[0].View(), m.nodes[1].View())
	}
}

// runUntil delivers everything in order and does what is due, for a while or until done.
func (m *testNetwork) runUntil(t fataler, d time.Duration, done func() bool) bool {
	for end := m.now + d; m.now < end; m.now += 10 * time.Millisecond {
		for _, n := range m.nodes {
			if m.now >= n.NextTick() {
				n.Tick(m.now)
				m.collect(t, n)
			}
		}
		for len(m.inTransit) > 0 {
			m.deliver(t, 0)
		}
		if done() {
			return true
		}
	}
	return false
}

func (m *testNetwork) isConverged() bool {
	for _, n := range m.nodes {
		if n.digest != m.nodes[0].digest || len(n.present) != len(m.nodes)-1 || len(n.suspects) > 0 {
			return false
		}
	}
	return true
}

// All orders of a few events among three nodes, each tried: a tick of any, a delivery or a loss of the oldest message to any.
func TestInvariantsHoldInEveryOrderOfFiveEvents(t *testing.T) {
	const depth, choices = 5, 9
	total := 1
	for range depth {
		total *= choices
	}
	tried := 0
	for code := range total {
		m := newTestNetwork(3)
		m.now += 400 * time.Millisecond
		rest := code
		for range depth {
			m.now += 350 * time.Millisecond
			m.step(t, rest%choices)
			rest /= choices
		}
		if code%97 == 0 { // settling each would take minutes
			m.settle(t)
		}
		tried++
	}
	t.Logf("%d orders", tried)
}

func (m *testNetwork) step(t fataler, choice int) {
	i := choice % 3
	if choice/3 == 0 {
		m.nodes[i].Tick(m.now)
		m.nodes[i].NextTick()
		m.collect(t, m.nodes[i])
		return
	}
	for k, e := range m.inTransit {
		if e.To != peer(i).Addr {
			continue
		}
		if choice/3 == 1 {
			m.deliver(t, k)
		} else {
			m.inTransit = append(m.inTransit[:k], m.inTransit[k+1:]...)
		}
		return
	}
}

// Two processes of one name: the younger says nothing for as long as the elder answers, and takes the name when it has gone.
func TestYoungerProcessOfOneNameYieldsUntilElderIsGone(t *testing.T) {
	m := newTestNetwork(3)
	younger := peer(1)
	younger.Addr, younger.Run = peer(9).Addr, 1000
	m.nodes = append(m.nodes, New(m.now, Options{Self: younger, Join: []netip.AddrPort{peer(0).Addr}}))
	m.run(t, 10*time.Second)
	if _, answers, yields := m.nodes[3].NameConflict(); !answers || !yields || m.nodes[3].View().Rival == "" || m.nodes[3].View().Connectivity != CutOff {
		t.Fatalf("the younger: answers %v, yields %v", answers, yields)
	}
	if _, answers, yields := m.nodes[1].NameConflict(); yields {
		t.Fatalf("the elder: answers %v, yields %v", answers, yields)
	}
	m.nodes[3].nextGossip = m.now // it has news, and keeps it to itself
	m.nodes[3].Tick(m.now)
	for _, e := range m.nodes[3].TakeMessages() {
		if e.Message.Kind == Gossip || len(e.Message.Updates) > 0 {
			t.Errorf("the younger says %+v", e.Message)
		}
	}
	for _, n := range m.nodes[:3] {
		if n.self.Name != "s1" && n.members["s1"].Addr != peer(1).Addr {
			t.Errorf("%s holds the younger", n.self.Name)
		}
	}
	m.nodes = []*Node{m.nodes[0], m.nodes[2], m.nodes[3]} // the elder is gone
	m.run(t, 10*time.Second)
	for _, n := range m.nodes[:2] {
		if x := n.members["s1"]; x.Addr != younger.Addr || x.State != Alive {
			t.Errorf("%s holds %+v", n.self.Name, x.Update)
		}
	}
}

func (m *testNetwork) run(t fataler, d time.Duration) { m.runUntil(t, d, func() bool { return false }) }
