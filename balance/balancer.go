package balance

// The decisions. The interface is in api.go, the state in state.go. The design is the round-robin rule of
// Cicconetti et al., "A Decentralized Framework for Serverless Edge Computing in the Internet of Things".
// A weight w is a stretch: latency over what calls like it take here when all is calm.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	alpha       = 0.95                   // share of the old weight that a sample leaves, once there are many
	memory      = 10 * time.Second       // a sample this old counts 1/e: time counts, not only samples
	prior       = 3.0                    // samples that its kind's weight is worth beside an endpoint's own
	kindGain    = 0.03                   // gain of a kind's weight per answer
	factor      = 2.0                    // active while w is within this multiple of the smallest active w
	backoffMin  = 500 * time.Millisecond // until the first trial of a dropped endpoint, at least
	backoffMost = 8                      // longest backoff, in first backoffs
	penaltyMost = 20.0                   // largest stretch that one sample can show
	crowdCharge = 1.0                    // charge for each call still out, in weights, beside the deficit
	common      = 0.7                    // share of the smallest weight that is not the endpoints' own doing
	reuse       = 2.0                    // weights that an idle connection is worth: 4 made 1% late
	passedOver  = 0.5                    // turns that a probed endpoint loses for each call it holds
	lagMost     = 2.0                    // weights that an endpoint passed over for its crowd may fall behind
	late        = 3.0                    // an attempt out for this multiple of its expected time is overdue
	meanGain    = 0.05                   // gain of recent means per answer
	calmFall    = 0.02                   // gain of the calm latency per answer while the mean is below it
	calmRise    = 60 * time.Second       // over which it gives in to a higher mean
	calmFirst   = 1.5                    // seconds until calm is known: the first answers are the quick ones
	roomStart   = 6.0                    // calls out for each endpoint before anything is known
	roomCut     = 0.5                    // the room shrinks to this share at most, every half answer time
	roomMemory  = 2 * time.Second        // a stretch this old counts 1/e there
	crowded     = 1.6                    // stretch of recent answers from which it shrinks
	roomGrowth  = 0.2                    // it grows by this with each answer while it is used up,
	roomy       = 1.5                    // times what the stretch is short of this
	frontGrowth = 2.0                    // and so many times at the front, where callers are spread unevenly,
	calmly      = 1.3                    // while the stretch is under this
	wary        = 1.2                    // stretch from which room in use is pressure
	roomSample  = 3.0                    // stretch that one answer can show here
	overRoom    = 0.6                    // share of the room up to which over-share requests are let in
	allShares   = 1.3                    // or while requests come at this multiple of all quotas together
	clogged     = 1.4                    // parts of the room that one endpoint's calls can use up
	holdShare   = 0.05                   // share of the mean aim that a request waits here at most
	hopeless    = 0.6                    // share of the expected time that must be left, when room is short
	resendShare = 0.1                    // resends earned by each request
	resendMost  = 10.0                   // resends saved up at most
	blame       = 1.5                    // error share, over that of all, that makes errors an endpoint's own
	coldShare   = 1.5                    // calls to a cold endpoint, in shares of its warmth
	tableGap    = time.Second            // a table is so large that each endpoint in it is called this often,
	tableShare  = 12.0                   // that each endpoint is in the tables of this many callers,
	tableLeast  = 4.0                    // and no smaller than this
	rateLeast   = 0.2                    // sends a second: a caller is never taken to be quieter
	quotaBurst  = 1.0                    // seconds of a tenant's quota that may come at once
	retryAdvice = 300 * time.Millisecond // how long a refused client is asked to stay away
	probeWidth  = 3                      // endpoints probed for a request, where probing is allowed
	probeWait   = 5 * time.Millisecond   // how long a request waits for its probes
	probeFresh  = 10 * time.Millisecond  // how long a load report is believed
	logEvery    = 10 * time.Second       // between two log lines of one kind
	tableWhole  = 256                    // a table longer than this is picked from by samples
	sampleWidth = 16                     // endpoints in a sample, beside those used last: 8, 64 as even
	sampleKept  = 8                      // used last, that stay in samples for their idle connections
)

