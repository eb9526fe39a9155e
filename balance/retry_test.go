package balance_test

import (
	"testing"
	"time"

	"tuliprock/balance"
)

func TestOnlyIdempotentRequestIsRetriedAfterReset(t *testing.T) {
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
				t.Errorf("the request got %d attempts, want %d", n, row.wantAttempts)
			}
		})
	}
}

// The retries of three tiers and of clients multiply, so a balancer may retry only a tenth of its requests.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b", "c", "d")
	h.serve(50, map[string]time.Duration{"a": 50 * ms, "b": 50 * ms, "c": 50 * ms, "d": 50 * ms})
	sendsBefore, requests := h.countActions("send"), 200
	for range requests {
		id, ep := h.request("read")
		for n := 0; ep != "" && n < len(h.sentTo[id]); n++ {
			h.advance(10 * ms)
			h.balancer.Outcome(h.now, balance.Outcome{ID: id, AttemptNumber: n, Endpoint: h.sentTo[id][n], Result: balance.ErrorResponse,
				Latency: 10 * ms})
		}
	}
	if retries := h.countActions("send") - sendsBefore - requests; retries > requests/10+10 || retries < 5 {
		t.Errorf("%d requests that all failed got %d retries, want 5 to %d", requests, retries, requests/10+10)
	}
}

// A retry must go to another endpoint even if the first one has the lowest deficit again.
func TestRetryGoesToAnotherEndpoint(t *testing.T) {
	s := defaultSettings()
	s.TiersBelow = 1
	h := newHarness(t, s, "fast", "slow")
	latency := map[string]time.Duration{"fast": 20 * ms, "slow": 30 * ms}
	h.serve(200, latency)
	retriedCount := 0
	for range 30 {
		h.serve(11, latency) // the 11 requests add a retry to the budget, and change which endpoint has the lowest deficit
		id, _ := h.request("read")
		h.advance(10 * ms)
		h.finish(id, balance.ErrorResponse)
		if to := h.sentTo[id]; len(to) == 2 {
			if retriedCount++; to[0] == to[1] {
				t.Fatalf("%s was sent to %v, want two different endpoints", id, to)
			}
			h.advance(latency[to[1]])
			h.finish(id, balance.OK)
		}
	}
	if retriedCount < 10 {
		t.Errorf("%d of 30 requests were retried, want at least 10", retriedCount)
	}
}

// A rejection promises that the client's retry is harmless. Where an attempt may have run, endpoints must still drop the retry as a
// duplicate when it comes, after the Retry-After: otherwise the request fails.
func TestRequestFailsWhenItsRetryWouldComeAfterTheDedupWindow(t *testing.T) {
	const dedupWindow, maxRetryAfter = time.Second, 2 * time.Second
	for _, row := range []struct {
		name        string
		idempotency balance.Idempotency
		failsAfter  time.Duration // time from the attempt to its failure
		result      balance.Result
		want        string // the final response
	}{
		{"well within the window", balance.IdempotencyKey, 100 * ms, balance.ErrorResponse, "reject "},
		{"within the window, which ends before the retry", balance.IdempotencyKey, dedupWindow - 10*ms, balance.ErrorResponse, "fail "},
		{"after the window", balance.IdempotencyKey, dedupWindow + 10*ms, balance.ErrorResponse, "fail "},
		{"after the window, but it can't have run", balance.IdempotencyKey, dedupWindow + 10*ms, balance.ConnectFailed, "reject "},
		{"idempotent without a window", balance.Idempotent, dedupWindow + 10*ms, balance.ErrorResponse, "reject "},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := defaultSettings()
			s.MaxAttempts, s.MaxRetryAfter = 1, maxRetryAfter
			s.Classes = append(s.Classes, balance.Class{Name: "order", Idempotency: row.idempotency, DedupScope: balance.ScopeAll,
				DedupWindow: dedupWindow, LatencyObjective: 2 * time.Second})
			h := newHarness(t, s, "a")
			h.serve(10, map[string]time.Duration{"a": 50 * ms})
			id, _ := h.request("order")
			h.advance(row.failsAfter)
			h.finish(id, row.result)
			if last := h.actions[len(h.actions)-1]; last != row.want+id {
				t.Errorf("last action is %q, want %q", last, row.want+id)
			}
		})
	}
}
