package balance

import (
	"math"
	"slices"
	"time"
)

// Constants of the pick, a deficit round robin over the active endpoints. Requests at an endpoint, idle
// connections and load reports modify the endpoint's deficit of the RR policy (see balancer.go).
const (
	// inFlightCharge is added to the deficit of an endpoint for each request there, as a multiple of the
	// endpoint's weight, so that endpoints that hang are avoided.
	inFlightCharge = 1.0

	// idleConnectionDiscount is subtracted from the deficit of an endpoint with an idle connection, as a
	// multiple of the endpoint's weight. A discount of 4 weights made 1% of responses late.
	idleConnectionDiscount = 2.0

	// reportedLoadCharge is the charge for each request in a load report, as a multiple of the picked
	// endpoint's weight. An endpoint that has just sent a load report but was not picked gets at least the
	// deficit of the picked endpoint plus these charges, so that the next load probes go to other endpoints.
	reportedLoadCharge = 0.5

	// maxDeficitLag limits how far an endpoint's deficit may be below that of the endpoint picked for a
	// request, as a multiple of the picked endpoint's weight. The endpoint with the lowest sum of deficit and
	// charge for its load is picked. Without the limit, an endpoint that was passed over because of its load
	// would get a long burst of requests afterwards.
	maxDeficitLag = 2.0

	sharedLatencyFraction = 0.7 // assumed part of the smallest weight that the tiers below cause

	// pickBelowFairUsage adds up the attempts in flight of all endpoints, but counts for one endpoint at most
	// maxEndpointUsageMultiple times an even part of the concurrency limit. If the limit is reached but this
	// sum is below the limit, a few endpoints with more attempts than that use up the limit.
	maxEndpointUsageMultiple = 1.4

	fullScanLimit       = 256 // largest subset scanned by each pick; larger ones are sampled
	pickSampleSize      = 16  // endpoints drawn per sample; samples of 8 or 64 spread requests as evenly
	recentEndpointCount = 8   // recently used endpoints in every sample, for their idle connections

	probesPerRequest   = 3                     // endpoints that are sent a load probe before a request
	probeTimeout       = 5 * time.Millisecond  // time after which the request is sent without load reports
	loadReportLifetime = 10 * time.Millisecond // time in which a load report is used; new requests outdate it
)

// activeSummary holds the number, the smallest weight and the lowest deficit (see endpoint.deficit) of the
// active endpoints in the subset.
type activeSummary struct {
	count          int     // number of active endpoints that are neither draining nor manually ejected
	smallestWeight float64 // smallest weight of an active endpoint; 1 without active endpoints
	lowestDeficit  float64 // lowest deficit of an active endpoint; 0 without active endpoints
}

// pickFromSubset picks from the subset, or from a sample of a large one, so that the cost of a pick does not
// grow with the number of endpoints. Within one round, the time in which each endpoint of the subset gets one
// request if all get the same number, the samples contain each endpoint many times, so that requests are
// still spread evenly. The whole subset is scanned only if the sample has neither an active endpoint nor a
// due trial.
func (b *Balancer) pickFromSubset(now time.Duration, req *request) *endpoint {
	candidates := b.pickCandidates()
	ep := b.pick(now, req, candidates)
	if len(candidates) == len(b.subset) || ep != nil && (ep.active || now >= ep.nextTrialAt) {
		return ep
	}
	return b.pick(now, req, b.subset)
}

// pick returns the endpoint whose trial has been due for longest, else the active endpoint with the lowest
// sum of its deficit and the charge for its load. Without active endpoints it returns the endpoint with the
// next trial. It returns nil if the request has to wait.
func (b *Balancer) pick(now time.Duration, req *request, candidates []*endpoint) *endpoint {
	var dueTrialEndpoint, lowestDeficitEndpoint, nextTrialEndpoint *endpoint
	lowestChargedDeficit, hasActive := math.Inf(1), false
	for _, ep := range candidates {
		hasActive = hasActive || ep.active
		switch {
		case !b.canSend(now, req, ep):
		case ep.active:
			chargedDeficit := b.effectiveDeficit(ep) + inFlightCharge*ep.weight()*b.load(now, ep)
			if req.wasSentTo(ep) { // a retry prefers another endpoint
				chargedDeficit += maxSampleStretch
			}
			if chargedDeficit < lowestChargedDeficit {
				lowestDeficitEndpoint, lowestChargedDeficit = ep, chargedDeficit
			}
		case !ep.trialInFlight:
			if nextTrialEndpoint == nil || ep.nextTrialAt < nextTrialEndpoint.nextTrialAt {
				nextTrialEndpoint = ep
			}
			isDue := now >= ep.nextTrialAt && !req.wasSentTo(ep)
			if isDue && (dueTrialEndpoint == nil || ep.nextTrialAt < dueTrialEndpoint.nextTrialAt) {
				dueTrialEndpoint = ep
			}
		}
	}
	switch {
	case dueTrialEndpoint != nil:
		return dueTrialEndpoint
	case hasActive:
		return lowestDeficitEndpoint
	}
	return nextTrialEndpoint
}

