package balance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
)

// upload makes a request whose body streams for an hour at most, and returns its ID.
func (h *harness) upload(class string) string {
	h.requestCount++
	id := fmt.Sprint("u", h.requestCount)
	h.balancer.Request(h.now, balance.Request{ID: id, Class: class, Deadline: h.now + 5*time.Second, StreamUntil: h.now + time.Hour})
	return id
}

// learnBaseline serves requests of a class in 10 ms each, so that this is its baseline.
func (h *harness) learnBaseline(class string) {
	for range 200 {
		id, _ := h.request(class)
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
}

// Transfers must not use up the concurrency limit: short requests would be queued for as long as transfers last.
func TestStreamingBodiesDoNotCountAgainstTheConcurrencyLimit(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	for range 200 {
		h.upload("bill")
	}
	for range 200 { // and streaming responses
		id, ep := h.request("read")
		if ep == "" {
			t.Fatal("a download was not sent")
		}
		h.advance(10 * ms)
		h.balancer.StreamStarted(h.now, id, 0)
	}
	if id, ep := h.request("read"); ep == "" {
		t.Errorf("%s is queued beside 400 transfers", id)
	}
	if n := h.countActions("reject") + h.countActions("fail"); n > 0 {
		t.Errorf("%d were rejected or failed", n)
	}
}

// How long a body takes is no latency of the endpoint, whether it arrives or stops.
func TestDurationOfAStreamingBodyIsNoLatencySample(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	h.learnBaseline("bill")
	for range 3 {
		id := h.upload("bill")
		h.advance(20 * time.Second) // far beyond latencies and the deadline
		if h.countActions("fail")+h.countActions("reject") > 0 {
			t.Fatalf("an upload was given up while its body was streaming: %v", h.actions[len(h.actions)-3:])
		}
		h.balancer.BodySent(h.now, id, 0, h.now+5*time.Second)
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	seen := map[string]int{}
	for range 100 {
		id, ep := h.request("read")
		seen[ep]++
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	if seen["a"] < 30 || seen["b"] < 30 {
		t.Errorf("an endpoint got fewer requests because of uploads: %v", seen)
	}
}

// With its last byte sent, an upload waits for its response until the deadline, which is set only then.
func TestDeadlineOfAStreamingBodyAppliesAfterItsLastByte(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	id := h.upload("bill")
	h.advance(30 * time.Second)
	h.balancer.BodySent(h.now, id, 0, h.now+2*time.Second)
	h.advance(1900 * ms)
	if h.countActions("fail") != 0 {
		t.Error("given up before its deadline")
	}
	h.advance(200 * ms)
	if h.countActions("fail "+id) != 1 || h.countActions("cancel "+id) != 1 {
		t.Errorf("not given up at its deadline: %v", h.actions)
	}
	if id = h.upload("read"); h.countActions("send "+id) != 1 {
		t.Fatal("not sent")
	}
	h.advance(time.Hour + time.Second)
	if h.countActions("fail "+id) != 1 {
		t.Error("a body may stream without end")
	}
}

// Whatever its class, a request with a consumed body is rejected only if no attempt can have run, else it fails.
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
			{"kept, connect failed", balance.ConnectFailed, false, "send"},
			{"kept, rejected", balance.Rejected, false, "send"},
		} {
			t.Run(class+", "+row.name, func(t *testing.T) {
				h := newHarness(t, defaultSettings(), "a", "b", "c")
				h.learnBaseline("read")
				id := h.upload(class)
				h.actions = nil
				h.balancer.Outcome(h.now, balance.Outcome{ID: id, Endpoint: h.sentTo[id][0], Result: row.result,
					BodyConsumed: row.isConsumed})
				if len(h.actions) != 1 || !strings.HasPrefix(h.actions[0], row.want+" ") {
					t.Errorf("%v, want %s", h.actions, row.want)
				}
			})
		}
	}
}

// A trial by a long upload must not delay the next trial for as long as the upload lasts.
func TestStreamingTrialDoesNotBlockOtherTrials(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	for range 50 { // b does not respond any more, and is ejected
		id, ep := h.request("read")
		if h.advance(10 * ms); ep == "a" {
			h.finish(id, balance.OK)
		}
	}
	var held []string
	for range 400 { // an upload becomes the trial of b sooner or later
		id := h.upload("read")
		if h.sentTo[id][0] == "b" {
			held = append(held, id)
			break
		}
		h.balancer.BodySent(h.now, id, 0, h.now+5*time.Second)
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	if len(held) == 0 {
		t.Fatal("no upload became a trial of the endpoint")
	}
	for range 1000 { // the upload goes on, and b responds again
		id, ep := h.request("read")
		h.advance(10 * ms)
		h.finish(id, balance.OK)
		if ep == "b" {
			return
		}
	}
	t.Error("one upload keeps all other requests from the endpoint")
}
