package invariant

import (
	"slices"
	"time"
)

// startRounding is how far a start time as discovery states it, in whole milliseconds, may lie before the true one.
const startRounding = 2 * time.Millisecond

// minInformedFraction is the part of the work on a warming node that must come from sidecars notified of its start for the
// overload to be their doing.
const minInformedFraction = 2.0 / 3

// nodeState is what is known of one node since its latest start.
type nodeState struct {
	started           Event
	isUp              bool
	isCold            bool          // warming up
	recentAttempts    []coldAttempt // attempts within the window, while warming up
	overloadFound     bool          // an overload was found; it is reported once for a start
	receivedWhileCold bool          // an attempt was sent while the node was warming up
}

// coldAttempt is an attempt at a node that is warming up.
type coldAttempt struct {
	at         time.Duration
	work       float64
	isInformed bool // sent by a process that was notified of the node's start
}

// coldBudget is the work that a warming node may be sent within a window: what it can do at that moment, over the window,
// times the multiple that it bears.
func coldBudget(rules Rules, started Event, at time.Duration) float64 {
	warm := min(float64(at-started.At)/float64(max(started.WarmUpDuration, 1)), 1)
	share := started.ColdCapacityShare + (1-started.ColdCapacityShare)*warm
	return rules.ColdOverloadFactor * share * started.Capacity * rules.ColdOverloadWindow.Seconds()
}

// checkColdOverload checks rule 4 on an attempt, as a budget for every window. Attempts that the node rejects count too.
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

// recentWork is the work sent within the window, and the part of it from sidecars notified of the node's start.
func (n *nodeState) recentWork() (sum, informed float64) {
	for _, s := range n.recentAttempts {
		sum += s.work
		if s.isInformed {
			informed += s.work
		}
	}
	return sum, informed
}

// causedBySidecars reports whether too much work on a warming node is the sidecars' doing, and counts the occasion if not.
func (c *checker) causedBySidecars(node *nodeState) bool {
	if sum, informed := node.recentWork(); informed < minInformedFraction*sum {
		c.countOccasion(ruleNoColdOverload, "pushed by sidecars not yet told of the start")
		return false
	}
	return true
}

// applyNodeCollapsed checks rule 4 where a node collapsed by its own account.
func (c *checker) applyNodeCollapsed(e *Event) {
	c.report.Falls++
	node := c.node(e.Node)
	if !node.overloadFound {
		node.overloadFound = true
		if c.causedBySidecars(node) {
			c.addViolation(ruleNoColdOverload, e, "pushed over")
		}
	}
}
