package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/testkit/eventqueue"
	"tuliprock/internal/testkit/invariant"
)

// epoch is the virtual time at which a day begins. It is far above zero, so that endpoints may have started before it.
const epoch = 1000 * time.Second

// simulation is the state of the simulation of one day.
type simulation struct {
	day             Day
	newBalancer     eventloop.BalancerFactory // called at each start of a sidecar to create its balancer
	rng             *rand.Rand
	now             time.Duration            // virtual time; the day begins at epoch
	queue           eventqueue.Queue[func()] // functions to call at later times
	tiers           [][]*endpoint            // endpoints of each tier, including those that have been replaced
	frontSidecars   []*sidecar               // sidecars that receive requests from clients
	sidecars        []*sidecar               // all sidecars, including those of endpoints that have been replaced
	keysSeen        map[string]time.Duration // virtual time at which recordKey recorded an idempotency key, by tier, cell and key
	nameCount       int                      // number of names that nextName has returned
	requestCount    int                      // number of requests that were sent to any sidecar, retries of clients included
	timeline        []invariant.Event        // events for the check of the invariants, in order of time
	result          *Result
	arrivalsStopped bool // whether the day has ended, so that clients send no new requests but only retries
}

// schedule has f called after a delay of virtual time; a negative delay counts as 0.
func (sim *simulation) schedule(delay time.Duration, f func()) {
	sim.queue.Schedule(sim.now+max(delay, 0), f)
}

// runUntil handles all events that are due until the given time, and then advances the clock to it.
func (sim *simulation) runUntil(until time.Duration) {
	for e, ok := sim.queue.PopDue(until); ok; e, ok = sim.queue.PopDue(until) {
		sim.now = e.At
		e.Event()
	}
	sim.now = until
}

// record appends an event to the timeline, at the present time.
func (sim *simulation) record(e invariant.Event) {
	e.At = sim.now - epoch
	sim.timeline = append(sim.timeline, e)
}

// drawExponential draws an exponentially distributed duration with the given mean.
func (sim *simulation) drawExponential(mean time.Duration) time.Duration {
	return time.Duration(sim.rng.ExpFloat64() * float64(mean))
}

// nextName returns the prefix followed by a number that is unique within the simulation.
func (sim *simulation) nextName(prefix string) string {
	sim.nameCount++
	return fmt.Sprint(prefix, sim.nameCount)
}

// buildTopology creates the endpoints, a sidecar for each endpoint that calls a tier below, and the front sidecars.
func (sim *simulation) buildTopology() {
	frontCount := max(int(float64(sim.day.Sidecars)*frontFraction), 2)
	firstTierSize := max(int(float64(sim.day.Sidecars-frontCount)/(tiers[0].relativeSize+tiers[1].relativeSize)), cellSize)
	for t := range tiers {
		sim.tiers = append(sim.tiers, nil)
		for i := range int(float64(firstTierSize) * tiers[t].relativeSize) {
			sim.addEndpoint(t, i, 0)
		}
	}
	for t := range tiers {
		for _, e := range sim.tiers[t] {
			sim.addOwnSidecar(e)
		}
	}
	for i := range frontCount {
		s := sim.newSidecar(fmt.Sprint("f", i), 0, i)
		sim.frontSidecars = append(sim.frontSidecars, s)
		s.start(balance.EndpointUpdate{})
	}
}

// callerCount returns the number of sidecars that send requests to a tier.
func (sim *simulation) callerCount(tier int) int {
	if tier == 0 {
		return max(int(float64(sim.day.Sidecars)*frontFraction), 2)
	}
	return len(sim.tiers[tier-1])
}

// scheduleArrivals sends clients' requests to a front sidecar as a Poisson process, until the day ends.
func (sim *simulation) scheduleArrivals(s *sidecar, meanGap time.Duration) {
	sim.schedule(sim.drawExponential(meanGap), func() {
		if sim.arrivalsStopped {
			return
		}
		sim.result.Requests++
		sim.scheduleArrivals(s, meanGap)
		sim.sendClientRequest(s, sim.drawClass())
	})
}

// drawClass draws the index of a class by the classes' fractions.
func (sim *simulation) drawClass() int {
	if sim.rng.Float64() < classes[0].fraction {
		return 0
	}
	return 1
}

// sendClientRequest sends a request of a client to front sidecar s and adds the request's outcome to the result. The client retries a request
// that was rejected, failed or was lost. While s is down, the client tries random front sidecars to find one that is up.
func (sim *simulation) sendClientRequest(s *sidecar, class int) {
	c := classes[class]
	startedAt, key := sim.now, sim.nextName("k")
	sim.result.OfferedValue += c.weight
	var send func(retriesMade int)
	send = func(retriesMade int) {
		target := s
		for range sim.frontSidecars {
			if target.isUp {
				break
			}
			target = sim.frontSidecars[sim.rng.IntN(len(sim.frontSidecars))]
		}
		sim.result.ClientAttempts++
		target.accept(class, key, startedAt+c.timeout, func(status int) {
			switch {
			case status == 200 && sim.now-startedAt <= c.latencyObjective:
				sim.result.ServedValue += c.weight
				sim.result.InTime++
			case status == 200:
				sim.result.Late++
			case retriesMade < maxClientRetries && sim.now+clientRetryDelay < startedAt+c.timeout:
				sim.schedule(clientRetryDelay, func() { send(retriesMade + 1) })
			case status == 503:
				sim.result.Rejected++
			case status == 0:
				sim.result.Lost++
			default:
				sim.result.Failed++
			}
		})
	}
	send(0)
}
