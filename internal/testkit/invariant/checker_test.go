package invariant

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms = time.Millisecond
	s  = time.Second
)

var rules = Rules{Classes: []Class{{"look", Safe, 0}, {"book", Keyed, 10 * s}, {"pay", Unsafe, 0}}, MaxAttempts: 4, Slack: 50 * ms,
	DrainGrace: 500 * ms, FallMultiple: 4, FallAfter: 3 * s, FallSlack: 0.1, TermGrace: 700 * ms}

const (
	look = iota
	book
	pay
)

// line is a timeline in the making.
type line []Event

func (l line) up(at time.Duration, sidecar string) line {
	return append(l, Event{At: at, Kind: Up, Sidecar: sidecar})
}

func (l line) ask(at time.Duration, id string, class int) line {
	return append(l, Event{At: at, Kind: Asked, Request: id, Sidecar: "s", Class: class, Until: at + 2*s})
}

func (l line) send(at time.Duration, id, node string, cell int) line {
	return append(l, Event{At: at, First: at - ms, Kind: Sent, Request: id, Node: node, Cell: cell, Work: 0.1})
}

func (l line) end(at time.Duration, kind Kind, id, node string) line {
	return append(l, Event{At: at, Kind: kind, Request: id, Node: node})
}

func (l line) answer(at time.Duration, id string, status int) line {
	return append(l, Event{At: at, Kind: Answered, Request: id, Status: status, Genuine: true})
}

// told is what discovery says of the node a.
func (l line) told(at time.Duration, state State) line {
	return append(l, Event{At: at, Kind: Told, Sidecar: "s", Node: "a", State: state})
}

func begin() line { return line{}.up(1, "s") }

