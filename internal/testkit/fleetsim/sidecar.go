package fleetsim

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/invariant"
)

// sidecar is a simulated sidecar: one balancer, and the host that carries out its decisions.
type sidecar struct {
	sim         *simulation
	name        string
	tier        int                        // index of the tier to which the sidecar sends requests
	index       int                        // index of the sidecar among those that send to the same tier
	isUp        bool                       // whether the sidecar's process runs
	incarnation int                        // number of times that the sidecar's process was killed; a callback with an older number belongs to an earlier process
	balancer    balance.Events             // balancer of the running process
	lastList    balance.EndpointUpdate     // complete endpoint list that discovery had when the sidecar received its latest update
	endpoints   map[string]*endpoint       // endpoints that were ever listed to this process, by ID
	requests    map[string]*request        // requests that still wait for their final response or still have an attempt in flight, by ID
	idleSince   map[string][]time.Duration // for each idle connection, the time since which it has been idle; by endpoint ID
	deferred    []func()                   // functions to run once the balancer has returned from the event that it handles now
	isCutOff    bool                       // whether messages between the sidecar and the endpoints in cutZone are lost; no scenario sets isCutOff
	cutZone     int                        // zone whose endpoints the sidecar can't reach if isCutOff is set
}

// request is a request that a sidecar has accepted, with all of its attempts.
type request struct {
	id               string
	class            int              // index in classes
	key              string           // idempotency key; empty if its class has none
	deadline         time.Duration    // virtual time by which the client needs the response
	isDone           bool             // whether the request has its final response or is lost
	hadErrorResponse bool             // whether the latest attempt that ended got an error response from the endpoint
	onResponse       func(status int) // called once, with the status that sidecar.accept describes
	attempts         []*attempt       // all attempts of the request, in the order in which they were sent
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	request            *request
	number             int           // number among the request's attempts, from 0
	endpoint           *endpoint     // endpoint to which the attempt was sent
	sidecarIncarnation int           // sidecar.incarnation at the time of sending
	sentAt             time.Duration // virtual time at which the balancer sent the attempt
	isInFlight         bool          // whether the attempt's outcome is still to be reported to the balancer
	wasReceived        bool          // whether the attempt has arrived at the endpoint
}

// newSidecar adds a sidecar that sends requests to a tier. Its process does not run yet.
func (sim *simulation) newSidecar(name string, tier, index int) *sidecar {
	s := &sidecar{sim: sim, name: name, tier: tier, index: index}
	sim.sidecars = append(sim.sidecars, s)
	return s
}

// start starts a new process of the sidecar, which begins with the given endpoint list or, if that is empty, with the list that
// discovery has now.
func (s *sidecar) start(list balance.EndpointUpdate) {
	sim := s.sim
	s.isUp, s.requests, s.idleSince, s.endpoints = true, map[string]*request{}, map[string][]time.Duration{}, map[string]*endpoint{}
	sim.record(invariant.Event{Kind: invariant.SidecarStarted, Sidecar: s.name})
	settings := balance.Settings{Seed: sim.rng.Uint64() | 1, BalancerCount: sim.callerCount(s.tier), BalancerIndex: s.index, Tier: s.tier, TiersBelow: len(tiers) - 1 - s.tier,
		MaxAttempts: maxAttempts, MaxRetryAfter: time.Second, TimerResolution: time.Millisecond, SlowStartCapacity: sim.day.SlowStart.InitialCapacity, SlowStartDuration: sim.day.SlowStart.Duration}
	for _, c := range classes {
		class := balance.Class{Name: c.name, LatencyObjective: c.latencyObjective}
		if c.isKeyed {
			class.Idempotency, class.DedupScope, class.DedupWindow = balance.IdempotencyKey, balance.ScopeCell, dedupWindow
		}
		settings.Classes = append(settings.Classes, class)
	}
	s.balancer = sim.newBalancer(sim.now, settings, s)
	if len(list.Endpoints) == 0 {
		list = sim.endpointList(s.tier)
	}
	s.applyList(list)
}

