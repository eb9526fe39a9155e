package fleetsim

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/invariant"
)

// sidecar is one balancer and what carries its decisions out, in virtual time.
type sidecar struct {
	sim         *simulation
	name        string
	tier, index int
	isUp        bool
	incarnation int
	balancer    balance.Events
	lastList    balance.EndpointUpdate // as last told
	endpoints   map[string]*endpoint
	requests    map[string]*request
	idleSince   map[string][]time.Duration // connections to an endpoint that stand idle, and since when
	deferred    []func()
	isCutOff    bool // from the endpoints of one zone
	cutZone     int
}

// request is a request that was taken.
type request struct {
	id               string
	class            int
	key              string
	deadline         time.Duration
	isDone           bool
	hadErrorResponse bool // the latest attempt ended by an endpoint's own error
	onResponse       func(status int)
	attempts         []*attempt
}

// attempt is one Send.
type attempt struct {
	request            *request
	number             int
	endpoint           *endpoint
	sidecarIncarnation int // of the sidecar
	sentAt             time.Duration
	isInFlight         bool
	wasReceived        bool
}

func (w *simulation) newSidecar(name string, tier, index int) *sidecar {
	s := &sidecar{sim: w, name: name, tier: tier, index: index}
	w.sidecars = append(w.sidecars, s)
	return s
}

// start begins a life with a list; an empty one is filled with what discovery knows.
func (s *sidecar) start(known balance.EndpointUpdate) {
	w := s.sim
	s.isUp, s.requests, s.idleSince, s.endpoints = true, map[string]*request{}, map[string][]time.Duration{}, map[string]*endpoint{}
	w.record(invariant.Event{Kind: invariant.SidecarStarted, Sidecar: s.name})
	settings := balance.Settings{Seed: w.rng.Uint64() | 1, Balancers: w.callerCount(s.tier), Index: s.index, Tier: s.tier, TiersBelow: len(tiers) - 1 - s.tier,
		MaxAttempts: maxAttempts, MaxRetryAfter: time.Second, TimerResolution: time.Millisecond, SlowStartCapacity: w.day.SlowStart.InitialCapacity, SlowStartDuration: w.day.SlowStart.Duration}
	for _, c := range classes {
		m := balance.Class{Name: c.name, LatencyObjective: c.latencyObjective}
		if c.isKeyed {
			m.Idempotency, m.DedupScope, m.DedupWindow = balance.IdempotencyKey, balance.ScopeCell, dedupWindow
		}
		settings.Classes = append(settings.Classes, m)
	}
	s.balancer = w.decide(w.now, settings, s)
	if len(known.Endpoints) == 0 {
		known = w.endpointList(s.tier)
	}
	s.applyList(known)
}

// endpointList is what discovery knows of a tier.
func (w *simulation) endpointList(tier int) balance.EndpointUpdate {
	l := balance.EndpointUpdate{Complete: true}
	for _, e := range w.tiers[tier] {
		if !e.isGone {
			l.Endpoints = append(l.Endpoints, e.listEntry())
		}
	}
	return l
}

func (e *endpoint) listEntry() balance.Endpoint {
	return balance.Endpoint{ID: e.id, State: e.listedState, Zone: fmt.Sprint("z", e.zone), Kind: e.kind, Cell: e.cell, Started: e.startedAt}
}

// applyList gives a list to the module.
func (s *sidecar) applyList(l balance.EndpointUpdate) {
	s.sim.result.DiscoveryMessages++
	for _, in := range l.Endpoints {
		for _, e := range s.sim.tiers[s.tier] {
			if e.id == in.ID {
				s.endpoints[in.ID] = e
			}
		}
		n := invariant.Event{Kind: invariant.NodeStateNotified, Sidecar: s.name, Node: in.ID, State: invariant.State(in.State), StartedAt: in.Started - epoch}
		s.sim.record(n)
	}
	if l.Complete {
		s.lastList = l
	} else {
		s.lastList = s.sim.endpointList(s.tier)
	}
	s.balancer.EndpointList(s.sim.now, l)
	s.runDeferred()
}

// runDeferred does what arose within the module's calls.
func (s *sidecar) runDeferred() {
	for len(s.deferred) > 0 {
		next := s.deferred[0]
		s.deferred = s.deferred[1:]
		next()
	}
}