// pickBelowFairUsage picks an endpoint while the concurrency limit is reached. If a few endpoints use up the
// limit, it picks among those with less than an even part of the limit in flight, so that an endpoint that
// hangs does not leave the others idle. Otherwise it returns nil.
func (b *Balancer) pickBelowFairUsage(now time.Duration, req *request) *endpoint {
	evenPart, countedAttempts := b.concurrencyLimit/float64(max(len(b.subset), 1)), 0.0
	for _, ep := range b.subset {
		countedAttempts += min(float64(ep.inFlight), max(maxEndpointUsageMultiple*evenPart, 1))
	}
	if countedAttempts >= b.concurrencyLimit {
		return nil
	}
	return b.pick(now, req, slices.DeleteFunc(slices.Clone(b.subset), func(ep *endpoint) bool {
		return float64(ep.inFlight) >= evenPart || !ep.active && now < ep.nextTrialAt
	}))
}

// canSend reports whether the request may be sent to the endpoint now: the endpoint is available, its slow
// start allows another attempt, and the request cannot take effect twice.
func (b *Balancer) canSend(now time.Duration, req *request, ep *endpoint) bool {
	return ep.isAvailable() &&
		(now >= ep.slowStartNextAt || b.capacityFraction(now, ep) == 1) && b.isSafeToSend(now, req, ep)
}

// effectiveDeficit returns the deficit minus the discount for an idle connection. With the discount an
// endpoint gets a few requests in a row before the connection is closed, but as many requests in total as
// without the discount. inFlightCharge prevents too many requests at once.
func (b *Balancer) effectiveDeficit(ep *endpoint) float64 {
	if b.host.HasIdleConnection(ep.ID) {
		return ep.deficit - idleConnectionDiscount*ep.weight()
	}
	return ep.deficit
}

// load returns the estimated number of requests at the endpoint: the number in a fresh load report, else the
// attempts in flight from this balancer or, if higher, the mean of all load reports. The mean is needed
// because an endpoint without a load probe would otherwise appear idle.
func (b *Balancer) load(now time.Duration, ep *endpoint) float64 {
	if ep.hasFreshLoadReport(now) {
		return ep.reportedLoad
	}
	return max(float64(ep.inFlight), b.meanReportedLoad) + float64(ep.streamsInFlight)
}

// chargeDeficit adds the endpoint's weight to its deficit, scaled by the baseline latency of the request's
// class relative to the mean of all classes. With tiers below, it leaves out the latency that all endpoints
// have in common: otherwise a slow machine would get nearly as many requests as a fast one.
func (b *Balancer) chargeDeficit(now time.Duration, req *request, ep *endpoint) {
	baseline, weight := b.baselineSeconds(req), ep.weight()
	pickedDeficit, charge := b.effectiveDeficit(ep), weight
	if b.settings.TiersBelow > 0 {
		charge -= sharedLatencyFraction * min(b.smallestActiveWeight(), weight)
	}
	ep.deficit += charge * baseline / b.meanBaselineSeconds()
	for _, other := range b.lastCandidates() {
		// An endpoint that was not picked because of its load must not get a burst of requests afterwards.
		other.deficit = max(other.deficit, pickedDeficit-maxDeficitLag*weight)
		// An endpoint with a load report must not stay among the lowest deficits, or it gets all load probes.
		if other != ep && other.hasFreshLoadReport(now) {
			other.deficit = max(other.deficit, pickedDeficit+reportedLoadCharge*weight*other.reportedLoad)
		}
	}
}

