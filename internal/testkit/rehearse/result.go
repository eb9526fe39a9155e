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

	Whole       float64          `json:"whole"`
	WorstWindow float64          `json:"worst_10s"`
	BySecond    []Second         `json:"by_second"`
	ByClass     map[string]Share `json:"by_class"`
	ByTenant    map[string]Share `json:"by_tenant"` // within its share
	Service     float64          `json:"service"`   // points of 100: the weights of whole, worst 10 s, class and tenant, less the prices
	Prices      Prices           `json:"prices"`

	Requests   Counts             `json:"requests"`
	Attempts   float64            `json:"attempts_per_request"`    // to nodes of the first tier
	Calls      float64            `json:"calls_per_request"`       // attempts in all tiers
	Conns      float64            `json:"connections_per_request"` // that nodes saw opened
	ClientsOwn float64            `json:"tries_per_request"`       // of clients
	Latency    map[string]Latency `json:"latency"`                 // of what was served, from the instant due, by class; "all" is all

	Referee  *invariant.Report `json:"referee"`
	Troubles []Strike          `json:"troubles"`
	Nodes    []string          `json:"nodes"`
	InHand   [][]int           `json:"in_hand"` // by quarter of a second, by node

	Fleet    Fleet     `json:"fleet"`
	Peers    *Peers    `json:"peers,omitempty"` // what the sidecars of a fleet held of one another
	Own      Own       `json:"own"`
	Refusals []float64 `json:"refusals_by_second"` // answers that refuse, a second
}

// Share is worth answered in time, of worth asked for.
type Share struct {
	Asked    float64 `json:"asked"`
	Answered float64 `json:"answered"`
	Share    float64 `json:"share"`
}

func (s *Share) add(q *Request, inTime bool) {
	s.Asked += q.Worth
	if inTime {
		s.Answered += q.Worth
	}
	s.Share = ratio(s.Answered, s.Asked, 1)
}

// Second is one second of the day, by the instants at which requests were due.
type Second struct {
	Share
	P50 float64 `json:"p50_s"`
	P99 float64 `json:"p99_s"`
}

// Prices are what is taken off, in points of 100.
type Prices struct {
	Connections float64 `json:"connections"` // 8 for a new one for each request
	Waste       float64 `json:"waste"`       // 4 for as much work wasted as was asked for
	LateFails   float64 `json:"late_fails"`  // 3 for all failing only after the wanted time
	Choked      float64 `json:"choked"`      // 6 if all nodes turned slow by overload
}

// Counts are first tries by how they ended.
type Counts struct {
	Asked   int `json:"asked"`
	Served  int `json:"served"`
	Late    int `json:"late"` // served after the aim
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	None    int `json:"no_answer"` // left, lost with a killed sidecar, or never reached one
}

// Latency is a distribution in seconds.
type Latency struct {
	P50  float64 `json:"p50_s"`
	P90  float64 `json:"p90_s"`
	P99  float64 `json:"p99_s"`
	P999 float64 `json:"p999_s"`
	Most float64 `json:"most_s"`
}

// Fleet is the size of what was rehearsed.
type Fleet struct {
	Nodes    int     `json:"nodes"`
	Sidecars int     `json:"sidecars"`
	Capacity float64 `json:"capacity_per_s"`
	Rate     float64 `json:"rate_per_s"`
}

// Own is how the rehearsal itself fared.
type Own struct {
	LateP50         float64 `json:"late_p50_s"` // sends after their due instants
	LateP99         float64 `json:"late_p99_s"`
	LateMost        float64 `json:"late_most_s"`
	TimerP99        float64 `json:"timer_p99_s"`
	Stalls          int     `json:"stalls"`
	WorstStall      float64 `json:"worst_stall_s"`
	CPU             float64 `json:"cpu_s"`
	SidecarsCPU     float64 `json:"sidecars_cpu_s"`
	MemoryMB        float64 `json:"memory_mb"`         // the most so far, of all days in this run
	SidecarMemoryMB float64 `json:"sidecar_memory_mb"` // the same, of the largest sidecar
	EventsNoRoom    int     `json:"events_without_room"`
}

func ratio(a, b, empty float64) float64 {
	if b <= 0 {
		return empty
	}
	return a / b
}

// Weights and prices of service.
const (
	weighWhole, weighWindow, weighClass, weighTenant    = 0.55, 0.15, 0.05, 0.25
	priceConnections, priceWaste, priceLate, priceChoke = 8, 4, 3, 6
	worstWindow                                         = 10 // seconds
)

