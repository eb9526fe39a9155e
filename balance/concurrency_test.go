package balance_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// In h36c04c a burst saturated the endpoints while balancers with a few requests a second smoothed twenty responses before
// any of them reduced its limit.
func TestQuietBalancerReducesItsLimitWithinTwoSeconds(t *testing.T) {
	s := defaultSettings()
	s.Balancers = 10
	h := newHarness(t, s, "a", "b", "c", "d")
	due := map[string]time.Duration{}
	ask := func(took time.Duration, n int) (out int) {
		for range n * 50 {
			if h.now%(250*ms) < 10*ms {
				if id, ep := h.request("read"); ep != "" {
					due[id] = h.now + took
				}
			}
			h.advance(10 * ms)
			for _, id := range slices.Sorted(maps.Keys(due)) {
				if h.now >= due[id] {
					h.finish(id, balance.OK)
					delete(due, id)
				}
			}
			out = max(out, len(due))
		}
		return out
	}
	ask(200*ms, 40)
	ask(1200*ms, 4) // two seconds of responses six times as slow
	if out := ask(1200*ms, 2); out > 3 {
		t.Errorf("%d attempts are in flight after two seconds of slow responses", out)
	}
}

// offerLoad makes a request every gap for a while. Each endpoint serves one request at a time and takes work for it. It
// returns the most requests that an endpoint had in the second half of that time, and how many were served.
func (h *harness) offerLoad(gap, work, long time.Duration, endpoints ...string) (most, answered int) {
	queue, busy, begun := map[string][]string{}, map[string]time.Duration{}, h.now
	for h.now < begun+long {
		if id, ep := h.request("read"); ep != "" {
			queue[ep] = append(queue[ep], id)
		}
		for next := h.now + gap; h.now < next; {
			sent := len(h.actions)
			h.advance(ms)
			for _, ep := range endpoints {
				if busy[ep] += ms; busy[ep] >= work || len(queue[ep]) == 0 {
					busy[ep] = 0
					if len(queue[ep]) > 0 {
						id := queue[ep][0]
						queue[ep] = queue[ep][1:]
						h.finish(id, balance.OK)
						answered++
					}
				}
			}
			for _, d := range h.actions[sent:] { // queued requests that were sent since
				if f := strings.Fields(d); f[0] == "send" && !slices.Contains(queue[f[2]], f[1]) {
					queue[f[2]] = append(queue[f[2]], f[1])
				}
			}
			for _, ep := range endpoints {
				if h.now > begun+long/2 {
					most = max(most, len(queue[ep]))
				}
			}
		}
	}
	return most, answered
}

// In i2b2df6 and on many overloaded days endpoints became slow while the limit still grew.
func TestOverloadDoesNotCrowdEndpoints(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.offerLoad(30*ms, 20*ms, 3*time.Second, "a", "b")
	if h.countActions("refuse") > 0 {
		t.Fatal("rejected at a third of what the endpoints can serve")
	}
	most, answered := h.offerLoad(5*ms, 20*ms, 6*time.Second, "a", "b")
	if most > 5 {
		t.Errorf("an endpoint that serves one request at a time had %d", most)
	}
	if answered < 540 {
		t.Errorf("%d requests served of the 600 that could be", answered)
	}
	if h.countActions("refuse") < 400 {
		t.Errorf("only %d rejected at twice the load", h.countActions("refuse"))
	}
}

// i72d39d and i2623e0: first-tier balancers that each admit what all endpoints can serve saturate them in two seconds.
func TestFirstTierBalancersShareTheInitialConcurrencyLimit(t *testing.T) {
	sends := func(balancers, tier int) int {
		s := defaultSettings()
		s.Balancers, s.Tier = balancers, tier
		h := newHarness(t, s, "a", "b", "c", "d", "e", "f", "g", "h")
		for range 100 {
			h.request("read")
		}
		return h.countActions("send")
	}
	alone, four, below := sends(1, 0), sends(4, 0), sends(4, 1)
	if four > alone/4+1 || four < alone/4-1 {
		t.Errorf("alone a balancer sends %d requests at once, beside three others %d", alone, four)
	}
	if below != alone {
		t.Errorf("behind the first tier a balancer sends %d requests at once, alone %d", below, alone)
	}
}

