package balance

// What a Balancer remembers, the measures read off it, and bookkeeping. No decision is made in this file.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const logEvery = 10 * time.Second // between two log lines of one kind

// endpoint is all that is known of one endpoint.
type endpoint struct {
	Endpoint
	kind         *kind
	active       bool
	deficit      float64       // charged turns
	sum, samples float64       // smoothed samples over the kind's weight, and how many they are worth
	sampledAt    time.Duration // latest sample
	answeredAt   time.Duration // latest answer
	backoff      time.Duration // wait between trials
	barred       bool          // out by hand
	back         time.Duration // instant at which it was given back; 0: it was not out
	returns      int           // how often that happened
	dropped      bool          // not active by what it showed: it was dropped, or failed a trial
	trialAt      time.Duration // next trial, while not active
	trial        bool          // the single trial is out
	inFlight     int           // attempts out that wait for it
	flows        int           // attempts out whose bodies flow, up or down
	errors       float64       // share of recent outcomes that are errors
	coldAt       time.Duration // next send, while cold
	paced        bool          // was in the table at its latest change
	held         float64       // load that the latest probe reported
	heldAt       time.Duration
}

// kind pools what the endpoints of one kind show.
type kind struct{ w, samples float64 }

// class is what calls of one class usually take.
type class struct {
	Class
	since      time.Duration // first answer
	samples    float64
	calm, mean float64 // seconds for a call: when all is calm, and lately
	at         time.Duration
}

// tenant is what a tenant may still send within its share.
type tenant struct {
	Tenant
	tokens float64
	at     time.Duration
}

// attempt is one Send.
type attempt struct {
	e               *endpoint
	returns         int // the endpoint's, when it was sent: what was sent before tells nothing of it
	sent, overdueAt time.Duration
	waits           time.Duration // for the endpoint, since then
	out             bool          // no outcome yet
	mayRun          bool          // ended, and may have run
	trial           bool
	overdue         bool // out for longer than expected
	streams         bool // belongs to the client
	flows           bool // its body flows, up or down
}

// request is all that is known of one request.
type request struct {
	Request
	class    *class
	arrived  time.Duration
	giveUp   time.Duration // end of its use, or of the time for an answer
	attempts []attempt
	done     bool        // has its final answer
	held     bool        // waits for room
	probing  []*endpoint // probes awaited
	probeEnd time.Duration
	spot     int  // in Balancer.live
	spent    bool // can't be sent again
}

// Balancer decides for one caller. New makes one.
type Balancer struct {
	s         Settings
	host      Host
	rng       *rand.Rand
	classes   map[string]*class
	tenants   map[string]*tenant
	kinds     map[string]*kind
	byName    map[string]*endpoint
	endpoints []*endpoint // in order of first mention
	table     []*endpoint // of them, those that this caller spreads its calls over
	sampled   []*endpoint // of a long table, those that the latest pick chose among
	recent    []*endpoint // of a long table, those used last
	least     float64     // smallest active weight of a long table, lately
	leastFor  int         // times that least may still be used
	ready     int         // of them, neither draining nor gone
	requests  map[string]*request
	live      []*request // without a final answer
	waiting   []*request // held, in order of arrival
	wake      time.Duration
	askAt     time.Duration // next ask of discovery; 0: none due
	askGap    time.Duration
	aim       float64 // mean aim of the classes, in seconds
	out       int     // attempts out that wait for an endpoint
	room      float64 // how many may be
	stretch   float64 // of recent answers
	cutAt     time.Duration
	resizedAt time.Duration
	pacedTurn float64 // seconds of a turn, as of the latest change of the table
	budget    float64 // resends saved up
	errors    float64 // share of recent outcomes that are errors
	held      float64 // mean load that probes report
	started   time.Duration
	asked     rateCounter // requests
	admitted  rateCounter // of them, those sent, and those that lacked an endpoint rather than room
	quota     float64     // of all tenants, for this caller alone
	size      float64     // wanted size of the table
	logged    map[string]time.Duration
	barred    map[string]bool // ids that are out by hand, listed or not
}

var _ Events = (*Balancer)(nil)