// Each rule is broken by timelines that stand for what it guards against, and left whole by close misses.
var cases = []struct {
	name   string
	rule   int
	broken string // part of what the breach says; empty: held
	events line
}{
	{"answered late", 1, "after its time was up", begin().ask(s, "r", look).answer(3*s+51*ms, "r", 200)},
	{"answered on the last moment", 1, "", begin().ask(s, "r", look).answer(3*s+50*ms, "r", 200)},
	{"answered twice", 1, "answered 2 times", begin().ask(s, "r", look).answer(2*s, "r", 200).answer(2*s+ms, "r", 200)},
	{"bytes behind the answer", 1, "more came", begin().ask(s, "r", look).answer(2*s, "r", 200).end(2*s+ms, ExtraBytes, "r", "")},
	{"never answered", 1, "no answer", begin().ask(s, "r", look).end(3*s+150*ms, Unanswered, "r", "")},
	{"never answered, by one that was killed", 1, "", append(begin().ask(s, "r", look), Event{At: 2 * s, Kind: Killed, Sidecar: "s"}).end(4*s, Unanswered, "r", "").ask(5*s, "q", look).answer(6*s, "q", 200)},
	{"lost", 1, "without a whole answer", begin().ask(s, "r", look).end(2*s, Lost, "r", "")},
	{"lost with a killed sidecar", 1, "", append(begin().ask(s, "r", look), Event{At: 2 * s, Kind: Killed, Sidecar: "s"}).end(2*s+ms, Lost, "r", "")},
	{"lost at a planned end", 1, "without a whole answer", append(begin().ask(s, "r", look), Event{At: s + 100*ms, Kind: TermSent, Sidecar: "s"}).end(2*s, Lost, "r", "")},
	{"taken long after SIGTERM, and found by SIGKILL", 1, "", append(begin(), Event{At: s, Kind: TermSent, Sidecar: "s"}, Event{At: 4 * s, Kind: Killed, Sidecar: "s"}).ask(s+800*ms, "r", look).end(4*s, Lost, "r", "")},
	{"taken soon after SIGTERM, and found by SIGKILL", 1, "without a whole answer", append(begin(), Event{At: s, Kind: TermSent, Sidecar: "s"}, Event{At: 4 * s, Kind: Killed, Sidecar: "s"}).ask(s+700*ms, "r", look).end(4*s, Lost, "r", "")},
	{"taken long after SIGTERM, and lost by itself", 1, "without a whole answer", append(begin(), Event{At: s, Kind: TermSent, Sidecar: "s"}).ask(s+800*ms, "r", look).end(2*s, Lost, "r", "")},
	{"another's answer", 1, "no endpoint made", append(begin().ask(s, "r", look), Event{At: 2 * s, Kind: Answered, Request: "r", Status: 200})},
	{"a crash", 1, "ended by itself", append(begin().ask(s, "r", look).answer(2*s, "r", 200), Event{At: 3 * s, Kind: Exited, Sidecar: "s", Crash: true})},
	{"closed on a request that was read", 1, "first connection was closed", begin().ask(s, "r", look).send(s+ms, "r", "a", 1).ask(s+2*ms, "r", look).answer(2*s, "r", 200)},
	{"closed between requests", 1, "", begin().ask(s, "r", look).ask(s+2*ms, "r", look).send(s+3*ms, "r", "a", 1).end(s+9*ms, Done, "r", "a").answer(2*s, "r", 200)},
	{"a caller that left", 1, "", begin().ask(s, "r", look).end(2*s, ClientLeft, "r", "")},

	{"two at once", 2, "was out", begin().ask(s, "r", look).send(s+ms, "r", "a", 1).send(s+10*ms, "r", "b", 1).end(s+200*ms, Done, "r", "a").end(s+210*ms, Done, "r", "b").answer(s+220*ms, "r", 200)},
	{"one after the other", 2, "", begin().ask(s, "r", look).send(s+ms, "r", "a", 1).end(s+9*ms, Dropped, "r", "a").send(s+10*ms, "r", "b", 1).end(s+20*ms, Done, "r", "b").answer(s+21*ms, "r", 200)},
	{"an end seen a little late", 2, "", begin().ask(s, "r", look).send(s+ms, "r", "a", 1).send(s+10*ms, "r", "b", 1).end(s+60*ms, Dropped, "r", "a").end(s+70*ms, Done, "r", "b").answer(s+80*ms, "r", 200)},
	{"a node that died", 2, "", append(begin().ask(s, "r", look).send(s+ms, "r", "a", 1), Event{At: s + 5*ms, Kind: Stopped, Node: "a"}).send(s+10*ms, "r", "b", 1).end(s+20*ms, Done, "r", "b").answer(s+21*ms, "r", 200)},
	{"unsafe, sent again", 2, "unsafe work sent again", begin().ask(s, "r", pay).send(s+ms, "r", "a", 1).end(s+9*ms, Dropped, "r", "a").send(s+10*ms, "r", "b", 1).end(s+20*ms, Done, "r", "b").answer(s+21*ms, "r", 200)},
	{"unsafe, sent again after it was turned away", 2, "", begin().ask(s, "r", pay).send(s+ms, "r", "a", 1).end(s+9*ms, Declined, "r", "a").send(s+10*ms, "r", "b", 1).end(s+20*ms, Done, "r", "b").answer(s+21*ms, "r", 200)},
	{"unsafe, refused after it may have run", 2, "refused", begin().ask(s, "r", pay).send(s+ms, "r", "a", 1).end(s+9*ms, Dropped, "r", "a").answer(s+21*ms, "r", 503)},
	{"refused with 429", 2, "refused", begin().ask(s, "r", book).send(s+ms, "r", "a", 1).end(s+9*ms, Done, "r", "a").answer(s+21*ms, "r", 429)},
	{"unsafe, failed after it may have run", 2, "", begin().ask(s, "r", pay).send(s+ms, "r", "a", 1).end(s+9*ms, Declined, "r", "a").send(s+10*ms, "r", "b", 1).end(s+19*ms, Dropped, "r", "b").answer(s+21*ms, "r", 502)},
	{"refused after it was turned away", 2, "", begin().ask(s, "r", pay).send(s+ms, "r", "a", 1).end(s+9*ms, Declined, "r", "a").answer(s+21*ms, "r", 503)},
	{"keyed, to another cell", 2, "cell 2", begin().ask(s, "r", book).send(s+ms, "r", "a", 1).end(s+9*ms, Dropped, "r", "a").send(s+10*ms, "r", "b", 2).end(s+20*ms, Done, "r", "b").answer(s+21*ms, "r", 200)},
	{"keyed, within its cell", 2, "", begin().ask(s, "r", book).send(s+ms, "r", "a", 1).end(s+9*ms, Dropped, "r", "a").send(s+10*ms, "r", "b", 1).end(s+20*ms, Done, "r", "b").answer(s+21*ms, "r", 200)},
	{"keyed, after its window", 2, "its window is 10s", begin().ask(s, "r", book).send(2*s, "r", "a", 1).end(3*s, Dropped, "r", "a").send(12*s+52*ms, "r", "b", 1).end(13*s, Done, "r", "b")},
	{"keyed, at the end of its window", 2, "", begin().ask(s, "r", book).send(2*s, "r", "a", 1).end(3*s, Dropped, "r", "a").send(12*s+50*ms, "r", "b", 1).end(13*s, Done, "r", "b")},
	{"too many attempts", 2, "at most 4", func() line {
		l := begin().ask(s, "r", look)
		for i := range time.Duration(5) {
			l = l.send(s+i*10*ms+ms, "r", "a", 1).end(s+i*10*ms+5*ms, Dropped, "r", "a")
		}
		return l
	}()},
	{"sent after its end", 2, "after its end", begin().ask(s, "r", look).end(2*s, ClientLeft, "r", "").send(2*s+100*ms, "r", "a", 1)},
	{"sent as its caller left", 2, "", begin().ask(s, "q", look).send(s+ms, "q", "a", 1).end(s+2*ms, Declined, "q", "a").send(s+3*ms, "q", "a", 1).end(s+4*ms, Done, "q", "a").answer(s+5*ms, "q", 200).ask(s, "r", look).end(2*s, ClientLeft, "r", "").send(2*s+51*ms, "r", "a", 1)},
	{"asked by nobody", 2, "nobody had asked", begin().send(s, "ghost", "a", 1)},

	{"sent to what drains", 3, "node drains", begin().told(s, Draining).ask(2*s, "r", look).send(2*s, "r", "a", 1)},
	{"sent to what is gone", 3, "node is gone", begin().told(s, Gone).ask(2*s, "r", look).send(2*s, "r", "a", 1)},
	{"told again of the same", 3, "node drains", begin().told(s, Draining).told(s+400*ms, Gone).ask(s, "r", look).send(s+552*ms, "r", "a", 1)},
	{"within the grace, and then elsewhere", 3, "", begin().told(s, Draining).ask(s, "r", look).send(s+551*ms, "r", "a", 1).end(s+560*ms, Done, "r", "a").ask(2*s, "q", look).send(2*s, "q", "b", 1)},
	{"back again", 3, "", begin().told(s, Draining).ask(2*s, "q", look).send(2*s, "q", "b", 1).told(3*s, Ready).ask(4*s, "r", look).send(4*s, "r", "a", 1)},

	{"a burst on a cold node", 4, "started", cold(45)},
	{"pushed over", 4, "pushed over", append(cold(10), Event{At: 2*s + 20*ms, Kind: Fell, Node: "a"})},
	{"a burst that it can bear", 4, "", cold(30)},
	{"a burst from those who were not told", 4, "", func() line {
		l := cold(45)
		l[1].Since = 0 // an older start
		return l
	}()},
	{"a burst on a warm node", 4, "", func() line {
		l := cold(45)
		for i := range l {
			if l[i].Kind == Sent {
				l[i].At, l[i].First = l[i].At+20*s, l[i].First+20*s
			}
		}
		return l.send(2*s, "r0", "a", 1).end(2*s+ms, Done, "r0", "a")
	}()},
}

