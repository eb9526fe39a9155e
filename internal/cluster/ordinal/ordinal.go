// Package ordinal derives from a daemon's view of its cluster (swim.View) how many daemons the cluster has, and the ordinal of
// this daemon among them. The daemons use both numbers to divide limits among themselves, such as the initial concurrency limit
// of a pool. Both numbers stay stable while a member fails and returns within a short time.
//
// The package is pure: its input is views and instants. It has no goroutine, and one caller owns a Tracker.
//
// Both numbers are estimates, because a view is one: while daemons join, leave, fail or are cut off from the others, the sum of
// the parts of a limit that the daemons take may temporarily exceed the limit.
package ordinal

import (
	"slices"
	"time"

	"tuliprock/internal/cluster/swim"
)

// FailureHold is how long a member must be failed before it is no longer counted. From then on the other daemons divide its
// part of the limits among themselves. FailureHold is longer than a restart takes. It is also longer than a member stays failed
// if its network link is interrupted every two seconds.
const FailureHold = 10 * time.Second

// notMissing is the value in Tracker.missingSince for a member that the latest view shows as alive or suspect.
const notMissing = time.Duration(-1)

// Tracker counts the members of a cluster and determines the ordinal of this daemon among them. The zero value is ready to
// use and counts no member. It is not safe for concurrent use.
type Tracker struct {
	missingSince map[string]time.Duration // by name of each counted member: instant since which the view shows it as failed or lacks it, or notMissing
}

// Update processes a view at the instant now, which must never decrease. count is the number of counted members, and ordinal
// is the position of the view's own daemon among them, from 0 and in the order of names. nextUpdate is the instant at which
// Update must be called again even if the view does not change; 0 means that there is none.
//
// A member is counted from the first view in which it is alive or suspect. It is counted until it has left, or until the views
// have shown it as failed, or have lacked it, for FailureHold. A daemon that is cut off from the cluster (swim.CutOff) keeps
// counting failed members, since it cannot tell which of them have really failed.
func (t *Tracker) Update(now time.Duration, v *swim.View) (count, ordinal int, nextUpdate time.Duration) {
	if t.missingSince == nil {
		t.missingSince = map[string]time.Duration{}
	}
	t.recordView(now, v)
	names := make([]string, 0, len(t.missingSince))
	for name, since := range t.missingSince {
		switch {
		case since == notMissing || v.Connectivity == swim.CutOff:
		case now-since >= FailureHold:
			delete(t.missingSince, name)
			continue
		case nextUpdate == 0 || since+FailureHold < nextUpdate:
			nextUpdate = since + FailureHold
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return len(names), max(slices.Index(names, v.Self), 0), nextUpdate
}

// recordView records which members are alive or suspect in a view, and drops those that have left. For each other counted
// member, which is failed or not in the view, it records since when that is so.
func (t *Tracker) recordView(now time.Duration, v *swim.View) {
	isKnown := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		isKnown[m.Name] = true
		switch {
		case m.State.IsPresent() || m.Name == v.Self:
			t.missingSince[m.Name] = notMissing
		case m.State == swim.Left:
			delete(t.missingSince, m.Name)
		default:
			t.markMissing(now, m.Name)
		}
	}
	for name := range t.missingSince {
		if !isKnown[name] {
			t.markMissing(now, name)
		}
	}
}

// markMissing records now as the instant since which a counted member is failed or not in the view, unless one is recorded.
func (t *Tracker) markMissing(now time.Duration, name string) {
	if since, isCounted := t.missingSince[name]; isCounted && since == notMissing {
		t.missingSince[name] = now
	}
}
