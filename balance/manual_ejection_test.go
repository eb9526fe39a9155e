package balance_test

import (
	"testing"
	"time"

	"tuliprock/balance"
)

// What operators take out gets nothing, by any way, until it is back: whatever lists say meanwhile.
func TestManualEjectionSurvivesListUpdates(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b")
	r.learnBaseline("read")
	r.balancer.Bar(r.now, "a", true)
	r.balancer.Bar(r.now, "a", true) // again
	lists := []balance.List{
		{Entries: []balance.Endpoint{{ID: "a", State: balance.Draining}}},
		{Entries: []balance.Endpoint{{ID: "a", State: balance.Gone}}},
		{Entries: []balance.Endpoint{{ID: "a", Started: r.now}}},
		{Complete: true, Entries: []balance.Endpoint{{ID: "b"}}},
		{Complete: true, Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}},
	}
	for i, l := range lists {
		r.balancer.EndpointList(r.now, l)
		for range 50 {
			id, ep := r.request("read")
			if ep != "b" {
				t.Fatalf("after list %d: %s went to %q", i, id, ep)
			}
			r.advance(10 * ms)
			r.finish(id, balance.OK)
		}
	}
	if listed, avoided := r.balancer.Census(); listed != 2 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	r.balancer.Bar(r.now, "a", false) // one call back undoes both
	met := false
	for range 300 {
		id, ep := r.request("read")
		met = met || ep == "a"
		r.advance(10 * ms)
		r.finish(id, balance.OK)
	}
	if !met {
		t.Error("unused for 3 s after it was given back")
	}
	if _, avoided := r.balancer.Census(); avoided != 0 {
		t.Errorf("%d are avoided still", avoided)
	}
}

// An id that is listed nowhere can be kept out, too: the list may name it later.
func TestUnlistedEndpointCanBeEjectedManually(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a")
	if r.balancer.Knows("b") {
		t.Error("b is known before anybody named it")
	}
	r.balancer.Bar(r.now, "b", true)
	if !r.balancer.Knows("b") {
		t.Error("b is out, and not known")
	}
	r.balancer.EndpointList(r.now, balance.List{Entries: []balance.Endpoint{{ID: "b"}}})
	for range 20 {
		if id, ep := r.request("read"); ep == "b" {
			t.Fatalf("%s went to b", id)
		}
	}
}

// Where all are out nobody can serve until operators say so: callers are told at once, those that wait too.
func TestAllEndpointsEjectedManuallyRejectsAtOnce(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b")
	r.balancer.EndpointList(r.now, balance.List{Entries: []balance.Endpoint{{ID: "a", State: balance.Draining}, {ID: "b", State: balance.Draining}}})
	waits := r.requestAs("read", "") // draining ones may be followed by others: it is held
	if r.countActions("refuse") > 0 {
		t.Fatal("refused though others may come")
	}
	r.balancer.Bar(r.now, "a", true)
	r.balancer.Bar(r.now, "b", true)
	r.balancer.EndpointList(r.now, balance.List{Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	if r.countActions("refuse "+waits) != 1 {
		t.Error("one that waits is not refused")
	}
	if id, ep := r.request("bill"); ep != "" || r.countActions("refuse "+id) != 1 {
		t.Errorf("%s went to %q and is not refused at once", id, ep)
	}
	r.balancer.Bar(r.now, "b", false)
	if _, ep := r.request("bill"); ep != "b" {
		t.Errorf("after one is back: %q", ep)
	}
}

// A request whose attempt ends at a barred endpoint is chosen anew, and one that may have run there is not resent.
func TestAttemptsInFlightAtAManuallyEjectedEndpointAreRetriedOnlyIfSafe(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b")
	r.learnBaseline("read")
	var read, bill string
	for read == "" || bill == "" {
		if id, ep := r.request("read"); ep == "a" && read == "" {
			read = id
		}
		if id, ep := r.request("bill"); ep == "a" && bill == "" {
			bill = id
		}
	}
	r.balancer.Bar(r.now, "a", true)
	r.finish(read, balance.NotSent) // it was not written in time
	r.finish(bill, balance.Reset)
	if got := r.sentTo[read]; len(got) != 2 || got[1] != "b" {
		t.Errorf("the one that was not sent: %v", got)
	}
	if r.countActions("fail "+bill) != 1 || len(r.sentTo[bill]) != 1 {
		t.Errorf("the unsafe one that may have run: %v", r.sentTo[bill])
	}
}

// Back means new: cold, whatever the list says of its start, and what was sent before tells nothing of it.
func TestRestoredEndpointCountsAsRestarted(t *testing.T) {
	r := newHarness(t, defaultSettings(), "a", "b")
	r.learnBaseline("read")
	old, ep := r.request("read")
	for ; ep != "a"; old, ep = r.request("read") {
		r.finish(old, balance.OK)
	}
	r.balancer.Bar(r.now, "a", true)
	r.advance(100 * ms)
	r.balancer.Bar(r.now, "a", false)
	// The list knows of no restart.
	r.balancer.EndpointList(r.now, balance.List{Complete: true, Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	r.finish(old, balance.Reset) // by the one that is no more
	r.finish(old, balance.OK)    // by the other
	since, sent := r.now, 0
	for r.now < since+2*time.Second {
		id, ep := r.request("read")
		if ep == "a" {
			sent++
		}
		r.advance(2 * ms)
		r.finish(id, balance.OK)
	}
	// 500 calls a second, half of them its share when warm; a cold one has 0.3 of that and 1.5 times as much is sent.
	if sent == 0 || sent > 400 {
		t.Errorf("%d of 1000 calls went to the cold one within 2 s", sent)
	}
}
