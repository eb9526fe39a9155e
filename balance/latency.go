package balance

import (
	"math"
	"time"
)

// Constants of the latency estimates: the baseline latency of each class, and the weights of endpoints and of
// endpoint kinds (see Endpoint.Kind).
const (
	ewmaAlpha        = 0.95             // largest fraction of old samples kept; α in Cicconetti et al.
	ewmaTimeConstant = 10 * time.Second // longest time in which a sample's weight falls to 1/e
	kindPriorSamples = 3.0              // an endpoint's own samples that count as much as kind.weight
	kindWeightGain   = 0.03             // least EWMA gain of kind.weight, per response
	recentMeanGain   = 0.05             // least EWMA gain of mean latency, error rate and load, per sample
	maxSampleStretch = 20.0             // largest stretch that one sample contributes to a weight

	// At first the baseline is the mean latency, because the first responses are those of the fastest
	// requests. Then it follows a lower mean fast and a higher one slowly, so that an overload hardly
	// raises it.
	baselineLearningSeconds = 1.5              // initial seconds in which the baseline is the mean latency
	baselineFallGain        = 0.02             // fraction of baseline - mean latency subtracted per response
	baselineRiseTime        = 60 * time.Second // time constant of the baseline's rise to a higher mean
)

// kind holds the weight that all endpoints with the same Endpoint.Kind share.
type kind struct {
	weight      float64 // smoothed stretch of the responses of all endpoints of the kind
	sampleCount float64 // number of responses so far
}

// observe updates the weight with the stretch of a response of an endpoint of this kind.
func (k *kind) observe(stretch float64) {
	k.sampleCount++
	k.weight += (stretch - k.weight) * max(1/(k.sampleCount+2), kindWeightGain)
}

// class is a class of requests with its latency estimates.
type class struct {
	Class
	sampleCount     float64       // number of responses so far
	baselineLatency float64       // latency without load, in seconds
	meanLatency     float64       // smoothed latency of recent responses, in seconds
	firstResponseAt time.Duration // instant at which a response of the class was first received
	lastResponseAt  time.Duration // instant at which a response of the class was last received
}

// weight returns the stretch expected at the endpoint (w in Cicconetti et al.): the weight of its kind,
// corrected by the endpoint's own samples. The kind counts because the few samples of a balancer with little
// traffic do not show whether the machine is slow or the requests were expensive.
func (e *endpoint) weight() float64 {
	return e.kind.weight * (kindPriorSamples + e.sampleSum) / (kindPriorSamples + e.sampleCount)
}

// addSample updates the endpoint's weight with a latency sample and ejects the endpoint if its weight now
// exceeds maxActiveWeightRatio times the smallest active weight.
func (b *Balancer) addSample(now time.Duration, ep *endpoint, stretch float64) {
	decay := math.Exp(-(now - ep.lastSampleAt).Seconds() / ewmaTimeConstant.Seconds())
	// retained is the fraction of sampleSum and sampleCount that is kept.
	retained := min(decay, 1-1/(1/(1-ewmaAlpha)-kindPriorSamples))
	ep.sampleSum = ep.sampleSum*retained + stretch/ep.kind.weight
	ep.sampleCount, ep.lastSampleAt = ep.sampleCount*retained+1, now
	if ep.active && ep.weight() > maxActiveWeightRatio*b.smallestActiveWeight() {
		b.eject(now, ep)
	}
}

// baselineSeconds returns the latency expected for the request without load, in seconds: the baseline latency
// of its class or, before the first response, a quarter of the latency objective.
func (b *Balancer) baselineSeconds(req *request) float64 {
	c := req.class
	if c.sampleCount == 0 || c.baselineLatency <= 0 {
		return max(c.LatencyObjective.Seconds()/4, 0.001)
	}
	return c.baselineLatency
}

// observe updates the latency estimates of the class with a response. The baseline rises by an amount that
// depends on the time passed, not on the number of responses.
func (c *class) observe(now time.Duration, latency float64) {
	if c.sampleCount++; c.sampleCount == 1 {
		c.firstResponseAt = now
	}
	sinceLast := now - c.lastResponseAt
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
		gain := min(sinceLast.Seconds()/baselineRiseTime.Seconds(), 1)
		c.baselineLatency += (c.meanLatency - c.baselineLatency) * gain
	}
}

// meanBaselineSeconds returns the mean baseline latency of the classes, weighted by their responses, in
// seconds; 1 before any response.
func (b *Balancer) meanBaselineSeconds() float64 {
	weightedSum, sampleCount := 0.0, 0.0
	for i := range b.settings.Classes {
		c := b.classes[b.settings.Classes[i].Name]
		weightedSum, sampleCount = weightedSum+c.baselineLatency*c.sampleCount, sampleCount+c.sampleCount
	}
	if weightedSum <= 0 {
		return 1
	}
	return weightedSum / sampleCount
}
