// Package ordinal says among how many a daemon shares what is divided, and at which place it stands, by a view that may flap.
// It is pure: views and instants come in.
//
// What it gives is an opinion, as the view is: while daemons come, go or are cut off, the parts that they take of a whole
// may for a while sum to more than it.
package ordinal

import (
	"slices"
	"time"

	"tuliprock/internal/cluster/swim"
)

// FailureHold is how long a member must be failed before the others share its part: longer than a restart takes, and than a link
// that comes and goes every two seconds leaves it missing.
const FailureHold = 10 * time.Second

// Tracker counts members. The zero value has counted none.
type Tracker struct {
	missingSince map[string]time.Duration // all that count: instant since which each is failed; present: it is here
}

const notMissing = time.Duration(-1)

// Update takes up a view, and gives how many count, the place of the view's owner among them, and the instant at which Take
// is wanted again though no other view has come; 0: none. A member counts at once, and as long as it is not known to
// have left or was failed for Hold. A daemon that is cut off takes nobody's part: it can't tell who has failed.
func (s *Tracker) Update(now time.Duration, v *swim.View) (daemons, index int, again time.Duration) {
	if s.missingSince == nil {
		s.missingSince = map[string]time.Duration{}
	}
	known := make(map[string]bool, len(v.Members))
	for _, m := range v.Members {
		known[m.Name] = true
		switch {
		case m.State.IsPresent() || m.Name == v.Self:
			s.missingSince[m.Name] = notMissing
		case m.State == swim.Left:
			delete(s.missingSince, m.Name)
		default:
			s.markMissing(now, m.Name)
		}
	}
	names := make([]string, 0, len(s.missingSince))
	for name, since := range s.missingSince {
		if !known[name] {
			s.markMissing(now, name)
			since = s.missingSince[name]
		}
		switch {
		case since == notMissing || v.Connectivity == swim.CutOff:
		case now-since >= FailureHold:
			delete(s.missingSince, name)
			continue
		case again == 0 || since+FailureHold < again:
			again = since + FailureHold
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return len(names), max(slices.Index(names, v.Self), 0), again
}

// markMissing notes since when a member that counts is failed.
func (s *Tracker) markMissing(now time.Duration, name string) {
	if since, counts := s.missingSince[name]; counts && since == notMissing {
		s.missingSince[name] = now
	}
}
