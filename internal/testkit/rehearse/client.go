package rehearse

import (
	"math/rand/v2"
	"time"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/invariant"
)

// outcome is what became of a first try and its retries.
type outcome struct {
	isServed bool
	duration time.Duration // since it was due, to its last answer
	status   int           // of its last answer; 0: none
	attempts int
}

func (o *outcome) isInTime(aim time.Duration) bool { return o.isServed && o.duration <= aim }

// runClient plays one first try and its retries.
func (w *rehearsal) runClient(i int, due time.Time) {
	q, o := &w.plan.Requests[i], &w.outcomes[i]
	class := w.plan.Classes[q.Class]
	end := due.Add(class.Deadline)
	defer func() {
		o.duration = time.Since(due)
		w.offeredWorth.Add(int64(1000 * q.Worth))
		if o.isInTime(w.plan.Day.Classes[q.Class].LatencyObjective) {
			w.inTimeWorth.Add(int64(1000 * q.Worth))
		}
	}()
	for {
		wait := min(q.AttemptTimeout, time.Until(end))
		if wait < time.Millisecond {
			return
		}
		try := fake.Request{ID: w.newID("try"), Class: q.Class, Tenant: w.plan.Day.Tenants[q.Tenant].Name, Key: q.Key, Retry: o.attempts > 0,
			Job: q.Job, Timeout: wait, Connect: w.frontLayer.Connect}
		if w.plan.Day.Load.Hints {
			try.CostHint = costHint(q)
		}
		if o.attempts == 0 {
			try.LeaveAfter = q.LeaveAfter
		}
		out := w.clients.Do(try)
		o.attempts++
		o.status = out.Status
		if out.Status == 200 {
			o.isServed = true
			return
		}
		refused := out.Status == 503 || out.Status == 429
		if out.HasLeft || o.attempts > q.Retries || class.Effect != invariant.Safe && out.IsAccepted && !refused {
			return
		}
		pause := q.Backoff
		if refused && q.HonoursRetryAfter {
			pause = max(pause, out.RetryAfter)
		}
		if !sleep(w.ctx, pause) {
			return
		}
	}
}

// costHint is a client's guess at the work: half to twice of it.
func costHint(q *Request) time.Duration {
	return time.Duration(float64(q.Job.TotalWork()) * (0.5 + 1.5*rand.New(rand.NewPCG(q.Draw, sourceJobs)).Float64()))
}
