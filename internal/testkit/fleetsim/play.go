package fleetsim

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/testkit/invariant"
)

// Result is what became of a day.
type Result struct {
	Format      int               `json:"format"` // 1
	Day         string            `json:"day"`
	Sidecars    int               `json:"sidecars"`
	Endpoints   int               `json:"endpoints"`
	Asked       int               `json:"asked"`   // requests from outside
	Tries       int               `json:"tries"`   // with what clients sent again
	InTime      int               `json:"in_time"` // answered within their aim
	Late        int               `json:"late"`    // served, after it
	Refused     int               `json:"refused"`
	Failed      int               `json:"failed"`
	Lost        int               `json:"lost"`        // went under with a sidecar, the last try too
	Worth       float64           `json:"worth"`       // asked for
	Served      float64           `json:"served"`      // of it, within its aim
	Attempts    [3]int            `json:"attempts"`    // that came to endpoints, by tier
	Connections int               `json:"connections"` // opened, in all tiers
	Lists       int               `json:"lists"`       // messages of discovery
	ColdMost    float64           `json:"cold_most"`   // most work on a cold endpoint within the window, in what pushes it over
	Rules       *invariant.Report `json:"rules"`
}

// Share is the part of the worth that was served in time.
func (r *Result) Share() float64 { return r.Served / max(r.Worth, 1) }

// Amplification is attempts at a tier for each that its callers needed: 1 where nothing was sent again.
func (r *Result) Amplification(tier int) float64 {
	need := float64(r.Asked)
	for t := range tier {
		need *= float64(tiers[t].calls)
	}
	return float64(r.Attempts[tier]) / max(need, 1)
}

// Play plays a day with the decision module. The same Day gives the same Result, to the last figure.
func Play(d Day) (*Result, error) { return PlayWith(eventloop.NewBalancer, d) }

// PlayWith is Play with another decider in the module's place.
func PlayWith(decide eventloop.BalancerFactory, d Day) (*Result, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	if d.Cold == (Cold{}) {
		d.Cold = shireCold
	}
	w := &world{day: d, decide: decide, rng: rand.New(rand.NewPCG(d.Seed, 0x666c656574)), now: epoch, seen: map[string]time.Duration{}, result: &Result{Format: 1, Day: d.Trouble, Sidecars: d.Sidecars}}
	w.build()
	for _, t := range w.tiers {
		w.result.Endpoints += len(t)
	}
	w.load()
	w.trouble()
	w.run(epoch + d.Length)
	w.closing = true
	w.run(epoch + d.Length + 20*time.Second) // the longest deadline, through three tiers, has passed by then
	w.result.Rules = invariant.Check(rules(d.Cold), w.timeline)
	return w.result, nil
}

func rules(cold Cold) invariant.Rules {
	r := invariant.Rules{MaxAttempts: maxAttempts, Tolerance: slack, DrainGrace: drainGrace, ColdOverloadFactor: cold.FallMultiple, ColdOverloadWindow: cold.FallAfter, ColdOverloadTolerance: fallSlack}
	for _, c := range classes {
		effect := invariant.Safe
		if c.keyed {
			effect = invariant.IdempotencyKeyed
		}
		r.Classes = append(r.Classes, invariant.Class{Name: c.name, Effect: effect, Window: keyWindow})
	}
	return r
}

// load spreads the day's requests unevenly over the front.
func (w *world) load() {
	work := 0.0
	for _, c := range classes {
		work += c.share * c.work
	}
	rate, calls := math.Inf(1), 1.0
	for t := range tiers { // of the tier that runs out first
		capacity := 0.0
		for _, e := range w.tiers[t] {
			capacity += cores * e.speed
		}
		rate = min(rate, capacity/(work*tiers[t].work*calls))
		calls *= float64(tiers[t].calls)
	}
	rate *= w.day.Use
	weights, sum := make([]float64, len(w.front)), 0.0
	for i := range weights {
		weights[i] = math.Pow(unevenness, w.rng.Float64()*2-1)
		sum += weights[i]
	}
	for i, s := range w.front {
		w.ask(s, time.Duration(float64(time.Second)*sum/(rate*weights[i])))
	}
}

