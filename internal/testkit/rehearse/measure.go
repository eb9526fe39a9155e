package rehearse

import (
	"maps"
	"math"
	"slices"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

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

// sortedKeys of what a Result keeps by name, in order.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
