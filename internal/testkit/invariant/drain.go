package invariant

import "time"

// notification records that a sidecar's process was notified that a node is draining or gone.
type notification struct {
	at       time.Duration // instant of the notification; if it was sent while the process was paused, the end of the pause
	state    State         // state of the node in the first notification, Draining or Gone
	isTested bool          // whether the process has sent an attempt to any node later than DrainGrace after the notification
}

// applyNotification records that a sidecar was notified of a node's state. Rules.DrainGrace begins with the first notification
// that the node is draining or gone; a later notification that a draining node is gone does not extend it.
func (c *checker) applyNotification(e *Event) {
	sidecar := c.sidecar(e.Sidecar)
	if e.State == Ready {
		delete(sidecar.notifications, e.Node)
		sidecar.knownStarts[e.Node] = e.StartedAt
		return
	}
	if sidecar.notifications[e.Node] == nil {
		sidecar.notifications[e.Node] = &notification{at: e.At, state: e.State}
		c.countOccasion(ruleNoDrainingTarget, map[State]string{Draining: "drains told", Gone: "ends told"}[e.State])
	}
}

// checkDrain checks that the first byte of an attempt did not reach its node later than Rules.DrainGrace after the process was
// notified that the node is draining or gone. A notification counts as a test of the rule once the process has sent an attempt
// to any node after DrainGrace: a process that sends nothing cannot break the rule.
func (c *checker) checkDrain(process *sidecarState, e *Event) {
	limit := c.rules.DrainGrace + c.rules.Tolerance
	for node, n := range process.notifications {
		if e.FirstByteAt <= n.at+limit {
			continue
		}
		if !n.isTested {
			n.isTested = true
			c.countOccasionAsTest(ruleNoDrainingTarget, "notices followed by traffic")
		}
		if node == e.Node {
			c.addViolation(ruleNoDrainingTarget, e, "sent %v after the sidecar was told that the node %s",
				(e.FirstByteAt - n.at).Round(time.Millisecond), map[State]string{Draining: "drains", Gone: "is gone"}[n.state])
		}
	}
}
