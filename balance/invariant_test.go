package balance_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

const ms = time.Millisecond

// answerSlack is how long after the deadline a final answer may come.
const answerSlack = 20 * ms

// simAttempt is one attempt as the world sees it.
type simAttempt struct {
	endpoint       balance.Endpoint
	sentAt, endsAt time.Duration
	result         balance.Result
	inFlight       bool
	mayHaveRun     bool // ended, and nothing proves that it did not run
	isCanceled     bool
}

// simRequest is one request as the world sees it.
type simRequest struct {
	balance.Request
	class      balance.Class
	attempts   []*simAttempt
	isAnswered bool // has its answer, or its client left
	isReported bool // the balancer was told so, or did it itself, before the batch in hand
}

// simulation plays clients, discovery and endpoints against one balancer and watches the four rules.
type simulation struct {
	t                testing.TB
	rng              *rand.Rand
	settings         balance.Settings
	now              time.Duration
	balancer         *balance.Balancer
	listed           map[string]balance.Endpoint // as last told
	unavailableSince map[string]time.Duration    // when told of a drain or removal
	manuallyEjected  map[string]bool             // out by hand
	ejectionChanges  int
	requests         map[string]*simRequest
	openIDs          []string
	timers           []time.Duration
	probes           []string
	slowStartSends   map[string][]time.Duration // sends to cold endpoints
	requestCount     int
	isDraining       bool // nothing new comes
	sends            int
	answerCounts     [3]int // served, refused, failed
	actions          []string
}

func (w *simulation) Send(id, ep string, timeout time.Duration) {
	w.actions = append(w.actions, fmt.Sprintf("%v send %s %s", w.now, id, ep))
	q, e := w.requests[id], w.listed[ep]
	if q == nil || e.ID == "" {
		w.t.Fatalf("%v: Send of %s to %s, one of them unknown", w.now, id, ep)
	}
	if q.isReported {
		w.t.Fatalf("%v: Send of %s, which has ended", w.now, id)
	}
	if at, ok := w.unavailableSince[ep]; ok && w.now > at {
		w.t.Fatalf("%v: Send to %s, told to stop at %v", w.now, ep, at)
	}
	if w.manuallyEjected[ep] {
		w.t.Fatalf("%v: Send to %s, which is out by hand", w.now, ep)
	}
	if w.settings.MaxAttempts > 0 && len(q.attempts) >= w.settings.MaxAttempts {
		w.t.Fatalf("%v: attempt %d of %s", w.now, len(q.attempts), id)
	}
	for _, a := range q.attempts {
		if a.inFlight {
			w.t.Fatalf("%v: second copy of %s", w.now, id)
		}
		if !a.inFlight && !a.mayHaveRun || q.class.Effect == balance.Safe {
			continue
		}
		c := q.class
		if c.Effect == balance.Unsafe || w.now > a.sentAt+c.Window || c.Group == balance.GroupZone && a.endpoint.Zone != e.Zone ||
			c.Group == balance.GroupCell && a.endpoint.Cell != e.Cell {
			w.t.Fatalf("%v: %s may take effect twice at %s", w.now, id, ep)
		}
	}
	if e.Started > 0 && w.now-e.Started < w.settings.ColdFor {
		w.slowStartSends[ep] = append(w.slowStartSends[ep], w.now)
	}
	w.sends++
	a := &simAttempt{endpoint: e, sentAt: w.now, inFlight: true, endsAt: w.now + time.Duration(1+w.rng.IntN(300))*ms}
	switch n := w.rng.IntN(20); {
	case n < 11:
		a.result = balance.OK
	case n == 11: // hangs
		a.result, a.endsAt = balance.TimedOut, w.now+timeout
	default:
		a.result = []balance.Result{balance.Errored, balance.Full, balance.ConnectFailed, balance.Reset,
			balance.NotSent, balance.OK, balance.TimedOut, balance.Errored}[n-12]
	}
	if a.endsAt > w.now+timeout {
		a.result, a.endsAt = balance.TimedOut, w.now+timeout
	}
	q.attempts = append(q.attempts, a)
}

func (w *simulation) Cancel(id string, n int) {
	if !w.settings.MayCancel {
		w.t.Fatalf("%v: Cancel is not allowed", w.now)
	}
	q := w.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) {
		w.t.Fatalf("%v: Cancel of %s/%d, which was never sent", w.now, id, n)
	}
	if a := q.attempts[n]; a.inFlight && !a.isCanceled {
		a.isCanceled = true
		if w.rng.IntN(4) > 0 || a.endsAt > w.now+50*ms { // else another outcome is on its way
			a.result, a.endsAt = balance.Canceled, w.now
		}
	}
}

func (w *simulation) Refuse(id string, _ time.Duration) {
	q := w.answer(id)
	w.answerCounts[1]++
	for _, a := range q.attempts {
		if (a.inFlight || a.mayHaveRun) && (q.class.Effect == balance.Unsafe ||
			q.class.Effect == balance.Keyed && q.class.Group != balance.GroupAll) {
			w.t.Fatalf("%v: %s is refused though it may have run", w.now, id)
		}
	}
}