func (w *world) result(h *watch, dayStart, end time.Duration, began resources) *Result {
	events, lost := w.rec.Take()
	events = slices.DeleteFunc(events, func(e invariant.Event) bool { return e.At > end })
	r := &Result{Format: 1, Day: w.plan.Day.Name, Seed: w.plan.Seed, Demand: w.plan.Demand, ByClass: map[string]Share{}, ByTenant: map[string]Share{},
		Latency: map[string]Latency{}, Troubles: w.plan.Strikes, InHand: h.inHand,
		Fleet: Fleet{Nodes: len(w.plan.Nodes), Sidecars: len(w.all), Capacity: w.plan.Capacity, Rate: w.plan.Rate}}
	for _, n := range w.plan.Nodes {
		r.Nodes = append(r.Nodes, n.Spec.ID)
	}
	r.Referee = invariant.Judge(w.plan.Rules(), events)
	for i := range r.Referee.Rules {
		for k := range r.Referee.Rules[i].Breaches {
			r.Referee.Rules[i].Breaches[k].At -= dayStart
		}
	}
	r.Held = r.Referee.Held()
	if r.Peers = w.fleet.judge(dayStart, end); r.Peers != nil {
		r.Held = r.Held && r.Peers.Held
	}
	w.worth(r)
	w.nodesSaw(r, events, dayStart)
	now := usage()
	r.Own = Own{LateP50: w.own.At(0.5).Seconds(), LateP99: w.own.At(0.99).Seconds(), LateMost: w.own.Most().Seconds(), TimerP99: h.own.At(0.99).Seconds(),
		WorstStall: h.worst.Seconds(), CPU: (now.own - began.own).Seconds(), EventsNoRoom: lost}
	w.judgeOwn(r, events, dayStart)
	return r
}

// worth counts what was answered in time.
func (w *world) worth(r *Result) {
	all := map[string]*schedule.Latency{"all": schedule.NewLatency()}
	seconds := make([]*schedule.Latency, int(math.Ceil(w.plan.Day.Length.Seconds())))
	r.BySecond = make([]Second, len(seconds))
	for i := range seconds {
		seconds[i] = schedule.NewLatency()
	}
	var whole Share
	lateFail, tries := 0.0, 0
	for i := range w.plan.Requests {
		q, o := &w.plan.Requests[i], &w.outs[i]
		class := w.plan.Day.Class[q.Class]
		inTime := o.inAim(class.Aim)
		second := min(int(q.At.Seconds()), len(seconds)-1)
		whole.add(q, inTime)
		r.BySecond[second].add(q, inTime)
		addTo(r.ByClass, class.Name, q, inTime)
		if !q.Over {
			addTo(r.ByTenant, w.plan.Day.Tenant[q.Tenant].Name, q, inTime)
		}
		tries += o.tries
		r.Requests.count(o, class.Aim)
		if o.served {
			for _, name := range []string{"all", class.Name} {
				if all[name] == nil {
					all[name] = schedule.NewLatency()
				}
				all[name].Record(o.took)
			}
			seconds[second].Record(o.took)
		} else if o.took > class.Aim {
			lateFail += q.Worth
		}
	}
	for name, l := range all {
		r.Latency[name] = Latency{l.At(0.5).Seconds(), l.At(0.9).Seconds(), l.At(0.99).Seconds(), l.At(0.999).Seconds(), l.Most().Seconds()}
	}
	for i, l := range seconds {
		r.BySecond[i].P50, r.BySecond[i].P99 = l.At(0.5).Seconds(), l.At(0.99).Seconds()
	}
	r.Whole, r.WorstWindow = whole.Share, worst(r.BySecond)
	r.ClientsOwn = ratio(float64(tries), float64(len(w.plan.Requests)), 0)
	r.Prices.LateFails = priceLate * ratio(lateFail, whole.Asked, 0)
}

func addTo(in map[string]Share, name string, q *Request, inTime bool) {
	s := in[name]
	s.add(q, inTime)
	in[name] = s
}

func (c *Counts) count(o *outcome, aim time.Duration) {
	c.Asked++
	switch {
	case o.served:
		c.Served++
		if o.took > aim {
			c.Late++
		}
	case o.status == 429 || o.status == 503:
		c.Refused++
	case o.status != 0:
		c.Failed++
	default:
		c.None++
	}
}

