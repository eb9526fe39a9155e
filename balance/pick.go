package balance

import (
	"math"
	"slices"
	"time"
)

// The pick: deficit round robin over the active endpoints, and what is added to the paper's deficit.
const (
	inFlightCharge           = 1.0 // weights added per attempt in flight: a hang or a crowd shows at once
	idleConnectionDiscount   = 2.0 // weights taken off for an idle connection; 4 made 1% of responses late
	reportedLoadCharge       = 0.5 // weights charged per request in a load report, to probe others next
	maxDeficitLag            = 2.0 // weights that a deficit may lag behind, or a burst would follow a crowd
	sharedLatencyFraction    = 0.7 // of the smallest weight: latency of the tiers below, alike for all
	maxEndpointUsageMultiple = 1.4 // of its part of the concurrency limit: the most an endpoint counts for

	fullScanLimit       = 256 // endpoints; a larger subset is sampled, to bound the cost of a pick
	pickSampleSize      = 16  // endpoints drawn for a sample: 8 and 64 spread requests as evenly
	recentEndpointCount = 8   // endpoints used last that every sample contains, for their idle connections

	probesPerRequest   = 3                     // endpoints probed before a request, where probes are allowed
	probeTimeout       = 5 * time.Millisecond  // after which a request goes out without the results
	loadReportLifetime = 10 * time.Millisecond // in which a load report is used: it ages as requests arrive
)

// activeSummary describes the active endpoints of the subset.
type activeSummary struct {
	count          int
	smallestWeight float64 // 1 if there are none
	lowestDeficit  float64 // 0 if there are none
}

// pickFromSubset picks from the subset, or from a sample of a large one, so that the cost of a pick does not
// grow with the number of endpoints. Each endpoint is sampled many times in a turn, so turns stay even. The
// whole subset is scanned only if nothing in the sample is due.
func (b *Balancer) pickFromSubset(now time.Duration, req *request) *endpoint {
	candidates := b.pickCandidates()
	ep := b.pick(now, req, candidates)
	if len(candidates) == len(b.subset) || ep != nil && (ep.active || now >= ep.nextTrialAt) {
		return ep
	}
	return b.pick(now, req, b.subset)
}

// pick returns the endpoint with the earliest trial due, else the active one with the lowest deficit, load
// included; with none active, the one with the next trial. It returns nil if the request has to wait.
func (b *Balancer) pick(now time.Duration, req *request, candidates []*endpoint) *endpoint {
	var dueTrial, lowest, nextTrial *endpoint
	lowestDeficit, hasActive := math.Inf(1), false
	for _, ep := range candidates {
		hasActive = hasActive || ep.active
		switch {
		case !b.canSend(now, req, ep):
		case ep.active:
			deficit := b.effectiveDeficit(ep) + inFlightCharge*ep.weight()*b.load(now, ep)
			if req.wasSentTo(ep) { // a retry goes elsewhere if it can
				deficit += maxSampleStretch
			}
			if deficit < lowestDeficit {
				lowest, lowestDeficit = ep, deficit
			}
		case !ep.trialInFlight:
			if nextTrial == nil || ep.nextTrialAt < nextTrial.nextTrialAt {
				nextTrial = ep
			}
			isDue := now >= ep.nextTrialAt && !req.wasSentTo(ep)
			if isDue && (dueTrial == nil || ep.nextTrialAt < dueTrial.nextTrialAt) {
				dueTrial = ep
			}
		}
	}
	switch {
	case dueTrial != nil:
		return dueTrial
	case hasActive:
		return lowest
	}
	return nextTrial
}

// pickBelowFairUsage picks while the concurrency limit is reached: where few endpoints use it up, from those
// with less than their even part of it in flight, else none. One that hangs must not leave the others idle.
func (b *Balancer) pickBelowFairUsage(now time.Duration, req *request) *endpoint {
	part, used := b.concurrencyLimit/float64(max(len(b.subset), 1)), 0.0
	for _, ep := range b.subset {
		used += min(float64(ep.inFlight), max(maxEndpointUsageMultiple*part, 1))
	}
	if used >= b.concurrencyLimit {
		return nil
	}
	return b.pick(now, req, slices.DeleteFunc(slices.Clone(b.subset), func(ep *endpoint) bool {
		return float64(ep.inFlight) >= part || !ep.active && now < ep.nextTrialAt
	}))
}