// mostInFlight requests more than the limit admits, all served after 100 ms, and returns how many were in flight at once.
func (h *harness) mostInFlight(long time.Duration) (most int) {
	var out []string
	seen := 0
	for begun := h.now; h.now < begun+long; h.advance(ms) {
		for len(out) > 0 && h.now >= h.sentAt[out[0]]+100*ms {
			h.finish(out[0], balance.OK)
			out = out[1:]
		}
		if h.requestCount%2 == 0 || h.now%(3*ms) == 0 {
			h.request("read")
		}
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				out = append(out, f[1])
			}
		}
		most = max(most, len(out))
	}
	return most
}

// On days without overload a sixth of the requests was rejected in the first tier, while latencies were at their baseline:
// clients are spread unevenly, and a balancer with several times the mean rate must soon have the limit for it.
func TestFirstTierLimitGrowsFasterWhileResponsesDoNotStretch(t *testing.T) {
	grown := func(tier int) int {
		s := defaultSettings()
		s.Tier = tier
		return newHarness(t, s, "a", "b").mostInFlight(900 * ms)
	}
	front, below := grown(0), grown(1)
	if front < below+(below-12)/2 { // the initial limit of both is 12
		t.Errorf("after 0.9 s %d attempts are in flight in the first tier, %d in another", front, below)
	}
}

// At the start of the standard days the first responses are those of the cheapest requests. Taken as the baseline, they
// made every later response look slow, and requests were rejected with capacity to spare.
func TestFastFirstResponsesDoNotBecomeTheBaseline(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	due := map[string]time.Duration{}
	seen, n, begun := 0, 0, h.now
	for ; h.now < begun+6*time.Second; h.advance(ms) {
		for _, id := range slices.Sorted(maps.Keys(due)) {
			if h.now >= due[id] {
				delete(due, id)
				h.finish(id, balance.OK)
			}
		}
		for asked := 0; len(due)+asked < 22; asked++ {
			if _, ep := h.request("read"); ep == "" && h.now > begun+3*time.Second {
				t.Fatalf("request %d is queued after %v", h.requestCount, h.now-begun)
			}
		}
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				n++
				due[f[1]] = h.now + []time.Duration{20, 50, 90, 150, 250, 400}[n%6]*ms
			}
		}
	}
}

// A lower tier that becomes slow must not reduce the limit of a balancer with little traffic to hardly any.
func TestSlowResponsesToFewRequestsDoNotReduceTheLimit(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.serve(60, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms})
	h.serve(60, map[string]time.Duration{"a": 300 * ms, "b": 300 * ms})
	for range 9 {
		if _, ep := h.request("read"); ep == "" {
			t.Fatal("a request is queued beside fewer than nine in flight")
		}
	}
}

// i2b2df6: the limit still grew while latencies were half as long again as their baseline.
func TestLimitStopsGrowingWhileResponsesStretch(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.serve(60, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms})
	due, most, seen := map[string]time.Duration{}, 0, len(h.actions)
	for begun := h.now; h.now < begun+4*time.Second; h.advance(ms) {
		for _, id := range slices.Sorted(maps.Keys(due)) {
			if h.now >= due[id] {
				delete(due, id)
				h.finish(id, balance.OK)
			}
		}
		h.request("read")
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				due[f[1]] = h.now + 77*ms
			}
		}
		most = max(most, len(due))
	}
	if most < 8 || most > 24 {
		t.Errorf("%d attempts in flight at most; the initial limit is twelve", most)
	}
}

// Seen on a day on which three of four endpoints were replaced: the fourth got the requests of all, and its responses came
// too late.
func TestLimitFollowsTheNumberOfReadyEndpoints(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	var l balance.EndpointUpdate
	for _, id := range []string{"b", "c", "d"} {
		l.Endpoints = append(l.Endpoints, balance.Endpoint{ID: id, State: balance.Draining})
	}
	h.balancer.EndpointList(h.now, l)
	for range 24 {
		h.requestAs("read", "")
	}
	if n := h.countActions("send"); n == 0 || n > 8 {
		t.Errorf("the endpoint that is left gets %d requests at once", n)
	}
}
