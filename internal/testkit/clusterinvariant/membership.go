// Package clusterinvariant checks timelines of a cluster against invariants. CheckMembership compares the membership views that
// daemons reported with what was done to the daemons and the network; CheckVersions checks the versions of the settings that
// daemons acted on. The package does no I/O, reads no clock, and starts no goroutine.
package clusterinvariant

import (
	"fmt"
	"slices"
	"time"
)

// unknownState stands in violation texts for the state of a daemon that a view does not contain. It is never the State of an Event.
const unknownState = "unknown"

// Rule identifies an invariant of a cluster by the name that results give it.
type Rule string

// These rules are the invariants against which CheckMembership checks the timeline of a cluster.
const (
	// FailureDetected: all running daemons detect within Limits.DetectWithin that another daemon's process has ended.
	FailureDetected Rule = "who is gone is found out in time"
	// NoFalsePositive: no running daemon is seen as failed, except during a fault and until Limits.SettleWithin after it.
	NoFalsePositive Rule = "nobody who answers is held for failed"
	// LeftIsNotFailed: a graceful shutdown is not seen as a failure, and only a higher incarnation makes a daemon present again.
	LeftIsNotFailed Rule = "who left has not failed, and comes back with a new incarnation only"
	// IncarnationsMonotonic: the incarnation of a daemon in another daemon's view never decreases.
	IncarnationsMonotonic Rule = "incarnations never go back"
	// ViewsConverge: once Limits.SettleWithin has passed since the last fault and the last start or end of a daemon, each running daemon
	// sees exactly the running daemons as present.
	ViewsConverge Rule = "views agree in time after the last fault"
)

// MembershipRules lists the rules that CheckMembership checks, in the order in which they are reported.
var MembershipRules = []Rule{FailureDetected, NoFalsePositive, LeftIsNotFailed, IncarnationsMonotonic, ViewsConverge}

// EventKind says which fact or observation an Event records.
type EventKind int

// An event of the kind StateObserved records what a daemon reported. An event of any other kind is a fact: it records what was done to
// daemons, links or processes.
const (
	Started       EventKind = iota // Subject's process was started and responds
	Killed                         // Subject's process was killed without announcing that it leaves
	ShutdownBegan                  // Subject was told to shut down gracefully, and has not ended yet
	Left                           // Subject's process has ended after it announced that it leaves the cluster
	FaultBegan                     // at least one fault of links or processes is active from now on
	FaultsEnded                    // no fault is active any more; killed daemons stay down
	StateObserved                  // Observer's view of Subject has changed to State and Incarnation
)

// Event is one entry of a cluster's timeline.
type Event struct {
	At          time.Duration
	Kind        EventKind
	Subject     string // name of the daemon that the event is about; empty for FaultBegan and FaultsEnded
	Observer    string // name of the daemon whose view changed, for StateObserved
	State       string // new state of Subject, for StateObserved: alive, suspect, failed or left
	Incarnation uint64 // incarnation of Subject in the view, for StateObserved
}

// Limits are the time limits of the rules, and the end of the timeline.
type Limits struct {
	DetectWithin time.Duration // time after the end of a daemon's process by which all other daemons must have detected the end; not checked if a fault of links or processes is active in this time
	SettleWithin time.Duration // time after the last fault, start or end of a daemon by which each view must show exactly the running daemons as present
	End          time.Duration // instant at which the timeline ends
}

// Violation is one breach of a rule. Its fields are written to results under their own names.
type Violation struct {
	Rule Rule
	At   time.Duration
	Text string
}

// Verdict holds the violations that CheckMembership found, how often it tested each rule, and the slowest reactions of the cluster.
type Verdict struct {
	Violations         []Violation
	TestedOccasions    map[Rule]int  // number of occasions on which each rule was tested; a rule without an entry was not tested
	SlowestDetection   time.Duration // longest time from the end of a daemon's process until another daemon detected the end, if no fault of links or processes was active in this time
	SlowestConvergence time.Duration // longest time from a start or end of a daemon, or from the end of the faults, until all views showed the running daemons as present and ended ones as not present
}

// observation is the latest state of a daemon that another daemon, the observer, has reported.
type observation struct {
	state       string
	incarnation uint64
}