// kill ends the process. What it held goes under.
func (s *sidecar) kill() {
	if !s.isUp {
		return
	}
	s.isUp = false
	s.incarnation++
	s.sim.record(invariant.Event{Kind: invariant.SidecarKilled, Sidecar: s.name})
	for _, c := range s.sortedRequests() {
		if !c.isDone {
			c.isDone = true
			s.sim.record(invariant.Event{Kind: invariant.ConnectionLost, Request: c.id})
			s.sim.schedule(wireDelay, func() { c.onResponse(0) })
		}
	}
	for _, e := range s.sim.tiers[s.tier] {
		e.openConnections -= len(s.idleSince[e.id])
	}
	s.requests, s.idleSince = map[string]*request{}, map[string][]time.Duration{}
	s.sim.record(invariant.Event{Kind: invariant.SidecarExited, Sidecar: s.name})
}

// sortedRequests are the calls in a fixed order.
func (s *sidecar) sortedRequests() []*request {
	out := make([]*request, 0, len(s.requests))
	for _, c := range s.requests {
		out = append(out, c)
	}
	sortRequests(out)
	return out
}

// accept takes a request. end is told its status, once: 200, 503, 502, or 0 where the sidecar has died.
func (s *sidecar) accept(class int, key string, deadline time.Duration, end func(status int)) {
	w := s.sim
	w.requestCount++
	c := &request{id: fmt.Sprint("r", w.requestCount), class: class, key: key, deadline: deadline, onResponse: end}
	if !classes[class].isKeyed {
		c.key = ""
	}
	if !s.isUp {
		w.schedule(wireDelay, func() { end(0) })
		return
	}
	w.record(invariant.Event{Kind: invariant.RequestSent, Request: c.id, Sidecar: s.name, Class: class, Until: deadline - epoch})
	s.requests[c.id] = c
	life := s.incarnation
	w.schedule(max(deadline-w.now, 0)+responseGrace, func() {
		if !c.isDone && s.incarnation == life {
			c.isDone = true
			w.record(invariant.Event{Kind: invariant.ResponseOverdue, Request: c.id})
			end(502)
		}
	})
	s.balancer.Request(w.now, balance.Request{ID: c.id, Class: classes[class].name, Tenant: "", Deadline: deadline - 10*time.Millisecond})
	s.runDeferred()
}

// respond gives the final answer.
func (s *sidecar) respond(c *request, status int) {
	if c == nil || c.isDone {
		return
	}
	c.isDone = true
	s.sim.record(invariant.Event{Kind: invariant.ResponseReceived, Request: c.id, Status: status, Genuine: status == 200})
	s.sim.schedule(wireDelay, func() { c.onResponse(status) })
}

// resetAttempts ends what is out at an endpoint that died.
func (s *sidecar) resetAttempts(e *endpoint) {
	s.idleSince[e.id] = nil
	for _, c := range s.sortedRequests() {
		for _, a := range c.attempts {
			if a.isInFlight && a.endpoint == e {
				r := balance.Reset
				if !a.wasReceived {
					r = balance.ConnectFailed
				}
				s.sim.schedule(wireDelay, func() { s.endAttempt(a, r, true) })
			}
		}
	}
}

// endAttempt reports the end of an attempt, once.
func (s *sidecar) endAttempt(a *attempt, r balance.Result, reused bool) {
	if !a.isInFlight || a.sidecarIncarnation != s.incarnation || !s.isUp {
		return
	}
	a.isInFlight = false
	c := a.request
	c.hadErrorResponse = r == balance.ErrorResponse
	if r == balance.OK || r == balance.ErrorResponse || r == balance.Rejected {
		s.idleSince[a.endpoint.id] = append(s.idleSince[a.endpoint.id], s.sim.now)
	} else if a.endpoint.openConnections > 0 && r != balance.ConnectFailed {
		a.endpoint.openConnections--
	}
	o := balance.Outcome{ID: c.id, Attempt: a.number, Endpoint: a.endpoint.id, Result: r, Latency: s.sim.now - a.sentAt, IsFinal: c.isDone, ReusedConnection: reused}
	if r == balance.OK && !c.isDone {
		o.IsFinal = true
		s.respond(c, 200)
	}
	s.balancer.Outcome(s.sim.now, o)
	s.runDeferred()
	s.forgetIfDone(c)
}

