package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

// deadlineSlack is how long after the deadline a final answer may come.
const deadlineSlack = 20 * ms

// simAttempt is an attempt as the simulation knows it.
type simAttempt struct {
	endpoint       balance.Endpoint
	sentAt, endsAt time.Duration
	result         balance.Result
	inFlight       bool
	mayHaveRun     bool // ended, and nothing proves that it did not run
	isCanceled     bool
}

// simRequest is a request as the simulation knows it.
type simRequest struct {
	balance.Request
	class            balance.Class
	attempts         []*simAttempt
	isFinished       bool // it has its answer, or its client has left
	balancerKnowsEnd bool // the balancer knows so, by an event or because it gave the answer
}

// simulation plays clients, discovery and endpoints against one balancer, and checks the rules of the platform: no
// attempt at an endpoint that is not available, one answer per request and in time, no second effect, nothing not permitted.
type simulation struct {
	t                testing.TB
	rng              *rand.Rand
	settings         balance.Settings
	now              time.Duration
	balancer         *balance.Balancer
	listed           map[string]balance.Endpoint // as listed last
	unavailableSince map[string]time.Duration    // when it was listed as draining or gone
	manuallyEjected  map[string]bool
	ejectionChanges  int
	requests         map[string]*simRequest
	openIDs          []string
	timers           []time.Duration
	probes           []string
	slowStartSends   map[string][]time.Duration // by endpoint, while it is warming up
	requestCount     int
	isDraining       bool // no new request, list or ejection
	sends            int
	responseCounts   [3]int // served, rejected, failed
	actions          []string
}

func (sim *simulation) Send(id, ep string, timeout time.Duration) {
	sim.actions = append(sim.actions, fmt.Sprintf("%v send %s %s", sim.now, id, ep))
	req, e := sim.requests[id], sim.listed[ep]
	if req == nil || e.ID == "" {
		sim.t.Fatalf("%v: Send of %s to %s, one of them unknown", sim.now, id, ep)
	}
	if req.balancerKnowsEnd {
		sim.t.Fatalf("%v: Send of %s, which has ended", sim.now, id)
	}
	if at, ok := sim.unavailableSince[ep]; ok && sim.now > at {
		sim.t.Fatalf("%v: Send to %s, unavailable since %v", sim.now, ep, at)
	}
	if sim.manuallyEjected[ep] {
		sim.t.Fatalf("%v: Send to %s, which is manually ejected", sim.now, ep)
	}
	if sim.settings.MaxAttempts > 0 && len(req.attempts) >= sim.settings.MaxAttempts {
		sim.t.Fatalf("%v: attempt %d of %s", sim.now, len(req.attempts), id)
	}
	for _, att := range req.attempts {
		if att.inFlight {
			sim.t.Fatalf("%v: second attempt in flight of %s", sim.now, id)
		}
		if !att.inFlight && !att.mayHaveRun || req.class.Idempotency == balance.Idempotent {
			continue
		}
		c := req.class
		if c.Idempotency == balance.NonIdempotent || sim.now > att.sentAt+c.DedupWindow ||
			c.DedupScope == balance.ScopeZone && att.endpoint.Zone != e.Zone ||
			c.DedupScope == balance.ScopeCell && att.endpoint.Cell != e.Cell {
			sim.t.Fatalf("%v: %s may take effect twice at %s", sim.now, id, ep)
		}
	}
	if e.Started > 0 && sim.now-e.Started < sim.settings.SlowStartDuration {
		sim.slowStartSends[ep] = append(sim.slowStartSends[ep], sim.now)
	}
	sim.sends++
	att := &simAttempt{endpoint: e, sentAt: sim.now, inFlight: true, endsAt: sim.now + time.Duration(1+sim.rng.IntN(300))*ms}
	switch n := sim.rng.IntN(20); {
	case n < 11:
		att.result = balance.OK
	case n == 11: // hangs
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
		sim.t.Fatalf("%v: Cancel is not allowed", sim.now)
	}
	req := sim.requests[id]
	if req == nil || n < 0 || n >= len(req.attempts) {
		sim.t.Fatalf("%v: Cancel of %s/%d, which was never sent", sim.now, id, n)
	}
	if att := req.attempts[n]; att.inFlight && !att.isCanceled {
		att.isCanceled = true
		if sim.rng.IntN(4) > 0 || att.endsAt > sim.now+50*ms { // else another outcome is on its way
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
			sim.t.Fatalf("%v: %s is rejected though it may have run", sim.now, id)
		}
	}
}

