package balance_test

import (
	"strconv"
	"testing"
	"time"

	"tuliprock/balance"
)

func TestSlowEndpointIsEjectedAndRecovers(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	took := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms}
	r.serve(100, took)
	took["d"] = 400 * ms
	r.serve(60, took)
	if n := r.serve(200, took)["d"]; n > 10 {
		t.Errorf("a slow endpoint got %d of 200 calls", n)
	}
	took["d"] = 50 * ms
	r.serve(200, took)
	if n := r.serve(200, took)["d"]; n < 35 {
		t.Errorf("a recovered endpoint got %d of 200 calls", n)
	}
}

func TestOneUnusuallyFastEndpointDoesNotEjectAllOthers(t *testing.T) {
	r := newHarness(t, defaultSettings(), "lucky", "b", "c", "d", "e", "f")
	took := map[string]time.Duration{"lucky": 2 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms, "e": 50 * ms, "f": 50 * ms}
	r.serve(200, took)
	others := 0
	for ep, n := range r.serve(600, took) {
		if ep != "lucky" && n > 1 {
			others++
		}
	}
	if others < 2 {
		t.Errorf("only %d endpoints beside the lucky one are in use", others)
	}
}

// A hung endpoint must not keep its turns for a whole timeout.
func TestHungEndpointIsEjectedWithinAFewResponseTimes(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b", "c", "hung")
	took := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "hung": 50 * ms}
	r.serve(100, took)
	caught, start := 0, r.now
	for range 200 {
		id, ep := r.request("read")
		if ep == "hung" {
			caught++
			r.advance(20 * ms)
			continue
		}
		r.advance(20 * ms)
		r.finish(id, balance.OK)
	}
	if trials := int((r.now - start) / (500 * ms)); caught > 5+trials {
		t.Errorf("a hung endpoint caught %d of 200 calls", caught)
	}
}

// The balancer waits neither for a timeout nor for the weight of an unresponsive endpoint to grow.
func TestUnresponsiveEndpointIsEjectedAtItsFirstOverdueAttempt(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	r.serve(200, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	for ep := ""; ep != "d"; {
		var id string
		if id, ep = r.request("bill"); ep != "d" {
			r.advance(50 * ms)
			r.finish(id, balance.OK)
		}
	}
	r.advance(200 * ms) // past three times 50 ms; one sample of 3 would leave its weight within twice the smallest
	if share := r.serve(6, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms}); share["d"] > 0 {
		t.Error("a silent endpoint got a turn")
	}
}

func TestFailedConnectEjectsUntilATrialSucceeds(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b", "c", "down")
	r.serve(100, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "down": 50 * ms})
	tries, start := []time.Duration{}, r.now
	for r.now < start+20*time.Second {
		id, ep := r.request("read")
		if ep == "down" {
			tries = append(tries, r.now)
			r.finish(id, balance.ConnectFailed)
			if n := len(r.sentTo[id]); n != 2 || r.sentTo[id][1] == "down" {
				t.Fatalf("after a failed connect the call went to %v", r.sentTo[id])
			}
		}
		r.advance(20 * ms)
		r.finish(id, balance.OK)
	}
	if len(tries) < 4 || len(tries) > 12 {
		t.Errorf("a dead endpoint was tried %d times in 20 s", len(tries))
	}
	for i := 3; i < len(tries); i++ { // the waits grow until they reach their limit
		if wait := tries[i] - tries[i-1]; wait < 500*ms {
			t.Errorf("trial %d came after %v", i, wait)
		}
	}
}

func TestNextTrialIsTakenWhenNoEndpointIsActive(t *testing.T) {
	r := newHarness(t, defaultSettings(), "only")
	id, _ := r.request("read")
	r.finish(id, balance.ConnectFailed) // dropped, and the resend is the none-active branch
	if len(r.sentTo[id]) != 2 {
		t.Fatalf("actions %v", r.actions)
	}
	r.advance(30 * ms)
	r.finish(id, balance.OK)
	if _, ep := r.request("read"); ep != "only" {
		t.Error("a trial that succeeded with none active did not readmit its endpoint")
	}
}

