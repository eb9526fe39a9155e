package swim

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// membersPerSyncInterval limits how often a node starts a full state exchange: once in a ProbeInterval in a cluster of up to
// this many members. In a larger cluster the minimum time between two exchanges grows in proportion to the number of members,
// so that a node's traffic does not grow with the cluster.
const membersPerSyncInterval = 32

// syncIfViewsDiffer starts a full state exchange with the sender of the Ack m if the sender and this node have different
// digests of the members. While either of the two nodes has updates left to gossip, which may remove the difference, this node
// starts an exchange only if senderWasAbsent: the sender was failed, left or unknown to it before it received m.
func (n *Node) syncIfViewsDiffer(now time.Duration, m *Message, senderWasAbsent bool) {
	if m.Digest == n.digest || n.isYielding() || n.hasLeft {
		return
	}
	if !senderWasAbsent && (!m.GossipQueueEmpty || n.broadcasts.hasPending()) {
		return
	}
	syncInterval := n.options.ProbeInterval
	if probeIntervals := len(n.present) / membersPerSyncInterval; probeIntervals > 0 {
		syncInterval *= time.Duration(probeIntervals)
	}
	if n.lastSync != 0 && now-n.lastSync < syncInterval {
		return
	}
	n.lastSync = now
	n.sendFullState(m.From, Sync)
}

// sendFullState sends the latest update about each known member in a message of kind k, which is Sync or SyncReply.
func (n *Node) sendFullState(to Update, k Kind) {
	updates := make([]Update, 0, len(n.members)+1)
	if !n.isYielding() {
		for _, name := range slices.Sorted(maps.Keys(n.members)) {
			updates = append(updates, n.members[name].Update)
		}
	}
	m := &Message{Kind: k, From: n.self, Digest: n.digest, GossipQueueEmpty: !n.broadcasts.hasPending(), Updates: updates}
	n.outbox = append(n.outbox, Envelope{To: to.Addr, NeedsStream: true, Message: m})
}

// rejoin pings one random address: that of a failed member, or one in Options.Join that no alive or suspect member has. The
// pings reconnect the parts of a cluster after a network partition.
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
