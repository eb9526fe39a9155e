package swim

import (
	"maps"
	"slices"
	"time"
)

// probe is a Ping of this node that has no response yet.
type probe struct {
	target          *member
	indirectAt      time.Duration // instant at which other members are asked for indirect probes
	hasSentIndirect bool
	deadline        time.Duration // instant at which the probe has failed
	expectedNacks   int           // members that were asked, each of which responds with a Nack at least
	receivedNacks   int
}

// tickProbes ends the probes that are overdue, begins indirect ones, and probes the next member.
func (n *Node) tickProbes(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.probes)) { // sorted, so that a seed determines the run
		p := n.probes[seq]
		if now >= p.deadline {
			delete(n.probes, seq)
			n.handleFailedProbe(now, p)
		} else if !p.hasSentIndirect && now >= p.indirectAt {
			n.sendIndirectProbes(seq, p)
		}
	}
	if now >= n.nextProbe {
		n.nextProbe = now + n.options.ProbeInterval // local health lengthens the timeouts, not the interval
		n.startProbe(now)
	}
}

// startProbe sends a Ping to the next target. A member is probed again only when its response is overdue for good, so that
// maxLocalHealth+1 probes are out at most.
func (n *Node) startProbe(now time.Duration) {
	if n.isYielding() || n.hasLeft || len(n.probes) > maxHealthScore {
		return
	}
	target := n.nextProbeTarget()
	if target == nil {
		return
	}
	n.lastSeq++
	n.probes[n.lastSeq] = &probe{
		target:     target,
		indirectAt: now + n.scaleByHealthScore(n.options.ProbeTimeout),
		deadline:   now + n.scaleByHealthScore(n.options.ProbeInterval),
	}
	n.send(target.Addr, &Message{Kind: Ping, Seq: n.lastSeq, Target: target.Peer})
}

// nextProbeTarget returns an urgent target, or else the next member of the round, which is shuffled anew at its end.
func (n *Node) nextProbeTarget() *member {
	for len(n.urgentTargets) > 0 {
		m := n.urgentTargets[0]
		n.urgentTargets = n.urgentTargets[1:]
		if m.State == Suspect && n.members[m.Name] == m {
			return m
		}
	}
	if len(n.present) == 0 {
		return nil
	}
	if n.probeIndex >= len(n.present) {
		n.probeIndex = 0
		n.rng.Shuffle(len(n.present), func(i, j int) { swapMembers(n.present, i, j) })
	}
	m := n.present[n.probeIndex]
	n.probeIndex++
	return m
}

// handleFailedProbe suspects the target of a probe without a response. Nacks that were expected and did not arrive are
// evidence against this node's own health.
func (n *Node) handleFailedProbe(now time.Duration, p *probe) {
	if p.expectedNacks > 0 {
		n.adjustHealthScore(p.expectedNacks - p.receivedNacks)
	} else {
		n.adjustHealthScore(1)
	}
	if n.members[p.target.Name] != p.target || !p.target.State.IsPresent() {
		return
	}
	u := p.target.Update
	u.State, u.By = Suspect, n.self.Name
	n.applyUpdate(now, u, false) // confirms the suspicion where another member began it
}

// receivePing responds with an Ack, unless the Ping is for another member that had this address before.
func (n *Node) receivePing(m *Message) {
	if m.Target.Name != "" && m.Target.Name != n.self.Name {
		n.send(m.From.Addr, &Message{Kind: Gossip}) // its From says which member is at this address now
		return
	}
	ack := &Message{Kind: Ack, Seq: m.Seq}
	// A sender that is not held for alive has to learn of that before it can refute it.
	if sender := n.members[m.From.Name]; sender != nil && sender.State != Alive && !n.isYielding() {
		ack.Updates = n.broadcasts.collect(n.retransmitLimit(), []Update{sender.Update})
	}
	n.send(m.From.Addr, ack)
}

// receiveAck ends what the Ack responds to: a probe of a process with this node's name, an indirect probe for another
// member, or a probe of this node's own.
func (n *Node) receiveAck(now time.Duration, m *Message) {
	if c := n.conflict; c != nil && m.Seq == c.lastSeq && m.From.Generation == c.Generation {
		n.receiveConflictAck(now)
		return
	}
	if p := n.indirectProbes[m.Seq]; p != nil && m.From.Name == p.targetName {
		delete(n.indirectProbes, m.Seq)
		n.send(p.requesterAddr, &Message{Kind: Ack, Seq: p.requesterSeq, Target: m.From.Peer})
		return
	}
	if p := n.probes[m.Seq]; p != nil && (m.From.Name == p.target.Name || m.Target.Name == p.target.Name) {
		delete(n.probes, m.Seq)
		n.adjustHealthScore(-1)
		if m.From.Name != p.target.Name {
			p.target.lastIndirectProber = n.members[m.From.Name]
		}
	}
}
