package invariant

import (
	"slices"
	"time"
)

// startRounding is how far a start time as discovery states it, in whole milliseconds, may lie before the true one.
const startRounding = 2 * time.Millisecond

// minInformedShare is the part of the work on a warming node that must come from sidecars notified of its start for the
// overload to be their doing.
const minInformedShare = 2.0 / 3

// nodeState is what is known of one node since its latest start.
type nodeState struct {
	started   Event
	isUp      bool
	isCold    bool         // warming up
	recent    []sentToCold // attempts within the window, while warming up
	isFlagged bool         // an overload was found; it is reported once for a start
	isTested  bool         // an attempt was sent while the node was warming up
}

// sentToCold is an attempt at a node that is warming up.
type sentToCold struct {
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
		node.isCold, node.recent = false, nil
		return
	}
	if !node.isTested {
		node.isTested = true
		c.countTest(ruleNoColdOverload, "cold starts with work sent")
	}
	isInformed := process.knownStarts[e.Node] >= node.started.At-startRounding
	node.recent = slices.DeleteFunc(append(node.recent, sentToCold{e.At, e.Work, isInformed}),
		func(s sentToCold) bool { return s.at <= e.At-c.rules.ColdOverloadWindow })
	sum, _ := node.recentWork()
	limit := coldBudget(c.rules, node.started, e.At) * (1 + c.rules.ColdOverloadTolerance)
	if sum <= limit || node.isFlagged {
		return
	}
	node.isFlagged = true
	if c.blamesSidecars(node) {
		c.violate(ruleNoColdOverload, e, "sent %.2f s of work within %v, %.2f s is the most for one that started %v ago",
			sum, c.rules.ColdOverloadWindow, limit, (e.At - node.started.At).Round(time.Millisecond))
	}
}

// recentWork is the work sent within the window, and the part of it from sidecars notified of the node's start.
func (n *nodeState) recentWork() (sum, informed float64) {
	for _, s := range n.recent {
		sum += s.work
		if s.isInformed {
			informed += s.work
		}
	}
	return sum, informed
}

// blamesSidecars reports whether too much work on a warming node is the sidecars' doing, and counts the occasion if not.
func (c *checker) blamesSidecars(node *nodeState) bool {
	if sum, informed := node.recentWork(); informed < minInformedShare*sum {
		c.countOccasion(ruleNoColdOverload, "pushed by sidecars not yet told of the start")
		return false
	}
	return true
}

// applyFell checks rule 4 where a node collapsed by its own account.
func (c *checker) applyFell(e *Event) {
	c.report.Falls++
	node := c.node(e.Node)
	if !node.isFlagged {
		node.isFlagged = true
		if c.blamesSidecars(node) {
			c.violate(ruleNoColdOverload, e, "pushed over")
		}
	}
}
