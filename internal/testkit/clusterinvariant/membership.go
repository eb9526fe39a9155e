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

// MembershipRules are all of them.
var MembershipRules = []Rule{FailureDetected, NoFalsePositive, LeftIsNotFailed, IncarnationsMonotonic, ViewsConverge}

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
	Violations         []Violation
	TestedOccasions    map[Rule]int  // how often
	SlowestDetection   time.Duration // the longest that one that was gone was not found out by all, where nothing else was wrong
	SlowestConvergence time.Duration // the longest after a fault until all views were right
}

type observation struct {
	state       string
	incarnation uint64
}

func isPresent(state string) bool { return state == "alive" || state == "suspect" }

// checker goes through a timeline.
type checker struct {
	limits            Limits
	verdict           Verdict
	status            map[string]Kind // of each daemon: Up, Down or Leaves
	since             map[string]time.Duration
	views             map[string]map[string]observation // by whom, of whom
	pendingDetections map[[2]string]time.Duration       // who is to find out about whom, by when
	faultActive       bool
	lastFactAt        time.Duration // instant of the last fact
	converged         bool          // all views have been right since
}

// CheckMembership holds a timeline, in order of time, against the rules.
func CheckMembership(events []Event, l Limits) Verdict {
	j := &checker{limits: l, status: map[string]Kind{}, since: map[string]time.Duration{}, views: map[string]map[string]observation{}, pendingDetections: map[[2]string]time.Duration{}}
	j.verdict.TestedOccasions = map[Rule]int{}
	for _, e := range events {
		j.checkDetectionDeadlines(e.At)
		if e.Kind == StateObserved {
			j.applyObservation(e)
			continue
		}
		j.checkViews(e.At)
		j.applyFact(e)
	}
	j.checkDetectionDeadlines(l.End)
	j.checkViews(l.End)
	return j.verdict
}

func (j *checker) addViolation(r Rule, at time.Duration, format string, args ...any) {
	j.verdict.Violations = append(j.verdict.Violations, Violation{r, at, fmt.Sprintf(format, args...)})
}

// isSettled tells whether nothing has been wrong for as long as it takes to settle.
func (j *checker) isSettled(now time.Duration) bool {
	return !j.faultActive && now-j.lastFactAt >= j.limits.SettleWithin
}

func (j *checker) applyFact(e Event) {
	quiet := !j.faultActive
	j.lastFactAt, j.converged = e.At, false
	switch e.Kind {
	case FaultBegan, FaultsEnded:
		j.faultActive = e.Kind == FaultBegan
		clear(j.pendingDetections) // what is found out meanwhile is chance's; afterwards views must agree
		return
	case Started:
		delete(j.views, e.Subject) // a new life has seen nothing
	}
	j.status[e.Subject], j.since[e.Subject] = e.Kind, e.At
	for pair := range j.pendingDetections {
		if pair[0] == e.Subject || pair[1] == e.Subject {
			delete(j.pendingDetections, pair)
		}
	}
	if e.Kind == Started || e.Kind == ShutdownBegan || !quiet {
		return
	}
	for by, holds := range j.views {
		if j.status[by] == Started && isPresent(holds[e.Subject].state) {
			j.pendingDetections[[2]string{by, e.Subject}] = e.At + j.limits.DetectWithin
		}
	}
}

// checkDetectionDeadlines finds what was not found out in time.
func (j *checker) checkDetectionDeadlines(now time.Duration) {
	for pair, until := range j.pendingDetections {
		if now > until {
			delete(j.pendingDetections, pair)
			j.addViolation(FailureDetected, until, "%s still holds %s for here, %v after it was gone", pair[0], pair[1], j.limits.DetectWithin)
		}
	}
}

