// Package swimsim runs clusters of up to thousands of swim nodes in virtual time, on one event queue: with links that lose
// messages, network cuts that heal, and daemons that are slow, paused or killed. The same seed gives the same run.
package swimsim

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/eventqueue"
)

// Options configure a Simulation.
type Options struct {
	Nodes          int
	Seed           uint64
	StartConverged bool         // every node runs at the start and knows all others
	LossFraction   float64      // probability that a datagram is lost; also the probability that a stream message is delayed by resendDelay, and that one without this delay is lost
	SlowFraction   float64      // fraction of nodes that alternate between pauses and running phases of about a second each
	Swim           swim.Options // options of every node; StartNode replaces Self, Seed and InitialMembers by the values of each node
}

// In one direction a message takes from minDelay to minDelay+delayJitter, as in the network of one site.
const (
	minDelay    = 200 * time.Microsecond
	delayJitter = 800 * time.Microsecond
	resendDelay = 200 * time.Millisecond // added to the delay of a stream message whose packet is lost, since TCP sends the packet again
)

// meanSlowPhase is the mean length of a slow node's pauses, and roughly the mean length of the phases in which the node runs.
const meanSlowPhase = time.Second

// Simulation is a set of nodes and the network between them. It is not safe for concurrent use.
type Simulation struct {
	Now   time.Duration // virtual time since the start of the simulation
	Nodes []*Node
	IsCut func(from, to int) bool // reports whether messages between two nodes, given by index, are lost; nil: no link is cut

	options     Options
	rng         *rand.Rand
	queue       eventqueue.Queue[event]
	nodesByAddr map[netip.AddrPort]*Node // running node by the address it listens on

	Messages, Bytes uint64                                      // numbers of messages and bytes that all nodes have sent, lost messages included
	OnChange        func(by *Node, c swim.Change)               // called for each state change in a node's view; may be nil
	TamperMessage   func(to *Node, m swim.Message) swim.Message // returns the message that a node gets in place of a received one, to simulate a faulty failure detector; may be nil
}

// Node is a simulated daemon: a swim node, and the state of its process.
type Node struct {
	*swim.Node                // member that the node's process runs or ran last; nil until the first start
	Index       int           // position in Simulation.Nodes
	Peer        swim.Peer     // identity of the running process or, if the process is down, of its next start
	IsDown      bool          // the process does not run
	PausedUntil time.Duration // virtual time until which the process is paused
	ClockRate   float64       // speed of the process's clock relative to virtual time
	StartedAt   time.Duration // virtual time of the latest start
	isSlow      bool          // the node alternates between pauses and running phases
	tickSeq     uint64        // sequence number of the node's latest scheduled tick; earlier ticks are dropped
}

// event is the arrival of a message at a node. An event without a message is the node's first start, or a tick at which timers of package
// swim are due.
type event struct {
	node    *Node
	message *swim.Message
}

// New returns a simulation at virtual time 0. Unless the nodes start converged, the first node starts at 0 and the others at
// random instants within the first second.
func New(o Options) *Simulation {
	s := &Simulation{options: o, rng: rand.New(rand.NewPCG(o.Seed, 1)), nodesByAddr: map[netip.AddrPort]*Node{}}
	var members []swim.Update
	for i := range o.Nodes {
		n := &Node{Index: i, Peer: swim.Peer{Name: Name(i), Addr: Addr(i), Generation: uint64(i + 1)}, ClockRate: 1, isSlow: s.rng.Float64() < o.SlowFraction}
		s.Nodes = append(s.Nodes, n)
		members = append(members, swim.Update{Peer: n.Peer, Incarnation: 1})
	}
	for i, n := range s.Nodes {
		if o.StartConverged {
			s.StartNode(n, members)
			continue
		}
		n.IsDown = true
		n.StartedAt = time.Duration(s.rng.Int64N(int64(time.Second)))
		if i == 0 {
			n.StartedAt = 0
		}
		s.queue.Schedule(n.StartedAt, event{node: n})
	}
	return s
}

// Name returns the name of the node with index i, which is "s" followed by i.
func Name(i int) string { return "s" + string(appendInt(nil, i)) }

// appendInt appends the decimal digits of i, which is not negative.
func appendInt(b []byte, i int) []byte {
	if i >= 10 {
		b = appendInt(b, i/10)
	}
	return append(b, byte('0'+i%10))
}

// Addr returns the address of the node with index i.
func Addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// StartNode starts a new process of a node, with the identity n.Peer and the initial members given. Unless the options name
// addresses to join, the process joins the cluster through the first node and the one in the middle.
func (s *Simulation) StartNode(n *Node, members []swim.Update) {
	o := s.options.Swim
	o.Self, o.Seed, o.InitialMembers = n.Peer, s.rng.Uint64(), members
	if o.Join == nil {
		o.Join = []netip.AddrPort{Addr(0), Addr(s.options.Nodes / 2)}
	}
	n.IsDown, n.StartedAt, n.PausedUntil = false, s.Now, 0
	n.Node = swim.New(n.clockTime(s.Now), o)
	s.nodesByAddr[n.Peer.Addr] = n
	s.scheduleTick(n)
}