// cold is a node that starts with 0.3 of the capacity 1 and is sent n requests of 0.12 s of work, a second later: it can
// bear 4 x 0.37 x 3 s, and a tenth more, 4.88 s.
func cold(n int) line {
	l := line{{At: s, Kind: Started, Node: "a", Capacity: 1, ColdFrom: 0.3, ColdFor: 10 * s},
		{At: s + ms, Kind: Told, Sidecar: "s", Node: "a", State: Ready, Since: s}}
	for i := range n {
		id := fmt.Sprint("r", i)
		l = l.ask(2*s, id, look).send(2*s+time.Duration(i)*100*time.Microsecond, id, "a", 1)
	}

	for i := range l {
		l[i].Work *= 1.2
	}
	return l
}

func TestEachRuleCanBeBrokenAndHeld(t *testing.T) {
	broken, held := map[int]int{}, map[int]int{}
	for _, c := range cases {
		r := Judge(rules, slices.Clone(c.events))
		rule := r.Rules[c.rule-1]
		if c.broken == "" {
			held[c.rule]++
			if rule.Verdict != Held {
				t.Errorf("%s: rule %d is %s: %+v", c.name, c.rule, rule.Verdict, rule.Breaches)
			}
		} else {
			broken[c.rule]++
			if rule.Verdict != Broken || !strings.Contains(rule.Breaches[0].What, c.broken) || r.Held() {
				t.Errorf("%s: rule %d is %s, held %v: %+v", c.name, c.rule, rule.Verdict, r.Held(), rule.Breaches)
			}
		}
		for _, other := range r.Rules { // and no other rule is blamed
			if other.Number != c.rule && other.Verdict == Broken {
				t.Errorf("%s: rule %d as well: %+v", c.name, other.Number, other.Breaches)
			}
		}
	}
	for rule := 1; rule <= 4; rule++ {
		if broken[rule] < 2 || held[rule] < 1 {
			t.Errorf("rule %d: %d timelines break it, %d come close", rule, broken[rule], held[rule])
		}
	}
}