// isPresent reports whether a daemon in the given state counts as a member of the cluster.
func isPresent(state string) bool { return state == "alive" || state == "suspect" }

// checker holds what CheckMembership has derived from the events up to now.
type checker struct {
	limits            Limits
	verdict           Verdict
	status            map[string]EventKind              // latest fact about each daemon: Started, Killed, ShutdownBegan or Left
	statusSince       map[string]time.Duration          // instant of the latest fact about each daemon
	views             map[string]map[string]observation // each daemon's view: by observer, then by subject
	pendingDetections map[[2]string]time.Duration       // deadline by which an observer must detect the end of a subject, by {observer, subject}
	faultActive       bool
	lastFactAt        time.Duration // instant of the latest fact about any daemon or fault
	converged         bool          // whether, at some instant since lastFactAt, all views showed the running daemons as present and ended ones as not present
}

// CheckMembership checks a timeline, whose events are in order of their instants, against MembershipRules.
func CheckMembership(events []Event, limits Limits) Verdict {
	c := &checker{limits: limits, status: map[string]EventKind{}, statusSince: map[string]time.Duration{}, views: map[string]map[string]observation{},
		pendingDetections: map[[2]string]time.Duration{}}
	c.verdict.TestedOccasions = map[Rule]int{}
	for _, e := range events {
		c.checkDetectionDeadlines(e.At)
		if e.Kind == StateObserved {
			c.applyObservation(e)
			continue
		}
		c.checkViews(e.At)
		c.applyFact(e)
	}
	c.checkDetectionDeadlines(limits.End)
	c.checkViews(limits.End)
	return c.verdict
}

func (c *checker) addViolation(r Rule, at time.Duration, format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{r, at, fmt.Sprintf(format, args...)})
}

// isSettled reports whether no fault is active and Limits.SettleWithin has passed since the latest fact.
func (c *checker) isSettled(now time.Duration) bool {
	return !c.faultActive && now-c.lastFactAt >= c.limits.SettleWithin
}

// applyFact records a fact, which is an event of any kind but StateObserved. If the fact is the end of a daemon while no fault is active, it
// sets the deadlines by which the other running daemons must detect the end.
func (c *checker) applyFact(e Event) {
	c.lastFactAt, c.converged = e.At, false
	switch e.Kind {
	case FaultBegan, FaultsEnded:
		c.faultActive = e.Kind == FaultBegan
		clear(c.pendingDetections) // a fault may delay detections, so their deadlines are dropped; after the fault, the rule ViewsConverge checks the views
		return
	case Started:
		delete(c.views, e.Subject) // a new process starts with an empty view
	}
	c.status[e.Subject], c.statusSince[e.Subject] = e.Kind, e.At
	for pair := range c.pendingDetections {
		if pair[0] == e.Subject || pair[1] == e.Subject {
			delete(c.pendingDetections, pair)
		}
	}
	if e.Kind == Started || e.Kind == ShutdownBegan || c.faultActive {
		return
	}
	for observer, view := range c.views {
		if c.status[observer] == Started && isPresent(view[e.Subject].state) {
			c.pendingDetections[[2]string{observer, e.Subject}] = e.At + c.limits.DetectWithin
		}
	}
}

// checkDetectionDeadlines adds a violation for each pending detection whose deadline has passed.
func (c *checker) checkDetectionDeadlines(now time.Duration) {
	for pair, deadline := range c.pendingDetections {
		if now > deadline {
			delete(c.pendingDetections, pair)
			c.addViolation(FailureDetected, deadline, "%s still sees %s as present, %v after its end", pair[0], pair[1], c.limits.DetectWithin)
		}
	}
}

