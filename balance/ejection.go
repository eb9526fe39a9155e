package balance

import "time"

// Outlier ejection. An endpoint whose weight leaves activeFactor, or that does not respond, is ejected. After
// a backoff it gets a single trial request, and becomes active again or backs off for twice as long.
const (
	activeFactor         = 2.0                    // of the smallest active weight: the paper's active list
	minBackoff           = 500 * time.Millisecond // the paper's b_min, before the first trial
	maxBackoffMultiple   = 8                      // longest backoff, in initial ones: recovery must show
	outlierErrorMultiple = 1.5                    // error rate, over that of all, of an endpoint at fault
	overdueMultiple      = 3.0                    // expected latencies after which an attempt is overdue
)

// resetEndpoint resets a new or restarted endpoint, which becomes active by a trial: at a random moment of a
// turn, since all balancers learn of it at once. On the first list, what is not warming up is active at once.
func (b *Balancer) resetEndpoint(now time.Duration, ep *endpoint, isFirstList bool) {
	ep.active = isFirstList && b.capacityFraction(now, ep) == 1
	ep.backoff = b.initialBackoff(now)
	ep.nextTrialAt = now + seconds(b.rng.Float64()*b.roundDuration(now).Seconds())
	ep.sampleSum, ep.sampleCount, ep.deficit = 0, 0, b.rng.Float64()
	ep.ejected, ep.wasInSubset = false, false
}

// recordResult learns from the result of an attempt and ends it if it is a trial.
func (b *Balancer) recordResult(now time.Duration, req *request, att *attempt, r Result, took time.Duration) {
	ep, hasFailed := att.endpoint, r != OK
	stretch := min(took.Seconds()/b.baselineSeconds(req), maxSampleStretch)
	if att.incarnation != ep.incarnation { // it was sent before the endpoint's restart
		return
	}
	b.errorRate -= b.errorRate * recentMeanGain
	ep.errorRate -= ep.errorRate * recentMeanGain
	switch r {
	case OK:
		ep.lastResponseAt = now
		req.class.observe(now, took.Seconds())
		b.updateConcurrencyLimit(now, stretch)
		ep.kind.observe(stretch)
	case ErrorResponse:
		b.errorRate += recentMeanGain
		ep.errorRate += recentMeanGain
		hasFailed = b.settings.TiersBelow == 0 || ep.errorRate > outlierErrorMultiple*b.errorRate
		if !hasFailed {
			r = NotSent // the tier below fails for all endpoints alike: no information about this one
		}
	case Reset: // it restarts, and warms up when it responds again
		ep.Started = max(ep.Started, now)
	}
	if r == Canceled || r == NotSent { // no sample; but a trial cancelled after it was overdue has failed
		if att.isTrial {
			ep.trialInFlight = false
			b.scheduleTrial(now, ep, att.wasOverdue)
		}
		return
	}
	if hasFailed {
		timeout := (req.Deadline - att.waitingSince).Seconds()
		stretch = min(max(stretch, timeout/b.baselineSeconds(req)), maxSampleStretch)
	}
	if att.isTrial {
		b.finishTrial(now, ep, stretch, hasFailed)
	} else {
		b.addSample(now, ep, stretch)
	}
}

// attributedResult is the result as far as the endpoint caused it. A reset on a reused connection counts as
// not sent: the endpoint may close it just as it is used, and if it is down, new connections fail.
func attributedResult(o Outcome) Result {
	if o.Result == Reset && o.ReusedConnection {
		return NotSent
	}
	return o.Result
}

// overdueInstant is when an attempt that waits for the endpoint from now on is overdue.
func (b *Balancer) overdueInstant(now time.Duration, req *request, ep *endpoint) time.Duration {
	wait := seconds(overdueMultiple * max(ep.weight(), 1) * b.baselineSeconds(req))
	return now + max(wait, 3*b.settings.TimerResolution)
}

// handleOverdue takes the age of an overdue attempt as a sample. An endpoint without any response since the
// attempt began is ejected, so that a hang is noticed after a few response times and not after a timeout.
func (b *Balancer) handleOverdue(now time.Duration, req *request, i int) {
	att := &req.attempts[i]
	ep, isSilent := att.endpoint, att.endpoint.lastResponseAt < att.waitingSince
	att.wasOverdue, att.overdueAt = true, now+(now-att.waitingSince)
	if att.bodyStreaming { // its duration is no sample, and must not delay the next trial
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
			b.log(now, "silent", ep.ID+" answers nothing and gets trials only")
			b.eject(now, ep)
		}
	}
}

// eject takes an endpoint out of the active ones and schedules its first trial.
func (b *Balancer) eject(now time.Duration, ep *endpoint) {
	ep.active, ep.ejected, ep.backoff = false, true, b.initialBackoff(now)
	b.scheduleTrial(now, ep, false)
}

// scheduleTrial sets the next trial, after twice the backoff if the last trial failed.
func (b *Balancer) scheduleTrial(now time.Duration, ep *endpoint, hasFailed bool) {
	if hasFailed {
		ep.ejected = true
		ep.backoff = min(2*ep.backoff, maxBackoffMultiple*b.initialBackoff(now))
	}
	ep.nextTrialAt = now + b.jitter(ep.backoff)
}

// finishTrial makes the endpoint active again, with its deficit at its weight as in the paper, or backs off.
func (b *Balancer) finishTrial(now time.Duration, ep *endpoint, stretch float64, hasFailed bool) {
	ep.trialInFlight, ep.sampleSum, ep.sampleCount, ep.lastSampleAt = false, stretch/ep.kind.weight, 1, now
	active := b.summarizeActive()
	if hasFailed || active.count > 0 && ep.weight() > activeFactor*active.smallestWeight {
		b.scheduleTrial(now, ep, true)
		return
	}
	for _, other := range b.subset {
		other.deficit -= active.lowestDeficit
	}
	ep.active, ep.ejected, ep.deficit = true, false, ep.weight()
}

// initialBackoff is at least a turn: trials must not exceed an even share of the requests of this balancer.
func (b *Balancer) initialBackoff(now time.Duration) time.Duration {
	return max(minBackoff, b.roundDuration(now))
}
