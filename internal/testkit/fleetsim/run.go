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
	Format            int               `json:"format"` // 1
	Day               string            `json:"day"`
	Sidecars          int               `json:"sidecars"`
	Endpoints         int               `json:"endpoints"`
	Requests          int               `json:"asked"`   // requests from outside
	ClientAttempts    int               `json:"tries"`   // with what clients sent again
	InTime            int               `json:"in_time"` // answered within their aim
	Late              int               `json:"late"`    // served, after it
	Rejected          int               `json:"refused"`
	Failed            int               `json:"failed"`
	Lost              int               `json:"lost"`        // went under with a sidecar, the last try too
	OfferedValue      float64           `json:"worth"`       // asked for
	ServedValue       float64           `json:"served"`      // of it, within its aim
	Attempts          [3]int            `json:"attempts"`    // that came to endpoints, by tier
	Connections       int               `json:"connections"` // opened, in all tiers
	DiscoveryMessages int               `json:"lists"`       // messages of discovery
	PeakColdLoad      float64           `json:"cold_most"`   // most work on a cold endpoint within the window, in what pushes it over
	Rules             *invariant.Report `json:"rules"`
}

// ServedFraction is the part of the worth that was served in time.
func (r *Result) ServedFraction() float64 { return r.ServedValue / max(r.OfferedValue, 1) }

// Amplification is attempts at a tier for each that its callers needed: 1 where nothing was sent again.
func (r *Result) Amplification(tier int) float64 {
	need := float64(r.Requests)
	for t := range tier {
		need *= float64(tiers[t].calls)
	}
	return float64(r.Attempts[tier]) / max(need, 1)
}

// Run plays a day with the decision module. The same Day gives the same Result, to the last figure.
func Run(d Day) (*Result, error) { return RunWith(eventloop.NewBalancer, d) }

// RunWith is Play with another decider in the module's place.
func RunWith(decide eventloop.BalancerFactory, d Day) (*Result, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	if d.SlowStart == (SlowStart{}) {
		d.SlowStart = defaultSlowStart
	}
	w := &simulation{day: d, decide: decide, rng: rand.New(rand.NewPCG(d.Seed, 0x666c656574)), now: epoch, keysSeen: map[string]time.Duration{}, result: &Result{Format: 1, Day: d.Scenario, Sidecars: d.Sidecars}}
	w.build()
	for _, t := range w.tiers {
		w.result.Endpoints += len(t)
	}
	w.startLoad()
	w.scheduleFaults()
	w.runUntil(epoch + d.Length)
	w.arrivalsStopped = true
	w.runUntil(epoch + d.Length + 20*time.Second) // the longest deadline, through three tiers, has passed by then
	w.result.Rules = invariant.Check(invariantRules(d.SlowStart), w.timeline)
	return w.result, nil
}

func invariantRules(cold SlowStart) invariant.Rules {
	r := invariant.Rules{MaxAttempts: maxAttempts, Tolerance: timeTolerance, DrainGrace: drainGrace, ColdOverloadFactor: cold.OverloadFactor, ColdOverloadWindow: cold.OverloadWindow, ColdOverloadTolerance: overloadTolerance}
	for _, c := range classes {
		effect := invariant.Safe
		if c.isKeyed {
			effect = invariant.IdempotencyKeyed
		}
		r.Classes = append(r.Classes, invariant.Class{Name: c.name, Effect: effect, Window: dedupWindow})
	}
	return r
}

// startLoad spreads the day's requests unevenly over the front.
func (w *simulation) startLoad() {
	work := 0.0
	for _, c := range classes {
		work += c.fraction * c.work
	}
	rate, calls := math.Inf(1), 1.0
	for t := range tiers { // of the tier that runs out first
		capacity := 0.0
		for _, e := range w.tiers[t] {
			capacity += coresPerEndpoint * e.speed
		}
		rate = min(rate, capacity/(work*tiers[t].work*calls))
		calls *= float64(tiers[t].calls)
	}
	rate *= w.day.Utilization
	weights, sum := make([]float64, len(w.front)), 0.0
	for i := range weights {
		weights[i] = math.Pow(loadSkew, w.rng.Float64()*2-1)
		sum += weights[i]
	}
	for i, s := range w.front {
		w.scheduleArrivals(s, time.Duration(float64(time.Second)*sum/(rate*weights[i])))
	}
}

// announce tells all sidecars that send to an endpoint's tier what discovery says of it now, each in its own time.
func (w *simulation) announce(e *endpoint) {
	entry := e.listEntry()
	if e.isGone {
		entry.State = balance.Gone
	}
	for _, s := range w.sidecars {
		if s.tier != e.tier {
			continue
		}
		w.schedule(meanListDelay/2+w.drawExponential(meanListDelay/2), func() {
			if s.isUp && (!e.isGone || entry.State == balance.Gone) {
				s.applyList(balance.EndpointUpdate{Endpoints: []balance.Endpoint{entry}})
			}
		})
	}
}