// New returns a Balancer that starts at now with no knowledge but its settings.
func New(now time.Duration, s Settings, h Host) *Balancer {
	b := &Balancer{s: s, host: h, rng: rand.New(rand.NewPCG(s.Seed, 1)), started: now, asked: rateCounter{at: now}, admitted: rateCounter{at: now}, budget: resendMost / 2, stretch: 1,
		classes: map[string]*class{}, tenants: map[string]*tenant{}, kinds: map[string]*kind{},
		byName: map[string]*endpoint{}, requests: map[string]*request{}, logged: map[string]time.Duration{}, barred: map[string]bool{}}
	for _, c := range s.Classes {
		b.classes[c.Name] = &class{Class: c}
		b.aim += c.Aim.Seconds() / float64(len(s.Classes))
	}
	for _, t := range s.Tenants {
		b.quota += t.Quota / float64(max(s.Balancers, 1))
		b.tenants[t.Name] = &tenant{Tenant: t, tokens: t.Quota / float64(max(s.Balancers, 1)), at: now}
	}
	if s.MustSubscribe {
		h.Subscribe()
	}
	return b
}

// Timer implements Events. Timers cannot be withdrawn: one that is not the next wake is stale.
func (b *Balancer) Timer(now time.Duration) {
	if b.wake != 0 && now >= b.wake {
		b.wake = 0
		b.tick(now)
		if b.askAt > 0 {
			b.wakeAt(b.askAt)
		}
		for _, q := range b.live {
			b.wakeAt(b.lookAt(q))
		}
	}
}

// lookAt is when tick has to look at a request again.
func (b *Balancer) lookAt(q *request) time.Duration {
	at := q.ends()
	if q.held {
		at = b.holdEnd(q)
	}
	if len(q.probing) > 0 {
		at = min(at, q.probeEnd)
	}
	for i := range q.attempts {
		if q.attempts[i].out {
			at = min(at, q.attempts[i].overdueAt)
		}
	}
	return at
}

// merge applies what discovery says to the endpoints and returns those that are new or have restarted.
func (b *Balancer) merge(l List) []*endpoint {
	var started []*endpoint
	if l.Complete {
		for _, e := range b.endpoints {
			e.State = Gone
		}
	}
	for _, in := range l.Entries {
		e := b.byName[in.ID]
		if e == nil {
			e = &endpoint{barred: b.barred[in.ID]}
			b.byName[in.ID], b.endpoints = e, append(b.endpoints, e)
		}
		in.Started = max(in.Started, e.back) // of a restart by hand the list may hear late
		if e.kind == nil || in.Started > e.Started {
			started = append(started, e)
		}
		e.Endpoint = in
		if e.kind = b.kinds[in.Kind]; e.kind == nil {
			e.kind = &kind{w: 1}
			b.kinds[in.Kind] = e.kind
		}
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		if e.State == Gone {
			delete(b.byName, e.ID)
		}
		return e.State == Gone
	})
	b.countReady()
	return started
}

// countReady counts the endpoints that may be used.
func (b *Balancer) countReady() {
	b.ready = 0
	for _, e := range b.endpoints {
		if e.usable() {
			b.ready++
		}
	}
}

// usable tells whether anything new may go to an endpoint at all.
func (e *endpoint) usable() bool { return e.State == Ready && !e.barred }

// shut tells whether all endpoints that could be used are out by hand.
func (b *Balancer) shut() bool {
	return b.ready == 0 && len(b.barred) > 0 && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool { return e.State == Ready })
}

// Knows implements Events.
func (b *Balancer) Knows(id string) bool { return b.barred[id] || b.byName[id] != nil }

// Census implements Events.
func (b *Balancer) Census() (listed, avoided int) {
	for _, e := range b.endpoints {
		if e.barred || e.dropped && !e.active {
			avoided++
		}
	}
	return len(b.endpoints), avoided
}

// actives counts the active endpoints and gives their smallest weight, 1 if there are none, and their lowest
// deficit.
func (b *Balancer) actives() (n int, w, deficit float64) {
	for _, e := range b.table {
		if !e.active || !e.usable() {
			continue
		}
		if n == 0 || e.w() < w {
			w = e.w()
		}
		if n == 0 || e.deficit < deficit {
			deficit = e.deficit
		}
		n++
	}
	if n == 0 {
		w = 1
	}
	return n, w, deficit
}

