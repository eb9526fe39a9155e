package rehearse

import (
	"math/rand/v2"
	"net/http"
	"time"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/invariant"
)

// maxClientIdleConnections bounds the idle connections to sidecars that are kept for all simulated clients together.
const maxClientIdleConnections = 256

// outcome is the result of a client's request after the last attempt that the client sends for it.
type outcome struct {
	isServed     bool          // whether the last attempt was answered with status 200
	duration     time.Duration // time from when the request was due until the client was served or gave up
	status       int           // HTTP status of the response to the last attempt; 0: it had no complete response
	attemptsSent int           // number of attempts that the client sent
}

// isInTime reports whether the request was served within the latency objective.
func (o *outcome) isInTime(objective time.Duration) bool {
	return o.isServed && o.duration <= objective
}

// isRejection reports whether an HTTP status means that the request was rejected before it ran, so that it may be retried.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// runClient simulates the client of request i of the plan: it sends the request and its retries, and records the outcome. The request
// is due at dueAt, from which its deadline and latency count.
func (r *rehearsal) runClient(i int, dueAt time.Time) {
	request, o := &r.plan.Requests[i], &r.outcomes[i]
	class := r.plan.Classes[request.Class]
	deadline := dueAt.Add(class.Deadline)
	defer func() {
		o.duration = time.Since(dueAt)
		r.offeredValue.Add(int64(1000 * request.Value))
		if o.isInTime(r.plan.Day.Classes[request.Class].LatencyObjective) {
			r.inTimeValue.Add(int64(1000 * request.Value))
		}
	}()
	for {
		timeout := min(request.AttemptTimeout, time.Until(deadline))
		if timeout < time.Millisecond {
			return
		}
		response := r.clients.Do(r.newAttempt(request, o.attemptsSent, timeout))
		o.attemptsSent++
		o.status = response.Status
		if response.Status == http.StatusOK {
			o.isServed = true
			return
		}
		isRejected := isRejection(response.Status)
		mayHaveRun := class.Effect != invariant.Safe && response.IsAccepted && !isRejected
		if response.HasDisconnected || o.attemptsSent > request.MaxRetries || mayHaveRun {
			return
		}
		delay := request.Backoff
		if isRejected && request.HonoursRetryAfter {
			delay = max(delay, response.RetryAfter)
		}
		if !sleep(r.ctx, delay) {
			return
		}
	}
}

// newAttempt returns a client's next attempt to send a request. attemptsSent is the number of attempts that the client has already
// sent for the request, and timeout is the time limit of the next attempt.
func (r *rehearsal) newAttempt(request *Request, attemptsSent int, timeout time.Duration) fake.Request {
	attempt := fake.Request{
		ID:             r.newID("try"),
		Class:          request.Class,
		Tenant:         r.plan.Day.Tenants[request.Tenant].Name,
		IdempotencyKey: request.IdempotencyKey,
		IsRetry:        attemptsSent > 0,
		Job:            request.Job,
		Timeout:        timeout,
		Connect:        r.frontLayer.Connect,
	}
	if r.plan.Day.Load.HasCostHints {
		attempt.CostHint = costHint(request)
	}
	if attemptsSent == 0 {
		attempt.DisconnectAfter = request.DisconnectAfter
	}
	return attempt
}

// costHint returns a client's estimate of a request's work, which lies between half and twice the actual work.
func costHint(request *Request) time.Duration {
	rng := rand.New(rand.NewPCG(request.Seed, randSourceJobs))
	return time.Duration(float64(request.Job.TotalWork()) * (0.5 + 1.5*rng.Float64()))
}