func TestARuleWithoutAnOccasionIsNotHeld(t *testing.T) {
	r := Judge(rules, begin().ask(s, "r", look).send(s+ms, "r", "a", 1).end(s+5*ms, Done, "r", "a").answer(2*s, "r", 200))
	for i, want := range []Verdict{Held, Untested, Untested, Untested} {
		if r.Rules[i].Verdict != want {
			t.Errorf("rule %d: %s", i+1, r.Rules[i].Verdict)
		}
	}
	// A notice after which nothing was sent proves nothing.
	r = Judge(rules, begin().told(s, Draining).ask(s, "r", look).send(s+ms, "r", "b", 1).answer(2*s, "r", 200))
	if r.Rules[2].Verdict != Untested || r.Rules[2].Occasions["drains told"] != 1 {
		t.Errorf("%+v", r.Rules[2])
	}
	if r := Judge(rules, nil); r.Rules[0].Verdict != Untested {
		t.Errorf("an empty day: %s", r.Rules[0].Verdict)
	}
}

func TestARestartedSidecarIsToldAnew(t *testing.T) {
	l := begin().told(s, Draining).up(2*s, "s").ask(3*s, "r", look).send(3*s, "r", "a", 1).end(3*s+ms, Done, "r", "a").answer(3*s+2*ms, "r", 200)
	if r := Judge(rules, l); r.Rules[2].Verdict == Broken {
		t.Errorf("a fresh process is held to what the old one was told: %+v", r.Rules[2].Breaches)
	}
	if r := Judge(rules, append(l, line{}.told(2*s+ms, Draining)...)); r.Rules[2].Verdict != Broken {
		t.Errorf("told after its start: %s", r.Rules[2].Verdict)
	}
}

