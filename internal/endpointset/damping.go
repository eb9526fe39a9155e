package endpointset

import "time"

const (
	// maxDampingDoublings bounds how often the delay of a flapping member doubles: it is at most 64 times Options.FlapDamping.
	maxDampingDoublings = 6
	// flapHistoryLifetime is how long a member's flap history counts after the member last disappeared from the list.
	flapHistoryLifetime = 10 * time.Minute
	// maxFlapHistories bounds the number of flap histories kept, in addition to one per active member.
	maxFlapHistories = 10_000
)

// flapHistory records the departures of a member: how often, and when last, it disappeared from the list.
type flapHistory struct {
	departures      int           // number of times that the member disappeared from the list
	lastDepartureAt time.Duration // instant at which the member last disappeared from the list
	dampingHasBegun bool          // the member was listed again after its last departure, and a damping delay began then
	listedAgainAt   time.Duration // instant at which the member was listed again and the damping delay began; set if dampingHasBegun
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
	history.lastDepartureAt, history.dampingHasBegun = now, false
}

// pruneFlapHistories makes room for another flap history if as many are kept as maxFlapHistories allows. It deletes the expired
// histories. If that makes no room, it deletes all others, too.
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
	if !history.dampingHasBegun {
		history.dampingHasBegun, history.listedAgainAt = true, now
	}
	doublings := min(history.departures-2, maxDampingDoublings)
	return history.listedAgainAt + s.options.FlapDamping<<doublings
}
