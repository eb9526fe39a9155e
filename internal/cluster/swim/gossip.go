package swim

import (
	"math/bits"
	"net/netip"
)

const (
	// gossipFanout is the number of members to which a node sends its updates in each round of gossip.
	gossipFanout = 3

	// gossipRoundsPerProbeInterval is the number of rounds of gossip that a node starts in a ProbeInterval.
	gossipRoundsPerProbeInterval = 4

	// retransmitFactor sets how many times a node sends each update: retransmitFactor/2 times the number of bits of the
	// cluster's size as a binary number.
	retransmitFactor = 4
)

// broadcastQueue contains the updates to be gossiped, at most one about each member. Each update is sent a limited number
// of times. The updates that were sent least often are sent first.
type broadcastQueue struct {
	byMemberName        map[string]*broadcast // pending broadcasts by the name of the member
	byTransmitCount     [][]*broadcast        // broadcasts by transmitCount; a broadcast that a later one about its member replaced stays until collect removes it
	lowestTransmitCount int                   // index in byTransmitCount below which all lists are empty
}

// broadcast is an update to be gossiped, with the number of times that it was sent.
type broadcast struct {
	Update
	transmitCount int // number of messages that have contained the update
}

// reset removes all updates from the queue, whether or not they were sent.
func (q *broadcastQueue) reset() { *q = broadcastQueue{byMemberName: map[string]*broadcast{}} }

// hasPending reports whether the queue has updates that the node is still to send.
func (q *broadcastQueue) hasPending() bool { return len(q.byMemberName) > 0 }

// enqueue adds an update to the queue, in place of an earlier update about the same member.
func (q *broadcastQueue) enqueue(u Update) {
	b := &broadcast{Update: u}
	q.byMemberName[u.Name] = b
	q.insert(b)
}

// insert adds a broadcast to byTransmitCount, in the list for the number of times that it was sent.
func (q *broadcastQueue) insert(b *broadcast) {
	for len(q.byTransmitCount) <= b.transmitCount {
		q.byTransmitCount = append(q.byTransmitCount, nil)
	}
	q.byTransmitCount[b.transmitCount] = append(q.byTransmitCount[b.transmitCount], b)
	q.lowestTransmitCount = min(q.lowestTransmitCount, b.transmitCount)
}

// collect returns the updates to be piggybacked on a message: those in the parameter updates, then as many queued updates as
// MaxPiggybackedUpdates and maxPiggybackBytes allow. An update that has been sent transmitLimit times is removed from the queue.
func (q *broadcastQueue) collect(transmitLimit int, updates []Update) []Update {
	freeBytes := maxPiggybackBytes
	for i := range updates {
		freeBytes -= updates[i].maxEncodedBytes()
	}
	var requeued []*broadcast
	for q.lowestTransmitCount < len(q.byTransmitCount) && len(updates) < MaxPiggybackedUpdates {
		leastSent := q.byTransmitCount[q.lowestTransmitCount]
		if len(leastSent) == 0 {
			q.lowestTransmitCount++
			continue
		}
		b := leastSent[0]
		if q.byMemberName[b.Name] == b {
			if b.maxEncodedBytes() > freeBytes {
				break
			}
			freeBytes -= b.maxEncodedBytes()
			updates = append(updates, b.Update)
			if b.transmitCount++; b.transmitCount < transmitLimit {
				requeued = append(requeued, b) // b is inserted again after the loop, so that a message contains each update only once
			} else {
				delete(q.byMemberName, b.Name)
			}
		}
		leastSent[0] = nil
		q.byTransmitCount[q.lowestTransmitCount] = leastSent[1:]
	}
	for _, b := range requeued {
		q.insert(b)
	}
	if len(q.byMemberName) == 0 {
		q.byTransmitCount, q.lowestTransmitCount = nil, 0
	}
	return updates
}

// canGossip reports whether the node has updates to gossip and may send them, which it may not while an older process with its
// name responds.
func (n *Node) canGossip() bool { return n.broadcasts.hasPending() && !n.isYielding() }

// gossip sends queued updates to up to fanout random members that are alive or suspect.
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

// buddyUpdates returns this node's latest update about the target of a Ping if the update says that the target is not alive.
// The update must be piggybacked on the Ping, so that the target can refute it soon (Lifeguard's buddy system).
func (n *Node) buddyUpdates(m *Message, to netip.AddrPort) []Update {
	if n.options.DisableBuddySystem || m.Target.Name == "" || m.Kind != Ping {
		return nil
	}
	if target := n.members[m.Target.Name]; target != nil && target.State != Alive && target.Addr == to {
		return []Update{target.Update}
	}
	return nil
}

// retransmitLimit returns how many times this node sends an update, which grows with the logarithm of the cluster's size.
func (n *Node) retransmitLimit() int { return retransmitFactor * bits.Len(uint(len(n.present)+1)) / 2 }
