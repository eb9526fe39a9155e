package fake

import (
	"math"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// OverloadSpec describes how overload slows a node. A node is overloaded once its load, the mean number of requests that wait for
// a slot, wait for a core or use a core, exceeds Cores + Threshold * sqrt(Cores). The node then works slower, and recovers when
// it has been mostly idle for RecoverAfter, or after MaxDuration at the latest. Each incarnation of a node is overloaded at most
// once. The JSON tags give the names that the fields have in printed plans.
type OverloadSpec struct {
	Threshold    float64       `json:"At"`     // the node is overloaded once more than Cores + Threshold * sqrt(Cores) requests on average wait for a slot or core or use a core
	AveragedOver time.Duration `json:"Over"`   // time constant of the load's exponential moving average
	Slowdown     float64       `json:"Slower"` // factor by which an overloaded node is slower than otherwise
	RecoverAfter time.Duration `json:"Rest"`   // time for which an overloaded node must be mostly idle to recover
	IdleBelow    float64       `json:"Below"`  // fraction of the cores in use below which a node counts as mostly idle
	MaxDuration  time.Duration `json:"Most"`   // time after which an overloaded node recovers in any case
}

// ColdOverloadTolerance is the fraction by which the work sent to a warming node within ColdOverloadWindow may exceed
// ColdOverloadFactor times the work that the node can do in that time, before the node collapses. It allows for requests that
// arrive at random.
const ColdOverloadTolerance = 0.1

const (
	overloadCheckInterval = 100 * time.Millisecond
	// maxThresholdFraction bounds the load above which a node is overloaded, as a fraction of the number of requests that the node
	// can hold in its slots and its queue. Without this bound, a node with few slots and queue places could never be overloaded.
	maxThresholdFraction = 0.7
)

// coldWork is the work of an attempt that a node received while it was warming up.
type coldWork struct {
	at   time.Duration // arrival of the attempt, since the start of the recorder
	work float64       // work of the attempt, in seconds on a core of speed 1
}

// warmCapacityFraction returns the fraction of its full capacity that a node has at the time sinceStart after its start. The
// fraction rises linearly from initialFraction to 1 during the warm-up.
func warmCapacityFraction(initialFraction float64, warmUp, sinceStart time.Duration) float64 {
	if warmUp <= 0 || sinceStart >= warmUp {
		return 1
	}
	return initialFraction + (1-initialFraction)*float64(sinceStart)/float64(warmUp)
}

// recordColdWork adds the work of an attempt, in seconds, to the recent work of a warming node. The node collapses if the work
// that it received within the latest ColdOverloadWindow is over ColdOverloadFactor * (1 + ColdOverloadTolerance) times the work
// that it can do in that time at its present capacity. Attempts that the node rejects count too. recordColdWork does nothing for
// a node that is not warming up.
func (n *Node) recordColdWork(inc *incarnation, work float64) {
	now := n.recorder.Now()
	if !inc.startedCold || n.ColdOverloadFactor <= 0 || now >= inc.startOffset+n.WarmUpDuration {
		return
	}
	capacityFraction := warmCapacityFraction(n.ColdCapacityFraction, n.WarmUpDuration, now-inc.startOffset)
	windowCapacity := capacityFraction * float64(n.Cores) * n.Speed * n.ColdOverloadWindow.Seconds()
	recentWork := inc.addColdWork(coldWork{now, work}, n.ColdOverloadWindow)
	if recentWork <= n.ColdOverloadFactor*windowCapacity*(1+ColdOverloadTolerance) {
		return
	}
	n.mu.Lock()
	isFirst := !n.hasCollapsed
	n.hasCollapsed = true
	n.mu.Unlock()
	if isFirst {
		n.recorder.Add(invariant.Event{Kind: invariant.NodeCollapsed, Node: n.ID})
		go n.Stop()
	}
}

// addColdWork adds the work of an attempt to the recent work and returns the seconds of work that arrived within the window that
// ends with the attempt.
func (inc *incarnation) addColdWork(added coldWork, window time.Duration) (sum float64) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	inc.recentColdWork = append(inc.recentColdWork, added)
	for len(inc.recentColdWork) > 0 && inc.recentColdWork[0].at <= added.at-window {
		inc.recentColdWork = inc.recentColdWork[1:]
	}
	for _, w := range inc.recentColdWork {
		sum += w.work
	}
	return sum
}

// monitorOverload sets isOverloaded of an incarnation when the incarnation becomes overloaded, and clears it when it has
// recovered. Each happens at most once. monitorOverload returns when the incarnation ends.
func (n *Node) monitorOverload(inc *incarnation) {
	loadLimit := float64(n.Cores) + n.Overload.Threshold*math.Sqrt(float64(n.Cores))
	loadLimit = min(loadLimit, maxThresholdFraction*float64(n.Slots+n.QueueLimit))
	load, idleFor := 0.0, time.Duration(0)
	var overloadedAt time.Time
	for hasRecovered := false; sleep(overloadCheckInterval, inc.done); {
		switch {
		case inc.isOverloaded.Load():
			if float64(inc.busyCores.Load()) < n.Overload.IdleBelow*float64(n.Cores) {
				idleFor += overloadCheckInterval
			} else {
				idleFor = 0
			}
			if idleFor >= n.Overload.RecoverAfter || time.Since(overloadedAt) >= n.Overload.MaxDuration {
				inc.isOverloaded.Store(false)
				hasRecovered = true
			}
		case !hasRecovered:
			load += (float64(inc.runnable.Load()) - load) * float64(overloadCheckInterval) / float64(n.Overload.AveragedOver)
			if load > loadLimit {
				overloadedAt = time.Now()
				inc.isOverloaded.Store(true)
				n.wasOverloaded.Store(true)
			}
		}
	}
}