// EndpointList is membership. Nothing new goes to an endpoint from the event on that says it drains.
func (b *Balancer) EndpointList(now time.Duration, l List) {
	if l.Failed { // ask anew, each caller at its own moment, and in time to count as asking
		if b.s.MustSubscribe {
			b.askGap = min(max(2*b.askGap, backoffMin), max(b.s.AskWithin/2, backoffMin))
			b.askAt = now + b.jitter(b.askGap)
			b.wakeAt(b.askAt)
		}
		return
	}
	b.askGap, b.askAt = 0, 0
	first, was := len(b.endpoints) == 0, b.ready
	for _, e := range b.merge(l) {
		b.renew(now, e, first)
	}
	if first {
		b.room, was = roomStart*b.share(), 0
	}
	b.changed(now, was)
}

// changed follows a change of who may be used, before which there were so many.
func (b *Balancer) changed(now time.Duration, was int) {
	b.fill(now)
	if was > 0 && b.ready > 0 { // few that are left must not get the calls of many
		b.room *= float64(b.ready) / float64(was)
	}
	b.release(now)
	if b.shut() { // nobody else can free them in time: operators alone decide when
		for _, q := range slices.Clone(b.waiting) {
			b.end(now, q)
		}
		b.waiting = b.waiting[:0]
	}
}

// Bar takes an endpoint out by hand, or back. What it holds goes on to its end.
func (b *Balancer) Bar(now time.Duration, id string, out bool) {
	if b.barred[id] == out {
		return
	}
	if out {
		b.barred[id] = true
	} else {
		delete(b.barred, id)
	}
	e, was := b.byName[id], b.ready
	if e == nil {
		return
	}
	if e.barred = out; !out {
		e.returns++
		e.back, e.Started, e.trial, e.errors, e.held, e.heldAt = now, now, false, 0, 0, 0
		b.renew(now, e, false)
	}
	b.countReady()
	b.changed(now, was)
}

// count follows the rate of requests and, with it, how many endpoints the table is to have.
func (b *Balancer) count(now time.Duration) {
	b.asked.add(now)
	want := b.rate(now) * tableGap.Seconds()
	if want > 1.5*b.size || want < 0.5*b.size { // else it would change with each call
		b.size = want
		b.fill(now)
	}
}

// fill chooses the caller's table, the endpoints that it spreads its calls over. It guards against many quiet
// callers that meet each endpoint too seldom to know it, and open a connection for nearly every call. Tables
// are even steps through the list, sorted by kind and begun at the caller's own place: all endpoints get as
// many callers, all callers the same mix of kinds.
func (b *Balancer) fill(now time.Duration) {
	defer b.paceCold(now)
	b.recent, b.sampled, b.leastFor = b.recent[:0], b.sampled[:0], 0
	b.table = slices.DeleteFunc(slices.Clone(b.endpoints), func(e *endpoint) bool { return !e.usable() })
	n, callers := float64(len(b.table)), float64(max(b.s.Balancers, 1))
	size := math.Floor(max(b.size, tableLeast, tableShare*n/callers))
	if 2*size >= n {
		return
	}
	slices.SortFunc(b.table, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
	})
	place := min(float64(max(b.s.Index, 0))/callers, 1-1/callers)
	for i := range int(size) {
		b.table[i] = b.table[int((float64(i)+place)/size*n)]
	}
	b.table = b.table[:int(size)]
}

// renew puts a new or restarted endpoint outside the active set, its trial at a random moment of the caller's
// turn: all callers hear of it at once. What was warm before this balancer began is no newcomer.
func (b *Balancer) renew(now time.Duration, e *endpoint, first bool) {
	e.active = first && b.warmth(now, e) == 1
	e.backoff = b.firstBackoff(now)
	e.trialAt = now + seconds(b.rng.Float64()*b.turnGap(now).Seconds())
	e.sum, e.samples, e.deficit = 0, 0, b.rng.Float64()
	e.dropped, e.paced = false, false
}

