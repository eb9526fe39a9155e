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

// sent is one attempt as the world sees it.
type sent struct {
	ep       balance.Endpoint
	at, ends time.Duration
	result   balance.Result
	out      bool
	ran      bool // ended, and nothing proves that it did not run
	canceled bool
}

// asked is one request as the world sees it.
type asked struct {
	balance.Request
	class    balance.Class
	attempts []*sent
	ended    bool // has its answer, or its client left
	told     bool // the balancer was told so, or did it itself, before the batch in hand
}

// world plays clients, discovery and endpoints against one balancer and watches the four rules.
type world struct {
	t        testing.TB
	rng      *rand.Rand
	s        balance.Settings
	now      time.Duration
	b        *balance.Balancer
	list     map[string]balance.Endpoint // as last told
	stopped  map[string]time.Duration    // when told of a drain or removal
	barred   map[string]bool             // out by hand
	bars     int
	requests map[string]*asked
	order    []string
	timers   []time.Duration
	probes   []string
	cold     map[string][]time.Duration // sends to cold endpoints
	next     int
	over     bool // nothing new comes
	sends    int
	answers  [3]int // served, refused, failed
	log      []string
}

func (w *world) Send(id, ep string, timeout time.Duration) {
	w.log = append(w.log, fmt.Sprintf("%v send %s %s", w.now, id, ep))
	q, e := w.requests[id], w.list[ep]
	if q == nil || e.ID == "" {
		w.t.Fatalf("%v: Send of %s to %s, one of them unknown", w.now, id, ep)
	}
	if q.told {
		w.t.Fatalf("%v: Send of %s, which has ended", w.now, id)
	}
	if at, ok := w.stopped[ep]; ok && w.now > at {
		w.t.Fatalf("%v: Send to %s, told to stop at %v", w.now, ep, at)
	}
	if w.barred[ep] {
		w.t.Fatalf("%v: Send to %s, which is out by hand", w.now, ep)
	}
	if w.s.MaxAttempts > 0 && len(q.attempts) >= w.s.MaxAttempts {
		w.t.Fatalf("%v: attempt %d of %s", w.now, len(q.attempts), id)
	}
	for _, a := range q.attempts {
		if a.out {
			w.t.Fatalf("%v: second copy of %s", w.now, id)
		}
		if !a.out && !a.ran || q.class.Effect == balance.Safe {
			continue
		}
		c := q.class
		if c.Effect == balance.Unsafe || w.now > a.at+c.Window || c.Group == balance.GroupZone && a.ep.Zone != e.Zone ||
			c.Group == balance.GroupCell && a.ep.Cell != e.Cell {
			w.t.Fatalf("%v: %s may take effect twice at %s", w.now, id, ep)
		}
	}
	if e.Started > 0 && w.now-e.Started < w.s.ColdFor {
		w.cold[ep] = append(w.cold[ep], w.now)
	}
	w.sends++
	a := &sent{ep: e, at: w.now, out: true, ends: w.now + time.Duration(1+w.rng.IntN(300))*ms}
	switch n := w.rng.IntN(20); {
	case n < 11:
		a.result = balance.OK
	case n == 11: // hangs
		a.result, a.ends = balance.TimedOut, w.now+timeout
	default:
		a.result = []balance.Result{balance.Errored, balance.Full, balance.ConnectFailed, balance.Reset,
			balance.NotSent, balance.OK, balance.TimedOut, balance.Errored}[n-12]
	}
	if a.ends > w.now+timeout {
		a.result, a.ends = balance.TimedOut, w.now+timeout
	}
	q.attempts = append(q.attempts, a)
}

func (w *world) Cancel(id string, n int) {
	if !w.s.MayCancel {
		w.t.Fatalf("%v: Cancel is not allowed", w.now)
	}
	q := w.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) {
		w.t.Fatalf("%v: Cancel of %s/%d, which was never sent", w.now, id, n)
	}
	if a := q.attempts[n]; a.out && !a.canceled {
		a.canceled = true
		if w.rng.IntN(4) > 0 || a.ends > w.now+50*ms { // else another outcome is on its way
			a.result, a.ends = balance.Canceled, w.now
		}
	}
}

func (w *world) Refuse(id string, _ time.Duration) {
	q := w.answer(id)
	w.answers[1]++
	for _, a := range q.attempts {
		if (a.out || a.ran) && (q.class.Effect == balance.Unsafe ||
			q.class.Effect == balance.Keyed && q.class.Group != balance.GroupAll) {
			w.t.Fatalf("%v: %s is refused though it may have run", w.now, id)
		}
	}
}

