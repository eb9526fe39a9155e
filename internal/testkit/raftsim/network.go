package raftsim

import (
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"tuliprock/internal/cluster/consensus"
)

// event is something that a node does, in one life; a nil node: the world.
type event struct {
	node *Node
	life int
	do   func()
}

// at has something done at an instant: by a node, if it lives on and when it runs, or by the world.
func (w *Simulation) at(n *Node, at time.Duration, do func()) {
	e := event{node: n, do: do}
	if n != nil {
		e.life = n.life
	}
	w.agenda.Schedule(max(at, w.Now), e)
}

// Run plays until an instant.
func (w *Simulation) Run(until time.Duration) {
	for e, ok := w.agenda.PopDue(until); ok; e, ok = w.agenda.PopDue(until) {
		w.Now = e.At
		switch n := e.Event.node; {
		case n == nil:
			e.Event.do()
		case n.down || n.life != e.Event.life:
		case n.paused > w.Now:
			w.agenda.Reschedule(n.paused, e)
		default:
			e.Event.do()
		}
	}
	w.Now = until
}

// send carries something from one node to another, if it gets there.
func (w *Simulation) send(from, to int, do func(n *Node)) {
	if w.cut[[2]int{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	n := w.Nodes[to]
	w.at(n, w.Now+leastDelay+time.Duration(w.rng.Int64N(int64(moreDelay+w.slow))), func() { do(n) })
}

func (w *Simulation) sendRaft(n *Node, m *raftpb.Message) {
	to, known := n.names[m.GetTo()]
	if name := n.voter.State().VoterName(m.GetTo()); name != "" {
		to, known = w.named(name).place, true
	}
	if !known {
		return
	}
	if m.GetType() == raftpb.MsgSnap { // over a stream: whether it arrives is known
		w.at(n, w.Now+2*moreDelay, func() { w.use(n, func() { n.voter.ReportSnapshot(m.GetTo(), !w.cut[[2]int{n.place, to}]) }) })
	}
	w.send(n.place, to, func(other *Node) { w.hear(other, n.place, m) })
}

// hear takes a message, as chamber does.
func (w *Simulation) hear(n *Node, from int, m *raftpb.Message) {
	if n.voter == nil || n.id != m.GetTo() {
		return
	}
	w.use(n, func() {
		n.names[m.GetFrom()] = from
		n.voter.Receive(n.local(w.Now), m)
	})
}

func (w *Simulation) sendGrant(n *Node, t consensus.AddressedGrant) {
	w.send(n.place, placeOf(t.Recipient), func(d *Node) {
		d.heard, d.leader = true, n.place
		w.learnVoters(d, t.Grant)
		d.holder.HandleGrant(d.local(w.Now), t.Grant)
		w.install(d)
		if version, docs := d.holder.PendingCheck(); version > 0 { // looked at for a while, beside all else
			w.at(d, w.Now+checkTime, func() {
				if now, _ := d.holder.PendingCheck(); now == version {
					d.holder.CompleteCheck(version, d.canAct(docs))
				}
			})
		}
	})
}