// canSend reports whether the endpoint may get the request now, its pace in slow start included.
func (b *Balancer) canSend(now time.Duration, req *request, ep *endpoint) bool {
	return ep.isAvailable() &&
		(now >= ep.slowStartNextAt || b.capacityFraction(now, ep) == 1) && b.isSafeToSend(now, req, ep)
}

// effectiveDeficit is the deficit less the discount for an idle connection, by which a few turns follow one
// another before it is closed. Endpoints keep their number of turns, and inFlightCharge prevents crowds.
func (b *Balancer) effectiveDeficit(ep *endpoint) float64 {
	if b.host.HasIdleConnection(ep.ID) {
		return ep.deficit - idleConnectionDiscount*ep.weight()
	}
	return ep.deficit
}

// load is how many requests the endpoint is taken to work on: its fresh load report, else what is in flight
// from here or, if more, the mean of all load reports. An endpoint not probed must not appear idle.
func (b *Balancer) load(now time.Duration, ep *endpoint) float64 {
	if ep.hasFreshLoadReport(now) {
		return ep.reportedLoad
	}
	return max(float64(ep.inFlight), b.meanReportedLoad) + float64(ep.streamsInFlight)
}

// chargeDeficit charges an active endpoint its weight, as in the paper, times the cost of the class.
// With tiers below, only what the endpoint adds is charged, or a slow machine would pass for a fast one.
func (b *Balancer) chargeDeficit(now time.Duration, req *request, ep *endpoint) {
	expected, weight := b.baselineSeconds(req), ep.weight()
	picked, charge := b.effectiveDeficit(ep), weight
	if b.settings.TiersBelow > 0 {
		charge -= sharedLatencyFraction * min(b.smallestActiveWeight(), weight)
	}
	ep.deficit += charge * expected / b.meanBaselineSeconds()
	for _, other := range b.lastCandidates() { // one passed over for its load does not catch up at once,
		other.deficit = max(other.deficit, picked-maxDeficitLag*weight)
		if other != ep && other.hasFreshLoadReport(now) { // nor is it next, and probed, again and again
			other.deficit = max(other.deficit, picked+reportedLoadCharge*weight*other.reportedLoad)
		}
	}
}

// probeCandidates probes the endpoints with the lowest deficits and reports whether there are any.
func (b *Balancer) probeCandidates(now time.Duration, req *request) bool {
	var next [probesPerRequest + 1]*endpoint // by deficit; an insertion pushes out the last
	for _, ep := range b.subset {
		if b.canSend(now, req, ep) && (ep.active || !ep.trialInFlight && now >= ep.nextTrialAt) {
			i := probesPerRequest
			for ; i > 0 && (next[i-1] == nil || ep.deficit < next[i-1].deficit); i-- {
				next[i] = next[i-1]
			}
			next[i] = ep
		}
	}
	for _, ep := range next[:probesPerRequest] {
		if ep != nil {
			b.host.Probe(ep.ID)
			req.pendingProbes = append(req.pendingProbes, ep)
		}
	}
	req.probeDeadline = now + probeTimeout
	return len(req.pendingProbes) > 0
}

// Probed implements Events: it stores the load report and dispatches the requests that have all of theirs. An
// active endpoint whose probe failed is ejected.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	ep := b.endpointByID[p.Endpoint]
	if ep == nil {
		return
	}
	if p.Result != OK && ep.active {
		b.eject(now, ep)
	} else if p.Load.Known {
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

// summarizeActive scans the subset for its active endpoints.
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

// smallestActiveWeight is the smallest weight of an active endpoint. That of a large subset is cached for as
// many uses that the scans cost no more than the picks; an endpoint gets a sample or two in between.
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

// pickCandidates returns what the next pick chooses from: the subset, or a new sample of a large one.
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

// lastCandidates returns what the latest pick chose from.
func (b *Balancer) lastCandidates() []*endpoint {
	if len(b.subset) <= fullScanLimit {
		return b.subset
	}
	return b.pickSample
}

// recordRecentUse adds an endpoint of a large subset to those used last.
func (b *Balancer) recordRecentUse(ep *endpoint) {
	if len(b.subset) <= fullScanLimit || slices.Contains(b.recentlyUsed, ep) {
		return
	}
	if len(b.recentlyUsed) == recentEndpointCount {
		b.recentlyUsed = slices.Delete(b.recentlyUsed, 0, 1)
	}
	b.recentlyUsed = append(b.recentlyUsed, ep)
}
