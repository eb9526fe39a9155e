package invariant

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestEachRuleIsBrokenAndHeldByItsTimelines(t *testing.T) {
	broken, held := map[int]int{}, map[int]int{}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := Check(rules, slices.Clone(c.events))
			rule := r.Rules[c.rule-1]
			if c.broken == "" {
				held[c.rule]++
				if rule.Verdict != Held {
					t.Errorf("rule %d is %s: %+v", c.rule, rule.Verdict, rule.Violations)
				}
			} else {
				broken[c.rule]++
				if rule.Verdict != Broken || !strings.Contains(rule.Violations[0].Description, c.broken) || r.Held() {
					t.Errorf("rule %d is %s, held %v: %+v", c.rule, rule.Verdict, r.Held(), rule.Violations)
				}
			}
			for _, other := range r.Rules { // no other rule may be broken
				if other.Number != c.rule && other.Verdict == Broken {
					t.Errorf("rule %d as well: %+v", other.Number, other.Violations)
				}
			}
		})
	}
	for rule := 1; rule <= 4; rule++ {
		if broken[rule] < 2 || held[rule] < 1 {
			t.Errorf("rule %d: broken by %d timelines, held by %d", rule, broken[rule], held[rule])
		}
	}
}

func TestRuleWithoutOccasionIsUntested(t *testing.T) {
	r := Check(rules, newTimeline().request(s, "r", readClass).attempt(s+ms, "r", "a", 1).end(s+5*ms, AttemptCompleted, "r", "a").
		respond(2*s, "r", 200))
	for i, want := range []Verdict{Held, Untested, Untested, Untested} {
		if r.Rules[i].Verdict != want {
			t.Errorf("rule %d: %s", i+1, r.Rules[i].Verdict)
		}
	}
	// A notification after which nothing was sent does not test the rule.
	r = Check(rules, newTimeline().notify(s, Draining).request(s, "r", readClass).attempt(s+ms, "r", "b", 1).
		respond(2*s, "r", 200))
	if r.Rules[2].Verdict != Untested || r.Rules[2].Occasions["drains told"] != 1 {
		t.Errorf("%+v", r.Rules[2])
	}
	if r := Check(rules, nil); r.Rules[0].Verdict != Untested {
		t.Errorf("empty timeline: %s", r.Rules[0].Verdict)
	}
}

func TestRestartedSidecarIsNotBoundByEarlierNotifications(t *testing.T) {
	l := newTimeline().notify(s, Draining).start(2*s, "s").request(3*s, "r", readClass).
		attempt(3*s, "r", "a", 1).end(3*s+ms, AttemptCompleted, "r", "a").respond(3*s+2*ms, "r", 200)
	if r := Check(rules, l); r.Rules[2].Verdict == Broken {
		t.Errorf("the new process is bound by a notification to the old one: %+v", r.Rules[2].Violations)
	}
	if r := Check(rules, append(l, timeline{}.notify(2*s+ms, Draining)...)); r.Rules[2].Verdict != Broken {
		t.Errorf("notified after its start: %s", r.Rules[2].Verdict)
	}
}

func TestViolationNamesRequestSidecarNodeAndInstant(t *testing.T) {
	r := Check(rules, newTimeline().notify(s, Gone).request(2*s, "r", readClass).attempt(2*s, "r", "a", 1))
	b := r.Rules[2].Violations[0]
	if b.Rule != 3 || b.At != 2*s || b.Request != "r" || b.Sidecar != "s" || b.Node != "a" {
		t.Errorf("%+v", b)
	}
}

func TestReportedViolationsAreBounded(t *testing.T) {
	l := newTimeline()
	for i := range 1000 {
		id := fmt.Sprint("r", i)
		l = l.request(s, id, readClass).end(2*s, ConnectionLost, id, "")
	}
	if r := Check(rules, l).Rules[0]; r.ViolationCount != 1000 || len(r.Violations) != maxReportedViolations {
		t.Errorf("%d violations, %d reported", r.ViolationCount, len(r.Violations))
	}
}

// Recorders may add events of different instants in any order.
func TestVerdictsDoNotDependOnRecordingOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom(cases).Draw(t, "case")
		want := Check(rules, slices.Clone(c.events))
		type key struct {
			at   time.Duration
			kind Kind
		}
		seen := map[key]bool{}
		for _, e := range c.events {
			seen[key{e.At, e.Kind}] = true
		}
		order := rapid.Permutation(c.events).Draw(t, "order")
		slices.SortStableFunc(order, func(a, b Event) int { // events of one instant keep their order
			if a.At != b.At {
				return 0
			}
			index := func(of Event) int {
				return slices.IndexFunc(c.events, func(e Event) bool { return e == of })
			}
			return index(a) - index(b)
		})
		got := Check(rules, order)
		for i := range got.Rules {
			if got.Rules[i].Verdict != want.Rules[i].Verdict && haveDistinctInstants(c.events) {
				t.Fatalf("%s: rule %d is %s, was %s", c.name, i+1, got.Rules[i].Verdict, want.Rules[i].Verdict)
			}
		}
	})
}

// haveDistinctInstants reports whether no two events share an instant.
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

// Judge must neither panic on any timeline nor hold a rule without an occasion to break it.
func TestArbitraryTimelineNeverHoldsAnUntestedRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"", "a", "b", "s"})
		events := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Event {
			return Event{
				At:             time.Duration(rapid.IntRange(0, 20000).Draw(t, "at")) * ms,
				Kind:           Kind(rapid.IntRange(0, int(HarnessStall)).Draw(t, "kind")),
				Request:        name.Draw(t, "request"),
				Sidecar:        name.Draw(t, "sidecar"),
				Node:           name.Draw(t, "node"),
				Class:          rapid.IntRange(-1, 4).Draw(t, "class"),
				State:          State(rapid.IntRange(0, 2).Draw(t, "state")),
				Status:         rapid.SampledFrom([]int{0, 200, 429, 502, 503}).Draw(t, "status"),
				WarmUpDuration: time.Duration(rapid.IntRange(0, 5).Draw(t, "cold")) * s,
				Work:           rapid.Float64Range(0, 5).Draw(t, "work"),
			}
		})).Draw(t, "events")
		for _, r := range Check(rules, events).Rules {
			if r.Verdict == Held && r.TestedOccasions <= 0 {
				t.Fatalf("rule %d held without an occasion to break it", r.Number)
			}
		}
	})
}

func BenchmarkJudge(b *testing.B) {
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
