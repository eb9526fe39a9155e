package balance_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tuliprock/balance"
)

// upload asks for a request whose body flows for an hour at most.
func (r *harness) upload(class string) string {
	r.requestCount++
	id := fmt.Sprint("u", r.requestCount)
	r.balancer.Request(r.now, balance.Request{ID: id, Class: class, Deadline: r.now + 5*time.Second, Flow: r.now + time.Hour})
	return id
}

// learnBaseline lets calls of a class be known to take 10 ms.
func (r *harness) learnBaseline(class string) {
	for range 200 {
		id, _ := r.request(class)
		r.advance(10 * ms)
		r.finish(id, balance.OK)
	}
}

// Transfers must not use up the room: calls that are over in an answer's time would stand still for as long as they last.
func TestStreamingBodiesDoNotCountAgainstTheConcurrencyLimit(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b")
	r.learnBaseline("read")
	for range 200 {
		r.upload("bill")
	}
	for range 200 { // and answers
		id, ep := r.request("read")
		if ep == "" {
			t.Fatal("a download was not sent")
		}
		r.advance(10 * ms)
		r.balancer.StreamStarted(r.now, id, 0)
	}
	if id, ep := r.request("read"); ep == "" {
		t.Errorf("%s is held beside 400 transfers", id)
	}
	if n := r.countActions("refuse") + r.countActions("fail"); n > 0 {
		t.Errorf("%d were given up", n)
	}
}

// What a body takes is not the endpoint's time: neither to come, nor where it stops.
func TestDurationOfAStreamingBodyIsNoLatencySample(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b")
	r.learnBaseline("read")
	r.learnBaseline("bill")
	for range 3 {
		id := r.upload("bill")
		r.advance(20 * time.Second) // far beyond all that calls take, and the deadline
		if r.countActions("fail")+r.countActions("refuse") > 0 {
			t.Fatalf("an upload was given up while it flowed: %v", r.actions[len(r.actions)-3:])
		}
		r.balancer.BodySent(r.now, id, 0, r.now+5*time.Second)
		r.advance(10 * ms)
		r.finish(id, balance.OK)
	}
	seen := map[string]int{}
	for range 100 {
		id, ep := r.request("read")
		seen[ep]++
		r.advance(10 * ms)
		r.finish(id, balance.OK)
	}
	if seen["a"] < 30 || seen["b"] < 30 {
		t.Errorf("an endpoint lost its turns by uploads: %v", seen)
	}
}

// Once its last byte is out, an upload waits like any other request: to its deadline, which begins then.
func TestDeadlineOfAStreamingBodyAppliesAfterItsLastByte(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a")
	id := r.upload("bill")
	r.advance(30 * time.Second)
	r.balancer.BodySent(r.now, id, 0, r.now+2*time.Second)
	r.advance(1900 * ms)
	if r.countActions("fail") != 0 {
		t.Error("given up before its deadline")
	}
	r.advance(200 * ms)
	if r.countActions("fail "+id) != 1 || r.countActions("cancel "+id) != 1 {
		t.Errorf("not given up at its deadline: %v", r.actions)
	}
	if id = r.upload("read"); r.countActions("send "+id) != 1 {
		t.Fatal("not sent")
	}
	r.advance(time.Hour + time.Second)
	if r.countActions("fail "+id) != 1 {
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
			r := newHarness(t, defaultSettings(), "a", "b", "c")
			r.learnBaseline("read")
			id := r.upload(class)
			r.actions = nil
			r.balancer.Outcome(r.now, balance.Outcome{ID: id, Endpoint: r.sentTo[id][0], Result: row.result, Spent: row.spent})
			if i := slices.IndexFunc(r.actions, func(d string) bool { return d[:4] == row.want[:4] }); i < 0 || len(r.actions) != 1 {
				t.Errorf("%s, %v, spent %v: %v, want %s", class, row.result, row.spent, r.actions, row.want)
			}
		}
	}
}

// A trial by a long upload must not keep the endpoint from others for as long as the upload lasts.
func TestStreamingTrialDoesNotBlockOtherTrials(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b")
	r.learnBaseline("read")
	for range 50 { // b answers nothing any more, and is dropped
		id, ep := r.request("read")
		if r.advance(10 * ms); ep == "a" {
			r.finish(id, balance.OK)
		}
	}
	var held []string
	for range 400 { // an upload tries b sooner or later
		id := r.upload("read")
		if r.sentTo[id][0] == "b" {
			held = append(held, id)
			break
		}
		r.balancer.BodySent(r.now, id, 0, r.now+5*time.Second)
		r.advance(10 * ms)
		r.finish(id, balance.OK)
	}
	if len(held) == 0 {
		t.Fatal("no upload tried the endpoint")
	}
	for range 1000 { // it flows on, and b answers again
		id, ep := r.request("read")
		r.advance(10 * ms)
		r.finish(id, balance.OK)
		if ep == "b" {
			return
		}
	}
	t.Error("the endpoint is kept from all others by one upload")
}
