package balance

import (
	"math"
	"time"
)

// decayingCounter counts events, each with a weight that decays with ewmaTimeConstant.
type decayingCounter struct {
	count     float64       // sum of the weights that all events have at updatedAt
	updatedAt time.Duration // instant of the last event
}

// add counts an event that happens now.
func (c *decayingCounter) add(now time.Duration) {
	c.count, c.updatedAt = c.count*ewmaDecay(now-c.updatedAt)+1, now
}

// perSecond returns the recent rate of events, in events per second. It divides the count by the count that
// one event per second since startedAt would have given, so that the rate is not too low soon after
// startedAt, at which the counting began.
func (c *decayingCounter) perSecond(now, startedAt time.Duration) float64 {
	return c.count * ewmaDecay(now-c.updatedAt) /
		((1 - ewmaDecay(now-startedAt+time.Second)) * ewmaTimeConstant.Seconds())
}

// ewmaDecay returns the fraction of a weight that is left after the given time.
func ewmaDecay(d time.Duration) float64 { return math.Exp(-d.Seconds() / ewmaTimeConstant.Seconds()) }