// Kill ends a node's process without an announcement to its peers.
func (s *Simulation) Kill(n *Node) {
	n.IsDown = true
	if s.nodesByAddr[n.Peer.Addr] == n {
		delete(s.nodesByAddr, n.Peer.Addr)
	}
}

// clockTime converts a virtual time to the time that the node's clock shows then; the clock shows one hour at virtual time 0.
func (n *Node) clockTime(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*n.ClockRate)
}

// simulationTime converts a time of the node's clock to virtual time, rounded up so that the node's clock has reached it then.
func (n *Node) simulationTime(clockTime time.Duration) time.Duration {
	return time.Duration(float64(clockTime-time.Hour)/n.ClockRate) + 1
}

// scheduleTick schedules the next tick of a node. A tick that was scheduled for the node earlier is dropped when it comes due.
func (s *Simulation) scheduleTick(n *Node) {
	n.tickSeq = s.queue.Schedule(max(n.simulationTime(n.NextTick()), s.Now), event{node: n})
}

// Run handles events until a virtual time, or until done returns true. It returns true only if done has returned true. done may be
// nil; it is called after each event that changed a node's view.
func (s *Simulation) Run(until time.Duration, done func() bool) bool {
	for e, ok := s.queue.PopDue(until); ok; e, ok = s.queue.PopDue(until) {
		s.Now = e.At
		if s.processEvent(e) && done != nil && done() {
			return true
		}
	}
	s.Now = until
	return false
}

// processEvent processes one event at its node, sends the resulting messages, and reports whether the node's view of the cluster changed.
func (s *Simulation) processEvent(e eventqueue.Entry[event]) (viewChanged bool) {
	n, m := e.Event.node, e.Event.message
	if n.Node == nil {
		s.StartNode(n, nil)
		return false
	}
	if n.IsDown || m == nil && e.Seq != n.tickSeq {
		return false
	}
	if s.maybePause(n) {
		s.queue.Reschedule(n.PausedUntil, e)
		return false
	}
	viewNumberBefore := n.ViewNumber()
	if m == nil {
		n.Tick(n.clockTime(s.Now))
	} else {
		received := *m
		if s.TamperMessage != nil {
			received = s.TamperMessage(n, received)
		}
		n.Receive(n.clockTime(s.Now), &received)
	}
	s.sendMessages(n)
	for _, c := range n.TakeChanges() {
		if s.OnChange != nil {
			s.OnChange(n, c)
		}
	}
	s.scheduleTick(n)
	return n.ViewNumber() != viewNumberBefore
}

// maybePause reports whether a node is paused now. If the node is slow and runs, maybePause may begin a pause at random.
func (s *Simulation) maybePause(n *Node) bool {
	if n.PausedUntil > s.Now {
		return true
	}
	if n.isSlow && s.Now-n.PausedUntil > time.Duration(s.rng.ExpFloat64()*float64(meanSlowPhase)) && s.Now > n.PausedUntil+meanSlowPhase/4 {
		n.PausedUntil = s.Now + time.Duration(s.rng.ExpFloat64()*float64(meanSlowPhase))
		return true
	}
	return false
}

// sendMessages takes the messages that a node wants to send, counts them, and schedules the arrival of those that are not lost.
func (s *Simulation) sendMessages(n *Node) {
	var buffer [transport.MaxDatagramBytes]byte
	for _, e := range n.TakeMessages() {
		s.Messages++
		s.Bytes += uint64(len(transport.AppendSwimMessage(buffer[:0], e.Message))) + transport.MaxPacketOverheadBytes
		to := s.nodesByAddr[e.To]
		if to == nil || to.IsDown || s.IsCut != nil && s.IsCut(n.Index, to.Index) {
			continue
		}
		delay := minDelay + time.Duration(s.rng.Int64N(int64(delayJitter)))
		switch {
		case e.NeedsStream && s.rng.Float64() < s.options.LossFraction:
			delay += resendDelay
		case s.rng.Float64() < s.options.LossFraction: // the message is lost, which can happen to a stream message as well
			continue
		}
		s.queue.Schedule(s.Now+delay, event{to, e.Message})
	}
}

// RunningNodes returns the nodes whose processes run, paused ones included.
func (s *Simulation) RunningNodes() (running []*Node) {
	for _, n := range s.Nodes {
		if !n.IsDown && n.Node != nil {
			running = append(running, n)
		}
	}
	return running
}

// HaveConverged reports whether each of the nodes sees exactly the others as present members, and none as suspect.
func HaveConverged(nodes []*Node) bool {
	for _, n := range nodes {
		if n.PresentCount() != len(nodes)-1 || n.Digest() != nodes[0].Digest() || n.SuspectCount() > 0 {
			return false
		}
	}
	return true
}
