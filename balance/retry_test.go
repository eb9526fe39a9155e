package balance_test

import (
	"testing"
	"time"

	"tuliprock/balance"
)

func TestIdempotentRequestIsRetriedAfterResetAndUnsafeIsNot(t *testing.T) {
	for _, row := range []struct {
		name, class  string
		wantAttempts int
	}{
		{"idempotent", "read", 2},
		{"not idempotent", "bill", 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, defaultSettings(), "a", "b", "c")
			h.serve(50, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms})
			id, _ := h.request(row.class)
			h.advance(time.Second)
			h.finish(id, balance.Reset)
			if n := len(h.sentTo[id]); n != row.wantAttempts {
				t.Errorf("%d attempts, want %d", n, row.wantAttempts)
			}
		})
	}
}

// Retries of three tiers and of clients multiply: each balancer may add a tenth.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	h.serve(50, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	before, asked := h.countActions("send"), 200
	for range asked {
		id, ep := h.request("read")
		for n := 0; ep != "" && n < len(h.sentTo[id]); n++ {
			h.advance(10 * ms)
			h.balancer.Outcome(h.now, balance.Outcome{ID: id, Attempt: n, Endpoint: h.sentTo[id][n], Result: balance.ErrorResponse,
				Latency: 10 * ms})
		}
	}
	if extra := h.countActions("send") - before - asked; extra > asked/10+10 || extra < 5 {
		t.Errorf("%d retries of %d requests that all failed", extra, asked)
	}
}

// The first endpoint may have the lowest deficit again; the retry goes elsewhere all the same.
func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	s := defaultSettings()
	s.TiersBelow = 1
	h := newHarness(t, s, "fast", "slow")
	latency := map[string]time.Duration{"fast": 20 * ms, "slow": 30 * ms}
	h.serve(200, latency)
	again := 0
	for range 30 {
		h.serve(11, latency) // earns a retry, and changes whose turn it is
		id, _ := h.request("read")
		h.advance(10 * ms)
		h.finish(id, balance.ErrorResponse)
		if to := h.sentTo[id]; len(to) == 2 {
			if again++; to[0] == to[1] {
				t.Fatalf("%s went to %v", id, to)
			}
			h.advance(latency[to[1]])
			h.finish(id, balance.OK)
		}
	}
	if again < 10 {
		t.Errorf("%d of 30 requests were retried", again)
	}
}