func (w *world) Fail(id string) {
	w.answer(id)
	w.answers[2]++
}

func (w *world) answer(id string) *asked {
	w.log = append(w.log, fmt.Sprintf("%v answer %s", w.now, id))
	q := w.requests[id]
	if q == nil || q.told {
		w.t.Fatalf("%v: a second answer to %s", w.now, id)
	}
	if !q.ended && w.now > q.Deadline+answerSlack {
		w.t.Fatalf("%v: a late answer to %s, due at %v", w.now, id, q.Deadline)
	}
	q.ended, q.told = true, true
	return q
}

func (w *world) Probe(ep string) {
	if !w.s.MayProbe {
		w.t.Fatalf("%v: Probe is not allowed", w.now)
	}
	if w.barred[ep] {
		w.t.Fatalf("%v: Probe of %s, which is out by hand", w.now, ep)
	}
	w.probes = append(w.probes, ep)
}
func (w *world) Idle(string) bool       { return w.rng.IntN(2) == 0 }
func (w *world) Subscribe()             {}
func (w *world) Timer(at time.Duration) { w.timers = append(w.timers, at) }
func (w *world) Log(string)             {}

// start begins a life of the balancer; what an earlier one held is lost.
func (w *world) start(seed uint64) {
	w.requests, w.order, w.timers, w.probes = map[string]*asked{}, nil, nil, nil
	w.s.Seed = seed
	w.b = balance.New(w.now, w.s, w)
	l := balance.List{Complete: true}
	for i := range 12 {
		if e, ok := w.list["e"+strconv.Itoa(i)]; ok && e.State != balance.Gone {
			l.Entries = append(l.Entries, e)
		}
	}
	w.b.EndpointList(w.now, l)
	for id := range w.barred {
		w.b.Bar(w.now, id, true)
	}
}

// bar takes an endpoint out by hand, or back, listed or not.
func (w *world) bar() {
	id := "e" + strconv.Itoa(w.rng.IntN(12))
	out := w.rng.IntN(2) == 0
	if delete(w.barred, id); out {
		w.barred[id] = true
	}
	w.bars++
	w.b.Bar(w.now, id, out)
	if out && !w.b.Knows(id) {
		w.t.Fatalf("%v: %s is out, and not known", w.now, id)
	}
	if listed, avoided := w.b.Census(); avoided > listed {
		w.t.Fatalf("%v: %d of %d are avoided", w.now, avoided, listed)
	}
}

func (w *world) change() {
	if w.rng.IntN(10) == 0 {
		w.b.EndpointList(w.now, balance.List{Failed: true})
		return
	}
	id := w.rng.IntN(12)
	e := balance.Endpoint{ID: "e" + strconv.Itoa(id), State: balance.State(w.rng.IntN(3)), Zone: "z" + strconv.Itoa(id%2),
		Kind: "k" + strconv.Itoa(id%3), Cell: id % 4}
	if w.rng.IntN(3) > 0 {
		e.State = balance.Ready
	}
	old, known := w.list[e.ID]
	if e.State == balance.Ready && (!known || old.State == balance.Gone || w.rng.IntN(3) == 0) {
		e.Started = w.now
	} else {
		e.Started = old.Started
	}
	if e.State == balance.Ready {
		delete(w.stopped, e.ID)
	} else if _, ok := w.stopped[e.ID]; !ok {
		w.stopped[e.ID] = w.now
	}
	w.list[e.ID] = e
	w.b.EndpointList(w.now, balance.List{Entries: []balance.Endpoint{e}})
}

func (w *world) call() {
	w.next++
	c := w.s.Classes[w.rng.IntN(len(w.s.Classes))]
	r := balance.Request{ID: "r" + strconv.Itoa(w.next), Class: c.Name, Tenant: "t" + strconv.Itoa(w.rng.IntN(3)),
		Deadline: w.now + time.Duration(w.rng.IntN(1500))*ms, Repeat: w.rng.IntN(5) == 0}
	if w.rng.IntN(30) == 0 {
		r.Class, c = "never listed", balance.Class{Effect: balance.Unsafe}
	}
	w.requests[r.ID] = &asked{Request: r, class: c}
	w.order = append(w.order, r.ID)
	w.b.Request(w.now, r)
}

