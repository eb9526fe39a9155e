package rehearse

import (
	"maps"
	"math"
	"slices"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

// The weights of four fractions of which computeServicePoints forms a weighted sum. Each fraction says how much of the value of
// requests (priority weight times work) was served in time: of all requests of the run, or only of those in the time window, the
// class or the tenant for which the fraction is lowest. The sum of the weights is 1.
const (
	pointsWeightAllRequests = 0.55
	pointsWeightWorstWindow = 0.15
	pointsWeightWorstClass  = 0.05
	pointsWeightWorstTenant = 0.25
)

// The factors of the penalties. A penalty is its factor times a ratio that is measured in the run, such as the connections per
// request, and is subtracted from the service points of the run, which are out of 100. The fields of Penalties say what each ratio is.
const (
	penaltyFactorConnections  = 8
	penaltyFactorWaste        = 4
	penaltyFactorLateFailures = 3
	penaltyFactorOverload     = 6
)

// worstWindowSeconds is the length in seconds of the time windows among which Result.WorstWindowFraction finds the worst.
const worstWindowSeconds = 10

// newResult returns the measurements and verdicts of a day that started at dayStart. It ignores events after end. Both are times
// that r.recorder returned.
func (r *rehearsal) newResult(m *monitor, dayStart, end time.Duration, usageBefore resources) *Result {
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
		violations := result.Invariants.Rules[i].Violations
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
	result.computeServicePoints()
	usage := resourceUsage()
	result.Harness = HarnessMetrics{
		SendLatenessP50:  r.sendLateness.Quantile(0.5).Seconds(),
		SendLatenessP99:  r.sendLateness.Quantile(0.99).Seconds(),
		SendLatenessMax:  r.sendLateness.Max().Seconds(),
		TimerLatenessP99: m.timerLateness.Quantile(0.99).Seconds(),
		LongestStall:     m.longestStall.Seconds(),
		CPUSeconds:       (usage.ownCPU - usageBefore.ownCPU).Seconds(),
		DroppedEvents:    dropped,
	}
	r.validate(result, events, dayStart)
	return result
}

// addClientMetrics sets what clients observed: the value (priority weight times work) of the requests served in time, latencies, and
// counts of requests and attempts.
func (r *rehearsal) addClientMetrics(result *Result) {
	latencyByName := map[string]*schedule.LatencyHistogram{"all": schedule.NewLatencyHistogram()}
	latencyBySecond := make([]*schedule.LatencyHistogram, int(math.Ceil(r.plan.Day.Length.Seconds())))
	result.BySecond = make([]Second, len(latencyBySecond))
	for i := range latencyBySecond {
		latencyBySecond[i] = schedule.NewLatencyHistogram()
	}
	var overall ServedValue
	lateFailureValue, attemptsSent := 0.0, 0
	for i := range r.plan.Requests {
		request, o := &r.plan.Requests[i], &r.outcomes[i]
		class := r.plan.Day.Classes[request.Class]
		isInTime := o.isInTime(class.LatencyObjective)
		second := min(int(request.At.Seconds()), len(latencyBySecond)-1)
		overall.addRequest(request, isInTime)
		result.BySecond[second].addRequest(request, isInTime)
		addToServedValue(result.ByClass, class.Name, request, isInTime)
		if !request.IsOverQuota {
			addToServedValue(result.ByTenant, r.plan.Day.Tenants[request.Tenant].Name, request, isInTime)
		}
		attemptsSent += o.attemptsSent
		result.Requests.addOutcome(o, class.LatencyObjective)
		if o.isServed {
			for _, name := range []string{"all", class.Name} {
				if latencyByName[name] == nil {
					latencyByName[name] = schedule.NewLatencyHistogram()
				}
				latencyByName[name].Record(o.duration)
			}
			latencyBySecond[second].Record(o.duration)
		} else if o.duration > class.LatencyObjective {
			lateFailureValue += request.Value
		}
	}
	for name, h := range latencyByName {
		result.Latency[name] = Latency{P50: h.Quantile(0.5).Seconds(), P90: h.Quantile(0.9).Seconds(), P99: h.Quantile(0.99).Seconds(),
			P999: h.Quantile(0.999).Seconds(), Max: h.Max().Seconds()}
	}
	for i, h := range latencyBySecond {
		result.BySecond[i].P50, result.BySecond[i].P99 = h.Quantile(0.5).Seconds(), h.Quantile(0.99).Seconds()
	}
	result.InTimeFraction, result.WorstWindowFraction = overall.Fraction, worstWindowFraction(result.BySecond)
	result.ClientAttemptsPerRequest = ratio(float64(attemptsSent), float64(len(r.plan.Requests)), 0)
	result.Penalties.LateFailures = penaltyFactorLateFailures * ratio(lateFailureValue, overall.Offered, 0)
}

// addNodeMetrics sets what nodes observed, namely attempts, connections, wasted work and overload, and the rejections by second.
func (r *rehearsal) addNodeMetrics(result *Result, events []invariant.Event, dayStart time.Duration) {
	tierOf := map[string]int{}
	connections, overloadedNodes := 0, 0
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
				overloadedNodes++
			}
			h.mu.Unlock()
		}
	}
	firstTierAttempts, allAttempts, workDone := 0, 0, 0.0
	workOf := map[string]float64{} // work of each request in seconds, by request ID
	result.Rejections = make([]float64, len(result.BySecond))
	for _, e := range events {
		switch e.Kind {
		case invariant.AttemptReceived:
			allAttempts++
			if tierOf[e.Node] == 0 {
				firstTierAttempts++
			}
			workOf[e.Request] = e.Work
		case invariant.EffectStarted:
			if !e.IsDuplicate {
				workDone += workOf[e.Request]
			}
		case invariant.ResponseReceived:
			if s := int((e.At - dayStart).Seconds()); isRejection(e.Status) && s >= 0 && s < len(result.Rejections) {
				result.Rejections[s]++
			}
		}
	}
	n := float64(len(r.plan.Requests))
	result.AttemptsPerRequest = ratio(float64(firstTierAttempts), n, 0)
	result.CallsPerRequest = ratio(float64(allAttempts), n, 0)
	result.ConnectionsPerRequest = ratio(float64(connections), n, 0)
	offeredWork, usefulWork := 0.0, 0.0
	for i := range r.plan.Requests {
		totalWork := r.plan.Requests[i].Job.TotalWork().Seconds()
		offeredWork += totalWork
		if r.outcomes[i].isServed {
			usefulWork += totalWork
		}
	}
	result.Penalties.Connections = penaltyFactorConnections * result.ConnectionsPerRequest
	result.Penalties.Waste = penaltyFactorWaste * ratio(max(workDone-usefulWork, 0), offeredWork, 0)
	result.Penalties.Overload = penaltyFactorOverload * ratio(float64(overloadedNodes), float64(len(r.plan.Nodes)), 0)
}

