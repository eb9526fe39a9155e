package swim

import "time"

// maxUnansweredConflictProbes is the number of probes without a response after which another process with this node's name
// counts as ended, so that this node takes over the name.
const maxUnansweredConflictProbes = 3

// nameConflict describes another process with this node's name. Either that process has ended, or it is older and this
// node yields to it, or it is younger and will yield to this node. A node that yields only responds to messages, and sends
// no updates and no probes of members.
type nameConflict struct {
	Peer
	lastSeq          uint64        // sequence number of the latest Ping that this node sent to the other process
	unansweredProbes int           // number of Pings sent to the other process since it last responded
	nextProbe        time.Duration // instant at which this node sends the next Ping to the other process
	incarnation      uint64        // highest incarnation of the other process that was received
	hasResponded     bool          // whether the other process has responded to a Ping of this node
	isYielding       bool          // whether this node yields, because the other process is older and responds
}

// NameConflict returns another process with this node's name, whether that process has responded, and whether this node
// yields to it. If no such process is known, NameConflict returns zero values.
func (n *Node) NameConflict() (other Peer, responds, yields bool) {
	if n.conflict == nil {
		return Peer{}, false, false
	}
	return n.conflict.Peer, n.conflict.hasResponded, n.conflict.isYielding
}

// isYielding reports whether this node yields to an older process with the same name. While it yields, the node only
// responds to messages, and sends no updates and no probes of members.
func (n *Node) isYielding() bool { return n.conflict != nil && n.conflict.isYielding }

// applyUpdateAboutSelf handles an update whose member has this node's name. If the update is about this process or about
// an earlier process that has ended, the node refutes the update; otherwise it records the other process as a conflict.
func (n *Node) applyUpdateAboutSelf(now time.Duration, u Update) {
	c := n.conflict
	if n.isYielding() && u.Generation == c.Generation {
		c.incarnation = max(c.incarnation, u.Incarnation)
		if u.State == Left { // the older process has given up the name
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

// refute raises this node's incarnation above the given one, and gossips an update with it, which overrides the updates
// of others about this node.
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

// receiveConflictAck handles the response of the other process with this node's name. The younger process yields for as
// long as the older process responds. The older process makes its updates override the updates of the younger process.
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
