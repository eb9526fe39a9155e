package balance_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// A balancer with few attempts in flight does not reach its concurrency limit before an overload saturates the endpoints,
// which takes at most two seconds (incident i35432f, site tartu). A request rate above the sum of all quotas shows the
// overload earlier, so requests over quota are then shed if responses are slow as well. They must not be shed while
// responses are fast: clients are spread unevenly over balancers, and a balancer may get several times the mean rate while
// endpoints have capacity. In one case, 15 of 55 balancers shed 40,000 requests, and the clients' retries, without an
// overload (site kigali).
func TestRequestsOverQuotaAreShedWhenResponsesAreSlowAndRateExceedsAllQuotas(t *testing.T) {
	for _, row := range []struct {
		name              string
		requestsPerSecond int
		latency           time.Duration // latency of all responses after the first second, in which it is 10 ms
		wantReject        bool
	}{
		{"low rate and fast responses", 4, 10 * ms, false},
		{"low rate and slow responses", 4, 30 * ms, false},
		{"high rate and fast responses", 16, 10 * ms, false},
		{"high rate and slow responses", 16, 30 * ms, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := defaultSettings()
			s.BalancerCount = 10
			// Together the quotas allow 80 requests per second, of which each of the ten balancers may admit 8.
			s.Tenants = []balance.Tenant{{Name: "over quota", Quota: 20}, {Name: "within quota", Quota: 60}}
			h := newHarness(t, s, "a", "b", "c")
			served := 0
			for i := range 10 * row.requestsPerSecond {
				latency := row.latency
				if i < row.requestsPerSecond {
					latency = 10 * ms
				}
				id := h.requestForTenant("read", "over quota")
				if len(h.sentTo[id]) > 0 {
					h.advance(latency)
					h.finish(id, balance.OK)
					served++
				}
				h.advance(time.Second/time.Duration(row.requestsPerSecond) - latency)
			}
			if n := h.countActions("reject "); n > 0 != row.wantReject || served == 0 {
				t.Errorf("%d of %d requests were rejected and %d served, want any rejected: %v, and at least 1 served", n,
					10*row.requestsPerSecond, served, row.wantReject)
			}
		})
	}
}

func TestRequestsOverQuotaAreShedOnlyWhenCapacityIsShort(t *testing.T) {
	s := defaultSettings()
	s.Tenants = []balance.Tenant{{Name: "big", Quota: 10}, {Name: "small", Quota: 1000}}
	h := newHarness(t, s, "a", "b")
	request := func(tenant string) { h.requestForTenant("read", tenant) }
	for range 9 {
		request("big")
	}
	if h.countActions("reject") > 0 {
		t.Fatalf("%d requests were rejected while endpoints had capacity, want none", h.countActions("reject"))
	}
	request("small")
	request("big")
	for range 20 {
		request("big")
		request("small")
	}
	rejected := map[string]bool{}
	for _, d := range h.actions {
		if id, ok := strings.CutPrefix(d, "reject "); ok {
			rejected[id] = true
		}
	}
	if len(rejected) == 0 {
		t.Fatal("no request over quota was rejected, want at least 1")
	}
	for i := 12; i <= h.requestCount; i++ {
		if isWithinQuota := i%2 == 1; isWithinQuota && rejected["r"+strconv.Itoa(i)] {
			t.Errorf("r%d was rejected although its tenant is within its quota", i)
		}
	}
}

// While latencies are at their baseline, attempts in flight do not mean overload: requests over quota may use spare
// capacity.
func TestRequestsOverQuotaMayUseTheLimitWhileResponsesAreFast(t *testing.T) {
	for _, row := range []struct {
		name       string
		latency    time.Duration // latency of the responses after the first 100, which take 100 ms
		wantReject bool
	}{
		{"responses at the baseline", 100 * ms, false},
		{"responses of three times the baseline", 300 * ms, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := defaultSettings()
			s.Tenants = []balance.Tenant{{Name: "t", Quota: 1}, {Name: "u", Quota: 1e6}}
			h := newHarness(t, s, "a", "b")
			h.serve(100, map[string]time.Duration{"a": 100 * ms, "b": 100 * ms})
			h.serve(30, map[string]time.Duration{"a": row.latency, "b": row.latency})
			sent := 0
			for h.countActions("reject") == 0 && sent < 11 { // the concurrency limit is at least 12
				h.requestForTenant("read", "t")
				sent++
			}
			if got := h.countActions("reject") > 0; got != row.wantReject {
				t.Errorf("after %d requests over quota, any rejected: %v, want %v", sent, got, row.wantReject)
			}
		})
	}
}

// The class with the shortest latency objective must not be the only one rejected in overload.
func TestClassWithShortLatencyObjectiveDoesNotStarveInTheQueue(t *testing.T) {
	s := defaultSettings()
	s.Classes[0].LatencyObjective, s.Classes[1].LatencyObjective = 500*ms, 4*time.Second
	h := newHarness(t, s, "a")
	served, finished := map[string]int{}, []string{}
	classByID := map[string]string{}
	for i := range 1500 { // simulates 100 requests and 25 responses per second
		id, _ := h.request([]string{"read", "bill"}[i%2])
		classByID[id] = []string{"read", "bill"}[i%2]
		h.advance(10 * ms)
		if i%4 == 0 {
			for j := 1; j <= h.requestCount; j++ {
				if id := "r" + strconv.Itoa(j); len(h.sentTo[id]) == 1 && !slices.Contains(finished, id) && !slices.Contains(h.actions, "reject "+id) &&
					!slices.Contains(h.actions, "fail "+id) {
					finished = append(finished, id)
					h.finish(id, balance.OK)
					served[classByID[id]]++
					break
				}
			}
		}
	}
	if served["read"] < served["bill"]/3 {
		t.Errorf("served by class: %v, want at least a third as many of read as of bill", served)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsShedWhileOthersAreQueued(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	h.serve(100, map[string]time.Duration{"a": 200 * ms})
	for h.countActions("reject") == 0 {
		if _, ep := h.request("read"); ep == "" {
			break
		}
	}
	h.balancer.Request(h.now, balance.Request{ID: "late", Class: "read", Deadline: h.now + 60*ms})
	if h.actions[len(h.actions)-1] != "reject late" {
		t.Errorf("last action is %q, want %q", h.actions[len(h.actions)-1], "reject late")
	}
}

func TestRequestWithoutEndpointIsQueuedThenRejected(t *testing.T) {
	h := newHarness(t, defaultSettings())
	id, _ := h.request("bill")
	h.advance(100 * ms)
	if len(h.actions) > 0 {
		t.Fatalf("actions after 100 ms are %v, want none", h.actions)
	}
	h.advance(5 * time.Second)
	if !slices.Equal(h.actions, []string{"reject " + id}) {
		t.Errorf("actions after 5.1 s are %v, want only the rejection of %s", h.actions, id)
	}
	id, _ = h.request("bill")
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "new"}}})
	if len(h.sentTo[id]) != 1 {
		t.Errorf("the queued request has %d attempts after the first endpoint was listed, want 1", len(h.sentTo[id]))
	}
}
