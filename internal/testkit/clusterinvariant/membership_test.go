package clusterinvariant

import (
	"testing"
	"time"
)

const second = time.Second // short name, since the timelines of the tests are tables of many instants

func observed(at time.Duration, observer, subject, state string, incarnation uint64) Event {
	return Event{At: at, Kind: StateObserved, Observer: observer, Subject: subject, State: state, Incarnation: incarnation}
}

func fact(at time.Duration, kind EventKind, subject string) Event {
	return Event{At: at, Kind: kind, Subject: subject}
}

// convergedCluster returns the events of three daemons that start and then see one another as alive.
func convergedCluster() (events []Event) {
	for _, name := range []string{"a", "b", "c"} {
		events = append(events, fact(0, Started, name))
	}
	for _, observer := range []string{"a", "b", "c"} {
		for _, subject := range []string{"a", "b", "c"} {
			events = append(events, observed(1, observer, subject, "alive", 1))
		}
	}
	return events
}

// If the reports of a case break a rule, the first violation that CheckVersions finds is of this rule; otherwise CheckVersions finds no
// violation. Each case appends its reports to those of two daemons that act on version 1. A daemon may act on a version for 2 s after
// another daemon has begun to act on a later one.
func TestCheckVersionsFindsBrokenRules(t *testing.T) {
	report := func(at time.Duration, daemon string, version uint64, digest string) VersionReport {
		return VersionReport{RequestedAt: at - second/10, ReportedAt: at, Daemon: daemon, Version: version, Digest: digest}
	}
	for name, c := range map[string]struct {
		reports    []VersionReport
		brokenRule Rule // rule that the reports break; empty: no rule
	}{
		"one daemon follows the other in time":                                      {[]VersionReport{report(2*second, "a", 2, "y"), report(3*second, "b", 1, "x"), report(4*second, "b", 2, "y")}, ""},
		"an earlier version is used for too long":                                   {[]VersionReport{report(2*second, "a", 2, "y"), report(5*second, "b", 1, "x")}, NoContradiction},
		"an earlier version is used for too long after the first of two later ones": {[]VersionReport{report(2*second, "a", 2, "y"), report(4*second, "a", 3, "z"), report(5*second, "b", 1, "x")}, NoContradiction},
		"two daemons have different contents of a version":                          {[]VersionReport{report(2*second, "a", 2, "y"), report(2*second, "b", 2, "z")}, VersionsConsistent},
		"a process goes back to an earlier version":                                 {[]VersionReport{report(2*second, "a", 2, "y"), report(3*second, "a", 1, "x")}, VersionsConsistent},
		"a new process starts with an earlier version and uses it within the time":  {[]VersionReport{report(2*second, "a", 2, "y"), {RequestedAt: 3 * second, ReportedAt: 3 * second, Daemon: "a", Incarnation: 1, Version: 1, Digest: "x"}}, ""},
	} {
		v := CheckVersions(append([]VersionReport{report(second, "a", 1, "x"), report(second, "b", 1, "x")}, c.reports...), 2*second)
		if (len(v.Violations) > 0) != (c.brokenRule != "") || c.brokenRule != "" && v.Violations[0].Rule != c.brokenRule {
			t.Errorf("%s: got violations %+v, want the first of rule %q, or none if the rule is empty", name, v.Violations, c.brokenRule)
		}
	}
}

