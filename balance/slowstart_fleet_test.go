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
	coldCallers      = 47
	coldEndpoints    = 120
	coldCallerRate   = 25.0 // requests a second
	coldFrom         = 0.14
	coldFor          = 24 * time.Second
	coldFallMultiple = 3.0
	coldFallWindow   = time.Second
	coldUse          = 1.3 // of a warm endpoint's capacity, by an even share of the requests: clients repeat what was refused
	coldServiceTime  = 50 * ms
)

// coldFleet plays the callers against one clock and remembers what each cold endpoint was sent.
type coldFleet struct {
	t       *testing.T
	now     time.Duration
	callers []*coldCaller
	list    map[string]balance.Endpoint
	sends   map[string][]time.Duration
}

// coldCaller is the host of one Balancer; every attempt succeeds after coldServiceTime.
type coldCaller struct {
	fleet    *coldFleet
	balancer *balance.Balancer
	index    int
	life     int
	requests int
	credit   float64 // of the next request
	pending  []coldOutcome
	timers   []time.Duration
}

type coldOutcome struct {
	at      time.Duration
	outcome balance.Outcome
}

func (c *coldCaller) Send(id, endpoint string, _ time.Duration) {
	f := c.fleet
	if f.list[endpoint].Started > 0 {
		f.sends[endpoint] = append(f.sends[endpoint], f.now)
	}
	c.pending = append(c.pending, coldOutcome{f.now + coldServiceTime, balance.Outcome{ID: id, Endpoint: endpoint, Took: coldServiceTime, Final: true}})
}

func (c *coldCaller) Cancel(string, int)           {}
func (c *coldCaller) Refuse(string, time.Duration) {}
func (c *coldCaller) Fail(string)                  {}
func (c *coldCaller) Probe(string)                 {}
func (c *coldCaller) Idle(string) bool             { return false }
func (c *coldCaller) Subscribe()                   {}
func (c *coldCaller) Timer(at time.Duration)       { c.timers = append(c.timers, at) }
func (c *coldCaller) Log(string)                   {}

// newColdFleet starts callers that know of warm endpoints and runs until they know their own rate.
func newColdFleet(t *testing.T) *coldFleet {
	t.Helper()
	f := &coldFleet{t: t, now: 1000 * time.Second, list: map[string]balance.Endpoint{}, sends: map[string][]time.Duration{}}
	for i := range coldEndpoints {
		id := fmt.Sprintf("warm%03d", i)
		f.list[id] = balance.Endpoint{ID: id}
	}
	for i := range coldCallers {
		c := &coldCaller{fleet: f, index: i, credit: float64(i) / coldCallers}
		f.callers = append(f.callers, c)
		f.restart(c)
	}
	f.run(10 * time.Second)
	return f
}

// restart begins a caller's life anew, with the whole list as it is now.
func (f *coldFleet) restart(c *coldCaller) {
	c.life++
	c.pending, c.timers = nil, nil
	c.balancer = balance.New(f.now, balance.Settings{Seed: uint64(c.index + c.life*1000), Balancers: coldCallers, Index: c.index, MaxAttempts: 4, Resolution: ms,
		ColdFrom: coldFrom, ColdFor: coldFor, Classes: basic().Classes}, c)
	whole := balance.List{Complete: true}
	for i := range coldEndpoints {
		if e, ok := f.list[fmt.Sprintf("warm%03d", i)]; ok {
			whole.Entries = append(whole.Entries, e)
		}
	}
	for i := range coldEndpoints {
		if e, ok := f.list[fmt.Sprintf("cold%03d", i)]; ok {
			whole.Entries = append(whole.Entries, e)
		}
	}
	c.balancer.EndpointList(f.now, whole)
}

// change tells all callers of a change of the list.
func (f *coldFleet) change(entries ...balance.Endpoint) {
	for _, e := range entries {
		if e.State == balance.Ready {
			f.list[e.ID] = e
		} else {
			delete(f.list, e.ID)
		}
	}
	for _, c := range f.callers {
		c.balancer.EndpointList(f.now, balance.List{Entries: entries})
	}
}

func (f *coldFleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; f.now += ms {
		for _, c := range f.callers {
			c.step()
		}
	}
}

// step does what is due for a caller in one millisecond.
func (c *coldCaller) step() {
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
	if c.credit += coldCallerRate * ms.Seconds(); c.credit >= 1 {
		c.credit--
		c.requests++
		c.balancer.Request(now, balance.Request{ID: fmt.Sprint(c.life, "-", c.requests), Class: "read", Deadline: now + 5*time.Second})
	}
}

// worst is the largest load of a cold endpoint within the window, in what makes it fall over: N + 2 x root of N + 2 requests, N
// being what it may get then.
func (f *coldFleet) worst() (most float64, sends int) {
	for id, at := range f.sends {
		sends += len(at)
		first := 0
		for i, end := range at {
			for at[first] <= end-coldFallWindow {
				first++
			}
			warmth := coldFrom + (1-coldFrom)*min(float64(end-f.list[id].Started)/float64(coldFor), 1)
			even := coldCallers * coldCallerRate / coldEndpoints
			allowed := coldFallMultiple * warmth * even / coldUse * coldFallWindow.Seconds()
			most = max(most, float64(i-first+1)/(allowed+2*math.Sqrt(allowed)+2))
		}
	}
	return most, sends
}

// Cold endpoints are not overloaded by the sum of many callers, each of which sends little, whatever brings the endpoints to all of
// them at once; and they do get calls.
func TestManyCallersDoNotOverloadAColdEndpoint(t *testing.T) {
	coldOnes := func(f *coldFleet, n int) (out []balance.Endpoint) {
		for i := range n {
			out = append(out, balance.Endpoint{ID: fmt.Sprintf("cold%03d", i), Started: f.now - time.Second})
		}
		return out
	}
	for _, row := range []struct {
		name string
		play func(f *coldFleet)
	}{
		{"new endpoints are listed", func(f *coldFleet) {
			f.change(coldOnes(f, 8)...)
			f.run(4 * time.Second)
		}},
		{"callers restart while endpoints are cold", func(f *coldFleet) {
			f.change(coldOnes(f, 8)...)
			for _, c := range f.callers[:coldCallers*7/10] {
				f.restart(c)
			}
			f.run(4 * time.Second)
		}},
		{"the list changes again and again while endpoints are cold", func(f *coldFleet) {
			f.change(coldOnes(f, 8)...)
			for step := range 8 {
				f.run(500 * time.Millisecond)
				var drained []balance.Endpoint
				for i := range 6 {
					drained = append(drained, balance.Endpoint{ID: fmt.Sprintf("warm%03d", 7*(6*step+i)%coldEndpoints), State: balance.Draining})
				}
				f.change(drained...)
			}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newColdFleet(t)
			row.play(f)
			most, sends := f.worst()
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