// paceCold follows a change of the table. A cold endpoint that comes into it gets its first call at a random
// moment of the gap between two calls: when the list changes or callers restart, many tables take it in at
// once, and their first calls alone would overload it. Waits in progress are scaled with the length of a
// turn, which a restarted caller learns only from its first requests. Without an active endpoint nothing is
// put off.
func (b *Balancer) paceCold(now time.Duration) {
	turn := b.coldTurn(now)
	for _, e := range b.endpoints {
		if wait := (e.coldAt - now).Seconds(); wait > 0 && b.pacedTurn > 0 {
			e.coldAt = now + seconds(wait*turn/b.pacedTurn)
		}
	}
	b.pacedTurn = turn
	active, _, _ := b.actives()
	for _, e := range b.table {
		if active > 0 && !e.paced && b.warmth(now, e) < 1 {
			e.coldAt = max(e.coldAt, now+seconds(b.rng.Float64()*b.coldGap(now, e).Seconds()))
		}
	}
	for _, e := range b.endpoints {
		e.paced = false
	}
	for _, e := range b.table {
		e.paced = true
	}
}

// coldGap is the time between two sends to a cold endpoint, trials included, little more than a warm share of
// the caller's own traffic. It guards against all callers together pushing it over.
func (b *Balancer) coldGap(now time.Duration, e *endpoint) time.Duration {
	return seconds(b.coldTurn(now) / (b.warmth(now, e) * coldShare))
}

// coldTurn is the turn, in seconds, by which cold endpoints are paced: that of the requests admitted. What is
// refused for want of room reaches no endpoint, and its clients ask again and again.
func (b *Balancer) coldTurn(now time.Duration) float64 {
	return float64(len(b.table)) / max(b.admitted.perSecond(now, b.started), rateLeast)
}

// firstBackoff guards against quiet callers that crowd a dropped endpoint with nothing but trials.
func (b *Balancer) firstBackoff(now time.Duration) time.Duration {
	return max(backoffMin, b.turnGap(now))
}

// expected is what a request takes at a calm endpoint, in seconds: like is compared with like, by the class.
func (b *Balancer) expected(q *request) float64 {
	c := q.class
	if c.samples == 0 || c.calm <= 0 {
		return max(c.Aim.Seconds()/4, 0.001)
	}
	return c.calm
}

// learn updates what calls of the class take. Calm rises by time alone: an overload must not pass for calm.
func (c *class) learn(now time.Duration, q *request, took float64) {
	if c.samples++; c.samples == 1 {
		c.since = now
	}
	gap := now - c.at
	c.at = now
	if c.mean > 0 {
		took = min(took, penaltyMost*c.mean)
	}
	c.mean += (took - c.mean) * max(1/c.samples, meanGain)
	switch {
	case c.samples < 10 || (now-c.since).Seconds() < calmFirst:
		c.calm = c.mean
	case c.mean < c.calm:
		c.calm += (c.mean - c.calm) * calmFall
	default:
		c.calm += (c.mean - c.calm) * min(gap.Seconds()/calmRise.Seconds(), 1)
	}
}

