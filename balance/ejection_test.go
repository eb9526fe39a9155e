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
		t.Errorf("the slow endpoint got %d of 200 requests, want 10 at most", n)
	}
	latency["d"] = 50 * ms
	h.serve(200, latency)
	if n := h.serve(200, latency)["d"]; n < 35 {
		t.Errorf("the recovered endpoint got %d of 200 requests, want at least 35", n)
	}
}

func TestOneUnusuallyFastEndpointDoesNotEjectAllOthers(t *testing.T) {
	h := newHarness(t, defaultSettings(), "fast", "b", "c", "d", "e", "f")
	latency := map[string]time.Duration{"fast": 2 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms, "e": 50 * ms, "f": 50 * ms}
	h.serve(200, latency)
	othersInUse := 0
	for ep, n := range h.serve(600, latency) {
		if ep != "fast" && n > 1 {
			othersInUse++
		}
	}
	if othersInUse < 2 {
		t.Errorf("%d endpoints other than the fast one are in use, want at least 2", othersInUse)
	}
}

// An endpoint that hangs must be ejected well before the first attempt at it times out.
func TestHungEndpointIsEjectedWithinAFewResponseTimes(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "hung")
	latency := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "hung": 50 * ms}
	h.serve(100, latency)
	hungRequests, startedAt := 0, h.now
	for range 200 {
		id, ep := h.request("read")
		if ep == "hung" {
			hungRequests++
			h.advance(20 * ms)
			continue
		}
		h.advance(20 * ms)
		h.finish(id, balance.OK)
	}
	if trials := int((h.now - startedAt) / (500 * ms)); hungRequests > 5+trials {
		t.Errorf("the hung endpoint got %d of 200 requests, want 5 and %d trials at most", hungRequests, trials)
	}
}

// An endpoint that does not respond is ejected when the first attempt sent to it is overdue. This attempt would time out later, and
// its latency sample alone does not raise the endpoint's weight enough for an ejection.
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
	// The attempt is overdue after 150 ms, which is overdueMultiple (3) times the latency of 50 ms. Its sample, a stretch of 3, is
	// averaged with earlier samples, so that endpoint d stays within maxActiveWeightRatio.
	h.advance(200 * ms)
	if counts := h.serve(6, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms}); counts["d"] > 0 {
		t.Errorf("the endpoint that does not respond got %d of 6 requests, want none", counts["d"])
	}
}

func TestFailedConnectEjectsAnEndpointUntilATrialSucceeds(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "down")
	h.serve(100, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "down": 50 * ms})
	attemptedAt, startedAt := []time.Duration{}, h.now
	for h.now < startedAt+20*time.Second {
		id, ep := h.request("read")
		if ep == "down" {
			attemptedAt = append(attemptedAt, h.now)
			h.finish(id, balance.ConnectFailed)
			if n := len(h.sentTo[id]); n != 2 || h.sentTo[id][1] == "down" {
				t.Fatalf("the request was sent to %v, want a retry at another endpoint after the failed connect", h.sentTo[id])
			}
		}
		h.advance(20 * ms)
		h.finish(id, balance.OK)
	}
	if len(attemptedAt) < 4 || len(attemptedAt) > 12 {
		t.Errorf("the endpoint that is down got %d attempts in 20 s, want 4 to 12", len(attemptedAt))
	}
	// By attempt 3 at the endpoint, counted from 0, a failed trial has doubled the initial backoff, which is at least 500 ms. Jitter
	// cannot make the doubled backoff shorter than 500 ms.
	for i := 3; i < len(attemptedAt); i++ {
		if wait := attemptedAt[i] - attemptedAt[i-1]; wait < 500*ms {
			t.Errorf("trial %d came %v after the one before, want at least 500 ms", i, wait)
		}
	}
}

func TestNextTrialIsTakenWhenNoEndpointIsActive(t *testing.T) {
	h := newHarness(t, defaultSettings(), "only")
	id, _ := h.request("read")
	h.finish(id, balance.ConnectFailed) // ejects the only endpoint, so that none is active for the retry
	if len(h.sentTo[id]) != 2 {
		t.Fatalf("actions are %v, want two attempts of %s", h.actions, id)
	}
	h.advance(30 * ms)
	h.finish(id, balance.OK)
	if _, ep := h.request("read"); ep != "only" {
		t.Errorf("after a successful trial a request was sent to %q, want the endpoint \"only\"", ep)
	}
}