// CheckMembership finds a violation of the rule that the timeline of a case breaks; if the timeline breaks none, CheckMembership finds no
// violation. Each case appends its events to those of a converged cluster of three daemons.
func TestCheckMembershipFindsBrokenRules(t *testing.T) {
	for name, c := range map[string]struct {
		events     []Event
		brokenRule Rule // rule that the timeline breaks; empty: no rule
		testedRule Rule // rule that CheckMembership must have tested on at least one occasion; not checked if brokenRule is the same rule
	}{
		"no fault":                                        {nil, "", ViewsConverge},
		"end detected in time":                            {[]Event{fact(20*second, Killed, "c"), observed(22*second, "a", "c", "failed", 1), observed(23*second, "b", "c", "failed", 1)}, "", FailureDetected},
		"end detected late by one daemon":                 {[]Event{fact(20*second, Killed, "c"), observed(22*second, "a", "c", "failed", 1), observed(27*second, "b", "c", "failed", 1)}, FailureDetected, FailureDetected},
		"end never detected by one daemon":                {[]Event{fact(20*second, Killed, "c"), observed(22*second, "a", "c", "failed", 1)}, FailureDetected, FailureDetected},
		"false failure without a fault":                   {[]Event{observed(20*second, "a", "c", "failed", 1), observed(21*second, "a", "c", "alive", 2)}, NoFalsePositive, ViewsConverge},
		"false failure during a fault, corrected in time": {[]Event{fact(20*second, FaultBegan, ""), observed(21*second, "a", "c", "failed", 1), fact(22*second, FaultsEnded, ""), observed(24*second, "a", "c", "alive", 2)}, "", NoFalsePositive},
		"false failure that lasts after a fault":          {[]Event{fact(20*second, FaultBegan, ""), observed(21*second, "a", "c", "failed", 1), fact(22*second, FaultsEnded, "")}, NoFalsePositive, NoFalsePositive},
		"incarnation decreases":                           {[]Event{observed(20*second, "a", "c", "alive", 3), observed(21*second, "a", "c", "alive", 2)}, IncarnationsMonotonic, IncarnationsMonotonic},
		"incarnation decreases in the view of a new process": {[]Event{observed(20*second, "a", "c", "alive", 3), fact(21*second, Killed, "a"), observed(22*second, "b", "a", "failed", 1), observed(22*second, "c", "a", "failed", 1), fact(23*second, Started, "a"),
			observed(24*second, "a", "a", "alive", 2), observed(24*second, "a", "b", "alive", 1), observed(24*second, "a", "c", "alive", 2), observed(24*second, "b", "a", "alive", 2), observed(24*second, "c", "a", "alive", 2)}, "", ViewsConverge},
		"member that left is seen as failed": {[]Event{fact(20*second, ShutdownBegan, "c"), fact(21*second, Left, "c"), observed(22*second, "a", "c", "failed", 1), observed(22*second, "b", "c", "left", 1)}, LeftIsNotFailed, ViewsConverge},
		"member that left comes back with the same incarnation": {[]Event{fact(20*second, ShutdownBegan, "c"), observed(20*second, "a", "c", "left", 1), observed(20*second, "b", "c", "left", 1), fact(21*second, Left, "c"), fact(22*second, Started, "c"),
			observed(23*second, "a", "c", "alive", 1), observed(23*second, "b", "c", "alive", 2), observed(23*second, "c", "a", "alive", 1), observed(23*second, "c", "b", "alive", 1), observed(23*second, "c", "c", "alive", 2)}, LeftIsNotFailed, LeftIsNotFailed},
		"new member not seen by all in time": {[]Event{fact(20*second, Started, "d"), observed(21*second, "a", "d", "alive", 1)}, ViewsConverge, ViewsConverge},
	} {
		v := CheckMembership(append(convergedCluster(), c.events...), Limits{DetectWithin: 6 * second, SettleWithin: 3 * second, End: 40 * second})
		violated := map[Rule]bool{}
		for _, violation := range v.Violations {
			violated[violation.Rule] = true
		}
		if len(violated) > 1 && c.brokenRule == "" || len(v.Violations) > 0 != (c.brokenRule != "") || c.brokenRule != "" && !violated[c.brokenRule] {
			t.Errorf("%s: got violations %+v, want some of rule %q, or none if the rule is empty", name, v.Violations, c.brokenRule)
		}
		if c.testedRule != c.brokenRule && v.TestedOccasions[c.testedRule] == 0 {
			t.Errorf("%s: rule %q was not tested", name, c.testedRule)
		}
	}
}
