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

// smallDay returns a day that takes a second or two to simulate under the race detector.
func smallDay(scenario string) Day {
	return Day{Seed: 3, Sidecars: 40, Scenario: scenario, Length: 14 * time.Second, Utilization: 0.6}
}

func runDay(t *testing.T, newBalancer eventloop.BalancerFactory, d Day) *Result {
	t.Helper()
	r, err := RunWith(newBalancer, d)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The balancer of package balance keeps all invariants in every scenario, and the same day gives the same result. Each invariant must be
// tested by at least one scenario.
func TestInvariantsHoldInAllScenarios(t *testing.T) {
	tested := [4]bool{}
	for _, scenario := range Scenarios() {
		t.Run(scenario, func(t *testing.T) {
			r := runDay(t, eventloop.NewBalancer, smallDay(scenario))
			if !r.Rules.Held() {
				var b strings.Builder
				_ = r.WriteSummary(&b)
				t.Error(b.String())
			}
			if r.Requests < 500 || r.InTime+r.Late+r.Rejected+r.Failed+r.Lost != r.Requests {
				t.Errorf("got %d requests: %d in time, %d late, %d rejected, %d failed, %d lost; want at least 500, each with one outcome", r.Requests, r.InTime, r.Late, r.Rejected, r.Failed, r.Lost)
			}
			for i, rule := range r.Rules.Rules {
				tested[i] = tested[i] || rule.Verdict != invariant.Untested
			}
			if repeated := runDay(t, eventloop.NewBalancer, smallDay(scenario)); !reflect.DeepEqual(r, repeated) {
				t.Error("two simulations of the same day have different results")
			}
		})
	}
	for i, wasTested := range tested {
		if !wasTested {
			t.Errorf("invariant %d was not tested in any scenario", i+1)
		}
	}
}

// Without faults, at 60 % of the capacity, nearly all requests are served in time and nearly no request needs a second
// attempt.
func TestDayWithoutFaultsIsServed(t *testing.T) {
	r := runDay(t, eventloop.NewBalancer, smallDay("calm"))
	if r.ServedFraction() < 0.97 {
		t.Errorf("%.3f of the offered value is served in time, want at least 0.97", r.ServedFraction())
	}
	for tier := range tiers {
		if a := r.Amplification(tier); a < 0.95 || a > 1.02 {
			t.Errorf("tier %d received %.2f attempts for each that is needed, want 0.95 to 1.02", tier, a)
		}
	}
}

// firstListBalancer is the balancer of package balance, but ignores all endpoint lists and updates after the first list.
type firstListBalancer struct {
	balance.Events
	hasList bool
}

func (b *firstListBalancer) EndpointList(now time.Duration, list balance.EndpointUpdate) {
	if !b.hasList {
		b.hasList = true
		b.Events.EndpointList(now, list)
	}
}

// newestEndpointBalancer is a balancer that sends all requests to the endpoint that started last.
type newestEndpointBalancer struct {
	balance.Events
	host   balance.Host
	newest balance.Endpoint // endpoint that started last of all that were listed as ready
}

func (b *newestEndpointBalancer) EndpointList(now time.Duration, list balance.EndpointUpdate) {
	for _, endpoint := range list.Endpoints {
		if endpoint.State == balance.Ready && endpoint.StartedAt >= b.newest.StartedAt {
			b.newest = endpoint
		}
	}
}

func (b *newestEndpointBalancer) Request(now time.Duration, r balance.Request) {
	b.host.Send(r.ID, b.newest.ID, r.Deadline-now)
}

func (b *newestEndpointBalancer) Outcome(_ time.Duration, o balance.Outcome) {
	if !o.IsFinal && o.Result != balance.OK {
		b.host.Fail(o.ID)
	}
}

func (b *newestEndpointBalancer) Timer(time.Duration) {}

// neverRespondingBalancer is a balancer that accepts requests, but neither sends attempts to endpoints nor responds to the clients.
type neverRespondingBalancer struct{ balance.Events }

func (neverRespondingBalancer) Request(time.Duration, balance.Request) {}

// alwaysRetryingBalancer is a balancer that retries every failed attempt at some other endpoint, even if the attempt may have taken effect.
type alwaysRetryingBalancer struct {
	balance.Events
	host          balance.Host
	endpointIDs   []string       // IDs of all endpoints that were listed as ready
	attemptCounts map[string]int // number of attempts sent, by request ID
}

func (b *alwaysRetryingBalancer) EndpointList(_ time.Duration, list balance.EndpointUpdate) {
	for _, endpoint := range list.Endpoints {
		if endpoint.State == balance.Ready {
			b.endpointIDs = append(b.endpointIDs, endpoint.ID)
		}
	}
}

func (b *alwaysRetryingBalancer) Request(now time.Duration, r balance.Request) { b.send(r.ID) }

// send sends the next attempt of a request to an endpoint that depends on the request's ID and the number of the attempt.
func (b *alwaysRetryingBalancer) send(id string) {
	b.attemptCounts[id]++
	b.host.Send(id, b.endpointIDs[(len(id)+b.attemptCounts[id]*7+int(id[len(id)-1]))%len(b.endpointIDs)], 300*time.Millisecond)
}

func (b *alwaysRetryingBalancer) Outcome(_ time.Duration, o balance.Outcome) {
	switch {
	case o.IsFinal || o.Result == balance.OK:
	case b.attemptCounts[o.ID] < maxAttempts:
		b.send(o.ID)
	default:
		b.host.Fail(o.ID)
	}
}

func (b *alwaysRetryingBalancer) Timer(time.Duration) {}

// Each case uses a balancer that breaks one invariant of package invariant, and the check of the timeline must find the violation.
func TestViolationsOfInvariantsAreFound(t *testing.T) {
	for _, testCase := range []struct {
		name, scenario string
		invariant      int // number of the invariant that the balancer breaks, from 1 to 4
		newBalancer    eventloop.BalancerFactory
	}{
		{"never responds", "calm", 1, func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return neverRespondingBalancer{eventloop.NewBalancer(now, s, h)}
		}},
		{"retries what may have taken effect", "split", 2, func(_ time.Duration, _ balance.Settings, h balance.Host) balance.Events {
			return &alwaysRetryingBalancer{host: h, attemptCounts: map[string]int{}}
		}},
		{"ignores that endpoints drain and go", "join", 3, func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return &firstListBalancer{Events: eventloop.NewBalancer(now, s, h)}
		}},
		{"floods an endpoint that is warming up", "join", 4, func(_ time.Duration, _ balance.Settings, h balance.Host) balance.Events {
			return &newestEndpointBalancer{host: h}
		}},
	} {
		r := runDay(t, testCase.newBalancer, smallDay(testCase.scenario))
		if rule := r.Rules.Rules[testCase.invariant-1]; rule.Verdict != invariant.Broken {
			t.Errorf("%s: the verdict on the rule %q is %s, want %s", testCase.name, rule.Name, rule.Verdict, invariant.Broken)
		}
	}
}

