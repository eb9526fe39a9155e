package fleetsim

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/invariant"
)

// endpoint is a model of a server: cores, slots and a queue, cold after a start.
type endpoint struct {
	sim              *simulation
	id               string
	tier             int
	cell, zone       int
	kind             string
	speed            float64
	slowdown         float64       // times slower than it is
	startedAt        time.Duration // 0: long ago
	isUp, isIsolated bool
	isOverloaded     bool
	incarnation      int
	inFlight         int                 // in work or waiting
	openConnections  int                 // connections
	busyCores        int                 // cores
	cpuQueue         []func(done func()) // what waits for a core
	recentColdWork   []timedWork         // work that came lately, while cold
	ownSidecar       *sidecar            // its own; nil in the last tier
	listedState      balance.State
	isGone           bool // replaced: never comes back
}

type timedWork struct {
	at   time.Duration
	work float64
}

// addEndpoint makes an endpoint; started is its start, 0: long ago.
func (w *simulation) addEndpoint(tier, i int, started time.Duration) *endpoint {
	e := &endpoint{sim: w, id: fmt.Sprintf("t%d-%s", tier, w.nextName("e")), tier: tier, cell: i / cellSize, zone: i % zoneCount, kind: "std", speed: 0.95, slowdown: 1, startedAt: started, isUp: true}
	if w.rng.Float64() < 0.66 {
		e.kind, e.speed = "slow", 0.6
	}
	w.tiers[tier] = append(w.tiers[tier], e)
	e.recordStart()
	return e
}

func (e *endpoint) recordStart() {
	n := invariant.Event{Kind: invariant.NodeStarted, Node: e.id, Capacity: coresPerEndpoint * e.speed, ColdCapacityShare: 1}
	if e.startedAt > 0 {
		n.ColdCapacityShare, n.WarmUpDuration = e.sim.day.SlowStart.InitialCapacity, e.sim.day.SlowStart.Duration
	}
	e.sim.record(n)
}

// addOwnSidecar starts an endpoint's own sidecar, if it calls a further tier.
func (w *simulation) addOwnSidecar(e *endpoint) {
	if tiers[e.tier].calls == 0 {
		return
	}
	index := 0
	for i, o := range w.tiers[e.tier] {
		if o == e {
			index = i
		}
	}
	e.ownSidecar = w.newSidecar("s-"+e.id, e.tier+1, index)
	e.ownSidecar.start(balance.EndpointUpdate{})
}

func (e *endpoint) capacityFraction() float64 {
	if e.startedAt == 0 || e.sim.now-e.startedAt >= e.sim.day.SlowStart.Duration {
		return 1
	}
	return e.sim.day.SlowStart.InitialCapacity + (1-e.sim.day.SlowStart.InitialCapacity)*float64(e.sim.now-e.startedAt)/float64(e.sim.day.SlowStart.Duration)
}

// kill ends the process: what it has is gone, its connections are reset.
func (e *endpoint) kill() {
	if !e.isUp {
		return
	}
	e.isUp = false
	e.incarnation++
	e.inFlight, e.busyCores, e.openConnections, e.cpuQueue, e.recentColdWork = 0, 0, 0, nil, nil
	e.sim.record(invariant.Event{Kind: invariant.NodeStopped, Node: e.id})
	if e.ownSidecar != nil {
		e.ownSidecar.kill()
	}
	for _, s := range e.sim.sidecars {
		s.resetAttempts(e)
	}
}

// restart starts it again, cold.
func (e *endpoint) restart() {
	e.isUp, e.isOverloaded, e.startedAt = true, false, e.sim.now
	e.recordStart()
	if e.ownSidecar != nil {
		e.ownSidecar.start(e.ownSidecar.lastList)
	}
}

