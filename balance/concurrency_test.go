package balance_test

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// A balancer with a few requests per second must reduce its limit within two seconds. If it averages over twenty responses
// first, a burst saturates the endpoints meanwhile (found by simulation h36c04c).
func TestLowTrafficBalancerReducesItsLimitWithinTwoSeconds(t *testing.T) {
	s := defaultSettings()
	s.BalancerCount = 10
	h := newHarness(t, s, "a", "b", "c", "d")
	finishAt := map[string]time.Duration{}
	// run sends four requests per second for n half seconds, and returns the largest number of attempts in flight at once.
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
	run(200*ms, 40)
	run(1200*ms, 4) // the latency is six times the baseline for two seconds
	if got := run(1200*ms, 2); got > 3 {
		t.Errorf("%d attempts are in flight after two seconds of slow responses, want 3 at most", got)
	}
}

// offerLoad sends a request per interval for the given duration. Each endpoint serves one request at a time, in
// serviceTime. It returns the most requests that an endpoint had at once in the second half of the duration, and the number
// of requests served.
func (h *harness) offerLoad(interval, serviceTime, duration time.Duration, endpoints ...string) (maxQueued, served int) {
	queues, serviceProgress, startedAt := map[string][]string{}, map[string]time.Duration{}, h.now
	for h.now < startedAt+duration {
		if id, ep := h.request("read"); ep != "" {
			queues[ep] = append(queues[ep], id)
		}
		for next := h.now + interval; h.now < next; {
			actionsBefore := len(h.actions)
			h.advance(ms)
			for _, ep := range endpoints {
				if serviceProgress[ep] += ms; serviceProgress[ep] >= serviceTime || len(queues[ep]) == 0 {
					serviceProgress[ep] = 0
					if len(queues[ep]) > 0 {
						id := queues[ep][0]
						queues[ep] = queues[ep][1:]
						h.finish(id, balance.OK)
						served++
					}
				}
			}
			for _, d := range h.actions[actionsBefore:] { // requests that the balancer had queued and sent in this millisecond
				if f := strings.Fields(d); f[0] == "send" && !slices.Contains(queues[f[2]], f[1]) {
					queues[f[2]] = append(queues[f[2]], f[1])
				}
			}
			for _, ep := range endpoints {
				if h.now > startedAt+duration/2 {
					maxQueued = max(maxQueued, len(queues[ep]))
				}
			}
		}
	}
	return maxQueued, served
}

// In overload the limit must not grow so far that endpoints become slow (incident i2b2df6 and many simulated overloads).
func TestOverloadDoesNotFillEndpointQueues(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.offerLoad(30*ms, 20*ms, 3*time.Second, "a", "b")
	if h.countActions("reject") > 0 {
		t.Fatalf("%d requests were rejected at a third of the endpoints' capacity, want none", h.countActions("reject"))
	}
	maxQueued, served := h.offerLoad(5*ms, 20*ms, 6*time.Second, "a", "b")
	if maxQueued > 5 {
		t.Errorf("an endpoint that serves one request at a time had %d requests at once, want 5 at most", maxQueued)
	}
	if served < 540 {
		t.Errorf("%d requests were served, want at least 540 of the 600 that endpoints can serve", served)
	}
	if h.countActions("reject") < 400 {
		t.Errorf("%d requests were rejected at twice the endpoints' capacity, want at least 400", h.countActions("reject"))
	}
}

// First-tier balancers must divide the initial limit. When each of them admitted the capacity of all endpoints, they
// saturated the endpoints in two seconds (incidents i72d39d and i2623e0).
func TestFirstTierBalancersDivideTheInitialConcurrencyLimit(t *testing.T) {
	countInitialSends := func(balancers, tier int) int {
		s := defaultSettings()
		s.BalancerCount, s.Tier = balancers, tier
		h := newHarness(t, s, "a", "b", "c", "d", "e", "f", "g", "h")
		for range 100 {
			h.request("read")
		}
		return h.countActions("send")
	}
	sendsAlone, sendsOfOneInFour, sendsInSecondTier := countInitialSends(1, 0), countInitialSends(4, 0), countInitialSends(4, 1)
	if sendsOfOneInFour > sendsAlone/4+1 || sendsOfOneInFour < sendsAlone/4-1 {
		t.Errorf("one of four balancers sends %d requests at once, want a quarter of the %d of a single one", sendsOfOneInFour, sendsAlone)
	}
	if sendsInSecondTier != sendsAlone {
		t.Errorf("one of four balancers in the second tier sends %d requests at once, want the %d of a single one", sendsInSecondTier, sendsAlone)
	}
}

