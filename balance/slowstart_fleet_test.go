package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tuliprock/balance"
)

// The simulated platform has many balancers with little traffic each. Its endpoints start at a seventh of their capacity and warm
// up slowly. An endpoint is overloaded if it gets more than three times the requests that it can serve, within one second.
const (
	fleetBalancers       = 47
	fleetEndpoints       = 120
	fleetRequestRate     = 25.0             // requests per second that each balancer gets
	fleetInitialCapacity = 0.14             // fraction of its full capacity that an endpoint starts with
	fleetSlowStart       = 24 * time.Second // time in which an endpoint reaches its full capacity
	overloadMultiple     = 3.0              // load that overloads an endpoint, as a multiple of the endpoint's capacity
	overloadWindow       = time.Second      // time over which the load of an endpoint is measured
	warmUtilization      = 1.3              // request rate per endpoint if spread evenly / rate that a warm endpoint can serve; above 1 due to clients' retries
	fleetServiceTime     = 50 * ms          // latency of all attempts
)

// balancerFleet simulates balancers with one clock and records the attempts at each endpoint that is warming up.
type balancerFleet struct {
	t       *testing.T
	now     time.Duration
	members []*fleetMember
	listed  map[string]balance.Endpoint // ready endpoints, by ID
	sends   map[string][]time.Duration  // instants of the attempts at endpoints that are warming up, by endpoint ID
}

// fleetMember is one balancer with its host; every attempt succeeds after fleetServiceTime.
type fleetMember struct {
	fleet        *balancerFleet
	balancer     *balance.Balancer
	index        int              // index of the balancer in the fleet, from 0
	incarnation  int              // number of times that the balancer has been started
	requestCount int              // requests that the balancer has got
	requestsDue  float64          // number of requests due but not sent; grows by fleetRequestRate per second, so it may be a fraction
	pending      []pendingOutcome // outcomes not yet reported to the balancer, in order of time
	timers       []time.Duration  // instants of the timers that have not fired yet
}

// pendingOutcome is an outcome to be reported at the given instant.
type pendingOutcome struct {
	at      time.Duration
	outcome balance.Outcome
}

func (member *fleetMember) Send(id, endpoint string, _ time.Duration) {
	fleet := member.fleet
	if fleet.listed[endpoint].StartedAt > 0 {
		fleet.sends[endpoint] = append(fleet.sends[endpoint], fleet.now)
	}
	member.pending = append(member.pending, pendingOutcome{fleet.now + fleetServiceTime,
		balance.Outcome{ID: id, Endpoint: endpoint, Latency: fleetServiceTime, IsFinal: true}})
}

func (member *fleetMember) Cancel(string, int)            {}
func (member *fleetMember) Reject(string, time.Duration)  {}
func (member *fleetMember) Fail(string)                   {}
func (member *fleetMember) Probe(string)                  {}
func (member *fleetMember) HasIdleConnection(string) bool { return false }
func (member *fleetMember) Subscribe()                    {}
func (member *fleetMember) Timer(at time.Duration)        { member.timers = append(member.timers, at) }
func (member *fleetMember) Log(string)                    {}

// newBalancerFleet starts balancers whose endpoints are all warm, and runs the balancers until they have estimated their request
// rates.
func newBalancerFleet(t *testing.T) *balancerFleet {
	t.Helper()
	fleet := &balancerFleet{t: t, now: 1000 * time.Second, listed: map[string]balance.Endpoint{},
		sends: map[string][]time.Duration{}}
	for i := range fleetEndpoints {
		id := fmt.Sprintf("warm%03d", i)
		fleet.listed[id] = balance.Endpoint{ID: id}
	}
	for i := range fleetBalancers {
		member := &fleetMember{fleet: fleet, index: i, requestsDue: float64(i) / fleetBalancers}
		fleet.members = append(fleet.members, member)
		fleet.restart(member)
	}
	fleet.run(10 * time.Second)
	return fleet
}

// restart replaces the balancer of a member; its first list contains all ready endpoints.
func (fleet *balancerFleet) restart(member *fleetMember) {
	member.incarnation++
	member.pending, member.timers = nil, nil
	member.balancer = balance.New(fleet.now, balance.Settings{Seed: uint64(member.index + member.incarnation*1000),
		BalancerCount: fleetBalancers, BalancerIndex: member.index, MaxAttempts: 4, TimerResolution: ms,
		SlowStartCapacity: fleetInitialCapacity, SlowStartDuration: fleetSlowStart, Classes: defaultSettings().Classes}, member)
	complete := balance.EndpointUpdate{Complete: true}
	for i := range fleetEndpoints {
		if e, ok := fleet.listed[fmt.Sprintf("warm%03d", i)]; ok {
			complete.Endpoints = append(complete.Endpoints, e)
		}
	}
	for i := range fleetEndpoints {
		if e, ok := fleet.listed[fmt.Sprintf("cold%03d", i)]; ok {
			complete.Endpoints = append(complete.Endpoints, e)
		}
	}
	member.balancer.EndpointList(fleet.now, complete)
}