// For an invalid day Run returns an error that begins with the outer name of the invalid field, such as "use", the flag for
// Utilization.
func TestInvalidDaysAreRejected(t *testing.T) {
	valid := smallDay("calm")
	for field, invalidate := range map[string]func(*Day){
		"trouble":    func(d *Day) { d.Scenario = "storm" },
		"sidecars":   func(d *Day) { d.Sidecars = 3 },
		"length":     func(d *Day) { d.Length = 0 },
		"use":        func(d *Day) { d.Utilization = -1 },
		"slow start": func(d *Day) { d.SlowStart.InitialCapacity = 0.5 },
	} {
		d := valid
		invalidate(&d)
		if _, err := Run(d); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("got error %v, want one that begins with %q", err, field)
		}
	}
}

// All sidecars together do not overload an endpoint that is warming up, even if endpoints start at a seventh of their capacity, take 24 s
// to warm up, and are overloaded by too much work within one second. Meanwhile endpoints are replaced or sidecars restart, and the demand
// equals the capacity that the tiers have when all endpoints are warmed up.
func TestSlowlyWarmingEndpointsAreNotOverloaded(t *testing.T) {
	for _, scenario := range []string{"roll", "join"} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(scenario, seed), func(t *testing.T) {
				d := smallDay(scenario)
				d.Seed, d.Utilization, d.SlowStart = 5+seed, 1, SlowStart{InitialCapacity: 0.14, Duration: 24 * time.Second, OverloadFactor: 3, OverloadWindow: time.Second}
				r := runDay(t, eventloop.NewBalancer, d)
				if rule := r.Rules.Rules[3]; rule.Verdict != invariant.Held {
					t.Errorf("the verdict on the rule %q is %s with %d violations, want %s; warming endpoints received at most %.2f of what overloads them", rule.Name, rule.Verdict, rule.ViolationCount, invariant.Held, r.PeakColdLoad)
				}
			})
		}
	}
}
