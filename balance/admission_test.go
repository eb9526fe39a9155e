package balance_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// In tartu's overload (incident i35432f) endpoints were saturated within two seconds, before a balancer with few attempts
// in flight reached its concurrency limit. A request rate above the sum of all quotas shows earlier: once responses stretch
// as well, requests over quota are shed. They are not while responses are fast: on kigali's day without load 15 of 55
// balancers got several times the mean rate, and shed 40,000 requests, and their retries, while endpoints had capacity.
func TestRequestsOverQuotaAreShedWhenResponsesStretchAndRateExceedsAllQuotas(t *testing.T) {
	for _, row := range []struct {
		name       string
		perSecond  int
		took       time.Duration // latency, after a second of 10 ms
		wantReject bool
	}{
		{"low rate and fast responses", 4, 10 * ms, false},
		{"low rate and slow responses", 4, 30 * ms, false},
		{"high rate and fast responses", 16, 10 * ms, false},
		{"high rate and slow responses", 16, 30 * ms, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := defaultSettings()
			s.Balancers = 10
			// Of the quotas together this balancer has 8 requests a second.
			s.Tenants = []balance.Tenant{{Name: "greedy", Quota: 20}, {Name: "quiet", Quota: 60}}
			h := newHarness(t, s, "a", "b", "c")
			served := 0
			for i := range 10 * row.perSecond {
				took := row.took
				if i < row.perSecond {
					took = 10 * ms
				}
				id := h.requestAs("read", "greedy")
				if len(h.sentTo[id]) > 0 {
					h.advance(took)
					h.finish(id, balance.OK)
					served++
				}
				h.advance(time.Second/time.Duration(row.perSecond) - took)
			}
			if n := h.countActions("refuse "); n > 0 != row.wantReject || served == 0 {
				t.Errorf("%d of %d requests are rejected, %d served", n, 10*row.perSecond, served)
			}
		})
	}
}

func TestRequestsOverQuotaAreShedOnlyWhenCapacityIsShort(t *testing.T) {
	s := defaultSettings()
	s.Tenants = []balance.Tenant{{Name: "big", Quota: 10}, {Name: "small", Quota: 1000}}
	h := newHarness(t, s, "a", "b")
	ask := func(tenant string) { h.requestAs("read", tenant) }
	for range 9 {
		ask("big")
	}
	if h.countActions("refuse") > 0 {
		t.Fatal("rejected with capacity to spare")
	}
	ask("small")
	ask("big")
	for range 20 {
		ask("big")
		ask("small")
	}
	refused := map[string]bool{}
	for _, d := range h.actions {
		if id, ok := strings.CutPrefix(d, "refuse "); ok {
			refused[id] = true
		}
	}
	if len(refused) == 0 {
		t.Fatal("nothing over quota was rejected")
	}
	for i := 12; i <= h.requestCount; i++ {
		if small := i%2 == 1; small && refused["r"+strconv.Itoa(i)] {
			t.Errorf("r%d is within its quota and was rejected", i)
		}
	}
}

// Attempts in flight are no pressure while latencies are at their baseline: requests over quota may use spare capacity.
func TestRequestsOverQuotaMayUseTheLimitWhileResponsesDoNotStretch(t *testing.T) {
	for _, row := range []struct {
		name       string
		took       time.Duration // latency of the later responses; that of the earlier ones is 100 ms
		wantReject bool
	}{
		{"responses at the baseline", 100 * ms, false},
		{"responses stretched by 3", 300 * ms, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := defaultSettings()
			s.Tenants = []balance.Tenant{{Name: "t", Quota: 1}, {Name: "u", Quota: 1e6}}
			h := newHarness(t, s, "a", "b")
			h.serve(100, map[string]time.Duration{"a": 100 * ms, "b": 100 * ms})
			h.serve(30, map[string]time.Duration{"a": row.took, "b": row.took})
			sent := 0
			for h.countActions("refuse") == 0 && sent < 11 { // the limit is 12 at least
				h.requestAs("read", "t")
				sent++
			}
			if got := h.countActions("refuse") > 0; got != row.wantReject {
				t.Errorf("after %d requests over quota, rejected %v", sent, got)
			}
		})
	}
}

// The class with the shortest latency objective must not be the only one rejected in overload.
func TestClassWithShortLatencyObjectiveDoesNotStarveInTheQueue(t *testing.T) {
	s := defaultSettings()
	s.Classes[0].LatencyObjective, s.Classes[1].LatencyObjective = 500*ms, 4*time.Second
	h := newHarness(t, s, "a")
	served, out := map[string]int{}, []string{}
	class := map[string]string{}
	for i := range 1500 { // a hundred requests a second, one response every 40 ms
		id, _ := h.request([]string{"read", "bill"}[i%2])
		class[id] = []string{"read", "bill"}[i%2]
		h.advance(10 * ms)
		if i%4 == 0 {
			for j := 1; j <= h.requestCount; j++ {
				if id := "r" + strconv.Itoa(j); len(h.sentTo[id]) == 1 && !slices.Contains(out, id) && !slices.Contains(h.actions, "refuse "+id) &&
					!slices.Contains(h.actions, "fail "+id) {
					out = append(out, id)
					h.finish(id, balance.OK)
					served[class[id]]++
					break
				}
			}
		}
	}
	if served["read"] < served["bill"]/3 {
		t.Errorf("served %v", served)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsShedWhileOthersAreQueued(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	h.serve(100, map[string]time.Duration{"a": 200 * ms})
	for h.countActions("refuse") == 0 {
		if _, ep := h.request("read"); ep == "" {
			break
		}
	}
	h.balancer.Request(h.now, balance.Request{ID: "late", Class: "read", Deadline: h.now + 60*ms})
	if h.actions[len(h.actions)-1] != "refuse late" {
		t.Errorf("last action %q", h.actions[len(h.actions)-1])
	}
}

func TestRequestWithoutEndpointIsQueuedThenRejected(t *testing.T) {
	h := newHarness(t, defaultSettings())
	id, _ := h.request("bill")
	h.advance(100 * ms)
	if len(h.actions) > 0 {
		t.Fatalf("acted at once: %v", h.actions)
	}
	h.advance(5 * time.Second)
	if !slices.Equal(h.actions, []string{"refuse " + id}) {
		t.Errorf("actions %v", h.actions)
	}
	id, _ = h.request("bill")
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "new"}}})
	if len(h.sentTo[id]) != 1 {
		t.Error("a queued request did not go to the first endpoint listed")
	}
}