// Request is admission: refuse at once what cannot be in time, or is over its tenant's share while room
// is short or, with answers that stretch, more is asked than all shares together (quiet callers see that
// before endpoints are full; by itself it may mean that the front gives this caller more than others); else
// send it, or hold it until there is room.
func (b *Balancer) Request(now time.Duration, r Request) {
	c := b.classes[r.Class]
	if c == nil { // a class that nobody listed: never repeated, nor kept, for ever new ones may come
		c = &class{Class: Class{Effect: Unsafe, Aim: max(r.Deadline-now, 0)}}
	}
	b.count(now)
	q := &request{Request: r, class: c, arrived: now, spot: len(b.live)}
	b.due(q, r.Deadline)
	b.requests[r.ID], b.live = q, append(b.live, q)
	b.budget = min(b.budget+resendShare, resendMost)
	over := b.overShare(now, q)
	used := float64(b.out) > overRoom*b.room && b.stretch > wary
	pressed := len(b.waiting) > 0 || used || b.stretch > wary && b.rate(now) > allShares*b.quota
	if now >= q.giveUp || b.shut() || pressed && over || len(b.waiting) > 0 && !b.inTime(now, q, hopeless) {
		b.end(now, q)
		return
	}
	if !b.s.MayProbe || !b.probe(now, q) {
		b.dispatch(now, q)
	}
	b.wakeAt(b.lookAt(q))
}

// overShare charges a request to its tenant's quota and tells whether it is beyond. Only the first tier can
// tell: further down one request becomes several calls.
func (b *Balancer) overShare(now time.Duration, q *request) bool {
	t := b.tenants[q.Tenant]
	if t == nil || t.Quota <= 0 || b.s.Tier > 0 {
		return false
	}
	rate := t.Quota / float64(max(b.s.Balancers, 1))
	t.tokens = min(t.tokens+rate*(now-t.at).Seconds(), max(rate*quotaBurst, 1))
	t.at = now
	if t.tokens < 1 {
		return true
	}
	if !q.Repeat { // the first try has paid
		t.tokens--
	}
	return false
}

// resize moves the room for calls out: down while it is used and recent answers stretch, up while it is used
// up and they hardly do. It guards against endpoints tipped into a slow state and late answers. Quiet callers
// have few answers to go by, and seldom a call out: the latest count most, and the one that came in as well.
func (b *Balancer) resize(now time.Duration, stretch float64) {
	gain := 1 - math.Exp(-(now-b.resizedAt).Seconds()/roomMemory.Seconds())
	b.resizedAt = now
	b.stretch += (min(stretch, roomSample) - b.stretch) * max(gain, meanGain)
	switch {
	case b.stretch > crowded && float64(b.out+1) > overRoom*b.room && now >= b.cutAt:
		b.room = max(min(b.room, float64(b.out+1))*max(roomCut, crowded/b.stretch), b.share())
		b.cutAt = now + seconds(b.stretch*b.typical()/2)
	case float64(b.out+2) > b.room:
		growth := roomGrowth
		if b.s.Tier == 0 && b.stretch < calmly {
			growth *= frontGrowth
		}
		b.room += growth * max(roomy-b.stretch, 0)
	}
}

// probe asks the endpoints that are next in turn for their load, and holds the request for the answers.
func (b *Balancer) probe(now time.Duration, q *request) bool {
	var next [probeWidth + 1]*endpoint // in order of deficit; the last place is for what falls out
	for _, e := range b.table {
		if b.allowed(now, q, e) && (e.active || !e.trial && now >= e.trialAt) {
			i := probeWidth
			for ; i > 0 && (next[i-1] == nil || e.deficit < next[i-1].deficit); i-- {
				next[i] = next[i-1]
			}
			next[i] = e
		}
	}
	for _, e := range next[:probeWidth] {
		if e != nil {
			b.host.Probe(e.ID)
			q.probing = append(q.probing, e)
		}
	}
	q.probeEnd = now + probeWait
	return len(q.probing) > 0
}

// Probed takes an endpoint's load and lets the requests go that waited for it.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	e := b.byName[p.Endpoint]
	if e == nil {
		return
	}
	if p.Result != OK && e.active {
		b.drop(now, e)
	} else if p.Load.Known {
		e.held, e.heldAt = p.Load.Held, now
		b.held += (p.Load.Held - b.held) * meanGain
	}
	for _, q := range slices.Clone(b.live) {
		if i := slices.Index(q.probing, e); i >= 0 {
			if q.probing = slices.Delete(q.probing, i, i+1); len(q.probing) == 0 {
				b.dispatch(now, q)
			}
		}
	}
}

