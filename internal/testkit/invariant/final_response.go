package invariant

import (
	"net/http"
	"slices"
	"time"
)

// Names of occasions that are counted in more than one place.
const (
	occasionAccepted = "requests taken"
	occasionEnded    = "went under with a sidecar that was ended"
	occasionPaused   = "held up by a sidecar that was stopped"
)

// applyAsked records a request. A client writes it a second time where its connection ended before anything came: a sidecar
// may close a connection between requests, but not one whose request it has read.
func (c *checker) applyAsked(e *Event) {
	request := c.request(e.Request)
	if request.isKnown {
		if len(request.attempts) > 0 && !c.isExcused(request) {
			c.violate(ruleFinalResponse, e, "its first connection was closed, though an attempt had been made")
		}
		request.attempts = nil // they belong to a process that has ended
	} else {
		c.countTest(ruleFinalResponse, occasionAccepted)
	}
	request.asked, request.isKnown, request.process = *e, true, c.sidecar(e.Sidecar)
}

// applyNotAccepted takes back what applyAsked counted, since no response is owed.
func (c *checker) applyNotAccepted(e *Event) {
	request := c.request(e.Request)
	request.isOver, request.overAt = true, e.At
	result := &c.report.Rules[ruleFinalResponse-1]
	result.TestedOccasions--
	result.Occasions[occasionAccepted]--
}

// applyRequestEnd checks rule 1 on an event that ends a request at its client.
func (c *checker) applyRequestEnd(e *Event) {
	request := c.request(e.Request)
	e.Sidecar = request.asked.Sidecar
	switch e.Kind {
	case ResponseReceived:
		request.responses++
		if request.responses > 1 {
			c.violate(ruleFinalResponse, e, "answered %d times", request.responses)
			return
		}
		c.checkResponse(request, e)
	case ExtraBytes:
		c.violate(ruleFinalResponse, e, "more came after the final answer")
	case ConnectionLost:
		if c.isExcused(request) {
			c.countOccasion(ruleFinalResponse, occasionEnded)
		} else {
			c.violate(ruleFinalResponse, e, "the connection ended without a whole answer")
		}
	case ResponseOverdue:
		switch {
		case c.isExcused(request):
			c.countOccasion(ruleFinalResponse, occasionEnded)
		case request.wasPaused():
			c.countOccasion(ruleFinalResponse, occasionPaused)
		default:
			c.violate(ruleFinalResponse, e, "no answer %v after its time was up",
				(e.At - request.asked.Until).Round(time.Millisecond))
		}
	case ClientLeft:
		c.countOccasion(ruleFinalResponse, "callers that left")
	}
	if !request.isOver {
		request.isOver, request.overAt = true, e.At
	}
}

// checkResponse checks the first response to a request: its time and origin by rule 1, and by rule 2 that it does not
// reject a request that may have taken effect.
func (c *checker) checkResponse(request *requestState, e *Event) {
	if late := e.At - request.asked.Until; late > c.rules.Tolerance && request.wasPaused() {
		c.countOccasion(ruleFinalResponse, occasionPaused)
	} else if late > c.rules.Tolerance {
		c.violate(ruleFinalResponse, e, "answered %v after its time was up", late.Round(time.Millisecond))
	}
	switch e.Status {
	case http.StatusOK:
		c.countOccasion(ruleFinalResponse, "served")
		if !e.Genuine {
			c.violate(ruleFinalResponse, e, "served with what no endpoint made for it")
		}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.countOccasion(ruleFinalResponse, "refused")
		if len(request.attempts) > 0 {
			c.countTest(ruleNoDoubleEffect, "refusals after an attempt")
		}
		if c.class(request).Effect != Safe && slices.ContainsFunc(request.attempts, (*attemptState).mayHaveRun) {
			c.violate(ruleNoDoubleEffect, e, "refused (%d), though an attempt may have run", e.Status)
		}
	default:
		c.countOccasion(ruleFinalResponse, "failed")
	}
}
