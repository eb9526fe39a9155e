package balance_test

import (
	"testing"
	"time"

	"tuliprock/balance"
)

// What operators take out gets nothing, by any way, until it is back: whatever lists say meanwhile.
func TestABarOutlivesLists(t *testing.T) {
	r := newRig(t, basic(), "a", "b")
	r.calm("read")
	r.b.Bar(r.now, "a", true)
	r.b.Bar(r.now, "a", true) // again
	lists := []balance.List{
		{Entries: []balance.Endpoint{{ID: "a", State: balance.Draining}}},
		{Entries: []balance.Endpoint{{ID: "a", State: balance.Gone}}},
		{Entries: []balance.Endpoint{{ID: "a", Started: r.now}}},
		{Complete: true, Entries: []balance.Endpoint{{ID: "b"}}},
		{Complete: true, Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}},
	}
	for i, l := range lists {
		r.b.EndpointList(r.now, l)
		for range 50 {
			id, ep := r.call("read")
			if ep != "b" {
				t.Fatalf("after list %d: %s went to %q", i, id, ep)
			}
			r.wait(10 * ms)
			r.end(id, balance.OK)
		}
	}
	if listed, avoided := r.b.Census(); listed != 2 || avoided != 1 {
		t.Errorf("%d listed, %d avoided", listed, avoided)
	}
	r.b.Bar(r.now, "a", false) // one call back undoes both
	met := false
	for range 300 {
		id, ep := r.call("read")
		met = met || ep == "a"
		r.wait(10 * ms)
		r.end(id, balance.OK)
	}
	if !met {
		t.Error("unused for 3 s after it was given back")
	}
	if _, avoided := r.b.Census(); avoided != 0 {
		t.Errorf("%d are avoided still", avoided)
	}
}

// An id that is listed nowhere can be kept out, too: the list may name it later.
func TestABarWaitsForItsEndpoint(t *testing.T) {
	r := newRig(t, basic(), "a")
	if r.b.Knows("b") {
		t.Error("b is known before anybody named it")
	}
	r.b.Bar(r.now, "b", true)
	if !r.b.Knows("b") {
		t.Error("b is out, and not known")
	}
	r.b.EndpointList(r.now, balance.List{Entries: []balance.Endpoint{{ID: "b"}}})
	for range 20 {
		if id, ep := r.call("read"); ep == "b" {
			t.Fatalf("%s went to b", id)
		}
	}
}

// Where all are out nobody can serve until operators say so: callers are told at once, those that wait too.
func TestAllBarredRefusesAtOnce(t *testing.T) {
	r := newRig(t, basic(), "a", "b")
	r.b.EndpointList(r.now, balance.List{Entries: []balance.Endpoint{{ID: "a", State: balance.Draining}, {ID: "b", State: balance.Draining}}})
	waits := r.ask("read", "") // draining ones may be followed by others: it is held
	if r.count("refuse") > 0 {
		t.Fatal("refused though others may come")
	}
	r.b.Bar(r.now, "a", true)
	r.b.Bar(r.now, "b", true)
	r.b.EndpointList(r.now, balance.List{Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	if r.count("refuse "+waits) != 1 {
		t.Error("one that waits is not refused")
	}
	if id, ep := r.call("bill"); ep != "" || r.count("refuse "+id) != 1 {
		t.Errorf("%s went to %q and is not refused at once", id, ep)
	}
	r.b.Bar(r.now, "b", false)
	if _, ep := r.call("bill"); ep != "b" {
		t.Errorf("after one is back: %q", ep)
	}
}

// A request whose attempt ends at a barred endpoint is chosen anew, and one that may have run there is not resent.
func TestAttemptsOutAtABarredEndpoint(t *testing.T) {
	r := newRig(t, basic(), "a", "b")
	r.calm("read")
	var read, bill string
	for read == "" || bill == "" {
		if id, ep := r.call("read"); ep == "a" && read == "" {
			read = id
		}
		if id, ep := r.call("bill"); ep == "a" && bill == "" {
			bill = id
		}
	}
	r.b.Bar(r.now, "a", true)
	r.end(read, balance.NotSent) // it was not written in time
	r.end(bill, balance.Reset)
	if got := r.to[read]; len(got) != 2 || got[1] != "b" {
		t.Errorf("the one that was not sent: %v", got)
	}
	if r.count("fail "+bill) != 1 || len(r.to[bill]) != 1 {
		t.Errorf("the unsafe one that may have run: %v", r.to[bill])
	}
}

// Back means new: cold, whatever the list says of its start, and what was sent before tells nothing of it.
func TestBackMeansNew(t *testing.T) {
	r := newRig(t, basic(), "a", "b")
	r.calm("read")
	old, ep := r.call("read")
	for ; ep != "a"; old, ep = r.call("read") {
		r.end(old, balance.OK)
	}
	r.b.Bar(r.now, "a", true)
	r.wait(100 * ms)
	r.b.Bar(r.now, "a", false)
	// The list knows of no restart.
	r.b.EndpointList(r.now, balance.List{Complete: true, Entries: []balance.Endpoint{{ID: "a"}, {ID: "b"}}})
	r.end(old, balance.Reset) // by the one that is no more
	r.end(old, balance.OK)    // by the other
	since, sent := r.now, 0
	for r.now < since+2*time.Second {
		id, ep := r.call("read")
		if ep == "a" {
			sent++
		}
		r.wait(2 * ms)
		r.end(id, balance.OK)
	}
	// 500 calls a second, half of them its share when warm; a cold one has 0.3 of that and 1.5 times as much is sent.
	if sent == 0 || sent > 400 {
		t.Errorf("%d of 1000 calls went to the cold one within 2 s", sent)
	}
}