// applyObservation records the state that an observer reports of a subject, from an event of the kind StateObserved, and checks it against
// the rules.
func (c *checker) applyObservation(e Event) {
	if c.status[e.Observer] != Started {
		return // reports of an observer that is shutting down or has ended are not checked
	}
	view := c.views[e.Observer]
	if view == nil {
		view = map[string]observation{}
		c.views[e.Observer] = view
	}
	previous, known := view[e.Subject]
	view[e.Subject] = observation{e.State, e.Incarnation}
	if known {
		c.verdict.TestedOccasions[IncarnationsMonotonic]++
		if e.Incarnation < previous.incarnation {
			c.addViolation(IncarnationsMonotonic, e.At, "%s held incarnation %d of %s, and now %d", e.Observer, previous.incarnation, e.Subject, e.Incarnation)
		}
	}
	if known && previous.state == "left" {
		c.verdict.TestedOccasions[LeftIsNotFailed]++
		if isPresent(e.State) && e.Incarnation <= previous.incarnation || e.State == "failed" && e.Incarnation <= previous.incarnation {
			c.addViolation(LeftIsNotFailed, e.At, "%s sees %s, which left, as %s in incarnation %d, which is not higher than before", e.Observer, e.Subject, e.State, e.Incarnation)
		}
	}
	pair := [2]string{e.Observer, e.Subject}
	if _, pending := c.pendingDetections[pair]; pending && !isPresent(e.State) {
		delete(c.pendingDetections, pair)
		c.verdict.TestedOccasions[FailureDetected]++
		c.verdict.SlowestDetection = max(c.verdict.SlowestDetection, e.At-c.statusSince[e.Subject])
	}
	defer c.noteConvergence(e.At)
	if status := c.status[e.Subject]; (status == ShutdownBegan || status == Left) && e.State == "failed" && !c.faultActive {
		c.addViolation(LeftIsNotFailed, e.At, "%s sees %s, which left or is shutting down, as failed", e.Observer, e.Subject)
	}
	if e.State == "failed" && c.status[e.Subject] == Started && c.isSettled(e.At) {
		c.addViolation(NoFalsePositive, e.At, "%s holds %s for failed, which answers, %v after the last fault", e.Observer, e.Subject, e.At-c.lastFactAt)
	}
}

// noteConvergence records the time from the latest fact until all views first show the running daemons as present and those that have
// ended as not present.
func (c *checker) noteConvergence(now time.Duration) {
	if c.converged || c.faultActive {
		return
	}
	for observer, status := range c.status {
		for subject := range c.status {
			state := c.views[observer][subject].state
			if status == Started && (c.status[subject] == Started && !isPresent(state) || (c.status[subject] == Killed || c.status[subject] == Left) && isPresent(state)) {
				return
			}
		}
	}
	c.converged = true
	c.verdict.SlowestConvergence = max(c.verdict.SlowestConvergence, now-c.lastFactAt)
}

// checkViews compares the views of all running daemons with the facts, if the cluster must have settled by now.
func (c *checker) checkViews(now time.Duration) {
	if !c.isSettled(now) {
		return
	}
	names := make([]string, 0, len(c.status))
	for name := range c.status {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, observer := range names {
		if c.status[observer] != Started {
			continue
		}
		for _, subject := range names {
			latest, known := c.views[observer][subject]
			if !known {
				latest.state = unknownState
			}
			c.checkView(now, observer, subject, latest.state)
		}
	}
}

// checkView compares the state of a subject in one observer's view with the facts.
func (c *checker) checkView(now time.Duration, observer, subject, state string) {
	c.verdict.TestedOccasions[ViewsConverge]++
	switch status := c.status[subject]; {
	case status == ShutdownBegan:
		if state == "failed" {
			c.addViolation(LeftIsNotFailed, now, "%s sees %s, which is shutting down, as failed", observer, subject)
		}
	case status == Started:
		c.verdict.TestedOccasions[NoFalsePositive]++
		if state == "failed" {
			c.addViolation(NoFalsePositive, now, "%s still holds %s for failed, which answers, %v after the last fault", observer, subject, now-c.lastFactAt)
		} else if !isPresent(state) { // a suspect is still present: the suspicion ends in alive or failed
			c.addViolation(ViewsConverge, now, "%s holds %s for %s, which answers, %v after the last fault", observer, subject, state, now-c.lastFactAt)
		}
	case isPresent(state) && now-c.statusSince[subject] >= c.limits.DetectWithin:
		c.addViolation(ViewsConverge, now, "%s holds %s for %s, which is gone, %v after the last fault", observer, subject, state, now-c.lastFactAt)
	}
}
