package invariant

import "time"

// checkDoubleEffect checks rule 2 on an attempt after the first.
func (c *checker) checkDoubleEffect(request *requestState, e *Event) {
	if len(request.attempts) == 0 {
		return
	}
	c.countTestedOccasion(ruleNoDoubleEffect, "attempts after the first")
	if n := len(request.attempts) + 1; c.rules.MaxAttempts > 0 && n > c.rules.MaxAttempts {
		c.addViolation(ruleNoDoubleEffect, e, "attempt %d, at most %d are allowed", n, c.rules.MaxAttempts)
	}
	class := c.class(request)
	for _, earlier := range request.attempts {
		if !earlier.mayHaveRun() {
			continue
		}
		sent := &earlier.received
		switch {
		case class.Effect == Unsafe:
			c.addViolation(ruleNoDoubleEffect, e, "unsafe work sent again, though the attempt at %s may have run", sent.Node)
			return
		case class.Effect == IdempotencyKeyed && sent.Cell != e.Cell:
			c.addViolation(ruleNoDoubleEffect, e, "keyed work that may have run at %s (cell %d) sent to cell %d",
				sent.Node, sent.Cell, e.Cell)
			return
		case class.Effect == IdempotencyKeyed && e.First > sent.At+class.Window+c.rules.Tolerance:
			c.addViolation(ruleNoDoubleEffect, e, "keyed work sent again %v after the first send, its window is %v",
				(e.First - sent.At).Round(time.Millisecond), class.Window)
			return
		}
	}
}

// checkSentAfterEnd checks that an attempt does not begin after its request has ended. The departure of a client and an
// attempt may cross each other, which the tolerance allows.
func (c *checker) checkSentAfterEnd(request *requestState, e *Event) {
	if request.hasEnded && e.First > request.endedAt+c.rules.Tolerance {
		c.addViolation(ruleNoDoubleEffect, e, "sent %v after its end", (e.First - request.endedAt).Round(time.Millisecond))
	}
}

// checkOverlaps checks, after the last event, that no two attempts of a request were in flight together.
func (c *checker) checkOverlaps() {
	for _, request := range c.requestOrder {
		for i, attempt := range request.attempts {
			for _, earlier := range request.attempts[:i] {
				if !earlier.hasEnded || earlier.endedAt > attempt.received.At+c.rules.Tolerance {
					e := attempt.received
					e.Sidecar = request.sent.Sidecar
					c.addViolation(ruleNoDoubleEffect, &e, "sent while the attempt at %s was out", earlier.received.Node)
				}
			}
		}
	}
}

// applyEffectStarted counts duplicates that nodes dropped, which show that retries of keyed work took effect once.
func (c *checker) applyEffectStarted(e *Event) {
	if e.Duplicate {
		c.countOccasion(ruleNoDoubleEffect, "repeats that nodes dropped")
	}
}
