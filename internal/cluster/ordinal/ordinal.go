// Package ordinal derives from the view of a cluster how many daemons it has, and the ordinal of this daemon among them.
// The daemons use both to divide limits among themselves, such as the initial concurrency limit of a pool. Both numbers
// stay stable while a member fails and returns within a short time.
//
// The package is pure: its input is views and instants. It has no goroutine, and one caller owns a Tracker.
//
// The result is an estimate, as the view is: while daemons join, leave, fail or are cut off, the parts of a limit that all
// daemons take may temporarily add up to more than the limit.
package ordinal

import (
	"slices"
	"time"

	"tuliprock/internal/cluster/swim"
)

// FailureHold is how long a member must be failed before it is no longer counted, so that the other daemons divide its
// part of the limits among themselves. It is longer than a restart takes, and longer than a member stays failed because
// of a network link that is interrupted every two seconds.
const FailureHold = 10 * time.Second

// notMissing is the value in Tracker.missingSince for a member that is present.
const notMissing = time.Duration(-1)

// Tracker counts the members of a cluster and determines the ordinal of this daemon among them. The zero value is ready to
// use and counts no member. It is not safe for concurrent use.
type Tracker struct {
	missingSince map[string]time.Duration // by name of each counted member: instant since which it is failed or unknown, or notMissing
}

// Update processes a view at the instant now, which must never decrease. count is the number of counted members, and ordinal
// is the position of the view's own daemon among them, from 0 and in the order of names. nextUpdate is the instant at which
// Update must be called again even if the view does not change; 0 means that there is none.
//
// A member is counted from the first view in which it is present until it has left, or has been failed or unknown for
// FailureHold. A daemon that is cut off keeps counting failed members, since it cannot tell which of them have failed.
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

// recordView records which members of a view are present, and drops those that have left. For each other counted member, it
// records since when the member is missing.
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

// markMissing records that a counted member is missing, if it was present until now.
func (t *Tracker) markMissing(now time.Duration, name string) {
	if since, isCounted := t.missingSince[name]; isCounted && since == notMissing {
		t.missingSince[name] = now
	}
}