// endpointList returns the complete list of a tier's endpoints, as discovery has it now.
func (sim *simulation) endpointList(tier int) balance.EndpointUpdate {
	list := balance.EndpointUpdate{Complete: true}
	for _, e := range sim.tiers[tier] {
		if !e.isGone {
			list.Endpoints = append(list.Endpoints, e.listEntry())
		}
	}
	return list
}

// listEntry returns the entry by which discovery now lists the endpoint, with its state and properties.
func (e *endpoint) listEntry() balance.Endpoint {
	return balance.Endpoint{ID: e.id, State: e.listedState, Zone: fmt.Sprint("z", e.zone), Kind: e.kind, Cell: e.cell, StartedAt: e.startedAt}
}

// applyList passes an update of the endpoint list to the balancer, after recording in the timeline which states of endpoints the sidecar
// is notified of.
func (s *sidecar) applyList(update balance.EndpointUpdate) {
	s.sim.result.DiscoveryMessages++
	for _, entry := range update.Endpoints {
		for _, e := range s.sim.tiers[s.tier] {
			if e.id == entry.ID {
				s.endpoints[entry.ID] = e
			}
		}
		s.sim.record(invariant.Event{Kind: invariant.NodeStateNotified, Sidecar: s.name, Node: entry.ID, State: invariant.State(entry.State), StartedAt: entry.StartedAt - epoch})
	}
	if update.Complete {
		s.lastList = update
	} else {
		s.lastList = s.sim.endpointList(s.tier)
	}
	s.balancer.EndpointList(s.sim.now, update)
	s.runDeferred()
}

// runDeferred runs the functions that were deferred while the balancer handled an event.
func (s *sidecar) runDeferred() {
	for len(s.deferred) > 0 {
		next := s.deferred[0]
		s.deferred = s.deferred[1:]
		next()
	}
}

// kill kills the sidecar's process. The requests that it has accepted are lost and its idle connections closed.
func (s *sidecar) kill() {
	if !s.isUp {
		return
	}
	s.isUp = false
	s.incarnation++
	s.sim.record(invariant.Event{Kind: invariant.SidecarKilled, Sidecar: s.name})
	for _, req := range s.sortedRequests() {
		if !req.isDone {
			req.isDone = true
			s.sim.record(invariant.Event{Kind: invariant.ConnectionLost, Request: req.id})
			s.sim.schedule(wireDelay, func() { req.onResponse(0) })
		}
	}
	for _, e := range s.sim.tiers[s.tier] {
		e.openConnections -= len(s.idleSince[e.id])
	}
	s.requests, s.idleSince = map[string]*request{}, map[string][]time.Duration{}
	s.sim.record(invariant.Event{Kind: invariant.SidecarExited, Sidecar: s.name})
}

// sortedRequests returns the entries of s.requests in the order of their acceptance; the order of a map would not be reproducible.
func (s *sidecar) sortedRequests() []*request {
	sorted := make([]*request, 0, len(s.requests))
	for _, req := range s.requests {
		sorted = append(sorted, req)
	}
	sortRequests(sorted)
	return sorted
}

// accept accepts a request. It calls onResponse once, with the response's status: 200, 502 if the request failed or got no response in
// time, 503 if it was rejected, or 0 if the sidecar does not run or is killed.
func (s *sidecar) accept(class int, key string, deadline time.Duration, onResponse func(status int)) {
	sim := s.sim
	sim.requestCount++
	req := &request{id: fmt.Sprint("r", sim.requestCount), class: class, key: key, deadline: deadline, onResponse: onResponse}
	if !classes[class].isKeyed {
		req.key = ""
	}
	if !s.isUp {
		sim.schedule(wireDelay, func() { onResponse(0) })
		return
	}
	sim.record(invariant.Event{Kind: invariant.RequestSent, Request: req.id, Sidecar: s.name, Class: class, Deadline: deadline - epoch})
	s.requests[req.id] = req
	incarnation := s.incarnation
	sim.schedule(max(deadline-sim.now, 0)+responseGrace, func() {
		if !req.isDone && s.incarnation == incarnation {
			req.isDone = true
			sim.record(invariant.Event{Kind: invariant.ResponseOverdue, Request: req.id})
			onResponse(502)
		}
	})
	s.balancer.Request(sim.now, balance.Request{ID: req.id, Class: classes[class].name, Tenant: "", Deadline: deadline - deadlineMargin})
	s.runDeferred()
}

