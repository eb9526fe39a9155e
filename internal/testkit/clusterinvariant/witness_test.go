package clusterinvariant

import (
	"testing"
	"time"
)

const second = time.Second

func saw(at time.Duration, by, of, state string, incarnation uint64) Event {
	return Event{At: at, Kind: Saw, By: by, Of: of, State: state, Incarnation: incarnation}
}

func fact(at time.Duration, k Kind, of string) Event { return Event{At: at, Kind: k, Of: of} }

// three are daemons that know one another.
func three() (events []Event) {
	for _, name := range []string{"a", "b", "c"} {
		events = append(events, fact(0, Up, name))
	}
	for _, by := range []string{"a", "b", "c"} {
		for _, of := range []string{"a", "b", "c"} {
			events = append(events, saw(1, by, of, "alive", 1))
		}
	}
	return events
}

func TestJudgeVersions(t *testing.T) {
	act := func(at time.Duration, by string, version uint64, digest string) Act {
		return Act{Asked: at - second/10, Said: at, By: by, Version: version, Digest: digest}
	}
	for name, c := range map[string]struct {
		then []Act
		rule Rule // empty: none is broken
	}{
		"one after another":       {[]Act{act(2*second, "a", 2, "y"), act(3*second, "b", 1, "x"), act(4*second, "b", 2, "y")}, ""},
		"for too long":            {[]Act{act(2*second, "a", 2, "y"), act(5*second, "b", 1, "x")}, NoContradiction},
		"too long for the first":  {[]Act{act(2*second, "a", 2, "y"), act(4*second, "a", 3, "z"), act(5*second, "b", 1, "x")}, NoContradiction},
		"two texts":               {[]Act{act(2*second, "a", 2, "y"), act(2*second, "b", 2, "z")}, OneVersion},
		"back":                    {[]Act{act(2*second, "a", 2, "y"), act(3*second, "a", 1, "x")}, OneVersion},
		"a new life, within time": {[]Act{act(2*second, "a", 2, "y"), {Asked: 3 * second, Said: 3 * second, By: "a", Life: 1, Version: 1, Digest: "x"}}, ""},
	} {
		v := JudgeVersions(append([]Act{act(second, "a", 1, "x"), act(second, "b", 1, "x")}, c.then...), 2*second)
		if (len(v.Breaches) > 0) != (c.rule != "") || c.rule != "" && v.Breaches[0].Rule != c.rule {
			t.Errorf("%s: %+v", name, v.Breaches)
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
		"quiet":                    {nil, "", AgreeInTime},
		"found out in time":        {[]Event{fact(20*second, Down, "c"), saw(22*second, "a", "c", "failed", 1), saw(23*second, "b", "c", "failed", 1)}, "", Detected},
		"found out late":           {[]Event{fact(20*second, Down, "c"), saw(22*second, "a", "c", "failed", 1), saw(27*second, "b", "c", "failed", 1)}, Detected, Detected},
		"never found out":          {[]Event{fact(20*second, Down, "c"), saw(22*second, "a", "c", "failed", 1)}, Detected, Detected},
		"a false verdict":          {[]Event{saw(20*second, "a", "c", "failed", 1), saw(21*second, "a", "c", "alive", 2)}, NoFalse, AgreeInTime},
		"one that is excused":      {[]Event{fact(20*second, Trouble, ""), saw(21*second, "a", "c", "failed", 1), fact(22*second, Calm, ""), saw(24*second, "a", "c", "alive", 2)}, "", NoFalse},
		"one that lasts":           {[]Event{fact(20*second, Trouble, ""), saw(21*second, "a", "c", "failed", 1), fact(22*second, Calm, "")}, NoFalse, NoFalse},
		"an incarnation goes back": {[]Event{saw(20*second, "a", "c", "alive", 3), saw(21*second, "a", "c", "alive", 2)}, NeverBack, NeverBack},
		"a new life knows less": {[]Event{saw(20*second, "a", "c", "alive", 3), fact(21*second, Down, "a"), saw(22*second, "b", "a", "failed", 1), saw(22*second, "c", "a", "failed", 1), fact(23*second, Up, "a"),
			saw(24*second, "a", "a", "alive", 2), saw(24*second, "a", "b", "alive", 1), saw(24*second, "a", "c", "alive", 2), saw(24*second, "b", "a", "alive", 2), saw(24*second, "c", "a", "alive", 2)}, "", AgreeInTime},
		"left, and held for failed": {[]Event{fact(20*second, Leaving, "c"), fact(21*second, Leaves, "c"), saw(22*second, "a", "c", "failed", 1), saw(22*second, "b", "c", "left", 1)}, LeftIsLeft, AgreeInTime},
		"left, and comes back as it was": {[]Event{fact(20*second, Leaving, "c"), saw(20*second, "a", "c", "left", 1), saw(20*second, "b", "c", "left", 1), fact(21*second, Leaves, "c"), fact(22*second, Up, "c"),
			saw(23*second, "a", "c", "alive", 1), saw(23*second, "b", "c", "alive", 2), saw(23*second, "c", "a", "alive", 1), saw(23*second, "c", "b", "alive", 1), saw(23*second, "c", "c", "alive", 2)}, LeftIsLeft, LeftIsLeft},
		"not known in time": {[]Event{fact(20*second, Up, "d"), saw(21*second, "a", "d", "alive", 1)}, AgreeInTime, AgreeInTime},
	} {
		v := Judge(append(three(), c.then...), Limits{Detect: 6 * second, Settle: 3 * second, End: 40 * second})
		broken := map[Rule]bool{}
		for _, b := range v.Breaches {
			broken[b.Rule] = true
		}
		if len(broken) > 1 && c.rule == "" || len(v.Breaches) > 0 != (c.rule != "") || c.rule != "" && !broken[c.rule] {
			t.Errorf("%s: %+v", name, v.Breaches)
		}
		if c.must != c.rule && v.Tested[c.must] == 0 {
			t.Errorf("%s: %q was not put to the test", name, c.must)
		}
	}
}
