package fleetsim

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/invariant"
)

// sidecar is one balancer and what carries its decisions out, in virtual time.
type sidecar struct {
	w           *world
	name        string
	tier, index int
	up          bool
	life        int
	b           balance.Events
	known       balance.EndpointUpdate // as last told
	view        map[string]*endpoint
	calls       map[string]*call
	idle        map[string][]time.Duration // connections to an endpoint that stand idle, and since when
	later       []func()
	cutOff      bool // from the endpoints of one zone
	cutZone     int
}

// call is a request that was taken.
type call struct {
	id       string
	class    int
	key      string
	deadline time.Duration
	over     bool
	errored  bool // the latest attempt ended by an endpoint's own error
	end      func(status int)
	attempts []*attempt
}

// attempt is one Send.
type attempt struct {
	call   *call
	n      int
	e      *endpoint
	life   int // of the sidecar
	sentAt time.Duration
	out    bool
	came   bool
}

func (w *world) newSidecar(name string, tier, index int) *sidecar {
	s := &sidecar{w: w, name: name, tier: tier, index: index}
	w.sidecars = append(w.sidecars, s)
	return s
}

// start begins a life with a list; an empty one is filled with what discovery knows.
func (s *sidecar) start(known balance.EndpointUpdate) {
	w := s.w
	s.up, s.calls, s.idle, s.view = true, map[string]*call{}, map[string][]time.Duration{}, map[string]*endpoint{}
	w.note(invariant.Event{Kind: invariant.SidecarStarted, Sidecar: s.name})
	settings := balance.Settings{Seed: w.rng.Uint64() | 1, Balancers: w.callers(s.tier), Index: s.index, Tier: s.tier, TiersBelow: len(tiers) - 1 - s.tier,
		MaxAttempts: maxAttempts, MaxRetryAfter: time.Second, TimerResolution: time.Millisecond, SlowStartCapacity: w.day.Cold.From, SlowStartDuration: w.day.Cold.For}
	for _, c := range classes {
		m := balance.Class{Name: c.name, LatencyObjective: c.aim}
		if c.keyed {
			m.Idempotency, m.DedupScope, m.DedupWindow = balance.IdempotencyKey, balance.ScopeCell, keyWindow
		}
		settings.Classes = append(settings.Classes, m)
	}
	s.b = w.decide(w.now, settings, s)
	if len(known.Endpoints) == 0 {
		known = w.list(s.tier)
	}
	s.tell(known)
}

// list is what discovery knows of a tier.
func (w *world) list(tier int) balance.EndpointUpdate {
	l := balance.EndpointUpdate{Complete: true}
	for _, e := range w.tiers[tier] {
		if !e.gone {
			l.Endpoints = append(l.Endpoints, e.entry())
		}
	}
	return l
}

func (e *endpoint) entry() balance.Endpoint {
	return balance.Endpoint{ID: e.id, State: e.listed, Zone: fmt.Sprint("z", e.zone), Kind: e.kind, Cell: e.cell, Started: e.startedAt}
}

// tell gives a list to the module.
func (s *sidecar) tell(l balance.EndpointUpdate) {
	s.w.result.Lists++
	for _, in := range l.Endpoints {
		for _, e := range s.w.tiers[s.tier] {
			if e.id == in.ID {
				s.view[in.ID] = e
			}
		}
		n := invariant.Event{Kind: invariant.NodeStateNotified, Sidecar: s.name, Node: in.ID, State: invariant.State(in.State), StartedAt: in.Started - epoch}
		s.w.note(n)
	}
	if l.Complete {
		s.known = l
	} else {
		s.known = s.w.list(s.tier)
	}
	s.b.EndpointList(s.w.now, l)
	s.after()
}

// after does what arose within the module's calls.
func (s *sidecar) after() {
	for len(s.later) > 0 {
		next := s.later[0]
		s.later = s.later[1:]
		next()
	}
}

// kill ends the process. What it held goes under.
func (s *sidecar) kill() {
	if !s.up {
		return
	}
	s.up = false
	s.life++
	s.w.note(invariant.Event{Kind: invariant.SidecarKilled, Sidecar: s.name})
	for _, c := range s.inOrder() {
		if !c.over {
			c.over = true
			s.w.note(invariant.Event{Kind: invariant.ConnectionLost, Request: c.id})
			s.w.in(wire, func() { c.end(0) })
		}
	}
	for _, e := range s.w.tiers[s.tier] {
		e.open -= len(s.idle[e.id])
	}
	s.calls, s.idle = map[string]*call{}, map[string][]time.Duration{}
	s.w.note(invariant.Event{Kind: invariant.SidecarExited, Sidecar: s.name})
}

// inOrder are the calls in a fixed order.
func (s *sidecar) inOrder() []*call {
	out := make([]*call, 0, len(s.calls))
	for _, c := range s.calls {
		out = append(out, c)
	}
	sortCalls(out)
	return out
}

// take takes a request. end is told its status, once: 200, 503, 502, or 0 where the sidecar has died.
func (s *sidecar) take(class int, key string, deadline time.Duration, end func(status int)) {
	w := s.w
	w.calls++
	c := &call{id: fmt.Sprint("r", w.calls), class: class, key: key, deadline: deadline, end: end}
	if !classes[class].keyed {
		c.key = ""
	}
	if !s.up {
		w.in(wire, func() { end(0) })
		return
	}
	w.note(invariant.Event{Kind: invariant.RequestSent, Request: c.id, Sidecar: s.name, Class: class, Deadline: deadline - epoch})
	s.calls[c.id] = c
	life := s.life
	w.in(max(deadline-w.now, 0)+patienceOver, func() {
		if !c.over && s.life == life {
			c.over = true
			w.note(invariant.Event{Kind: invariant.ResponseOverdue, Request: c.id})
			end(502)
		}
	})
	s.b.Request(w.now, balance.Request{ID: c.id, Class: classes[class].name, Tenant: "", Deadline: deadline - 10*time.Millisecond})
	s.after()
}

