package balance_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

func TestFasterEndpointGetsMoreRequests(t *testing.T) {
	h := newHarness(t, defaultSettings(), "fast", "slow")
	latency := map[string]time.Duration{"fast": 40 * ms, "slow": 60 * ms}
	h.serve(100, latency)
	counts := h.serve(400, latency)
	if f, s := counts["fast"], counts["slow"]; f < s*5/4 || f > s*2 {
		t.Errorf("the fast endpoint got %d requests and the slow one %d, want 1.25 to 2 times as many", f, s)
	}
}

func TestEqualEndpointsGetEqualNumbersOfRequests(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	counts := h.serve(400, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	for ep, n := range counts {
		if n < 90 || n > 110 {
			t.Errorf("%s got %d of 400 requests, want 90 to 110", ep, n)
		}
	}
}

// With tiers below, most of the latency is that of the tiers below, which is the same for all endpoints. The balancer must
// charge only the latency that the endpoint adds, or machines with a third of the speed get half as many requests as fast
// ones and are saturated (found by simulation ha74963).
func TestLatencyOfTiersBelowDoesNotHideSlowEndpoints(t *testing.T) {
	for _, row := range []struct {
		name               string
		tiersBelow         int
		minRatio, maxRatio float64 // bounds of the requests of fast endpoints divided by those of slow ones
	}{
		{"no tier below", 0, 1.2, 1.9},
		{"a tier below", 1, 2.2, 4.5},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := defaultSettings()
			s.TiersBelow = row.tiersBelow
			h := newHarness(t, s, "fast1", "fast2", "slow1", "slow2")
			latency := map[string]time.Duration{"fast1": 100 * ms, "fast2": 100 * ms, "slow1": 150 * ms, "slow2": 150 * ms}
			h.serve(200, latency)
			counts := map[string]float64{}
			for range 400 {
				id, ep := h.request("read")
				counts[ep[:4]]++
				h.advance(latency[ep])
				h.finish(id, balance.OK)
			}
			if got := counts["fast"] / counts["slow"]; got < row.minRatio || got > row.maxRatio {
				t.Errorf("fast endpoints got %.2f times the requests of slow ones, want %.1f to %.1f times", got, row.minRatio, row.maxRatio)
			}
		})
	}
}

// A balancer with little traffic sends to an endpoint only every few seconds, so it has few latency samples of each one. The
// weight that endpoints with the same Endpoint.Kind share is learned from the samples of all of them, and must lead to fewer
// requests to the endpoints of a slow kind although each of them has only three samples.
func TestWeightOfKindAppliesToEndpointsWithFewSamples(t *testing.T) {
	s := defaultSettings()
	h := newHarness(t, s)
	l, latency := balance.EndpointUpdate{Complete: true}, map[string]time.Duration{}
	for i := range 20 {
		e := balance.Endpoint{ID: "f" + strconv.Itoa(i), Kind: "fast"}
		latency[e.ID] = 40 * ms
		if i%2 == 1 {
			e.ID, e.Kind = "s"+strconv.Itoa(i), "slow"
			latency[e.ID] = 70 * ms
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	h.balancer.EndpointList(h.now, l)
	h.serve(60, latency)
	slowEndpointRequests := 0
	for ep, n := range h.serve(60, latency) {
		if ep[0] == 's' {
			slowEndpointRequests += n
		}
	}
	if slowEndpointRequests > 20 {
		t.Errorf("slow endpoints got %d of 60 requests after three samples each, want 20 at most", slowEndpointRequests)
	}
}

// Attempts at an endpoint that hangs must not use up the concurrency limit, or a new endpoint gets no requests.
func TestHungEndpointDoesNotUseUpTheLimit(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	for range 6 {
		h.requestForTenant("read", "")
	}
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "b"}}})
	h.advance(time.Second)
	var trialID string
	for range 6 {
		if id, ep := h.request("read"); ep == "b" {
			trialID = id
		}
	}
	if trialID == "" {
		t.Fatal("the new endpoint got no trial")
	}
	h.advance(100 * ms)
	h.finish(trialID, balance.OK)
	sendsBefore := h.countActions("send")
	for range 6 {
		h.requestForTenant("read", "")
	}
	if n := h.countActions("send") - sendsBefore; n < 4 {
		t.Errorf("%d of 6 requests were sent while one endpoint hangs, want at least 4", n)
	}
}

