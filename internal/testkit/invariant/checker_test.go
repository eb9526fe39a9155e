package invariant

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEachRuleIsBrokenAndHeldByItsTimelines checks that Check finds each rule broken by some of the rule's timelines and held by
// others, and that no timeline breaks another rule than its own.
func TestEachRuleIsBrokenAndHeldByItsTimelines(t *testing.T) {
	brokenCount, heldCount := map[int]int{}, map[int]int{} // by rule number: how many timelines must break the rule, and how many must hold it
	for _, c := range timelineCases {
		t.Run(c.name, func(t *testing.T) {
			report := Check(rules, slices.Clone(c.events))
			rule := report.Rules[c.rule-1]
			if c.wantViolation == "" {
				heldCount[c.rule]++
				if rule.Verdict != Held {
					t.Errorf("rule %d is %s, want held; violations: %+v", c.rule, rule.Verdict, rule.Violations)
				}
			} else {
				brokenCount[c.rule]++
				if rule.Verdict != Broken || !strings.Contains(rule.Violations[0].Description, c.wantViolation) || report.Held() {
					t.Errorf("rule %d is %s and the report held %v, want a violation %q; violations: %+v",
						c.rule, rule.Verdict, report.Held(), c.wantViolation, rule.Violations)
				}
			}
			for _, other := range report.Rules {
				if other.Number != c.rule && other.Verdict == Broken {
					t.Errorf("rule %d, which the timeline is not meant to break, is broken: %+v", other.Number, other.Violations)
				}
			}
		})
	}
	for rule := 1; rule <= 4; rule++ {
		if brokenCount[rule] < 2 || heldCount[rule] < 1 {
			t.Errorf("rule %d is broken by %d timelines and held by %d, want at least 2 and 1", rule, brokenCount[rule], heldCount[rule])
		}
	}
}

func TestRuleWithoutOccasionIsUntested(t *testing.T) {
	r := Check(rules, newTimeline().request(s, "r", readClass).attempt(s+ms, "r", "a", 1).end(s+5*ms, AttemptCompleted, "r", "a").
		respond(2*s, "r", 200))
	for i, want := range []Verdict{Held, Untested, Untested, Untested} {
		if r.Rules[i].Verdict != want {
			t.Errorf("rule %d is %s, want %s", i+1, r.Rules[i].Verdict, want)
		}
	}
	// The notification that a node is draining tests rule 3 only if an attempt is sent later than DrainGrace after it.
	r = Check(rules, newTimeline().notify(s, Draining).request(s, "r", readClass).attempt(s+ms, "r", "b", 1).
		respond(2*s, "r", 200))
	if r.Rules[2].Verdict != Untested || r.Rules[2].Occasions["drains told"] != 1 {
		t.Errorf("rule 3 is %+v, want untested with one notification of a drain", r.Rules[2])
	}
	if r := Check(rules, nil); r.Rules[0].Verdict != Untested {
		t.Errorf("rule 1 is %s on an empty timeline, want untested", r.Rules[0].Verdict)
	}
}

func TestRestartedSidecarIsNotBoundByEarlierNotifications(t *testing.T) {
	l := newTimeline().notify(s, Draining).start(2*s, "s").request(3*s, "r", readClass).
		attempt(3*s, "r", "a", 1).end(3*s+ms, AttemptCompleted, "r", "a").respond(3*s+2*ms, "r", 200)
	if r := Check(rules, l); r.Rules[2].Verdict == Broken {
		t.Errorf("rule 3 is broken by a notification to the previous process: %+v", r.Rules[2].Violations)
	}
	if r := Check(rules, append(l, timeline{}.notify(2*s+ms, Draining)...)); r.Rules[2].Verdict != Broken {
		t.Errorf("rule 3 is %s after a notification to the new process, want broken", r.Rules[2].Verdict)
	}
}

