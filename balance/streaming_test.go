package balance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// upload sends a request whose body may stream for an hour, and returns its ID.
func (h *harness) upload(class string) string {
	h.requestCount++
	id := fmt.Sprint("u", h.requestCount)
	h.balancer.Request(h.now, balance.Request{ID: id, Class: class, Deadline: h.now + 5*time.Second, StreamUntil: h.now + time.Hour})
	return id
}

// learnBaseline serves requests of a class in 10 ms each, so that its baseline latency becomes 10 ms.
func (h *harness) learnBaseline(class string) {
	for range 200 {
		id, _ := h.request(class)
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
}

// Streaming bodies must not use up the concurrency limit, or other requests would be queued for as long as the transfers
// last.
func TestStreamingBodiesDoNotCountAgainstTheConcurrencyLimit(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	for range 200 {
		h.upload("bill")
	}
	for range 200 { // requests with streaming responses
		id, ep := h.request("read")
		if ep == "" {
			t.Fatalf("%s was queued while only streaming bodies are in flight, want it sent", id)
		}
		h.advance(10 * ms)
		h.balancer.StreamStarted(h.now, id, 0)
	}
	if id, ep := h.request("read"); ep == "" {
		t.Errorf("%s was queued while 400 streaming bodies are in flight, want it sent", id)
	}
	if n := h.countActions("reject") + h.countActions("fail"); n > 0 {
		t.Errorf("%d requests were rejected or failed, want none", n)
	}
}

// The duration of a streaming body must not count as latency of the endpoint, or healthy endpoints would be ejected.
func TestDurationOfAStreamingBodyIsNoLatencySample(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	h.learnBaseline("bill")
	for range 3 {
		id := h.upload("bill")
		h.advance(20 * time.Second) // far longer than the latencies and the deadline
		if h.countActions("fail")+h.countActions("reject") > 0 {
			t.Fatalf("an upload was rejected or failed while its body was streaming; last actions are %v", h.actions[len(h.actions)-3:])
		}
		h.balancer.BodySent(h.now, id, 0, h.now+5*time.Second)
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	counts := map[string]int{}
	for range 100 {
		id, ep := h.request("read")
		counts[ep]++
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	if counts["a"] < 30 || counts["b"] < 30 {
		t.Errorf("after the uploads the endpoints got %v of 100 requests, want at least 30 each", counts)
	}
}

// The deadline of an upload is set when its last byte has been sent; the balancer waits for the response until this
// deadline.
func TestDeadlineOfAStreamingBodyAppliesAfterItsLastByte(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	id := h.upload("bill")
	h.advance(30 * time.Second)
	h.balancer.BodySent(h.now, id, 0, h.now+2*time.Second)
	h.advance(1900 * ms)
	if h.countActions("fail") != 0 {
		t.Error("the upload failed before its deadline")
	}
	h.advance(200 * ms)
	if h.countActions("fail "+id) != 1 || h.countActions("cancel "+id) != 1 {
		t.Errorf("actions after the deadline are %v, want the upload cancelled and failed", h.actions)
	}
	if id = h.upload("read"); h.countActions("send "+id) != 1 {
		t.Fatalf("upload %s was not sent", id)
	}
	h.advance(time.Hour + time.Second)
	if h.countActions("fail "+id) != 1 {
		t.Errorf("upload %s has not failed after StreamUntil", id)
	}
}

// A request whose body is consumed is not retried, whatever its class: it is rejected if no attempt can have run, and fails
// otherwise.
func TestRequestWithConsumedBodyIsNotRetried(t *testing.T) {
	for _, class := range []string{"read", "bill"} {
		for _, row := range []struct {
			name       string
			result     balance.Result
			isConsumed bool
			want       string
		}{
			{"consumed, connect failed", balance.ConnectFailed, true, "reject"},
			{"consumed, rejected", balance.Rejected, true, "reject"},
			{"consumed, reset", balance.Reset, true, "fail"},
			{"consumed, error response", balance.ErrorResponse, true, "fail"},
			{"consumed, timed out", balance.TimedOut, true, "fail"},
			{"buffered, connect failed", balance.ConnectFailed, false, "send"},
			{"buffered, rejected", balance.Rejected, false, "send"},
		} {
			t.Run(class+", "+row.name, func(t *testing.T) {
				h := newHarness(t, defaultSettings(), "a", "b", "c")
				h.learnBaseline("read")
				id := h.upload(class)
				h.actions = nil
				h.balancer.Outcome(h.now, balance.Outcome{ID: id, Endpoint: h.sentTo[id][0], Result: row.result,
					BodyConsumed: row.isConsumed})
				if len(h.actions) != 1 || !strings.HasPrefix(h.actions[0], row.want+" ") {
					t.Errorf("actions are %v, want one %s", h.actions, row.want)
				}
			})
		}
	}
}

// A trial that is a long upload must not delay the next trial until the upload ends.
func TestStreamingTrialDoesNotBlockOtherTrials(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	for range 50 { // endpoint b does not respond and is ejected
		id, ep := h.request("read")
		if h.advance(10 * ms); ep == "a" {
			h.finish(id, balance.OK)
		}
	}
	var trialIDs []string
	for range 400 { // one of the uploads becomes a trial of endpoint b
		id := h.upload("read")
		if h.sentTo[id][0] == "b" {
			trialIDs = append(trialIDs, id)
			break
		}
		h.balancer.BodySent(h.now, id, 0, h.now+5*time.Second)
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	if len(trialIDs) == 0 {
		t.Fatal("no upload became a trial of b")
	}
	for range 1000 { // the upload continues, and endpoint b responds again
		id, ep := h.request("read")
		h.advance(10 * ms)
		h.finish(id, balance.OK)
		if ep == "b" {
			return
		}
	}
	t.Error("b got none of 1000 requests during the upload, want another trial")
}

// An endpoint that takes no body must not hold a client beyond its time, and counts as one that does not respond.
func TestOverdueBodyFailsItsRequestAndEjectsASilentEndpoint(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	id := h.upload("bill")
	silent, sentAt := h.sentTo[id][0], h.now
	h.advance(3 * time.Second)
	h.balancer.BodyOverdue(h.now, id, sentAt)
	if h.countActions("fail "+id) != 1 || h.countActions("cancel "+id) != 1 {
		t.Fatalf("actions are %v, want the upload cancelled and failed", h.actions[len(h.actions)-3:])
	}
	h.finish(id, balance.Canceled)
	h.balancer.BodyOverdue(h.now, id, sentAt) // has no effect any more
	counts := h.serve(20, map[string]time.Duration{"a": 10 * ms, "b": 10 * ms})
	if counts[silent] > 1 || h.countActions("fail "+id) != 1 { // one trial may be due
		t.Errorf("the endpoints got %v of 20 requests, want %s to get at most a trial", counts, silent)
	}
}
