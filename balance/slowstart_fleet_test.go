package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tuliprock/balance"
)

// Many balancers with little traffic each, on a platform whose endpoints start at a seventh of their capacity, warm up
// slowly and are overloaded within a second.
const (
	fleetBalancers       = 47
	fleetEndpoints       = 120
	fleetRequestRate     = 25.0 // requests per second of each balancer
	fleetInitialCapacity = 0.14
	fleetSlowStart       = 24 * time.Second
	overloadMultiple     = 3.0
	overloadWindow       = time.Second
	warmUtilization      = 1.3 // of full capacity, by an even share of the requests: clients retry what was rejected
	fleetServiceTime     = 50 * ms
)

// balancerFleet drives balancers by one clock and records the attempts at each endpoint that is warming up.
type balancerFleet struct {
	t       *testing.T
	now     time.Duration
	members []*fleetMember
	listed  map[string]balance.Endpoint
	sends   map[string][]time.Duration
}

// fleetMember is the host of one balancer; every attempt succeeds after fleetServiceTime.
type fleetMember struct {
	fleet        *balancerFleet
	balancer     *balance.Balancer
	index        int
	incarnation  int
	requestCount int
	credit       float64 // fraction of the next request that is due
	pending      []pendingOutcome
	timers       []time.Duration
}

type pendingOutcome struct {
	at      time.Duration
	outcome balance.Outcome
}

func (member *fleetMember) Send(id, endpoint string, _ time.Duration) {
	fleet := member.fleet
	if fleet.listed[endpoint].Started > 0 {
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

// newBalancerFleet starts balancers with endpoints at full capacity and runs until they know their own request rate.
func newBalancerFleet(t *testing.T) *balancerFleet {
	t.Helper()
	fleet := &balancerFleet{t: t, now: 1000 * time.Second, listed: map[string]balance.Endpoint{},
		sends: map[string][]time.Duration{}}
	for i := range fleetEndpoints {
		id := fmt.Sprintf("warm%03d", i)
		fleet.listed[id] = balance.Endpoint{ID: id}
	}
	for i := range fleetBalancers {
		member := &fleetMember{fleet: fleet, index: i, credit: float64(i) / fleetBalancers}
		fleet.members = append(fleet.members, member)
		fleet.restart(member)
	}
	fleet.run(10 * time.Second)
	return fleet
}

// restart replaces the balancer of a member; its first list is the complete list as it is now.
func (fleet *balancerFleet) restart(member *fleetMember) {
	member.incarnation++
	member.pending, member.timers = nil, nil
	member.balancer = balance.New(fleet.now, balance.Settings{Seed: uint64(member.index + member.incarnation*1000),
		Balancers: fleetBalancers, Index: member.index, MaxAttempts: 4, TimerResolution: ms,
		SlowStartCapacity: fleetInitialCapacity, SlowStartDuration: fleetSlowStart, Classes: defaultSettings().Classes}, member)
	whole := balance.EndpointUpdate{Complete: true}
	for i := range fleetEndpoints {
		if e, ok := fleet.listed[fmt.Sprintf("warm%03d", i)]; ok {
			whole.Endpoints = append(whole.Endpoints, e)
		}
	}
	for i := range fleetEndpoints {
		if e, ok := fleet.listed[fmt.Sprintf("cold%03d", i)]; ok {
			whole.Endpoints = append(whole.Endpoints, e)
		}
	}
	member.balancer.EndpointList(fleet.now, whole)
}

// updateLists sends a change of the list to all balancers.
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

func (fleet *balancerFleet) run(length time.Duration) {
	for end := fleet.now + length; fleet.now < end; fleet.now += ms {
		for _, member := range fleet.members {
			member.step()
		}
	}
}

// step plays one millisecond.
func (member *fleetMember) step() {
	now := member.fleet.now
	for len(member.pending) > 0 && member.pending[0].at <= now {
		next := member.pending[0]
		member.pending = member.pending[1:]
		member.balancer.Outcome(now, next.outcome)
	}
	due := false
	for i := len(member.timers) - 1; i >= 0; i-- {
		if member.timers[i] <= now {
			member.timers[i] = member.timers[len(member.timers)-1]
			member.timers = member.timers[:len(member.timers)-1]
			due = true
		}
	}
	if due {
		member.balancer.Timer(now)
	}
	if member.credit += fleetRequestRate * ms.Seconds(); member.credit >= 1 {
		member.credit--
		member.requestCount++
		id := fmt.Sprint(member.incarnation, "-", member.requestCount)
		member.balancer.Request(now, balance.Request{ID: id, Class: "read", Deadline: now + 5*time.Second})
	}
}

// worstLoad returns the largest number of attempts within overloadWindow at an endpoint that is warming up, as a fraction
// of what overloads it: N + 2·√N + 2, where N is what its capacity allows then. It returns the number of attempts, too.
func (fleet *balancerFleet) worstLoad() (most float64, sends int) {
	for id, at := range fleet.sends {
		sends += len(at)
		first := 0
		for i, end := range at {
			for at[first] <= end-overloadWindow {
				first++
			}
			progress := min(float64(end-fleet.listed[id].Started)/float64(fleetSlowStart), 1)
			capacity := fleetInitialCapacity + (1-fleetInitialCapacity)*progress
			even := fleetBalancers * fleetRequestRate / fleetEndpoints
			allowed := overloadMultiple * capacity * even / warmUtilization * overloadWindow.Seconds()
			most = max(most, float64(i-first+1)/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return most, sends
}

// The sum of many balancers that each send little must not overload an endpoint that is warming up, whatever makes all of
// them use it at once; and it does get requests.
func TestManyBalancersDoNotOverloadAnEndpointThatIsWarmingUp(t *testing.T) {
	startingEndpoints := func(fleet *balancerFleet, n int) (out []balance.Endpoint) {
		for i := range n {
			out = append(out, balance.Endpoint{ID: fmt.Sprintf("cold%03d", i), Started: fleet.now - time.Second})
		}
		return out
	}
	for _, row := range []struct {
		name string
		play func(fleet *balancerFleet)
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
				var drained []balance.Endpoint
				for i := range 6 {
					id := fmt.Sprintf("warm%03d", 7*(6*step+i)%fleetEndpoints)
					drained = append(drained, balance.Endpoint{ID: id, State: balance.Draining})
				}
				fleet.updateLists(drained...)
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			fleet := newBalancerFleet(t)
			row.play(fleet)
			most, sends := fleet.worstLoad()
			t.Logf("%d attempts at endpoints that are warming up, at most %.2f of what overloads one", sends, most)
			if most > 1 {
				t.Errorf("an endpoint that is warming up got %.2f times what overloads it", most)
			}
			if sends == 0 {
				t.Error("endpoints that are warming up got no request")
			}
		})
	}
}
