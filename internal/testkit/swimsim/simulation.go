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
	Nodes          int
	Seed           uint64
	StartConverged bool    // all know one another at the start
	LossFraction   float64 // of datagrams
	SlowFraction   float64 // share of nodes that stop and go: blocked and running for a second by turns, on average
	Swim           swim.Options
}

const (
	minDelay      = 200 * time.Microsecond // of a message, one way: a network of one site
	delayJitter   = 800 * time.Microsecond
	meanSlowPhase = time.Second
)

// Simulation is nodes, and the network between them. It is not safe for concurrent use.
type Simulation struct {
	Now   time.Duration
	Nodes []*Node
	IsCut func(from, to int) bool // what is sent over a link that is cut is lost; nil: none is

	options Options
	rng     *rand.Rand
	queue   eventqueue.Agenda[event]
	byAddr  map[netip.AddrPort]*Node

	Messages, Bytes uint64 // sent
	OnChange        func(by *Node, c swim.Change)
	TamperMessage   func(to *Node, m swim.Message) swim.Message // what a node hears in place of a message: so detectors are made bad; nil: nothing
}

// Node is a node and its process.
type Node struct {
	*swim.Node
	Index       int
	Peer        swim.Peer
	IsDown      bool
	PausedUntil time.Duration // instant until which it does not run
	ClockRate   float64       // of its clock
	StartedAt   time.Duration
	isSlow      bool
	tickSeq     uint64 // the event that will wake it
}

// event is a message that comes to a node, or (nil) a tick.
type event struct {
	node    *Node
	message *swim.Message
}

// New makes a world. Where it is not settled, nodes begin within its first second and join by the first of them.
func New(o Options) *Simulation {
	w := &Simulation{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), byAddr: map[netip.AddrPort]*Node{}}
	var known []swim.Update
	for i := range o.Nodes {
		n := &Node{Index: i, Peer: swim.Peer{Name: Name(i), Addr: Addr(i), Generation: uint64(i + 1)}, ClockRate: 1, isSlow: w.rng.Float64() < o.SlowFraction}
		w.Nodes = append(w.Nodes, n)
		known = append(known, swim.Update{Peer: n.Peer, Incarnation: 1})
	}
	for i, n := range w.Nodes {
		if o.StartConverged {
			w.StartNode(n, known)
			continue
		}
		n.IsDown = true
		n.StartedAt = time.Duration(w.rng.Int64N(int64(time.Second)))
		if i == 0 {
			n.StartedAt = 0
		}
		w.queue.Put(n.StartedAt, event{node: n})
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

// StartNode starts a node's process with the Peer that it has now.
func (w *Simulation) StartNode(n *Node, known []swim.Update) {
	o := w.options.Swim
	o.Self, o.Seed, o.InitialMembers = n.Peer, w.rng.Uint64(), known
	if o.Join == nil {
		o.Join = []netip.AddrPort{Addr(0), Addr(w.options.Nodes / 2)}
	}
	n.IsDown, n.StartedAt, n.PausedUntil = false, w.Now, 0
	n.Node = swim.New(n.clockTime(w.Now), o)
	w.byAddr[n.Peer.Addr] = n
	w.scheduleTick(n)
}

// Kill ends a node's process without a word.
func (w *Simulation) Kill(n *Node) {
	n.IsDown = true
	if w.byAddr[n.Peer.Addr] == n {
		delete(w.byAddr, n.Peer.Addr)
	}
}

// clockTime is a node's clock.
func (n *Node) clockTime(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*n.ClockRate)
}

func (n *Node) simulationTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour)/n.ClockRate) + 1
}

// scheduleTick asks for the next tick of a node; one that was asked for before is void.
func (w *Simulation) scheduleTick(n *Node) {
	n.tickSeq = w.queue.Put(max(n.simulationTime(n.NextTick()), w.Now), event{node: n})
}

// Run plays until an instant, or until done says so: it is asked after each event in which a view changed.
func (w *Simulation) Run(until time.Duration, done func() bool) bool {
	for e, ok := w.queue.Take(until); ok; e, ok = w.queue.Take(until) {
		w.Now = e.At
		if w.handle(e) && done != nil && done() {
			return true
		}
	}
	w.Now = until
	return false
}

func (w *Simulation) handle(e eventqueue.Entry[event]) (changed bool) {
	n, m := e.What.node, e.What.message
	if n.Node == nil {
		w.StartNode(n, nil)
		return false
	}
	if n.IsDown || m == nil && e.Seq != n.tickSeq {
		return false
	}
	if w.isPaused(n) {
		w.queue.Later(n.PausedUntil, e)
		return false
	}
	was := n.ViewNumber()
	if m == nil {
		n.Tick(n.clockTime(w.Now))
	} else {
		heard := *m
		if w.TamperMessage != nil {
			heard = w.TamperMessage(n, heard)
		}
		n.Receive(n.clockTime(w.Now), &heard)
	}
	w.sendMessages(n)
	for _, c := range n.TakeChanges() {
		if w.OnChange != nil {
			w.OnChange(n, c)
		}
	}
	w.scheduleTick(n)
	return n.ViewNumber() != was
}

// isPaused tells whether a node does not run now.
func (w *Simulation) isPaused(n *Node) bool {
	if n.PausedUntil > w.Now {
		return true
	}
	if n.isSlow && w.Now-n.PausedUntil > time.Duration(w.rng.ExpFloat64()*float64(meanSlowPhase)) && w.Now > n.PausedUntil+meanSlowPhase/4 {
		n.PausedUntil = w.Now + time.Duration(w.rng.ExpFloat64()*float64(meanSlowPhase))
		return true
	}
	return false
}

// sendMessages sends what a node wants to send.
func (w *Simulation) sendMessages(n *Node) {
	var room [transport.MaxDatagramBytes]byte
	for _, e := range n.TakeMessages() {
		w.Messages++
		w.Bytes += uint64(len(transport.AppendSwimMessage(room[:0], e.Message))) + transport.MaxOverheadBytes
		to := w.byAddr[e.To]
		if to == nil || to.IsDown || w.IsCut != nil && w.IsCut(n.Index, to.Index) {
			continue
		}
		delay := minDelay + time.Duration(w.rng.Int64N(int64(delayJitter)))
		switch {
		case e.Stream && w.rng.Float64() < w.options.LossFraction:
			delay += 200 * time.Millisecond // TCP sends it again
		case w.rng.Float64() < w.options.LossFraction:
			continue
		}
		w.queue.Put(w.Now+delay, event{to, e.Message})
	}
}

// RunningNodes are the nodes whose processes run.
func (w *Simulation) RunningNodes() (out []*Node) {
	for _, n := range w.Nodes {
		if !n.IsDown && n.Node != nil {
			out = append(out, n)
		}
	}
	return out
}

// HaveConverged tells whether all of these hold exactly one another for here, and nobody for suspect.
func HaveConverged(nodes []*Node) bool {
	for _, n := range nodes {
		if n.PresentCount() != len(nodes)-1 || n.Digest() != nodes[0].Digest() || n.SuspectCount() > 0 {
			return false
		}
	}
	return true
}
