package balance

import "time"

// endpoint is the state of one listed endpoint.
type endpoint struct {
	Endpoint       // entry of the endpoint in the endpoint list
	kind     *kind // weight shared by all endpoints with the same Endpoint.Kind

	active         bool          // whether the endpoint may get requests other than trials
	deficit        float64       // sum of weights charged for the endpoint's requests; Δ in the RR policy
	sampleSum      float64       // decayed sum of samples; a sample is a stretch divided by kind.weight
	sampleCount    float64       // decayed number of the samples in sampleSum
	errorRate      float64       // fraction of error responses among the endpoint's recent results
	lastSampleAt   time.Duration // instant of the last latency sample
	lastResponseAt time.Duration // instant of the last response without an error

	ejected       bool          // whether ejected for latency, missing responses or a failed trial
	backoff       time.Duration // time between trials, without jitter
	nextTrialAt   time.Duration // instant from which a trial may be sent while the endpoint is not active
	trialInFlight bool          // whether a trial is in flight; an endpoint gets one trial at a time

	manuallyEjected bool          // whether operators have ejected the endpoint
	restoredAt      time.Duration // instant at which operators restored the endpoint; 0: never
	brokenAt        time.Duration // instant at which a connection broke; 0: none since the list named it
	incarnation     int           // number of times that operators have restored the endpoint

	inFlight        int // attempts of this balancer that wait for a response of the endpoint
	streamsInFlight int // attempts at the endpoint with a streaming request or response body

	slowStartNextAt time.Duration // earliest instant of the next attempt while the endpoint is warming up
	wasInSubset     bool          // whether the last rebuild of the subset included the endpoint

	reportedLoad   float64       // number of requests in the last load report
	reportedLoadAt time.Duration // instant of the last load report; 0: there is none
}

// maxListDelay is the longest time until discovery reports that the process of an endpoint was replaced.
const maxListDelay = 10 * time.Second

// mayBeReplaced reports whether the process at the endpoint's address may be another one than the list says:
// a connection has broken, and the list may not say yet what became of the process.
func (e *endpoint) mayBeReplaced(now time.Duration) bool {
	return e.brokenAt > 0 && now-e.brokenAt < maxListDelay
}

// isAvailable reports whether the endpoint may get new attempts.
func (e *endpoint) isAvailable() bool { return e.State == Ready && !e.manuallyEjected }

// hasFreshLoadReport reports whether the endpoint's last load report is at most loadReportLifetime old.
func (e *endpoint) hasFreshLoadReport(now time.Duration) bool {
	return e.reportedLoadAt > 0 && now-e.reportedLoadAt <= loadReportLifetime
}
