package balance_test

import (
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

func TestSlowEndpointIsEjectedAndRecovers(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	latency := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms}
	h.serve(100, latency)
	latency["d"] = 400 * ms
	h.serve(60, latency)
	if n := h.serve(200, latency)["d"]; n > 10 {
		t.Errorf("a slow endpoint got %d of 200 calls", n)
	}
	latency["d"] = 50 * ms
	h.serve(200, latency)
	if n := h.serve(200, latency)["d"]; n < 35 {
		t.Errorf("a recovered endpoint got %d of 200 calls", n)
	}
}

func TestOneUnusuallyFastEndpointDoesNotEjectAllOthers(t *testing.T) {
	h := newHarness(t, defaultSettings(), "lucky", "b", "c", "d", "e", "f")
	latency := map[string]time.Duration{"lucky": 2 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms, "e": 50 * ms, "f": 50 * ms}
	h.serve(200, latency)
	others := 0
	for ep, n := range h.serve(600, latency) {
		if ep != "lucky" && n > 1 {
			others++
		}
	}
	if others < 2 {
		t.Errorf("only %d endpoints beside the fast one are in use", others)
	}
}

// A hung endpoint must not keep its turns for a whole timeout.
func TestHungEndpointIsEjectedWithinAFewResponseTimes(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "hung")
	latency := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "hung": 50 * ms}
	h.serve(100, latency)
	caught, start := 0, h.now
	for range 200 {
		id, ep := h.request("read")
		if ep == "hung" {
			caught++
			h.advance(20 * ms)
			continue
		}
		h.advance(20 * ms)
		h.finish(id, balance.OK)
	}
	if trials := int((h.now - start) / (500 * ms)); caught > 5+trials {
		t.Errorf("a hung endpoint got %d of 200 requests", caught)
	}
}

// The balancer waits neither for a timeout nor for the weight of an unresponsive endpoint to grow.
func TestUnresponsiveEndpointIsEjectedAtItsFirstOverdueAttempt(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	h.serve(200, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	for ep := ""; ep != "d"; {
		var id string
		if id, ep = h.request("bill"); ep != "d" {
			h.advance(50 * ms)
			h.finish(id, balance.OK)
		}
	}
	h.advance(200 * ms) // past three times 50 ms; one sample of 3 would leave its weight within activeFactor
	if counts := h.serve(6, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms}); counts["d"] > 0 {
		t.Error("an unresponsive endpoint got a request")
	}
}

func TestFailedConnectEjectsUntilATrialSucceeds(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "down")
	h.serve(100, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "down": 50 * ms})
	tries, start := []time.Duration{}, h.now
	for h.now < start+20*time.Second {
		id, ep := h.request("read")
		if ep == "down" {
			tries = append(tries, h.now)
			h.finish(id, balance.ConnectFailed)
			if n := len(h.sentTo[id]); n != 2 || h.sentTo[id][1] == "down" {
				t.Fatalf("after a failed connect the request went to %v", h.sentTo[id])
			}
		}
		h.advance(20 * ms)
		h.finish(id, balance.OK)
	}
	if len(tries) < 4 || len(tries) > 12 {
		t.Errorf("an endpoint that is down got %d attempts in 20 s", len(tries))
	}
	for i := 3; i < len(tries); i++ { // the backoff grows to its limit
		if wait := tries[i] - tries[i-1]; wait < 500*ms {
			t.Errorf("trial %d came after %v", i, wait)
		}
	}
}

func TestNextTrialIsTakenWhenNoEndpointIsActive(t *testing.T) {
	h := newHarness(t, defaultSettings(), "only")
	id, _ := h.request("read")
	h.finish(id, balance.ConnectFailed) // ejected; no endpoint is active for the retry
	if len(h.sentTo[id]) != 2 {
		t.Fatalf("actions %v", h.actions)
	}
	h.advance(30 * ms)
	h.finish(id, balance.OK)
	if _, ep := h.request("read"); ep != "only" {
		t.Error("a trial that succeeded with none active did not make its endpoint active")
	}
}

