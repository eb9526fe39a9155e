package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

// deadlineSlack is the time after its deadline in which a request may still get its final response.
const deadlineSlack = 20 * ms

// simAttempt is an attempt that the balancer has sent, with the end that the simulation has chosen for the attempt.
type simAttempt struct {
	endpoint       balance.Endpoint
	sentAt, endsAt time.Duration
	result         balance.Result // result with which the attempt ends at endsAt
	inFlight       bool           // whether the attempt's outcome has not been reported to the balancer yet
	mayHaveRun     bool           // whether the attempt has ended and may have taken effect
	isCanceled     bool           // whether the balancer has cancelled the attempt
}

// simRequest is the state of a request in the simulation.
type simRequest struct {
	balance.Request
	class            balance.Class
	attempts         []*simAttempt
	isFinished       bool // whether the request has its final response, or its client has disconnected
	balancerKnowsEnd bool // whether the balancer knows that the request is finished
}

// simulation simulates clients, discovery and endpoints for one balancer, and checks the invariants: no attempt is sent to
// an endpoint that is not available, each request gets one final response in time, no request can take effect twice, and
// the balancer does nothing that its settings do not allow.
type simulation struct {
	t                testing.TB
	rng              *rand.Rand
	settings         balance.Settings
	now              time.Duration
	balancer         *balance.Balancer
	listed           map[string]balance.Endpoint // last list entry of each endpoint, by ID
	unavailableSince map[string]time.Duration    // instant at which an endpoint was listed as draining or gone, by ID
	manuallyEjected  map[string]bool             // IDs of the endpoints that operators have ejected
	ejectionChanges  int                         // manual ejections and restorations so far
	requests         map[string]*simRequest      // requests since the last restart of the balancer, by ID
	openIDs          []string                    // IDs of requests that are not finished or have an attempt in flight
	timers           []time.Duration             // instants of the timers that have not fired yet
	probedIDs        []string                    // IDs of endpoints whose load probes have no result yet
	slowStartSends   map[string][]time.Duration  // instants of attempts at endpoints that are warming up, by endpoint ID
	requestCount     int
	isDraining       bool     // whether only open requests are simulated to their end, without new requests, lists or ejections
	sends            int      // attempts sent so far
	responseCounts   [3]int   // final responses so far: successes, rejections and failures
	actions          []string // instants and arguments of Send, Reject and Fail, in order
}

func (sim *simulation) Send(id, ep string, timeout time.Duration) {
	sim.actions = append(sim.actions, fmt.Sprintf("%v send %s %s", sim.now, id, ep))
	req, e := sim.requests[id], sim.listed[ep]
	if req == nil || e.ID == "" {
		sim.t.Fatalf("%v: Send of request %q to endpoint %q, one of which is unknown", sim.now, id, ep)
	}
	if req.balancerKnowsEnd {
		sim.t.Fatalf("%v: Send of %s, which is finished", sim.now, id)
	}
	if at, ok := sim.unavailableSince[ep]; ok && sim.now > at {
		sim.t.Fatalf("%v: Send to %s, unavailable since %v", sim.now, ep, at)
	}
	if sim.manuallyEjected[ep] {
		sim.t.Fatalf("%v: Send to %s, which is manually ejected", sim.now, ep)
	}
	if sim.settings.MaxAttempts > 0 && len(req.attempts) >= sim.settings.MaxAttempts {
		sim.t.Fatalf("%v: Send of attempt %d of %s, want %d attempts at most", sim.now, len(req.attempts), id, sim.settings.MaxAttempts)
	}
	for _, att := range req.attempts {
		if att.inFlight {
			sim.t.Fatalf("%v: Send of %s, which has another attempt in flight", sim.now, id)
		}
		if !att.inFlight && !att.mayHaveRun || req.class.Idempotency == balance.Idempotent {
			continue
		}
		c := req.class
		if c.Idempotency == balance.NonIdempotent || sim.now > att.sentAt+c.DedupWindow ||
			c.DedupScope == balance.ScopeZone && att.endpoint.Zone != e.Zone ||
			c.DedupScope == balance.ScopeCell && att.endpoint.Cell != e.Cell {
			sim.t.Fatalf("%v: Send of %s to %s, where it may take effect twice", sim.now, id, ep)
		}
	}
	if e.StartedAt > 0 && sim.now-e.StartedAt < sim.settings.SlowStartDuration {
		sim.slowStartSends[ep] = append(sim.slowStartSends[ep], sim.now)
	}
	sim.sends++
	att := &simAttempt{endpoint: e, sentAt: sim.now, inFlight: true, endsAt: sim.now + time.Duration(1+sim.rng.IntN(300))*ms}
	switch n := sim.rng.IntN(20); {
	case n < 11:
		att.result = balance.OK
	case n == 11: // the endpoint hangs
		att.result, att.endsAt = balance.TimedOut, sim.now+timeout
	default:
		att.result = []balance.Result{balance.ErrorResponse, balance.Rejected, balance.ConnectFailed, balance.Reset,
			balance.NotSent, balance.OK, balance.TimedOut, balance.ErrorResponse}[n-12]
	}
	if att.endsAt > sim.now+timeout {
		att.result, att.endsAt = balance.TimedOut, sim.now+timeout
	}
	req.attempts = append(req.attempts, att)
}

