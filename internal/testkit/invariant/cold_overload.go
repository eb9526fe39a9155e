package invariant

import (
	"slices"
	"time"
)

// startRounding is the most by which a start time from discovery, which is in whole milliseconds, may precede the true one.
const startRounding = 2 * time.Millisecond

// minInformedFraction is the fraction of the work on an overloaded warming node that must come from sidecars that were
// notified of its start for the overload to be a violation. Other sidecars cannot know that the node is warming up.
const minInformedFraction = 2.0 / 3

// nodeState holds what is known about a node since its latest start.
type nodeState struct {
	started           Event // the NodeStarted event
	isUp              bool
	isCold            bool          // the node is warming up
	recentAttempts    []coldAttempt // attempts within the latest ColdOverloadWindow while the node is warming up
	overloadFound     bool          // an overload since the start was found, so no further one is reported
	receivedWhileCold bool          // an attempt has reached the node while it was warming up
}

// coldAttempt is an attempt at a node that is warming up.
type coldAttempt struct {
	at         time.Duration // arrival of the last byte, since the start of the day
	work       float64       // seconds on a core of speed 1
	isInformed bool          // the sidecar had been notified of the node's start
}

// coldBudget returns the work, in seconds, that may be sent to a warming node within the window that ends at the given
// instant: the work that the node could do during the window at its present capacity, times ColdOverloadFactor.
func coldBudget(rules Rules, started Event, at time.Duration) float64 {
	warm := min(float64(at-started.At)/float64(max(started.WarmUpDuration, 1)), 1)
	fraction := started.ColdCapacityFraction + (1-started.ColdCapacityFraction)*warm
	return rules.ColdOverloadFactor * fraction * started.Capacity * rules.ColdOverloadWindow.Seconds()
}

// checkColdOverload checks that the work sent to a warming node within the window that ends with an attempt is within the
// budget. Attempts that the node rejects count too.
func (c *checker) checkColdOverload(process *sidecarState, e *Event) {
	node := c.node(e.Node)
	if !node.isCold || !node.isUp {
		return
	}
	if e.At >= node.started.At+node.started.WarmUpDuration {
		node.isCold, node.recentAttempts = false, nil
		return
	}
	if !node.receivedWhileCold {
		node.receivedWhileCold = true
		c.countTestedOccasion(ruleNoColdOverload, "cold starts with work sent")
	}
	isInformed := process.knownStarts[e.Node] >= node.started.At-startRounding
	node.recentAttempts = slices.DeleteFunc(append(node.recentAttempts, coldAttempt{e.At, e.Work, isInformed}),
		func(s coldAttempt) bool { return s.at <= e.At-c.rules.ColdOverloadWindow })
	sum, _ := node.recentWork()
	limit := coldBudget(c.rules, node.started, e.At) * (1 + c.rules.ColdOverloadTolerance)
	if sum <= limit || node.overloadFound {
		return
	}
	node.overloadFound = true
	if c.causedBySidecars(node) {
		c.addViolation(ruleNoColdOverload, e, "sent %.2f s of work within %v, %.2f s is the most for one that started %v ago",
			sum, c.rules.ColdOverloadWindow, limit, (e.At - node.started.At).Round(time.Millisecond))
	}
}

// recentWork returns the work of the recent attempts in seconds, and how much of it came from sidecars that were notified
// of the node's start.
func (n *nodeState) recentWork() (sum, informed float64) {
	for _, s := range n.recentAttempts {
		sum += s.work
		if s.isInformed {
			informed += s.work
		}
	}
	return sum, informed
}

// causedBySidecars reports whether enough of the work on an overloaded warming node came from sidecars that were notified
// of its start. If not, it counts the occasion.
func (c *checker) causedBySidecars(node *nodeState) bool {
	if sum, informed := node.recentWork(); informed < minInformedFraction*sum {
		c.countOccasion(ruleNoColdOverload, "pushed by sidecars not yet told of the start")
		return false
	}
	return true
}

// applyNodeCollapsed reports a violation for a warming node that recorded its own collapse, unless an overload of it was
// found already.
func (c *checker) applyNodeCollapsed(e *Event) {
	c.report.Collapses++
	node := c.node(e.Node)
	if !node.overloadFound {
		node.overloadFound = true
		if c.causedBySidecars(node) {
			c.addViolation(ruleNoColdOverload, e, "pushed over")
		}
	}
}