// worst is the share in the worst ten seconds.
func worst(by []Second) float64 {
	least := 1.0
	for i := 0; i+min(worstWindow, len(by)) <= len(by); i++ {
		var sum Share
		for _, s := range by[i:min(i+worstWindow, len(by))] {
			sum.Asked += s.Asked
			sum.Answered += s.Answered
		}
		least = min(least, ratio(sum.Answered, sum.Asked, 1))
	}
	return least
}

// nodesSaw counts what nodes saw, and takes the prices off.
func (w *world) nodesSaw(r *Result, events []invariant.Event, dayStart time.Duration) {
	tierOf := map[string]int{}
	conns, choked := 0, 0
	for _, sites := range w.tiers {
		for _, s := range sites {
			s.mu.Lock()
			hit := false
			for _, n := range s.all {
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
	r.Refusals = make([]float64, len(r.BySecond))
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
			if s := int((e.At - dayStart).Seconds()); (e.Status == 503 || e.Status == 429) && s >= 0 && s < len(r.Refusals) {
				r.Refusals[s]++
			}
		}
	}
	n := float64(len(w.plan.Requests))
	r.Attempts, r.Calls, r.Conns = ratio(float64(first), n, 0), ratio(float64(all), n, 0), ratio(float64(conns), n, 0)
	offered, useful := 0.0, 0.0
	for i := range w.plan.Requests {
		total := w.plan.Requests[i].Job.TotalWork().Seconds()
		offered += total
		if w.outs[i].served {
			useful += total
		}
	}
	r.Prices.Connections = priceConnections * r.Conns
	r.Prices.Waste = priceWaste * ratio(max(ran-useful, 0), offered, 0)
	r.Prices.Choked = priceChoke * ratio(float64(choked), float64(len(w.plan.Nodes)), 0)
	r.Service = 100*(weighWhole*r.Whole+weighWindow*r.WorstWindow+weighClass*least(r.ByClass)+weighTenant*least(r.ByTenant)) -
		r.Prices.Connections - r.Prices.Waste - r.Prices.LateFails - r.Prices.Choked
}

func least(by map[string]Share) float64 {
	least := 1.0
	for _, s := range by {
		least = min(least, s.Share)
	}
	return least
}

// Bounds of the rehearsal's own lateness, past which a day is not valid. The rules allow 50 ms on each limit: sends that
// are later than half of that, or a pause as long as the grace for drains, could pass for a sidecar's fault.
const (
	lateShare  = 0.5 // of the rules' slack, for 99 sends of 100
	stallShare = 1.0 // of the grace for drains, for any pause
	nearStall  = time.Second
)

// judgeOwn says whether the day is valid.
func (w *world) judgeOwn(r *Result, events []invariant.Event, dayStart time.Duration) {
	rules := w.plan.Day.Rules
	if limit := lateShare * rules.Slack.Seconds(); r.Own.LateP99 > limit {
		r.Invalid = append(r.Invalid, fmt.Sprintf("1 send of 100 was %.0f ms late or more, %.0f ms are allowed: this machine is too busy, or the day too large for it", 1000*r.Own.LateP99, 1000*limit))
	}
	if limit := stallShare * rules.DrainGrace.Seconds(); r.Own.WorstStall > limit {
		r.Invalid = append(r.Invalid, fmt.Sprintf("the rehearsal itself stood still for %.0f ms, %.0f ms are allowed", 1000*r.Own.WorstStall, 1000*limit))
	}
	if r.Own.EventsNoRoom > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d events had no room in the timeline: the day is too long", r.Own.EventsNoRoom))
	}
	var stalls []invariant.Event
	for _, e := range events {
		if e.Kind == invariant.HarnessStall {
			stalls = append(stalls, e)
		}
	}
	r.Own.Stalls = len(stalls)
	near := 0
	for _, rule := range r.Referee.Rules {
		for _, b := range rule.Breaches {
			if slices.ContainsFunc(stalls, func(e invariant.Event) bool {
				return e.At-e.For-nearStall <= b.At+dayStart && b.At+dayStart <= e.At+nearStall
			}) {
				near++
			}
		}
	}
	if near > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d breaks of a rule lie within %v of a pause of the rehearsal's own", near, nearStall))
	}
	r.Valid = len(r.Invalid) == 0
}

// names of what a Result keeps by name, in order.
func names[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
