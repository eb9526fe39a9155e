package balance_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// A burst saturated the endpoints while balancers with a few requests per second smoothed twenty responses before any of
// them reduced its limit (found day h36c04c).
func TestLowTrafficBalancerReducesItsLimitWithinTwoSeconds(t *testing.T) {
	s := defaultSettings()
	s.Balancers = 10
	h := newHarness(t, s, "a", "b", "c", "d")
	finishAt := map[string]time.Duration{}
	// Sends four requests per second for a time of n half seconds, and returns the most attempts in flight.
	run := func(latency time.Duration, n int) (maxInFlight int) {
		for range n * 50 {
			if h.now%(250*ms) < 10*ms {
				if id, ep := h.request("read"); ep != "" {
					finishAt[id] = h.now + latency
				}
			}
			h.advance(10 * ms)
			for _, id := range slices.Sorted(maps.Keys(finishAt)) {
				if h.now >= finishAt[id] {
					h.finish(id, balance.OK)
					delete(finishAt, id)
				}
			}
			maxInFlight = max(maxInFlight, len(finishAt))
		}
		return maxInFlight
	}
	run(200*ms, 40) // 20 s in which responses take 200 ms
	run(1200*ms, 4) // 2 s in which responses take 1200 ms, six times as long as before
	if got := run(1200*ms, 2); got > 3 {
		t.Errorf("%d attempts are in flight after two seconds of slow responses, want 3 at most", got)
	}
}

// offerLoad sends a request per interval for the given duration. Each endpoint serves one request at a time, in
// serviceTime. It returns the most requests that an endpoint had at once in the second half of the duration, and the number
// of requests served.
func (h *harness) offerLoad(interval, serviceTime, duration time.Duration, endpoints ...string) (maxQueued, served int) {
	queue, busy, begun := map[string][]string{}, map[string]time.Duration{}, h.now
	for h.now < begun+duration {
		if id, ep := h.request("read"); ep != "" {
			queue[ep] = append(queue[ep], id)
		}
		for next := h.now + interval; h.now < next; {
			sent := len(h.actions)
			h.advance(ms)
			for _, ep := range endpoints {
				if busy[ep] += ms; busy[ep] >= serviceTime || len(queue[ep]) == 0 {
					busy[ep] = 0
					if len(queue[ep]) > 0 {
						id := queue[ep][0]
						queue[ep] = queue[ep][1:]
						h.finish(id, balance.OK)
						served++
					}
				}
			}
			for _, d := range h.actions[sent:] { // requests that the balancer had queued and sent in this millisecond
				if f := strings.Fields(d); f[0] == "send" && !slices.Contains(queue[f[2]], f[1]) {
					queue[f[2]] = append(queue[f[2]], f[1])
				}
			}
			for _, ep := range endpoints {
				if h.now > begun+duration/2 {
					maxQueued = max(maxQueued, len(queue[ep]))
				}
			}
		}
	}
	return maxQueued, served
}

// In overload the limit must not grow so far that endpoints become slow (incident i2b2df6 and many overloaded days).
func TestOverloadDoesNotFillEndpointQueues(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.offerLoad(30*ms, 20*ms, 3*time.Second, "a", "b")
	if h.countActions("reject") > 0 {
		t.Fatalf("%d requests were rejected at a third of the endpoints' capacity, want none", h.countActions("reject"))
	}
	maxQueued, served := h.offerLoad(5*ms, 20*ms, 6*time.Second, "a", "b")
	if maxQueued > 5 {
		t.Errorf("an endpoint that serves one request at a time had %d, want 5 at most", maxQueued)
	}
	if served < 540 {
		t.Errorf("%d requests were served, want at least 540 of the 600 that endpoints can serve", served)
	}
	if h.countActions("reject") < 400 {
		t.Errorf("%d requests were rejected at twice the endpoints' capacity, want at least 400", h.countActions("reject"))
	}
}

// First-tier balancers that each admitted the capacity of all endpoints saturated them in two seconds (incidents i72d39d and
// i2623e0).
func TestFirstTierBalancersDivideTheInitialConcurrencyLimit(t *testing.T) {
	initialSends := func(balancers, tier int) int {
		s := defaultSettings()
		s.Balancers, s.Tier = balancers, tier
		h := newHarness(t, s, "a", "b", "c", "d", "e", "f", "g", "h")
		for range 100 {
			h.request("read")
		}
		return h.countActions("send")
	}
	single, oneOfFour, secondTier := initialSends(1, 0), initialSends(4, 0), initialSends(4, 1)
	if oneOfFour > single/4+1 || oneOfFour < single/4-1 {
		t.Errorf("one of four balancers sends %d requests at once, want a quarter of the %d of a single one", oneOfFour, single)
	}
	if secondTier != single {
		t.Errorf("one of four balancers in the second tier sends %d requests at once, want %d as a single one", secondTier, single)
	}
}

