package balance

import (
	"math"
	"time"
)

// Latency estimates: the baseline of each class, and the weights of endpoints and of their kinds.
const (
	ewmaAlpha        = 0.95             // the paper's α: the most that a sample leaves of the old weight
	ewmaTimeConstant = 10 * time.Second // after which a sample counts 1/e, also where samples are rare
	kindPriorSamples = 3.0              // samples that its kind's weight counts for in an endpoint's weight
	kindWeightGain   = 0.03             // least gain of a kind's weight per response
	recentMeanGain   = 0.05             // least gain of other recent means per response
	maxSampleStretch = 20.0             // one sample contributes no more to a weight

	baselineLearningSeconds = 1.5              // during which it is the mean: fast responses come first
	baselineFallGain        = 0.02             // gain of the baseline per response while the mean is below it
	baselineRiseTime        = 60 * time.Second // in which it rises to the mean: overload is not normal
)

// kind pools the samples of the endpoints of one kind.
type kind struct{ weight, sampleCount float64 }

// observe adds the stretch of a response to the weight of the kind.
func (k *kind) observe(stretch float64) {
	k.sampleCount++
	k.weight += (stretch - k.weight) * max(1/(k.sampleCount+2), kindWeightGain)
}

// class is the latency of the requests of one class.
type class struct {
	Class
	sampleCount     float64
	baselineLatency float64 // seconds, without load
	meanLatency     float64 // seconds, recent
	firstResponseAt time.Duration
	lastResponseAt  time.Duration
}

// weight is the endpoint's expected stretch, the paper's w: that of its kind, corrected by its own samples.
// The few samples of a balancer with little traffic cannot tell a slow machine from an expensive request.
func (e *endpoint) weight() float64 {
	return e.kind.weight * (kindPriorSamples + e.sampleSum) / (kindPriorSamples + e.sampleCount)
}

// addSample adds a stretch to the endpoint's weight and ejects the endpoint if it is no longer within
// activeFactor of the best.
func (b *Balancer) addSample(now time.Duration, ep *endpoint, stretch float64) {
	decay := math.Exp(-(now - ep.lastSampleAt).Seconds() / ewmaTimeConstant.Seconds())
	kept := min(decay, 1-1/(1/(1-ewmaAlpha)-kindPriorSamples))
	ep.sampleSum = ep.sampleSum*kept + stretch/ep.kind.weight
	ep.sampleCount, ep.lastSampleAt = ep.sampleCount*kept+1, now
	if ep.active && ep.weight() > activeFactor*b.smallestActiveWeight() {
		b.eject(now, ep)
	}
}

// baselineSeconds is the latency of the request without load, in seconds: the baseline of its class, or a
// quarter of the latency objective before the first response.
func (b *Balancer) baselineSeconds(req *request) float64 {
	c := req.class
	if c.sampleCount == 0 || c.baselineLatency <= 0 {
		return max(c.LatencyObjective.Seconds()/4, 0.001)
	}
	return c.baselineLatency
}

// observe adds a response to the latencies of the class. The baseline rises with time and not with the number
// of responses.
func (c *class) observe(now time.Duration, latency float64) {
	if c.sampleCount++; c.sampleCount == 1 {
		c.firstResponseAt = now
	}
	gap := now - c.lastResponseAt
	c.lastResponseAt = now
	if c.meanLatency > 0 {
		latency = min(latency, maxSampleStretch*c.meanLatency)
	}
	c.meanLatency += (latency - c.meanLatency) * max(1/c.sampleCount, recentMeanGain)
	switch {
	case c.sampleCount < 10 || (now-c.firstResponseAt).Seconds() < baselineLearningSeconds:
		c.baselineLatency = c.meanLatency
	case c.meanLatency < c.baselineLatency:
		c.baselineLatency += (c.meanLatency - c.baselineLatency) * baselineFallGain
	default:
		gain := min(gap.Seconds()/baselineRiseTime.Seconds(), 1)
		c.baselineLatency += (c.meanLatency - c.baselineLatency) * gain
	}
}

// meanBaselineSeconds is the mean baseline latency over the requests of all classes, in seconds; 1 before any
// response.
func (b *Balancer) meanBaselineSeconds() float64 {
	sum, count := 0.0, 0.0
	for i := range b.settings.Classes {
		c := b.classes[b.settings.Classes[i].Name]
		sum, count = sum+c.baselineLatency*c.sampleCount, count+c.sampleCount
	}
	if sum <= 0 {
		return 1
	}
	return sum / count
}