// step plays one batch.
func (w *world) step() {
	w.now += max(w.s.Resolution, ms)
	for range w.rng.IntN(4) {
		if !w.over {
			w.call()
		}
	}
	if !w.over && w.rng.IntN(40) == 0 {
		w.change()
	}
	if !w.over && w.rng.IntN(60) == 0 {
		w.bar()
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
		w.b.Timer(w.now)
	}
	probes := w.probes
	w.probes = nil
	for _, ep := range probes {
		p := balance.ProbeResult{Endpoint: ep, Load: balance.Load{Known: true, Held: float64(w.rng.IntN(5))}}
		if w.rng.IntN(6) == 0 {
			p.Result, p.Load.Known = balance.ConnectFailed, false
		}
		if w.rng.IntN(20) > 0 { // some are lost
			w.b.Probed(w.now, p)
		}
	}
	kept := w.order[:0]
	for _, id := range w.order {
		q := w.requests[id]
		if !w.over && !q.ended && w.rng.IntN(400) == 0 {
			q.ended, q.told = true, true
			w.b.ClientLeft(w.now, id)
		}
		out := false
		for n, a := range q.attempts {
			if a.out && a.ends <= w.now {
				a.out, a.ran = false, a.result != balance.Full && a.result != balance.ConnectFailed && a.result != balance.NotSent
				if a.result == balance.OK && !q.ended {
					q.ended = true
					w.answers[0]++
				}
				final := q.ended
				q.told = q.told || final
				w.b.Outcome(w.now, balance.Outcome{ID: id, Attempt: n, Endpoint: a.ep.ID, Result: a.result,
					Took: w.now - a.at, Final: final})
				if w.rng.IntN(30) == 0 { // a host that reports twice must do no harm
					w.b.Outcome(w.now, balance.Outcome{ID: id, Attempt: n, Endpoint: a.ep.ID, Result: a.result, Final: final})
				}
			}
			out = out || a.out
		}
		if !q.ended && w.now > q.Deadline+answerSlack {
			w.t.Fatalf("%v: no answer to %s by %v", w.now, id, q.Deadline)
		}
		if !q.ended || out {
			kept = append(kept, id)
		}
	}
	w.order = kept
}

func newWorld(t testing.TB, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 2))
	w := &world{t: t, rng: rng, now: time.Duration(1+rng.IntN(1000)) * time.Second, list: map[string]balance.Endpoint{},
		stopped: map[string]time.Duration{}, barred: map[string]bool{}, cold: map[string][]time.Duration{}}
	w.s = balance.Settings{Balancers: 1 + rng.IntN(3), Tier: rng.IntN(2), TiersBelow: rng.IntN(3),
		MustSubscribe: rng.IntN(2) == 0, AskWithin: 10 * time.Second, MaxAttempts: 1 + rng.IntN(5),
		MayCancel: rng.IntN(4) > 0, MayProbe: rng.IntN(3) == 0,
		Resolution: time.Duration(1+rng.IntN(5)) * ms,
		ColdFrom:   0.3, ColdFor: 9 * time.Second,
		Tenants: []balance.Tenant{{Name: "t0", Quota: 100}, {Name: "t1", Quota: 5}}}
	for i, effect := range []balance.Effect{balance.Safe, balance.Keyed, balance.Keyed, balance.Keyed, balance.Unsafe} {
		w.s.Classes = append(w.s.Classes, balance.Class{Name: "c" + strconv.Itoa(i), Effect: effect,
			Group: balance.Group(max(i-1, 0) % 3), Window: time.Duration(100+rng.IntN(400)) * ms, Aim: 400 * ms,
		})
	}
	for i := range 8 {
		id := "e" + strconv.Itoa(i)
		w.list[id] = balance.Endpoint{ID: id, Zone: "z" + strconv.Itoa(i%2), Kind: "k" + strconv.Itoa(i%3), Cell: i % 4}
	}
	w.start(seed)
	return w
}

// play runs a random day of legal events; any broken rule is fatal.
func play(t testing.TB, seed uint64, steps int) *world {
	w := newWorld(t, seed)
	for i := range steps {
		w.step()
		if i == steps/2 && seed%3 == 0 {
			w.start(seed + 1)
		}
	}
	w.over = true
	for range 3000 { // let everything end
		if len(w.order) == 0 {
			break
		}
		w.step()
	}
	if len(w.order) > 0 {
		t.Fatalf("%d requests never ended", len(w.order))
	}
	return w
}

func TestRulesHoldOnRandomDays(t *testing.T) {
	var answers [3]int
	bars := 0
	for seed := range uint64(60) {
		w := play(t, seed, 1500)
		bars += w.bars
		for i, n := range w.answers {
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
		a, b := play(t, seed, 500).log, play(t, seed, 500).log
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

func FuzzRules(f *testing.F) {
	f.Add(uint64(1), uint16(300))
	f.Add(uint64(99), uint16(900))
	f.Fuzz(func(t *testing.T, seed uint64, steps uint16) { play(t, seed, int(steps)%1000) })
}
