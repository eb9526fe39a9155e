package endpointset

import "time"

const (
	// maxDampDoublings bounds the delay of a member that flaps: 64 times Options.Damp at most.
	maxDampDoublings = 6
	// flapMemory is how long after its last departure the flaps of a member are forgotten.
	flapMemory = 10 * time.Minute
	// maxRememberedFlaps bounds the members remembered for their flaps, in addition to as many as are in force.
	maxRememberedFlaps = 10_000
)

// flapHistory is what is remembered of a member that has departed.
type flapHistory struct {
	departures  int
	departedAt  time.Duration // last
	hasReturned bool          // it is listed again, and was withheld
	returnedAt  time.Duration // if hasReturned
}

// recordDeparture notes that a member is no longer listed.
func (s *Set) recordDeparture(now time.Duration, id string) {
	history := s.flaps[id]
	if history == nil || now-history.departedAt > flapMemory {
		s.boundFlaps(now)
		history = &flapHistory{}
		s.flaps[id] = history
	}
	history.departures++
	history.departedAt, history.hasReturned = now, false
}

// boundFlaps keeps the memory for flaps bounded: it forgets old ones, and all of them where too many are recent.
func (s *Set) boundFlaps(now time.Duration) {
	if len(s.flaps) < maxRememberedFlaps+len(s.inForce) {
		return
	}
	for id, history := range s.flaps {
		if now-history.departedAt > flapMemory {
			delete(s.flaps, id)
		}
	}
	if len(s.flaps) >= maxRememberedFlaps+len(s.inForce) {
		clear(s.flaps)
	}
}

// admissionAt returns the instant from which a member that is listed may be in force, and notes its return. A member that departed
// once is admitted at once: an ordinary restart is no flapping.
func (s *Set) admissionAt(now time.Duration, id string) time.Duration {
	history := s.flaps[id]
	if history == nil || history.departures < 2 || now-history.departedAt > flapMemory {
		return now
	}
	if !history.hasReturned {
		history.hasReturned, history.returnedAt = true, now
	}
	doublings := min(history.departures-2, maxDampDoublings)
	return history.returnedAt + s.options.Damp<<doublings
}
