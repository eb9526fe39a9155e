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
	// maxOverloadShare of the slots and the queue bounds the threshold, so that a small node can reach it.
	maxOverloadShare = 0.7
)

// workArrival is work that was sent to a node while it warmed up.
type workArrival struct {
	at   time.Duration
	work float64 // seconds
}

// warmShare is the share of its capacity that a node has at a time since its start.
func warmShare(from float64, over, since time.Duration) float64 {
	if over <= 0 || since >= over {
		return 1
	}
	return from + (1-from)*float64(since)/float64(over)
}

// recordColdWork counts work sent to a warming node, even where the node rejects it, and lets the node collapse where it
// is too much.
func (n *Node) recordColdWork(run *incarnation, work float64) {
	now := n.recorder.Now()
	if !run.isCold || n.ColdOverloadFactor <= 0 || now >= run.startedSince+n.WarmUpDuration {
		return
	}
	share := warmShare(n.ColdCapacityShare, n.WarmUpDuration, now-run.startedSince)
	capacity := share * float64(n.Cores) * n.Speed * n.ColdOverloadWindow.Seconds()
	sent := run.addRecentWork(workArrival{now, work}, n.ColdOverloadWindow)
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

// addRecentWork adds work and returns the sum of what arrived within the window.
func (r *incarnation) addRecentWork(arrived workArrival, window time.Duration) (sum float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentWork = append(r.recentWork, arrived)
	for len(r.recentWork) > 0 && r.recentWork[0].at <= arrived.at-window {
		r.recentWork = r.recentWork[1:]
	}
	for _, w := range r.recentWork {
		sum += w.work
	}
	return sum
}

// monitorOverload makes an incarnation slow when it is overloaded and ends that state, once.
func (n *Node) monitorOverload(run *incarnation) {
	limit := float64(n.Cores) + n.Overload.Threshold*math.Sqrt(float64(n.Cores))
	limit = min(limit, maxOverloadShare*float64(n.Slots+n.QueueLimit))
	mean, idleFor := 0.0, time.Duration(0)
	var overloadedAt time.Time
	for hasRecovered := false; sleep(overloadCheckInterval, run.done); {
		switch {
		case run.isOverloaded.Load():
			if float64(run.busyCores.Load()) < n.Overload.IdleBelow*float64(n.Cores) {
				idleFor += overloadCheckInterval
			} else {
				idleFor = 0
			}
			if idleFor >= n.Overload.RecoverAfter || time.Since(overloadedAt) >= n.Overload.MaxDuration {
				run.isOverloaded.Store(false)
				hasRecovered = true
			}
		case !hasRecovered:
			mean += (float64(run.runnable.Load()) - mean) * float64(overloadCheckInterval) / float64(n.Overload.AveragedOver)
			if mean > limit {
				overloadedAt = time.Now()
				run.isOverloaded.Store(true)
				n.wasOverloaded.Store(true)
			}
		}
	}
}
