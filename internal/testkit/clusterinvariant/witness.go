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
	Detected    Rule = "who is gone is found out in time"
	NoFalse     Rule = "nobody who answers is held for failed"
	LeftIsLeft  Rule = "who left has not failed, and comes back with a new incarnation only"
	NeverBack   Rule = "incarnations never go back"
	AgreeInTime Rule = "views agree in time after the last fault"
)

// Rules are all of them.
var Rules = []Rule{Detected, NoFalse, LeftIsLeft, NeverBack, AgreeInTime}

// Kind is what a Event tells.
type Kind int

// The kinds. All but Saw are facts: what was done.
const (
	Up      Kind = iota // Of was started, and answers
	Down                // Of was ended without a word
	Leaving             // Of was told to end, and does so in its own time
	Leaves              // and has ended, with a goodbye
	Trouble             // links or processes are disturbed from now on
	Calm                // all that was disturbed is well again, but who is down
	Saw                 // By holds Of in State, and did not before
)

// Event is a line of a fleet's timeline.
type Event struct {
	At          time.Duration
	Kind        Kind
	Of, By      string
	State       string // alive, suspect, failed or left
	Incarnation uint64
}

// Limits are the times that the rules name.
type Limits struct {
	Detect time.Duration // until all others know of one that is gone, where nothing else is wrong
	Settle time.Duration // after the last fault, until all views are right
	End    time.Duration // of the timeline
}

// Breach is a rule that was broken.
type Breach struct {
	Rule Rule
	At   time.Duration
	Text string
}

// Verdict is what Judge finds. A rule that is not among Tested was not put to the test.
type Verdict struct {
	Breaches []Breach
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

// Judge holds a timeline, in order of time, against the rules.
func Judge(events []Event, l Limits) Verdict {
	j := &judge{l: l, is: map[string]Kind{}, since: map[string]time.Duration{}, holds: map[string]map[string]sight{}, waiting: map[[2]string]time.Duration{}}
	j.v.Tested = map[Rule]int{}
	for _, e := range events {
		j.late(e.At)
		if e.Kind == Saw {
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
	j.v.Breaches = append(j.v.Breaches, Breach{r, at, fmt.Sprintf(format, args...)})
}

// calm tells whether nothing has been wrong for as long as it takes to settle.
func (j *judge) calm(now time.Duration) bool {
	return !j.trouble && now-j.changed >= j.l.Settle
}

func (j *judge) fact(e Event) {
	quiet := !j.trouble
	j.changed, j.right = e.At, false
	switch e.Kind {
	case Trouble, Calm:
		j.trouble = e.Kind == Trouble
		clear(j.waiting) // what is found out meanwhile is chance's; afterwards views must agree
		return
	case Up:
		delete(j.holds, e.Of) // a new life has seen nothing
	}
	j.is[e.Of], j.since[e.Of] = e.Kind, e.At
	for pair := range j.waiting {
		if pair[0] == e.Of || pair[1] == e.Of {
			delete(j.waiting, pair)
		}
	}
	if e.Kind == Up || e.Kind == Leaving || !quiet {
		return
	}
	for by, holds := range j.holds {
		if j.is[by] == Up && here(holds[e.Of].state) {
			j.waiting[[2]string{by, e.Of}] = e.At + j.l.Detect
		}
	}
}

// late finds what was not found out in time.
func (j *judge) late(now time.Duration) {
	for pair, until := range j.waiting {
		if now > until {
			delete(j.waiting, pair)
			j.breach(Detected, until, "%s still holds %s for here, %v after it was gone", pair[0], pair[1], j.l.Detect)
		}
	}
}

func (j *judge) saw(e Event) {
	if j.is[e.By] != Up {
		return // its last words
	}
	holds := j.holds[e.By]
	if holds == nil {
		holds = map[string]sight{}
		j.holds[e.By] = holds
	}
	was, known := holds[e.Of]
	holds[e.Of] = sight{e.State, e.Incarnation}
	if known {
		j.v.Tested[NeverBack]++
		if e.Incarnation < was.incarnation {
			j.breach(NeverBack, e.At, "%s held incarnation %d of %s, and now %d", e.By, was.incarnation, e.Of, e.Incarnation)
		}
	}
	if known && was.state == "left" {
		j.v.Tested[LeftIsLeft]++
		if here(e.State) && e.Incarnation <= was.incarnation || e.State == "failed" && e.Incarnation <= was.incarnation {
			j.breach(LeftIsLeft, e.At, "%s holds %s, which left, for %s, in incarnation %d as before", e.By, e.Of, e.State, e.Incarnation)
		}
	}
	pair := [2]string{e.By, e.Of}
	if _, waits := j.waiting[pair]; waits && !here(e.State) {
		delete(j.waiting, pair)
		j.v.Tested[Detected]++
		j.v.Detect = max(j.v.Detect, e.At-j.since[e.Of])
	}
	defer j.settling(e.At)
	if is := j.is[e.Of]; (is == Leaving || is == Leaves) && e.State == "failed" && !j.trouble {
		j.breach(LeftIsLeft, e.At, "%s holds %s, which left, for failed", e.By, e.Of)
	}
	if e.State == "failed" && j.is[e.Of] == Up && j.calm(e.At) {
		j.breach(NoFalse, e.At, "%s holds %s for failed, which answers, %v after the last fault", e.By, e.Of, e.At-j.changed)
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
			if is == Up && (j.is[of] == Up && !here(held) || (j.is[of] == Down || j.is[of] == Leaves) && here(held)) {
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
		if j.is[by] != Up {
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
	j.v.Tested[AgreeInTime]++
	switch is := j.is[of]; {
	case is == Leaving:
		if state == "failed" {
			j.breach(LeftIsLeft, now, "%s holds %s, which is about to leave, for failed", by, of)
		}
	case is == Up:
		j.v.Tested[NoFalse]++
		if state == "failed" {
			j.breach(NoFalse, now, "%s still holds %s for failed, which answers, %v after the last fault", by, of, now-j.changed)
		} else if !here(state) { // a suspicion is no verdict: it ends by itself, one way or the other
			j.breach(AgreeInTime, now, "%s holds %s for %s, which answers, %v after the last fault", by, of, state, now-j.changed)
		}
	case here(state) && now-j.since[of] >= j.l.Detect:
		j.breach(AgreeInTime, now, "%s holds %s for %s, which is gone, %v after the last fault", by, of, state, now-j.changed)
	}
}