// answer gives the final answer.
func (s *sidecar) answer(c *call, status int) {
	if c == nil || c.over {
		return
	}
	c.over = true
	s.w.note(invariant.Event{Kind: invariant.ResponseReceived, Request: c.id, Status: status, Genuine: status == 200})
	s.w.in(wire, func() { c.end(status) })
}

// reset ends what is out at an endpoint that died.
func (s *sidecar) reset(e *endpoint) {
	s.idle[e.id] = nil
	for _, c := range s.inOrder() {
		for _, a := range c.attempts {
			if a.out && a.e == e {
				r := balance.Reset
				if !a.came {
					r = balance.ConnectFailed
				}
				s.w.in(wire, func() { s.over(a, r, true) })
			}
		}
	}
}

// over reports the end of an attempt, once.
func (s *sidecar) over(a *attempt, r balance.Result, reused bool) {
	if !a.out || a.life != s.life || !s.up {
		return
	}
	a.out = false
	c := a.call
	c.errored = r == balance.ErrorResponse
	if r == balance.OK || r == balance.ErrorResponse || r == balance.Rejected {
		s.idle[a.e.id] = append(s.idle[a.e.id], s.w.now)
	} else if a.e.open > 0 && r != balance.ConnectFailed {
		a.e.open--
	}
	o := balance.Outcome{ID: c.id, Attempt: a.n, Endpoint: a.e.id, Result: r, Latency: s.w.now - a.sentAt, IsFinal: c.over, ReusedConnection: reused}
	if r == balance.OK && !c.over {
		o.IsFinal = true
		s.answer(c, 200)
	}
	s.b.Outcome(s.w.now, o)
	s.after()
	s.forget(c)
}

func (s *sidecar) forget(c *call) {
	if !c.over {
		return
	}
	for _, a := range c.attempts {
		if a.out {
			return
		}
	}
	delete(s.calls, c.id)
}

// sweep closes connections that have stood idle too long.
func (s *sidecar) sweep(id string) {
	kept := s.idle[id][:0]
	for _, since := range s.idle[id] {
		if s.w.now-since < idleFor {
			kept = append(kept, since)
		} else if e := s.view[id]; e != nil && e.open > 0 {
			e.open--
		}
	}
	s.idle[id] = kept
}

// Send implements balance.Host.
func (s *sidecar) Send(id, endpoint string, timeout time.Duration) {
	w, c, e := s.w, s.calls[id], s.view[endpoint]
	if c == nil || e == nil {
		return
	}
	a := &attempt{call: c, n: len(c.attempts), e: e, life: s.life, sentAt: w.now, out: true}
	c.attempts = append(c.attempts, a)
	s.sweep(endpoint)
	delay, reused := wire, false
	if n := len(s.idle[endpoint]); n > 0 {
		s.idle[endpoint], reused = s.idle[endpoint][:n-1], true
	} else {
		delay += 2*wire + handshake
		w.result.Connections++
		if !e.up || e.open >= connections {
			w.in(2*wire, func() { s.over(a, balance.ConnectFailed, false) })
			return
		}
		e.open++
	}
	w.in(timeout, func() {
		if a.out && a.life == s.life && s.up {
			if a.came {
				w.note(invariant.Event{Kind: invariant.AttemptAborted, Request: c.id, Node: e.id})
			}
			s.over(a, balance.TimedOut, reused)
		}
	})
	life := e.life
	w.in(delay, func() {
		unheard := e.silent || s.cutOff && e.zone == s.cutZone
		switch {
		case !a.out || a.life != s.life || unheard:
		case e.life != life || !e.up:
			s.over(a, balance.ConnectFailed, reused)
		default:
			a.came = true
			e.came(a, w.work(c.class, e.tier), c.key, func(r balance.Result) {
				w.in(wire, func() {
					if !e.silent && (!s.cutOff || e.zone != s.cutZone) {
						s.over(a, r, reused)
					}
				})
			})
		}
	})
}

// work draws what a call costs in a tier.
func (w *world) work(class, tier int) float64 {
	return w.rng.ExpFloat64() * classes[class].work * tiers[tier].work
}

// Cancel implements balance.Host; the settings never allow it.
func (s *sidecar) Cancel(string, int) {}

// Reject implements balance.Host.
func (s *sidecar) Reject(id string, _ time.Duration) {
	c := s.calls[id]
	if c != nil && c.errored { // as the daemon does: an endpoint's own error promises less
		s.Fail(id)
		return
	}
	s.answer(c, 503)
	if c != nil {
		s.later = append(s.later, func() { s.forget(c) })
	}
}

// Fail implements balance.Host.
func (s *sidecar) Fail(id string) {
	c := s.calls[id]
	s.answer(c, 502)
	if c != nil {
		s.later = append(s.later, func() { s.forget(c) })
	}
}

// Probe implements balance.Host; the settings never allow it.
func (s *sidecar) Probe(string) {}

// HasIdleConnection implements balance.Host.
func (s *sidecar) HasIdleConnection(endpoint string) bool {
	s.sweep(endpoint)
	return len(s.idle[endpoint]) > 0
}

// Subscribe implements balance.Host; lists are pushed.
func (s *sidecar) Subscribe() {}

// Timer implements balance.Host.
func (s *sidecar) Timer(at time.Duration) {
	life := s.life
	s.w.in(at-s.w.now, func() {
		if s.up && s.life == life {
			s.b.Timer(s.w.now)
			s.after()
		}
	})
}

// Log implements balance.Host.
func (s *sidecar) Log(string) {}
