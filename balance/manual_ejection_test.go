package balance_test

import (
	"testing"
	"time"

	"tuliprock/balance"
)

// What operators take out gets nothing, by any way, until it is back: whatever lists say meanwhile.
func TestManualEjectionSurvivesListUpdates(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	h.balancer.Bar(h.now, "a", true)
	h.balancer.Bar(h.now, "a", true) // again
	lists := []balance.List{
		{Entries: []balance.Endpoint{{ID: "a", State: balance.Draining}}},
		{Entries: []balance.Endpoint{{ID: "a", State: balance.Gone}}},
		{Entries: []balance.Endpoint{{ID: "a", Started: h.now}}},
		{Complete: true, Entries: []balance.Endpoint{{ID: "b"}}},
		{Complete: true, Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}},
	}
	for i, l := range lists {
		h.balancer.EndpointList(h.now, l)
		for range 50 {
			id, ep := h.request("read")
			if ep != "b" {
				t.Fatalf("after list %d: %s went to %q", i, id, ep)
			}
			h.advance(10 * ms)
			h.finish(id, balance.OK)
		}
	}
	if listed, avoided := h.balancer.Census(); listed != 2 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	h.balancer.Bar(h.now, "a", false) // one call back undoes both
	met := false
	for range 300 {
		id, ep := h.request("read")
		met = met || ep == "a"
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	if !met {
		t.Error("unused for 3 s after it was given back")
	}
	if _, avoided := h.balancer.Census(); avoided != 0 {
		t.Errorf("%d are avoided still", avoided)
	}
}

// An id that is listed nowhere can be kept out, too: the list may name it later.
func TestUnlistedEndpointCanBeEjectedManually(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	if h.balancer.Knows("b") {
		t.Error("b is known before anybody named it")
	}
	h.balancer.Bar(h.now, "b", true)
	if !h.balancer.Knows("b") {
		t.Error("b is out, and not known")
	}
	h.balancer.EndpointList(h.now, balance.List{Entries: []balance.Endpoint{{ID: "b"}}})
	for range 20 {
		if id, ep := h.request("read"); ep == "b" {
			t.Fatalf("%s went to b", id)
		}
	}
}

// Where all are out nobody can serve until operators say so: callers are told at once, those that wait too.
func TestAllEndpointsEjectedManuallyRejectsAtOnce(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.balancer.EndpointList(h.now, balance.List{Entries: []balance.Endpoint{{ID: "a", State: balance.Draining}, {ID: "b", State: balance.Draining}}})
	waits := h.requestAs("read", "") // draining ones may be followed by others: it is held
	if h.countActions("refuse") > 0 {
		t.Fatal("refused though others may come")
	}
	h.balancer.Bar(h.now, "a", true)
	h.balancer.Bar(h.now, "b", true)
	h.balancer.EndpointList(h.now, balance.List{Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	if h.countActions("refuse "+waits) != 1 {
		t.Error("one that waits is not refused")
	}
	if id, ep := h.request("bill"); ep != "" || h.countActions("refuse "+id) != 1 {
		t.Errorf("%s went to %q and is not refused at once", id, ep)
	}
	h.balancer.Bar(h.now, "b", false)
	if _, ep := h.request("bill"); ep != "b" {
		t.Errorf("after one is back: %q", ep)
	}
}

// A request whose attempt ends at a barred endpoint is chosen anew, and one that may have run there is not resent.
func TestAttemptsInFlightAtAManuallyEjectedEndpointAreRetriedOnlyIfSafe(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	var read, bill string
	for read == "" || bill == "" {
		if id, ep := h.request("read"); ep == "a" && read == "" {
			read = id
		}
		if id, ep := h.request("bill"); ep == "a" && bill == "" {
			bill = id
		}
	}
	h.balancer.Bar(h.now, "a", true)
	h.finish(read, balance.NotSent) // it was not written in time
	h.finish(bill, balance.Reset)
	if got := h.sentTo[read]; len(got) != 2 || got[1] != "b" {
		t.Errorf("the one that was not sent: %v", got)
	}
	if h.countActions("fail "+bill) != 1 || len(h.sentTo[bill]) != 1 {
		t.Errorf("the unsafe one that may have run: %v", h.sentTo[bill])
	}
}

// Back means new: cold, whatever the list says of its start, and what was sent before tells nothing of it.
func TestRestoredEndpointCountsAsRestarted(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	old, ep := h.request("read")
	for ; ep != "a"; old, ep = h.request("read") {
		h.finish(old, balance.OK)
	}
	h.balancer.Bar(h.now, "a", true)
	h.advance(100 * ms)
	h.balancer.Bar(h.now, "a", false)
	// The list knows of no restart.
	h.balancer.EndpointList(h.now, balance.List{Complete: true, Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	h.finish(old, balance.Reset) // by the one that is no more
	h.finish(old, balance.OK)    // by the other
	since, sent := h.now, 0
	for h.now < since+2*time.Second {
		id, ep := h.request("read")
		if ep == "a" {
			sent++
		}
		h.advance(2 * ms)
		h.finish(id, balance.OK)
	}
	// 500 calls a second, half of them its share when warm; a cold one has 0.3 of that and 1.5 times as much is sent.
	if sent == 0 || sent > 400 {
		t.Errorf("%d of 1000 calls went to the cold one within 2 s", sent)
	}
}