// respond sends the final response of a request, unless the request is done already. A nil request is ignored.
func (s *sidecar) respond(req *request, status int) {
	if req == nil || req.isDone {
		return
	}
	req.isDone = true
	s.sim.record(invariant.Event{Kind: invariant.ResponseReceived, Request: req.id, Status: status, IsGenuine: status == 200})
	s.sim.schedule(wireDelay, func() { req.onResponse(status) })
}

// resetAttempts ends the attempts in flight at an endpoint whose process was killed, and drops the idle connections to it.
func (s *sidecar) resetAttempts(e *endpoint) {
	s.idleSince[e.id] = nil
	for _, req := range s.sortedRequests() {
		for _, a := range req.attempts {
			if a.isInFlight && a.endpoint == e {
				result := balance.Reset
				if !a.wasReceived {
					result = balance.ConnectFailed
				}
				s.sim.schedule(wireDelay, func() { s.endAttempt(a, result, true) })
			}
		}
	}
}

// endAttempt reports the outcome of an attempt to the balancer, unless the attempt has already ended or the sidecar
// was killed after sending the attempt.
func (s *sidecar) endAttempt(a *attempt, result balance.Result, connectionReused bool) {
	if !a.isInFlight || a.sidecarIncarnation != s.incarnation || !s.isUp {
		return
	}
	a.isInFlight = false
	req := a.request
	req.hadErrorResponse = result == balance.ErrorResponse
	if result == balance.OK || result == balance.ErrorResponse || result == balance.Rejected {
		s.idleSince[a.endpoint.id] = append(s.idleSince[a.endpoint.id], s.sim.now)
	} else if a.endpoint.openConnections > 0 && result != balance.ConnectFailed {
		a.endpoint.openConnections--
	}
	outcome := balance.Outcome{ID: req.id, AttemptNumber: a.number, Endpoint: a.endpoint.id, Result: result, Latency: s.sim.now - a.sentAt, IsFinal: req.isDone, ReusedConnection: connectionReused}
	if result == balance.OK && !req.isDone {
		outcome.IsFinal = true
		s.respond(req, 200)
	}
	s.balancer.Outcome(s.sim.now, outcome)
	s.runDeferred()
	s.forgetIfDone(req)
}

// forgetIfDone deletes a request that has its final response and no attempt in flight.
func (s *sidecar) forgetIfDone(req *request) {
	if !req.isDone {
		return
	}
	for _, a := range req.attempts {
		if a.isInFlight {
			return
		}
	}
	delete(s.requests, req.id)
}

// closeIdleConnections closes the connections to an endpoint that have been idle for idleTimeout.
func (s *sidecar) closeIdleConnections(endpointID string) {
	kept := s.idleSince[endpointID][:0]
	for _, since := range s.idleSince[endpointID] {
		if s.sim.now-since < idleTimeout {
			kept = append(kept, since)
		} else if e := s.endpoints[endpointID]; e != nil && e.openConnections > 0 {
			e.openConnections--
		}
	}
	s.idleSince[endpointID] = kept
}