// Seen on day big-1 of regina: trials of balancers with little traffic crowded an ejected endpoint.
func TestTrialsOfAQuietBalancerStayBelowAnEvenShare(t *testing.T) {
	names := []string{"slow"}
	latency := map[string]time.Duration{"slow": 900 * ms}
	for i := range 19 {
		names = append(names, "e"+strconv.Itoa(i))
		latency[names[i+1]] = 50 * ms
	}
	h := newHarness(t, defaultSettings(), names...)
	slow := 0
	for range 400 { // two requests a second, so an even counts is one each every 10 s
		id, ep := h.request("read")
		if ep == "slow" {
			slow++
		}
		h.advance(latency[ep])
		h.finish(id, balance.OK)
		h.advance(500*ms - min(latency[ep], 400*ms))
	}
	if slow > 14 {
		t.Errorf("the slow endpoint got %d of 400 calls; an even counts is 20", slow)
	}
}

func TestErrorsOfAllEndpointsAreAttributedToTheTierBelow(t *testing.T) {
	s := defaultSettings()
	s.TiersBelow, s.MaxAttempts = 1, 1
	h := newHarness(t, s, "a", "b", "c", "d")
	h.serve(100, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	counts := map[string]int{}
	for range 80 { // every request ends in an error
		id, ep := h.request("read")
		counts[ep]++
		h.advance(50 * ms)
		h.finish(id, balance.ErrorResponse)
	}
	for _, ep := range []string{"a", "b", "c", "d"} {
		if counts[ep] < 14 {
			t.Errorf("%s got %d of 80 requests that all failed below: %v", ep, counts[ep], counts)
		}
	}
}

// Incident i40577d: the fast errors of an endpoint in a middle tier passed for errors of the tier below, and for speed.
func TestEndpointThatFailsFastDrawsNoTraffic(t *testing.T) {
	s := defaultSettings()
	s.TiersBelow, s.MaxAttempts = 1, 1
	names := []string{"broken"}
	for i := range 7 {
		names = append(names, "e"+strconv.Itoa(i))
	}
	h := newHarness(t, s, names...)
	broken := 0
	for range 400 {
		id, ep := h.request("read")
		if ep == "broken" {
			broken++
			h.advance(2 * ms)
			h.finish(id, balance.ErrorResponse)
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balance.OK)
	}
	if broken > 30 {
		t.Errorf("a broken endpoint got %d of 400 calls", broken)
	}
}

// A cancelled attempt says nothing of its endpoint, good or bad.
func TestCanceledAttemptIsNoLatencySample(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	latency := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms}
	h.serve(100, latency)
	off := 0
	for range 40 { // only attempts at b are cancelled, early
		id, ep := h.request("read")
		if ep == "b" {
			h.advance(ms)
			h.balancer.ClientDisconnected(h.now, id)
			h.finish(id, balance.Canceled)
			off++
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balance.OK)
	}
	if off == 0 || off > 24 {
		t.Errorf("b got %d of 40 requests; early cancellation must not make it look fast, nor slow", off)
	}
	if counts := h.serve(60, latency); counts["b"] < 20 {
		t.Errorf("requests after the cancellations: %v", counts)
	}
}

// Seen on a day of endpoints that close idle connections early: each reset passed for a restart and for a sample of a
// timeout, and healthy endpoints were ejected. The request is retried all the same, if that is safe.
func TestResetOnAReusedConnectionIsNoLatencySample(t *testing.T) {
	for _, row := range []struct {
		name     string
		isReused bool
	}{{"reused connection", true}, {"new connection", false}} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, defaultSettings(), "a", "b", "c")
			all := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms}
			h.serve(30, all)
			id, ep := h.request("read")
			h.balancer.Outcome(h.now, balance.Outcome{ID: id, Endpoint: ep, Result: balance.Reset, Latency: ms, ReusedConnection: row.isReused})
			if len(h.sentTo[id]) != 2 || h.sentTo[id][1] == ep {
				t.Fatalf("sent to %v", h.sentTo[id])
			}
			h.finish(id, balance.OK)
			if counts := h.serve(9, all); (counts[ep] >= 2) != row.isReused {
				t.Errorf("then %d of 9 requests", counts[ep])
			}
			id, ep = h.request("bill")
			h.balancer.Outcome(h.now, balance.Outcome{ID: id, Endpoint: ep, Result: balance.Reset, Latency: ms, ReusedConnection: row.isReused})
			if len(h.sentTo[id]) != 1 || h.countActions("fail "+id) != 1 {
				t.Errorf("the unsafe request was sent to %v", h.sentTo[id])
			}
		})
	}
}
