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
		t.Errorf("fast got %d requests and slow %d, want 1.25 to 2 times as many", f, s)
	}
}

func TestEqualEndpointsGetEqualNumbersOfRequests(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	counts := h.serve(400, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	for ep, n := range counts {
		if n < 90 || n > 110 {
			t.Errorf("%s got %d of 400 requests", ep, n)
		}
	}
}

// In ha74963 machines of a third of the speed got half as many requests as fast ones, and were saturated: most of the
// latency was that of the tiers below, which is the same for all. Only what the endpoint adds is charged there.
func TestLatencyOfTiersBelowDoesNotEvenOutEndpoints(t *testing.T) {
	for _, row := range []struct {
		name             string
		tiersBelow       int
		fewest, greatest float64 // requests of fast endpoints, in those of slow ones
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
			if got := counts["fast"] / counts["slow"]; got < row.fewest || got > row.greatest {
				t.Errorf("fast endpoints get %.2f times the requests of slow ones", got)
			}
		})
	}
}

// A balancer with little traffic uses an endpoint every few seconds: until it has samples, the weight of the kind counts.
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
	slow := 0
	for ep, n := range h.serve(60, latency) {
		if ep[0] == 's' {
			slow += n
		}
	}
	if slow > 20 {
		t.Errorf("slow endpoints got %d of 60 requests after three samples each", slow)
	}
}

// Seen on the same day: attempts at a hung endpoint used the whole limit, and a new endpoint was idle.
func TestHungEndpointDoesNotUseTheWholeLimit(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	for range 6 {
		h.requestForTenant("read", "")
	}
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "b"}}})
	h.advance(time.Second)
	var trial string
	for range 6 {
		if id, ep := h.request("read"); ep == "b" {
			trial = id
		}
	}
	if trial == "" {
		t.Fatal("no trial of the new endpoint")
	}
	h.advance(100 * ms)
	h.finish(trial, balance.OK)
	before := h.countActions("send")
	for range 6 {
		h.requestForTenant("read", "")
	}
	if n := h.countActions("send") - before; n < 4 {
		t.Errorf("%d requests are sent beside the hung endpoint", n)
	}
}

// An idle connection groups turns, and does not change how many each endpoint gets.
func TestIdleConnectionIsUsedForAFewTurns(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	h.idleConnections = map[string]bool{}
	counts, moves, last := map[string]int{}, 0, ""
	const calls = 400
	for range calls {
		id, ep := h.request("read")
		if ep != last { // the connection to the one before is closed
			h.idleConnections[last], last = false, ep
			moves++
		}
		counts[ep]++
		h.advance(50 * ms)
		h.finish(id, balance.OK)
		h.idleConnections[ep] = true
	}
	if moves > calls/2 {
		t.Errorf("%d changes of endpoint in %d requests", moves, calls)
	}
	for ep, n := range counts {
		if n < calls/4-5 || n > calls/4+5 {
			t.Errorf("%s got %d of %d requests", ep, n, calls)
		}
	}
}

func TestEndpointWithTheLowestReportedLoadIsPicked(t *testing.T) {
	s := defaultSettings()
	s.CanProbe = true
	h := newHarness(t, s, "a", "b", "c")
	h.request("read")
	if h.countActions("probe ") != 3 {
		t.Fatalf("actions %v", h.actions)
	}
	for ep, held := range map[string]float64{"a": 4, "b": 0, "c": 4} {
		h.balancer.Probed(h.now, balance.ProbeResult{Endpoint: ep, Load: balance.Load{Known: true, Requests: held}})
	}
	if got := h.sentTo["r1"]; !slices.Equal(got, []string{"b"}) {
		t.Errorf("sent to %v", got)
	}
	h.request("read")
	h.advance(50 * ms) // lost probes delay a request only by probeTimeout
	if len(h.sentTo["r2"]) != 1 {
		t.Error("a request waits for probes that were lost")
	}
}

// In i392ed2 a zone's endpoints hung: they answered probes, with a load of eight, and nothing else. Never picked, they kept
// the lowest deficits and got all the probes, and requests went to endpoints without a load report.
func TestLoadedEndpointsDoNotGetAllTheProbes(t *testing.T) {
	s := defaultSettings()
	s.CanProbe = true
	eps := []string{"a", "b", "c", "d", "e", "hung1", "hung2", "hung3"}
	h := newHarness(t, s, eps...)
	probes, toHung, picks := 0, 0, 0
	for range 200 {
		seen := len(h.actions)
		id, _ := h.request("read")
		for _, d := range h.actions[seen:] {
			ep, ok := strings.CutPrefix(d, "probe ")
			if !ok {
				continue
			}
			load := balance.Load{Known: true, Requests: 1}
			if probes++; strings.HasPrefix(ep, "hung") {
				load.Requests = 8
				toHung++
			}
			h.balancer.Probed(h.now, balance.ProbeResult{Endpoint: ep, Load: load})
		}
		if ep := h.sentTo[id][0]; strings.HasPrefix(ep, "hung") {
			picks++
			h.finish(id, balance.Rejected)
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balance.OK)
	}
	if toHung > probes/4 {
		t.Errorf("%d of %d probes went to three loaded endpoints of eight", toHung, probes)
	}
	if picks > 6 {
		t.Errorf("%d requests went to endpoints known to be loaded", picks)
	}
}