// measureMaxInFlight sends more requests than the limit admits for the given duration, with a latency of 100 ms, and returns the
// most attempts in flight at once.
func (h *harness) measureMaxInFlight(duration time.Duration) (maxInFlight int) {
	var inFlightIDs []string
	actionsSeen := 0
	for startedAt := h.now; h.now < startedAt+duration; h.advance(ms) {
		for len(inFlightIDs) > 0 && h.now >= h.sentAt[inFlightIDs[0]]+100*ms {
			h.finish(inFlightIDs[0], balance.OK)
			inFlightIDs = inFlightIDs[1:]
		}
		if h.requestCount%2 == 0 || h.now%(3*ms) == 0 {
			h.request("read")
		}
		for ; actionsSeen < len(h.actions); actionsSeen++ {
			if f := strings.Fields(h.actions[actionsSeen]); f[0] == "send" {
				inFlightIDs = append(inFlightIDs, f[1])
			}
		}
		maxInFlight = max(maxInFlight, len(inFlightIDs))
	}
	return maxInFlight
}

// Clients are spread unevenly, so the limit of a first-tier balancer with several times the mean rate must grow quickly
// while responses are fast. When it grew too slowly, the first tier rejected a sixth of the requests while latencies were at
// their baseline.
func TestFirstTierLimitGrowsFasterWhileResponsesAreFast(t *testing.T) {
	limitAfterGrowth := func(tier int) int {
		s := defaultSettings()
		s.Tier = tier
		return newHarness(t, s, "a", "b").measureMaxInFlight(900 * ms)
	}
	firstTierLimit, secondTierLimit := limitAfterGrowth(0), limitAfterGrowth(1)
	if firstTierLimit < secondTierLimit+(secondTierLimit-12)/2 { // 12 is the initial limit in both tiers
		t.Errorf("after 0.9 s the limit has grown from 12 to %d in the first tier and to %d in the second, want at least 1.5 times the growth in the first", firstTierLimit, secondTierLimit)
	}
}

// The first responses are those of the cheapest requests. If they were taken as the baseline, all later responses would seem
// slow, and a balancer that has just started would reject requests although endpoints have capacity.
func TestFastFirstResponsesDoNotBecomeTheBaseline(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	finishAt := map[string]time.Duration{}
	actionsSeen, sentCount, startedAt := 0, 0, h.now
	for ; h.now < startedAt+6*time.Second; h.advance(ms) {
		for _, id := range slices.Sorted(maps.Keys(finishAt)) {
			if h.now >= finishAt[id] {
				delete(finishAt, id)
				h.finish(id, balance.OK)
			}
		}
		for requested := 0; len(finishAt)+requested < 22; requested++ {
			if _, ep := h.request("read"); ep == "" && h.now > startedAt+3*time.Second {
				t.Fatalf("request %d was queued %v after the start, want it sent at once after 3 s", h.requestCount, h.now-startedAt)
			}
		}
		for ; actionsSeen < len(h.actions); actionsSeen++ {
			if f := strings.Fields(h.actions[actionsSeen]); f[0] == "send" {
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

// The limit must not grow while latencies are 1.5 times their baseline (incident i2b2df6).
func TestLimitStopsGrowingWhileResponsesAreSlow(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.serve(60, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms})
	finishAt, maxInFlight, actionsSeen := map[string]time.Duration{}, 0, len(h.actions)
	for startedAt := h.now; h.now < startedAt+4*time.Second; h.advance(ms) {
		for _, id := range slices.Sorted(maps.Keys(finishAt)) {
			if h.now >= finishAt[id] {
				delete(finishAt, id)
				h.finish(id, balance.OK)
			}
		}
		h.request("read")
		for ; actionsSeen < len(h.actions); actionsSeen++ {
			if f := strings.Fields(h.actions[actionsSeen]); f[0] == "send" {
				finishAt[f[1]] = h.now + 77*ms
			}
		}
		maxInFlight = max(maxInFlight, len(finishAt))
	}
	if maxInFlight < 8 || maxInFlight > 24 {
		t.Errorf("%d attempts were in flight at most, want 8 to 24; the initial limit is 12", maxInFlight)
	}
}

// When three of four endpoints are draining, the limit must shrink to a quarter, or the remaining endpoint gets the requests
// of all four and responds too late.
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
