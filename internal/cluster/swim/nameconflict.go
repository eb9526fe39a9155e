package swim

import "time"

// maxUnansweredConflictProbes is the number of Pings that this node sends, without a response, to another process with its name
// before it takes that process for ended and takes over the name.
const maxUnansweredConflictProbes = 3

// nameConflict describes another process with this node's name. Either that process has ended, or it is older and this
// node yields to it, or it is younger and will yield to this node. A node that yields only responds to messages, and sends
// no updates and no probes of members.
type nameConflict struct {
	Peer
	lastSeq          uint64        // sequence number of the latest Ping that this node sent to the other process
	unansweredProbes int           // number of Pings sent to the other process since it last responded
	nextProbe        time.Duration // instant at which this node sends the next Ping to the other process
	incarnation      uint64        // highest incarnation of the other process in the updates that this node received
	hasResponded     bool          // whether the other process has responded to a Ping of this node
	isYielding       bool          // whether this node sends no updates and no probes of members, because the other process is older and responds
}

// NameConflict returns another process with this node's name, whether that process has responded to a Ping of this node, and
// whether this node yields to it: whether the node stays out of the cluster while the other, older process responds. If no such
// process is known, NameConflict returns zero values.
func (n *Node) NameConflict() (other Peer, responds, yields bool) {
	if n.conflict == nil {
		return Peer{}, false, false
	}
	return n.conflict.Peer, n.conflict.hasResponded, n.conflict.isYielding
}

// isYielding reports whether this node yields to an older process with the same name. While it yields, the node only
// responds to messages, and sends no updates and no probes of members.
func (n *Node) isYielding() bool { return n.conflict != nil && n.conflict.isYielding }

// applyUpdateAboutSelf handles an update whose member has this node's name. The node refutes an update about this process, or
// about an earlier process that has ended, unless the update is outdated or says nothing new. For an update about another process
// that still runs, the node records in n.conflict that this process has its name.
func (n *Node) applyUpdateAboutSelf(now time.Duration, u Update) {
	c := n.conflict
	if n.isYielding() && u.Generation == c.Generation {
		c.incarnation = max(c.incarnation, u.Incarnation)
		if u.State == Left { // the older process with this node's name has left the cluster
			c.unansweredProbes, c.nextProbe = maxUnansweredConflictProbes, now
		}
		return
	}
	isThisProcess := u.Generation == n.self.Generation
	switch {
	case isThisProcess || u.Addr == n.self.Addr || !u.State.IsPresent(): // u is about this process, or about an earlier process that has ended
		isKnown := isThisProcess && u.State == n.self.State && u.Incarnation == n.self.Incarnation
		if u.Incarnation < n.self.Incarnation || isKnown || n.hasLeft || n.isYielding() {
			return
		}
		if isThisProcess && u.State == Suspect {
			n.adjustHealthScore(1)
		}
		n.refute(u.Incarnation)
	case c == nil:
		n.conflict = &nameConflict{Peer: u.Peer, nextProbe: now, incarnation: u.Incarnation}
	case c.Generation == u.Generation:
		c.incarnation = max(c.incarnation, u.Incarnation)
	}
}

// refute raises this node's incarnation above the parameter incarnation, and gossips an update with the raised incarnation. The
// update overrides what other nodes have gossiped about this node.
func (n *Node) refute(incarnation uint64) {
	n.digest ^= n.self.digest()
	n.self.Incarnation = max(n.self.Incarnation, incarnation) + 1
	n.digest ^= n.self.digest()
	n.viewNumber++
	n.broadcasts.enqueue(n.self)
}

// tickNameConflict sends a Ping to the other process with this node's name when one is due, and takes over the name when
// that process has not responded to maxUnansweredConflictProbes Pings.
func (n *Node) tickNameConflict(now time.Duration) {
	c := n.conflict
	if c == nil || now < c.nextProbe {
		return
	}
	c.nextProbe = now + n.options.ProbeInterval
	if c.unansweredProbes >= maxUnansweredConflictProbes {
		n.conflict = nil
		n.viewNumber++
		n.refute(c.incarnation)
		return
	}
	c.unansweredProbes++
	n.lastSeq++
	c.lastSeq = n.lastSeq
	n.send(c.Addr, &Message{Kind: Ping, Seq: n.lastSeq, Target: c.Peer})
}

// receiveConflictAck handles the response of the other process with this node's name. If this node is the younger of the two,
// it stays out of the cluster for as long as the other one responds. If it is the older one, it raises its incarnation if that
// is necessary for its updates to override those of the younger process.
func (n *Node) receiveConflictAck(now time.Duration) {
	c := n.conflict
	c.unansweredProbes = 0
	if !c.hasResponded {
		c.hasResponded = true
		n.viewNumber++
	}
	if c.isYielding = n.self.Generation > c.Generation; c.isYielding {
		return
	}
	if c.incarnation >= n.self.Incarnation {
		n.refute(c.incarnation)
	}
	n.updateConnectivity(now)
}