func (sim *simulation) Fail(id string) {
	sim.recordResponse(id)
	sim.responseCounts[2]++
}

func (sim *simulation) recordResponse(id string) *simRequest {
	sim.actions = append(sim.actions, fmt.Sprintf("%v answer %s", sim.now, id))
	req := sim.requests[id]
	if req == nil || req.balancerKnowsEnd {
		sim.t.Fatalf("%v: a second answer to %s", sim.now, id)
	}
	if !req.isFinished && sim.now > req.Deadline+deadlineSlack {
		sim.t.Fatalf("%v: a late answer to %s, due at %v", sim.now, id, req.Deadline)
	}
	req.isFinished, req.balancerKnowsEnd = true, true
	return req
}

func (sim *simulation) Probe(ep string) {
	if !sim.settings.CanProbe {
		sim.t.Fatalf("%v: Probe is not allowed", sim.now)
	}
	if sim.manuallyEjected[ep] {
		sim.t.Fatalf("%v: Probe of %s, which is manually ejected", sim.now, ep)
	}
	sim.probes = append(sim.probes, ep)
}
func (sim *simulation) HasIdleConnection(string) bool { return sim.rng.IntN(2) == 0 }
func (sim *simulation) Subscribe()                    {}
func (sim *simulation) Timer(at time.Duration)        { sim.timers = append(sim.timers, at) }
func (sim *simulation) Log(string)                    {}

// restart replaces the balancer; the requests of an earlier one are lost.
func (sim *simulation) restart(seed uint64) {
	sim.requests, sim.openIDs, sim.timers, sim.probes = map[string]*simRequest{}, nil, nil, nil
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

// changeEjection ejects an endpoint manually or restores it, listed or not.
func (sim *simulation) changeEjection() {
	id := "e" + strconv.Itoa(sim.rng.IntN(12))
	out := sim.rng.IntN(2) == 0
	if delete(sim.manuallyEjected, id); out {
		sim.manuallyEjected[id] = true
	}
	sim.ejectionChanges++
	sim.balancer.SetEjected(sim.now, id, out)
	if out && !sim.balancer.IsKnown(id) {
		sim.t.Fatalf("%v: %s is manually ejected, and not known", sim.now, id)
	}
	if listed, avoided := sim.balancer.EndpointCounts(); avoided > listed {
		sim.t.Fatalf("%v: %d of %d are ejected", sim.now, avoided, listed)
	}
}

func (sim *simulation) changeList() {
	if sim.rng.IntN(10) == 0 {
		sim.balancer.EndpointList(sim.now, balance.EndpointUpdate{Failed: true})
		return
	}
	id := sim.rng.IntN(12)
	e := balance.Endpoint{ID: "e" + strconv.Itoa(id), State: balance.State(sim.rng.IntN(3)), Zone: "z" + strconv.Itoa(id%2),
		Kind: "k" + strconv.Itoa(id%3), Cell: id % 4}
	if sim.rng.IntN(3) > 0 {
		e.State = balance.Ready
	}
	old, known := sim.listed[e.ID]
	if e.State == balance.Ready && (!known || old.State == balance.Gone || sim.rng.IntN(3) == 0) {
		e.Started = sim.now
	} else {
		e.Started = old.Started
	}
	if e.State == balance.Ready {
		delete(sim.unavailableSince, e.ID)
	} else if _, ok := sim.unavailableSince[e.ID]; !ok {
		sim.unavailableSince[e.ID] = sim.now
	}
	sim.listed[e.ID] = e
	sim.balancer.EndpointList(sim.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{e}})
}

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