func (sim *simulation) Cancel(id string, n int) {
	if !sim.settings.CanCancel {
		sim.t.Fatalf("%v: Cancel, which the settings do not allow", sim.now)
	}
	req := sim.requests[id]
	if req == nil || n < 0 || n >= len(req.attempts) {
		sim.t.Fatalf("%v: Cancel of attempt %d of %s, which was never sent", sim.now, n, id)
	}
	if att := req.attempts[n]; att.inFlight && !att.isCanceled {
		att.isCanceled = true
		if sim.rng.IntN(4) > 0 || att.endsAt > sim.now+50*ms { // otherwise the attempt ends before the host cancels it
			att.result, att.endsAt = balance.Canceled, sim.now
		}
	}
}

func (sim *simulation) Reject(id string, _ time.Duration) {
	req := sim.recordResponse(id)
	sim.responseCounts[1]++
	for _, att := range req.attempts {
		if (att.inFlight || att.mayHaveRun) && (req.class.Idempotency == balance.NonIdempotent ||
			req.class.Idempotency == balance.IdempotencyKey && req.class.DedupScope != balance.ScopeAll) {
			sim.t.Fatalf("%v: Reject of %s, which may have run and is not idempotent", sim.now, id)
		}
	}
}

func (sim *simulation) Fail(id string) {
	sim.recordResponse(id)
	sim.responseCounts[2]++
}

// recordResponse records that the balancer has ended the request by a call of Host.Reject or Host.Fail.
func (sim *simulation) recordResponse(id string) *simRequest {
	sim.actions = append(sim.actions, fmt.Sprintf("%v final response %s", sim.now, id))
	req := sim.requests[id]
	if req == nil || req.balancerKnowsEnd {
		sim.t.Fatalf("%v: final response to %s, which is unknown or already finished", sim.now, id)
	}
	if !req.isFinished && sim.now > req.Deadline+deadlineSlack {
		sim.t.Fatalf("%v: final response to %s, want it by its deadline %v", sim.now, id, req.Deadline)
	}
	req.isFinished, req.balancerKnowsEnd = true, true
	return req
}

func (sim *simulation) Probe(ep string) {
	if !sim.settings.CanProbe {
		sim.t.Fatalf("%v: Probe, which the settings do not allow", sim.now)
	}
	if sim.manuallyEjected[ep] {
		sim.t.Fatalf("%v: Probe of %s, which is manually ejected", sim.now, ep)
	}
	sim.probedIDs = append(sim.probedIDs, ep)
}
func (sim *simulation) HasIdleConnection(string) bool { return sim.rng.IntN(2) == 0 }
func (sim *simulation) Subscribe()                    {}
func (sim *simulation) Timer(at time.Duration)        { sim.timers = append(sim.timers, at) }
func (sim *simulation) Log(string)                    {}

// restart replaces the balancer. The new balancer does not know the requests of the replaced one.
func (sim *simulation) restart(seed uint64) {
	sim.requests, sim.openIDs, sim.timers, sim.probedIDs = map[string]*simRequest{}, nil, nil, nil
	sim.settings.Seed = seed
	sim.balancer = balance.New(sim.now, sim.settings, sim)
	l := balance.EndpointUpdate{Complete: true}
	for i := range 12 {
		if e, ok := sim.listed["e"+strconv.Itoa(i)]; ok && e.State != balance.Gone {
			l.Endpoints = append(l.Endpoints, e)
		}
	}
	sim.balancer.EndpointList(sim.now, l)
	for id := range sim.manuallyEjected {
		sim.balancer.SetEjected(sim.now, id, true)
	}
}

// changeEjection ejects a random endpoint manually or restores it, whether it is listed or not.
func (sim *simulation) changeEjection() {
	id := "e" + strconv.Itoa(sim.rng.IntN(12))
	isEjection := sim.rng.IntN(2) == 0
	if delete(sim.manuallyEjected, id); isEjection {
		sim.manuallyEjected[id] = true
	}
	sim.ejectionChanges++
	sim.balancer.SetEjected(sim.now, id, isEjection)
	if isEjection && !sim.balancer.IsKnown(id) {
		sim.t.Fatalf("%v: IsKnown of %s, which is manually ejected, is false", sim.now, id)
	}
	if listed, ejected := sim.balancer.EndpointCounts(); ejected > listed {
		sim.t.Fatalf("%v: EndpointCounts returns %d listed and %d ejected endpoints", sim.now, listed, ejected)
	}
}

