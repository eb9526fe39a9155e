package swim

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxSuspicionMultiplier is the maximum suspicion timeout, which holds without confirmations, in minimum ones.
	maxSuspicionMultiplier = 3

	// confirmationsForMinTimeout is the number of confirmations by other members that shrink the timeout to its minimum.
	confirmationsForMinTimeout = 3

	// expectedVerifiers is the mean number of members that at once probe a suspect of another member.
	expectedVerifiers = 6
)

// suspicion is the time that a suspect has to refute: long while one member alone suspects it, shorter with each member
// that confirms (Lifeguard, section IV-B).
type suspicion struct {
	start                  time.Duration
	minTimeout, maxTimeout time.Duration
	neededConfirmations    int      // the number that brings the timeout to minTimeout
	suspectors             []string // names of those who suspect; 1+expectedConfirmations at most
}

// confirm adds a member that suspects, and reports whether that shrinks the timeout.
func (s *suspicion) confirm(by string) bool {
	if len(s.suspectors) > s.neededConfirmations || slices.Contains(s.suspectors, by) {
		return false
	}
	s.suspectors = append(s.suspectors, by)
	return true
}

// deadline returns the instant at which the suspect has failed.
func (s *suspicion) deadline() time.Duration {
	if s.neededConfirmations == 0 {
		return s.start + s.minTimeout
	}
	fraction := math.Log(float64(len(s.suspectors))) / math.Log(float64(s.neededConfirmations+1))
	shrunk := s.maxTimeout - time.Duration(fraction*float64(s.maxTimeout-s.minTimeout))
	return s.start + max(s.minTimeout, shrunk)
}

// startSuspicion makes a present member suspect.
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
		suspectors:          []string{u.By},
	}
	if n.options.DisableSuspicionShrink {
		s.maxTimeout = minTimeout
	}
	m.suspicion = s
	n.suspects[m.Name] = m
	n.verifySuspicion(now, m)
	n.nextSuspicionEnd = min(n.nextSuspicionEnd, s.deadline())
}

// verifySuspicion decides at random whether this node probes a suspect of another member at once. A member of a large
// cluster is otherwise probed by about one other in a ProbeInterval, and the confirmations would take as many of these as
// are needed.
func (n *Node) verifySuspicion(now time.Duration, m *member) {
	if n.options.DisableSuspicionShrink || m.By == n.self.Name || len(n.urgentTargets) >= maxHealthScore {
		return
	}
	if n.rng.Float64()*float64(len(n.present)) < expectedVerifiers {
		n.urgentTargets = append(n.urgentTargets, m)
		n.nextProbe = now
	}
}

// confirmSuspicion counts another member's suspicion of a suspect, and gossips it where it shrinks the timeout.
func (n *Node) confirmSuspicion(m *member, u Update) {
	if m.suspicion.confirm(u.By) {
		n.nextSuspicionEnd = min(n.nextSuspicionEnd, m.suspicion.deadline())
		n.broadcasts.enqueue(u)
	}
}

// expireSuspicions fails the suspects that did not refute in time.
func (n *Node) expireSuspicions(now time.Duration) {
	if now < n.nextSuspicionEnd {
		return
	}
	n.nextSuspicionEnd = noDeadline
	for _, name := range slices.Sorted(maps.Keys(n.suspects)) { // sorted, so that a seed determines the run
		m := n.suspects[name]
		if deadline := m.suspicion.deadline(); now < deadline {
			n.nextSuspicionEnd = min(n.nextSuspicionEnd, deadline)
			continue
		}
		u := m.Update
		u.State, u.By = Failed, ""
		n.changeState(now, m, u)
	}
}

// suspicionScale returns the factor by which the size of the cluster stretches suspicion: its decimal logarithm, 1 at
// least.
func (n *Node) suspicionScale() float64 { return max(1, math.Log10(float64(len(n.present)+1))) }
