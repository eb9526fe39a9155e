package balance_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"tuliprock/balance"
)

// A fleet of quiet callers before a tier, on a platform whose endpoints start at a seventh of their capacity, take long to warm up
// and fall over within a second.
const (
	fleetBalancers       = 47
	fleetEndpoints       = 120
	fleetRequestRate     = 25.0 // requests a second
	fleetInitialCapacity = 0.14
	fleetSlowStart       = 24 * time.Second
	overloadMultiple     = 3.0
	overloadWindow       = time.Second
	warmUtilization      = 1.3 // of a warm endpoint's capacity, by an even share of the requests: clients repeat what was refused
	fleetServiceTime     = 50 * ms
)

// balancerFleet plays the callers against one clock and remembers what each cold endpoint was sent.
type balancerFleet struct {
	t       *testing.T
	now     time.Duration
	members []*fleetMember
	listed  map[string]balance.Endpoint
	sends   map[string][]time.Duration
}

// fleetMember is the host of one Balancer; every attempt succeeds after coldServiceTime.
type fleetMember struct {
	fleet        *balancerFleet
	balancer     *balance.Balancer
	index        int
	incarnation  int
	requestCount int
	credit       float64 // of the next request
	pending      []pendingOutcome
	timers       []time.Duration
}

type pendingOutcome struct {
	at      time.Duration
	outcome balance.Outcome
}

func (c *fleetMember) Send(id, endpoint string, _ time.Duration) {
	f := c.fleet
	if f.listed[endpoint].Started > 0 {
		f.sends[endpoint] = append(f.sends[endpoint], f.now)
	}
	c.pending = append(c.pending, pendingOutcome{f.now + fleetServiceTime, balance.Outcome{ID: id, Endpoint: endpoint, Took: fleetServiceTime, Final: true}})
}

func (c *fleetMember) Cancel(string, int)           {}
func (c *fleetMember) Refuse(string, time.Duration) {}
func (c *fleetMember) Fail(string)                  {}
func (c *fleetMember) Probe(string)                 {}
func (c *fleetMember) Idle(string) bool             { return false }
func (c *fleetMember) Subscribe()                   {}
func (c *fleetMember) Timer(at time.Duration)       { c.timers = append(c.timers, at) }
func (c *fleetMember) Log(string)                   {}

// newBalancerFleet starts callers that know of warm endpoints and runs until they know their own rate.
func newBalancerFleet(t *testing.T) *balancerFleet {
	t.Helper()
	f := &balancerFleet{t: t, now: 1000 * time.Second, listed: map[string]balance.Endpoint{}, sends: map[string][]time.Duration{}}
	for i := range fleetEndpoints {
		id := fmt.Sprintf("warm%03d", i)
		f.listed[id] = balance.Endpoint{ID: id}
	}
	for i := range fleetBalancers {
		c := &fleetMember{fleet: f, index: i, credit: float64(i) / fleetBalancers}
		f.members = append(f.members, c)
		f.restart(c)
	}
	f.run(10 * time.Second)
	return f
}

// restart begins a caller's life anew, with the whole list as it is now.
func (f *balancerFleet) restart(c *fleetMember) {
	c.incarnation++
	c.pending, c.timers = nil, nil
	c.balancer = balance.New(f.now, balance.Settings{Seed: uint64(c.index + c.incarnation*1000), Balancers: fleetBalancers, Index: c.index, MaxAttempts: 4, Resolution: ms,
		ColdFrom: fleetInitialCapacity, ColdFor: fleetSlowStart, Classes: defaultSettings().Classes}, c)
	whole := balance.List{Complete: true}
	for i := range fleetEndpoints {
		if e, ok := f.listed[fmt.Sprintf("warm%03d", i)]; ok {
			whole.Entries = append(whole.Entries, e)
		}
	}
	for i := range fleetEndpoints {
		if e, ok := f.listed[fmt.Sprintf("cold%03d", i)]; ok {
			whole.Entries = append(whole.Entries, e)
		}
	}
	c.balancer.EndpointList(f.now, whole)
}

