package swim

import "time"

// conflictProbeAttempts is the number of probes that another process with this node's name leaves without a response
// before this node takes the name.
const conflictProbeAttempts = 3

// nameConflict is another process with this node's name: one that has ended, an elder to which this node yields, or a
// younger that will yield.
type nameConflict struct {
	Peer
	lastSeq          uint64 // sequence number of the latest probe
	unansweredProbes int
	nextProbe        time.Duration
	incarnation      uint64 // the highest one received
	hasAnswered      bool
	isYielding       bool // the other is the elder and responds: this node sends nothing of its own
}

// NameConflict returns another process with this node's name, whether it has responded, and whether this node yields
// to it. Without a conflict it returns zero values.
func (n *Node) NameConflict() (other Peer, answers, yields bool) {
	if n.conflict == nil {
		return Peer{}, false, false
	}
	return n.conflict.Peer, n.conflict.hasAnswered, n.conflict.isYielding
}

// isYielding reports whether the node sends nothing of its own because it yields to an elder process with its name.
func (n *Node) isYielding() bool { return n.conflict != nil && n.conflict.isYielding }

// applyUpdateAboutSelf takes up what others state about this node, which alone may raise its incarnation.
func (n *Node) applyUpdateAboutSelf(now time.Duration, u Update) {
	c := n.conflict
	if n.isYielding() && u.Generation == c.Generation {
		c.incarnation = max(c.incarnation, u.Incarnation)
		if u.State == Left { // the elder gave up the name
			c.unansweredProbes, c.nextProbe = conflictProbeAttempts, now
		}
		return
	}
	isThisProcess := u.Generation == n.self.Generation
	switch {
	case isThisProcess || u.Addr == n.self.Addr || !u.State.IsPresent(): // about this process, or one that has ended
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

// refute overrides what others hold of this node by an incarnation above theirs.
func (n *Node) refute(theirs uint64) {
	n.digest ^= n.self.digest()
	n.self.Incarnation = max(n.self.Incarnation, theirs) + 1
	n.digest ^= n.self.digest()
	n.viewNumber++
	n.broadcasts.enqueue(n.self)
}

// tickNameConflict probes the other process with this node's name, and takes the name when it is gone.
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

// receiveConflictAck handles the response of the other process with this node's name. The younger of the two yields for as
// long as the elder responds; the elder makes its own updates override the other's.
func (n *Node) receiveConflictAck(now time.Duration) {
	c := n.conflict
	c.unansweredProbes = 0
	if !c.hasAnswered {
		c.hasAnswered = true
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