// Share implements Events. Nobody gains at once by a change: what a tenant has saved shrinks with its part, and grows at the
// new rate.
func (b *Balancer) Share(now time.Duration, balancers, index int) {
	was, is := float64(max(b.s.Balancers, 1)), float64(max(balancers, 1))
	if was == is && b.s.Index == index {
		return
	}
	b.s.Balancers, b.s.Index = balancers, index
	b.quota *= was / is
	for _, t := range b.tenants {
		t.tokens = (t.tokens + t.Quota/was*(now-t.at).Seconds()) * min(was/is, 1)
		t.at = now
	}
	b.fill(now)
}

// share is how many endpoints there are for this caller alone. Behind the first tier callers are many and each has
// little to send: there it is all of them.
func (b *Balancer) share() float64 {
	n := float64(len(b.endpoints))
	if b.s.Tier == 0 {
		n /= float64(max(b.s.Balancers, 1))
	}
	return max(n, 1)
}

// smallest is the smallest active weight. That of a long table is looked up only now and then, so that it costs no more
// than a pick: in between an endpoint has a sample or two.
func (b *Balancer) smallest() float64 {
	if len(b.table) <= tableWhole {
		_, w, _ := b.actives()
		return w
	}
	if b.leastFor <= 0 {
		_, b.least, _ = b.actives()
		b.leastFor = len(b.table) / sampleWidth
	}
	b.leastFor--
	return b.least
}

// among is what a pick chooses from: the table, or a new sample of a long one.
func (b *Balancer) among() []*endpoint {
	if len(b.table) <= tableWhole {
		return b.table
	}
	b.sampled = append(b.sampled[:0], b.recent...)
	for range sampleWidth {
		b.sampled = append(b.sampled, b.table[b.rng.IntN(len(b.table))])
	}
	return b.sampled
}

// passed is what the latest pick chose among.
func (b *Balancer) passed() []*endpoint {
	if len(b.table) <= tableWhole {
		return b.table
	}
	return b.sampled
}

// used notes a send to an endpoint of a long table.
func (b *Balancer) used(e *endpoint) {
	if len(b.table) <= tableWhole || slices.Contains(b.recent, e) {
		return
	}
	if len(b.recent) == sampleKept {
		b.recent = slices.Delete(b.recent, 0, 1)
	}
	b.recent = append(b.recent, e)
}

// typical is what a call takes when all is calm, in seconds, over the classes seen; 1 before any was.
func (b *Balancer) typical() float64 {
	sum, n := 0.0, 0.0
	for i := range b.s.Classes {
		c := b.classes[b.s.Classes[i].Name]
		sum, n = sum+c.calm*c.samples, n+c.samples
	}
	if sum <= 0 {
		return 1
	}
	return sum / n
}

// attempt returns attempt n if it is out, else nil.
func (q *request) attempt(n int) *attempt {
	if q == nil || n < 0 || n >= len(q.attempts) || !q.attempts[n].out {
		return nil
	}
	return &q.attempts[n]
}

// BodySent implements Events: from now on the attempt is like any other that waits for its endpoint.
func (b *Balancer) BodySent(now time.Duration, id string, n int, deadline time.Duration) {
	q := b.requests[id]
	if a := q.attempt(n); a != nil && a.flows && !a.streams {
		b.tally(a, -1)
		a.flows, a.waits = false, now
		b.tally(a, 1)
		b.due(q, deadline)
		a.overdueAt = b.overdueFrom(now, q, a.e)
		b.wakeAt(b.lookAt(q))
	}
}

// StreamStarted implements Events: the attempt is the client's, and no limit of time runs any more.
func (b *Balancer) StreamStarted(now time.Duration, id string, n int) {
	if q := b.requests[id]; q != nil {
		if a := q.attempt(n); a != nil {
			b.judge(now, q, a, OK, now-a.waits)
			b.tally(a, -1)
			a.streams, a.flows = true, true
			b.tally(a, 1)
			b.close(q)
			b.release(now)
		}
	}
}

