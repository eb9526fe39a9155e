package balance_test

import (
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

// All balancers learn of a start at the same time.
func TestTwentyBalancersDoNotOverloadAnEndpointThatIsWarmingUp(t *testing.T) {
	const balancers, perSecond = 20, 5.0
	names := []string{}
	for i := range 9 {
		names = append(names, "e"+strconv.Itoa(i))
	}
	got := [12]int{}
	for c := range balancers {
		s := defaultSettings()
		h := newHarness(t, s, names...)
		h.balancer = balance.New(h.now, balance.Settings{Seed: uint64(c), Balancers: balancers, Index: c, MaxAttempts: 4, TimerResolution: ms,
			SlowStartCapacity: 0.3, SlowStartDuration: 9 * time.Second, Classes: s.Classes}, h)
		l := balance.EndpointUpdate{Complete: true}
		for _, id := range names {
			l.Endpoints = append(l.Endpoints, balance.Endpoint{ID: id})
		}
		h.balancer.EndpointList(h.now, l)
		step := func() string {
			id, ep := h.request("read")
			h.advance(50 * ms)
			h.finish(id, balance.OK)
			h.advance(time.Second/time.Duration(perSecond) - 50*ms)
			return ep
		}
		for range 30 {
			step()
		}
		start := h.now
		h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "cold", Started: start}}})
		for h.now < start+11*time.Second {
			if at := (h.now - start) / time.Second; step() == "cold" {
				got[at]++
			}
		}
	}
	even := balancers * perSecond / 10 // requests a second to each endpoint
	for at := range 11 {               // the end of the slow start included (incident id93449)
		warm := min(0.3+0.7*float64(at+1)/9, 1)
		if n := float64(got[at]); n > even*warm*2+4 {
			t.Errorf("second %d: the endpoint got %v requests, an even counts of its capacity is %v", at, n, even*warm)
		}
	}
	if got[0] == 0 && got[1] == 0 && got[2] == 0 || got[10] < int(even/2) {
		t.Errorf("the endpoint did not come into use: %v", got)
	}
}

// Rule 4 of the platform: an endpoint that is warming up gets about its counts, whatever the request rate.
func TestRequestsToAnEndpointThatIsWarmingUpArePaced(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c")
	latency := map[string]time.Duration{"a": 20 * ms, "b": 20 * ms, "c": 20 * ms, "new": 20 * ms}
	h.serve(300, latency)
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "new", Started: h.now}}})
	counts := h.serve(150, latency)
	if counts["new"] == 0 || counts["new"] > 150/4*2/3 {
		t.Errorf("the new one of four endpoints got %d of 150 requests", counts["new"])
	}
}

// An endpoint that reset its connections went down: it warms up when it returns, whatever the list says of its start.
func TestEndpointWarmsUpAfterAReset(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c")
	latency := map[string]time.Duration{"a": 20 * ms, "b": 20 * ms, "c": 20 * ms}
	h.serve(300, latency)
	for ep := ""; ep != "c"; {
		var id string
		id, ep = h.request("bill")
		h.advance(20 * ms)
		if ep == "c" {
			h.finish(id, balance.Reset)
		} else {
			h.finish(id, balance.OK)
		}
	}
	h.serve(30, latency)
	if counts := h.serve(60, latency); counts["c"] > 60/3*2/3 {
		t.Errorf("an endpoint that went down got %d of 60 requests", counts["c"])
	}
}
