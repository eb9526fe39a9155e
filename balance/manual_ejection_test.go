package balance_test

import (
	"testing"
	"time"

	"tuliprock/balance"
)

// An endpoint that operators eject must not get an attempt until they restore it, whatever list updates come meanwhile.
func TestManualEjectionSurvivesListUpdates(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	h.balancer.SetEjected(h.now, "a", true)
	h.balancer.SetEjected(h.now, "a", true) // endpoint a is already ejected, so this has no effect
	updates := []balance.EndpointUpdate{
		{Endpoints: []balance.Endpoint{{ID: "a", State: balance.Draining}}},
		{Endpoints: []balance.Endpoint{{ID: "a", State: balance.Gone}}},
		{Endpoints: []balance.Endpoint{{ID: "a", StartedAt: h.now}}},
		{Complete: true, Endpoints: []balance.Endpoint{{ID: "b"}}},
		{Complete: true, Endpoints: []balance.Endpoint{{ID: "a"}, {ID: "b"}}},
	}
	for i, u := range updates {
		h.balancer.EndpointList(h.now, u)
		for range 50 {
			id, ep := h.request("read")
			if ep != "b" {
				t.Fatalf("after list update %d, %s was sent to %q, want b", i, id, ep)
			}
			h.advance(10 * ms)
			h.finish(id, balance.OK)
		}
	}
	if listed, ejected := h.balancer.EndpointCounts(); listed != 2 || ejected != 1 {
		t.Errorf("%d endpoints are listed and %d ejected, want 2 and 1", listed, ejected)
	}
	h.balancer.SetEjected(h.now, "a", false) // one restoration undoes both ejections of endpoint a
	isUsed := false
	for range 300 {
		id, ep := h.request("read")
		isUsed = isUsed || ep == "a"
		h.advance(10 * ms)
		h.finish(id, balance.OK)
	}
	if !isUsed {
		t.Error("the endpoint got no request within 3 s after it was restored, want at least 1")
	}
	if _, ejected := h.balancer.EndpointCounts(); ejected != 0 {
		t.Errorf("%d endpoints are ejected after the restoration, want none", ejected)
	}
}

// Operators can eject an ID that is not listed, since a later list may contain it.
func TestUnlistedEndpointCanBeEjectedManually(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a")
	if h.balancer.IsKnown("b") {
		t.Error("IsKnown of b is true before it was listed or ejected")
	}
	h.balancer.SetEjected(h.now, "b", true)
	if !h.balancer.IsKnown("b") {
		t.Error("IsKnown of b is false after it was ejected")
	}
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "b"}}})
	for range 20 {
		if id, ep := h.request("read"); ep == "b" {
			t.Fatalf("%s was sent to b, which is ejected", id)
		}
	}
}

// If operators have ejected all endpoints, only they can change that, so requests are rejected at once instead of waiting in
// the queue.
func TestRequestsAreRejectedAtOnceWhenAllEndpointsAreEjectedManually(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{
		{ID: "a", State: balance.Draining}, {ID: "b", State: balance.Draining}}})
	queuedID := h.requestForTenant("read", "") // queued and not rejected, because no endpoint is ejected and discovery may list others
	if h.countActions("reject") > 0 {
		t.Fatal("a request was rejected while all endpoints are draining, want it queued")
	}
	h.balancer.SetEjected(h.now, "a", true)
	h.balancer.SetEjected(h.now, "b", true)
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	if h.countActions("reject "+queuedID) != 1 {
		t.Error("the queued request was not rejected when all endpoints were ejected")
	}
	if id, ep := h.request("bill"); ep != "" || h.countActions("reject "+id) != 1 {
		t.Errorf("%s was sent to %q, want it rejected at once", id, ep)
	}
	h.balancer.SetEjected(h.now, "b", false)
	if _, ep := h.request("bill"); ep != "b" {
		t.Errorf("after b was restored, a request was sent to %q, want b", ep)
	}
}

// After a manual ejection, an attempt that was not sent is retried at another endpoint; a request that is not idempotent and
// may have run is not retried.
func TestAttemptsInFlightAtAManuallyEjectedEndpointAreRetriedOnlyIfSafe(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	var readID, billID string
	for readID == "" || billID == "" {
		if id, ep := h.request("read"); ep == "a" && readID == "" {
			readID = id
		}
		if id, ep := h.request("bill"); ep == "a" && billID == "" {
			billID = id
		}
	}
	h.balancer.SetEjected(h.now, "a", true)
	h.finish(readID, balance.NotSent) // the host had not sent the attempt before the ejection
	h.finish(billID, balance.Reset)
	if got := h.sentTo[readID]; len(got) != 2 || got[1] != "b" {
		t.Errorf("the request that had not been sent got attempts at %v, want a retry at b", got)
	}
	if h.countActions("fail "+billID) != 1 || len(h.sentTo[billID]) != 1 {
		t.Errorf("the request that may have run got attempts at %v, want one attempt and a failure", h.sentTo[billID])
	}
}

// A restored endpoint warms up, whatever start time the list gives, and results of attempts sent before its ejection do not count
// for it.
func TestRestoredEndpointCountsAsRestarted(t *testing.T) {
	h := newHarness(t, defaultSettings(), "a", "b")
	h.learnBaseline("read")
	requestAtA, ep := h.request("read")
	for ; ep != "a"; requestAtA, ep = h.request("read") {
		h.finish(requestAtA, balance.OK)
	}
	h.balancer.SetEjected(h.now, "a", true)
	h.advance(100 * ms)
	h.balancer.SetEjected(h.now, "a", false)
	// This list does not show that endpoint a has restarted.
	h.balancer.EndpointList(h.now, balance.EndpointUpdate{Complete: true, Endpoints: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	h.finish(requestAtA, balance.Reset) // outcome of the attempt sent before endpoint a was ejected
	h.finish(requestAtA, balance.OK)    // outcome of the retry at endpoint b
	restoredAt, sent := h.now, 0
	for h.now < restoredAt+2*time.Second {
		id, ep := h.request("read")
		if ep == "a" {
			sent++
		}
		h.advance(2 * ms)
		h.finish(id, balance.OK)
	}
	// If endpoint a were warm, it would get half of the 1000 requests. It gets fewer: its capacity rises from 0.3 of its full
	// capacity, and an endpoint that is warming up gets slowStartLoadMultiple (1.5) times the requests in proportion to its capacity.
	if sent == 0 || sent > 400 {
		t.Errorf("%d of 1000 requests were sent to the restored endpoint within 2 s, want 1 to 400", sent)
	}
}
