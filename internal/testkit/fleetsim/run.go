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

// Result is the outcome of a simulated day.
type Result struct {
	Format            int               `json:"format"`      // version of the JSON format of Result, always 1
	Day               string            `json:"day"`         // name of the day's scenario, one of Scenarios
	Sidecars          int               `json:"sidecars"`    // number of sidecars, as configured in Day.Sidecars
	Endpoints         int               `json:"endpoints"`   // number of endpoints at the start of the day
	Requests          int               `json:"asked"`       // requests from clients, each counted once
	ClientAttempts    int               `json:"tries"`       // requests that clients sent, retries included
	InTime            int               `json:"in_time"`     // requests served within the latency objective
	Late              int               `json:"late"`        // requests served after the latency objective
	Rejected          int               `json:"refused"`     // requests whose last attempt by the client was rejected (status 503)
	Failed            int               `json:"failed"`      // requests whose last attempt by the client failed (status 502)
	Lost              int               `json:"lost"`        // requests whose last attempt by the client was lost because the sidecar was down or killed
	OfferedValue      float64           `json:"worth"`       // sum of the priority weights of all requests
	ServedValue       float64           `json:"served"`      // sum of the priority weights of the requests served in time
	Attempts          [3]int            `json:"attempts"`    // attempts that arrived at endpoints, by tier
	Connections       int               `json:"connections"` // connections that sidecars opened to endpoints, in all tiers
	DiscoveryMessages int               `json:"lists"`       // number of endpoint lists and updates that sidecars received
	PeakColdLoad      float64           `json:"cold_most"`   // most work that a warming endpoint received within SlowStart.OverloadWindow, as a multiple of the limit that SlowStart.OverloadFactor sets
	Rules             *invariant.Report `json:"rules"`       // verdicts on the four invariants of package invariant
}

// ServedFraction returns the sum of the priority weights of the requests served in time, as a fraction of the sum over all requests.
func (r *Result) ServedFraction() float64 { return r.ServedValue / max(r.OfferedValue, 1) }

// Amplification returns the attempts that arrived at a tier relative to those needed if nothing was retried or lost.
func (r *Result) Amplification(tier int) float64 {
	neededAttempts := float64(r.Requests)
	for t := range tier {
		neededAttempts *= float64(tiers[t].callsPerRequest)
	}
	return float64(r.Attempts[tier]) / max(neededAttempts, 1)
}

// Run simulates a day with balancers of package balance. The same Day always gives exactly the same Result.
func Run(d Day) (*Result, error) { return RunWith(eventloop.NewBalancer, d) }

// RunWith simulates a day with balancers that newBalancer creates, one for each start of a sidecar. It returns the error of Day.Check if
// the day is invalid.
func RunWith(newBalancer eventloop.BalancerFactory, d Day) (*Result, error) {
	if err := d.Check(); err != nil {
		return nil, err
	}
	if d.SlowStart == (SlowStart{}) {
		d.SlowStart = defaultSlowStart
	}
	sim := &simulation{day: d, newBalancer: newBalancer, rng: rand.New(rand.NewPCG(d.Seed, 0x666c656574)), now: epoch, keysSeen: map[string]time.Duration{}, result: &Result{Format: 1, Day: d.Scenario, Sidecars: d.Sidecars}}
	sim.buildTopology()
	for _, t := range sim.tiers {
		sim.result.Endpoints += len(t)
	}
	sim.startLoad()
	sim.scheduleFaults()
	sim.runUntil(epoch + d.Length)
	sim.arrivalsStopped = true
	sim.runUntil(epoch + d.Length + 20*time.Second) // 20 s after the last arrival, the deadlines of all requests in all three tiers have passed
	sim.result.Rules = invariant.Check(invariantRules(d.SlowStart), sim.timeline)
	return sim.result, nil
}

// invariantRules returns the rules against which the timeline is checked.
func invariantRules(slowStart SlowStart) invariant.Rules {
	rules := invariant.Rules{MaxAttempts: maxAttempts, Tolerance: timeTolerance, DrainGrace: drainGrace, ColdOverloadFactor: slowStart.OverloadFactor, ColdOverloadWindow: slowStart.OverloadWindow, ColdOverloadTolerance: overloadTolerance}
	for _, c := range classes {
		effect := invariant.Safe
		if c.isKeyed {
			effect = invariant.IdempotencyKeyed
		}
		rules.Classes = append(rules.Classes, invariant.Class{Name: c.name, Effect: effect, Window: dedupWindow})
	}
	return rules
}

// startLoad starts the arrivals of clients' requests at the front sidecars. The total rate results from the day's utilization and is
// spread unevenly over the front sidecars.
func (sim *simulation) startLoad() {
	work := 0.0
	for _, c := range classes {
		work += c.fraction * c.work
	}
	requestRate, callsPerRequest := math.Inf(1), 1.0
	for t := range tiers { // the tier whose capacity allows the lowest rate of clients' requests limits the rate
		capacity := 0.0
		for _, e := range sim.tiers[t] {
			capacity += coresPerEndpoint * e.speed
		}
		requestRate = min(requestRate, capacity/(work*tiers[t].workFraction*callsPerRequest))
		callsPerRequest *= float64(tiers[t].callsPerRequest)
	}
	requestRate *= sim.day.Utilization
	relativeLoads, sum := make([]float64, len(sim.frontSidecars)), 0.0
	for i := range relativeLoads {
		relativeLoads[i] = math.Pow(loadSkew, sim.rng.Float64()*2-1)
		sum += relativeLoads[i]
	}
	for i, s := range sim.frontSidecars {
		sim.scheduleArrivals(s, time.Duration(float64(time.Second)*sum/(requestRate*relativeLoads[i])))
	}
}

