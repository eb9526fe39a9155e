package swim

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxSuspicionMultiplier is the ratio of the maximum to the minimum suspicion timeout. The maximum applies while no
	// other member has confirmed the suspicion.
	maxSuspicionMultiplier = 3

	// confirmationsForMinTimeout is the number of confirmations by other members that shrink the suspicion timeout to its
	// minimum.
	confirmationsForMinTimeout = 3

	// expectedVerifiers is the mean number of members that probe a suspect immediately after they learn of the suspicion.
	expectedVerifiers = 6
)

// suspicion is the pending suspicion of a member. The timeout before the suspect is declared failed is long while only one node
// suspects it, and shrinks with each further node that confirms the suspicion (Lifeguard, section IV-B).
type suspicion struct {
	start                  time.Duration // instant from which the suspicion timeout counts; detectPause moves it later by the length of each pause of this process
	minTimeout, maxTimeout time.Duration // suspicion timeout with all needed confirmations (minTimeout) and without any (maxTimeout)
	neededConfirmations    int           // number of confirmations that shrink the timeout to minTimeout
	suspectors             []string      // names of the nodes that suspect the member; at most 1+neededConfirmations
}

// confirm records that the node named suspector also suspects the member, and reports whether the suspicion timeout shrinks.
func (s *suspicion) confirm(suspector string) bool {
	if len(s.suspectors) > s.neededConfirmations || slices.Contains(s.suspectors, suspector) {
		return false
	}
	s.suspectors = append(s.suspectors, suspector)
	return true
}

// deadline returns the instant at which the suspect is declared failed.
func (s *suspicion) deadline() time.Duration {
	if s.neededConfirmations == 0 {
		return s.start + s.minTimeout
	}
	shrinkFraction := math.Log(float64(len(s.suspectors))) / math.Log(float64(s.neededConfirmations+1))
	shrunkTimeout := s.maxTimeout - time.Duration(shrinkFraction*float64(s.maxTimeout-s.minTimeout))
	return s.start + max(s.minTimeout, shrunkTimeout)
}

// startSuspicion changes the state of the member m to suspect and starts the suspicion timeout. It does nothing if m has failed or
// left, or is already suspect in the same incarnation.
func (n *Node) startSuspicion(now time.Duration, m *member, u Update) {
	if !m.State.IsPresent() || m.State == Suspect && m.Incarnation == u.Incarnation {
		return
	}
	n.changeState(now, m, u)
	minTimeout := time.Duration(float64(n.options.SuspicionTimeout) * n.suspicionScale())
	s := &suspicion{
		start:               now,
		minTimeout:          minTimeout,
		maxTimeout:          maxSuspicionMultiplier * minTimeout,
		neededConfirmations: min(confirmationsForMinTimeout, max(len(n.present)-2, 0)),
		suspectors:          []string{u.SuspectedBy},
	}
	if n.options.DisableSuspicionShrink {
		s.maxTimeout = minTimeout
	}
	m.suspicion = s
	n.suspects[m.Name] = m
	n.verifySuspicion(now, m)
	n.nextSuspicionEnd = min(n.nextSuspicionEnd, s.deadline())
}

// verifySuspicion decides at random whether this node immediately probes m, which another member suspects. Without such
// probes, only about one member of a large cluster would probe the suspect in each ProbeInterval, and the suspicion would
// be confirmed too slowly.
func (n *Node) verifySuspicion(now time.Duration, m *member) {
	if n.options.DisableSuspicionShrink || m.SuspectedBy == n.self.Name || len(n.urgentTargets) >= maxHealthScore {
		return
	}
	if n.rng.Float64()*float64(len(n.present)) < expectedVerifiers {
		n.urgentTargets = append(n.urgentTargets, m)
		n.nextProbe = now
	}
}

// confirmSuspicion records in the pending suspicion of m that the node u.SuspectedBy also suspects m. It gossips the update u
// if that shrinks the suspicion timeout.
func (n *Node) confirmSuspicion(m *member, u Update) {
	if m.suspicion.confirm(u.SuspectedBy) {
		n.nextSuspicionEnd = min(n.nextSuspicionEnd, m.suspicion.deadline())
		n.broadcasts.enqueue(u)
	}
}

// expireSuspicions declares each suspect failed whose suspicion timeout has passed without a refutation.
func (n *Node) expireSuspicions(now time.Duration) {
	if now < n.nextSuspicionEnd {
		return
	}
	n.nextSuspicionEnd = noDeadline
	for _, name := range slices.Sorted(maps.Keys(n.suspects)) { // sorted, so that the same seed gives the same order of messages
		m := n.suspects[name]
		if deadline := m.suspicion.deadline(); now < deadline {
			n.nextSuspicionEnd = min(n.nextSuspicionEnd, deadline)
			continue
		}
		u := m.Update
		u.State, u.SuspectedBy = Failed, ""
		n.changeState(now, m, u)
	}
}

// suspicionScale returns the factor by which the suspicion timeout grows with the size of the cluster: the decimal logarithm of
// the number of alive and suspect members, but at least 1.
func (n *Node) suspicionScale() float64 { return max(1, math.Log10(float64(len(n.present)+1))) }
