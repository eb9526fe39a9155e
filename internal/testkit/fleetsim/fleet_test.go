package fleetsim

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/testkit/invariant"
)

// smallDay is a day that takes a second or two under the race detector.
func smallDay(trouble string) Day {
	return Day{Seed: 3, Sidecars: 40, Scenario: trouble, Length: 14 * time.Second, Utilization: 0.6}
}

func runDay(t *testing.T, decide eventloop.BalancerFactory, d Day) *Result {
	t.Helper()
	r, err := RunWith(decide, d)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The module keeps the rules in a fleet, whatever happens, and the same day ends the same.
func TestTheModuleKeepsTheRulesInAFleet(t *testing.T) {
	tested := [4]bool{}
	for _, trouble := range Scenarios() {
		t.Run(trouble, func(t *testing.T) {
			r := runDay(t, eventloop.NewBalancer, smallDay(trouble))
			if !r.Rules.Held() {
				var b strings.Builder
				_ = r.WriteSummary(&b)
				t.Error(b.String())
			}
			if r.Requests < 500 || r.InTime+r.Late+r.Rejected+r.Failed+r.Lost != r.Requests {
				t.Errorf("%d asked, %d in time, %d late, %d refused, %d failed, %d lost", r.Requests, r.InTime, r.Late, r.Rejected, r.Failed, r.Lost)
			}
			for i, rule := range r.Rules.Rules {
				tested[i] = tested[i] || rule.Verdict != invariant.Untested
			}
			if again := runDay(t, eventloop.NewBalancer, smallDay(trouble)); !reflect.DeepEqual(r, again) {
				t.Error("the same day ends in another way")
			}
		})
	}
	for i, was := range tested {
		if !was {
			t.Errorf("rule %d was not put to the test on any day", i+1)
		}
	}
}

// A calm day at three fifths of what the fleet can do is served nearly whole, and each call is made once.
func TestACalmDayIsServed(t *testing.T) {
	r := runDay(t, eventloop.NewBalancer, smallDay("calm"))
	if r.ServedFraction() < 0.97 {
		t.Errorf("%.3f of the worth is served in time", r.ServedFraction())
	}
	for tier := range tiers {
		if a := r.Amplification(tier); a < 0.95 || a > 1.02 {
			t.Errorf("tier %d: %.2f attempts for each that is needed", tier, a)
		}
	}
}

// firstListOnly is the module, but hears its first list only.
type firstListOnly struct {
	balance.Events
	hasList bool
}

func (d *firstListOnly) EndpointList(now time.Duration, l balance.EndpointUpdate) {
	if !d.hasList {
		d.hasList = true
		d.Events.EndpointList(now, l)
	}
}

// newestOnly sends all that it has to the endpoint that started last.
type newestOnly struct {
	balance.Events
	host   balance.Host
	newest balance.Endpoint
}

func (e *newestOnly) EndpointList(now time.Duration, l balance.EndpointUpdate) {
	for _, in := range l.Endpoints {
		if in.State == balance.Ready && in.Started >= e.newest.Started {
			e.newest = in
		}
	}
}

func (e *newestOnly) Request(now time.Duration, r balance.Request) {
	e.host.Send(r.ID, e.newest.ID, r.Deadline-now)
}

func (e *newestOnly) Outcome(_ time.Duration, o balance.Outcome) {
	if !o.IsFinal && o.Result != balance.OK {
		e.host.Fail(o.ID)
	}
}

func (e *newestOnly) Timer(time.Duration) {}

// neverResponds takes requests and never answers.
type neverResponds struct{ balance.Events }

func (neverResponds) Request(time.Duration, balance.Request) {}

// alwaysRetries sends what may have run once more, anywhere.
type alwaysRetries struct {
	balance.Events
	host          balance.Host
	ids           []string
	attemptCounts map[string]int
}

func (b *alwaysRetries) EndpointList(_ time.Duration, l balance.EndpointUpdate) {
	for _, in := range l.Endpoints {
		if in.State == balance.Ready {
			b.ids = append(b.ids, in.ID)
		}
	}
}

func (b *alwaysRetries) Request(now time.Duration, r balance.Request) { b.send(r.ID) }

func (b *alwaysRetries) send(id string) {
	b.attemptCounts[id]++
	b.host.Send(id, b.ids[(len(id)+b.attemptCounts[id]*7+int(id[len(id)-1]))%len(b.ids)], 300*time.Millisecond)
}

func (b *alwaysRetries) Outcome(_ time.Duration, o balance.Outcome) {
	switch {
	case o.IsFinal || o.Result == balance.OK:
	case b.attemptCounts[o.ID] < maxAttempts:
		b.send(o.ID)
	default:
		b.host.Fail(o.ID)
	}
}

func (b *alwaysRetries) Timer(time.Duration) {}

// Each rule is seen broken where it is.
func TestBadDecidersAreSeen(t *testing.T) {
	for _, row := range []struct {
		name, trouble string
		rule          int
		decide        eventloop.BalancerFactory
	}{
		{"one that answers nothing", "calm", 1, func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return neverResponds{eventloop.NewBalancer(now, s, h)}
		}},
		{"one that sends twice", "split", 2, func(_ time.Duration, _ balance.Settings, h balance.Host) balance.Events {
			return &alwaysRetries{host: h, attemptCounts: map[string]int{}}
		}},
		{"one that hears nothing", "join", 3, func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return &firstListOnly{Events: eventloop.NewBalancer(now, s, h)}
		}},
		{"one that floods what is cold", "join", 4, func(_ time.Duration, _ balance.Settings, h balance.Host) balance.Events { return &newestOnly{host: h} }},
	} {
		r := runDay(t, row.decide, smallDay(row.trouble))
		if got := r.Rules.Rules[row.rule-1].Verdict; got != invariant.Broken {
			t.Errorf("%s: rule %d is %s", row.name, row.rule, got)
		}
	}
}

func TestDaysAreChecked(t *testing.T) {
	good := smallDay("calm")
	for field, spoil := range map[string]func(*Day){
		"trouble": func(d *Day) { d.Scenario = "storm" }, "sidecars": func(d *Day) { d.Sidecars = 3 }, "length": func(d *Day) { d.Length = 0 }, "use": func(d *Day) { d.Utilization = -1 }, "slow start": func(d *Day) { d.SlowStart.InitialCapacity = 0.5 },
	} {
		d := good
		spoil(&d)
		if _, err := Run(d); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
}

// Endpoints of another site start at a seventh of their capacity, take 24 s to warm up and fall over within a second. While they are
// replaced and callers restart, under more requests than the tier can take, the sum of all callers does not overload one.
func TestColdEndpointsOfAnotherSiteAreNotOverloaded(t *testing.T) {
	for _, trouble := range []string{"roll", "join"} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(trouble, seed), func(t *testing.T) {
				d := smallDay(trouble)
				d.Seed, d.Utilization, d.SlowStart = 5+seed, 1, SlowStart{InitialCapacity: 0.14, Duration: 24 * time.Second, OverloadFactor: 3, OverloadWindow: time.Second}
				r := runDay(t, eventloop.NewBalancer, d)
				if rule := r.Rules.Rules[3]; rule.Verdict != invariant.Held {
					t.Errorf("rule 4 is %s, %d times; cold endpoints got at most %.2f of what overloads them", rule.Verdict, rule.ViolationCount, r.PeakColdLoad)
				}
			})
		}
	}
}
