package swim

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// indirectProbeFanout is the number of members that are asked to probe a target that has not responded.
	indirectProbeFanout = 3

	// maxIndirectProbes bounds the indirect probes that this node carries out for others at once.
	maxIndirectProbes = 256
)

// indirectProbe is a probe that this node carries out for another member.
type indirectProbe struct {
	requesterAddr netip.AddrPort
	requesterSeq  uint64 // sequence number of the PingReq
	targetName    string // name of the member that is probed
	nackAt        time.Duration
}

// sendIndirectProbes asks other members to probe a target that has not responded in time. The one that reached the target
// last is among them.
func (n *Node) sendIndirectProbes(seq uint64, p *probe) {
	p.hasSentIndirect = true
	helpers := n.randomPresent(indirectProbeFanout, p.target)
	last := p.target.lastIndirectProber
	if last != nil && last.State.IsPresent() && last != p.target && len(helpers) > 0 && !slices.Contains(helpers, last) {
		helpers[0] = last
	}
	for _, m := range helpers {
		p.expectedNacks++
		n.send(m.Addr, &Message{Kind: PingReq, Seq: seq, Target: p.target.Peer})
	}
}

// receivePingReq probes a target for the sender.
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
// network works (Lifeguard, section IV-A).
func (n *Node) sendNacks(now time.Duration) {
	for _, seq := range slices.Sorted(maps.Keys(n.indirectProbes)) { // sorted, so that a seed determines the run
		if p := n.indirectProbes[seq]; now >= p.nackAt {
			delete(n.indirectProbes, seq)
			n.send(p.requesterAddr, &Message{Kind: Nack, Seq: p.requesterSeq})
		}
	}
}