// maxInFlight sends more requests than the limit admits for the given duration, with a latency of 100 ms, and returns the
// most attempts in flight at once.
func (h *harness) maxInFlight(duration time.Duration) (most int) {
	var inFlight []string
	seen := 0
	for begun := h.now; h.now < begun+duration; h.advance(ms) {
		for len(inFlight) > 0 && h.now >= h.sentAt[inFlight[0]]+100*ms {
			h.finish(inFlight[0], balance.OK)
			inFlight = inFlight[1:]
		}
		if h.requestCount%2 == 0 || h.now%(3*ms) == 0 {
			h.request("read")
		}
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				inFlight = append(inFlight, f[1])
			}
		}
		most = max(most, len(inFlight))
	}
	return most
}

// On days without overload the first tier rejected a sixth of the requests while latencies were at their baseline: clients
// are spread unevenly, and the limit of a balancer with several times the mean rate grew too slowly.
func TestFirstTierLimitGrowsFasterWhileResponsesAreFast(t *testing.T) {
	limitAfterGrowth := func(tier int) int {
		s := defaultSettings()
		s.Tier = tier
		return newHarness(t, s, "a", "b").maxInFlight(900 * ms)
	}
	first, second := limitAfterGrowth(0), limitAfterGrowth(1)
	if first < second+(second-12)/2 { // 12 is the initial limit in both tiers
		t.Errorf("after 0.9 s the limit of 12 is %d in the first tier, want 1.5 times the growth to %d in the second", first, second)
	}
}

// The first responses are those of the cheapest requests. When they were taken as the baseline, all later responses seemed
// slow, and requests were rejected although endpoints had capacity (start of the standard days).
func TestFastFirstResponsesDoNotBecomeTheBaseline(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	finishAt := map[string]time.Duration{}
	seen, sentCount, begun := 0, 0, h.now
	for ; h.now < begun+6*time.Second; h.advance(ms) {
		for _, id := range slices.Sorted(maps.Keys(finishAt)) {
			if h.now >= finishAt[id] {
				delete(finishAt, id)
				h.finish(id, balance.OK)
			}
		}
		for requested := 0; len(finishAt)+requested < 22; requested++ {
			if _, ep := h.request("read"); ep == "" && h.now > begun+3*time.Second {
				t.Fatalf("request %d was queued %v after the start, want it sent at once after 3 s", h.requestCount, h.now-begun)
			}
		}
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				sentCount++
				finishAt[f[1]] = h.now + []time.Duration{20, 50, 90, 150, 250, 400}[sentCount%6]*ms
			}
		}
	}
}

// When the tier below becomes slow, a balancer with little traffic must not reduce its limit to a few attempts.
func TestSlowResponsesToFewRequestsDoNotReduceTheLimit(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.serve(60, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms})
	h.serve(60, map[string]time.Duration{"a": 300 * ms, "b": 300 * ms})
	for range 9 {
		if _, ep := h.request("read"); ep == "" {
			t.Fatal("a request was queued with fewer than nine in flight, want nine sent at once")
		}
	}
}

// The limit still grew while latencies were 1.5 times their baseline (incident i2b2df6).
func TestLimitStopsGrowingWhileResponsesAreSlow(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.serve(60, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms})
	finishAt, most, seen := map[string]time.Duration{}, 0, len(h.actions)
	for begun := h.now; h.now < begun+4*time.Second; h.advance(ms) {
		for _, id := range slices.Sorted(maps.Keys(finishAt)) {
			if h.now >= finishAt[id] {
				delete(finishAt, id)
				h.finish(id, balance.OK)
			}
		}
		h.request("read")
		for ; seen < len(h.actions); seen++ {
			if f := strings.Fields(h.actions[seen]); f[0] == "send" {
				finishAt[f[1]] = h.now + 77*ms
			}
		}
		most = max(most, len(finishAt))
	}
	if most < 8 || most > 24 {
		t.Errorf("%d attempts were in flight at most, want 8 to 24; the initial limit is 12", most)
	}
}

// When three of four endpoints were replaced, the fourth one got the requests of all of them and responded too late.
func TestLimitIsProportionalToTheNumberOfReadyEndpoints(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	var l balance.EndpointUpdate
	for _, id := range []string{"b", "c", "d"} {
		l.Endpoints = append(l.Endpoints, balance.Endpoint{ID: id, State: balance.Draining})
	}
	h.balancer.EndpointList(h.now, l)
	for range 24 {
		h.requestForTenant("read", "")
	}
	if n := h.countActions("send"); n == 0 || n > 8 {
		t.Errorf("the only endpoint that is not draining got %d requests at once, want 1 to 8", n)
	}
}
