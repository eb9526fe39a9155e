package swim

import (
	"maps"
	"math"
	"slices"
	"time"
)

// suspicion is how long a member has to say that it is there: long where one node alone misses it, shorter as others
// agree (Lifeguard, section IV-B).
type suspicion struct {
	start                  time.Duration
	minTimeout, maxTimeout time.Duration
	expectedConfirmations  int      // others whose word brings it down to least
	suspectedBy            []string // who suspects; 1+expected at most
}

// confirm counts another who suspects, and tells whether that is news.
func (s *suspicion) confirm(by string) bool {
	if len(s.suspectedBy) > s.expectedConfirmations || slices.Contains(s.suspectedBy, by) {
		return false
	}
	s.suspectedBy = append(s.suspectedBy, by)
	return true
}

// deadline is the instant at which the member is held for failed.
func (s *suspicion) deadline() time.Duration {
	if s.expectedConfirmations == 0 {
		return s.start + s.minTimeout
	}
	share := math.Log(float64(len(s.suspectedBy))) / math.Log(float64(s.expectedConfirmations+1))
	return s.start + max(s.minTimeout, s.maxTimeout-time.Duration(share*float64(s.maxTimeout-s.minTimeout)))
}

func (n *Node) expireSuspicions(now time.Duration) {
	if now < n.nextSuspicionEnd {
		return
	}
	n.nextSuspicionEnd = noDeadline
	for _, name := range slices.Sorted(maps.Keys(n.suspects)) { // in order, so that a seed gives the same play
		m := n.suspects[name]
		if ends := m.suspicion.deadline(); now < ends {
			n.nextSuspicionEnd = min(n.nextSuspicionEnd, ends)
			continue
		}
		u := m.Update
		u.State, u.By = Failed, ""
		n.changeState(now, m, u)
	}
}

// nameConflict is another life of this node's name: dead, or an elder to give way to, or a younger that will.
type nameConflict struct {
	Peer
	seq              uint64
	unansweredProbes int
	nextProbe        time.Duration // instant of the next question
	incarnation      uint64        // the highest that was heard
	hasAnswered      bool
	isYielding       bool // it is the elder, and answers: this node says nothing
}

// applyUpdateOfSelf takes up what others say of this node. It is the only one that may raise its incarnation.
func (n *Node) applyUpdateOfSelf(now time.Duration, u Update) {
	if n.isYielding() && u.Run == n.conflict.Run {
		n.conflict.incarnation = max(n.conflict.incarnation, u.Incarnation)
		if u.State == Left { // it said goodbye: the name is this one's
			n.conflict.unansweredProbes, n.conflict.nextProbe = conflictProbeAttempts, now
		}
		return
	}
	switch {
	case u.Run == n.self.Run || u.Addr == n.self.Addr || !u.State.IsPresent(): // of this life, or of one that has ended
		same := u.Run == n.self.Run && u.State == n.self.State && u.Incarnation == n.self.Incarnation
		if u.Incarnation < n.self.Incarnation || same || n.hasLeft || n.isYielding() {
			return
		}
		if u.Run == n.self.Run && u.State == Suspect {
			n.adjustLocalHealth(1)
		}
		n.refute(u.Incarnation)
	case n.conflict == nil:
		n.conflict = &nameConflict{Peer: u.Peer, nextProbe: now, incarnation: u.Incarnation}
	case n.conflict.Run == u.Run:
		n.conflict.incarnation = max(n.conflict.incarnation, u.Incarnation)
	}
}

// refute takes the word about this node back, by an incarnation over the one that was heard.
func (n *Node) refute(heard uint64) {
	n.digest ^= updateDigest(&n.self)
	n.self.Incarnation = max(n.self.Incarnation, heard) + 1
	n.digest ^= updateDigest(&n.self)
	n.viewNumber++
	n.spread(n.self)
}

// tickNameConflict asks another life of this name whether it is there.
func (n *Node) tickNameConflict(now time.Duration) {
	r := n.conflict
	if r == nil || now < r.nextProbe {
		return
	}
	r.nextProbe = now + n.options.ProbeEvery
	if r.unansweredProbes >= conflictProbeAttempts { // it is gone: the name is this one's
		n.conflict = nil
		n.viewNumber++
		n.refute(r.incarnation)
		return
	}
	r.unansweredProbes++
	n.seq++
	r.seq = n.seq
	n.send(r.Addr, &Message{Kind: Ping, Seq: n.seq, Target: r.Peer})
}

// receiveConflictAck: two processes have one name. The younger says nothing any more, for as long as the elder answers; the
// elder's word must stand with the others.
func (n *Node) receiveConflictAck(now time.Duration) {
	r := n.conflict
	r.unansweredProbes = 0
	if !r.hasAnswered {
		r.hasAnswered = true
		n.viewNumber++
	}
	if r.isYielding = n.self.Run > r.Run; r.isYielding {
		return
	}
	if r.incarnation >= n.self.Incarnation {
		n.refute(r.incarnation)
	}
	n.updateConnectivity(now)
}

// NameConflict tells of another process that answers under this node's name, and whether this node gives way to it.
func (n *Node) NameConflict() (other Peer, answers, yields bool) {
	if n.conflict == nil {
		return Peer{}, false, false
	}
	return n.conflict.Peer, n.conflict.hasAnswered, n.conflict.isYielding
}

// updateConnectivity forms the opinion of how this node stands. Worse counts at once: what led to it has lasted as long as suspicion
// does. Better must last.
func (n *Node) updateConnectivity(now time.Duration) {
	is := n.currentConnectivity()
	switch {
	case is == n.connectivity:
		n.improvedSince = -1
		return
	case is < n.connectivity:
		n.connectivity, n.improvedSince = is, -1
		n.viewNumber++
		return
	case n.improvedSince < 0 || is < n.improvedTo:
		n.improvedSince, n.improvedTo = now, is
	}
	n.improvedTo = min(n.improvedTo, is)
	if now-n.improvedSince >= connectivityHoldIntervals*n.options.ProbeEvery {
		n.connectivity, n.improvedSince = n.improvedTo, -1
		n.viewNumber++
	}
}

func (n *Node) currentConnectivity() Connectivity {
	answer, of := n.countVoters()
	switch {
	case n.isYielding() || n.hasLeft || 2*answer < of:
		return CutOff
	case answer == of && len(n.failed) == 0:
		return FullyConnected
	}
	return PartlyConnected
}

// countVoters is how many of those that count answer. Without voters all known ones count, but those that left.
func (n *Node) countVoters() (answer, of int) {
	if len(n.options.Voters) == 0 {
		return len(n.present) + 1, len(n.present) + len(n.failed) + 1
	}
	for _, name := range n.options.Voters {
		of++
		if m := n.members[name]; name == n.self.Name || m != nil && m.State.IsPresent() {
			answer++
		}
	}
	return answer, of
}