// updateLists tells all callers of a change of the list.
func (f *balancerFleet) updateLists(entries ...balance.Endpoint) {
	for _, e := range entries {
		if e.State == balance.Ready {
			f.listed[e.ID] = e
		} else {
			delete(f.listed, e.ID)
		}
	}
	for _, c := range f.members {
		c.balancer.EndpointList(f.now, balance.List{Entries: entries})
	}
}

func (f *balancerFleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += ms {
		for _, c := range f.members {
			c.step()
		}
	}
}

// step does what is due for a caller in one millisecond.
func (c *fleetMember) step() {
	now := c.fleet.now
	for len(c.pending) > 0 && c.pending[0].at <= now {
		next := c.pending[0]
		c.pending = c.pending[1:]
		c.balancer.Outcome(now, next.outcome)
	}
	due := false
	for i := len(c.timers) - 1; i >= 0; i-- {
		if c.timers[i] <= now {
			c.timers[i] = c.timers[len(c.timers)-1]
			c.timers = c.timers[:len(c.timers)-1]
			due = true
		}
	}
	if due {
		c.balancer.Timer(now)
	}
	if c.credit += fleetRequestRate * ms.Seconds(); c.credit >= 1 {
		c.credit--
		c.requestCount++
		c.balancer.Request(now, balance.Request{ID: fmt.Sprint(c.incarnation, "-", c.requestCount), Class: "read", Deadline: now + 5*time.Second})
	}
}

// worstLoad is the largest load of a cold endpoint within the window, in what makes it fall over: N + 2 x root of N + 2 requests, N
// being what it may get then.
func (f *balancerFleet) worstLoad() (most float64, sends int) {
	for id, at := range f.sends {
		sends += len(at)
		first := 0
		for i, end := range at {
			for at[first] <= end-overloadWindow {
				first++
			}
			warmth := fleetInitialCapacity + (1-fleetInitialCapacity)*min(float64(end-f.listed[id].Started)/float64(fleetSlowStart), 1)
			even := fleetBalancers * fleetRequestRate / fleetEndpoints
			allowed := overloadMultiple * warmth * even / warmUtilization * overloadWindow.Seconds()
			most = max(most, float64(i-first+1)/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return most, sends
}

// Cold endpoints are not overloaded by the sum of many callers, each of which sends little, whatever brings the endpoints to all of
// them at once; and they do get calls.
func TestManyBalancersDoNotOverloadAnEndpointThatIsWarmingUp(t *testing.T) {
	coldOnes := func(f *balancerFleet, n int) (out []balance.Endpoint) {
		for i := range n {
			out = append(out, balance.Endpoint{ID: fmt.Sprintf("cold%03d", i), Started: f.now - time.Second})
		}
		return out
	}
	for _, row := range []struct {
		name string
		play func(f *balancerFleet)
	}{
		{"new endpoints are listed", func(f *balancerFleet) {
			f.updateLists(coldOnes(f, 8)...)
			f.run(4 * time.Second)
		}},
		{"callers restart while endpoints are cold", func(f *balancerFleet) {
			f.updateLists(coldOnes(f, 8)...)
			for _, c := range f.members[:fleetBalancers*7/10] {
				f.restart(c)
			}
			f.run(4 * time.Second)
		}},
		{"the list changes again and again while endpoints are cold", func(f *balancerFleet) {
			f.updateLists(coldOnes(f, 8)...)
			for step := range 8 {
				f.run(500 * time.Millisecond)
				var drained []balance.Endpoint
				for i := range 6 {
					drained = append(drained, balance.Endpoint{ID: fmt.Sprintf("warm%03d", 7*(6*step+i)%fleetEndpoints), State: balance.Draining})
				}
				f.updateLists(drained...)
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newBalancerFleet(t)
			row.play(f)
			most, sends := f.worstLoad()
			t.Logf("%d calls to cold endpoints, at most %.2f of what overloads one", sends, most)
			if most > 1 {
				t.Errorf("a cold endpoint got %.2f times what overloads it", most)
			}
			if sends == 0 {
				t.Error("cold endpoints got nothing")
			}
		})
	}
}
