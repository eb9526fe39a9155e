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

// epoch is the instant at which a day begins: well above zero, so that starts before it have instants too.
const epoch = 1000 * time.Second

// simulation is a day that is played.
type simulation struct {
	day             Day
	decide          eventloop.BalancerFactory
	rng             *rand.Rand
	now             time.Duration
	queue           eventqueue.Agenda[func()]
	tiers           [][]*endpoint // those that were ever listed, by tier
	front           []*sidecar
	sidecars        []*sidecar
	keysSeen        map[string]time.Duration // keys by cell, and when they were first sent there
	nameCount       int
	requestCount    int
	timeline        []invariant.Event
	result          *Result
	arrivalsStopped bool // nothing new is asked for
}

// schedule plans something.
func (w *simulation) schedule(d time.Duration, do func()) {
	w.queue.Put(w.now+max(d, 0), do)
}

// runUntil plays until nothing is left to happen, or the instant given.
func (w *simulation) runUntil(until time.Duration) {
	for e, ok := w.queue.Take(until); ok; e, ok = w.queue.Take(until) {
		w.now = e.At
		e.What()
	}
	w.now = until
}

// record writes into the timeline.
func (w *simulation) record(e invariant.Event) {
	e.At = w.now - epoch
	w.timeline = append(w.timeline, e)
}

// drawExponential draws a time with the mean given.
func (w *simulation) drawExponential(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *simulation) nextName(prefix string) string {
	w.nameCount++
	return fmt.Sprint(prefix, w.nameCount)
}

// build makes endpoints and sidecars: the front's, and one beside each endpoint that calls a further tier.
func (w *simulation) build() {
	front := max(int(float64(w.day.Sidecars)*frontFraction), 2)
	first := max(int(float64(w.day.Sidecars-front)/(tiers[0].size+tiers[1].size)), cellSize)
	for t := range tiers {
		w.tiers = append(w.tiers, nil)
		for i := range int(float64(first) * tiers[t].size) {
			w.addEndpoint(t, i, 0)
		}
	}
	for t := range tiers {
		for _, e := range w.tiers[t] {
			w.addOwnSidecar(e)
		}
	}
	for i := range front {
		s := w.newSidecar(fmt.Sprint("f", i), 0, i)
		w.front = append(w.front, s)
		s.start(balance.EndpointUpdate{})
	}
}

// callerCount is how many sidecars send to a tier.
func (w *simulation) callerCount(tier int) int {
	if tier == 0 {
		return max(int(float64(w.day.Sidecars)*frontFraction), 2)
	}
	return len(w.tiers[tier-1])
}

// scheduleArrivals plays one front sidecar's callers until the day's end.
func (w *simulation) scheduleArrivals(s *sidecar, gap time.Duration) {
	w.schedule(w.drawExponential(gap), func() {
		if w.arrivalsStopped {
			return
		}
		w.result.Requests++
		w.scheduleArrivals(s, gap)
		w.sendClientRequest(s, w.drawClass())
	})
}

func (w *simulation) drawClass() int {
	if w.rng.Float64() < classes[0].fraction {
		return 0
	}
	return 1
}

// sendClientRequest is one request of a caller from outside: it asks, and if it is refused or failed asks again, elsewhere where its
// sidecar is down.
func (w *simulation) sendClientRequest(s *sidecar, class int) {
	c := classes[class]
	asked, key := w.now, w.nextName("k")
	w.result.OfferedValue += c.weight
	var attempt func(try int)
	attempt = func(try int) {
		to := s
		for range w.front {
			if to.isUp {
				break
			}
			to = w.front[w.rng.IntN(len(w.front))]
		}
		w.result.ClientAttempts++
		to.accept(class, key, asked+c.deadline, func(status int) {
			switch {
			case status == 200 && w.now-asked <= c.latencyObjective:
				w.result.ServedValue += c.weight
				w.result.InTime++
			case status == 200:
				w.result.Late++
			case try < maxClientRetries && w.now+clientRetryDelay < asked+c.deadline:
				w.schedule(clientRetryDelay, func() { attempt(try + 1) })
			case status == 503:
				w.result.Rejected++
			case status == 0:
				w.result.Lost++
			default:
				w.result.Failed++
			}
		})
	}
	attempt(0)
}
