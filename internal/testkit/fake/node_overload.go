package fake

import (
	"math"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// OverloadSpec describes the slow state that overload brings a node into. The state is entered once in an incarnation at
// most. The tags are the names of printed plans.
type OverloadSpec struct {
	// Threshold is how many requests may run or wait on the node beyond its cores, in multiples of the root of the cores,
	// on average over AveragedOver, until the node turns slow.
	Threshold    float64       `json:"At"`
	AveragedOver time.Duration `json:"Over"`
	Slowdown     float64       `json:"Slower"` // factor by which the node is slower
	RecoverAfter time.Duration `json:"Rest"`   // the state ends once the node was mostly idle for so long,
	IdleBelow    float64       `json:"Below"`  // which is when less than this share of its cores was busy,
	MaxDuration  time.Duration `json:"Most"`   // or after this time
}

// ColdOverloadTolerance is the share by which chance may exceed the work that a warming node bears.
const ColdOverloadTolerance = 0.1

const (
	overloadCheckInterval = 100 * time.Millisecond
	// maxThresholdFraction of the slots and the queue bounds the threshold, so that a small node can reach it.
	maxThresholdFraction = 0.7
)

// coldWork is work that was sent to a node while it warmed up.
type coldWork struct {
	at   time.Duration
	work float64 // seconds
}

// warmCapacityFraction is the share of its capacity that a node has at a time since its start.
func warmCapacityFraction(from float64, over, since time.Duration) float64 {
	if over <= 0 || since >= over {
		return 1
	}
	return from + (1-from)*float64(since)/float64(over)
}

// recordColdWork counts work sent to a warming node, even where the node rejects it, and lets the node collapse where it
// is too much.
func (n *Node) recordColdWork(inc *incarnation, work float64) {
	now := n.recorder.Now()
	if !inc.startedCold || n.ColdOverloadFactor <= 0 || now >= inc.startOffset+n.WarmUpDuration {
		return
	}
	share := warmCapacityFraction(n.ColdCapacityFraction, n.WarmUpDuration, now-inc.startOffset)
	capacity := share * float64(n.Cores) * n.Speed * n.ColdOverloadWindow.Seconds()
	sent := inc.addColdWork(coldWork{now, work}, n.ColdOverloadWindow)
	if sent <= n.ColdOverloadFactor*capacity*(1+ColdOverloadTolerance) {
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

// addColdWork adds work and returns the sum of what arrived within the window.
func (r *incarnation) addColdWork(arrived coldWork, window time.Duration) (sum float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentColdWork = append(r.recentColdWork, arrived)
	for len(r.recentColdWork) > 0 && r.recentColdWork[0].at <= arrived.at-window {
		r.recentColdWork = r.recentColdWork[1:]
	}
	for _, w := range r.recentColdWork {
		sum += w.work
	}
	return sum
}

// monitorOverload makes an incarnation slow when it is overloaded and ends that state, once.
func (n *Node) monitorOverload(inc *incarnation) {
	limit := float64(n.Cores) + n.Overload.Threshold*math.Sqrt(float64(n.Cores))
	limit = min(limit, maxThresholdFraction*float64(n.Slots+n.QueueLimit))
	mean, idleFor := 0.0, time.Duration(0)
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
			mean += (float64(inc.runnable.Load()) - mean) * float64(overloadCheckInterval) / float64(n.Overload.AveragedOver)
			if mean > limit {
				overloadedAt = time.Now()
				inc.isOverloaded.Store(true)
				n.wasOverloaded.Store(true)
			}
		}
	}
}