// step plays the events of one instant.
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
	due := 0
	for i := 0; i < len(sim.timers); i++ {
		if sim.timers[i] <= sim.now {
			sim.timers[i] = sim.timers[len(sim.timers)-1]
			sim.timers = sim.timers[:len(sim.timers)-1]
			i--
			due++
		}
	}
	for range due {
		sim.balancer.Timer(sim.now)
	}
	probes := sim.probes
	sim.probes = nil
	for _, ep := range probes {
		p := balance.ProbeResult{Endpoint: ep, Load: balance.Load{Known: true, Requests: float64(sim.rng.IntN(5))}}
		if sim.rng.IntN(6) == 0 {
			p.Result, p.Load.Known = balance.ConnectFailed, false
		}
		if sim.rng.IntN(20) > 0 { // some are lost
			sim.balancer.Probed(sim.now, p)
		}
	}
	kept := sim.openIDs[:0]
	for _, id := range sim.openIDs {
		req := sim.requests[id]
		if !sim.isDraining && !req.isFinished && sim.rng.IntN(400) == 0 {
			req.isFinished, req.balancerKnowsEnd = true, true
			sim.balancer.ClientDisconnected(sim.now, id)
		}
		out := false
		for n, att := range req.attempts {
			if att.inFlight && att.endsAt <= sim.now {
				att.inFlight = false
				att.mayHaveRun = att.result != balance.Rejected && att.result != balance.ConnectFailed && att.result != balance.NotSent
				if att.result == balance.OK && !req.isFinished {
					req.isFinished = true
					sim.responseCounts[0]++
				}
				final := req.isFinished
				req.balancerKnowsEnd = req.balancerKnowsEnd || final
				sim.balancer.Outcome(sim.now, balance.Outcome{ID: id, Attempt: n, Endpoint: att.endpoint.ID, Result: att.result,
					Latency: sim.now - att.sentAt, IsFinal: final})
				if sim.rng.IntN(30) == 0 { // a second report must be ignored
					sim.balancer.Outcome(sim.now, balance.Outcome{ID: id, Attempt: n, Endpoint: att.endpoint.ID, Result: att.result,
						IsFinal: final})
				}
			}
			out = out || att.inFlight
		}
		if !req.isFinished && sim.now > req.Deadline+deadlineSlack {
			sim.t.Fatalf("%v: no answer to %s by %v", sim.now, id, req.Deadline)
		}
		if !req.isFinished || out {
			kept = append(kept, id)
		}
	}
	sim.openIDs = kept
}

// newSimulation makes a simulation whose settings and events depend on the seed alone.
func newSimulation(tb testing.TB, seed uint64) *simulation {
	tb.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	sim := &simulation{t: tb, rng: rng, now: time.Duration(1+rng.IntN(1000)) * time.Second,
		listed: map[string]balance.Endpoint{}, unavailableSince: map[string]time.Duration{},
		manuallyEjected: map[string]bool{}, slowStartSends: map[string][]time.Duration{}}
	sim.settings = balance.Settings{Balancers: 1 + rng.IntN(3), Tier: rng.IntN(2), TiersBelow: rng.IntN(3),
		MustSubscribe: rng.IntN(2) == 0, SubscribeWithin: 10 * time.Second, MaxAttempts: 1 + rng.IntN(5),
		CanCancel: rng.IntN(4) > 0, CanProbe: rng.IntN(3) == 0,
		TimerResolution:   time.Duration(1+rng.IntN(5)) * ms,
		SlowStartCapacity: 0.3, SlowStartDuration: 9 * time.Second,
		Tenants: []balance.Tenant{{Name: "t0", Quota: 100}, {Name: "t1", Quota: 5}}}
	for i, effect := range []balance.Idempotency{balance.Idempotent, balance.IdempotencyKey, balance.IdempotencyKey, balance.IdempotencyKey, balance.NonIdempotent} {
		sim.settings.Classes = append(sim.settings.Classes, balance.Class{Name: "c" + strconv.Itoa(i), Idempotency: effect,
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

// runSimulation plays random legal events; a broken rule is fatal.
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
	for range 3000 { // let everything end
		if len(sim.openIDs) == 0 {
			break
		}
		sim.step()
	}
	if len(sim.openIDs) > 0 {
		tb.Fatalf("%d requests never ended", len(sim.openIDs))
	}
	return sim
}

func TestInvariantsHoldOnRandomEvents(t *testing.T) {
	var answers [3]int
	ejectionChanges := 0
	for seed := range uint64(60) {
		sim := runSimulation(t, seed, 1500)
		ejectionChanges += sim.ejectionChanges
		for i, n := range sim.responseCounts {
			answers[i] += n
		}
	}
	if ejectionChanges < 500 {
		t.Errorf("only %d ejections or restorations: the events test too little", ejectionChanges)
	}
	for i, n := range answers {
		if n < 1000 {
			t.Errorf("only %d answers of kind %d: the events test too little", n, i)
		}
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a, b := runSimulation(t, seed, 500).actions, runSimulation(t, seed, 500).actions
		if len(a) != len(b) || len(a) == 0 {
			t.Fatalf("seed %d: %d and %d actions", seed, len(a), len(b))
		}
		for i := range a {
			if a[i] != b[i] {
				t.Fatalf("seed %d: %q, then %q", seed, a[i], b[i])
			}
		}
	}
}

func FuzzInvariants(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Add(uint64(99), uint16(900))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { runSimulation(t, seed, int(steps)%1000) })
}
