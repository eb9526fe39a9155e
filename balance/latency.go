package balance

import (
	"math"
	"time"
)

const (
	alpha       = 0.95             // share of the old weight that a sample leaves, once there are many
	memory      = 10 * time.Second // a sample this old counts 1/e: time counts, not only samples
	prior       = 3.0              // samples that its kind's weight is worth beside an endpoint's own
	kindGain    = 0.03             // gain of a kind's weight per answer
	meanGain    = 0.05             // gain of recent means per answer
	penaltyMost = 20.0             // largest stretch that one sample can show
	calmFall    = 0.02             // gain of the calm latency per answer while the mean is below it
	calmRise    = 60 * time.Second // over which it gives in to a higher mean
	calmFirst   = 1.5              // seconds until calm is known: the first answers are the quick ones
)

// w is the endpoint's weight: what its kind usually takes, moved by what it took itself. Alone, a quiet
// caller's few samples cannot tell a slow machine from a heavy call.
func (e *endpoint) w() float64 { return e.kind.w * (prior + e.sum) / (prior + e.samples) }

// sample smooths the weight and drops the endpoint if it left the factor.
func (b *Balancer) sample(now time.Duration, e *endpoint, stretch float64) {
	old := min(math.Exp(-(now-e.sampledAt).Seconds()/memory.Seconds()), 1-1/(1/(1-alpha)-prior))
	e.sum, e.samples, e.sampledAt = e.sum*old+stretch/e.kind.w, e.samples*old+1, now
	if e.active && e.w() > factor*b.smallest() {
		b.drop(now, e)
	}
}

// expected is what a request takes at a calm endpoint, in seconds: like is compared with like, by the class.
func (b *Balancer) expected(q *request) float64 {
	c := q.class
	if c.samples == 0 || c.calm <= 0 {
		return max(c.Aim.Seconds()/4, 0.001)
	}
	return c.calm
}

// learn updates what calls of the class take. Calm rises by time alone: an overload must not pass for calm.
func (c *class) learn(now time.Duration, q *request, took float64) {
	if c.samples++; c.samples == 1 {
		c.since = now
	}
	gap := now - c.at
	c.at = now
	if c.mean > 0 {
		took = min(took, penaltyMost*c.mean)
	}
	c.mean += (took - c.mean) * max(1/c.samples, meanGain)
	switch {
	case c.samples < 10 || (now-c.since).Seconds() < calmFirst:
		c.calm = c.mean
	case c.mean < c.calm:
		c.calm += (c.mean - c.calm) * calmFall
	default:
		c.calm += (c.mean - c.calm) * min(gap.Seconds()/calmRise.Seconds(), 1)
	}
}

// learn moves the weight of the kind by one answer.
func (k *kind) learn(stretch float64) {
	k.samples++
	k.w += (stretch - k.w) * max(1/(k.samples+2), kindGain)
}
