package rehearse

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

// Result is what a day showed. Shares are of worth: answered in time over asked for.
type Result struct {
	Format   int     `json:"format"` // 1
	Day      string  `json:"day"`
	Balancer string  `json:"balancer"`
	Seed     uint64  `json:"seed"`
	Demand   float64 `json:"demand"`

	Valid   bool     `json:"valid"`
	Invalid []string `json:"invalid,omitempty"` // why the day says nothing about the sidecars
	Held    bool     `json:"held"`              // no rule broken, no sidecar crashed

	WorthShare  float64          `json:"whole"`
	WorstWindow float64          `json:"worst_10s"`
	BySecond    []Second         `json:"by_second"`
	ByClass     map[string]Share `json:"by_class"`
	ByTenant    map[string]Share `json:"by_tenant"` // within its share
	Service     float64          `json:"service"`   // points of 100: the weights of whole, worst 10 s, class and tenant, less the prices
	Penalties   Penalties        `json:"prices"`

	Requests       Counts             `json:"requests"`
	Attempts       float64            `json:"attempts_per_request"`    // to nodes of the first tier
	Calls          float64            `json:"calls_per_request"`       // attempts in all tiers
	Connections    float64            `json:"connections_per_request"` // that nodes saw opened
	ClientAttempts float64            `json:"tries_per_request"`       // of clients
	Latency        map[string]Latency `json:"latency"`                 // of what was served, from the instant due, by class; "all" is all

	Invariants *invariant.Report `json:"referee"`
	Faults     []Fault           `json:"troubles"`
	Nodes      []string          `json:"nodes"`
	InFlight   [][]int           `json:"in_hand"` // by quarter of a second, by node

	Fleet      FleetSize      `json:"fleet"`
	Cluster    *ClusterResult `json:"peers,omitempty"` // what the sidecars of a fleet held of one another
	Harness    HarnessMetrics `json:"own"`
	Rejections []float64      `json:"refusals_by_second"` // answers that refuse, a second
}

// Share is worth answered in time, of worth asked for.
type Share struct {
	Offered float64 `json:"asked"`
	InTime  float64 `json:"answered"`
	Share   float64 `json:"share"`
}

func (s *Share) add(q *Request, inTime bool) {
	s.Offered += q.Worth
	if inTime {
		s.InTime += q.Worth
	}
	s.Share = ratio(s.InTime, s.Offered, 1)
}

// Second is one second of the day, by the instants at which requests were due.
type Second struct {
	Share
	P50 float64 `json:"p50_s"`
	P99 float64 `json:"p99_s"`
}

// Penalties are what is taken off, in points of 100.
type Penalties struct {
	Connections float64 `json:"connections"` // 8 for a new one for each request
	Waste       float64 `json:"waste"`       // 4 for as much work wasted as was asked for
	LateFails   float64 `json:"late_fails"`  // 3 for all failing only after the wanted time
	Overload    float64 `json:"choked"`      // 6 if all nodes turned slow by overload
}

