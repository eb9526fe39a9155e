package balance_test

import (
	"testing"
	"time"

	"tuliprock/balance"
)

// An endpoint that operators eject gets no attempt until they restore it, whatever lists say meanwhile.
func TestManualEjectionSurvivesListUpdates(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	h.balancer.SetEjected(h.now, "a", true)
	h.balancer.SetEjected(h.now, "a", true) // a repetition changes nothing
	lists := []balance.EndpointUpdate{
		{Endpoints: []balance.Endpoint{{ID: "a", State: balance.Draining}}},
		{Endpoints: []balance.Endpoint{{ID: "a", State: balance.Gone}}},
		{Endpoints: []balance.Endpoint{{ID: "a", Started: h.now}}},
		{Complete: true, Endpoints: []balance.Endpoint{{ID: "b"}}},
		{Complete: true, Endpoints: []balance.Endpoint{{ID: "a"}, {ID: "b"}}},
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
	if listed, avoided := h.balancer.EndpointCounts(); listed != 2 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	h.balancer.SetEjected(h.now, "a", false) // one restoration undoes both
	met := false
	for range 300 {
		id, ep := h.request("read")
		met = met || ep == "a"
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	if !met {
		t.Error("unused for 3 s after it was restored")
	}
	if _, avoided := h.balancer.EndpointCounts(); avoided != 0 {
		t.Errorf("%d are still ejected", avoided)
	}
}

// An ID that is not listed can be ejected, too: a list may name it later.
func TestUnlistedEndpointCanBeEjectedManually(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	if h.balancer.IsKnown("b") {
		t.Error("b is known before it was listed or ejected")
	}
	h.balancer.SetEjected(h.now, "b", true)
	if !h.balancer.IsKnown("b") {
		t.Error("b is ejected, and not known")
	}
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "b"}}})
	for range 20 {
		if id, ep := h.request("read"); ep == "b" {
			t.Fatalf("%s went to b", id)
		}
	}
}

// Where operators have ejected all endpoints, only operators can change that: requests are rejected at once, queued ones
// too.
func TestAllEndpointsEjectedManuallyRejectsAtOnce(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{
		{ID: "a", State: balance.Draining}, {ID: "b", State: balance.Draining}}})
	queued := h.requestForTenant("read", "") // other endpoints may follow the draining ones
	if h.countActions("reject") > 0 {
		t.Fatal("rejected though other endpoints may come")
	}
	h.balancer.SetEjected(h.now, "a", true)
	h.balancer.SetEjected(h.now, "b", true)
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	if h.countActions("reject "+queued) != 1 {
		t.Error("the queued request is not rejected")
	}
	if id, ep := h.request("bill"); ep != "" || h.countActions("reject "+id) != 1 {
		t.Errorf("%s went to %q and is not rejected at once", id, ep)
	}
	h.balancer.SetEjected(h.now, "b", false)
	if _, ep := h.request("bill"); ep != "b" {
		t.Errorf("after one is restored: %q", ep)
	}
}

// An attempt that was not sent is retried elsewhere; a request that is not idempotent and may have run is not.
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
	h.balancer.SetEjected(h.now, "a", true)
	h.finish(read, balance.NotSent) // the endpoint was ejected before it was written
	h.finish(bill, balance.Reset)
	if got := h.sentTo[read]; len(got) != 2 || got[1] != "b" {
		t.Errorf("the request that was not sent: %v", got)
	}
	if h.countActions("fail "+bill) != 1 || len(h.sentTo[bill]) != 1 {
		t.Errorf("the unsafe request that may have run: %v", h.sentTo[bill])
	}
}

// A restored endpoint warms up, whatever the list says of its start, and results of attempts sent before say nothing of it.
func TestRestoredEndpointCountsAsRestarted(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	old, ep := h.request("read")
	for ; ep != "a"; old, ep = h.request("read") {
		h.finish(old, balance.OK)
	}
	h.balancer.SetEjected(h.now, "a", true)
	h.advance(100 * ms)
	h.balancer.SetEjected(h.now, "a", false)
	// The list does not know of the restart.
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Complete: true, Endpoints: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	h.finish(old, balance.Reset) // by the earlier incarnation
	h.finish(old, balance.OK)    // by the other endpoint
	since, sent := h.now, 0
	for h.now < since+2*time.Second {
		id, ep := h.request("read")
		if ep == "a" {
			sent++
		}
		h.advance(2 * ms)
		h.finish(id, balance.OK)
	}
	// Of 500 requests a second half are its counts at full capacity; it starts with 0.3 of that and gets 1.5 times as much.
	if sent == 0 || sent > 400 {
		t.Errorf("%d of 1000 requests went to the restored endpoint within 2 s", sent)
	}
}