// Send implements balance.Host. It sends on an idle connection if there is one, and otherwise opens a connection.
func (s *sidecar) Send(id, endpoint string, timeout time.Duration) {
	sim, req, e := s.sim, s.requests[id], s.endpoints[endpoint]
	if req == nil || e == nil {
		return
	}
	a := &attempt{request: req, number: len(req.attempts), endpoint: e, sidecarIncarnation: s.incarnation, sentAt: sim.now, isInFlight: true}
	req.attempts = append(req.attempts, a)
	s.closeIdleConnections(endpoint)
	delay, connectionReused := wireDelay, false
	if n := len(s.idleSince[endpoint]); n > 0 {
		s.idleSince[endpoint], connectionReused = s.idleSince[endpoint][:n-1], true
	} else {
		delay += 2*wireDelay + handshakeDelay
		sim.result.Connections++
		if !e.isUp || e.openConnections >= maxConnections {
			sim.schedule(2*wireDelay, func() { s.endAttempt(a, balance.ConnectFailed, false) })
			return
		}
		e.openConnections++
	}
	sim.schedule(timeout, func() {
		if a.isInFlight && a.sidecarIncarnation == s.incarnation && s.isUp {
			if a.wasReceived {
				sim.record(invariant.Event{Kind: invariant.AttemptAborted, Request: req.id, Node: e.id})
			}
			s.endAttempt(a, balance.TimedOut, connectionReused)
		}
	})
	endpointIncarnation := e.incarnation
	sim.schedule(delay, func() {
		isLost := e.isIsolated || s.isCutOff && e.zone == s.cutZone
		switch {
		case !a.isInFlight || a.sidecarIncarnation != s.incarnation || isLost:
		case e.incarnation != endpointIncarnation || !e.isUp:
			s.endAttempt(a, balance.ConnectFailed, connectionReused)
		default:
			a.wasReceived = true
			e.receive(a, sim.drawWork(req.class, e.tier), req.key, func(result balance.Result) {
				sim.schedule(wireDelay, func() {
					if !e.isIsolated && (!s.isCutOff || e.zone != s.cutZone) {
						s.endAttempt(a, result, connectionReused)
					}
				})
			})
		}
	})
}

// drawWork draws the work of a request in a tier, in seconds of a core of speed 1.
func (sim *simulation) drawWork(class, tier int) float64 {
	return sim.rng.ExpFloat64() * classes[class].work * tiers[tier].workFraction
}

// Cancel implements balance.Host. It does nothing: the settings leave CanCancel unset, so the balancer cancels no attempt.
func (s *sidecar) Cancel(string, int) {}

// Reject implements balance.Host. It responds with status 503, or with 502 after an error response of an endpoint.
func (s *sidecar) Reject(id string, _ time.Duration) {
	req := s.requests[id]
	if req != nil && req.hadErrorResponse { // as in the daemon: a 503 after an error response would wrongly promise that a retry is harmless
		s.Fail(id)
		return
	}
	s.respond(req, 503)
	if req != nil {
		s.deferred = append(s.deferred, func() { s.forgetIfDone(req) })
	}
}

// Fail implements balance.Host. It responds with status 502.
func (s *sidecar) Fail(id string) {
	req := s.requests[id]
	s.respond(req, 502)
	if req != nil {
		s.deferred = append(s.deferred, func() { s.forgetIfDone(req) })
	}
}

// Probe implements balance.Host. It does nothing: the settings leave CanProbe unset, so the balancer sends no load probes.
func (s *sidecar) Probe(string) {}

// HasIdleConnection implements balance.Host, after closing connections that have been idle for too long.
func (s *sidecar) HasIdleConnection(endpoint string) bool {
	s.closeIdleConnections(endpoint)
	return len(s.idleSince[endpoint]) > 0
}

// Subscribe implements balance.Host. It does nothing, since each sidecar gets all updates without a subscription.
func (s *sidecar) Subscribe() {}

// Timer implements balance.Host. A timer of a process that has been killed does not fire.
func (s *sidecar) Timer(at time.Duration) {
	incarnation := s.incarnation
	s.sim.schedule(at-s.sim.now, func() {
		if s.isUp && s.incarnation == incarnation {
			s.balancer.Timer(s.sim.now)
			s.runDeferred()
		}
	})
}

// Log implements balance.Host and discards the line.
func (s *sidecar) Log(string) {}
