// Package endpointset decides which members of a pool are in force, from what a source says of them. It is pure: answers
// and instants in, a list out, no I/O, clock or goroutine.
//
// A member that an answer does not list any more leaves at once. What is slow is the other way: an empty or failed
// answer is not believed for a while, and a member that comes and goes must be listed steadily before it counts again.
package endpointset

import (
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
	Since time.Duration // instant at which it came, or moved to its address; 0: it was there when the first answer came
}

// Options of a Keeper. Zero values are legal: then answers are believed as they come.
type Options struct {
	Hold time.Duration // for which an empty or failed answer is not believed, since the last good one
	Damp time.Duration // how long a member that came back for the second time must be listed; doubled each time
}

const (
	dampMost   = 64               // longest wait, in Damps
	forgetFlap = 10 * time.Minute // of steadiness, after which a member's flaps are forgotten
	mostFlaps  = 10_000           // members remembered for their flaps, beside as many as are in force
)

// Set holds the list in force. It is not safe for concurrent use. New makes one.
type Set struct {
	o        Options
	began    bool              // a good answer has come
	heard    map[string]Member // by the last answer that was believed
	inForce  map[string]Endpoint
	flaps    map[string]*flap
	goodAt   time.Duration // last good answer
	doubted  bool          // an empty or failed answer waits to be believed
	steadyAt time.Duration // the next member withheld counts; 0: none is withheld
}

// flap is what is remembered of a member that went.
type flap struct {
	times  int
	goneAt time.Duration
	backAt time.Duration // listed again since, if withheld
	back   bool
}

// New makes a Keeper that knows of nobody.
func New(o Options) *Set {
	return &Set{o: o, heard: map[string]Member{}, inForce: map[string]Endpoint{}, flaps: map[string]*flap{}}
}

// SetOptions changes the options.
func (k *Set) SetOptions(o Options) { k.o = o }

// HandleList takes a whole answer and tells whether the list in force has changed. Of members with the same id the first counts.
func (k *Set) HandleList(now time.Duration, members []Member) (changed bool) {
	if len(members) == 0 {
		return k.HandleFailure(now)
	}
	heard := make(map[string]Member, len(members))
	for _, m := range members {
		if _, twice := heard[m.ID]; !twice {
			heard[m.ID] = m
		}
	}
	k.goodAt, k.doubted = now, false
	for id := range k.heard {
		if _, stays := heard[id]; !stays {
			k.went(now, id)
		}
	}
	k.heard = heard
	changed = k.settle(now)
	k.began = true
	return changed
}

// HandleFailure takes an empty or failed answer and tells whether the list in force has changed: it has where the time for
// which such an answer is doubted is over.
func (k *Set) HandleFailure(now time.Duration) (changed bool) {
	k.doubted = true
	if now < k.goodAt+k.o.Hold || len(k.inForce) == 0 {
		return false
	}
	clear(k.heard)
	return k.settle(now)
}

// NextChange is the next instant at which time alone may change the list; ok is false if there is none.
func (k *Set) NextChange() (at time.Duration, ok bool) {
	if k.steadyAt > 0 {
		at, ok = k.steadyAt, true
	}
	if end := k.goodAt + k.o.Hold; k.doubted && len(k.inForce) > 0 && (!ok || end < at) {
		at, ok = end, true
	}
	return at, ok
}

// Tick takes note of the time and tells whether the list in force has changed.
func (k *Set) Tick(now time.Duration) (changed bool) {
	if k.doubted && k.HandleFailure(now) {
		return true
	}
	return k.settle(now)
}

// Endpoints is the list in force, in order of ids.
func (k *Set) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(k.inForce))
	for _, l := range k.inForce {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

// went notes that a member is not listed any more.
func (k *Set) went(now time.Duration, id string) {
	f := k.flaps[id]
	if f == nil || now-f.goneAt > forgetFlap {
		k.forget(now)
		f = &flap{}
		k.flaps[id] = f
	}
	f.times++
	f.goneAt, f.back = now, false
}

// forget keeps the memory of flaps bounded: old ones go, and all where too many are young.
func (k *Set) forget(now time.Duration) {
	if len(k.flaps) < mostFlaps+len(k.inForce) {
		return
	}
	for id, f := range k.flaps {
		if now-f.goneAt > forgetFlap {
			delete(k.flaps, id)
		}
	}
	if len(k.flaps) >= mostFlaps+len(k.inForce) {
		clear(k.flaps)
	}
}

// steady is the instant from which a member that is listed counts. One that went once comes back at once: an ordinary
// restart is no flapping.
func (k *Set) steady(now time.Duration, id string) time.Duration {
	f := k.flaps[id]
	if f == nil || f.times < 2 || now-f.goneAt > forgetFlap {
		return now
	}
	if !f.back {
		f.back, f.backAt = true, now
	}
	wait := dampMost * k.o.Damp
	if n := f.times - 2; n < 6 { // 2^6 is dampMost
		wait = k.o.Damp << n
	}
	return f.backAt + wait
}

// settle brings the list in force to what was heard, less those withheld, and tells whether that changed it. Those
// withheld count all the same where nobody else would be left to serve.
func (k *Set) settle(now time.Duration) (changed bool) {
	for id := range k.inForce {
		if _, listed := k.heard[id]; !listed {
			delete(k.inForce, id)
			changed = true
		}
	}
	k.steadyAt = 0
	var withheld []Member
	serving := false
	for id, m := range k.heard {
		was, there := k.inForce[id]
		if !there {
			if at := k.steady(now, id); at > now {
				withheld = append(withheld, m)
				if k.steadyAt == 0 || at < k.steadyAt {
					k.steadyAt = at
				}
				continue
			}
		}
		serving = serving || !m.Draining
		changed = k.admit(now, was, there, m) || changed
	}
	if !serving && len(withheld) > 0 {
		for _, m := range withheld {
			k.admit(now, Endpoint{}, false, m)
		}
		k.steadyAt, changed = 0, true
	}
	return changed
}

// admit puts a member in force as it is listed now. One at a new address is another machine, or one started anew.
func (k *Set) admit(now time.Duration, was Endpoint, there bool, m Member) (changed bool) {
	if there && was.Member == m {
		return false
	}
	l := Endpoint{Member: m, Since: was.Since}
	if k.began && (!there || was.Addr != m.Addr) {
		l.Since = now
	}
	k.inForce[m.ID] = l
	return true
}
