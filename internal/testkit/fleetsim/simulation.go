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

// world is a day that is played.
type world struct {
	day      Day
	decide   eventloop.BalancerFactory
	rng      *rand.Rand
	now      time.Duration
	agenda   eventqueue.Agenda[func()]
	tiers    [][]*endpoint // those that were ever listed, by tier
	front    []*sidecar
	sidecars []*sidecar
	seen     map[string]time.Duration // keys by cell, and when they were first sent there
	names    int
	calls    int
	timeline []invariant.Event
	result   *Result
	closing  bool // nothing new is asked for
}

// in plans something.
func (w *world) in(d time.Duration, do func()) {
	w.agenda.Put(w.now+max(d, 0), do)
}

// run plays until nothing is left to happen, or the instant given.
func (w *world) run(until time.Duration) {
	for e, ok := w.agenda.Take(until); ok; e, ok = w.agenda.Take(until) {
		w.now = e.At
		e.What()
	}
	w.now = until
}

// note writes into the timeline.
func (w *world) note(e invariant.Event) {
	e.At = w.now - epoch
	w.timeline = append(w.timeline, e)
}

// exp draws a time with the mean given.
func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *world) name(prefix string) string {
	w.names++
	return fmt.Sprint(prefix, w.names)
}

// build makes endpoints and sidecars: the front's, and one beside each endpoint that calls a further tier.
func (w *world) build() {
	front := max(int(float64(w.day.Sidecars)*frontShare), 2)
	first := max(int(float64(w.day.Sidecars-front)/(tiers[0].size+tiers[1].size)), cellSize)
	for t := range tiers {
		w.tiers = append(w.tiers, nil)
		for i := range int(float64(first) * tiers[t].size) {
			w.add(t, i, 0)
		}
	}
	for t := range tiers {
		for _, e := range w.tiers[t] {
			w.beside(e)
		}
	}
	for i := range front {
		s := w.newSidecar(fmt.Sprint("f", i), 0, i)
		w.front = append(w.front, s)
		s.start(balance.EndpointUpdate{})
	}
}

// callers is how many sidecars send to a tier.
func (w *world) callers(tier int) int {
	if tier == 0 {
		return max(int(float64(w.day.Sidecars)*frontShare), 2)
	}
	return len(w.tiers[tier-1])
}

// ask plays one front sidecar's callers until the day's end.
func (w *world) ask(s *sidecar, gap time.Duration) {
	w.in(w.exp(gap), func() {
		if w.closing {
			return
		}
		w.result.Requests++
		w.ask(s, gap)
		w.client(s, w.draw())
	})
}

func (w *world) draw() int {
	if w.rng.Float64() < classes[0].share {
		return 0
	}
	return 1
}

// client is one request of a caller from outside: it asks, and if it is refused or failed asks again, elsewhere where its
// sidecar is down.
func (w *world) client(s *sidecar, class int) {
	c := classes[class]
	asked, key := w.now, w.name("k")
	w.result.OfferedValue += c.worth
	var attempt func(try int)
	attempt = func(try int) {
		to := s
		for range w.front {
			if to.up {
				break
			}
			to = w.front[w.rng.IntN(len(w.front))]
		}
		w.result.ClientAttempts++
		to.take(class, key, asked+c.deadline, func(status int) {
			switch {
			case status == 200 && w.now-asked <= c.aim:
				w.result.ServedValue += c.worth
				w.result.InTime++
			case status == 200:
				w.result.Late++
			case try < clientTries && w.now+clientRetry < asked+c.deadline:
				w.in(clientRetry, func() { attempt(try + 1) })
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