// allowed tells whether an endpoint may get this request: ready, within a cold one's share, no second effect.
func (b *Balancer) allowed(now time.Duration, q *request, e *endpoint) bool {
	return e.usable() &&
		(now >= e.coldAt || b.warmth(now, e) == 1) && b.mayResend(now, q, e)
}

// mayResend is the rule against double effects.
func (b *Balancer) mayResend(now time.Duration, q *request, e *endpoint) bool {
	for i := range q.attempts {
		a, c := &q.attempts[i], q.class
		if a.out {
			return false
		}
		if !a.mayRun || c.Effect == Safe {
			continue
		}
		if c.Effect == Unsafe || now+2*b.s.Resolution >= a.sent+c.Window ||
			c.Group == GroupZone && a.e.Zone != e.Zone || c.Group == GroupCell && a.e.Cell != e.Cell {
			return false
		}
	}
	return true
}

// mayRefuse tells whether "trying again is harmless" is true. Of a request whose body flows nothing is left
// to doubt: there it is true only if no attempt can have run.
func (q *request) mayRefuse() bool {
	harmless := q.class.Effect == Safe || q.class.Effect == Keyed && q.class.Group == GroupAll
	return harmless && q.Flow == 0 ||
		!slices.ContainsFunc(q.attempts, func(a attempt) bool { return a.out || a.mayRun })
}

// pick chooses: a due trial, else the lowest deficit, with none active the trial due soonest. Calls still
// out, here or as probed, are charged on top, so that a crowd or a hang is seen before its answers are.
func (b *Balancer) pick(now time.Duration, q *request, among []*endpoint) *endpoint {
	var trial, turn, soonest *endpoint
	lowest, active := math.Inf(1), false
	for _, e := range among {
		active = active || e.active
		switch {
		case !b.allowed(now, q, e):
		case e.active:
			key := b.turn(e) + crowdCharge*e.w()*b.holds(now, e)
			if q.tried(e) {
				key += penaltyMost
			}
			if key < lowest {
				turn, lowest = e, key
			}
		case !e.trial:
			if soonest == nil || e.trialAt < soonest.trialAt {
				soonest = e
			}
			if now >= e.trialAt && !q.tried(e) && (trial == nil || e.trialAt < trial.trialAt) {
				trial = e
			}
		}
	}
	switch {
	case trial != nil:
		return trial
	case active:
		return turn
	}
	return soonest
}

// pickAmong picks from the table, or where that is long from a sample of it, so that a pick does not cost
// more the more endpoints there are. Each endpoint is sampled many times for each of its turns, so turns stay
// even. The whole table is gone through only where nothing in the sample is due.
func (b *Balancer) pickAmong(now time.Duration, q *request) *endpoint {
	among := b.among()
	if e := b.pick(now, q, among); len(among) == len(b.table) || e != nil && (e.active || now >= e.trialAt) {
		return e
	}
	return b.pick(now, q, b.table)
}

// turn is the deficit that counts for a pick: less where a connection stands idle, so that a few turns follow
// one another there. It guards against connections that don't last to the endpoint's next turn, whoever
// ends them (the endpoint, its idle limit, something between that forgets them), and against opening one more
// where several are called at once. All keep their turns in the long run. It could do harm where turns in
// a row crowd an endpoint: the charge for calls out is on top.
func (b *Balancer) turn(e *endpoint) float64 {
	if b.host.Idle(e.ID) {
		return e.deficit - reuse*e.w()
	}
	return e.deficit
}