// computeServicePoints sets the service points, which rate the run out of 100: a weighted sum of four fractions, each of the value of
// requests (priority weight times work) that was served in time, minus the penalties.
func (r *Result) computeServicePoints() {
	r.ServicePoints = 100*(pointsWeightAllRequests*r.InTimeFraction+pointsWeightWorstWindow*r.WorstWindowFraction+
		pointsWeightWorstClass*minFraction(r.ByClass)+pointsWeightWorstTenant*minFraction(r.ByTenant)) -
		r.Penalties.Connections - r.Penalties.Waste - r.Penalties.LateFailures - r.Penalties.Overload
}

// addRequest adds Request.Value (priority weight times work) to Offered and, if the request was served in time, to InTime.
func (s *ServedValue) addRequest(request *Request, isInTime bool) {
	s.Offered += request.Value
	if isInTime {
		s.InTime += request.Value
	}
	s.Fraction = ratio(s.InTime, s.Offered, 1)
}

// addToServedValue adds Request.Value (priority weight times work) to the entry of the class or tenant that name identifies.
func addToServedValue(byName map[string]ServedValue, name string, request *Request, isInTime bool) {
	s := byName[name]
	s.addRequest(request, isInTime)
	byName[name] = s
}

// addOutcome counts a request by its outcome. A served request is late if it exceeded the latency objective.
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

// worstWindowFraction looks at the requests that were due in each window of worstWindowSeconds. It returns the lowest fraction of
// their value (priority weight times work) that was served in time. A day that is shorter than a window is a single window.
func worstWindowFraction(seconds []Second) float64 {
	lowest := 1.0
	windowSeconds := min(worstWindowSeconds, len(seconds))
	for i := 0; i+windowSeconds <= len(seconds); i++ {
		var sum ServedValue
		for _, s := range seconds[i : i+windowSeconds] {
			sum.Offered += s.Offered
			sum.InTime += s.InTime
		}
		lowest = min(lowest, ratio(sum.InTime, sum.Offered, 1))
	}
	return lowest
}

// minFraction returns the lowest ServedValue.Fraction in a map by class or by tenant, or 1 for an empty map.
func minFraction(byName map[string]ServedValue) float64 {
	lowest := 1.0
	for _, s := range byName {
		lowest = min(lowest, s.Fraction)
	}
	return lowest
}

// ratio returns a divided by b, or fallback if b is not positive.
func ratio(a, b, fallback float64) float64 {
	if b <= 0 {
		return fallback
	}
	return a / b
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
