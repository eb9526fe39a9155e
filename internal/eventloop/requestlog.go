package eventloop

import (
	"time"

	"tuliprock/balance"
)

// maxRequestLines is the maximum number of lines about single requests that a pool logs in a second.
const maxRequestLines = 20

// endReason says in the log why a request has ended without an endpoint's response.
type endReason string

const (
	reasonIDInFlight  endReason = "id_in_flight"  // another request with the same id has not ended
	reasonIDUsed      endReason = "id_used"       // a request with the same id may have run
	reasonNoLease     endReason = "no_lease"      // no lease covers the configuration
	reasonClientGone  endReason = "client_gone"   // the client has disconnected, or its body could not be read
	reasonBodyOverdue endReason = "body_overdue"  // the client's time has passed while its body was being sent
	reasonNotSent     endReason = "not_attempted" // the balancer has rejected or failed the request without an attempt
	reasonAttempt     endReason = "attempt"       // the last attempt failed, or was still in flight at the deadline
)

// balancerReason returns the reason of a reply that the balancer has decided on.
func (c *Call) balancerReason() endReason {
	switch {
	case c.isBodyOverdue:
		return reasonBodyOverdue
	case len(c.cancelAttempts) == 0:
		return reasonNotSent
	}
	return reasonAttempt
}

// logEnd logs that a request has ended without an endpoint's response.
func (l *Loop) logEnd(now time.Duration, c *Call, verdict Verdict, reason endReason) {
	if !l.requestLog.Allows() {
		return
	}
	attributes := []any{
		"id", c.ID, "class", c.Class, "verdict", verdict, "reason", reason, "attempts", len(c.cancelAttempts),
		"age_ms", (now - c.submittedAt).Milliseconds(), "left_ms", (c.Deadline - now).Milliseconds(),
	}
	if c.lastOutcome.Endpoint != "" {
		attributes = append(attributes, "endpoint", c.lastOutcome.Endpoint, "result", c.lastOutcome.Result)
	}
	if upload := c.upload(); upload != nil {
		attributes = append(attributes, "body_bytes", upload.Size, "body_received", upload.ReceivedBytes())
	}
	l.requestLog.Write("request ended without a response", attributes...)
}

// logAttempt logs an attempt that got no response.
func (l *Loop) logAttempt(c *Call, o balance.Outcome) {
	if o.Result == balance.OK || !l.requestLog.Allows() {
		return
	}
	l.requestLog.Write("attempt failed", "id", c.ID, "attempt", o.AttemptNumber, "endpoint", o.Endpoint, "result", o.Result,
		"latency_ms", o.Latency.Milliseconds(), "reused_connection", o.ReusedConnection, "may_have_run", o.Result.MayHaveRun(), "final", o.IsFinal)
}
