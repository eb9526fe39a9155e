// Package clusterinvariant holds what daemons of a fleet say of one another against what was done to them. It is pure.
package clusterinvariant

import (
	"fmt"
	"slices"
	"time"
)

const unknown = "unknown" // no State of an Event

// Rule is one of the rules of a fleet.
type Rule string

// The rules.
const (
	FailureDetected       Rule = "who is gone is found out in time"
	NoFalsePositive       Rule = "nobody who answers is held for failed"
	LeftIsNotFailed       Rule = "who left has not failed, and comes back with a new incarnation only"
	IncarnationsMonotonic Rule = "incarnations never go back"
	ViewsConverge         Rule = "views agree in time after the last fault"
)

// Rules are all of them.
var Rules = []Rule{FailureDetected, NoFalsePositive, LeftIsNotFailed, IncarnationsMonotonic, ViewsConverge}

// Kind is what a Event tells.
type Kind int

// The kinds. All but Saw are facts: what was done.
const (
	Started       Kind = iota // Of was started, and answers
	Killed                    // Of was ended without a word
	ShutdownBegan             // Of was told to end, and does so in its own time
	Left                      // and has ended, with a goodbye
	FaultBegan                // links or processes are disturbed from now on
	FaultsEnded               // all that was disturbed is well again, but who is down
	StateObserved             // By holds Of in State, and did not before
)

// Event is a line of a fleet's timeline.
type Event struct {
	At                time.Duration
	Kind              Kind
	Subject, Observer string
	State             string // alive, suspect, failed or left
	Incarnation       uint64
}

// Limits are the times that the rules name.
type Limits struct {
	DetectWithin time.Duration // until all others know of one that is gone, where nothing else is wrong
	SettleWithin time.Duration // after the last fault, until all views are right
	End          time.Duration // of the timeline
}

// Violation is a rule that was broken.
type Violation struct {
	Rule Rule
	At   time.Duration
	Text string
}

// Verdict is what Judge finds. A rule that is not among Tested was not put to the test.
type Verdict struct {
	Breaches []Violation
	Tested   map[Rule]int  // how often
	Detect   time.Duration // the longest that one that was gone was not found out by all, where nothing else was wrong
	Settle   time.Duration // the longest after a fault until all views were right
}

type sight struct {
	state       string
	incarnation uint64
}

func here(state string) bool { return state == "alive" || state == "suspect" }

// judge goes through a timeline.
type judge struct {
	l       Limits
	v       Verdict
	is      map[string]Kind // of each daemon: Up, Down or Leaves
	since   map[string]time.Duration
	holds   map[string]map[string]sight // by whom, of whom
	waiting map[[2]string]time.Duration // who is to find out about whom, by when
	trouble bool
	changed time.Duration // instant of the last fact
	right   bool          // all views have been right since
}

// CheckMembership holds a timeline, in order of time, against the rules.
func CheckMembership(events []Event, l Limits) Verdict {
	j := &judge{l: l, is: map[string]Kind{}, since: map[string]time.Duration{}, holds: map[string]map[string]sight{}, waiting: map[[2]string]time.Duration{}}
	j.v.Tested = map[Rule]int{}
	for _, e := range events {
		j.late(e.At)
		if e.Kind == StateObserved {
			j.saw(e)
			continue
		}
		j.settled(e.At)
		j.fact(e)
	}
	j.late(l.End)
	j.settled(l.End)
	return j.v
}

func (j *judge) breach(r Rule, at time.Duration, format string, args ...any) {
	j.v.Breaches = append(j.v.Breaches, Violation{r, at, fmt.Sprintf(format, args...)})
}

// calm tells whether nothing has been wrong for as long as it takes to settle.
func (j *judge) calm(now time.Duration) bool {
	return !j.trouble && now-j.changed >= j.l.SettleWithin
}

func (j *judge) fact(e Event) {
	quiet := !j.trouble
	j.changed, j.right = e.At, false
	switch e.Kind {
	case FaultBegan, FaultsEnded:
		j.trouble = e.Kind == FaultBegan
		clear(j.waiting) // what is found out meanwhile is chance's; afterwards views must agree
		return
	case Started:
		delete(j.holds, e.Subject) // a new life has seen nothing
	}
	j.is[e.Subject], j.since[e.Subject] = e.Kind, e.At
	for pair := range j.waiting {
		if pair[0] == e.Subject || pair[1] == e.Subject {
			delete(j.waiting, pair)
		}
	}
	if e.Kind == Started || e.Kind == ShutdownBegan || !quiet {
		return
	}
	for by, holds := range j.holds {
		if j.is[by] == Started && here(holds[e.Subject].state) {
			j.waiting[[2]string{by, e.Subject}] = e.At + j.l.DetectWithin
		}
	}
}