// announce passes an endpoint's present list entry to each sidecar that sends requests to the endpoint's tier, after a random delay.
func (sim *simulation) announce(e *endpoint) {
	entry := e.listEntry()
	if e.isGone {
		entry.State = balance.Gone
	}
	for _, s := range sim.sidecars {
		if s.tier != e.tier {
			continue
		}
		sim.schedule(meanListDelay/2+sim.drawExponential(meanListDelay/2), func() {
			if s.isUp && (!e.isGone || entry.State == balance.Gone) {
				s.applyList(balance.EndpointUpdate{Endpoints: []balance.Endpoint{entry}})
			}
		})
	}
}

// sample returns a random sample that holds the given fraction of items.
func sample[T any](sim *simulation, items []T, fraction float64) []T {
	shuffled := slices.Clone(items)
	sim.rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled[:int(float64(len(shuffled))*fraction)]
}

// allEndpoints returns the endpoints of all tiers.
func (sim *simulation) allEndpoints() (all []*endpoint) {
	for _, t := range sim.tiers {
		all = append(all, t...)
	}
	return all
}

// scheduleFaults schedules the faults of the day's scenario, which begin after a quarter of the day.
func (sim *simulation) scheduleFaults() {
	begin, faultPeriod := sim.day.Length/4, sim.day.Length/3
	switch sim.day.Scenario {
	case "roll":
		sim.replaceEndpoints(sample(sim, sim.allEndpoints(), 0.5), begin, faultPeriod)
		for i, s := range sim.frontSidecars {
			sim.schedule(begin+faultPeriod*time.Duration(i*10/len(sim.frontSidecars))/10, func() { sim.restartSidecar(s) })
		}
	case "herd":
		for _, e := range sample(sim, sim.allEndpoints(), slowFraction) {
			sim.schedule(begin, func() { e.slowdown = faultSlowdown })
			sim.schedule(begin+faultPeriod, func() { e.slowdown = 1 })
		}
		for _, s := range sample(sim, sim.frontSidecars, 0.7) {
			sim.schedule(begin, func() { sim.restartSidecar(s) })
		}
	case "zone":
		for _, e := range sim.allEndpoints() {
			if e.zone == 0 {
				sim.schedule(begin, func() { e.kill() })
				sim.schedule(begin+5*time.Second, func() {
					e.restart()
					sim.announce(e)
				})
			}
		}
	case "split":
		for _, e := range sample(sim, sim.allEndpoints(), 0.2) {
			sim.schedule(begin, func() { e.isIsolated = true })
			sim.schedule(begin+6*time.Second, func() { e.isIsolated = false })
		}
	case "join":
		sim.replaceEndpoints(sample(sim, sim.allEndpoints(), 0.6), begin, 7*time.Second)
	}
}

// restartSidecar kills a front sidecar and starts it a second later with the endpoint list that it had when it was killed.
func (sim *simulation) restartSidecar(s *sidecar) {
	list := s.lastList
	s.kill()
	sim.schedule(time.Second, func() { s.start(list) })
}

// replaceEndpoints replaces endpoints one after another within the given period. A new endpoint, which has to warm up, is started and
// announced in place of each; the old one is announced as draining, 6 s later as gone, and killed 2 s after that.
func (sim *simulation) replaceEndpoints(replaced []*endpoint, begin, period time.Duration) {
	for i, old := range replaced {
		sim.schedule(begin+period*time.Duration(i)/time.Duration(len(replaced)), func() {
			e := sim.addEndpoint(old.tier, len(sim.tiers[old.tier]), sim.now)
			e.cell, e.zone, e.kind, e.speed = old.cell, old.zone, old.kind, old.speed
			sim.addOwnSidecar(e)
			sim.announce(e)
			old.listedState = balance.Draining
			sim.announce(old)
			sim.schedule(6*time.Second, func() {
				old.isGone = true
				sim.announce(old)
				sim.schedule(2*time.Second, old.kill)
			})
		})
	}
}

// sortRequests sorts requests by the number in their IDs, which is the order in which they were sent.
func sortRequests(requests []*request) {
	slices.SortFunc(requests, func(a, b *request) int { return cmp.Or(cmp.Compare(len(a.id), len(b.id)), strings.Compare(a.id, b.id)) })
}

// WriteSummary writes the result as a few lines of text for human readers, with up to three violations of each rule.
func (r *Result) WriteSummary(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%-6s %4d sidecars %4d endpoints %6d asked   in time %5.1f %% of the worth   late %d refused %d failed %d lost %d\n",
		r.Day, r.Sidecars, r.Endpoints, r.Requests, 100*r.ServedFraction(), r.Late, r.Rejected, r.Failed, r.Lost)
	fmt.Fprintf(&b, "       attempts for each needed %.2f %.2f %.2f   connections %.3f a call   lists %d   cold endpoints at most %.2f of what pushes them over\n",
		r.Amplification(0), r.Amplification(1), r.Amplification(2), float64(r.Connections)/max(float64(r.Attempts[0]+r.Attempts[1]+r.Attempts[2]), 1), r.DiscoveryMessages, r.PeakColdLoad)
	for _, rule := range r.Rules.Rules {
		fmt.Fprintf(&b, "       rule %d %-40s %s (%d times put to the test, %d broken)\n", rule.Number, rule.Name, rule.Verdict, rule.TestedOccasions, rule.ViolationCount)
		for _, violation := range rule.Violations[:min(len(rule.Violations), 3)] {
			fmt.Fprintf(&b, "         at %v: %s %s %s %s\n", violation.At, violation.Request, violation.Sidecar, violation.Node, violation.Description)
		}
	}
	_, err := io.WriteString(out, b.String())
	return err
}
