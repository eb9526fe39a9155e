package clusterinvariant

import (
	"testing"
	"time"
)

const second = time.Second

func observed(at time.Duration, by, of, state string, incarnation uint64) Event {
	return Event{At: at, Kind: StateObserved, Observer: by, Subject: of, State: state, Incarnation: incarnation}
}

func factOf(at time.Duration, k Kind, of string) Event { return Event{At: at, Kind: k, Subject: of} }

// threeKnownDaemons are daemons that know one another.
func threeKnownDaemons() (events []Event) {
	for _, name := range []string{"a", "b", "c"} {
		events = append(events, factOf(0, Started, name))
	}
	for _, by := range []string{"a", "b", "c"} {
		for _, of := range []string{"a", "b", "c"} {
			events = append(events, observed(1, by, of, "alive", 1))
		}
	}
	return events
}

func TestJudgeVersions(t *testing.T) {
	act := func(at time.Duration, by string, version uint64, digest string) VersionReport {
		return VersionReport{RequestedAt: at - second/10, ReportedAt: at, Daemon: by, Version: version, Digest: digest}
	}
	for name, c := range map[string]struct {
		then []VersionReport
		rule Rule // empty: none is broken
	}{
		"one after another":       {[]VersionReport{act(2*second, "a", 2, "y"), act(3*second, "b", 1, "x"), act(4*second, "b", 2, "y")}, ""},
		"for too long":            {[]VersionReport{act(2*second, "a", 2, "y"), act(5*second, "b", 1, "x")}, NoContradiction},
		"too long for the first":  {[]VersionReport{act(2*second, "a", 2, "y"), act(4*second, "a", 3, "z"), act(5*second, "b", 1, "x")}, NoContradiction},
		"two texts":               {[]VersionReport{act(2*second, "a", 2, "y"), act(2*second, "b", 2, "z")}, VersionsConsistent},
		"back":                    {[]VersionReport{act(2*second, "a", 2, "y"), act(3*second, "a", 1, "x")}, VersionsConsistent},
		"a new life, within time": {[]VersionReport{act(2*second, "a", 2, "y"), {RequestedAt: 3 * second, ReportedAt: 3 * second, Daemon: "a", Incarnation: 1, Version: 1, Digest: "x"}}, ""},
	} {
		v := CheckVersions(append([]VersionReport{act(second, "a", 1, "x"), act(second, "b", 1, "x")}, c.then...), 2*second)
		if (len(v.Violations) > 0) != (c.rule != "") || c.rule != "" && v.Violations[0].Rule != c.rule {
			t.Errorf("%s: %+v", name, v.Violations)
		}
	}
}

// Timelines written by hand: each breaks one rule, or none.
func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		then []Event
		rule Rule // empty: none is broken
		must Rule // was put to the test
	}{
		"quiet":                    {nil, "", ViewsConverge},
		"found out in time":        {[]Event{factOf(20*second, Killed, "c"), observed(22*second, "a", "c", "failed", 1), observed(23*second, "b", "c", "failed", 1)}, "", FailureDetected},
		"found out late":           {[]Event{factOf(20*second, Killed, "c"), observed(22*second, "a", "c", "failed", 1), observed(27*second, "b", "c", "failed", 1)}, FailureDetected, FailureDetected},
		"never found out":          {[]Event{factOf(20*second, Killed, "c"), observed(22*second, "a", "c", "failed", 1)}, FailureDetected, FailureDetected},
		"a false verdict":          {[]Event{observed(20*second, "a", "c", "failed", 1), observed(21*second, "a", "c", "alive", 2)}, NoFalsePositive, ViewsConverge},
		"one that is excused":      {[]Event{factOf(20*second, FaultBegan, ""), observed(21*second, "a", "c", "failed", 1), factOf(22*second, FaultsEnded, ""), observed(24*second, "a", "c", "alive", 2)}, "", NoFalsePositive},
		"one that lasts":           {[]Event{factOf(20*second, FaultBegan, ""), observed(21*second, "a", "c", "failed", 1), factOf(22*second, FaultsEnded, "")}, NoFalsePositive, NoFalsePositive},
		"an incarnation goes back": {[]Event{observed(20*second, "a", "c", "alive", 3), observed(21*second, "a", "c", "alive", 2)}, IncarnationsMonotonic, IncarnationsMonotonic},
		"a new life knows less": {[]Event{observed(20*second, "a", "c", "alive", 3), factOf(21*second, Killed, "a"), observed(22*second, "b", "a", "failed", 1), observed(22*second, "c", "a", "failed", 1), factOf(23*second, Started, "a"),
			observed(24*second, "a", "a", "alive", 2), observed(24*second, "a", "b", "alive", 1), observed(24*second, "a", "c", "alive", 2), observed(24*second, "b", "a", "alive", 2), observed(24*second, "c", "a", "alive", 2)}, "", ViewsConverge},
		"left, and held for failed": {[]Event{factOf(20*second, ShutdownBegan, "c"), factOf(21*second, Left, "c"), observed(22*second, "a", "c", "failed", 1), observed(22*second, "b", "c", "left", 1)}, LeftIsNotFailed, ViewsConverge},
		"left, and comes back as it was": {[]Event{factOf(20*second, ShutdownBegan, "c"), observed(20*second, "a", "c", "left", 1), observed(20*second, "b", "c", "left", 1), factOf(21*second, Left, "c"), factOf(22*second, Started, "c"),
			observed(23*second, "a", "c", "alive", 1), observed(23*second, "b", "c", "alive", 2), observed(23*second, "c", "a", "alive", 1), observed(23*second, "c", "b", "alive", 1), observed(23*second, "c", "c", "alive", 2)}, LeftIsNotFailed, LeftIsNotFailed},
		"not known in time": {[]Event{factOf(20*second, Started, "d"), observed(21*second, "a", "d", "alive", 1)}, ViewsConverge, ViewsConverge},
	} {
		v := CheckMembership(append(threeKnownDaemons(), c.then...), Limits{DetectWithin: 6 * second, SettleWithin: 3 * second, End: 40 * second})
		broken := map[Rule]bool{}
		for _, b := range v.Violations {
			broken[b.Rule] = true
		}
		if len(broken) > 1 && c.rule == "" || len(v.Violations) > 0 != (c.rule != "") || c.rule != "" && !broken[c.rule] {
			t.Errorf("%s: %+v", name, v.Violations)
		}
		if c.must != c.rule && v.TestedOccasions[c.must] == 0 {
			t.Errorf("%s: %q was not put to the test", name, c.must)
		}
	}
}