// pickIdle chooses where few endpoints use up the room, from those that hold less than their part of it. It
// guards against one that is slow or has stopped: its calls would take all the room, and new ones and those
// that are well would stand idle until it answers. Where all have much in hand there is none to choose.
func (b *Balancer) pickIdle(now time.Duration, q *request) *endpoint {
	part, used := b.room/float64(max(len(b.table), 1)), 0.0
	for _, e := range b.table {
		used += min(float64(e.inFlight), max(clogged*part, 1))
	}
	if used >= b.room {
		return nil
	}
	return b.pick(now, q, slices.DeleteFunc(slices.Clone(b.table), func(e *endpoint) bool {
		return float64(e.inFlight) >= part || !e.active && now < e.trialAt
	}))
}

// holds is what an endpoint is taken to have in hand: what its probe said, else what is out from here or, if
// more, what probes say on the whole. An endpoint that was not asked must not pass for an idle one.
func (b *Balancer) holds(now time.Duration, e *endpoint) float64 {
	if e.probed(now) {
		return e.held
	}
	return max(float64(e.inFlight), b.held) + float64(e.flows)
}

// dispatch sends a request to the endpoint picked, or holds it. Resends are not held back for room.
func (b *Balancer) dispatch(now time.Duration, q *request) {
	if len(q.attempts) > 0 || len(b.waiting) == 0 || q.held {
		var e *endpoint
		if len(q.attempts) > 0 || float64(b.out) < b.room {
			e = b.pickAmong(now, q)
		} else {
			e = b.pickIdle(now, q)
		}
		if e == nil && len(q.attempts) > 0 { // a repeat may be bound to endpoints outside the table
			e = b.pick(now, q, b.endpoints)
		}
		if e != nil {
			b.send(now, q, e)
			return
		}
	}
	if !q.held {
		q.held, b.waiting = true, append(b.waiting, q)
	}
	b.wakeAt(b.lookAt(q))
	for _, e := range b.endpoints {
		if e.coldAt > now {
			b.wakeAt(e.coldAt)
		}
	}
}

// release sends held requests while there is room, oldest first.
func (b *Balancer) release(now time.Duration) {
	full := false
	for _, q := range b.waiting {
		if q.held && (!full || len(q.attempts) > 0) {
			b.dispatch(now, q)
			full = full || q.held && len(q.attempts) == 0
		}
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(q *request) bool { return !q.held })
}

// send charges the endpoint for its turn.
func (b *Balancer) send(now time.Duration, q *request, e *endpoint) {
	took, w := b.expected(q), e.w()
	if b.warmth(now, e) < 1 {
		e.coldAt = now + b.coldGap(now, e)
	}
	if e.active {
		turn := b.turn(e)
		charge := w
		if b.s.TiersBelow > 0 { // slow machines must not pass for fast ones by the time that tiers below take
			charge -= common * min(b.smallest(), w)
		}
		e.deficit += charge * took / b.typical()
		for _, o := range b.passed() { // one passed over for its crowd must not get all of it back at once,
			o.deficit = max(o.deficit, turn-lagMost*w)
			if o != e && o.probed(now) { // nor be next in turn, and probed, again and again
				o.deficit = max(o.deficit, turn+passedOver*w*o.held)
			}
		}
	}
	b.used(e)
	if len(q.attempts) == 0 {
		b.admitted.add(now)
	}
	a := attempt{e: e, returns: e.returns, sent: now, waits: now, out: true, flows: q.Flow > 0}
	a.trial = !e.active
	a.overdueAt = b.overdueFrom(now, q, e)
	e.trial = a.trial
	b.tally(&a, 1)
	q.attempts, q.held, q.probing = append(q.attempts, a), false, nil
	b.wakeAt(a.overdueAt)
	b.host.Send(q.ID, e.ID, max(q.Deadline-now, q.Flow-now, time.Microsecond))
}

// overdueFrom is when an attempt that waits for its endpoint from now on has been out for too long.
func (b *Balancer) overdueFrom(now time.Duration, q *request, e *endpoint) time.Duration {
	return now + max(seconds(late*max(e.w(), 1)*b.expected(q)), 3*b.s.Resolution)
}