// Seen on day big-1 of regina: trials of balancers with little traffic crowded an ejected endpoint.
func TestTrialsOfAQuietBalancerStayBelowAnEvenShare(t *testing.T) {
	names := []string{"slow"}
	took := map[string]time.Duration{"slow": 900 * ms}
	for i := range 19 {
		names = append(names, "e"+strconv.Itoa(i))
		took[names[i+1]] = 50 * ms
	}
	r := newHarness(t, defaultSettings(), names...)
	slow := 0
	for range 400 { // two calls a second, an even share is one call to each every 10 s
		id, ep := r.request("read")
		if ep == "slow" {
			slow++
		}
		r.advance(took[ep])
		r.finish(id, balance.OK)
		r.advance(500*ms - min(took[ep], 400*ms))
	}
	if slow > 14 {
		t.Errorf("the slow endpoint got %d of 400 calls; an even share is 20", slow)
	}
}

func TestErrorsOfAllEndpointsAreAttributedToTheTierBelow(t *testing.T) {
	s := defaultSettings()
	s.TiersBelow, s.MaxAttempts = 1, 1
	r := newHarness(t, s, "a", "b", "c", "d")
	r.serve(100, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	share := map[string]int{}
	for range 80 { // every call ends in an error
		id, ep := r.request("read")
		share[ep]++
		r.advance(50 * ms)
		r.finish(id, balance.Errored)
	}
	for _, ep := range []string{"a", "b", "c", "d"} {
		if share[ep] < 14 {
			t.Errorf("%s got %d of 80 calls that all failed below: %v", ep, share[ep], share)
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
	r := newHarness(t, s, names...)
	broken := 0
	for range 400 {
		id, ep := r.request("read")
		if ep == "broken" {
			broken++
			r.advance(2 * ms)
			r.finish(id, balance.Errored)
			continue
		}
		r.advance(50 * ms)
		r.finish(id, balance.OK)
	}
	if broken > 30 {
		t.Errorf("a broken endpoint got %d of 400 calls", broken)
	}
}

// A cancelled attempt says nothing of its endpoint, good or bad.
func TestCanceledAttemptIsNoLatencySample(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b")
	took := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms}
	r.serve(100, took)
	off := 0
	for range 40 { // calls to b alone are called off, early
		id, ep := r.request("read")
		if ep == "b" {
			r.advance(ms)
			r.balancer.ClientLeft(r.now, id)
			r.finish(id, balance.Canceled)
			off++
			continue
		}
		r.advance(50 * ms)
		r.finish(id, balance.OK)
	}
	if off == 0 || off > 24 {
		t.Errorf("b got %d of 40 turns; called off early, it must not pass for fast, nor lose its turns", off)
	}
	if share := r.serve(60, took); share["b"] < 20 {
		t.Errorf("turns after calls were called off: %v", share)
	}
}

// Seen on a day of endpoints that close idle connections early: each reset passed for a restart and for a sample of a
// timeout, and healthy endpoints were ejected. The request is retried all the same, if that is safe.
func TestResetOnAReusedConnectionIsNoLatencySample(t *testing.T) {
	for _, reused := range []bool{true, false} {
		r := newHarness(t, defaultSettings(), "a", "b", "c")
		all := map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms}
		r.serve(30, all)
		id, ep := r.request("read")
		r.balancer.Outcome(r.now, balance.Outcome{ID: id, Endpoint: ep, Result: balance.Reset, Took: ms, Reused: reused})
		if len(r.sentTo[id]) != 2 || r.sentTo[id][1] == ep {
			t.Fatalf("reused %v: sent to %v", reused, r.sentTo[id])
		}
		r.finish(id, balance.OK)
		if share := r.serve(9, all); (share[ep] >= 2) != reused {
			t.Errorf("reused %v: then %d of 9 turns", reused, share[ep])
		}
		id, ep = r.request("bill")
		r.balancer.Outcome(r.now, balance.Outcome{ID: id, Endpoint: ep, Result: balance.Reset, Took: ms, Reused: reused})
		if len(r.sentTo[id]) != 1 || r.countActions("fail "+id) != 1 {
			t.Errorf("reused %v: unsafe work sent to %v", reused, r.sentTo[id])
		}
	}
}
