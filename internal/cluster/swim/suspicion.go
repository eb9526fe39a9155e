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
	began       time.Duration
	least, most time.Duration
	expected    int      // others whose word brings it down to least
	by          []string // who suspects; 1+expected at most
}

// confirm counts another who suspects, and tells whether that is news.
func (s *suspicion) confirm(by string) bool {
	if len(s.by) > s.expected || slices.Contains(s.by, by) {
		return false
	}
	s.by = append(s.by, by)
	return true
}

// ends is the instant at which the member is held for failed.
func (s *suspicion) ends() time.Duration {
	if s.expected == 0 {
		return s.began + s.least
	}
	share := math.Log(float64(len(s.by))) / math.Log(float64(s.expected+1))
	return s.began + max(s.least, s.most-time.Duration(share*float64(s.most-s.least)))
}

func (n *Node) tickSuspects(now time.Duration) {
	if now < n.nextSuspect {
		return
	}
	n.nextSuspect = never
	for _, name := range slices.Sorted(maps.Keys(n.suspects)) { // in order, so that a seed gives the same play
		m := n.suspects[name]
		if ends := m.suspicion.ends(); now < ends {
			n.nextSuspect = min(n.nextSuspect, ends)
			continue
		}
		u := m.Update
		u.State, u.By = Failed, ""
		n.become(now, m, u)
	}
}

// rival is another life of this node's name: dead, or an elder to give way to, or a younger that will.
type rival struct {
	Peer
	seq         uint64
	tries       int
	next        time.Duration // instant of the next question
	incarnation uint64        // the highest that was heard
	answered    bool
	yield       bool // it is the elder, and answers: this node says nothing
}

// ofSelf takes up what others say of this node. It is the only one that may raise its incarnation.
func (n *Node) ofSelf(now time.Duration, u Update) {
	if n.silent() && u.Run == n.rival.Run {
		n.rival.incarnation = max(n.rival.incarnation, u.Incarnation)
		if u.State == Left { // it said goodbye: the name is this one's
			n.rival.tries, n.rival.next = rivalTries, now
		}
		return
	}
	switch {
	case u.Run == n.self.Run || u.Addr == n.self.Addr || !u.State.IsPresent(): // of this life, or of one that has ended
		same := u.Run == n.self.Run && u.State == n.self.State && u.Incarnation == n.self.Incarnation
		if u.Incarnation < n.self.Incarnation || same || n.gone || n.silent() {
			return
		}
		if u.Run == n.self.Run && u.State == Suspect {
			n.unwell(1)
		}
		n.refute(u.Incarnation)
	case n.rival == nil:
		n.rival = &rival{Peer: u.Peer, next: now, incarnation: u.Incarnation}
	case n.rival.Run == u.Run:
		n.rival.incarnation = max(n.rival.incarnation, u.Incarnation)
	}
}

// refute takes the word about this node back, by an incarnation over the one that was heard.
func (n *Node) refute(heard uint64) {
	n.digest ^= hash(&n.self)
	n.self.Incarnation = max(n.self.Incarnation, heard) + 1
	n.digest ^= hash(&n.self)
	n.number++
	n.tell(n.self)
}

// tickRival asks another life of this name whether it is there.
func (n *Node) tickRival(now time.Duration) {
	r := n.rival
	if r == nil || now < r.next {
		return
	}
	r.next = now + n.o.ProbeEvery
	if r.tries >= rivalTries { // it is gone: the name is this one's
		n.rival = nil
		n.number++
		n.refute(r.incarnation)
		return
	}
	r.tries++
	n.seq++
	r.seq = n.seq
	n.send(r.Addr, &Message{Kind: Ping, Seq: n.seq, Target: r.Peer})
}

// rivalAnswers: two processes have one name. The younger says nothing any more, for as long as the elder answers; the
// elder's word must stand with the others.
func (n *Node) rivalAnswers(now time.Duration) {
	r := n.rival
	r.tries = 0
	if !r.answered {
		r.answered = true
		n.number++
	}
	if r.yield = n.self.Run > r.Run; r.yield {
		return
	}
	if r.incarnation >= n.self.Incarnation {
		n.refute(r.incarnation)
	}
	n.stand(now)
}

// NameConflict tells of another process that answers under this node's name, and whether this node gives way to it.
func (n *Node) NameConflict() (other Peer, answers, yields bool) {
	if n.rival == nil {
		return Peer{}, false, false
	}
	return n.rival.Peer, n.rival.answered, n.rival.yield
}

// stand forms the opinion of how this node stands. Worse counts at once: what led to it has lasted as long as suspicion
// does. Better must last.
func (n *Node) stand(now time.Duration) {
	is := n.standingNow()
	switch {
	case is == n.standing:
		n.better = -1
		return
	case is < n.standing:
		n.standing, n.better = is, -1
		n.number++
		return
	case n.better < 0 || is < n.betterIs:
		n.better, n.betterIs = now, is
	}
	n.betterIs = min(n.betterIs, is)
	if now-n.better >= standingHold*n.o.ProbeEvery {
		n.standing, n.better = n.betterIs, -1
		n.number++
	}
}

func (n *Node) standingNow() Connectivity {
	answer, of := n.voters()
	switch {
	case n.silent() || n.gone || 2*answer < of:
		return CutOff
	case answer == of && len(n.away) == 0:
		return FullyConnected
	}
	return PartlyConnected
}

// voters is how many of those that count answer. Without voters all known ones count, but those that left.
func (n *Node) voters() (answer, of int) {
	if len(n.o.Voters) == 0 {
		return len(n.round) + 1, len(n.round) + len(n.away) + 1
	}
	for _, name := range n.o.Voters {
		of++
		if m := n.members[name]; name == n.self.Name || m != nil && m.State.IsPresent() {
			answer++
		}
	}
	return answer, of
}
