package balance

import (
	"math"
	"slices"
	"time"
)

const (
	crowdCharge = 1.0                   // charge for each call still out, in weights, beside the deficit
	common      = 0.7                   // share of the smallest weight that is not the endpoints' own doing
	reuse       = 2.0                   // weights that an idle connection is worth: 4 made 1% late
	passedOver  = 0.5                   // turns that a probed endpoint loses for each call it holds
	lagMost     = 2.0                   // weights that an endpoint passed over for its crowd may fall behind
	clogged     = 1.4                   // parts of the room that one endpoint's calls can use up
	tableWhole  = 256                   // a table longer than this is picked from by samples
	sampleWidth = 16                    // endpoints in a sample, beside those used last: 8, 64 as even
	sampleKept  = 8                     // used last, that stay in samples for their idle connections
	probeWidth  = 3                     // endpoints probed for a request, where probing is allowed
	probeWait   = 5 * time.Millisecond  // how long a request waits for its probes
	probeFresh  = 10 * time.Millisecond // how long a load report is believed
)

// pickAmong picks from the table, or where that is long from a sample of it, so that a pick does not cost
// more the more endpoints there are. Each endpoint is sampled many times for each of its turns, so turns stay
// even. The whole table is gone through only where nothing in the sample is due.
func (b *Balancer) pickAmong(now time.Duration, q *request) *endpoint {
	among := b.among()
	if e := b.pick(now, q, among); len(among) == len(b.table) || e != nil && (e.active || now >= e.trialAt) {
		return e
	}
	return b.pick(now, q, b.table)
}

// pick chooses: a due trial, else the lowest deficit, with none active the trial due soonest. Calls still
// out, here or as probed, are charged on top, so that a crowd or a hang is seen before its answers are.
func (b *Balancer) pick(now time.Duration, q *request, among []*endpoint) *endpoint {
	var trial, turn, soonest *endpoint
	lowest, active := math.Inf(1), false
	for _, e := range among {
		active = active || e.active
		switch {
		case !b.allowed(now, q, e):
		case e.active:
			key := b.turn(e) + crowdCharge*e.w()*b.holds(now, e)
			if q.tried(e) {
				key += penaltyMost
			}
			if key < lowest {
				turn, lowest = e, key
			}
		case !e.trial:
			if soonest == nil || e.trialAt < soonest.trialAt {
				soonest = e
			}
			if now >= e.trialAt && !q.tried(e) && (trial == nil || e.trialAt < trial.trialAt) {
				trial = e
			}
		}
	}
	switch {
	case trial != nil:
		return trial
	case active:
		return turn
	}
	return soonest
}

// pickIdle chooses where few endpoints use up the room, from those that hold less than their part of it. It
// guards against one that is slow or has stopped: its calls would take all the room, and new ones and those
// that are well would stand idle until it answers. Where all have much in hand there is none to choose.
func (b *Balancer) pickIdle(now time.Duration, q *request) *endpoint {
	part, used := b.room/float64(max(len(b.table), 1)), 0.0
	for _, e := range b.table {
		used += min(float64(e.inFlight), max(clogged*part, 1))
	}
	if used >= b.room {
		return nil
	}
	return b.pick(now, q, slices.DeleteFunc(slices.Clone(b.table), func(e *endpoint) bool {
		return float64(e.inFlight) >= part || !e.active && now < e.trialAt
	}))
}

// allowed tells whether an endpoint may get this request: ready, within a cold one's share, no second effect.
func (b *Balancer) allowed(now time.Duration, q *request, e *endpoint) bool {
	return e.usable() &&
		(now >= e.coldAt || b.warmth(now, e) == 1) && b.mayResend(now, q, e)
}

// turn is the deficit that counts for a pick: less where a connection stands idle, so that a few turns follow
// one another there. It guards against connections that don't last to the endpoint's next turn, whoever
// ends them (the endpoint, its idle limit, something between that forgets them), and against opening one more
// where several are called at once. All keep their turns in the long run. It could do harm where turns in
// a row crowd an endpoint: the charge for calls out is on top.
func (b *Balancer) turn(e *endpoint) float64 {
	if b.host.Idle(e.ID) {
		return e.deficit - reuse*e.w()
	}
	return e.deficit
}

// holds is what an endpoint is taken to have in hand: what its probe said, else what is out from here or, if
// more, what probes say on the whole. An endpoint that was not asked must not pass for an idle one.
func (b *Balancer) holds(now time.Duration, e *endpoint) float64 {
	if e.probed(now) {
		return e.held
	}
	return max(float64(e.inFlight), b.held) + float64(e.flows)
}

// probe asks the endpoints that are next in turn for their load, and holds the request for the answers.
func (b *Balancer) probe(now time.Duration, q *request) bool {
	var next [probeWidth + 1]*endpoint // in order of deficit; the last place is for what falls out
	for _, e := range b.table {
		if b.allowed(now, q, e) && (e.active || !e.trial && now >= e.trialAt) {
			i := probeWidth
			for ; i > 0 && (next[i-1] == nil || e.deficit < next[i-1].deficit); i-- {
				next[i] = next[i-1]
			}
			next[i] = e
		}
	}
	for _, e := range next[:probeWidth] {
		if e != nil {
			b.host.Probe(e.ID)
			q.probing = append(q.probing, e)
		}
	}
	q.probeEnd = now + probeWait
	return len(q.probing) > 0
}

// Probed takes an endpoint's load and lets the requests go that waited for it.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	e := b.byName[p.Endpoint]
	if e == nil {
		return
	}
	if p.Result != OK && e.active {
		b.drop(now, e)
	} else if p.Load.Known {
		e.held, e.heldAt = p.Load.Held, now
		b.held += (p.Load.Held - b.held) * meanGain
	}
	for _, q := range slices.Clone(b.live) {
		if i := slices.Index(q.probing, e); i >= 0 {
			if q.probing = slices.Delete(q.probing, i, i+1); len(q.probing) == 0 {
				b.dispatch(now, q)
			}
		}
	}
}