// holdEnd ends the wait for room, alike for all classes: else those with the shortest aim starve in overload.
func (b *Balancer) holdEnd(q *request) time.Duration {
	switch {
	case len(q.attempts) > 0:
		return q.giveUp
	case b.ready == 0: // whoever comes first may still answer in time
		return q.giveUp - seconds(b.expected(q))
	}
	return min(q.giveUp, q.arrived+seconds(holdShare*b.aim))
}

// Outcome takes the sample of an attempt's end and decides whether the request goes out again.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	q := b.requests[o.ID]
	a := q.attempt(o.Attempt)
	if a == nil {
		return
	}
	a.out, a.mayRun = false, o.Result.MayHaveRun()
	b.tally(a, -1)
	q.spent = q.spent || o.Spent
	if !a.streams {
		if q.Flow > 0 { // what the body took to come is the client's
			o.Took = now - a.waits
		}
		b.judge(now, q, a, told(o), o.Took)
	}
	switch {
	case q.done || o.Final || o.Result == OK:
		b.close(q)
	case q.held:
	case b.mayTry(now, q) && slices.ContainsFunc(b.endpoints, func(e *endpoint) bool {
		return e.usable() && b.mayResend(now, q, e)
	}):
		if o.Result != ConnectFailed { // costs the endpoints nothing
			b.budget--
		}
		b.dispatch(now, q)
	default:
		b.end(now, q)
	}
	b.release(now)
}

// mayTry tells whether limit, time and budget allow one more attempt. Resends must not multiply over tiers.
func (b *Balancer) mayTry(now time.Duration, q *request) bool {
	return !q.spent && (b.s.MaxAttempts <= 0 || len(q.attempts) < b.s.MaxAttempts) &&
		b.budget >= 1 && b.inTime(now, q, 1)
}

// inTime tells whether an attempt sent now can still bring an answer that counts.
func (b *Balancer) inTime(now time.Duration, q *request, share float64) bool {
	return now+seconds(b.expected(q)*b.smallest()*share) <= q.giveUp
}

// end gives the final answer: refused if that is true, else failed.
func (b *Balancer) end(now time.Duration, q *request) {
	if q.held && len(q.attempts) == 0 && float64(b.out) < b.room { // for want of an endpoint
		b.admitted.add(now)
	}
	if q.mayRefuse() {
		b.host.Refuse(q.ID, min(b.jitter(retryAdvice), b.s.MaxRetryAfter))
	} else {
		b.host.Fail(q.ID)
	}
	b.close(q)
}

// told is what an outcome tells of the endpoint: nothing, if a connection broke that had served before. An
// endpoint may close what stands idle just as it is used again; if it went down, new connections fail.
func told(o Outcome) Result {
	if o.Result == Reset && o.Reused {
		return NotSent
	}
	return o.Result
}

// judge turns an outcome into a sample.
func (b *Balancer) judge(now time.Duration, q *request, a *attempt, r Result, took time.Duration) {
	e, stretch, failed := a.e, min(took.Seconds()/b.expected(q), penaltyMost), r != OK
	if a.returns != e.returns { // the one that it tells of is no more
		return
	}
	b.errors -= b.errors * meanGain
	e.errors -= e.errors * meanGain
	switch r {
	case OK:
		e.answeredAt = now
		q.class.learn(now, q, took.Seconds())
		b.resize(now, stretch)
		e.kind.learn(stretch)
	case Errored:
		b.errors += meanGain
		e.errors += meanGain
		if failed = b.s.TiersBelow == 0 || e.errors > blame*b.errors; !failed {
			r = NotSent // the tier below fails for all alike: says nothing of this endpoint, good or bad
		}
	case Reset: // it went down: cold when it answers again
		e.Started = max(e.Started, now)
	}
	if r == Canceled || r == NotSent { // no sample, but a trial called off because it was overdue has failed
		if a.trial {
			e.trial = false
			b.backOff(now, e, a.overdue)
		}
		return
	}
	if failed {
		stretch = min(max(stretch, (q.Deadline-a.waits).Seconds()/b.expected(q)), penaltyMost)
	}
	if a.trial {
		b.tryOver(now, e, stretch, failed)
	} else {
		b.sample(now, e, stretch)
	}
}