// An endpoint with an idle connection gets a few requests in a row, but in total all endpoints get about the same number.
func TestIdleConnectionIsUsedForAFewRequestsInARow(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	h.idleConnections = map[string]bool{}
	counts, endpointChanges, lastEndpoint := map[string]int{}, 0, ""
	const requests = 400
	for range requests {
		id, ep := h.request("read")
		if ep != lastEndpoint { // the endpoint of the last request closes its idle connection
			h.idleConnections[lastEndpoint], lastEndpoint = false, ep
			endpointChanges++
		}
		counts[ep]++
		h.advance(50 * ms)
		h.finish(id, balance.OK)
		h.idleConnections[ep] = true
	}
	if endpointChanges > requests/2 {
		t.Errorf("the endpoint changed %d times in %d requests, want half of them at most", endpointChanges, requests)
	}
	for ep, n := range counts {
		if n < requests/4-5 || n > requests/4+5 {
			t.Errorf("%s got %d of %d requests, want a quarter, give or take 5", ep, n, requests)
		}
	}
}

func TestEndpointWithTheLowestReportedLoadIsPicked(t *testing.T) {
	s := defaultSettings()
	s.CanProbe = true
	h := newHarness(t, s, "a", "b", "c")
	h.request("read")
	if h.countActions("probe ") != 3 {
		t.Fatalf("actions are %v, want 3 load probes", h.actions)
	}
	for ep, load := range map[string]float64{"a": 4, "b": 0, "c": 4} {
		h.balancer.Probed(h.now, balance.ProbeResult{Endpoint: ep, Load: balance.Load{IsReported: true, Requests: load}})
	}
	if got := h.sentTo["r1"]; !slices.Equal(got, []string{"b"}) {
		t.Errorf("r1 was sent to %v, want b, which reported no load", got)
	}
	h.request("read")
	h.advance(50 * ms) // a lost load probe delays a request only by probeTimeout
	if len(h.sentTo["r2"]) != 1 {
		t.Errorf("r2 has %d attempts 50 ms after its load probes were lost, want 1", len(h.sentTo["r2"]))
	}
}

// Endpoints that hang, but still respond to load probes with a load of 8 requests, are never picked. They must not keep the
// lowest deficits and get all load probes, or requests go to endpoints without a load report (incident i392ed2).
func TestLoadedEndpointsDoNotGetAllLoadProbes(t *testing.T) {
	s := defaultSettings()
	s.CanProbe = true
	eps := []string{"a", "b", "c", "d", "e", "hung1", "hung2", "hung3"}
	h := newHarness(t, s, eps...)
	probes, hungProbes, hungRequests := 0, 0, 0
	for range 200 {
		actionsSeen := len(h.actions)
		id, _ := h.request("read")
		for _, action := range h.actions[actionsSeen:] {
			ep, ok := strings.CutPrefix(action, "probe ")
			if !ok {
				continue
			}
			load := balance.Load{IsReported: true, Requests: 1}
			if probes++; strings.HasPrefix(ep, "hung") {
				load.Requests = 8
				hungProbes++
			}
			h.balancer.Probed(h.now, balance.ProbeResult{Endpoint: ep, Load: load})
		}
		if ep := h.sentTo[id][0]; strings.HasPrefix(ep, "hung") {
			hungRequests++
			h.finish(id, balance.Rejected)
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balance.OK)
	}
	if hungProbes > probes/4 {
		t.Errorf("%d of %d load probes were sent to the three hung endpoints of eight, want a quarter at most", hungProbes, probes)
	}
	if hungRequests > 6 {
		t.Errorf("%d requests were sent to hung endpoints, which report a high load, want 6 at most", hungRequests)
	}
}