func TestViolationNamesRequestSidecarNodeAndInstant(t *testing.T) {
	r := Check(rules, newTimeline().notify(s, Gone).request(2*s, "r", readClass).attempt(2*s, "r", "a", 1))
	v := r.Rules[2].Violations[0]
	if v.Rule != 3 || v.At != 2*s || v.Request != "r" || v.Sidecar != "s" || v.Node != "a" {
		t.Errorf("violation is %+v, want rule 3 at 2s for request r, sidecar s and node a", v)
	}
}

func TestReportedViolationsAreBounded(t *testing.T) {
	l := newTimeline()
	for i := range 1000 {
		id := fmt.Sprint("r", i)
		l = l.request(s, id, readClass).end(2*s, ConnectionLost, id, "")
	}
	if r := Check(rules, l).Rules[0]; r.ViolationCount != 1000 || len(r.Violations) != maxReportedViolations {
		t.Errorf("%d violations of which %d are listed, want 1000 and %d", r.ViolationCount, len(r.Violations), maxReportedViolations)
	}
}

// TestVerdictsDoNotDependOnRecordingOrder checks that events of different instants may be recorded in any order.
func TestVerdictsDoNotDependOnRecordingOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom(timelineCases).Draw(t, "case")
		want := Check(rules, slices.Clone(c.events))
		permuted := rapid.Permutation(c.events).Draw(t, "order")
		slices.SortStableFunc(permuted, func(a, b Event) int { // events of the same instant keep their order
			if a.At != b.At {
				return 0
			}
			index := func(wanted Event) int {
				return slices.IndexFunc(c.events, func(e Event) bool { return e == wanted })
			}
			return index(a) - index(b)
		})
		got := Check(rules, permuted)
		for i := range got.Rules {
			if got.Rules[i].Verdict != want.Rules[i].Verdict && haveDistinctInstants(c.events) {
				t.Fatalf("%s: rule %d is %s after the permutation, want %s", c.name, i+1, got.Rules[i].Verdict, want.Rules[i].Verdict)
			}
		}
	})
}

// haveDistinctInstants reports whether no two events have the same instant.
func haveDistinctInstants(l timeline) bool {
	seen := map[time.Duration]bool{}
	for _, e := range l {
		if seen[e.At] {
			return false
		}
		seen[e.At] = true
	}
	return true
}

// TestArbitraryTimelineNeverHoldsAnUntestedRule checks that Check does not panic on any timeline, and that it never
// reports a rule as held if no event of the timeline could have broken the rule.
func TestArbitraryTimelineNeverHoldsAnUntestedRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nameGenerator := rapid.SampledFrom([]string{"", "a", "b", "s"})
		events := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Event {
			return Event{
				At:             time.Duration(rapid.IntRange(0, 20000).Draw(t, "at")) * ms,
				Kind:           Kind(rapid.IntRange(0, int(HarnessStall)).Draw(t, "kind")),
				Request:        nameGenerator.Draw(t, "request"),
				Sidecar:        nameGenerator.Draw(t, "sidecar"),
				Node:           nameGenerator.Draw(t, "node"),
				Class:          rapid.IntRange(-1, 4).Draw(t, "class"),
				State:          State(rapid.IntRange(0, 2).Draw(t, "state")),
				Status:         rapid.SampledFrom([]int{0, 200, 429, 502, 503}).Draw(t, "status"),
				WarmUpDuration: time.Duration(rapid.IntRange(0, 5).Draw(t, "cold")) * s,
				Work:           rapid.Float64Range(0, 5).Draw(t, "work"),
			}
		})).Draw(t, "events")
		for _, r := range Check(rules, events).Rules {
			if r.Verdict == Held && r.TestedOccasions <= 0 {
				t.Fatalf("rule %d is held with %d tested occasions, want untested", r.Number, r.TestedOccasions)
			}
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	var l timeline
	for i := range 20000 {
		id, at := fmt.Sprint("r", i), time.Duration(i)*ms
		l = l.request(at, id, readClass).attempt(at+ms, id, "a", 1).end(at+5*ms, AttemptCompleted, id, "a").respond(at+6*ms, id, 200)
	}
	b.ReportAllocs()
	for b.Loop() {
		Check(rules, l)
	}
}
