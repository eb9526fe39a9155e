package balance_test

import (
	"testing"
	"time"

	"tuliprock/balance"
)

func TestIdempotentRequestIsRetriedAfterResetAndUnsafeIsNot(t *testing.T) {
	for class, want := range map[string]int{"read": 2, "bill": 1} {
		r := newHarness(t, defaultSettings(), "a", "b", "c")
		r.serve(50, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms})
		id, _ := r.request(class)
		r.advance(time.Second)
		r.finish(id, balance.Reset)
		if n := len(r.sentTo[id]); n != want {
			t.Errorf("a broken %s was sent %d times, want %d", class, n, want)
		}
	}
}

// Retries of three tiers and of clients multiply: each balancer may add a tenth.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	r.serve(50, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	before, asked := r.countActions("send"), 200
	for range asked {
		id, ep := r.request("read")
		for n := 0; ep != "" && n < len(r.sentTo[id]); n++ {
			r.advance(10 * ms)
			r.balancer.Outcome(r.now, balance.Outcome{ID: id, Attempt: n, Endpoint: r.sentTo[id][n], Result: balance.Errored, Took: 10 * ms})
		}
	}
	if extra := r.countActions("send") - before - asked; extra > asked/10+10 || extra < 5 {
		t.Errorf("%d resends for %d requests that all failed", extra, asked)
	}
}

// The first endpoint may have the lowest deficit again; the retry goes elsewhere all the same.
func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	s := defaultSettings()
	s.TiersBelow = 1
	r := newHarness(t, s, "fast", "slow")
	took := map[string]time.Duration{"fast": 20 * ms, "slow": 30 * ms}
	r.serve(200, took)
	again := 0
	for range 30 {
		r.serve(11, took) // earns a resend, and moves the turns on
		id, _ := r.request("read")
		r.advance(10 * ms)
		r.finish(id, balance.Errored)
		if to := r.sentTo[id]; len(to) == 2 {
			if again++; to[0] == to[1] {
				t.Fatalf("%s went to %v", id, to)
			}
			r.advance(took[to[1]])
			r.finish(id, balance.OK)
		}
	}
	if again < 10 {
		t.Errorf("%d of 30 calls were sent again", again)
	}
}
