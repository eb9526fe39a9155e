package swim

import (
	"math/bits"
	"net/netip"
)

const (
	// gossipFanout is the number of members to which each round of gossip is sent.
	gossipFanout = 3

	// gossipsPerProbeInterval is the number of rounds of gossip in a ProbeInterval.
	gossipsPerProbeInterval = 4

	// retransmitFactor is how often an update is sent, relative to half of the binary logarithm of the cluster's size.
	retransmitFactor = 4
)

// broadcastQueue contains the updates to be gossiped, at most one about each member. Each is sent a limited number of
// times. The updates that were sent least often are sent first.
type broadcastQueue struct {
	byName          map[string]*broadcast // pending broadcasts by the name of the member
	byTransmitCount [][]*broadcast        // broadcasts by transmitCount; a replaced one stays until collect removes it
	lowestLevel     int                   // index in byTransmitCount below which all lists are empty
}

// broadcast is an update to be gossiped.
type broadcast struct {
	Update
	transmitCount int // number of messages that have contained the update
}

// reset empties the queue.
func (q *broadcastQueue) reset() { *q = broadcastQueue{byName: map[string]*broadcast{}} }

// hasPending reports whether there are updates to be sent.
func (q *broadcastQueue) hasPending() bool { return len(q.byName) > 0 }

// enqueue adds an update. It replaces an earlier one about the same member.
func (q *broadcastQueue) enqueue(u Update) {
	b := &broadcast{Update: u}
	q.byName[u.Name] = b
	q.insert(b)
}

// insert adds a broadcast to the list of its transmitCount.
func (q *broadcastQueue) insert(b *broadcast) {
	for len(q.byTransmitCount) <= b.transmitCount {
		q.byTransmitCount = append(q.byTransmitCount, nil)
	}
	q.byTransmitCount[b.transmitCount] = append(q.byTransmitCount[b.transmitCount], b)
	q.lowestLevel = min(q.lowestLevel, b.transmitCount)
}

// collect appends queued updates to those that a message must contain anyway, within MaxPiggyback and maxPiggybackBytes.
// An update that has been sent transmitLimit times is removed from the queue.
func (q *broadcastQueue) collect(transmitLimit int, updates []Update) []Update {
	freeBytes := maxPiggybackBytes
	for i := range updates {
		freeBytes -= updates[i].maxEncodedBytes()
	}
	var requeued []*broadcast
	for q.lowestLevel < len(q.byTransmitCount) && len(updates) < MaxPiggyback {
		level := q.byTransmitCount[q.lowestLevel]
		if len(level) == 0 {
			q.lowestLevel++
			continue
		}
		b := level[0]
		if q.byName[b.Name] == b {
			if b.maxEncodedBytes() > freeBytes {
				break
			}
			freeBytes -= b.maxEncodedBytes()
			updates = append(updates, b.Update)
			if b.transmitCount++; b.transmitCount < transmitLimit {
				requeued = append(requeued, b) // inserted after the loop, so that a message contains each update only once
			} else {
				delete(q.byName, b.Name)
			}
		}
		level[0] = nil
		q.byTransmitCount[q.lowestLevel] = level[1:]
	}
	for _, b := range requeued {
		q.insert(b)
	}
	if len(q.byName) == 0 {
		q.byTransmitCount, q.lowestLevel = nil, 0
	}
	return updates
}

// canGossip reports whether there are updates to gossip and the node does not yield to an older process with its name.
func (n *Node) canGossip() bool { return n.broadcasts.hasPending() && !n.isYielding() }

// gossip sends queued updates to up to fanout random present members.
func (n *Node) gossip(fanout int) {
	for _, m := range n.randomPresent(fanout, nil) {
		n.send(m.Addr, &Message{Kind: Gossip})
	}
}

// send adds a message to the outbox, with queued updates piggybacked on it.
func (n *Node) send(to netip.AddrPort, m *Message) {
	m.From, m.Digest, m.GossipQueueEmpty = n.self, n.digest, !n.broadcasts.hasPending()
	if m.Updates == nil && !n.isYielding() {
		m.Updates = n.broadcasts.collect(n.retransmitLimit(), n.buddyUpdates(m, to))
	}
	n.outbox = append(n.outbox, Envelope{To: to, Message: m})
}

// buddyUpdates returns the update that must be piggybacked on a Ping if its target is not alive as far as this node knows:
// the target learns of it with the Ping, so that it can refute it soon (Lifeguard's buddy system).
func (n *Node) buddyUpdates(m *Message, to netip.AddrPort) []Update {
	if n.options.DisableBuddySystem || m.Target.Name == "" || m.Kind != Ping {
		return nil
	}
	if target := n.members[m.Target.Name]; target != nil && target.State != Alive && target.Addr == to {
		return []Update{target.Update}
	}
	return nil
}

// retransmitLimit returns how many times this node sends an update.
func (n *Node) retransmitLimit() int { return retransmitFactor * bits.Len(uint(len(n.present)+1)) / 2 }
