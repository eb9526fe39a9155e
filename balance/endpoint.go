package balance

import "time"

// endpoint is what is known of one endpoint.
type endpoint struct {
	Endpoint
	kind *kind

	active         bool          // in the paper's active list
	deficit        float64       // the paper's Δ: what its turns have been charged
	sampleSum      float64       // smoothed sum of its samples, each over the kind's weight
	sampleCount    float64       // samples that sampleSum is worth
	errorRate      float64       // fraction of recent results that are errors
	lastSampleAt   time.Duration // of the latest sample
	lastResponseAt time.Duration // of the latest response

	ejected       bool          // not active because of its latency, silence or a failed trial
	backoff       time.Duration // wait between trials
	nextTrialAt   time.Duration // while not active
	trialInFlight bool          // the single trial request is in flight

	manuallyEjected bool          // by operators
	restoredAt      time.Duration // when operators restored it; 0: never
	incarnation     int           // how often operators restored it

	inFlight        int // attempts that wait for its response
	streamsInFlight int // attempts with a streaming body, in either direction

	slowStartNextAt time.Duration // earliest next attempt, while it is warming up
	wasInSubset     bool          // at the latest change of the subset

	reportedLoad   float64       // of the latest load report
	reportedLoadAt time.Duration // of the latest load report; 0: none
}

// isAvailable reports whether the endpoint may get new attempts.
func (e *endpoint) isAvailable() bool { return e.State == Ready && !e.manuallyEjected }

// hasFreshLoadReport reports whether the latest load report may still be used.
func (e *endpoint) hasFreshLoadReport(now time.Duration) bool {
	return e.reportedLoadAt > 0 && now-e.reportedLoadAt <= loadReportLifetime
}