// sample picks a share of what there is, at random but the same each time.
func sample[T any](w *simulation, of []T, share float64) []T {
	out := slices.Clone(of)
	w.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:int(float64(len(out))*share)]
}

func (w *simulation) allEndpoints() (out []*endpoint) {
	for _, t := range w.tiers {
		out = append(out, t...)
	}
	return out
}

// scheduleFaults plans what goes wrong. It begins after a quarter of the day.
func (w *simulation) scheduleFaults() {
	begin, third := w.day.Length/4, w.day.Length/3
	switch w.day.Scenario {
	case "roll":
		w.replaceEndpoints(sample(w, w.allEndpoints(), 0.5), begin, third)
		for i, s := range w.front {
			w.schedule(begin+third*time.Duration(i*10/len(w.front))/10, func() { w.restartSidecar(s) })
		}
	case "herd":
		for _, e := range sample(w, w.allEndpoints(), slowFraction) {
			w.schedule(begin, func() { e.slowdown = faultSlowdown })
			w.schedule(begin+third, func() { e.slowdown = 1 })
		}
		for _, s := range sample(w, w.front, 0.7) {
			w.schedule(begin, func() { w.restartSidecar(s) })
		}
	case "zone":
		for _, e := range w.allEndpoints() {
			if e.zone == 0 {
				w.schedule(begin, func() { e.kill() })
				w.schedule(begin+5*time.Second, func() {
					e.restart()
					w.announce(e)
				})
			}
		}
	case "split":
		for _, e := range sample(w, w.allEndpoints(), 0.2) {
			w.schedule(begin, func() { e.isIsolated = true })
			w.schedule(begin+6*time.Second, func() { e.isIsolated = false })
		}
	case "join":
		w.replaceEndpoints(sample(w, w.allEndpoints(), 0.6), begin, 7*time.Second)
	}
}

// restartSidecar ends a front sidecar and starts it again a second later, with its last list.
func (w *simulation) restartSidecar(s *sidecar) {
	known := s.lastList
	s.kill()
	w.schedule(time.Second, func() { s.start(known) })
}

// replaceEndpoints takes endpoints out one after another, told first, and puts new ones, which are cold, in their place.
func (w *simulation) replaceEndpoints(these []*endpoint, begin, over time.Duration) {
	for i, old := range these {
		w.schedule(begin+over*time.Duration(i)/time.Duration(len(these)), func() {
			e := w.addEndpoint(old.tier, len(w.tiers[old.tier]), w.now)
			e.cell, e.zone, e.kind, e.speed = old.cell, old.zone, old.kind, old.speed
			w.addOwnSidecar(e)
			w.announce(e)
			old.listedState = balance.Draining
			w.announce(old)
			w.schedule(6*time.Second, func() {
				old.isGone = true
				w.announce(old)
				w.schedule(2*time.Second, old.kill)
			})
		})
	}
}

func sortRequests(calls []*request) {
	slices.SortFunc(calls, func(a, b *request) int { return cmp.Or(cmp.Compare(len(a.id), len(b.id)), strings.Compare(a.id, b.id)) })
}

// WriteSummary writes a Result for people.
func (r *Result) WriteSummary(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-6s %4d sidecars %4d endpoints %6d asked   in time %5.1f %% of the worth   late %d refused %d failed %d lost %d\n",
		r.Day, r.Sidecars, r.Endpoints, r.Requests, 100*r.ServedFraction(), r.Late, r.Rejected, r.Failed, r.Lost)
	fmt.Fprintf(&b, "       attempts for each needed %.2f %.2f %.2f   connections %.3f a call   lists %d   cold endpoints at most %.2f of what pushes them over\n",
		r.Amplification(0), r.Amplification(1), r.Amplification(2), float64(r.Connections)/max(float64(r.Attempts[0]+r.Attempts[1]+r.Attempts[2]), 1), r.DiscoveryMessages, r.PeakColdLoad)
	for _, rule := range r.Rules.Rules {
		fmt.Fprintf(&b, "       rule %d %-40s %s (%d times put to the test, %d broken)\n", rule.Number, rule.Name, rule.Verdict, rule.TestedOccasions, rule.ViolationCount)
		for _, breach := range rule.Breaches[:min(len(rule.Breaches), 3)] {
			fmt.Fprintf(&b, "         at %v: %s %s %s %s\n", breach.At, breach.Request, breach.Sidecar, breach.Node, breach.Description)
		}
	}
	_, err := io.WriteString(out, b.String())
	return err
}
