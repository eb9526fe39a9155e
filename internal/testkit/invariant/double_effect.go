package invariant

import "time"

// checkDoubleEffect checks that the attempt e cannot repeat the effect of an earlier attempt at the same request, and that
// the request does not have too many attempts.
func (c *checker) checkDoubleEffect(request *requestState, e *Event) {
	if len(request.attempts) == 0 {
		return
	}
	c.countOccasionAsTest(ruleNoDoubleEffect, "attempts after the first")
	if n := len(request.attempts) + 1; c.rules.MaxAttempts > 0 && n > c.rules.MaxAttempts {
		c.addViolation(ruleNoDoubleEffect, e, "attempt %d, at most %d are allowed", n, c.rules.MaxAttempts)
	}
	class := c.class(request)
	for _, earlier := range request.attempts {
		if !earlier.mayHaveRun() {
			continue
		}
		previous := &earlier.receivedEvent
		switch {
		case class.Effect == NonIdempotent:
			c.addViolation(ruleNoDoubleEffect, e, "unsafe work sent again, though the attempt at %s may have run", previous.Node)
			return
		case class.Effect == IdempotencyKeyed && previous.Cell != e.Cell:
			c.addViolation(ruleNoDoubleEffect, e, "keyed work that may have run at %s (cell %d) sent to cell %d",
				previous.Node, previous.Cell, e.Cell)
			return
		case class.Effect == IdempotencyKeyed && e.FirstByteAt > previous.At+class.Window+c.rules.Tolerance:
			c.addViolation(ruleNoDoubleEffect, e, "keyed work sent again %v after the first send, its window is %v",
				(e.FirstByteAt - previous.At).Round(time.Millisecond), class.Window)
			return
		}
	}
}

// checkSentAfterEnd checks that an attempt does not begin after its request has ended. The tolerance allows for an attempt
// that the sidecar sends while the client is closing its connection.
func (c *checker) checkSentAfterEnd(request *requestState, e *Event) {
	if request.hasEnded && e.FirstByteAt > request.endedAt+c.rules.Tolerance {
		c.addViolation(ruleNoDoubleEffect, e, "sent %v after its end", (e.FirstByteAt - request.endedAt).Round(time.Millisecond))
	}
}

// checkOverlaps checks that no two attempts at a request were in flight at once. It must be called after the last event, when
// the end of each attempt is known.
func (c *checker) checkOverlaps() {
	for _, request := range c.requestOrder {
		for i, attempt := range request.attempts {
			for _, earlier := range request.attempts[:i] {
				if !earlier.hasEnded || earlier.endedAt > attempt.receivedEvent.At+c.rules.Tolerance {
					e := attempt.receivedEvent
					e.Sidecar = request.sentEvent.Sidecar
					c.addViolation(ruleNoDoubleEffect, &e, "sent while the attempt at %s was out", earlier.receivedEvent.Node)
				}
			}
		}
	}
}

// applyEffectStarted counts an attempt that a node dropped as a duplicate, since the node's cell had begun to execute an earlier
// attempt with the same idempotency key.
func (c *checker) applyEffectStarted(e *Event) {
	if e.IsDuplicate {
		c.countOccasion(ruleNoDoubleEffect, "repeats that nodes dropped")
	}
}
