// Package endpointset computes the active endpoints of a pool from the lists that a discovery source returns. It has no I/O, clock
// or goroutines: the caller passes in lists and instants, and owns the Set.
//
// A member that is missing from a new list is removed at once. Other changes are delayed: an empty or failed response takes effect
// only Options.HoldLastGood after the last list with members, and a member that flaps must stay listed for a while before it is
// active again (flap damping, see Options.FlapDamping). As long as any member is listed as ready, at least one ready member is active.
package endpointset

import (
	"cmp"
	"slices"
	"time"
)

// Member is an endpoint as a source lists it.
type Member struct {
	ID       string
	Addr     string // host:port at which the endpoint takes requests
	Zone     string
	Kind     string // name of the endpoint's kind; endpoints of the same kind have the same size and speed
	Cell     int    // number of the endpoint's cell; endpoints of the same cell share the idempotency keys that they have seen
	Draining bool   // the member must get no new requests
}

// Endpoint is an active member: one that the pool's balancer uses, until a list removes it or the last good list expires.
type Endpoint struct {
	Member
	// ActiveSince is the instant at which the member became active or changed its address; 0 if it has been unchanged since the
	// first list.
	ActiveSince time.Duration
}

// Options are the delays after which a Set applies changes. With zero values every response of the source takes effect at once.
type Options struct {
	HoldLastGood time.Duration // how long the last list with members is kept while responses are empty or failed
	FlapDamping  time.Duration // how long a member that is listed again after its second departure must stay listed before it is active; doubles with each further departure
}

// Set holds the active endpoints of a pool. It is not safe for concurrent use. Instants are durations since an epoch that the caller
// chooses, and must not decrease from call to call.
type Set struct {
	options          Options
	hasList          bool                    // a list with members has been handled
	listed           map[string]Member       // members of the last list that had any, by ID; empty once that list has expired
	active           map[string]Endpoint     // active endpoints, by ID
	flapHistories    map[string]*flapHistory // departures of members, by ID
	lastGoodListAt   time.Duration           // instant of the last list with members
	holdsLastGood    bool                    // an empty or failed response has followed the last list with members
	nextActivationAt time.Duration           // earliest instant at which a damped member becomes active; 0 if no member is damped
}

// New returns a Set without endpoints. HandleList adds them.
func New(o Options) *Set {
	return &Set{options: o, listed: map[string]Member{}, active: map[string]Endpoint{}, flapHistories: map[string]*flapHistory{}}
}

// SetOptions replaces the options. The active endpoints change only with the next call of another method.
func (s *Set) SetOptions(o Options) { s.options = o }

// HandleList applies a complete list, and reports whether the active endpoints have changed. Of several members with the same ID the
// first one counts. An empty list is handled as a failure.
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
	s.lastGoodListAt, s.holdsLastGood = now, false
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

// HandleFailure applies an empty or failed response, and reports whether the active endpoints have changed. It removes all endpoints
// once Options.HoldLastGood has passed since the last list with members.
func (s *Set) HandleFailure(now time.Duration) (changed bool) {
	s.holdsLastGood = true
	if now < s.lastGoodListAt+s.options.HoldLastGood || len(s.active) == 0 {
		return false
	}
	clear(s.listed)
	return s.refresh(now)
}

// NextChange returns the next instant at which the active endpoints may change without a further response. The caller must call Tick at
// that instant. ok is false if no change is due.
func (s *Set) NextChange() (at time.Duration, ok bool) {
	if s.nextActivationAt > 0 {
		at, ok = s.nextActivationAt, true
	}
	if holdEnd := s.lastGoodListAt + s.options.HoldLastGood; s.holdsLastGood && len(s.active) > 0 && (!ok || holdEnd < at) {
		at, ok = holdEnd, true
	}
	return at, ok
}

// Tick applies the changes that are due at the instant now without a further response: damped members become active, or the last good
// list expires. It reports whether the active endpoints have changed.
func (s *Set) Tick(now time.Duration) (changed bool) {
	if s.holdsLastGood && s.HandleFailure(now) {
		return true
	}
	return s.refresh(now)
}

// Endpoints returns a copy of the active endpoints, sorted by ID.
func (s *Set) Endpoints() []Endpoint {
	endpoints := make([]Endpoint, 0, len(s.active))
	for _, e := range s.active {
		endpoints = append(endpoints, e)
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return endpoints
}

// refresh makes the listed members active, except for damped ones, and reports whether the active endpoints have changed. If no other
// listed member is ready, damped members become active, too.
func (s *Set) refresh(now time.Duration) (changed bool) {
	for id := range s.active {
		if _, isListed := s.listed[id]; !isListed {
			delete(s.active, id)
			changed = true
		}
	}
	s.nextActivationAt = 0
	var damped []Member
	hasReady := false
	for id, m := range s.listed {
		if _, isActive := s.active[id]; !isActive {
			if at := s.activationTime(now, id); at > now {
				damped = append(damped, m)
				if s.nextActivationAt == 0 || at < s.nextActivationAt {
					s.nextActivationAt = at
				}
				continue
			}
		}
		hasReady = hasReady || !m.Draining
		changed = s.activate(now, m) || changed
	}
	if !hasReady && len(damped) > 0 {
		for _, m := range damped {
			s.activate(now, m)
		}
		s.nextActivationAt, changed = 0, true
	}
	return changed
}

// activate adds a member to the active endpoints, or updates it there, and reports whether that is a change. A member at a new address
// is a different machine or process, so its ActiveSince starts anew.
func (s *Set) activate(now time.Duration, m Member) (changed bool) {
	previous, wasActive := s.active[m.ID]
	if wasActive && previous.Member == m {
		return false
	}
	e := Endpoint{Member: m, ActiveSince: previous.ActiveSince}
	if s.hasList && (!wasActive || previous.Addr != m.Addr) {
		e.ActiveSince = now
	}
	s.active[m.ID] = e
	return true
}
