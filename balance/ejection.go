package balance

import "time"

const (
	factor      = 2.0                    // active while w is within this multiple of the smallest active w
	backoffMin  = 500 * time.Millisecond // until the first trial of a dropped endpoint, at least
	backoffMost = 8                      // longest backoff, in first backoffs
	blame       = 1.5                    // error share, over that of all, that makes errors an endpoint's own
	late        = 3.0                    // an attempt out for this multiple of its expected time is overdue
)

// renew puts a new or restarted endpoint outside the active set, its trial at a random moment of the caller's
// turn: all callers hear of it at once. What was warm before this balancer began is no newcomer.
func (b *Balancer) renew(now time.Duration, e *endpoint, first bool) {
	e.active = first && b.warmth(now, e) == 1
	e.backoff = b.firstBackoff(now)
	e.trialAt = now + seconds(b.rng.Float64()*b.turnGap(now).Seconds())
	e.sum, e.samples, e.deficit = 0, 0, b.rng.Float64()
	e.dropped, e.paced = false, false
}

// judge turns an outcome into a sample.
func (b *Balancer) judge(now time.Duration, q *request, a *attempt, r Result, took time.Duration) {
	e, stretch, failed := a.e, min(took.Seconds()/b.expected(q), penaltyMost), r != OK
	if a.returns != e.returns { // the one that it tells of is no more
		return
	}
	b.errors -= b.errors * meanGain
	e.errors -= e.errors * meanGain
	switch r {
	case OK:
		e.answeredAt = now
		q.class.learn(now, q, took.Seconds())
		b.resize(now, stretch)
		e.kind.learn(stretch)
	case Errored:
		b.errors += meanGain
		e.errors += meanGain
		if failed = b.s.TiersBelow == 0 || e.errors > blame*b.errors; !failed {
			r = NotSent // the tier below fails for all alike: says nothing of this endpoint, good or bad
		}
	case Reset: // it went down: cold when it answers again
		e.Started = max(e.Started, now)
	}
	if r == Canceled || r == NotSent { // no sample, but a trial called off because it was overdue has failed
		if a.trial {
			e.trial = false
			b.backOff(now, e, a.overdue)
		}
		return
	}
	if failed {
		stretch = min(max(stretch, (q.Deadline-a.waits).Seconds()/b.expected(q)), penaltyMost)
	}
	if a.trial {
		b.tryOver(now, e, stretch, failed)
	} else {
		b.sample(now, e, stretch)
	}
}

// told is what an outcome tells of the endpoint: nothing, if a connection broke that had served before. An
// endpoint may close what stands idle just as it is used again; if it went down, new connections fail.
func told(o Outcome) Result {
	if o.Result == Reset && o.Reused {
		return NotSent
	}
	return o.Result
}

// overdueFrom is when an attempt that waits for its endpoint from now on has been out for too long.
func (b *Balancer) overdueFrom(now time.Duration, q *request, e *endpoint) time.Duration {
	return now + max(seconds(late*max(e.w(), 1)*b.expected(q)), 3*b.s.Resolution)
}

// overdue takes an attempt that is out too long as a sample of at least its age. An endpoint that has
// answered nothing since is dropped: a hang shows after a few answer times, not a time-out.
func (b *Balancer) overdue(now time.Duration, q *request, i int) {
	a := &q.attempts[i]
	e, silent := a.e, a.e.answeredAt < a.waits
	a.overdue, a.overdueAt = true, now+(now-a.waits)
	if a.flows { // its time says nothing, and a trial would keep others out for as long as it lasts
		if a.trial {
			a.trial, e.trial = false, false
			b.backOff(now, e, false)
		}
		return
	}
	if a.returns != e.returns {
		return
	}
	if e.active {
		b.sample(now, e, min((now-a.waits).Seconds()/b.expected(q), penaltyMost))
		if e.active && silent {
			b.log(now, "silent", e.ID+" answers nothing and gets trials only")
			b.drop(now, e)
		}
	}
}

func (b *Balancer) drop(now time.Duration, e *endpoint) {
	e.active, e.dropped, e.backoff = false, true, b.firstBackoff(now)
	b.backOff(now, e, false)
}

// backOff sets the next trial, after twice the wait if the last one failed.
func (b *Balancer) backOff(now time.Duration, e *endpoint, failed bool) {
	if failed {
		e.dropped = true
		e.backoff = min(2*e.backoff, backoffMost*b.firstBackoff(now))
	}
	e.trialAt = now + b.jitter(e.backoff)
}

// tryOver ends a trial: back among the active, or out for twice as long.
func (b *Balancer) tryOver(now time.Duration, e *endpoint, stretch float64, failed bool) {
	e.trial, e.sum, e.samples, e.sampledAt = false, stretch/e.kind.w, 1, now
	n, w, least := b.actives()
	if failed || n > 0 && e.w() > factor*w {
		b.backOff(now, e, true)
		return
	}
	for _, o := range b.table {
		o.deficit -= least
	}
	e.active, e.dropped, e.deficit = true, false, e.w()
}

// firstBackoff guards against quiet callers that crowd a dropped endpoint with nothing but trials.
func (b *Balancer) firstBackoff(now time.Duration) time.Duration {
	return max(backoffMin, b.turnGap(now))
}
