package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tuliprock/balance"
)

// upload asks for a request whose body flows for an hour at most.
func (h *harness) upload(class string) string {
	h.requestCount++
	id := fmt.Sprint("u", h.requestCount)
	h.balancer.Request(h.now, balance.Request{ID: id, Class: class, Deadline: h.now + 5*time.Second, Flow: h.now + time.Hour})
	return id
}

// learnBaseline lets calls of a class be known to take 10 ms.
func (h *harness) learnBaseline(class string) {
	for range 200 {
		id, _ := h.request(class)
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
}

// Transfers must not use up the room: calls that are over in an answer's time would stand still for as long as they last.
func TestStreamingBodiesDoNotCountAgainstTheConcurrencyLimit(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	for range 200 {
		h.upload("bill")
	}
	for range 200 { // and answers
		id, ep := h.request("read")
		if ep == "" {
			t.Fatal("a download was not sent")
		}
		h.advance(10 * ms)
		h.balancer.StreamStarted(h.now, id, 0)
	}
	if id, ep := h.request("read"); ep == "" {
		t.Errorf("%s is held beside 400 transfers", id)
	}
	if n := h.countActions("refuse") + h.countActions("fail"); n > 0 {
		t.Errorf("%d were given up", n)
	}
}

// What a body takes is not the endpoint's time: neither to come, nor where it stops.
func TestDurationOfAStreamingBodyIsNoLatencySample(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	h.learnBaseline("bill")
	for range 3 {
		id := h.upload("bill")
		h.advance(20 * time.Second) // far beyond all that calls take, and the deadline
		if h.countActions("fail")+h.countActions("refuse") > 0 {
			t.Fatalf("an upload was given up while it flowed: %v", h.actions[len(h.actions)-3:])
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
		t.Errorf("an endpoint lost its turns by uploads: %v", seen)
	}
}

// Once its last byte is out, an upload waits like any other request: to its deadline, which begins then.
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
		t.Error("a body may flow for ever")
	}
}

// A body that is spent is never sent again, and is refused only where no attempt can have run, whatever its class.
func TestRequestWithConsumedBodyIsNotRetried(t *testing.T) {
	for _, class := range []string{"read", "bill"} {
		for _, row := range []struct {
			result balance.Result
			spent  bool
			want   string
		}{
			{balance.ConnectFailed, true, "refuse"}, {balance.Full, true, "refuse"}, {balance.Reset, true, "fail"}, {balance.Errored, true, "fail"},
			{balance.TimedOut, true, "fail"}, {balance.ConnectFailed, false, "send"}, {balance.Full, false, "send"},
		} {
			h := newHarness(t, defaultSettings(), "a", "b", "c")
			h.learnBaseline("read")
			id := h.upload(class)
			h.actions = nil
			h.balancer.Outcome(h.now, balance.Outcome{ID: id, Endpoint: h.sentTo[id][0], Result: row.result, Spent: row.spent})
			if i := slices.IndexFunc(h.actions, func(d string) bool { return d[:4] == row.want[:4] }); i < 0 || len(h.actions) != 1 {
				t.Errorf("%s, %v, spent %v: %v, want %s", class, row.result, row.spent, h.actions, row.want)
			}
		}
	}
}

// A trial by a long upload must not keep the endpoint from others for as long as the upload lasts.
func TestStreamingTrialDoesNotBlockOtherTrials(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	for range 50 { // b answers nothing any more, and is dropped
		id, ep := h.request("read")
		if h.advance(10 * ms); ep == "a" {
			h.finish(id, balance.OK)
		}
	}
	var held []string
	for range 400 { // an upload tries b sooner or later
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
		t.Fatal("no upload tried the endpoint")
	}
	for range 1000 { // it flows on, and b answers again
		id, ep := h.request("read")
		h.advance(10 * ms)
		h.finish(id, balance.OK)
		if ep == "b" {
			return
		}
	}
	t.Error("the endpoint is kept from all others by one upload")
}