// changeList reports a failed update, or one with a random change of a random endpoint.
func (sim *simulation) changeList() {
	if sim.rng.IntN(10) == 0 {
		sim.balancer.EndpointList(sim.now, balance.EndpointUpdate{HasFailed: true})
		return
	}
	id := sim.rng.IntN(12)
	e := balance.Endpoint{ID: "e" + strconv.Itoa(id), State: balance.State(sim.rng.IntN(3)), Zone: "z" + strconv.Itoa(id%2),
		Kind: "k" + strconv.Itoa(id%3), Cell: id % 4}
	if sim.rng.IntN(3) > 0 {
		e.State = balance.Ready
	}
	oldEntry, isListed := sim.listed[e.ID]
	if e.State == balance.Ready && (!isListed || oldEntry.State == balance.Gone || sim.rng.IntN(3) == 0) {
		e.StartedAt = sim.now
	} else {
		e.StartedAt = oldEntry.StartedAt
	}
	if e.State == balance.Ready {
		delete(sim.unavailableSince, e.ID)
	} else if _, ok := sim.unavailableSince[e.ID]; !ok {
		sim.unavailableSince[e.ID] = sim.now
	}
	sim.listed[e.ID] = e
	sim.balancer.EndpointList(sim.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{e}})
}

// request sends a random request to the balancer.
func (sim *simulation) request() {
	sim.requestCount++
	c := sim.settings.Classes[sim.rng.IntN(len(sim.settings.Classes))]
	r := balance.Request{ID: "r" + strconv.Itoa(sim.requestCount), Class: c.Name, Tenant: "t" + strconv.Itoa(sim.rng.IntN(3)),
		Deadline: sim.now + time.Duration(sim.rng.IntN(1500))*ms, IsRetry: sim.rng.IntN(5) == 0}
	if sim.rng.IntN(30) == 0 {
		r.Class, c = "never listed", balance.Class{Idempotency: balance.NonIdempotent}
	}
	sim.requests[r.ID] = &simRequest{Request: r, class: c}
	sim.openIDs = append(sim.openIDs, r.ID)
	sim.balancer.Request(sim.now, r)
}

// step advances the time and reports the events of the new instant.
func (sim *simulation) step() {
	sim.now += max(sim.settings.TimerResolution, ms)
	for range sim.rng.IntN(4) {
		if !sim.isDraining {
			sim.request()
		}
	}
	if !sim.isDraining && sim.rng.IntN(40) == 0 {
		sim.changeList()
	}
	if !sim.isDraining && sim.rng.IntN(60) == 0 {
		sim.changeEjection()
	}
	dueTimers := 0
	for i := 0; i < len(sim.timers); i++ {
		if sim.timers[i] <= sim.now {
			sim.timers[i] = sim.timers[len(sim.timers)-1]
			sim.timers = sim.timers[:len(sim.timers)-1]
			i--
			dueTimers++
		}
	}
	for range dueTimers {
		sim.balancer.Timer(sim.now)
	}
	probedIDs := sim.probedIDs
	sim.probedIDs = nil
	for _, ep := range probedIDs {
		p := balance.ProbeResult{Endpoint: ep, Load: balance.Load{IsReported: true, Requests: float64(sim.rng.IntN(5))}}
		if sim.rng.IntN(6) == 0 {
			p.Result, p.Load.IsReported = balance.ConnectFailed, false
		}
		if sim.rng.IntN(20) > 0 { // one load probe in 20 gets no result
			sim.balancer.Probed(sim.now, p)
		}
	}
	remainingIDs := sim.openIDs[:0]
	for _, id := range sim.openIDs {
		req := sim.requests[id]
		if !sim.isDraining && !req.isFinished && sim.rng.IntN(400) == 0 {
			req.isFinished, req.balancerKnowsEnd = true, true
			sim.balancer.ClientDisconnected(sim.now, id)
		}
		hasAttemptInFlight := false
		for n, att := range req.attempts {
			if att.inFlight && att.endsAt <= sim.now {
				att.inFlight = false
				att.mayHaveRun = att.result != balance.Rejected && att.result != balance.ConnectFailed && att.result != balance.NotSent
				if att.result == balance.OK && !req.isFinished {
					req.isFinished = true
					sim.responseCounts[0]++
				}
				isFinal := req.isFinished
				req.balancerKnowsEnd = req.balancerKnowsEnd || isFinal
				sim.balancer.Outcome(sim.now, balance.Outcome{ID: id, AttemptNumber: n, Endpoint: att.endpoint.ID, Result: att.result,
					Latency: sim.now - att.sentAt, IsFinal: isFinal})
				if sim.rng.IntN(30) == 0 { // the balancer must ignore a second outcome
					sim.balancer.Outcome(sim.now, balance.Outcome{ID: id, AttemptNumber: n, Endpoint: att.endpoint.ID, Result: att.result,
						IsFinal: isFinal})
				}
			}
			hasAttemptInFlight = hasAttemptInFlight || att.inFlight
		}
		if !req.isFinished && sim.now > req.Deadline+deadlineSlack {
			sim.t.Fatalf("%v: no final response to %s, want it by its deadline %v", sim.now, id, req.Deadline)
		}
		if !req.isFinished || hasAttemptInFlight {
			remainingIDs = append(remainingIDs, id)
		}
	}
	sim.openIDs = remainingIDs
}

