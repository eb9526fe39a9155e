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

// mesh is nodes, and messages between them that chance or a test carries.
type mesh struct {
	now   time.Duration
	nodes []*Node
	way   []Envelope
	high  map[string]uint64 // by whose run, of whom: the highest incarnation held
	left  map[string]uint64
}

func newMesh(n int) *mesh {
	m := &mesh{now: time.Hour, high: map[string]uint64{}, left: map[string]uint64{}}
	var known []Update
	for i := range n {
		known = append(known, Update{Peer: peer(i), Incarnation: 1})
	}
	for i := range n {
		m.nodes = append(m.nodes, New(m.now, Options{Self: peer(i), Known: known, Seed: uint64(i)}))
	}
	return m
}

type failer interface{ Fatalf(string, ...any) }

// after takes what a node sends, and holds what it believes against what must always be so.
func (m *mesh) after(t failer, n *Node) {
	for _, e := range n.TakeMessages() {
		if len(e.Message.Updates) > MaxPiggyback+1 && !e.Stream {
			t.Fatalf("%d updates on the back of a message", len(e.Message.Updates))
		}
		m.way = append(m.way, e)
	}
	v := n.View()
	for _, x := range v.Members {
		key := fmt.Sprint(n.self.Run, " ", x.Name)
		if x.Incarnation < m.high[key] {
			t.Fatalf("%s held incarnation %d of %s, and now %d", n.self.Name, m.high[key], x.Name, x.Incarnation)
		}
		m.high[key] = x.Incarnation
		if x.State == Left {
			m.left[key] = x.Incarnation
		} else if was, ok := m.left[key]; ok && x.Incarnation <= was {
			t.Fatalf("%s holds %s for %v in the incarnation in which it left", n.self.Name, x.Name, x.State)
		}
	}
	check(t, n)
}

// check holds a node's lists against one another.
func check(t failer, n *Node) {
	digest, here, away := hash(&n.self), 0, 0
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
			digest ^= hash(&m.Update)
			if n.round[m.place] != m {
				t.Fatalf("%s is not at its place", name)
			}
		case m.State == Failed:
			away++
			if n.away[m.place] != m {
				t.Fatalf("%s is not among the failed", name)
			}
		}
	}
	sum := 0
	for _, k := range n.addrs {
		sum += k
	}
	if here != len(n.round) || away != len(n.away) || sum != here || digest != n.digest || n.at > len(n.round) {
		t.Fatalf("%d here of %d, %d away of %d, %d addresses, digest %x of %x", here, len(n.round), away, len(n.away), sum, digest, n.digest)
	}
}

func (m *mesh) deliver(t failer, i int) {
	e := m.way[i]
	m.way = append(m.way[:i], m.way[i+1:]...)
	for _, n := range m.nodes {
		if n.self.Addr == e.To {
			n.Receive(m.now, e.Message)
			m.after(t, n)
		}
	}
}

// Whatever is lost, late, repeated or out of order, whoever leaves or starts again: incarnations never go back, what left
// stays so, a node's lists agree, and when all is delivered at last all hold the same.
func TestWhateverBecomesOfMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(rapid.IntRange(2, 5).Draw(t, "nodes"))
		lives := uint64(100)
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				n := rapid.SampledFrom(m.nodes).Draw(t, "node")
				n.Tick(m.now)
				n.NextTick()
				m.after(t, n)
			},
			"deliver": func(t *rapid.T) {
				if len(m.way) > 0 {
					m.deliver(t, rapid.IntRange(0, len(m.way)-1).Draw(t, "which"))
				}
			},
			"lose": func(t *rapid.T) {
				if len(m.way) > 0 {
					m.way = m.way[1:]
				}
			},
			"repeat": func(t *rapid.T) {
				if len(m.way) > 0 && len(m.way) < 200 {
					m.way = append(m.way, rapid.SampledFrom(m.way).Draw(t, "which"))
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
func (m *mesh) settle(t failer) {
	if !m.until(t, time.Minute, m.equal) {
		t.Fatalf("a minute after the last fault views differ: %+v and %+v", m.nodes[0].View(), m.nodes[1].View())
	}
}

// until delivers everything in order and does what is due, for a while or until done.
func (m *mesh) until(t failer, d time.Duration, done func() bool) bool {
	for end := m.now + d; m.now < end; m.now += 10 * time.Millisecond {
		for _, n := range m.nodes {
			if m.now >= n.NextTick() {
				n.Tick(m.now)
				m.after(t, n)
			}
		}
		for len(m.way) > 0 {
			m.deliver(t, 0)
		}
		if done() {
			return true
		}
	}
	return false
}

func (m *mesh) equal() bool {
	for _, n := range m.nodes {
		if n.digest != m.nodes[0].digest || len(n.round) != len(m.nodes)-1 || len(n.suspects) > 0 {
			return false
		}
	}
	return true
}

// All orders of a few events among three nodes, each tried: a tick of any, a delivery or a loss of the oldest message to any.
func TestEveryOrderOfAFewEvents(t *testing.T) {
	const depth, choices = 5, 9
	total := 1
	for range depth {
		total *= choices
	}
	tried := 0
	for code := range total {
		m := newMesh(3)
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

func (m *mesh) step(t failer, choice int) {
	i := choice % 3
	if choice/3 == 0 {
		m.nodes[i].Tick(m.now)
		m.nodes[i].NextTick()
		m.after(t, m.nodes[i])
		return
	}
	for k, e := range m.way {
		if e.To != peer(i).Addr {
			continue
		}
		if choice/3 == 1 {
			m.deliver(t, k)
		} else {
			m.way = append(m.way[:k], m.way[k+1:]...)
		}
		return
	}
}

// Two processes of one name: the younger says nothing for as long as the elder answers, and takes the name when it has gone.
func TestTheYoungerOfTwoGivesWay(t *testing.T) {
	m := newMesh(3)
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

func (m *mesh) run(t failer, d time.Duration) { m.until(t, d, func() bool { return false }) }
