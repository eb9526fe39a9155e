package balance_test

import (
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

// All balancers are notified of a new endpoint at the same time. Together they must not overload it while it is warming up.
func TestTwentyBalancersDoNotOverloadAnEndpointThatIsWarmingUp(t *testing.T) {
	const balancers, requestsPerSecond = 20, 5.0
	names := []string{}
	for i := range 9 {
		names = append(names, "e"+strconv.Itoa(i))
	}
	requests := [12]int{} // requests at the new endpoint, by the second after its start
	for c := range balancers {
		s := defaultSettings()
		h := newHarness(t, s, names...)
		h.balancer = balance.New(h.now, balance.Settings{Seed: uint64(c), BalancerCount: balancers, BalancerIndex: c, MaxAttempts: 4, TimerResolution: ms,
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
			h.advance(time.Second/time.Duration(requestsPerSecond) - 50*ms)
			return ep
		}
		for range 30 {
			step()
		}
		startedAt := h.now
		h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "new", StartedAt: startedAt}}})
		for h.now < startedAt+11*time.Second {
			if at := (h.now - startedAt) / time.Second; step() == "new" {
				requests[at]++
			}
		}
	}
	evenRate := balancers * requestsPerSecond / 10 // requests per second at each of ten endpoints if all were warm
	for at := range 11 {                           // includes the end of the slow start, which is after 9 s (incident id93449)
		capacity := min(0.3+0.7*float64(at+1)/9, 1)
		if n := float64(requests[at]); n > evenRate*capacity*2+4 {
			t.Errorf("in second %d the endpoint got %v requests, want %v at most", at, n, evenRate*capacity*2+4)
		}
	}
	if requests[0] == 0 && requests[1] == 0 && requests[2] == 0 || requests[10] < int(evenRate/2) {
		t.Errorf("the endpoint got %v requests by second, want at least 1 in the first three seconds and at least %d in the last", requests, int(evenRate/2))
	}
}

// An endpoint that is warming up must not be overloaded at any request rate: it gets requests in proportion to its capacity.
func TestRequestsToAnEndpointThatIsWarmingUpArePaced(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c")
	latency := map[string]time.Duration{"a": 20 * ms, "b": 20 * ms, "c": 20 * ms, "new": 20 * ms}
	h.serve(300, latency)
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "new", StartedAt: h.now}}})
	counts := h.serve(150, latency)
	if counts["new"] == 0 || counts["new"] > 150/4*2/3 {
		t.Errorf("the new one of four endpoints got %d of 150 requests, want 1 to %d", counts["new"], 150/4*2/3)
	}
}

// An endpoint that resets a connection is assumed to have restarted: it warms up when it responds again, whatever start time
// the list gives.
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
		t.Errorf("the endpoint that reset a connection got %d of 60 requests, want %d at most", counts["c"], 60/3*2/3)
	}
}