// w is the endpoint's weight: what its kind usually takes, moved by what it took itself. Alone, a quiet
// caller's few samples cannot tell a slow machine from a heavy call.
func (e *endpoint) w() float64 { return e.kind.w * (prior + e.sum) / (prior + e.samples) }

// sample smooths the weight and drops the endpoint if it left the factor.
func (b *Balancer) sample(now time.Duration, e *endpoint, stretch float64) {
	old := min(math.Exp(-(now-e.sampledAt).Seconds()/memory.Seconds()), 1-1/(1/(1-alpha)-prior))
	e.sum, e.samples, e.sampledAt = e.sum*old+stretch/e.kind.w, e.samples*old+1, now
	if e.active && e.w() > factor*b.smallest() {
		b.drop(now, e)
	}
}

func (b *Balancer) drop(now time.Duration, e *endpoint) {
	e.active, e.dropped, e.backoff = false, true, b.firstBackoff(now)
	b.backOff(now, e, false)
}

// backOff sets the next trial, after twice the wait if the last one failed.
func (b *Balancer) backOff(now time.Duration, e *endpoint, failed bool) {
	if failed {
		e.dropped = true
		e.backoff = min(2*e.backoff, backoffMost*b.firstBackoff(now))
	}
	e.trialAt = now + b.jitter(e.backoff)
}

// tryOver ends a trial: back among the active, or out for twice as long.
func (b *Balancer) tryOver(now time.Duration, e *endpoint, stretch float64, failed bool) {
	e.trial, e.sum, e.samples, e.sampledAt = false, stretch/e.kind.w, 1, now
	n, w, least := b.actives()
	if failed || n > 0 && e.w() > factor*w {
		b.backOff(now, e, true)
		return
	}
	for _, o := range b.table {
		o.deficit -= least
	}
	e.active, e.dropped, e.deficit = true, false, e.w()
}

// tick looks after what time alone changes.
func (b *Balancer) tick(now time.Duration) {
	if b.askAt > 0 && now >= b.askAt {
		b.askAt = 0
		b.host.Subscribe()
	}
	for _, q := range slices.Clone(b.live) {
		if now >= q.ends() || q.held && now >= b.holdEnd(q) {
			if len(q.attempts) == 0 {
				b.log(now, "full", fmt.Sprintf("no endpoint has room, %d requests wait", len(b.waiting)))
			}
			b.end(now, q)
			continue
		}
		if len(q.probing) > 0 && now >= q.probeEnd {
			q.probing = nil
			b.dispatch(now, q)
		}
		for i := range q.attempts {
			if q.attempts[i].out && now >= q.attempts[i].overdueAt {
				b.overdue(now, q, i)
			}
		}
	}
	b.release(now)
}

// overdue takes an attempt that is out too long as a sample of at least its age. An endpoint that has
// answered nothing since is dropped: a hang shows after a few answer times, not a time-out.
func (b *Balancer) overdue(now time.Duration, q *request, i int) {
	a := &q.attempts[i]
	e, silent := a.e, a.e.answeredAt < a.waits
	a.overdue, a.overdueAt = true, now+(now-a.waits)
	if a.flows { // its time says nothing, and a trial would keep others out for as long as it lasts
		if a.trial {
			a.trial, e.trial = false, false
			b.backOff(now, e, false)
		}
		return
	}
	if a.returns != e.returns {
		return
	}
	if e.active {
		b.sample(now, e, min((now-a.waits).Seconds()/b.expected(q), penaltyMost))
		if e.active && silent {
			b.log(now, "silent", e.ID+" answers nothing and gets trials only")
			b.drop(now, e)
		}
	}
}
