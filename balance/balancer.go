package balance

// The decisions. The interface is in api.go, the state in state.go. The design is the round-robin rule of
// Cicconetti et al., "A Decentralized Framework for Serverless Edge Computing in the Internet of Things".
// A weight w is a stretch: latency over what calls like it take here when all is calm.

import (
	"fmt"
	"slices"
	"time"
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
