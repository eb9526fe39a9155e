// Package swimsim plays hundreds and thousands of swim nodes on one heap of events in virtual time: links that lose, daemons
// that are slow, stopped or killed, cuts that heal. The same seed gives the same play.
package swimsim

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/eventqueue"
)

// Options of a World.
type Options struct {
	Nodes   int
	Seed    uint64
	Settled bool    // all know one another at the start
	Loss    float64 // of datagrams
	Slow    float64 // share of nodes that stop and go: blocked and running for a second by turns, on average
	Swim    swim.Options
}

const (
	leastDelay = 200 * time.Microsecond // of a message, one way: a network of one site
	moreDelay  = 800 * time.Microsecond
	slowTurn   = time.Second
)

// World is nodes, and the network between them. It is not safe for concurrent use.
type World struct {
	Now   time.Duration
	Nodes []*Node
	Cut   func(from, to int) bool // what is sent over a link that is cut is lost; nil: none is

	o      Options
	rng    *rand.Rand
	agenda eventqueue.Queue[event]
	at     map[netip.AddrPort]*Node

	Messages, Bytes uint64 // sent
	OnChange        func(by *Node, c swim.Change)
	Tamper          func(to *Node, m swim.Message) swim.Message // what a node hears in place of a message: so detectors are made bad; nil: nothing
}

// Node is a node and its process.
type Node struct {
	*swim.Node
	Place  int
	Peer   swim.Peer
	Dead   bool
	Paused time.Duration // instant until which it does not run
	Rate   float64       // of its clock
	Began  time.Duration
	slow   bool
	woken  uint64 // the event that will wake it
}

// event is a message that comes to a node, or (nil) a tick.
type event struct {
	node *Node
	m    *swim.Message
}

// New makes a world. Where it is not settled, nodes begin within its first second and join by the first of them.
func New(o Options) *World {
	w := &World{o: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), at: map[netip.AddrPort]*Node{}}
	var known []swim.Update
	for i := range o.Nodes {
		n := &Node{Place: i, Peer: swim.Peer{Name: Name(i), Addr: Addr(i), Generation: uint64(i + 1)}, Rate: 1, slow: w.rng.Float64() < o.Slow}
		w.Nodes = append(w.Nodes, n)
		known = append(known, swim.Update{Peer: n.Peer, Incarnation: 1})
	}
	for i, n := range w.Nodes {
		if o.Settled {
			w.Begin(n, known)
			continue
		}
		n.Dead = true
		n.Began = time.Duration(w.rng.Int64N(int64(time.Second)))
		if i == 0 {
			n.Began = 0
		}
		w.agenda.Schedule(n.Began, event{node: n})
	}
	return w
}

// Name and Addr are a node's, by its place.
func Name(i int) string { return "s" + string(appendInt(nil, i)) }

func appendInt(b []byte, i int) []byte {
	if i >= 10 {
		b = appendInt(b, i/10)
	}
	return append(b, byte('0'+i%10))
}

// Addr is where the node at a place is.
func Addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// Begin starts a node's process with the Peer that it has now.
func (w *World) Begin(n *Node, known []swim.Update) {
	o := w.o.Swim
	o.Self, o.Seed, o.InitialMembers = n.Peer, w.rng.Uint64(), known
	if o.Join == nil {
		o.Join = []netip.AddrPort{Addr(0), Addr(w.o.Nodes / 2)}
	}
	n.Dead, n.Began, n.Paused = false, w.Now, 0
	n.Node = swim.New(n.local(w.Now), o)
	w.at[n.Peer.Addr] = n
	w.wake(n)
}

// Kill ends a node's process without a word.
func (w *World) Kill(n *Node) {
	n.Dead = true
	if w.at[n.Peer.Addr] == n {
		delete(w.at, n.Peer.Addr)
	}
}

// local is a node's clock.
func (n *Node) local(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*n.Rate)
}

func (n *Node) world(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour)/n.Rate) + 1
}

// wake asks for the next tick of a node; one that was asked for before is void.
func (w *World) wake(n *Node) {
	n.woken = w.agenda.Schedule(max(n.world(n.NextTick()), w.Now), event{node: n})
}

// Run plays until an instant, or until done says so: it is asked after each event in which a view changed.
func (w *World) Run(until time.Duration, done func() bool) bool {
	for e, ok := w.agenda.PopDue(until); ok; e, ok = w.agenda.PopDue(until) {
		w.Now = e.At
		if w.step(e) && done != nil && done() {
			return true
		}
	}
	w.Now = until
	return false
}

func (w *World) step(e eventqueue.Entry[event]) (changed bool) {
	n, m := e.Event.node, e.Event.m
	if n.Node == nil {
		w.Begin(n, nil)
		return false
	}
	if n.Dead || m == nil && e.Seq != n.woken {
		return false
	}
	if w.blocked(n) {
		w.agenda.Reschedule(n.Paused, e)
		return false
	}
	was := n.ViewNumber()
	if m == nil {
		n.Tick(n.local(w.Now))
	} else {
		heard := *m
		if w.Tamper != nil {
			heard = w.Tamper(n, heard)
		}
		n.Receive(n.local(w.Now), &heard)
	}
	w.carry(n)
	for _, c := range n.TakeChanges() {
		if w.OnChange != nil {
			w.OnChange(n, c)
		}
	}
	w.wake(n)
	return n.ViewNumber() != was
}

// blocked tells whether a node does not run now.
func (w *World) blocked(n *Node) bool {
	if n.Paused > w.Now {
		return true
	}
	if n.slow && w.Now-n.Paused > time.Duration(w.rng.ExpFloat64()*float64(slowTurn)) && w.Now > n.Paused+slowTurn/4 {
		n.Paused = w.Now + time.Duration(w.rng.ExpFloat64()*float64(slowTurn))
		return true
	}
	return false
}

// carry sends what a node wants to send.
func (w *World) carry(n *Node) {
	var room [transport.MaxDatagramBytes]byte
	for _, e := range n.TakeMessages() {
		w.Messages++
		w.Bytes += uint64(len(transport.AppendSwimMessage(room[:0], e.Message))) + transport.MaxOverheadBytes
		to := w.at[e.To]
		if to == nil || to.Dead || w.Cut != nil && w.Cut(n.Place, to.Place) {
			continue
		}
		delay := leastDelay + time.Duration(w.rng.Int64N(int64(moreDelay)))
		switch {
		case e.Stream && w.rng.Float64() < w.o.Loss:
			delay += 200 * time.Millisecond // TCP sends it again
		case w.rng.Float64() < w.o.Loss:
			continue
		}
		w.agenda.Schedule(w.Now+delay, event{to, e.Message})
	}
}

// Living are the nodes whose processes run.
func (w *World) Living() (out []*Node) {
	for _, n := range w.Nodes {
		if !n.Dead && n.Node != nil {
			out = append(out, n)
		}
	}
	return out
}

// Agree tells whether all of these hold exactly one another for here, and nobody for suspect.
func Agree(nodes []*Node) bool {
	for _, n := range nodes {
		if n.PresentCount() != len(nodes)-1 || n.Digest() != nodes[0].Digest() || n.SuspectCount() > 0 {
			return false
		}
	}
	return true
}
