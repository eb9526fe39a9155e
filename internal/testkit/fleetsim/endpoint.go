package fleetsim

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/invariant"
)

// endpoint is a model of a server: cores, slots and a queue, cold after a start.
type endpoint struct {
	w          *world
	id         string
	tier       int
	cell, zone int
	kind       string
	speed      float64
	slow       float64       // times slower than it is
	startedAt  time.Duration // 0: long ago
	up, silent bool
	fell       bool
	life       int
	held       int                 // in work or waiting
	open       int                 // connections
	busy       int                 // cores
	ready      []func(done func()) // what waits for a core
	pressure   []pressed           // work that came lately, while cold
	below      *sidecar            // its own; nil in the last tier
	listed     balance.State
	gone       bool // replaced: never comes back
}

type pressed struct {
	at   time.Duration
	work float64
}

// add makes an endpoint; started is its start, 0: long ago.
func (w *world) add(tier, i int, started time.Duration) *endpoint {
	e := &endpoint{w: w, id: fmt.Sprintf("t%d-%s", tier, w.name("e")), tier: tier, cell: i / cellSize, zone: i % zones, kind: "std", speed: 0.95, slow: 1, startedAt: started, up: true}
	if w.rng.Float64() < 0.66 {
		e.kind, e.speed = "slow", 0.6
	}
	w.tiers[tier] = append(w.tiers[tier], e)
	e.noteStart()
	return e
}

func (e *endpoint) noteStart() {
	n := invariant.Event{Kind: invariant.NodeStarted, Node: e.id, Capacity: cores * e.speed, ColdCapacityFraction: 1}
	if e.startedAt > 0 {
		n.ColdCapacityFraction, n.WarmUpDuration = e.w.day.Cold.From, e.w.day.Cold.For
	}
	e.w.note(n)
}

// beside starts an endpoint's own sidecar, if it calls a further tier.
func (w *world) beside(e *endpoint) {
	if tiers[e.tier].calls == 0 {
		return
	}
	index := 0
	for i, o := range w.tiers[e.tier] {
		if o == e {
			index = i
		}
	}
	e.below = w.newSidecar("s-"+e.id, e.tier+1, index)
	e.below.start(balance.EndpointUpdate{})
}

func (e *endpoint) warmth() float64 {
	if e.startedAt == 0 || e.w.now-e.startedAt >= e.w.day.Cold.For {
		return 1
	}
	return e.w.day.Cold.From + (1-e.w.day.Cold.From)*float64(e.w.now-e.startedAt)/float64(e.w.day.Cold.For)
}

// die ends the process: what it has is gone, its connections are reset.
func (e *endpoint) die() {
	if !e.up {
		return
	}
	e.up = false
	e.life++
	e.held, e.busy, e.open, e.ready, e.pressure = 0, 0, 0, nil, nil
	e.w.note(invariant.Event{Kind: invariant.NodeStopped, Node: e.id})
	if e.below != nil {
		e.below.kill()
	}
	for _, s := range e.w.sidecars {
		s.reset(e)
	}
}

// rise starts it again, cold.
func (e *endpoint) rise() {
	e.up, e.fell, e.startedAt = true, false, e.w.now
	e.noteStart()
	if e.below != nil {
		e.below.start(e.below.known)
	}
}

// came takes an attempt whose last byte has come. end is told the result, unless the process dies before.
func (e *endpoint) came(a *attempt, work float64, key string, end func(balance.Result)) {
	w, life := e.w, e.life
	w.note(invariant.Event{Kind: invariant.AttemptReceived, Request: a.call.id, Node: e.id, FirstByteAt: a.sentAt - epoch, Work: work, Cell: e.cell})
	w.result.Attempts[e.tier]++
	e.press(work)
	answer := func(r balance.Result, kind invariant.Kind) {
		if e.life == life && e.up {
			w.note(invariant.Event{Kind: kind, Request: a.call.id, Node: e.id})
			end(r)
		}
	}
	if e.fell || e.held >= slots+queue {
		answer(balance.Rejected, invariant.AttemptRejected)
		return
	}
	e.held++
	repeat := e.repeated(key)
	finish := func(r balance.Result) {
		if e.life == life {
			e.held--
			answer(r, invariant.AttemptCompleted)
		}
	}
	e.core(func(done func()) {
		w.note(invariant.Event{Kind: invariant.EffectStarted, Request: a.call.id, Node: e.id, Duplicate: repeat})
		if repeat {
			work = 0
		}
		w.in(time.Duration(work*e.slow/(e.speed*e.warmth())*float64(time.Second)), func() {
			done()
			if e.life != life {
				return
			}
			if repeat || e.below == nil {
				finish(balance.OK)
				return
			}
			e.call(a, key, tiers[e.tier].calls, finish)
		})
	})
}

// call makes the calls to the tier below, one after another.
func (e *endpoint) call(a *attempt, key string, left int, finish func(balance.Result)) {
	if left == 0 {
		finish(balance.OK)
		return
	}
	w, life := e.w, e.life
	c := classes[a.call.class]
	e.below.take(a.call.class, fmt.Sprint(key, ".", left), w.now+c.deadline, func(status int) {
		switch {
		case e.life != life:
		case status == 200:
			e.call(a, key, left-1, finish)
		default:
			finish(balance.ErrorResponse)
		}
	})
}

// core runs something once a core is free; it must call done.
func (e *endpoint) core(do func(done func())) {
	if e.busy >= cores {
		e.ready = append(e.ready, do)
		return
	}
	e.busy++
	life := e.life
	do(func() {
		if e.life != life {
			return
		}
		e.busy--
		if len(e.ready) > 0 {
			next := e.ready[0]
			e.ready = e.ready[1:]
			e.core(next)
		}
	})
}

// repeated tells whether the cell has seen a key within the window, and remembers it.
func (e *endpoint) repeated(key string) bool {
	if key == "" {
		return false
	}
	at := fmt.Sprint(e.tier, " ", e.cell, " ", key)
	first, seen := e.w.seen[at]
	if seen && e.w.now <= first+keyWindow {
		return true
	}
	e.w.seen[at] = e.w.now
	return false
}

// press counts work on a cold endpoint: too much of it pushes it over.
func (e *endpoint) press(work float64) {
	if e.warmth() == 1 {
		return
	}
	e.pressure = append(e.pressure, pressed{e.w.now, work})
	for len(e.pressure) > 0 && e.pressure[0].at <= e.w.now-e.w.day.Cold.FallAfter {
		e.pressure = e.pressure[1:]
	}
	sum := 0.0
	for _, p := range e.pressure {
		sum += p.work
	}
	limit := e.w.day.Cold.FallMultiple * e.warmth() * cores * e.speed * e.w.day.Cold.FallAfter.Seconds()
	e.w.result.ColdMost = max(e.w.result.ColdMost, sum/limit)
	if sum > limit*(1+fallSlack) && !e.fell {
		e.fell = true
		e.w.note(invariant.Event{Kind: invariant.NodeCollapsed, Node: e.id})
	}
}