// newSimulation returns a simulation whose settings and events depend only on the seed.
func newSimulation(tb testing.TB, seed uint64) *simulation {
	tb.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	sim := &simulation{t: tb, rng: rng, now: time.Duration(1+rng.IntN(1000)) * time.Second,
		listed: map[string]balance.Endpoint{}, unavailableSince: map[string]time.Duration{},
		manuallyEjected: map[string]bool{}, slowStartSends: map[string][]time.Duration{}}
	sim.settings = balance.Settings{BalancerCount: 1 + rng.IntN(3), Tier: rng.IntN(2), TiersBelow: rng.IntN(3),
		MustSubscribe: rng.IntN(2) == 0, MaxSubscribeInterval: 10 * time.Second, MaxAttempts: 1 + rng.IntN(5),
		CanCancel: rng.IntN(4) > 0, CanProbe: rng.IntN(3) == 0,
		TimerResolution:   time.Duration(1+rng.IntN(5)) * ms,
		SlowStartCapacity: 0.3, SlowStartDuration: 9 * time.Second,
		Tenants: []balance.Tenant{{Name: "t0", Quota: 100}, {Name: "t1", Quota: 5}}}
	for i, idempotency := range []balance.Idempotency{balance.Idempotent, balance.IdempotencyKey, balance.IdempotencyKey,
		balance.IdempotencyKey, balance.NonIdempotent} {
		sim.settings.Classes = append(sim.settings.Classes, balance.Class{Name: "c" + strconv.Itoa(i), Idempotency: idempotency,
			DedupScope: balance.DedupScope(max(i-1, 0) % 3), DedupWindow: time.Duration(100+rng.IntN(400)) * ms, LatencyObjective: 400 * ms,
		})
	}
	for i := range 8 {
		id := "e" + strconv.Itoa(i)
		sim.listed[id] = balance.Endpoint{ID: id, Zone: "z" + strconv.Itoa(i%2), Kind: "k" + strconv.Itoa(i%3), Cell: i % 4}
	}
	sim.restart(seed)
	return sim
}

// runSimulation simulates random events for a number of steps, and then until all requests have ended. A violation of an
// invariant fails the test.
func runSimulation(tb testing.TB, seed uint64, steps int) *simulation {
	tb.Helper()
	sim := newSimulation(tb, seed)
	for i := range steps {
		sim.step()
		if i == steps/2 && seed%3 == 0 {
			sim.restart(seed + 1)
		}
	}
	sim.isDraining = true
	for range 3000 {
		if len(sim.openIDs) == 0 {
			break
		}
		sim.step()
	}
	if len(sim.openIDs) > 0 {
		tb.Fatalf("%d requests have not ended 3000 steps after the last new one", len(sim.openIDs))
	}
	return sim
}

func TestInvariantsHoldOnRandomEvents(t *testing.T) {
	var responses [3]int
	ejectionChanges := 0
	for seed := range uint64(60) {
		sim := runSimulation(t, seed, 1500)
		ejectionChanges += sim.ejectionChanges
		for i, n := range sim.responseCounts {
			responses[i] += n
		}
	}
	if ejectionChanges < 500 {
		t.Errorf("%d manual ejections and restorations were simulated, want at least 500", ejectionChanges)
	}
	for i, n := range responses {
		if n < 1000 {
			t.Errorf("%d final responses of kind %d (0: success, 1: rejection, 2: failure) were simulated, want at least 1000", n, i)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a, b := runSimulation(t, seed, 500).actions, runSimulation(t, seed, 500).actions
		if len(a) != len(b) || len(a) == 0 {
			t.Fatalf("seed %d: %d actions in one run and %d in the other, want the same number, not 0", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: action %d is %q in one run and %q in the other", seed, i, a[i], b[i])
			}
		}
	}
}

func FuzzInvariants(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Add(uint64(99), uint16(900))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { runSimulation(t, seed, int(steps)%1000) })
}