// tally takes an attempt into the counts, or out of them. Bodies that flow use none of the room: that is for calls
// that are over in an answer's time, and would stay used up for as long as a few transfers last.
func (b *Balancer) tally(a *attempt, by int) {
	if a.flows {
		a.e.flows += by
		return
	}
	a.e.inFlight += by
	b.out += by
}

// due sets when a request's client stops waiting.
func (b *Balancer) due(q *request, deadline time.Duration) {
	q.Deadline, q.giveUp = deadline, deadline-max(b.s.Resolution, time.Millisecond)
}

// ends is when a request that is out is given up: not by its deadline while its body still flows in.
func (q *request) ends() time.Duration {
	for i := range q.attempts {
		if a := &q.attempts[i]; a.out && a.flows && !a.streams {
			return max(q.Flow, q.giveUp)
		}
	}
	return q.giveUp
}

// ClientLeft implements Events.
func (b *Balancer) ClientLeft(now time.Duration, id string) {
	if q := b.requests[id]; q != nil && !q.done {
		b.close(q)
		b.release(now)
	}
}

// close takes a request that is answered off the books and calls off what is still out for it.
func (b *Balancer) close(q *request) {
	if !q.done {
		q.done, q.held, q.probing = true, false, nil
		last := len(b.live) - 1
		b.live[q.spot] = b.live[last]
		b.live[q.spot].spot = q.spot
		b.live[last] = nil
		b.live = b.live[:last]
		for i := range q.attempts {
			if a := &q.attempts[i]; a.out && !a.streams && b.s.MayCancel {
				b.host.Cancel(q.ID, i)
			}
		}
	}
	if q.outs() == 0 {
		delete(b.requests, q.ID)
	}
}

// probed tells whether a load report is fresh.
func (e *endpoint) probed(now time.Duration) bool { return e.heldAt > 0 && now-e.heldAt <= probeFresh }

// outs counts the attempts that are out.
func (q *request) outs() int {
	n := 0
	for i := range q.attempts {
		if q.attempts[i].out {
			n++
		}
	}
	return n
}

// tried tells whether an attempt went to the endpoint.
func (q *request) tried(e *endpoint) bool {
	return slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.e == e })
}

// wakeAt makes sure that tick runs at the instant given.
func (b *Balancer) wakeAt(at time.Duration) {
	if b.wake == 0 || at < b.wake {
		b.wake = at
		b.host.Timer(at)
	}
}

// jitter keeps balancers that see the same from acting at the same moment.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}

// log writes at most one line of a kind every logEvery.
func (b *Balancer) log(now time.Duration, kind, text string) {
	if at, ok := b.logged[kind]; !ok || now-at >= logEvery {
		b.logged[kind] = now
		b.host.Log(kind + ": " + text)
	}
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// warmth is the least share of its capacity that an endpoint has by now.
func (b *Balancer) warmth(now time.Duration, e *endpoint) float64 {
	if e.Started <= 0 || now-e.Started >= b.s.ColdFor {
		return 1
	}
	age := float64(max(now-e.Started, 0)) / float64(b.s.ColdFor)
	return max(b.s.ColdFrom+(1-b.s.ColdFrom)*age, 0.05)
}

// turnGap is the time between two calls of this balancer to one endpoint when all get the same.
func (b *Balancer) turnGap(now time.Duration) time.Duration {
	return seconds(float64(len(b.table)) / max(b.rate(now), rateLeast))
}

// rate is how many requests a second come, of late.
func (b *Balancer) rate(now time.Duration) float64 { return b.asked.perSecond(now, b.started) }

// rateCounter counts events that fade with memory.
type rateCounter struct {
	count float64 // as of at
	at    time.Duration
}

func (r *rateCounter) add(now time.Duration) {
	r.count, r.at = r.count*faded(now-r.at)+1, now
}

// perSecond is the rate of late. There were no events before the start: that must not count.
func (r *rateCounter) perSecond(now, started time.Duration) float64 {
	return r.count * faded(now-r.at) / ((1 - faded(now-started+time.Second)) * memory.Seconds())
}

// faded is what is left of a count after a time.
func faded(d time.Duration) float64 { return math.Exp(-d.Seconds() / memory.Seconds()) }