func (w *simulation) Fail(id string) {
	w.answer(id)
	w.answerCounts[2]++
}

func (w *simulation) answer(id string) *simRequest {
	w.actions = append(w.actions, fmt.Sprintf("%v answer %s", w.now, id))
	q := w.requests[id]
	if q == nil || q.isReported {
		w.t.Fatalf("%v: a second answer to %s", w.now, id)
	}
	if !q.isAnswered && w.now > q.Deadline+answerSlack {
		w.t.Fatalf("%v: a late answer to %s, due at %v", w.now, id, q.Deadline)
	}
	q.isAnswered, q.isReported = true, true
	return q
}

func (w *simulation) Probe(ep string) {
	if !w.settings.MayProbe {
		w.t.Fatalf("%v: Probe is not allowed", w.now)
	}
	if w.manuallyEjected[ep] {
		w.t.Fatalf("%v: Probe of %s, which is out by hand", w.now, ep)
	}
	w.probes = append(w.probes, ep)
}
func (w *simulation) Idle(string) bool       { return w.rng.IntN(2) == 0 }
func (w *simulation) Subscribe()             {}
func (w *simulation) Timer(at time.Duration) { w.timers = append(w.timers, at) }
func (w *simulation) Log(string)             {}

// restart begins a life of the balancer; what an earlier one held is lost.
func (w *simulation) restart(seed uint64) {
	w.requests, w.openIDs, w.timers, w.probes = map[string]*simRequest{}, nil, nil, nil
	w.settings.Seed = seed
	w.balancer = balance.New(w.now, w.settings, w)
	l := balance.List{Complete: true}
	for i := range 12 {
		if e, ok := w.listed["e"+strconv.Itoa(i)]; ok && e.State != balance.Gone {
			l.Entries = append(l.Entries, e)
		}
	}
	w.balancer.EndpointList(w.now, l)
	for id := range w.manuallyEjected {
		w.balancer.Bar(w.now, id, true)
	}
}

// changeEjection takes an endpoint out by hand, or back, listed or not.
func (w *simulation) changeEjection() {
	id := "e" + strconv.Itoa(w.rng.IntN(12))
	out := w.rng.IntN(2) == 0
	if delete(w.manuallyEjected, id); out {
		w.manuallyEjected[id] = true
	}
	w.ejectionChanges++
	w.balancer.Bar(w.now, id, out)
	if out && !w.balancer.Knows(id) {
		w.t.Fatalf("%v: %s is out, and not known", w.now, id)
	}
	if listed, avoided := w.balancer.Census(); avoided > listed {
		w.t.Fatalf("%v: %d of %d are avoided", w.now, avoided, listed)
	}
}

func (w *simulation) changeList() {
	if w.rng.IntN(10) == 0 {
		w.balancer.EndpointList(w.now, balance.List{Failed: true})
		return
	}
	id := w.rng.IntN(12)
	e := balance.Endpoint{ID: "e" + strconv.Itoa(id), State: balance.State(w.rng.IntN(3)), Zone: "z" + strconv.Itoa(id%2),
		Kind: "k" + strconv.Itoa(id%3), Cell: id % 4}
	if w.rng.IntN(3) > 0 {
		e.State = balance.Ready
	}
	old, known := w.listed[e.ID]
	if e.State == balance.Ready && (!known || old.State == balance.Gone || w.rng.IntN(3) == 0) {
		e.Started = w.now
	} else {
		e.Started = old.Started
	}
	if e.State == balance.Ready {
		delete(w.unavailableSince, e.ID)
	} else if _, ok := w.unavailableSince[e.ID]; !ok {
		w.unavailableSince[e.ID] = w.now
	}
	w.listed[e.ID] = e
	w.balancer.EndpointList(w.now, balance.List{Entries: []balance.Endpoint{e}})
}

func (w *simulation) request() {
	w.requestCount++
	c := w.settings.Classes[w.rng.IntN(len(w.settings.Classes))]
	r := balance.Request{ID: "r" + strconv.Itoa(w.requestCount), Class: c.Name, Tenant: "t" + strconv.Itoa(w.rng.IntN(3)),
		Deadline: w.now + time.Duration(w.rng.IntN(1500))*ms, Repeat: w.rng.IntN(5) == 0}
	if w.rng.IntN(30) == 0 {
		r.Class, c = "never listed", balance.Class{Effect: balance.Unsafe}
	}
	w.requests[r.ID] = &simRequest{Request: r, class: c}
	w.openIDs = append(w.openIDs, r.ID)
	w.balancer.Request(w.now, r)
}

