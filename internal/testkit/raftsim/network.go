package raftsim

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"tuliprock/internal/cluster/consensus"
)

// event is something that a node does, in one life; a nil node: the world.
type event struct {
	node        *Node
	incarnation int
	run         func()
}

// schedule has something done at an instant: by a node, if it lives on and when it runs, or by the world.
func (s *Simulation) schedule(n *Node, at time.Duration, do func()) {
	e := event{node: n, run: do}
	if n != nil {
		e.incarnation = n.incarnation
	}
	s.queue.Schedule(max(at, s.Now), e)
}

// Run plays until an instant.
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

// send carries something from one node to another, if it gets there.
func (s *Simulation) send(from, to int, do func(n *Node)) {
	if s.cutLinks[[2]int{from, to}] || s.rng.Float64() < s.lossRate {
		return
	}
	n := s.Nodes[to]
	s.schedule(n, s.Now+minDelay+time.Duration(s.rng.Int64N(int64(delaySpread+s.extraDelay))), func() { do(n) })
}

func (s *Simulation) sendRaftMessage(n *Node, m *raftpb.Message) {
	to, known := n.peerIndexes[m.GetTo()]
	if name := n.voter.State().VoterName(m.GetTo()); name != "" {
		to, known = s.nodeNamed(name).index, true
	}
	if !known {
		return
	}
	if m.GetType() == raftpb.MsgSnap { // over a stream: whether it arrives is known
		s.schedule(n, s.Now+2*delaySpread, func() { s.callVoter(n, func() { n.voter.ReportSnapshot(m.GetTo(), !s.cutLinks[[2]int{n.index, to}]) }) })
	}
	s.send(n.index, to, func(other *Node) { s.receiveRaftMessage(other, n.index, m) })
}

// receiveRaftMessage takes a message, as chamber does.
func (s *Simulation) receiveRaftMessage(n *Node, from int, m *raftpb.Message) {
	if n.voter == nil || n.voterID != m.GetTo() {
		return
	}
	s.callVoter(n, func() {
		n.peerIndexes[m.GetFrom()] = from
		n.voter.Receive(n.localTime(s.Now), m)
	})
}

func (s *Simulation) sendGrant(n *Node, t consensus.AddressedGrant) {
	s.send(n.index, indexOf(t.Recipient), func(d *Node) {
		d.isAnswered, d.leaseTarget = true, n.index
		s.handleSlotStatus(d, t.Grant)
		d.leaseHolder.HandleGrant(d.localTime(s.Now), t.Grant)
		s.installLeasedVersion(d)
		if version, docs := d.leaseHolder.PendingCheck(); version > 0 { // looked at for a while, beside all else
			s.schedule(d, s.Now+checkTime, func() {
				if now, _ := d.leaseHolder.PendingCheck(); now == version {
					d.leaseHolder.CompleteCheck(version, d.checkDocuments(docs))
				}
			})
		}
	})
}