// updateLists reports an update with the given entries to all balancers.
func (fleet *balancerFleet) updateLists(entries ...balance.Endpoint) {
	for _, e := range entries {
		if e.State == balance.Ready {
			fleet.listed[e.ID] = e
		} else {
			delete(fleet.listed, e.ID)
		}
	}
	for _, member := range fleet.members {
		member.balancer.EndpointList(fleet.now, balance.EndpointUpdate{Endpoints: entries})
	}
}

// run advances the time of all balancers by the given duration.
func (fleet *balancerFleet) run(duration time.Duration) {
	for end := fleet.now + duration; fleet.now < end; fleet.now += ms {
		for _, member := range fleet.members {
			member.step()
		}
	}
}

// step reports the events of one millisecond to the balancer.
func (member *fleetMember) step() {
	now := member.fleet.now
	for len(member.pending) > 0 && member.pending[0].at <= now {
		nextOutcome := member.pending[0]
		member.pending = member.pending[1:]
		member.balancer.Outcome(now, nextOutcome.outcome)
	}
	isTimerDue := false
	for i := len(member.timers) - 1; i >= 0; i-- {
		if member.timers[i] <= now {
			member.timers[i] = member.timers[len(member.timers)-1]
			member.timers = member.timers[:len(member.timers)-1]
			isTimerDue = true
		}
	}
	if isTimerDue {
		member.balancer.Timer(now)
	}
	if member.requestsDue += fleetRequestRate * ms.Seconds(); member.requestsDue >= 1 {
		member.requestsDue--
		member.requestCount++
		id := fmt.Sprint(member.incarnation, "-", member.requestCount)
		member.balancer.Request(now, balance.Request{ID: id, Class: "read", Deadline: now + 5*time.Second})
	}
}

// worstLoad returns the largest number of attempts within overloadWindow at an endpoint that is warming up, divided by the
// number allowed, which is N + 2·√N + 2. N is overloadMultiple times the capacity that the endpoint has at the time, and the rest
// is a tolerance for random variation. worstLoad also returns the number of all attempts.
func (fleet *balancerFleet) worstLoad() (worstRatio float64, sends int) {
	for id, at := range fleet.sends {
		sends += len(at)
		windowStart := 0
		for i, end := range at {
			for at[windowStart] <= end-overloadWindow {
				windowStart++
			}
			warmUpProgress := min(float64(end-fleet.listed[id].StartedAt)/float64(fleetSlowStart), 1)
			capacity := fleetInitialCapacity + (1-fleetInitialCapacity)*warmUpProgress
			evenRate := fleetBalancers * fleetRequestRate / fleetEndpoints
			overloadCount := overloadMultiple * capacity * evenRate / warmUtilization * overloadWindow.Seconds()
			worstRatio = max(worstRatio, float64(i-windowStart+1)/(overloadCount+2*math.Sqrt(overloadCount)+2))
		}
	}
	return worstRatio, sends
}

// Many balancers that each send few requests must not overload an endpoint that is warming up, not even if an event makes
// all balancers use the endpoint at once. The endpoint must still get requests.
func TestManyBalancersDoNotOverloadAnEndpointThatIsWarmingUp(t *testing.T) {
	startingEndpoints := func(fleet *balancerFleet, n int) (endpoints []balance.Endpoint) {
		for i := range n {
			endpoints = append(endpoints, balance.Endpoint{ID: fmt.Sprintf("cold%03d", i), StartedAt: fleet.now - time.Second})
		}
		return endpoints
	}
	for _, row := range []struct {
		name string
		run  func(fleet *balancerFleet)
	}{
		{"new endpoints are listed", func(fleet *balancerFleet) {
			fleet.updateLists(startingEndpoints(fleet, 8)...)
			fleet.run(4 * time.Second)
		}},
		{"balancers restart while endpoints are warming up", func(fleet *balancerFleet) {
			fleet.updateLists(startingEndpoints(fleet, 8)...)
			for _, member := range fleet.members[:fleetBalancers*7/10] {
				fleet.restart(member)
			}
			fleet.run(4 * time.Second)
		}},
		{"the list changes repeatedly while endpoints are warming up", func(fleet *balancerFleet) {
			fleet.updateLists(startingEndpoints(fleet, 8)...)
			for step := range 8 {
				fleet.run(500 * time.Millisecond)
				var draining []balance.Endpoint
				for i := range 6 {
					id := fmt.Sprintf("warm%03d", 7*(6*step+i)%fleetEndpoints)
					draining = append(draining, balance.Endpoint{ID: id, State: balance.Draining})
				}
				fleet.updateLists(draining...)
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			fleet := newBalancerFleet(t)
			row.run(fleet)
			worstRatio, sends := fleet.worstLoad()
			t.Logf("%d attempts at endpoints that are warming up; one got %.2f times the load that overloads it", sends, worstRatio)
			if worstRatio > 1 {
				t.Errorf("an endpoint that is warming up got %.2f times the load that overloads it, want 1 at most", worstRatio)
			}
			if sends == 0 {
				t.Error("endpoints that are warming up got no request, want at least 1")
			}
		})
	}
}