func (j *checker) applyObservation(e Event) {
	if j.status[e.Observer] != Started {
		return // its last words
	}
	holds := j.views[e.Observer]
	if holds == nil {
		holds = map[string]observation{}
		j.views[e.Observer] = holds
	}
	was, known := holds[e.Subject]
	holds[e.Subject] = observation{e.State, e.Incarnation}
	if known {
		j.verdict.TestedOccasions[IncarnationsMonotonic]++
		if e.Incarnation < was.incarnation {
			j.addViolation(IncarnationsMonotonic, e.At, "%s held incarnation %d of %s, and now %d", e.Observer, was.incarnation, e.Subject, e.Incarnation)
		}
	}
	if known && was.state == "left" {
		j.verdict.TestedOccasions[LeftIsNotFailed]++
		if isPresent(e.State) && e.Incarnation <= was.incarnation || e.State == "failed" && e.Incarnation <= was.incarnation {
			j.addViolation(LeftIsNotFailed, e.At, "%s holds %s, which left, for %s, in incarnation %d as before", e.Observer, e.Subject, e.State, e.Incarnation)
		}
	}
	pair := [2]string{e.Observer, e.Subject}
	if _, waits := j.pendingDetections[pair]; waits && !isPresent(e.State) {
		delete(j.pendingDetections, pair)
		j.verdict.TestedOccasions[FailureDetected]++
		j.verdict.SlowestDetection = max(j.verdict.SlowestDetection, e.At-j.since[e.Subject])
	}
	defer j.noteConvergence(e.At)
	if is := j.status[e.Subject]; (is == ShutdownBegan || is == Left) && e.State == "failed" && !j.faultActive {
		j.addViolation(LeftIsNotFailed, e.At, "%s holds %s, which left, for failed", e.Observer, e.Subject)
	}
	if e.State == "failed" && j.status[e.Subject] == Started && j.isSettled(e.At) {
		j.addViolation(NoFalsePositive, e.At, "%s holds %s for failed, which answers, %v after the last fault", e.Observer, e.Subject, e.At-j.lastFactAt)
	}
}

// noteConvergence notes how long it took until all views were right.
func (j *checker) noteConvergence(now time.Duration) {
	if j.converged || j.faultActive {
		return
	}
	for by, is := range j.status {
		for of := range j.status {
			held := j.views[by][of].state
			if is == Started && (j.status[of] == Started && !isPresent(held) || (j.status[of] == Killed || j.status[of] == Left) && isPresent(held)) {
				return
			}
		}
	}
	j.converged = true
	j.verdict.SlowestConvergence = max(j.verdict.SlowestConvergence, now-j.lastFactAt)
}

// checkViews holds all views against what is so, where they have had the time.
func (j *checker) checkViews(now time.Duration) {
	if !j.isSettled(now) {
		return
	}
	names := make([]string, 0, len(j.status))
	for name := range j.status {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, by := range names {
		if j.status[by] != Started {
			continue
		}
		for _, of := range names {
			held, known := j.views[by][of]
			if !known {
				held.state = unknown
			}
			j.checkView(now, by, of, held.state)
		}
	}
}

func (j *checker) checkView(now time.Duration, by, of, state string) {
	j.verdict.TestedOccasions[ViewsConverge]++
	switch is := j.status[of]; {
	case is == ShutdownBegan:
		if state == "failed" {
			j.addViolation(LeftIsNotFailed, now, "%s holds %s, which is about to leave, for failed", by, of)
		}
	case is == Started:
		j.verdict.TestedOccasions[NoFalsePositive]++
		if state == "failed" {
			j.addViolation(NoFalsePositive, now, "%s still holds %s for failed, which answers, %v after the last fault", by, of, now-j.lastFactAt)
		} else if !isPresent(state) { // a suspicion is no verdict: it ends by itself, one way or the other
			j.addViolation(ViewsConverge, now, "%s holds %s for %s, which answers, %v after the last fault", by, of, state, now-j.lastFactAt)
		}
	case isPresent(state) && now-j.since[of] >= j.limits.DetectWithin:
		j.addViolation(ViewsConverge, now, "%s holds %s for %s, which is gone, %v after the last fault", by, of, state, now-j.lastFactAt)
	}
}
