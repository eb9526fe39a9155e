package swim

import "time"

// conflictProbeAttempts is the number of probes without a response after which another process with this node's name
// counts as ended, so that this node takes over the name.
const conflictProbeAttempts = 3

// nameConflict is another process with this node's name. It has ended, or it is older and this node yields to it, or it is
// younger and will yield to this node. A node that yields only responds to messages, and sends no updates and no probes of
// members.
type nameConflict struct {
	Peer
	lastSeq          uint64        // sequence number of the latest probe that this node sent to the other process
	unansweredProbes int           // number of probes sent to the other process since it last responded
	nextProbe        time.Duration // instant at which the next probe is sent to the other process
	incarnation      uint64        // highest incarnation of the other process that was received
	hasResponded     bool          // whether the other process has ever responded to a probe
	isYielding       bool          // whether this node leaves the name to the other process, which is older and responds
}

// NameConflict returns another process with this node's name, whether it has responded, and whether this node yields to
// it. Without a conflict it returns zero values.
func (n *Node) NameConflict() (other Peer, responds, yields bool) {
	if n.conflict == nil {
		return Peer{}, false, false
	}
	return n.conflict.Peer, n.conflict.hasResponded, n.conflict.isYielding
}

// isYielding reports whether this node yields to an older process with its name: it only responds, and sends no updates.
func (n *Node) isYielding() bool { return n.conflict != nil && n.conflict.isYielding }

// applyUpdateAboutSelf handles an update about this node's name: it refutes one about this process or about an earlier
// process that has ended, and records another process that uses the name.
func (n *Node) applyUpdateAboutSelf(now time.Duration, u Update) {
	c := n.conflict
	if n.isYielding() && u.Generation == c.Generation {
		c.incarnation = max(c.incarnation, u.Incarnation)
		if u.State == Left { // the older process has given up the name
			c.unansweredProbes, c.nextProbe = conflictProbeAttempts, now
		}
		return
	}
	isThisProcess := u.Generation == n.self.Generation
	switch {
	case isThisProcess || u.Addr == n.self.Addr || !u.State.IsPresent(): // this process, or an earlier one that has ended
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

// refute overrides the updates of others about this node, up to an incarnation, by a higher incarnation.
func (n *Node) refute(incarnation uint64) {
	n.digest ^= n.self.digest()
	n.self.Incarnation = max(n.self.Incarnation, incarnation) + 1
	n.digest ^= n.self.digest()
	n.viewNumber++
	n.broadcasts.enqueue(n.self)
}

// tickNameConflict probes the other process with this node's name, and takes over the name when that process is gone.
func (n *Node) tickNameConflict(now time.Duration) {
	c := n.conflict
	if c == nil || now < c.nextProbe {
		return
	}
	c.nextProbe = now + n.options.ProbeInterval
	if c.unansweredProbes >= conflictProbeAttempts {
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
// long as the older one responds. The older process makes its own updates override those of the younger one.
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
