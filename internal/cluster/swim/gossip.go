package swim

import (
	"math/bits"
	"net/netip"
)

const (
	// gossipFanout is the number of members that each round of gossip goes to.
	gossipFanout = 3

	// gossipsPerProbeInterval is the number of rounds of gossip in a ProbeInterval.
	gossipsPerProbeInterval = 4

	// retransmitFactor, times half of the binary logarithm of the cluster's size, is how often an update is sent.
	retransmitFactor = 4
)

// broadcastQueue holds the updates to be gossiped, one of a member at most. Each is sent a bounded number of times, and
// those first that were sent least.
type broadcastQueue struct {
	byName          map[string]*broadcast
	byTransmitCount [][]*broadcast // by how often they were sent; one that was replaced stays until collect reaches it
	lowestLevel     int            // no entry of byTransmits below it holds a broadcast
}

// broadcast is an update with the number of times that it was sent.
type broadcast struct {
	Update
	transmitCount int
}

// reset empties the queue.
func (q *broadcastQueue) reset() { *q = broadcastQueue{byName: map[string]*broadcast{}} }

// hasPending reports whether updates are left to be sent.
func (q *broadcastQueue) hasPending() bool { return len(q.byName) > 0 }

// enqueue adds an update, in place of the one of the same member.
func (q *broadcastQueue) enqueue(u Update) {
	b := &broadcast{Update: u}
	q.byName[u.Name] = b
	q.insert(b)
}

func (q *broadcastQueue) insert(b *broadcast) {
	for len(q.byTransmitCount) <= b.transmitCount {
		q.byTransmitCount = append(q.byTransmitCount, nil)
	}
	q.byTransmitCount[b.transmitCount] = append(q.byTransmitCount[b.transmitCount], b)
	q.lowestLevel = min(q.lowestLevel, b.transmitCount)
}

// collect appends updates for one message to those that it must carry, within the bounds of a message. It drops an update
// that has been sent limit times.
func (q *broadcastQueue) collect(limit int, out []Update) []Update {
	freeBytes := maxPiggybackBytes
	for i := range out {
		freeBytes -= out[i].maxEncodedBytes()
	}
	var sentAgain []*broadcast
	for q.lowestLevel < len(q.byTransmitCount) && len(out) < MaxPiggyback {
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
			out = append(out, b.Update)
			if b.transmitCount++; b.transmitCount < limit {
				sentAgain = append(sentAgain, b) // put back after the loop: a message carries an update once
			} else {
				delete(q.byName, b.Name)
			}
		}
		level[0] = nil
		q.byTransmitCount[q.lowestLevel] = level[1:]
	}
	for _, b := range sentAgain {
		q.insert(b)
	}
	if len(q.byName) == 0 {
		q.byTransmitCount, q.lowestLevel = nil, 0
	}
	return out
}

// canGossip reports whether there are updates to gossip and the node may gossip.
func (n *Node) canGossip() bool { return n.broadcasts.hasPending() && !n.isYielding() }

// gossip sends updates to a number of random members.
func (n *Node) gossip(fanout int) {
	for _, m := range n.randomPresent(fanout, nil) {
		n.send(m.Addr, &Message{Kind: Gossip})
	}
}

// send puts a message into the outbox, with updates piggybacked on it.
func (n *Node) send(to netip.AddrPort, m *Message) {
	m.From, m.Digest, m.Quiet = n.self, n.digest, !n.broadcasts.hasPending()
	if m.Updates == nil && !n.isYielding() {
		m.Updates = n.broadcasts.collect(n.retransmitLimit(), n.buddyUpdates(m, to))
	}
	n.outbox = append(n.outbox, Envelope{To: to, Message: m})
}

// buddyUpdates returns what the target of a Ping must receive about itself, that it is suspect or failed, so that it can
// refute soon (Lifeguard's buddy system).
func (n *Node) buddyUpdates(m *Message, to netip.AddrPort) []Update {
	if n.options.DisableBuddySystem || m.Target.Name == "" || m.Kind != Ping {
		return nil
	}
	if target := n.members[m.Target.Name]; target != nil && target.State != Alive && target.Addr == to {
		return []Update{target.Update}
	}
	return nil
}

// retransmitLimit returns how often this node sends an update.
func (n *Node) retransmitLimit() int { return retransmitFactor * bits.Len(uint(len(n.present)+1)) / 2 }
