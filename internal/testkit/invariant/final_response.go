package invariant

import (
	"net/http"
	"slices"
	"time"
)

// The names of the occasions that the code counts at more than one place. An occasion is a situation that the result of a rule counts,
// such as a request that was accepted. Result files contain these names, so they must not change.
const (
	occasionAccepted        = "requests taken"
	occasionLostWithSidecar = "went under with a sidecar that was ended"
	occasionDelayedByPause  = "held up by a sidecar that was stopped"
)

// applyRequestSent records that a client sent a request. The client sends the request a second time if a reused connection ended
// before a response. A sidecar may close a connection between two requests, so sending a second time shows a violation only if the
// sidecar had already sent an attempt at the request, and was not killed in a way that lets the request remain without a response.
func (c *checker) applyRequestSent(e *Event) {
	request := c.request(e.Request)
	if request.wasSent {
		if len(request.attempts) > 0 && !c.mayBeLost(request) {
			c.addViolation(ruleFinalResponse, e, "its first connection was closed, though an attempt had been made")
		}
		request.attempts = nil // attempts at nodes before the client sent the request again no longer count
	} else {
		c.countOccasionAsTest(ruleFinalResponse, occasionAccepted)
	}
	request.sentEvent, request.wasSent, request.process = *e, true, c.sidecar(e.Sidecar)
}

// applyRequestNotWritten ends a request that the client could not write completely. The request no longer counts as an
// accepted request, since the sidecar owes no response to it.
func (c *checker) applyRequestNotWritten(e *Event) {
	request := c.request(e.Request)
	request.hasEnded, request.endedAt = true, e.At
	result := &c.report.Rules[ruleFinalResponse-1]
	result.TestedOccasions--
	result.Occasions[occasionAccepted]--
}

// applyRequestEnd applies an event that ends a request at its client, and checks that the request got exactly one complete
// response in time.
func (c *checker) applyRequestEnd(e *Event) {
	request := c.request(e.Request)
	e.Sidecar = request.sentEvent.Sidecar
	switch e.Kind {
	case ResponseReceived:
		request.responseCount++
		if request.responseCount > 1 {
			c.addViolation(ruleFinalResponse, e, "answered %d times", request.responseCount)
			return
		}
		c.checkResponse(request, e)
	case ExtraBytes:
		c.addViolation(ruleFinalResponse, e, "more came after the final answer")
	case ConnectionLost:
		if c.mayBeLost(request) {
			c.countOccasion(ruleFinalResponse, occasionLostWithSidecar)
		} else {
			c.addViolation(ruleFinalResponse, e, "the connection ended without a whole answer")
		}
	case ResponseOverdue:
		switch {
		case c.mayBeLost(request):
			c.countOccasion(ruleFinalResponse, occasionLostWithSidecar)
		case request.sidecarWasPaused():
			c.countOccasion(ruleFinalResponse, occasionDelayedByPause)
		default:
			c.addViolation(ruleFinalResponse, e, "no answer %v after its time was up",
				(e.At - request.sentEvent.Deadline).Round(time.Millisecond))
		}
	case ClientDisconnected:
		c.countOccasion(ruleFinalResponse, "callers that left")
	}
	if !request.hasEnded {
		request.hasEnded, request.endedAt = true, e.At
	}
}

// checkResponse checks the first response to a request: it must come in time, a served body must be from a node, and a
// request that is not safe must not be rejected if it may have run. A client may retry a rejected request, which would then take
// effect twice.
func (c *checker) checkResponse(request *requestState, e *Event) {
	if lateness := e.At - request.sentEvent.Deadline; lateness > c.rules.Tolerance && request.sidecarWasPaused() {
		c.countOccasion(ruleFinalResponse, occasionDelayedByPause)
	} else if lateness > c.rules.Tolerance {
		c.addViolation(ruleFinalResponse, e, "answered %v after its time was up", lateness.Round(time.Millisecond))
	}
	switch e.Status {
	case http.StatusOK:
		c.countOccasion(ruleFinalResponse, "served")
		if !e.IsGenuine {
			c.addViolation(ruleFinalResponse, e, "served with what no endpoint made for it")
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.countOccasion(ruleFinalResponse, "refused")
		if len(request.attempts) > 0 {
			c.countOccasionAsTest(ruleNoDoubleEffect, "refusals after an attempt")
		}
		if c.class(request).Effect != Safe && slices.ContainsFunc(request.attempts, (*attemptState).mayHaveRun) {
			c.addViolation(ruleNoDoubleEffect, e, "refused (%d), though an attempt may have run", e.Status)
		}
	default:
		c.countOccasion(ruleFinalResponse, "failed")
	}
}
