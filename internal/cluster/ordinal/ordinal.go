// Package ordinal gives a daemon its ordinal among the daemons of its cluster and their count, by which they divide a whole
// among themselves, from a view that may flap.
//
// The package is pure: views and instants come in. A Tracker has one owner, and there is no goroutine.
//
// The result is an opinion, as the view is: while daemons come, go or are cut off, the parts that they take of a whole may
// sum to more than it for a while.
package ordinal

import (
	"slices"
	"time"

	"tuliprock/internal/cluster/swim"
)

// FailureHold is how long a member must be failed before the others divide its part among themselves. It is longer than
// a restart takes, and than a link that comes and goes every two seconds leaves the member failed.
const FailureHold = 10 * time.Second

// notMissing is the value in Tracker.missingSince of a member that is present.
const notMissing = time.Duration(-1)

// Tracker determines the ordinal and the count. The zero value counts nobody yet. It is not safe for concurrent use.
type Tracker struct {
	missingSince map[string]time.Duration // of each member that counts: instant since which it is failed, or notMissing
}

// Update takes in a view at the instant now, which never goes back. It returns how many members count, the ordinal (from
// 0, by name) of the view's owner among them, and the instant at which Update is due again though no other view has come;
// 0: it is not.
//
// A member counts from the view in which it is first present until it has left, or has been failed or unknown for
// FailureHold. A daemon that is cut off drops nobody that has failed: it cannot tell who has.
func (t *Tracker) Update(now time.Duration, v *swim.View) (count, ordinal int, nextUpdate time.Duration) {
	if t.missingSince == nil {
		t.missingSince = map[string]time.Duration{}
	}
	t.takeView(now, v)
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

// takeView notes which members are present, which have left, and since when the others are missing.
func (t *Tracker) takeView(now time.Duration, v *swim.View) {
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

// markMissing notes that a member that counts is missing, if it was present so far.
func (t *Tracker) markMissing(now time.Duration, name string) {
	if since, counts := t.missingSince[name]; counts && since == notMissing {
		t.missingSince[name] = now
	}
}
