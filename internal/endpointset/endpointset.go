// Package endpointset keeps the set of a pool's endpoints in force, from the lists that a discovery source returns. It is pure: lists
// and instants go in, the endpoints in force come out, and there is no I/O, clock or goroutine. A Set is owned by its caller.
//
// A member that a list no longer has leaves at once. The other direction is slow: an empty or failed response takes effect only after
// Options.Hold (the set is held meanwhile), and a member that flaps must be listed steadily before it is admitted again (flap
// damping, see Options.Damp). While a member is listed as ready, one that is ready is in force.
package endpointset

import (
	"cmp"
	"slices"
	"time"
)

// Member is an endpoint as a source lists it.
type Member struct {
	ID, Addr, Zone, Kind string
	Cell                 int
	Draining             bool
}

// Endpoint is a member in force.
type Endpoint struct {
	Member
	// Since is the instant at which the member came, or moved to its address; 0: it was in the first list.
	Since time.Duration
}

// Options of a Set. With zero values every response takes effect at once.
type Options struct {
	Hold time.Duration // after the last list with members, an empty or failed response is not believed for this long
	Damp time.Duration // a member that returns for the second time must be listed for this long; doubled each further time
}

// Set holds the endpoints in force. It is not safe for concurrent use. Instants are durations since an epoch of the caller's choice,
// and must not decrease from call to call.
type Set struct {
	options         Options
	hasList         bool                // a list with members has been handled
	listed          map[string]Member   // by id, in the last list that was believed
	inForce         map[string]Endpoint // by id
	flaps           map[string]*flapHistory
	lastGoodListAt  time.Duration // of the last list with members
	isHolding       bool          // an empty or failed response came since
	nextAdmissionAt time.Duration // of a member that is withheld; 0: none is
}

// New makes an empty Set.
func New(o Options) *Set {
	return &Set{options: o, listed: map[string]Member{}, inForce: map[string]Endpoint{}, flaps: map[string]*flapHistory{}}
}

// SetOptions changes the options for the calls that follow.
func (s *Set) SetOptions(o Options) { s.options = o }

// HandleList takes a complete list, and reports whether the endpoints in force have changed. Of members with the same id the first
// counts. An empty list is handled as a failure.
func (s *Set) HandleList(now time.Duration, members []Member) (changed bool) {
	if len(members) == 0 {
		return s.HandleFailure(now)
	}
	listed := make(map[string]Member, len(members))
	for _, m := range members {
		if _, isDuplicate := listed[m.ID]; !isDuplicate {
			listed[m.ID] = m
		}
	}
	s.lastGoodListAt, s.isHolding = now, false
	for id := range s.listed {
		if _, isListed := listed[id]; !isListed {
			s.recordDeparture(now, id)
		}
	}
	s.listed = listed
	changed = s.refresh(now)
	s.hasList = true
	return changed
}

// HandleFailure takes an empty or failed response, and reports whether the endpoints in force have changed: once Options.Hold is over
// none is left.
func (s *Set) HandleFailure(now time.Duration) (changed bool) {
	s.isHolding = true
	if now < s.lastGoodListAt+s.options.Hold || len(s.inForce) == 0 {
		return false
	}
	clear(s.listed)
	return s.refresh(now)
}

// NextChange returns the next instant at which time alone may change the endpoints in force; ok is false if there is none. The caller
// then calls Tick.
func (s *Set) NextChange() (at time.Duration, ok bool) {
	if s.nextAdmissionAt > 0 {
		at, ok = s.nextAdmissionAt, true
	}
	if holdEnd := s.lastGoodListAt + s.options.Hold; s.isHolding && len(s.inForce) > 0 && (!ok || holdEnd < at) {
		at, ok = holdEnd, true
	}
	return at, ok
}

// Tick applies what is due at now, and reports whether the endpoints in force have changed.
func (s *Set) Tick(now time.Duration) (changed bool) {
	if s.isHolding && s.HandleFailure(now) {
		return true
	}
	return s.refresh(now)
}

// Endpoints returns a copy of the endpoints in force, in order of their ids.
func (s *Set) Endpoints() []Endpoint {
	endpoints := make([]Endpoint, 0, len(s.inForce))
	for _, e := range s.inForce {
		endpoints = append(endpoints, e)
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return endpoints
}

// refresh brings the endpoints in force to the members listed, without those withheld, and reports whether that changed them. The
// members withheld are admitted all the same where no ready member would be left.
func (s *Set) refresh(now time.Duration) (changed bool) {
	for id := range s.inForce {
		if _, isListed := s.listed[id]; !isListed {
			delete(s.inForce, id)
			changed = true
		}
	}
	s.nextAdmissionAt = 0
	var withheld []Member
	hasReady := false
	for id, m := range s.listed {
		if _, isInForce := s.inForce[id]; !isInForce {
			if at := s.admissionAt(now, id); at > now {
				withheld = append(withheld, m)
				if s.nextAdmissionAt == 0 || at < s.nextAdmissionAt {
					s.nextAdmissionAt = at
				}
				continue
			}
		}
		hasReady = hasReady || !m.Draining
		changed = s.admit(now, m) || changed
	}
	if !hasReady && len(withheld) > 0 {
		for _, m := range withheld {
			s.admit(now, m)
		}
		s.nextAdmissionAt, changed = 0, true
	}
	return changed
}

// admit puts a member in force as it is listed now, and reports whether that is a change. A member at a new address is another
// machine, or a process that was started anew: its Since begins again.
func (s *Set) admit(now time.Duration, m Member) (changed bool) {
	before, wasInForce := s.inForce[m.ID]
	if wasInForce && before.Member == m {
		return false
	}
	e := Endpoint{Member: m, Since: before.Since}
	if s.hasList && (!wasInForce || before.Addr != m.Addr) {
		e.Since = now
	}
	s.inForce[m.ID] = e
	return true
}