func (s *sidecar) forgetIfDone(c *request) {
	if !c.isDone {
		return
	}
	for _, a := range c.attempts {
		if a.isInFlight {
			return
		}
	}
	delete(s.requests, c.id)
}

// closeIdleConnections closes connections that have stood idle too long.
func (s *sidecar) closeIdleConnections(id string) {
	kept := s.idleSince[id][:0]
	for _, since := range s.idleSince[id] {
		if s.sim.now-since < idleTimeout {
			kept = append(kept, since)
		} else if e := s.endpoints[id]; e != nil && e.openConnections > 0 {
			e.openConnections--
		}
	}
	s.idleSince[id] = kept
}

// Send implements balance.Host.
func (s *sidecar) Send(id, endpoint string, timeout time.Duration) {
	w, c, e := s.sim, s.requests[id], s.endpoints[endpoint]
	if c == nil || e == nil {
		return
	}
	a := &attempt{request: c, number: len(c.attempts), endpoint: e, sidecarIncarnation: s.incarnation, sentAt: w.now, isInFlight: true}
	c.attempts = append(c.attempts, a)
	s.closeIdleConnections(endpoint)
	delay, reused := wireDelay, false
	if n := len(s.idleSince[endpoint]); n > 0 {
		s.idleSince[endpoint], reused = s.idleSince[endpoint][:n-1], true
	} else {
		delay += 2*wireDelay + handshakeDelay
		w.result.Connections++
		if !e.isUp || e.openConnections >= maxConnections {
			w.schedule(2*wireDelay, func() { s.endAttempt(a, balance.ConnectFailed, false) })
			return
		}
		e.openConnections++
	}
	w.schedule(timeout, func() {
		if a.isInFlight && a.sidecarIncarnation == s.incarnation && s.isUp {
			if a.wasReceived {
				w.record(invariant.Event{Kind: invariant.AttemptAborted, Request: c.id, Node: e.id})
			}
			s.endAttempt(a, balance.TimedOut, reused)
		}
	})
	life := e.incarnation
	w.schedule(delay, func() {
		unheard := e.isIsolated || s.isCutOff && e.zone == s.cutZone
		switch {
		case !a.isInFlight || a.sidecarIncarnation != s.incarnation || unheard:
		case e.incarnation != life || !e.isUp:
			s.endAttempt(a, balance.ConnectFailed, reused)
		default:
			a.wasReceived = true
			e.receive(a, w.drawWork(c.class, e.tier), c.key, func(r balance.Result) {
				w.schedule(wireDelay, func() {
					if !e.isIsolated && (!s.isCutOff || e.zone != s.cutZone) {
						s.endAttempt(a, r, reused)
					}
				})
			})
		}
	})
}

// drawWork draws what a call costs in a tier.
func (w *simulation) drawWork(class, tier int) float64 {
	return w.rng.ExpFloat64() * classes[class].work * tiers[tier].work
}

// Cancel implements balance.Host; the settings never allow it.
func (s *sidecar) Cancel(string, int) {}

// Reject implements balance.Host.
func (s *sidecar) Reject(id string, _ time.Duration) {
	c := s.requests[id]
	if c != nil && c.hadErrorResponse { // as the daemon does: an endpoint's own error promises less
		s.Fail(id)
		return
	}
	s.respond(c, 503)
	if c != nil {
		s.deferred = append(s.deferred, func() { s.forgetIfDone(c) })
	}
}

// Fail implements balance.Host.
func (s *sidecar) Fail(id string) {
	c := s.requests[id]
	s.respond(c, 502)
	if c != nil {
		s.deferred = append(s.deferred, func() { s.forgetIfDone(c) })
	}
}

// Probe implements balance.Host; the settings never allow it.
func (s *sidecar) Probe(string) {}

// HasIdleConnection implements balance.Host.
func (s *sidecar) HasIdleConnection(endpoint string) bool {
	s.closeIdleConnections(endpoint)
	return len(s.idleSince[endpoint]) > 0
}

// Subscribe implements balance.Host; lists are pushed.
func (s *sidecar) Subscribe() {}

// Timer implements balance.Host.
func (s *sidecar) Timer(at time.Duration) {
	life := s.incarnation
	s.sim.schedule(at-s.sim.now, func() {
		if s.isUp && s.incarnation == life {
			s.balancer.Timer(s.sim.now)
			s.runDeferred()
		}
	})
}

// Log implements balance.Host.
func (s *sidecar) Log(string) {}
