package endpointset

import "time"

const (
	// maxDampingDoublings bounds how often the delay of a flapping member doubles: it is at most 64 times Options.FlapDamping.
	maxDampingDoublings = 6
	// flapHistoryLifetime is how long a member's departures are remembered after the last one.
	flapHistoryLifetime = 10 * time.Minute
	// maxFlapHistories bounds the number of flap histories kept, in addition to one per active member.
	maxFlapHistories = 10_000
)

// flapHistory records the departures of a member: how often, and when last, it disappeared from the list.
type flapHistory struct {
	departures      int           // number of times that the member disappeared from the list
	lastDepartureAt time.Duration // instant at which the member last disappeared from the list
	isListedAgain   bool          // the member has been listed since its last departure, and its activation was delayed
	listedAgainAt   time.Duration // instant at which the damped member was listed again; set if isListedAgain
}

// recordDeparture records that a member has disappeared from the list at the instant now.
func (s *Set) recordDeparture(now time.Duration, id string) {
	history := s.flapHistories[id]
	if history == nil || now-history.lastDepartureAt > flapHistoryLifetime {
		s.pruneFlapHistories(now)
		history = &flapHistory{}
		s.flapHistories[id] = history
	}
	history.departures++
	history.lastDepartureAt, history.isListedAgain = now, false
}

// pruneFlapHistories makes room for another flap history if the limit is reached: it deletes expired ones, or all of them if
// too many have not expired.
func (s *Set) pruneFlapHistories(now time.Duration) {
	if len(s.flapHistories) < maxFlapHistories+len(s.active) {
		return
	}
	for id, history := range s.flapHistories {
		if now-history.lastDepartureAt > flapHistoryLifetime {
			delete(s.flapHistories, id)
		}
	}
	if len(s.flapHistories) >= maxFlapHistories+len(s.active) {
		clear(s.flapHistories)
	}
}

// activationTime returns the instant from which a listed member may be active, and records that a damped member is listed again.
// A member that departed only once is not damped: an ordinary restart is not flapping.
func (s *Set) activationTime(now time.Duration, id string) time.Duration {
	history := s.flapHistories[id]
	if history == nil || history.departures < 2 || now-history.lastDepartureAt > flapHistoryLifetime {
		return now
	}
	if !history.isListedAgain {
		history.isListedAgain, history.listedAgainAt = true, now
	}
	doublings := min(history.departures-2, maxDampingDoublings)
	return history.listedAgainAt + s.options.FlapDamping<<doublings
}