func TestABreachNamesWhoAndWhen(t *testing.T) {
	r := Judge(rules, begin().told(s, Gone).ask(2*s, "r", look).send(2*s, "r", "a", 1))
	b := r.Rules[2].Breaches[0]
	if b.Rule != 3 || b.At != 2*s || b.Request != "r" || b.Sidecar != "s" || b.Node != "a" {
		t.Errorf("%+v", b)
	}
}

func TestWhatIsKeptOfManyBreachesHasABound(t *testing.T) {
	l := begin()
	for i := range 1000 {
		id := fmt.Sprint("r", i)
		l = l.ask(s, id, look).end(2*s, Lost, id, "")
	}
	if r := Judge(rules, l).Rules[0]; r.Broken != 1000 || len(r.Breaches) != maxReportedViolations {
		t.Errorf("%d broken, %d kept", r.Broken, len(r.Breaches))
	}
}

// The order in which recorders note events of different instants must not matter.
func TestTheOrderOfNotingDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom(cases).Draw(t, "case")
		want := Judge(rules, slices.Clone(c.events))
		type key struct {
			at   time.Duration
			kind Kind
		}
		seen := map[key]bool{}
		for _, e := range c.events {
			seen[key{e.At, e.Kind}] = true
		}
		order := rapid.Permutation(c.events).Draw(t, "order")
		slices.SortStableFunc(order, func(a, b Event) int { // those of one instant stay as they were
			if a.At != b.At {
				return 0
			}
			return slices.IndexFunc(c.events, func(e Event) bool { return e == a }) - slices.IndexFunc(c.events, func(e Event) bool { return e == b })
		})
		got := Judge(rules, order)
		for i := range got.Rules {
			if got.Rules[i].Verdict != want.Rules[i].Verdict && distinct(c.events) {
				t.Fatalf("%s: rule %d is %s, was %s", c.name, i+1, got.Rules[i].Verdict, want.Rules[i].Verdict)
			}
		}
	})
}

// distinct tells whether all events have instants of their own.
func distinct(l line) bool {
	seen := map[time.Duration]bool{}
	for _, e := range l {
		if seen[e.At] {
			return false
		}
		seen[e.At] = true
	}
	return true
}

// Whatever comes, the referee neither panics nor holds a rule without an occasion.
func TestAnyTimelineIsJudged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"", "a", "b", "s"})
		events := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Event {
			return Event{At: time.Duration(rapid.IntRange(0, 20000).Draw(t, "at")) * ms, Kind: Kind(rapid.IntRange(0, int(HarnessStall)).Draw(t, "kind")),
				Request: name.Draw(t, "request"), Sidecar: name.Draw(t, "sidecar"), Node: name.Draw(t, "node"), Class: rapid.IntRange(-1, 4).Draw(t, "class"),
				State: State(rapid.IntRange(0, 2).Draw(t, "state")), Status: rapid.SampledFrom([]int{0, 200, 429, 502, 503}).Draw(t, "status"),
				ColdFor: time.Duration(rapid.IntRange(0, 5).Draw(t, "cold")) * s, Work: rapid.Float64Range(0, 5).Draw(t, "work")}
		})).Draw(t, "events")
		for _, r := range Judge(rules, events).Rules {
			if r.Verdict == Held && r.Tests <= 0 {
				t.Fatalf("rule %d held without an occasion", r.Number)
			}
		}
	})
}

func BenchmarkJudge(b *testing.B) {
	var l line
	for i := range 20000 {
		id, at := fmt.Sprint("r", i), time.Duration(i)*ms
		l = l.ask(at, id, look).send(at+ms, id, "a", 1).end(at+5*ms, Done, id, "a").answer(at+6*ms, id, 200)
	}
	b.ReportAllocs()
	for b.Loop() {
		Judge(rules, l)
	}
}
