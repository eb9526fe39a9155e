package swim

import (
	"maps"
	"slices"
	"time"
)

// probe is a Ping of this node that has no response yet.
type probe struct {
	target          *member       // member to which the Ping was sent
	indirectAt      time.Duration // instant at which other members are requested to probe the target
	hasSentPingReqs bool          // whether other members were requested to probe the target
	deadline        time.Duration // instant at which the probe fails if there is no Ack
	expectedNacks   int           // number of members that were requested to probe the target; each sends an Ack or a Nack
	receivedNacks   int           // number of Nacks received for the probe, at most expectedNacks
}

// tickProbes handles probes whose deadline has passed, requests indirect probes for probes whose indirectAt has passed,
// and starts the next probe when it is due.
func (n *Node) tickProbes(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.probes)) { // sorted, so that the same seed gives the same order of messages
		p := n.probes[seq]
		if now >= p.deadline {
			delete(n.probes, seq)
			n.handleFailedProbe(now, p)
		} else if !p.hasSentPingReqs && now >= p.indirectAt {
			n.sendIndirectProbes(seq, p)
		}
	}
	if now >= n.nextProbe {
		n.nextProbe = now + n.options.ProbeInterval // the health score lengthens the timeouts of probes, but not the interval between them
		n.startProbe(now)
	}
}

// startProbe sends a Ping to the next target, unless maxHealthScore+1 probes are already in flight. At the worst health score a
// probe without a response stays in flight for maxHealthScore+1 probe intervals, so the limit still allows one new probe in
// each interval.
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

// nextProbeTarget returns the member to probe next: the first of urgentTargets that is still suspect, or otherwise the next
// member of the probe round, in which each alive or suspect member is probed once. After each round the order is shuffled
// again.
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

// handleFailedProbe marks the target of a probe without a response as suspect. Nacks that were expected and did not arrive
// are evidence that this node itself is slow or disconnected.
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
	u.State, u.SuspectedBy = Suspect, n.self.Name
	n.applyUpdate(now, u, false) // if another member already suspects the target, the update confirms that suspicion
}

// receivePing responds with an Ack, unless the Ping is meant for another member that had this address before.
func (n *Node) receivePing(m *Message) {
	if m.Target.Name != "" && m.Target.Name != n.self.Name {
		n.send(m.From.Addr, &Message{Kind: Gossip}) // the message's From field tells the sender of the Ping which member has this address now
		return
	}
	ack := &Message{Kind: Ack, Seq: m.Seq}
	// Tell the sender that this node considers it suspect, failed or left, so that it can refute that state.
	if sender := n.members[m.From.Name]; sender != nil && sender.State != Alive && !n.isYielding() {
		ack.Updates = n.broadcasts.collect(n.retransmitLimit(), []Update{sender.Update})
	}
	n.send(m.From.Addr, ack)
}

// receiveAck completes the probe to which the Ack responds: a probe of another process with this node's name, an indirect
// probe on behalf of another member, or a probe of a member for this node itself.
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