// late finds what was not found out in time.
func (j *judge) late(now time.Duration) {
	for pair, until := range j.waiting {
		if now > until {
			delete(j.waiting, pair)
			j.breach(FailureDetected, until, "%s still holds %s for here, %v after it was gone", pair[0], pair[1], j.l.DetectWithin)
		}
	}
}

func (j *judge) saw(e Event) {
	if j.is[e.Observer] != Started {
		return // its last words
	}
	holds := j.holds[e.Observer]
	if holds == nil {
		holds = map[string]sight{}
		j.holds[e.Observer] = holds
	}
	was, known := holds[e.Subject]
	holds[e.Subject] = sight{e.State, e.Incarnation}
	if known {
		j.v.Tested[IncarnationsMonotonic]++
		if e.Incarnation < was.incarnation {
			j.breach(IncarnationsMonotonic, e.At, "%s held incarnation %d of %s, and now %d", e.Observer, was.incarnation, e.Subject, e.Incarnation)
		}
	}
	if known && was.state == "left" {
		j.v.Tested[LeftIsNotFailed]++
		if here(e.State) && e.Incarnation <= was.incarnation || e.State == "failed" && e.Incarnation <= was.incarnation {
			j.breach(LeftIsNotFailed, e.At, "%s holds %s, which left, for %s, in incarnation %d as before", e.Observer, e.Subject, e.State, e.Incarnation)
		}
	}
	pair := [2]string{e.Observer, e.Subject}
	if _, waits := j.waiting[pair]; waits && !here(e.State) {
		delete(j.waiting, pair)
		j.v.Tested[FailureDetected]++
		j.v.Detect = max(j.v.Detect, e.At-j.since[e.Subject])
	}
	defer j.settling(e.At)
	if is := j.is[e.Subject]; (is == ShutdownBegan || is == Left) && e.State == "failed" && !j.trouble {
		j.breach(LeftIsNotFailed, e.At, "%s holds %s, which left, for failed", e.Observer, e.Subject)
	}
	if e.State == "failed" && j.is[e.Subject] == Started && j.calm(e.At) {
		j.breach(NoFalsePositive, e.At, "%s holds %s for failed, which answers, %v after the last fault", e.Observer, e.Subject, e.At-j.changed)
	}
}

// settling notes how long it took until all views were right.
func (j *judge) settling(now time.Duration) {
	if j.right || j.trouble {
		return
	}
	for by, is := range j.is {
		for of := range j.is {
			held := j.holds[by][of].state
			if is == Started && (j.is[of] == Started && !here(held) || (j.is[of] == Killed || j.is[of] == Left) && here(held)) {
				return
			}
		}
	}
	j.right = true
	j.v.Settle = max(j.v.Settle, now-j.changed)
}

// settled holds all views against what is so, where they have had the time.
func (j *judge) settled(now time.Duration) {
	if !j.calm(now) {
		return
	}
	names := make([]string, 0, len(j.is))
	for name := range j.is {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, by := range names {
		if j.is[by] != Started {
			continue
		}
		for _, of := range names {
			held, known := j.holds[by][of]
			if !known {
				held.state = unknown
			}
			j.agrees(now, by, of, held.state)
		}
	}
}

func (j *judge) agrees(now time.Duration, by, of, state string) {
	j.v.Tested[ViewsConverge]++
	switch is := j.is[of]; {
	case is == ShutdownBegan:
		if state == "failed" {
			j.breach(LeftIsNotFailed, now, "%s holds %s, which is about to leave, for failed", by, of)
		}
	case is == Started:
		j.v.Tested[NoFalsePositive]++
		if state == "failed" {
			j.breach(NoFalsePositive, now, "%s still holds %s for failed, which answers, %v after the last fault", by, of, now-j.changed)
		} else if !here(state) { // a suspicion is no verdict: it ends by itself, one way or the other
			j.breach(ViewsConverge, now, "%s holds %s for %s, which answers, %v after the last fault", by, of, state, now-j.changed)
		}
	case here(state) && now-j.since[of] >= j.l.DetectWithin:
		j.breach(ViewsConverge, now, "%s holds %s for %s, which is gone, %v after the last fault", by, of, state, now-j.changed)
	}
}