// The trials of many balancers with little traffic must not overload an ejected endpoint (found by simulation big-1 of site
// regina).
func TestTrialsGetLessThanAnEvenPartOfTheRequestsOfALowTrafficBalancer(t *testing.T) {
	names := []string{"slow"}
	latency := map[string]time.Duration{"slow": 900 * ms}
	for i := range 19 {
		names = append(names, "e"+strconv.Itoa(i))
		latency[names[i+1]] = 50 * ms
	}
	h := newHarness(t, defaultSettings(), names...)
	slowEndpointRequests := 0
	for range 400 { // two requests per second; an even part is one request per endpoint every 10 s
		id, ep := h.request("read")
		if ep == "slow" {
			slowEndpointRequests++
		}
		h.advance(latency[ep])
		h.finish(id, balance.OK)
		h.advance(500*ms - min(latency[ep], 400*ms))
	}
	if slowEndpointRequests > 14 {
		t.Errorf("the slow endpoint got %d of 400 requests, want 14 at most; an even part is 20", slowEndpointRequests)
	}
}

func TestErrorsOfAllEndpointsAreAttributedToTheTierBelow(t *testing.T) {
	s := defaultSettings()
	s.TiersBelow, s.MaxAttempts = 1, 1
	h := newHarness(t, s, "a", "b", "c", "d")
	h.serve(100, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	counts := map[string]int{}
	for range 80 { // all requests fail
		id, ep := h.request("read")
		counts[ep]++
		h.advance(50 * ms)
		h.finish(id, balance.ErrorResponse)
	}
	for _, ep := range []string{"a", "b", "c", "d"} {
		if counts[ep] < 14 {
			t.Errorf("%s got %d of 80 requests that all failed, want at least 14; all counts: %v", ep, counts[ep], counts)
		}
	}
}

// The fast errors of an endpoint in a middle tier must count for this endpoint. When they were attributed to the tier below,
// the endpoint seemed fast and got more requests (incident i40577d).
func TestEndpointThatFailsFastGetsFewRequests(t *testing.T) {
	s := defaultSettings()
	s.TiersBelow, s.MaxAttempts = 1, 1
	names := []string{"broken"}
	for i := range 7 {
		names = append(names, "e"+strconv.Itoa(i))
	}
	h := newHarness(t, s, names...)
	failingEndpointRequests := 0
	for range 400 {
		id, ep := h.request("read")
		if ep == "broken" {
			failingEndpointRequests++
			h.advance(2 * ms)
			h.finish(id, balance.ErrorResponse)
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balance.OK)
	}
	if failingEndpointRequests > 30 {
		t.Errorf("the endpoint that fails got %d of 400 requests, want 30 at most", failingEndpointRequests)
	}
}

// The time until an attempt is cancelled says nothing about the latency of its endpoint.
func TestCanceledAttemptIsNoLatencySample(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	latency := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms}
	h.serve(100, latency)
	canceledCount := 0
	for range 40 { // attempts at endpoint b are cancelled after 1 ms, and attempts at endpoint a succeed
		id, ep := h.request("read")
		if ep == "b" {
			h.advance(ms)
			h.balancer.ClientDisconnected(h.now, id)
			h.finish(id, balance.Canceled)
			canceledCount++
			continue
		}
		h.advance(50 * ms)
		h.finish(id, balance.OK)
	}
	if canceledCount == 0 || canceledCount > 24 {
		t.Errorf("b got %d of 40 requests, want 1 to 24: cancellation must make it seem neither fast nor slow", canceledCount)
	}
	if counts := h.serve(60, latency); counts["b"] < 20 {
		t.Errorf("after the cancellations b got %d of 60 requests, want at least 20", counts["b"])
	}
}

// An endpoint may close an idle connection while a request is being sent on it. If such a reset counted as a restart, and as
// a latency sample of a timeout, healthy endpoints would be ejected. The request is still retried if it is idempotent.
func TestResetOnAReusedConnectionIsNoLatencySample(t *testing.T) {
	for _, row := range []struct {
		name     string
		isReused bool
	}{{"reused connection", true}, {"new connection", false}} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, defaultSettings(), "a", "b", "c")
			latency := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms}
			h.serve(30, latency)
			id, ep := h.request("read")
			h.balancer.Outcome(h.now, balance.Outcome{ID: id, Endpoint: ep, Result: balance.Reset, Latency: ms, ReusedConnection: row.isReused})
			if len(h.sentTo[id]) != 2 || h.sentTo[id][1] == ep {
				t.Fatalf("the idempotent request was sent to %v, want a retry at another endpoint than %s", h.sentTo[id], ep)
			}
			h.finish(id, balance.OK)
			if counts := h.serve(9, latency); (counts[ep] >= 2) != row.isReused {
				t.Errorf("%s then got %d of 9 requests, want at least 2: %v", ep, counts[ep], row.isReused)
			}
			id, ep = h.request("bill")
			h.balancer.Outcome(h.now, balance.Outcome{ID: id, Endpoint: ep, Result: balance.Reset, Latency: ms, ReusedConnection: row.isReused})
			if len(h.sentTo[id]) != 1 || h.countActions("fail "+id) != 1 {
				t.Errorf("the request that is not idempotent was sent to %v, want one attempt and a failure", h.sentTo[id])
			}
		})
	}
}
