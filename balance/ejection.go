package balance

import "time"

// Constants of outlier ejection. An endpoint that does not respond, or whose weight exceeds
// maxActiveWeightRatio times the smallest weight, is ejected. After a backoff it gets a single trial request,
// and becomes active again or backs off for twice as long.
const (
	maxActiveWeightRatio = 2.0                    // largest weight of an active endpoint / smallest weight
	minBackoff           = 500 * time.Millisecond // least initial backoff; b_min in Cicconetti et al.
	outlierErrorMultiple = 1.5                    // outlier if endpoint.errorRate / b.errorRate is higher
	overdueMultiple      = 3.0                    // time after which an attempt is overdue / expected latency

	// maxBackoffMultiple is the largest backoff, as a multiple of the initial backoff. The backoff is
	// limited so that the recovery of an endpoint is noticed.
	maxBackoffMultiple = 8
)

// resetEndpoint resets the state of a new or restarted endpoint, which becomes active by a trial. The instant
// of the trial is random within one round, the time in which each endpoint of the subset gets one request if
// all get the same number, since all balancers receive the list at the same time. On the first list, an
// endpoint that is not warming up is active at once.
func (b *Balancer) resetEndpoint(now time.Duration, ep *endpoint, isFirstList bool) {
	ep.active = isFirstList && b.capacityFraction(now, ep) == 1
	ep.backoff = b.initialBackoff(now)
	ep.nextTrialAt = now + seconds(b.rng.Float64()*b.roundDuration(now).Seconds())
	ep.sampleSum, ep.sampleCount, ep.deficit = 0, 0, b.rng.Float64()
	ep.ejected, ep.wasInSubset = false, false
}

// recordResult updates the estimates of the endpoint, its kind and the class with the result of an attempt.
// After a trial, the endpoint becomes active or another trial is scheduled.
func (b *Balancer) recordResult(
	now time.Duration, req *request, att *attempt, r Result, latency time.Duration,
) {
	ep, hasFailed := att.endpoint, r != OK
	stretch := min(latency.Seconds()/b.baselineSeconds(req), maxSampleStretch)
	if att.incarnation != ep.incarnation { // the attempt was sent before operators restored the endpoint
		return
	}
	b.errorRate -= b.errorRate * recentMeanGain
	ep.errorRate -= ep.errorRate * recentMeanGain
	switch r {
	case OK:
		ep.lastResponseAt = now
		req.class.observe(now, latency.Seconds())
		b.updateConcurrencyLimit(now, stretch)
		ep.kind.observe(stretch)
	case ErrorResponse:
		b.errorRate += recentMeanGain
		ep.errorRate += recentMeanGain
		hasFailed = b.settings.TiersBelow == 0 || ep.errorRate > outlierErrorMultiple*b.errorRate
		if !hasFailed {
			r = NotSent // the tier below fails for all endpoints, which says nothing about this endpoint
		}
	case Reset: // the endpoint is assumed to restart and to warm up afterwards
		ep.StartedAt = max(ep.StartedAt, now)
	}
	if r == Canceled || r == NotSent { // no latency sample; a trial has failed only if it was overdue
		if att.isTrial {
			ep.trialInFlight = false
			b.scheduleTrial(now, ep, att.wasOverdue)
		}
		return
	}
	if hasFailed {
		timeoutSeconds := (req.Deadline - att.waitingSince).Seconds()
		stretch = min(max(stretch, timeoutSeconds/b.baselineSeconds(req)), maxSampleStretch)
	}
	if att.isTrial {
		b.finishTrial(now, ep, stretch, hasFailed)
	} else {
		b.addSample(now, ep, stretch)
	}
}

// attributedResult returns the result that counts for the endpoint. A reset on a reused connection counts as
// not sent: a healthy endpoint may close an idle connection while an attempt is being sent on it. An
// endpoint that is down is detected nevertheless, since new connections fail, too.
func attributedResult(o Outcome) Result {
	if o.Result == Reset && o.ReusedConnection {
		return NotSent
	}
	return o.Result
}

// overdueInstant returns the instant at which an attempt that waits for the endpoint from now on is overdue.
func (b *Balancer) overdueInstant(now time.Duration, req *request, ep *endpoint) time.Duration {
	wait := seconds(overdueMultiple * max(ep.weight(), 1) * b.baselineSeconds(req))
	return now + max(wait, 3*b.settings.TimerResolution)
}

// handleOverdue handles attempt i of a request, which is overdue: it adds the time for which the attempt has
// waited to the latency samples. It ejects the endpoint if no attempt there got a response in this time, so
// that an endpoint that hangs is detected after a few response times and not only after a timeout.
func (b *Balancer) handleOverdue(now time.Duration, req *request, i int) {
	att := &req.attempts[i]
	ep, isSilent := att.endpoint, att.endpoint.lastResponseAt < att.waitingSince
	att.wasOverdue, att.overdueAt = true, now+(now-att.waitingSince)
	if att.bodyStreaming {
		// The duration of a stream is no latency sample. If the attempt is a trial, the next trial is
		// scheduled now, since the stream may take long.
		if att.isTrial {
			att.isTrial, ep.trialInFlight = false, false
			b.scheduleTrial(now, ep, false)
		}
		return
	}
	if att.incarnation != ep.incarnation {
		return
	}
	if ep.active {
		b.addSample(now, ep, min((now-att.waitingSince).Seconds()/b.baselineSeconds(req), maxSampleStretch))
		if ep.active && isSilent {
			b.log(now, "silent", ep.ID+" does not respond and gets only trials")
			b.eject(now, ep)
		}
	}
}

// eject makes an endpoint inactive and schedules its first trial.
func (b *Balancer) eject(now time.Duration, ep *endpoint) {
	ep.active, ep.ejected, ep.backoff = false, true, b.initialBackoff(now)
	b.scheduleTrial(now, ep, false)
}

// scheduleTrial schedules the next trial of an inactive endpoint. It doubles the backoff if the last trial
// failed.
func (b *Balancer) scheduleTrial(now time.Duration, ep *endpoint, hasFailed bool) {
	if hasFailed {
		ep.ejected = true
		ep.backoff = min(2*ep.backoff, maxBackoffMultiple*b.initialBackoff(now))
	}
	ep.nextTrialAt = now + b.jitter(ep.backoff)
}

// finishTrial makes the endpoint active after a successful trial, or schedules another trial. When an
// endpoint becomes active, the lowest deficit is subtracted from all deficits, and the endpoint's own deficit
// is set to its weight, as in the RR policy (see balancer.go).
func (b *Balancer) finishTrial(now time.Duration, ep *endpoint, stretch float64, hasFailed bool) {
	ep.trialInFlight, ep.sampleSum, ep.sampleCount, ep.lastSampleAt = false, stretch/ep.kind.weight, 1, now
	summary := b.summarizeActive()
	if hasFailed || summary.count > 0 && ep.weight() > maxActiveWeightRatio*summary.smallestWeight {
		b.scheduleTrial(now, ep, true)
		return
	}
	for _, other := range b.subset {
		other.deficit -= summary.lowestDeficit
	}
	ep.active, ep.ejected, ep.deficit = true, false, ep.weight()
}

// initialBackoff returns the backoff before the first trial. It is at least one round, the time in which each
// endpoint of the subset gets one request if all get the same number. So an inactive endpoint, which gets one
// trial per backoff, gets no more requests from this balancer than an active one.
func (b *Balancer) initialBackoff(now time.Duration) time.Duration {
	return max(minBackoff, b.roundDuration(now))
}
