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

// small is a day that takes a second or two under the race detector.
func small(trouble string) Day {
	return Day{Seed: 3, Sidecars: 40, Scenario: trouble, Length: 14 * time.Second, Utilization: 0.6}
}

func play(t *testing.T, decide eventloop.BalancerFactory, d Day) *Result {
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
			r := play(t, eventloop.NewBalancer, small(trouble))
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
			if again := play(t, eventloop.NewBalancer, small(trouble)); !reflect.DeepEqual(r, again) {
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
	r := play(t, eventloop.NewBalancer, small("calm"))
	if r.ServedFraction() < 0.97 {
		t.Errorf("%.3f of the worth is served in time", r.ServedFraction())
	}
	for tier := range tiers {
		if a := r.Amplification(tier); a < 0.95 || a > 1.02 {
			t.Errorf("tier %d: %.2f attempts for each that is needed", tier, a)
		}
	}
}

// deaf is the module, but hears its first list only.
type deaf struct {
	balance.Events
	heard bool
}

func (d *deaf) EndpointList(now time.Duration, l balance.EndpointUpdate) {
	if !d.heard {
		d.heard = true
		d.Events.EndpointList(now, l)
	}
}

// eager sends all that it has to the endpoint that started last.
type eager struct {
	balance.Events
	host   balance.Host
	newest balance.Endpoint
}

func (e *eager) EndpointList(now time.Duration, l balance.EndpointUpdate) {
	for _, in := range l.Endpoints {
		if in.State == balance.Ready && in.Started >= e.newest.Started {
			e.newest = in
		}
	}
}

func (e *eager) Request(now time.Duration, r balance.Request) {
	e.host.Send(r.ID, e.newest.ID, r.Deadline-now)
}

func (e *eager) Outcome(_ time.Duration, o balance.Outcome) {
	if !o.IsFinal && o.Result != balance.OK {
		e.host.Fail(o.ID)
	}
}

func (e *eager) Timer(time.Duration) {}

// silent takes requests and never answers.
type silent struct{ balance.Events }

func (silent) Request(time.Duration, balance.Request) {}

// twice sends what may have run once more, anywhere.
type twice struct {
	balance.Events
	host  balance.Host
	ids   []string
	sends map[string]int
}

func (b *twice) EndpointList(_ time.Duration, l balance.EndpointUpdate) {
	for _, in := range l.Endpoints {
		if in.State == balance.Ready {
			b.ids = append(b.ids, in.ID)
		}
	}
}

func (b *twice) Request(now time.Duration, r balance.Request) { b.send(r.ID) }

func (b *twice) send(id string) {
	b.sends[id]++
	b.host.Send(id, b.ids[(len(id)+b.sends[id]*7+int(id[len(id)-1]))%len(b.ids)], 300*time.Millisecond)
}

func (b *twice) Outcome(_ time.Duration, o balance.Outcome) {
	switch {
	case o.IsFinal || o.Result == balance.OK:
	case b.sends[o.ID] < maxAttempts:
		b.send(o.ID)
	default:
		b.host.Fail(o.ID)
	}
}

func (b *twice) Timer(time.Duration) {}

// Each rule is seen broken where it is.
func TestBadDecidersAreSeen(t *testing.T) {
	for _, row := range []struct {
		name, trouble string
		rule          int
		decide        eventloop.BalancerFactory
	}{
		{"one that answers nothing", "calm", 1, func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return silent{eventloop.NewBalancer(now, s, h)}
		}},
		{"one that sends twice", "split", 2, func(_ time.Duration, _ balance.Settings, h balance.Host) balance.Events {
			return &twice{host: h, sends: map[string]int{}}
		}},
		{"one that hears nothing", "join", 3, func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return &deaf{Events: eventloop.NewBalancer(now, s, h)}
		}},
		{"one that floods what is cold", "join", 4, func(_ time.Duration, _ balance.Settings, h balance.Host) balance.Events { return &eager{host: h} }},
	} {
		r := play(t, row.decide, small(row.trouble))
		if got := r.Rules.Rules[row.rule-1].Verdict; got != invariant.Broken {
			t.Errorf("%s: rule %d is %s", row.name, row.rule, got)
		}
	}
}

func TestDaysAreChecked(t *testing.T) {
	good := small("calm")
	for field, spoil := range map[string]func(*Day){
		"trouble": func(d *Day) { d.Scenario = "storm" }, "sidecars": func(d *Day) { d.Sidecars = 3 }, "length": func(d *Day) { d.Length = 0 }, "use": func(d *Day) { d.Utilization = -1 }, "cold": func(d *Day) { d.SlowStart.InitialCapacity = 0.5 },
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
				d := small(trouble)
				d.Seed, d.Utilization, d.SlowStart = 5+seed, 1, SlowStart{InitialCapacity: 0.14, Duration: 24 * time.Second, OverloadFactor: 3, OverloadWindow: time.Second}
				r := play(t, eventloop.NewBalancer, d)
				if rule := r.Rules.Rules[3]; rule.Verdict != invariant.Held {
					t.Errorf("rule 4 is %s, %d times; cold endpoints got at most %.2f of what overloads them", rule.Verdict, rule.ViolationCount, r.PeakColdLoad)
				}
			})
		}
	}
}
