package balance

import "time"

import "math"

// decayingCounter counts events with weights that decay with ewmaTimeConstant.
type decayingCounter struct {
	count     float64 // as of at
	updatedAt time.Duration
}

func (c *decayingCounter) add(now time.Duration) {
	c.count, c.updatedAt = c.count*ewmaDecay(now-c.updatedAt)+1, now
}

// perSecond is the recent rate of events. It is corrected for the time before startedAt, which had no events.
func (c *decayingCounter) perSecond(now, startedAt time.Duration) float64 {
	return c.count * ewmaDecay(now-c.updatedAt) /
		((1 - ewmaDecay(now-startedAt+time.Second)) * ewmaTimeConstant.Seconds())
}

// ewmaDecay is the fraction that a time leaves of a weight.
func ewmaDecay(d time.Duration) float64 { return math.Exp(-d.Seconds() / ewmaTimeConstant.Seconds()) }