// receive takes an attempt whose last byte has come. end is told the result, unless the process dies before.
func (e *endpoint) receive(a *attempt, work float64, key string, end func(balance.Result)) {
	w, life := e.sim, e.incarnation
	w.record(invariant.Event{Kind: invariant.AttemptReceived, Request: a.request.id, Node: e.id, First: a.sentAt - epoch, Work: work, Cell: e.cell})
	w.result.Attempts[e.tier]++
	e.addColdWork(work)
	answer := func(r balance.Result, kind invariant.Kind) {
		if e.incarnation == life && e.isUp {
			w.record(invariant.Event{Kind: kind, Request: a.request.id, Node: e.id})
			end(r)
		}
	}
	if e.isOverloaded || e.inFlight >= maxInWork+maxQueued {
		answer(balance.Rejected, invariant.AttemptRejected)
		return
	}
	e.inFlight++
	repeat := e.isDuplicate(key)
	finish := func(r balance.Result) {
		if e.incarnation == life {
			e.inFlight--
			answer(r, invariant.AttemptCompleted)
		}
	}
	e.runOnCore(func(done func()) {
		w.record(invariant.Event{Kind: invariant.EffectStarted, Request: a.request.id, Node: e.id, Duplicate: repeat})
		if repeat {
			work = 0
		}
		w.schedule(time.Duration(work*e.slowdown/(e.speed*e.capacityFraction())*float64(time.Second)), func() {
			done()
			if e.incarnation != life {
				return
			}
			if repeat || e.ownSidecar == nil {
				finish(balance.OK)
				return
			}
			e.callTierBelow(a, key, tiers[e.tier].calls, finish)
		})
	})
}

// callTierBelow makes the calls to the tier below, one after another.
func (e *endpoint) callTierBelow(a *attempt, key string, left int, finish func(balance.Result)) {
	if left == 0 {
		finish(balance.OK)
		return
	}
	w, life := e.sim, e.incarnation
	c := classes[a.request.class]
	e.ownSidecar.accept(a.request.class, fmt.Sprint(key, ".", left), w.now+c.deadline, func(status int) {
		switch {
		case e.incarnation != life:
		case status == 200:
			e.callTierBelow(a, key, left-1, finish)
		default:
			finish(balance.ErrorResponse)
		}
	})
}

// runOnCore runs something once a core is free; it must call done.
func (e *endpoint) runOnCore(do func(done func())) {
	if e.busyCores >= coresPerEndpoint {
		e.cpuQueue = append(e.cpuQueue, do)
		return
	}
	e.busyCores++
	life := e.incarnation
	do(func() {
		if e.incarnation != life {
			return
		}
		e.busyCores--
		if len(e.cpuQueue) > 0 {
			next := e.cpuQueue[0]
			e.cpuQueue = e.cpuQueue[1:]
			e.runOnCore(next)
		}
	})
}

// isDuplicate tells whether the cell has seen a key within the window, and remembers it.
func (e *endpoint) isDuplicate(key string) bool {
	if key == "" {
		return false
	}
	at := fmt.Sprint(e.tier, " ", e.cell, " ", key)
	first, seen := e.sim.keysSeen[at]
	if seen && e.sim.now <= first+dedupWindow {
		return true
	}
	e.sim.keysSeen[at] = e.sim.now
	return false
}

// addColdWork counts work on a cold endpoint: too much of it pushes it over.
func (e *endpoint) addColdWork(work float64) {
	if e.capacityFraction() == 1 {
		return
	}
	e.recentColdWork = append(e.recentColdWork, timedWork{e.sim.now, work})
	for len(e.recentColdWork) > 0 && e.recentColdWork[0].at <= e.sim.now-e.sim.day.SlowStart.OverloadWindow {
		e.recentColdWork = e.recentColdWork[1:]
	}
	sum := 0.0
	for _, p := range e.recentColdWork {
		sum += p.work
	}
	limit := e.sim.day.SlowStart.OverloadFactor * e.capacityFraction() * coresPerEndpoint * e.speed * e.sim.day.SlowStart.OverloadWindow.Seconds()
	e.sim.result.PeakColdLoad = max(e.sim.result.PeakColdLoad, sum/limit)
	if sum > limit*(1+overloadTolerance) && !e.isOverloaded {
		e.isOverloaded = true
		e.sim.record(invariant.Event{Kind: invariant.NodeCollapsed, Node: e.id})
	}
}
