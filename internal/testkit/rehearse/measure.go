package rehearse

import (
	"maps"
	"math"
	"slices"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

// The weights of a day's shares in the points of service, which together are 1.
const (
	weightOverall     = 0.55
	weightWorstWindow = 0.15
	weightWorstClass  = 0.05
	weightWorstTenant = 0.25
)

// The points of service that are taken off, of 100; see Penalties.
const (
	penaltyConnections = 8
	penaltyWaste       = 4
	penaltyLateFails   = 3
	penaltyOverload    = 6
)

// worstWindowSeconds is the length of the window with the least share that counts for itself.
const worstWindowSeconds = 10

// newResult measures and checks the day that was played, up to the instant end of the recorder's clock.
func (r *rehearsal) newResult(m *monitor, dayStart, end time.Duration, before resources) *Result {
	events, dropped := r.recorder.Take()
	events = slices.DeleteFunc(events, func(e invariant.Event) bool { return e.At > end })
	result := &Result{
		Format:   1,
		Day:      r.plan.Day.Name,
		Seed:     r.plan.Seed,
		Demand:   r.plan.DemandFactor,
		ByClass:  map[string]ServedValue{},
		ByTenant: map[string]ServedValue{},
		Latency:  map[string]Latency{},
		Faults:   r.plan.Faults,
		InFlight: m.inFlight,
		Fleet: FleetSize{Nodes: len(r.plan.Nodes), Sidecars: len(r.sidecars), Capacity: r.plan.Capacity,
			Rate: r.plan.Rate},
	}
	for _, n := range r.plan.Nodes {
		result.Nodes = append(result.Nodes, n.Spec.ID)
	}
	result.Invariants = invariant.Check(r.plan.Rules(), events)
	for i := range result.Invariants.Rules {
		violations := result.Invariants.Rules[i].Breaches
		for k := range violations {
			violations[k].At -= dayStart
		}
	}
	result.Held = result.Invariants.Held()
	if result.Cluster = r.cluster.check(dayStart, end); result.Cluster != nil {
		result.Held = result.Held && result.Cluster.Held
	}
	r.addClientMetrics(result)
	r.addNodeMetrics(result, events, dayStart)
	result.addService()
	now := resourceUsage()
	result.Harness = HarnessMetrics{
		SendLatenessP50:  r.sendLateness.Quantile(0.5).Seconds(),
		SendLatenessP99:  r.sendLateness.Quantile(0.99).Seconds(),
		SendLatenessMax:  r.sendLateness.Max().Seconds(),
		TimerLatenessP99: m.timerLateness.Quantile(0.99).Seconds(),
		LongestStall:     m.worstStall.Seconds(),
		CPUSeconds:       (now.own - before.own).Seconds(),
		DroppedEvents:    dropped,
	}
	r.validate(result, events, dayStart)
	return result
}

// addClientMetrics measures what clients got: shares of worth served in time, latencies and counts.
func (r *rehearsal) addClientMetrics(result *Result) {
	byName := map[string]*schedule.LatencyHistogram{"all": schedule.NewLatencyHistogram()}
	bySecond := make([]*schedule.LatencyHistogram, int(math.Ceil(r.plan.Day.Length.Seconds())))
	result.BySecond = make([]Second, len(bySecond))
	for i := range bySecond {
		bySecond[i] = schedule.NewLatencyHistogram()
	}
	var overall ServedValue
	lateFailWorth, attempts := 0.0, 0
	for i := range r.plan.Requests {
		request, o := &r.plan.Requests[i], &r.outcomes[i]
		class := r.plan.Day.Classes[request.Class]
		isInTime := o.isInTime(class.LatencyObjective)
		second := min(int(request.At.Seconds()), len(bySecond)-1)
		overall.addRequest(request, isInTime)
		result.BySecond[second].addRequest(request, isInTime)
		addToServedValue(result.ByClass, class.Name, request, isInTime)
		if !request.IsOverQuota {
			addToServedValue(result.ByTenant, r.plan.Day.Tenants[request.Tenant].Name, request, isInTime)
		}
		attempts += o.attempts
		result.Requests.addOutcome(o, class.LatencyObjective)
		if o.isServed {
			for _, name := range []string{"all", class.Name} {
				if byName[name] == nil {
					byName[name] = schedule.NewLatencyHistogram()
				}
				byName[name].Record(o.duration)
			}
			bySecond[second].Record(o.duration)
		} else if o.duration > class.LatencyObjective {
			lateFailWorth += request.Value
		}
	}
	for name, l := range byName {
		result.Latency[name] = Latency{P50: l.Quantile(0.5).Seconds(), P90: l.Quantile(0.9).Seconds(), P99: l.Quantile(0.99).Seconds(),
			P999: l.Quantile(0.999).Seconds(), Max: l.Max().Seconds()}
	}
	for i, l := range bySecond {
		result.BySecond[i].P50, result.BySecond[i].P99 = l.Quantile(0.5).Seconds(), l.Quantile(0.99).Seconds()
	}
	result.InTimeFraction, result.WorstWindowFraction = overall.Fraction, worstWindowFraction(result.BySecond)
	result.ClientAttemptsPerRequest = ratio(float64(attempts), float64(len(r.plan.Requests)), 0)
	result.Penalties.LateFailures = penaltyLateFails * ratio(lateFailWorth, overall.Offered, 0)
}

// addNodeMetrics measures what nodes observed: attempts, connections, rejections, wasted work and overload.
func (r *rehearsal) addNodeMetrics(result *Result, events []invariant.Event, dayStart time.Duration) {
	tierOf := map[string]int{}
	connections, overloaded := 0, 0
	for _, hosts := range r.hosts {
		for _, h := range hosts {
			h.mu.Lock()
			wasOverloaded := false
			for _, n := range h.incarnations {
				tierOf[n.ID] = n.Tier
				connections += n.OpenedConnections()
				wasOverloaded = wasOverloaded || n.WasOverloaded()
			}
			if wasOverloaded {
				overloaded++
			}
			h.mu.Unlock()
		}
	}
	firstTier, allTiers, workDone := 0, 0, 0.0
	work := map[string]float64{} // by request
	result.Rejections = make([]float64, len(result.BySecond))
	for _, e := range events {
		switch e.Kind {
		case invariant.AttemptReceived:
			allTiers++
			if tierOf[e.Node] == 0 {
				firstTier++
			}
			work[e.Request] = e.Work
		case invariant.EffectStarted:
			if !e.Duplicate {
				workDone += work[e.Request]
			}
		case invariant.ResponseReceived:
			if s := int((e.At - dayStart).Seconds()); isRejection(e.Status) && s >= 0 && s < len(result.Rejections) {
				result.Rejections[s]++
			}
		}
	}
	n := float64(len(r.plan.Requests))
	result.AttemptsPerRequest = ratio(float64(firstTier), n, 0)
	result.CallsPerRequest = ratio(float64(allTiers), n, 0)
	result.ConnectionsPerRequest = ratio(float64(connections), n, 0)
	offered, useful := 0.0, 0.0
	for i := range r.plan.Requests {
		total := r.plan.Requests[i].Job.TotalWork().Seconds()
		offered += total
		if r.outcomes[i].isServed {
			useful += total
		}
	}
	result.Penalties.Connections = penaltyConnections * result.ConnectionsPerRequest
	result.Penalties.Waste = penaltyWaste * ratio(max(workDone-useful, 0), offered, 0)
	result.Penalties.Overload = penaltyOverload * ratio(float64(overloaded), float64(len(r.plan.Nodes)), 0)
}

// addService sums the weighted shares, less the penalties, to points of 100.
func (r *Result) addService() {
	r.Service = 100*(weightOverall*r.InTimeFraction+weightWorstWindow*r.WorstWindowFraction+weightWorstClass*minFraction(r.ByClass)+
		weightWorstTenant*minFraction(r.ByTenant)) -
		r.Penalties.Connections - r.Penalties.Waste - r.Penalties.LateFailures - r.Penalties.Overload
}

// addRequest counts a request.
func (s *ServedValue) addRequest(request *Request, isInTime bool) {
	s.Offered += request.Value
	if isInTime {
		s.InTime += request.Value
	}
	s.Fraction = ratio(s.InTime, s.Offered, 1)
}

func addToServedValue(shares map[string]ServedValue, name string, request *Request, isInTime bool) {
	s := shares[name]
	s.addRequest(request, isInTime)
	shares[name] = s
}

// addOutcome counts a request by its outcome.
func (c *Counts) addOutcome(o *outcome, objective time.Duration) {
	c.Total++
	switch {
	case o.isServed:
		c.Served++
		if o.duration > objective {
			c.Late++
		}
	case isRejection(o.status):
		c.Rejected++
	case o.status != 0:
		c.Failed++
	default:
		c.Unanswered++
	}
}

// worstWindowFraction is the least share of a window of worstWindowSeconds, or of all where the day is shorter.
func worstWindowFraction(seconds []Second) float64 {
	least := 1.0
	length := min(worstWindowSeconds, len(seconds))
	for i := 0; i+length <= len(seconds); i++ {
		var sum ServedValue
		for _, s := range seconds[i : i+length] {
			sum.Offered += s.Offered
			sum.InTime += s.InTime
		}
		least = min(least, ratio(sum.InTime, sum.Offered, 1))
	}
	return least
}

// minFraction is the least share of all, 1 without any.
func minFraction(shares map[string]ServedValue) float64 {
	least := 1.0
	for _, s := range shares {
		least = min(least, s.Fraction)
	}
	return least
}

// ratio is a over b, or a value of its own where b is not positive.
func ratio(a, b, empty float64) float64 {
	if b <= 0 {
		return empty
	}
	return a / b
}

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
