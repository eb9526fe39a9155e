package swim

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// indirectProbeFanout is the number of members that are requested to probe a target that has not responded.
	indirectProbeFanout = 3

	// maxIndirectProbes is the maximum number of probes on behalf of other members that this node has in flight at once.
	maxIndirectProbes = 256
)

// indirectProbe is a probe in flight that this node sent on behalf of another member.
type indirectProbe struct {
	requesterAddr netip.AddrPort // address of the member that sent the PingReq
	requesterSeq  uint64         // sequence number of the PingReq
	targetName    string         // name of the member that the probe targets
	nackAt        time.Duration  // instant at which the requester gets a Nack if the target has not responded
}

// sendIndirectProbes requests other members to probe a target that has not responded to this node in time. The members are
// chosen at random, but the one whose indirect probe of the same target last succeeded is always among them, unless it has
// failed or left.
func (n *Node) sendIndirectProbes(seq uint64, p *probe) {
	p.hasSentPingReqs = true
	probers := n.randomPresent(indirectProbeFanout, p.target)
	lastProber := p.target.lastIndirectProber
	if lastProber != nil && lastProber.State.IsPresent() && lastProber != p.target && len(probers) > 0 &&
		!slices.Contains(probers, lastProber) {
		probers[0] = lastProber
	}
	for _, m := range probers {
		p.expectedNacks++
		n.send(m.Addr, &Message{Kind: PingReq, Seq: seq, Target: p.target.Peer})
	}
}

// receivePingReq probes the target of a PingReq on behalf of the sender.
func (n *Node) receivePingReq(now time.Duration, m *Message) {
	if m.Target.Name == "" || !m.Target.Addr.IsValid() || len(n.indirectProbes) >= maxIndirectProbes {
		return
	}
	n.lastSeq++
	n.indirectProbes[n.lastSeq] = &indirectProbe{
		requesterAddr: m.From.Addr, requesterSeq: m.Seq, targetName: m.Target.Name, nackAt: now + n.options.ProbeTimeout,
	}
	n.send(m.Target.Addr, &Message{Kind: Ping, Seq: n.lastSeq, Target: m.Target})
}

// sendNacks responds to the PingReqs whose targets have not responded in time. A Nack shows the requester that its own
// network connection works (Lifeguard, section IV-A).
func (n *Node) sendNacks(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.indirectProbes)) { // sorted, so that the same seed gives the same order of messages
		if p := n.indirectProbes[seq]; now >= p.nackAt {
			delete(n.indirectProbes, seq)
			n.send(p.requesterAddr, &Message{Kind: Nack, Seq: p.requesterSeq})
		}
	}
}