// Counts are first tries by how they ended.
type Counts struct {
	Total      int `json:"asked"`
	Served     int `json:"served"`
	Late       int `json:"late"` // served after the aim
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"no_answer"` // left, lost with a killed sidecar, or never reached one
}

// Latency is a distribution in seconds.
type Latency struct {
	P50  float64 `json:"p50_s"`
	P90  float64 `json:"p90_s"`
	P99  float64 `json:"p99_s"`
	P999 float64 `json:"p999_s"`
	Max  float64 `json:"most_s"`
}

// FleetSize is the size of what was rehearsed.
type FleetSize struct {
	Nodes    int     `json:"nodes"`
	Sidecars int     `json:"sidecars"`
	Capacity float64 `json:"capacity_per_s"`
	Rate     float64 `json:"rate_per_s"`
}

// HarnessMetrics is how the rehearsal itself fared.
type HarnessMetrics struct {
	LateP50         float64 `json:"late_p50_s"` // sends after their due instants
	LateP99         float64 `json:"late_p99_s"`
	LateMax         float64 `json:"late_most_s"`
	TimerP99        float64 `json:"timer_p99_s"`
	Stalls          int     `json:"stalls"`
	WorstStall      float64 `json:"worst_stall_s"`
	CPU             float64 `json:"cpu_s"`
	SidecarsCPU     float64 `json:"sidecars_cpu_s"`
	MemoryMB        float64 `json:"memory_mb"`         // the most so far, of all days in this run
	SidecarMemoryMB float64 `json:"sidecar_memory_mb"` // the same, of the largest sidecar
	DroppedEvents   int     `json:"events_without_room"`
}

func ratio(a, b, empty float64) float64 {
	if b <= 0 {
		return empty
	}
	return a / b
}

// Weights and prices of service.
const (
	weightOverall, weightWorstWindow, weightWorstClass, weightWorstTenant = 0.55, 0.15, 0.05, 0.25
	penaltyConnections, penaltyWaste, penaltyLateFails, penaltyOverload   = 8, 4, 3, 6
	worstWindowSeconds                                                    = 10 // seconds
)

func (w *rehearsal) newResult(h *monitor, dayStart, end time.Duration, began resources) *Result {
	events, lost := w.recorder.Take()
	events = slices.DeleteFunc(events, func(e invariant.Event) bool { return e.At > end })
	r := &Result{Format: 1, Day: w.plan.Day.Name, Seed: w.plan.Seed, Demand: w.plan.Demand, ByClass: map[string]Share{}, ByTenant: map[string]Share{},
		Latency: map[string]Latency{}, Faults: w.plan.Faults, InFlight: h.inFlight,
		Fleet: FleetSize{Nodes: len(w.plan.Nodes), Sidecars: len(w.sidecars), Capacity: w.plan.Capacity, Rate: w.plan.Rate}}
	for _, n := range w.plan.Nodes {
		r.Nodes = append(r.Nodes, n.Spec.ID)
	}
	r.Invariants = invariant.Judge(w.plan.Rules(), events)
	for i := range r.Invariants.Rules {
		for k := range r.Invariants.Rules[i].Breaches {
			r.Invariants.Rules[i].Breaches[k].At -= dayStart
		}
	}
	r.Held = r.Invariants.Held()
	if r.Cluster = w.cluster.check(dayStart, end); r.Cluster != nil {
		r.Held = r.Held && r.Cluster.Held
	}
	w.addWorth(r)
	w.addNodeMetrics(r, events, dayStart)
	now := resourceUsage()
	r.Harness = HarnessMetrics{LateP50: w.sendLateness.At(0.5).Seconds(), LateP99: w.sendLateness.At(0.99).Seconds(), LateMax: w.sendLateness.Most().Seconds(), TimerP99: h.timerLateness.At(0.99).Seconds(),
		WorstStall: h.worstStall.Seconds(), CPU: (now.own - began.own).Seconds(), DroppedEvents: lost}
	w.validate(r, events, dayStart)
	return r
}

// addWorth counts what was answered in time.
func (w *rehearsal) addWorth(r *Result) {
	all := map[string]*schedule.Latency{"all": schedule.NewLatency()}
	seconds := make([]*schedule.Latency, int(math.Ceil(w.plan.Day.Length.Seconds())))
	r.BySecond = make([]Second, len(seconds))
	for i := range seconds {
		seconds[i] = schedule.NewLatency()
	}
	var whole Share
	lateFail, tries := 0.0, 0
	for i := range w.plan.Requests {
		q, o := &w.plan.Requests[i], &w.outcomes[i]
		class := w.plan.Day.Classes[q.Class]
		inTime := o.isInTime(class.LatencyObjective)
		second := min(int(q.At.Seconds()), len(seconds)-1)
		whole.add(q, inTime)
		r.BySecond[second].add(q, inTime)
		addToShare(r.ByClass, class.Name, q, inTime)
		if !q.IsOverQuota {
			addToShare(r.ByTenant, w.plan.Day.Tenants[q.Tenant].Name, q, inTime)
		}
		tries += o.attempts
		r.Requests.count(o, class.LatencyObjective)
		if o.isServed {
			for _, name := range []string{"all", class.Name} {
				if all[name] == nil {
					all[name] = schedule.NewLatency()
				}
				all[name].Record(o.duration)
			}
			seconds[second].Record(o.duration)
		} else if o.duration > class.LatencyObjective {
			lateFail += q.Worth
		}
	}
	for name, l := range all {
		r.Latency[name] = Latency{l.At(0.5).Seconds(), l.At(0.9).Seconds(), l.At(0.99).Seconds(), l.At(0.999).Seconds(), l.Most().Seconds()}
	}
	for i, l := range seconds {
		r.BySecond[i].P50, r.BySecond[i].P99 = l.At(0.5).Seconds(), l.At(0.99).Seconds()
	}
	r.WorthShare, r.WorstWindow = whole.Share, worstWindowShare(r.BySecond)
	r.ClientAttempts = ratio(float64(tries), float64(len(w.plan.Requests)), 0)
	r.Penalties.LateFails = penaltyLateFails * ratio(lateFail, whole.Offered, 0)
}

func addToShare(in map[string]Share, name string, q *Request, inTime bool) {
	s := in[name]
	s.add(q, inTime)
	in[name] = s
}

func (c *Counts) count(o *outcome, aim time.Duration) {
	c.Total++
	switch {
	case o.isServed:
		c.Served++
		if o.duration > aim {
			c.Late++
		}
	case o.status == 429 || o.status == 503:
		c.Rejected++
	case o.status != 0:
		c.Failed++
	default:
		c.Unanswered++
	}
}

// worstWindowShare is the share in the worst ten seconds.
func worstWindowShare(by []Second) float64 {
	least := 1.0
	for i := 0; i+min(worstWindowSeconds, len(by)) <= len(by); i++ {
		var sum Share
		for _, s := range by[i:min(i+worstWindowSeconds, len(by))] {
			sum.Offered += s.Offered
			sum.InTime += s.InTime
		}
		least = min(least, ratio(sum.InTime, sum.Offered, 1))
	}
	return least
}

// addNodeMetrics counts what nodes saw, and takes the prices off.
func (w *rehearsal) addNodeMetrics(r *Result, events []invariant.Event, dayStart time.Duration) {
	tierOf := map[string]int{}
	conns, choked := 0, 0
	for _, sites := range w.hosts {
		for _, s := range sites {
			s.mu.Lock()
			hit := false
			for _, n := range s.incarnations {
				tierOf[n.ID] = n.Tier
				conns += n.OpenedConnections()
				hit = hit || n.WasOverloaded()
			}
			if hit {
				choked++
			}
			s.mu.Unlock()
		}
	}
	first, all, ran := 0, 0, 0.0
	work := map[string]float64{}
	r.Rejections = make([]float64, len(r.BySecond))
	for _, e := range events {
		switch e.Kind {
		case invariant.Sent:
			all++
			if tierOf[e.Node] == 0 {
				first++
			}
			work[e.Request] = e.Work
		case invariant.Began:
			if !e.Repeat {
				ran += work[e.Request]
			}
		case invariant.Answered:
			if s := int((e.At - dayStart).Seconds()); (e.Status == 503 || e.Status == 429) && s >= 0 && s < len(r.Rejections) {
				r.Rejections[s]++
			}
		}
	}
	n := float64(len(w.plan.Requests))
	r.Attempts, r.Calls, r.Connections = ratio(float64(first), n, 0), ratio(float64(all), n, 0), ratio(float64(conns), n, 0)
	offered, useful := 0.0, 0.0
	for i := range w.plan.Requests {
		total := w.plan.Requests[i].Job.TotalWork().Seconds()
		offered += total
		if w.outcomes[i].isServed {
			useful += total
		}
	}
	r.Penalties.Connections = penaltyConnections * r.Connections
	r.Penalties.Waste = penaltyWaste * ratio(max(ran-useful, 0), offered, 0)
	r.Penalties.Overload = penaltyOverload * ratio(float64(choked), float64(len(w.plan.Nodes)), 0)
	r.Service = 100*(weightOverall*r.WorthShare+weightWorstWindow*r.WorstWindow+weightWorstClass*minShare(r.ByClass)+weightWorstTenant*minShare(r.ByTenant)) -
		r.Penalties.Connections - r.Penalties.Waste - r.Penalties.LateFails - r.Penalties.Overload
}

func minShare(by map[string]Share) float64 {
	least := 1.0
	for _, s := range by {
		least = min(least, s.Share)
	}
	return least
}

// Bounds of the rehearsal's own lateness, past which a day is not valid. The rules allow 50 ms on each limit: sends that
// are later than half of that, or a pause as long as the grace for drains, could pass for a sidecar's fault.
const (
	maxLateShare   = 0.5 // of the rules' slack, for 99 sends of 100
	maxStallShare  = 1.0 // of the grace for drains, for any pause
	stallProximity = time.Second
)

// validate says whether the day is valid.
func (w *rehearsal) validate(r *Result, events []invariant.Event, dayStart time.Duration) {
	rules := w.plan.Day.Rules
	if limit := maxLateShare * rules.Slack.Seconds(); r.Harness.LateP99 > limit {
		r.Invalid = append(r.Invalid, fmt.Sprintf("1 send of 100 was %.0f ms late or more, %.0f ms are allowed: this machine is too busy, or the day too large for it", 1000*r.Harness.LateP99, 1000*limit))
	}
	if limit := maxStallShare * rules.DrainGrace.Seconds(); r.Harness.WorstStall > limit {
		r.Invalid = append(r.Invalid, fmt.Sprintf("the rehearsal itself stood still for %.0f ms, %.0f ms are allowed", 1000*r.Harness.WorstStall, 1000*limit))
	}
	if r.Harness.DroppedEvents > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d events had no room in the timeline: the day is too long", r.Harness.DroppedEvents))
	}
	var stalls []invariant.Event
	for _, e := range events {
		if e.Kind == invariant.HarnessStall {
			stalls = append(stalls, e)
		}
	}
	r.Harness.Stalls = len(stalls)
	near := 0
	for _, rule := range r.Invariants.Rules {
		for _, b := range rule.Breaches {
			if slices.ContainsFunc(stalls, func(e invariant.Event) bool {
				return e.At-e.For-stallProximity <= b.At+dayStart && b.At+dayStart <= e.At+stallProximity
			}) {
				near++
			}
		}
	}
	if near > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d breaks of a rule lie within %v of a pause of the rehearsal's own", near, stallProximity))
	}
	r.Valid = len(r.Invalid) == 0
}

// sortedKeys of what a Result keeps by name, in order.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