// changed tells all sidecars that send to an endpoint's tier what discovery says of it now, each in its own time.
func (w *world) changed(e *endpoint) {
	entry := e.entry()
	if e.gone {
		entry.State = balance.Gone
	}
	for _, s := range w.sidecars {
		if s.tier != e.tier {
			continue
		}
		w.in(listedAfter/2+w.exp(listedAfter/2), func() {
			if s.up && (!e.gone || entry.State == balance.Gone) {
				s.tell(balance.EndpointUpdate{Endpoints: []balance.Endpoint{entry}})
			}
		})
	}
}

// some picks a share of what there is, at random but the same each time.
func some[T any](w *world, of []T, share float64) []T {
	out := slices.Clone(of)
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:int(float64(len(out))*share)]
}

func (w *world) all() (out []*endpoint) {
	for _, t := range w.tiers {
		out = append(out, t...)
	}
	return out
}

// trouble plans what goes wrong. It begins after a quarter of the day.
func (w *world) trouble() {
	begin, third := w.day.Length/4, w.day.Length/3
	switch w.day.Trouble {
	case "roll":
		w.replace(some(w, w.all(), 0.5), begin, third)
		for i, s := range w.front {
			w.in(begin+third*time.Duration(i*10/len(w.front))/10, func() { w.restart(s) })
		}
	case "herd":
		for _, e := range some(w, w.all(), partBad) {
			w.in(begin, func() { e.slow = slowBy })
			w.in(begin+third, func() { e.slow = 1 })
		}
		for _, s := range some(w, w.front, 0.7) {
			w.in(begin, func() { w.restart(s) })
		}
	case "zone":
		for _, e := range w.all() {
			if e.zone == 0 {
				w.in(begin, func() { e.die() })
				w.in(begin+5*time.Second, func() {
					e.rise()
					w.changed(e)
				})
			}
		}
	case "split":
		for _, e := range some(w, w.all(), 0.2) {
			w.in(begin, func() { e.silent = true })
			w.in(begin+6*time.Second, func() { e.silent = false })
		}
	case "join":
		w.replace(some(w, w.all(), 0.6), begin, 7*time.Second)
	}
}

// restart ends a front sidecar and starts it again a second later, with its last list.
func (w *world) restart(s *sidecar) {
	known := s.known
	s.kill()
	w.in(time.Second, func() { s.start(known) })
}

// replace takes endpoints out one after another, told first, and puts new ones, which are cold, in their place.
func (w *world) replace(these []*endpoint, begin, over time.Duration) {
	for i, old := range these {
		w.in(begin+over*time.Duration(i)/time.Duration(len(these)), func() {
			e := w.add(old.tier, len(w.tiers[old.tier]), w.now)
			e.cell, e.zone, e.kind, e.speed = old.cell, old.zone, old.kind, old.speed
			w.beside(e)
			w.changed(e)
			old.listed = balance.Draining
			w.changed(old)
			w.in(6*time.Second, func() {
				old.gone = true
				w.changed(old)
				w.in(2*time.Second, old.die)
			})
		})
	}
}

func sortCalls(calls []*call) {
	slices.SortFunc(calls, func(a, b *call) int { return cmp.Or(cmp.Compare(len(a.id), len(b.id)), strings.Compare(a.id, b.id)) })
}

// Tell writes a Result for people.
func (r *Result) Tell(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-6s %4d sidecars %4d endpoints %6d asked   in time %5.1f %% of the worth   late %d refused %d failed %d lost %d\n",
		r.Day, r.Sidecars, r.Endpoints, r.Asked, 100*r.Share(), r.Late, r.Refused, r.Failed, r.Lost)
	fmt.Fprintf(&b, "       attempts for each needed %.2f %.2f %.2f   connections %.3f a call   lists %d   cold endpoints at most %.2f of what pushes them over\n",
		r.Amplification(0), r.Amplification(1), r.Amplification(2), float64(r.Connections)/max(float64(r.Attempts[0]+r.Attempts[1]+r.Attempts[2]), 1), r.Lists, r.ColdMost)
	for _, rule := range r.Rules.Rules {
		fmt.Fprintf(&b, "       rule %d %-40s %s (%d times put to the test, %d broken)\n", rule.Number, rule.Name, rule.Verdict, rule.TestedOccasions, rule.ViolationCount)
		for _, breach := range rule.Violations[:min(len(rule.Violations), 3)] {
			fmt.Fprintf(&b, "         at %v: %s %s %s %s\n", breach.At, breach.Request, breach.Sidecar, breach.Node, breach.Description)
		}
	}
	_, err := io.WriteString(out, b.String())
	return err
}
