package swim

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// membersPerSyncInterval is the number of members up to which an exchange may begin in every ProbeInterval. Above it the
// interval grows in proportion, so that what a node sends does not grow with the cluster.
const membersPerSyncInterval = 32

// syncIfViewsDiffer begins an exchange of full states with the sender of an Ack whose digest differs, if both have nothing
// left to gossip or the sender was not present before this message (wasAbsent).
func (n *Node) syncIfViewsDiffer(now time.Duration, m *Message, wasAbsent bool) {
	if m.Digest == n.digest || n.isYielding() || n.hasLeft {
		return
	}
	if !wasAbsent && (!m.Quiet || n.broadcasts.hasPending()) {
		return
	}
	interval := n.options.ProbeInterval
	if factor := len(n.present) / membersPerSyncInterval; factor > 0 {
		interval *= time.Duration(factor)
	}
	if n.lastSync != 0 && now-n.lastSync < interval {
		return
	}
	n.lastSync = now
	n.sendFullState(m.From, Sync)
}

// sendFullState sends all that the node holds, in a Sync or a SyncReply.
func (n *Node) sendFullState(to Update, k Kind) {
	updates := make([]Update, 0, len(n.members)+1)
	if !n.isYielding() {
		for _, name := range slices.Sorted(maps.Keys(n.members)) {
			updates = append(updates, n.members[name].Update)
		}
	}
	m := &Message{Kind: k, From: n.self, Digest: n.digest, Quiet: !n.broadcasts.hasPending(), Updates: updates}
	n.outbox = append(n.outbox, Envelope{To: to.Addr, Stream: true, Message: m})
}

// rejoin pings one address, at random, at which a member failed or Options.Join expects one and nobody is known to be
// present. By this a partition heals.
func (n *Node) rejoin() {
	if n.hasLeft || n.isYielding() {
		return
	}
	var candidates []netip.AddrPort
	if len(n.failed) > 0 {
		candidates = append(candidates, n.failed[n.rng.IntN(len(n.failed))].Addr)
	}
	for _, addr := range n.options.Join {
		if addr != n.self.Addr && n.presentAddrs[addr] == 0 {
			candidates = append(candidates, addr)
		}
	}
	if len(candidates) > 0 {
		n.lastSeq++
		n.send(candidates[n.rng.IntN(len(candidates))], &Message{Kind: Ping, Seq: n.lastSeq})
	}
}
