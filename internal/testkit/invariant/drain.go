package invariant

import "time"

// notification is what a process was notified of a node that drains or is gone.
type notification struct {
	at       time.Duration
	state    State
	isTested bool // the process has sent an attempt, to any node, since the grace ended
}

// applyNotification records a notification. A change from draining to gone does not start the grace anew.
func (c *checker) applyNotification(e *Event) {
	sidecar := c.sidecar(e.Sidecar)
	if e.State == Ready {
		delete(sidecar.notifications, e.Node)
		sidecar.knownStarts[e.Node] = e.StartedAt
		return
	}
	if sidecar.notifications[e.Node] == nil {
		sidecar.notifications[e.Node] = &notification{at: e.At, state: e.State}
		c.countOccasion(ruleNoDrainedTarget, map[State]string{Draining: "drains told", Gone: "ends told"}[e.State])
	}
}

// checkDrain checks rule 3 on an attempt, which counts from its first byte. A notification puts the rule to the test once
// its process has sent an attempt, to any node, after the grace.
func (c *checker) checkDrain(process *sidecarState, e *Event) {
	limit := c.rules.DrainGrace + c.rules.Tolerance
	for node, n := range process.notifications {
		if e.First <= n.at+limit {
			continue
		}
		if !n.isTested {
			n.isTested = true
			c.countTestedOccasion(ruleNoDrainedTarget, "notices followed by traffic")
		}
		if node == e.Node {
			c.addViolation(ruleNoDrainedTarget, e, "sent %v after the sidecar was told that the node %s",
				(e.First - n.at).Round(time.Millisecond), map[State]string{Draining: "drains", Gone: "is gone"}[n.state])
		}
	}
}
