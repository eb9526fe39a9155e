package invariant

import (
	"slices"
	"time"
)

// startRounding is the largest amount by which a start time from discovery, which is in whole milliseconds, may precede the
// true start time.
const startRounding = 2 * time.Millisecond

// minInformedFraction is the fraction of the work on an overloaded warming node that must come from sidecars that were
// notified of its start for the overload to be a violation. Other sidecars cannot know that the node is warming up.
const minInformedFraction = 2.0 / 3

// nodeState holds what the events applied so far say about a node since its latest start.
type nodeState struct {
	startEvent        Event // NodeStarted event of the node's latest start
	isUp              bool
	isCold            bool          // whether the node is warming up
	recentAttempts    []coldAttempt // attempts received within the latest ColdOverloadWindow while the node was warming up
	wasOverloaded     bool          // whether an overload since the latest start was found, so that no further one is reported
	receivedWhileCold bool          // whether the node has received an attempt while it was warming up
}

// coldAttempt is an attempt that a node received while it was warming up.
type coldAttempt struct {
	at         time.Duration // arrival of the attempt's last byte, since the start of the day
	work       float64       // work of the attempt, in seconds on a core of speed 1
	isInformed bool          // whether the sidecar that sent the attempt had been notified of the node's start
}

// coldWorkBudget returns the work, in seconds, that may be sent to a warming node within the window that ends at the instant at:
// the work that the node could do during the window at its present capacity, times ColdOverloadFactor. startEvent is the node's
// NodeStarted event.
func coldWorkBudget(rules Rules, startEvent Event, at time.Duration) float64 {
	warmUpFraction := min(float64(at-startEvent.At)/float64(max(startEvent.WarmUpDuration, 1)), 1)
	capacityFraction := startEvent.ColdCapacityFraction + (1-startEvent.ColdCapacityFraction)*warmUpFraction
	return rules.ColdOverloadFactor * capacityFraction * startEvent.Capacity * rules.ColdOverloadWindow.Seconds()
}

// checkColdOverload checks that the work sent to a warming node is within coldWorkBudget, for the window that ends with the
// attempt e, which process has sent. Attempts that the node rejects count too.
func (c *checker) checkColdOverload(process *sidecarState, e *Event) {
	node := c.node(e.Node)
	if !node.isCold || !node.isUp {
		return
	}
	if e.At >= node.startEvent.At+node.startEvent.WarmUpDuration {
		node.isCold, node.recentAttempts = false, nil
		return
	}
	if !node.receivedWhileCold {
		node.receivedWhileCold = true
		c.countOccasionAsTest(ruleNoColdOverload, "cold starts with work sent")
	}
	isInformed := process.knownStarts[e.Node] >= node.startEvent.At-startRounding
	node.recentAttempts = slices.DeleteFunc(append(node.recentAttempts, coldAttempt{e.At, e.Work, isInformed}),
		func(s coldAttempt) bool { return s.at <= e.At-c.rules.ColdOverloadWindow })
	totalWork, _ := node.recentWork()
	workLimit := coldWorkBudget(c.rules, node.startEvent, e.At) * (1 + c.rules.ColdOverloadTolerance)
	if totalWork <= workLimit || node.wasOverloaded {
		return
	}
	node.wasOverloaded = true
	if c.causedByInformedSidecars(node) {
		c.addViolation(ruleNoColdOverload, e, "sent %.2f s of work within %v, %.2f s is the most for a node that started %v ago",
			totalWork, c.rules.ColdOverloadWindow, workLimit, (e.At - node.startEvent.At).Round(time.Millisecond))
	}
}

// recentWork returns the work, in seconds, of the attempts that a warming node received within the latest ColdOverloadWindow,
// and the part of it that came from sidecars that were notified of the node's start.
func (n *nodeState) recentWork() (totalWork, informedWork float64) {
	for _, s := range n.recentAttempts {
		totalWork += s.work
		if s.isInformed {
			informedWork += s.work
		}
	}
	return totalWork, informedWork
}

// causedByInformedSidecars reports whether at least minInformedFraction of the recent work on an overloaded warming node came from
// sidecars that were notified of the node's start. If not, it counts the overload as an occasion that does not break the rule.
func (c *checker) causedByInformedSidecars(node *nodeState) bool {
	if totalWork, informedWork := node.recentWork(); informedWork < minInformedFraction*totalWork {
		c.countOccasion(ruleNoColdOverload, "pushed by sidecars not yet told of the start")
		return false
	}
	return true
}

// applyNodeCollapsed reports a violation for a warming node that recorded its own collapse, unless an overload of the node was
// found already or was not caused by sidecars that were notified of the node's start.
func (c *checker) applyNodeCollapsed(e *Event) {
	c.report.Collapses++
	node := c.node(e.Node)
	if !node.wasOverloaded {
		node.wasOverloaded = true
		if c.causedByInformedSidecars(node) {
			c.addViolation(ruleNoColdOverload, e, "pushed over")
		}
	}
}
