package raftsim

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"tuliprock/internal/cluster/consensus"
)

// event is a function call at a scheduled virtual time. The event of a node waits while the node is paused, and is dropped if the
// node has crashed or restarted since the event was scheduled.
type event struct {
	node        *Node // node to which the event belongs; nil: none
	incarnation int   // Node.incarnation of node at the time of scheduling
	run         func()
}

// schedule has run called at an instant of virtual time, or now if the instant has passed. The event belongs to node n, or to no node
// if n is nil.
func (s *Simulation) schedule(n *Node, at time.Duration, run func()) {
	e := event{node: n, run: run}
	if n != nil {
		e.incarnation = n.incarnation
	}
	s.queue.Schedule(max(at, s.Now), e)
}

// Run processes all events up to an instant, which becomes Now. An event of a node that is down, or has restarted since the event
// was scheduled, is dropped. An event of a paused node is rescheduled for the end of the pause.
func (s *Simulation) Run(until time.Duration) {
	for e, ok := s.queue.PopDue(until); ok; e, ok = s.queue.PopDue(until) {
		s.Now = e.At
		switch n := e.Event.node; {
		case n == nil:
			e.Event.run()
		case n.isDown || n.incarnation != e.Event.incarnation:
		case n.pausedUntil > s.Now:
			s.queue.Reschedule(n.pausedUntil, e)
		default:
			e.Event.run()
		}
	}
	s.Now = until
}

// send delivers a message between two nodes, given by index, after a random delay, unless the network loses it. deliver is called with
// the receiving node.
func (s *Simulation) send(from, to int, deliver func(n *Node)) {
	if s.cutLinks[[2]int{from, to}] || s.rng.Float64() < s.lossProbability {
		return
	}
	n := s.Nodes[to]
	s.schedule(n, s.Now+minDelay+time.Duration(s.rng.Int64N(int64(delaySpread+s.extraDelay))), func() { deliver(n) })
}

// sendRaftMessage sends a raft message of a node's voter to the daemon whose voter has the receiver's raft id. The message is dropped
// if the node does not know that daemon.
func (s *Simulation) sendRaftMessage(n *Node, m *raftpb.Message) {
	to, known := n.peerIndexes[m.GetTo()]
	if name := n.voter.State().VoterName(m.GetTo()); name != "" {
		to, known = s.nodeNamed(name).index, true
	}
	if !known {
		return
	}
	if m.GetType() == raftpb.MsgSnap { // snapshots are sent over a stream, so the sender learns whether one arrives
		s.schedule(n, s.Now+2*delaySpread, func() { s.callVoter(n, func() { n.voter.ReportSnapshot(m.GetTo(), !s.cutLinks[[2]int{n.index, to}]) }) })
	}
	s.send(n.index, to, func(other *Node) { s.receiveRaftMessage(other, n.index, m) })
}

// receiveRaftMessage passes a message to the node's voter if it is addressed to that voter, and remembers the sender's index, as
// package raftnode remembers the sender's name.
func (s *Simulation) receiveRaftMessage(n *Node, from int, m *raftpb.Message) {
	if n.voter == nil || n.voterID != m.GetTo() {
		return
	}
	s.callVoter(n, func() {
		n.peerIndexes[m.GetFrom()] = from
		n.voter.Receive(n.localTime(s.Now), m)
	})
}

// sendGrant sends a lease grant of a node's voter. The receiving daemon handles the grant. If the grant offers a pending version, the
// daemon then checks this version for checkDuration, and meanwhile goes on handling other events.
func (s *Simulation) sendGrant(n *Node, g consensus.AddressedGrant) {
	s.send(n.index, indexOf(g.Recipient), func(d *Node) {
		d.gotGrant, d.leaseTarget = true, n.index
		s.applySlotStatus(d, g.Grant)
		d.leaseHolder.HandleGrant(d.localTime(s.Now), g.Grant)
		s.installLeasedVersion(d)
		if version, docs := d.leaseHolder.PendingCheck(); version > 0 {
			s.schedule(d, s.Now+checkDuration, func() {
				if currentVersion, _ := d.leaseHolder.PendingCheck(); currentVersion == version {
					d.leaseHolder.CompleteCheck(version, d.checkDocuments(docs))
				}
			})
		}
	})
}