// step plays one batch.
func (w *simulation) step() {
	w.now += max(w.settings.Resolution, ms)
	for range w.rng.IntN(4) {
		if !w.isDraining {
			w.request()
		}
	}
	if !w.isDraining && w.rng.IntN(40) == 0 {
		w.changeList()
	}
	if !w.isDraining && w.rng.IntN(60) == 0 {
		w.changeEjection()
	}
	due := 0
	for i := 0; i < len(w.timers); i++ {
		if w.timers[i] <= w.now {
			w.timers[i] = w.timers[len(w.timers)-1]
			w.timers = w.timers[:len(w.timers)-1]
			i--
			due++
		}
	}
	for range due {
		w.balancer.Timer(w.now)
	}
	probes := w.probes
	w.probes = nil
	for _, ep := range probes {
		p := balance.ProbeResult{Endpoint: ep, Load: balance.Load{Known: true, Held: float64(w.rng.IntN(5))}}
		if w.rng.IntN(6) == 0 {
			p.Result, p.Load.Known = balance.ConnectFailed, false
		}
		if w.rng.IntN(20) > 0 { // some are lost
			w.balancer.Probed(w.now, p)
		}
	}
	kept := w.openIDs[:0]
	for _, id := range w.openIDs {
		q := w.requests[id]
		if !w.isDraining && !q.isAnswered && w.rng.IntN(400) == 0 {
			q.isAnswered, q.isReported = true, true
			w.balancer.ClientLeft(w.now, id)
		}
		out := false
		for n, a := range q.attempts {
			if a.inFlight && a.endsAt <= w.now {
				a.inFlight, a.mayHaveRun = false, a.result != balance.Full && a.result != balance.ConnectFailed && a.result != balance.NotSent
				if a.result == balance.OK && !q.isAnswered {
					q.isAnswered = true
					w.answerCounts[0]++
				}
				final := q.isAnswered
				q.isReported = q.isReported || final
				w.balancer.Outcome(w.now, balance.Outcome{ID: id, Attempt: n, Endpoint: a.endpoint.ID, Result: a.result,
					Took: w.now - a.sentAt, Final: final})
				if w.rng.IntN(30) == 0 { // a host that reports twice must do no harm
					w.balancer.Outcome(w.now, balance.Outcome{ID: id, Attempt: n, Endpoint: a.endpoint.ID, Result: a.result, Final: final})
				}
			}
			out = out || a.inFlight
		}
		if !q.isAnswered && w.now > q.Deadline+answerSlack {
			w.t.Fatalf("%v: no answer to %s by %v", w.now, id, q.Deadline)
		}
		if !q.isAnswered || out {
			kept = append(kept, id)
		}
	}
	w.openIDs = kept
}

func newSimulation(t testing.TB, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 2))
	w := &simulation{t: t, rng: rng, now: time.Duration(1+rng.IntN(1000)) * time.Second, listed: map[string]balance.Endpoint{},
		unavailableSince: map[string]time.Duration{}, manuallyEjected: map[string]bool{}, slowStartSends: map[string][]time.Duration{}}
	w.settings = balance.Settings{Balancers: 1 + rng.IntN(3), Tier: rng.IntN(2), TiersBelow: rng.IntN(3),
		MustSubscribe: rng.IntN(2) == 0, AskWithin: 10 * time.Second, MaxAttempts: 1 + rng.IntN(5),
		MayCancel: rng.IntN(4) > 0, MayProbe: rng.IntN(3) == 0,
		Resolution: time.Duration(1+rng.IntN(5)) * ms,
		ColdFrom:   0.3, ColdFor: 9 * time.Second,
		Tenants: []balance.Tenant{{Name: "t0", Quota: 100}, {Name: "t1", Quota: 5}}}
	for i, effect := range []balance.Effect{balance.Safe, balance.Keyed, balance.Keyed, balance.Keyed, balance.Unsafe} {
		w.settings.Classes = append(w.settings.Classes, balance.Class{Name: "c" + strconv.Itoa(i), Effect: effect,
			Group: balance.Group(max(i-1, 0) % 3), Window: time.Duration(100+rng.IntN(400)) * ms, Aim: 400 * ms,
		})
	}
	for i := range 8 {
		id := "e" + strconv.Itoa(i)
		w.listed[id] = balance.Endpoint{ID: id, Zone: "z" + strconv.Itoa(i%2), Kind: "k" + strconv.Itoa(i%3), Cell: i % 4}
	}
	w.restart(seed)
	return w
}

// runSimulation runs a random day of legal events; any broken rule is fatal.
func runSimulation(t testing.TB, seed uint64, steps int) *simulation {
	w := newSimulation(t, seed)
	for i := range steps {
		w.step()
		if i == steps/2 && seed%3 == 0 {
			w.restart(seed + 1)
		}
	}
	w.isDraining = true
	for range 3000 { // let everything end
		if len(w.openIDs) == 0 {
			break
		}
		w.step()
	}
	if len(w.openIDs) > 0 {
		t.Fatalf("%d requests never ended", len(w.openIDs))
	}
	return w
}

func TestInvariantsHoldOnRandomEvents(t *testing.T) {
	var answers [3]int
	bars := 0
	for seed := range uint64(60) {
		w := runSimulation(t, seed, 1500)
		bars += w.ejectionChanges
		for i, n := range w.answerCounts {
			answers[i] += n
		}
	}
	if bars < 500 {
		t.Errorf("only %d endpoints were taken out or back: the days test too little", bars)
	}
	for i, n := range answers {
		if n < 1000 {
			t.Errorf("only %d answers of kind %d: the days test too little", n, i)
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
