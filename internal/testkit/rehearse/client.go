package rehearse

import (
	"math/rand/v2"
	"net/http"
	"time"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/invariant"
)

// maxClientIdleConnections is how many idle connections all clients together keep.
const maxClientIdleConnections = 256

// outcome is what became of a client's request over all its attempts.
type outcome struct {
	isServed bool
	duration time.Duration // from the instant at which the request was due to the last response
	status   int           // of the last response; 0: none
	attempts int
}

// isInTime reports whether the request was served within the latency objective.
func (o *outcome) isInTime(objective time.Duration) bool {
	return o.isServed && o.duration <= objective
}

// isRejection reports whether a status means that the request was not accepted, so that it may be sent again.
func isRejection(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// runClient sends request i of the plan and its retries, and sets its outcome.
func (r *rehearsal) runClient(i int, due time.Time) {
	request, o := &r.plan.Requests[i], &r.outcomes[i]
	class := r.plan.Classes[request.Class]
	deadline := due.Add(class.Deadline)
	defer func() {
		o.duration = time.Since(due)
		r.offeredWorth.Add(int64(1000 * request.Value))
		if o.isInTime(r.plan.Day.Classes[request.Class].LatencyObjective) {
			r.inTimeWorth.Add(int64(1000 * request.Value))
		}
	}()
	for {
		timeout := min(request.AttemptTimeout, time.Until(deadline))
		if timeout < time.Millisecond {
			return
		}
		out := r.clients.Do(r.newAttempt(request, o.attempts, timeout))
		o.attempts++
		o.status = out.Status
		if out.Status == http.StatusOK {
			o.isServed = true
			return
		}
		isRejected := isRejection(out.Status)
		mayHaveRun := class.Effect != invariant.Safe && out.IsAccepted && !isRejected
		if out.HasLeft || o.attempts > request.MaxRetries || mayHaveRun {
			return
		}
		pause := request.Backoff
		if isRejected && request.HonoursRetryAfter {
			pause = max(pause, out.RetryAfter)
		}
		if !sleep(r.ctx, pause) {
			return
		}
	}
}

// newAttempt is an attempt at a request after a number of others.
func (r *rehearsal) newAttempt(request *Request, attempts int, timeout time.Duration) fake.Request {
	attempt := fake.Request{
		ID:      r.newID("try"),
		Class:   request.Class,
		Tenant:  r.plan.Day.Tenants[request.Tenant].Name,
		Key:     request.IdempotencyKey,
		Retry:   attempts > 0,
		Job:     request.Job,
		Timeout: timeout,
		Connect: r.frontLayer.Connect,
	}
	if r.plan.Day.Load.HasCostHints {
		attempt.CostHint = costHint(request)
	}
	if attempts == 0 {
		attempt.LeaveAfter = request.LeaveAfter
	}
	return attempt
}

// costHint is a client's guess at the work, from half to twice of it.
func costHint(request *Request) time.Duration {
	rng := rand.New(rand.NewPCG(request.Seed, sourceJobs))
	return time.Duration(float64(request.Job.TotalWork()) * (0.5 + 1.5*rng.Float64()))
}
