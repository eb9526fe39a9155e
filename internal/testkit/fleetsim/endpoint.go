package fleetsim

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/invariant"
)

// endpoint is a model of a server that has cores and a queue, and that warms up after a start.
type endpoint struct {
	sim              *simulation
	id               string
	tier             int
	cell             int // number of the endpoint's cell; the endpoints of a cell drop duplicates of requests that the cell has received
	zone             int
	kind             string              // kind of machine, as discovery reports it
	speed            float64             // speed of each core; work is given in seconds of a core of speed 1
	slowdown         float64             // factor by which a fault makes work take longer; 1 without a fault
	startedAt        time.Duration       // virtual time of the latest start; 0: before the simulation, so that the endpoint is fully warmed up
	isUp             bool                // whether the endpoint's process runs
	isIsolated       bool                // whether messages to and from the endpoint are lost, though its process runs
	isOverloaded     bool                // whether too much work while warming up has overloaded the endpoint, which then rejects all requests until it restarts
	incarnation      int                 // number of times that the endpoint's process was killed; a callback with an older number belongs to an earlier process
	inFlightRequests int                 // number of requests that the endpoint works on or has queued
	openConnections  int                 // number of open connections from all sidecars
	busyCores        int                 // number of cores in use, at most coresPerEndpoint
	cpuQueue         []func(done func()) // tasks that wait for a core, oldest first; see runOnCore
	recentColdWork   []timedWork         // work that the endpoint received while it was warming up, within the latest SlowStart.OverloadWindow
	ownSidecar       *sidecar            // sidecar through which the endpoint calls the tier below; nil in the last tier
	listedState      balance.State       // state that discovery lists for the endpoint
	isGone           bool                // whether the endpoint has been replaced, so that discovery does not list it any more
}

// timedWork is the work of one attempt, with the virtual time at which the endpoint received it.
type timedWork struct {
	at   time.Duration
	work float64 // CPU time in seconds of a core of speed 1
}

// addEndpoint adds the endpoint with the given index to a tier. startedAt is the time of its start; 0 means that it is fully warmed up.
func (sim *simulation) addEndpoint(tier, index int, startedAt time.Duration) *endpoint {
	e := &endpoint{sim: sim, id: fmt.Sprintf("t%d-%s", tier, sim.nextName("e")), tier: tier, cell: index / cellSize, zone: index % zoneCount, kind: "std", speed: 0.95, slowdown: 1, startedAt: startedAt, isUp: true}
	if sim.rng.Float64() < 0.66 {
		e.kind, e.speed = "slow", 0.6
	}
	sim.tiers[tier] = append(sim.tiers[tier], e)
	e.recordStart()
	return e
}

// recordStart records the start of the endpoint in the timeline.
func (e *endpoint) recordStart() {
	event := invariant.Event{Kind: invariant.NodeStarted, Node: e.id, Capacity: coresPerEndpoint * e.speed, ColdCapacityFraction: 1}
	if e.startedAt > 0 {
		event.ColdCapacityFraction, event.WarmUpDuration = e.sim.day.SlowStart.InitialCapacity, e.sim.day.SlowStart.Duration
	}
	e.sim.record(event)
}

// addOwnSidecar adds and starts the sidecar of an endpoint, if the endpoint calls a tier below.
func (sim *simulation) addOwnSidecar(e *endpoint) {
	if tiers[e.tier].callsPerRequest == 0 {
		return
	}
	index := 0
	for i, other := range sim.tiers[e.tier] {
		if other == e {
			index = i
		}
	}
	e.ownSidecar = sim.newSidecar("s-"+e.id, e.tier+1, index)
	e.ownSidecar.start(balance.EndpointUpdate{})
}

// capacityFraction returns the fraction of its full capacity that the endpoint has now: 1 once it is warmed up.
func (e *endpoint) capacityFraction() float64 {
	slowStart := e.sim.day.SlowStart
	if e.startedAt == 0 || e.sim.now-e.startedAt >= slowStart.Duration {
		return 1
	}
	return slowStart.InitialCapacity + (1-slowStart.InitialCapacity)*float64(e.sim.now-e.startedAt)/float64(slowStart.Duration)
}

// kill kills the processes of the endpoint and of its sidecar. The endpoint's requests are lost and its connections reset.
func (e *endpoint) kill() {
	if !e.isUp {
		return
	}
	e.isUp = false
	e.incarnation++
	e.inFlightRequests, e.busyCores, e.openConnections, e.cpuQueue, e.recentColdWork = 0, 0, 0, nil, nil
	e.sim.record(invariant.Event{Kind: invariant.NodeStopped, Node: e.id})
	if e.ownSidecar != nil {
		e.ownSidecar.kill()
	}
	for _, s := range e.sim.sidecars {
		s.resetAttempts(e)
	}
}

// restart starts a new process of the endpoint, which has to warm up, and of its sidecar, which keeps its endpoint list.
func (e *endpoint) restart() {
	e.isUp, e.isOverloaded, e.startedAt = true, false, e.sim.now
	e.recordStart()
	if e.ownSidecar != nil {
		e.ownSidecar.start(e.ownSidecar.lastList)
	}
}