// probeCandidates sends load probes to the endpoints with the lowest deficits and reports whether it sent
// any.
func (b *Balancer) probeCandidates(now time.Duration, req *request) bool {
	// The endpoints with the lowest deficits, in ascending order. The last element only takes the endpoint
	// that an insertion displaces; it gets no probe.
	var byDeficit [probesPerRequest + 1]*endpoint
	for _, ep := range b.subset {
		if b.canSend(now, req, ep) && (ep.active || !ep.trialInFlight && now >= ep.nextTrialAt) {
			i := probesPerRequest
			for ; i > 0 && (byDeficit[i-1] == nil || ep.deficit < byDeficit[i-1].deficit); i-- {
				byDeficit[i] = byDeficit[i-1]
			}
			byDeficit[i] = ep
		}
	}
	for _, ep := range byDeficit[:probesPerRequest] {
		if ep != nil {
			b.host.Probe(ep.ID)
			req.pendingProbes = append(req.pendingProbes, ep)
		}
	}
	req.probeDeadline = now + probeTimeout
	return len(req.pendingProbes) > 0
}

// Probed implements Events: it stores the load report and dispatches the requests that wait for no further
// report. An active endpoint whose load probe failed is ejected.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	ep := b.endpointByID[p.Endpoint]
	if ep == nil {
		return
	}
	if p.Result != OK && ep.active {
		b.eject(now, ep)
	} else if p.Load.IsReported {
		ep.reportedLoad, ep.reportedLoadAt = p.Load.Requests, now
		b.meanReportedLoad += (p.Load.Requests - b.meanReportedLoad) * recentMeanGain
	}
	for _, req := range slices.Clone(b.unfinished) {
		if i := slices.Index(req.pendingProbes, ep); i >= 0 {
			if req.pendingProbes = slices.Delete(req.pendingProbes, i, i+1); len(req.pendingProbes) == 0 {
				b.dispatch(now, req)
			}
		}
	}
}

// summarizeActive scans the subset and returns a summary of its active endpoints.
func (b *Balancer) summarizeActive() activeSummary {
	var s activeSummary
	for _, ep := range b.subset {
		if !ep.active || !ep.isAvailable() {
			continue
		}
		if s.count == 0 || ep.weight() < s.smallestWeight {
			s.smallestWeight = ep.weight()
		}
		if s.count == 0 || ep.deficit < s.lowestDeficit {
			s.lowestDeficit = ep.deficit
		}
		s.count++
	}
	if s.count == 0 {
		s.smallestWeight = 1
	}
	return s
}

// smallestActiveWeight returns the smallest weight of an active endpoint. For a large subset, the result of a
// scan is cached for len(b.subset)/pickSampleSize calls, so that scans cost no more than picks. Between two
// scans an endpoint gets one or two latency samples.
func (b *Balancer) smallestActiveWeight() float64 {
	if len(b.subset) <= fullScanLimit {
		return b.summarizeActive().smallestWeight
	}
	if b.cachedWeightUses <= 0 {
		b.cachedSmallestWeight = b.summarizeActive().smallestWeight
		b.cachedWeightUses = len(b.subset) / pickSampleSize
	}
	b.cachedWeightUses--
	return b.cachedSmallestWeight
}

// pickCandidates returns the endpoints for the next pick: the subset, or a new sample of a large one.
func (b *Balancer) pickCandidates() []*endpoint {
	if len(b.subset) <= fullScanLimit {
		return b.subset
	}
	b.pickSample = append(b.pickSample[:0], b.recentlyUsed...)
	for range pickSampleSize {
		b.pickSample = append(b.pickSample, b.subset[b.rng.IntN(len(b.subset))])
	}
	return b.pickSample
}

// lastCandidates returns the endpoints that the last pick chose from: the subset, or its sample of a large
// one.
func (b *Balancer) lastCandidates() []*endpoint {
	if len(b.subset) <= fullScanLimit {
		return b.subset
	}
	return b.pickSample
}

// recordRecentUse adds an endpoint of a large subset to recentlyUsed and removes the oldest if there are too
// many.
func (b *Balancer) recordRecentUse(ep *endpoint) {
	if len(b.subset) <= fullScanLimit || slices.Contains(b.recentlyUsed, ep) {
		return
	}
	if len(b.recentlyUsed) == recentEndpointCount {
		b.recentlyUsed = slices.Delete(b.recentlyUsed, 0, 1)
	}
	b.recentlyUsed = append(b.recentlyUsed, ep)
}