// receive handles an attempt that has arrived completely. It calls onResult with the result, unless the endpoint's process
// is killed before the result is known.
func (e *endpoint) receive(a *attempt, work float64, key string, onResult func(balance.Result)) {
	sim, incarnation := e.sim, e.incarnation
	sim.record(invariant.Event{Kind: invariant.AttemptReceived, Request: a.request.id, Node: e.id, FirstByteAt: a.sentAt - epoch, Work: work, Cell: e.cell})
	sim.result.Attempts[e.tier]++
	e.addColdWork(work)
	respond := func(result balance.Result, kind invariant.Kind) {
		if e.incarnation == incarnation && e.isUp {
			sim.record(invariant.Event{Kind: kind, Request: a.request.id, Node: e.id})
			onResult(result)
		}
	}
	if e.isOverloaded || e.inFlightRequests >= maxConcurrentRequests+maxQueuedRequests {
		respond(balance.Rejected, invariant.AttemptRejected)
		return
	}
	e.inFlightRequests++
	isDuplicate := e.recordKey(key)
	finish := func(result balance.Result) {
		if e.incarnation == incarnation {
			e.inFlightRequests--
			respond(result, invariant.AttemptCompleted)
		}
	}
	e.runOnCore(func(done func()) {
		sim.record(invariant.Event{Kind: invariant.EffectStarted, Request: a.request.id, Node: e.id, IsDuplicate: isDuplicate})
		if isDuplicate {
			work = 0
		}
		sim.schedule(time.Duration(work*e.slowdown/(e.speed*e.capacityFraction())*float64(time.Second)), func() {
			done()
			if e.incarnation != incarnation {
				return
			}
			if isDuplicate || e.ownSidecar == nil {
				finish(balance.OK)
				return
			}
			e.callTierBelow(a, key, tiers[e.tier].callsPerRequest, finish)
		})
	})
}

// callTierBelow sends callsLeft requests to the tier below, one after another, and calls finish with balance.OK if all succeed. After the
// first request that fails, it sends no more and calls finish with balance.ErrorResponse. If the endpoint is killed, finish is not called.
func (e *endpoint) callTierBelow(a *attempt, key string, callsLeft int, finish func(balance.Result)) {
	if callsLeft == 0 {
		finish(balance.OK)
		return
	}
	sim, incarnation := e.sim, e.incarnation
	c := classes[a.request.class]
	e.ownSidecar.accept(a.request.class, fmt.Sprint(key, ".", callsLeft), sim.now+c.timeout, func(status int) {
		switch {
		case e.incarnation != incarnation:
		case status == 200:
			e.callTierBelow(a, key, callsLeft-1, finish)
		default:
			finish(balance.ErrorResponse)
		}
	})
}

// runOnCore calls task once a core is free. The task must call done when it releases the core.
func (e *endpoint) runOnCore(task func(done func())) {
	if e.busyCores >= coresPerEndpoint {
		e.cpuQueue = append(e.cpuQueue, task)
		return
	}
	e.busyCores++
	incarnation := e.incarnation
	task(func() {
		if e.incarnation != incarnation {
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

// recordKey reports whether the endpoint's cell has received an idempotency key within dedupWindow, and otherwise records the time at
// which the cell receives the key. An empty key is never a duplicate.
func (e *endpoint) recordKey(key string) bool {
	if key == "" {
		return false
	}
	scopedKey := fmt.Sprint(e.tier, " ", e.cell, " ", key)
	recordedAt, seen := e.sim.keysSeen[scopedKey]
	if seen && e.sim.now <= recordedAt+dedupWindow {
		return true
	}
	e.sim.keysSeen[scopedKey] = e.sim.now
	return false
}

// addColdWork counts the work of an attempt that the endpoint receives while it is warming up. The endpoint becomes overloaded if the work
// received within SlowStart.OverloadWindow exceeds a limit by more than the fraction overloadTolerance. The limit is SlowStart.OverloadFactor
// times what the present capacity can process in this time.
func (e *endpoint) addColdWork(work float64) {
	if e.capacityFraction() == 1 {
		return
	}
	slowStart := e.sim.day.SlowStart
	e.recentColdWork = append(e.recentColdWork, timedWork{e.sim.now, work})
	for len(e.recentColdWork) > 0 && e.recentColdWork[0].at <= e.sim.now-slowStart.OverloadWindow {
		e.recentColdWork = e.recentColdWork[1:]
	}
	sum := 0.0
	for _, recent := range e.recentColdWork {
		sum += recent.work
	}
	limit := slowStart.OverloadFactor * e.capacityFraction() * coresPerEndpoint * e.speed * slowStart.OverloadWindow.Seconds()
	e.sim.result.PeakColdLoad = max(e.sim.result.PeakColdLoad, sum/limit)
	if sum > limit*(1+overloadTolerance) && !e.isOverloaded {
		e.isOverloaded = true
		e.sim.record(invariant.Event{Kind: invariant.NodeCollapsed, Node: e.id})
	}
}
