package fake

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/testpeer"
)

// newTestAgent is an agent with one member.
func newTestAgent(t *testing.T) (*Agent, *Recorder) {
	t.Helper()
	rec := NewRecorder(time.Now(), 1000)
	a, err := NewAgent("s1", []Member{{ID: "a", Addr: "127.0.0.1:1", State: StateReady, Weight: 1}}, rec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	return a, rec
}

func get(t *testing.T, a *Agent, query string) *bufio.Reader {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + a.Addr + "/catalog/members" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return bufio.NewReader(resp.Body)
}

func message(t *testing.T, in *bufio.Reader) (l MemberList) {
	t.Helper()
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.TrimSpace(text) == "" {
			continue
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		return l
	}
}

func TestAgentSendsChangesToWatch(t *testing.T) {
	a, rec := newTestAgent(t)
	if l := message(t, get(t, a, "")); !l.Full || l.Version != 1 || len(l.Servers) != 1 || l.Servers[0].ID != "a" {
		t.Errorf("full list: %+v", l)
	}
	watch := get(t, a, "?watch=1&after=1")
	if l := message(t, watch); l.Full || len(l.Servers) != 0 {
		t.Errorf("watch without changes: %+v", l)
	}
	a.Update(Member{ID: "b", Addr: "127.0.0.1:2", State: StateReady})
	if l := message(t, watch); l.Full || l.Version != 2 || len(l.Servers) != 1 || l.Servers[0].ID != "b" {
		t.Errorf("member added: %+v", l)
	}
	a.Update(Member{ID: "a", State: StateGone})
	message(t, watch)
	if l := message(t, get(t, a, "?watch=1&after=0")); !l.Full || len(l.Servers) != 1 || l.Servers[0].ID != "b" {
		t.Errorf("watch from a version before the changes: %+v", l)
	}
	if l := message(t, get(t, a, "?watch=1&after=2")); l.Full || len(l.Servers) != 1 || l.Servers[0].State != StateGone {
		t.Errorf("resumed watch: %+v", l)
	}
	if l := a.NotifiedList(); len(l.Servers) != 1 || l.Servers[0].ID != "b" {
		t.Errorf("notified list: %+v", l)
	}
	testpeer.Until(t, "notified that a is gone", func() bool {
		events, _ := rec.Events()
		for _, e := range events {
			if e.Kind == invariant.NodeStateNotified && e.Node == "a" && e.State == invariant.Gone && e.Sidecar == "s1" {
				return true
			}
		}
		return false
	})
}

func TestAgentSendsNothingWhileDiscoveryIsDown(t *testing.T) {
	a, rec := newTestAgent(t)
	watch := get(t, a, "?watch=1&after=1")
	message(t, watch)
	a.SetDiscoveryDown(true)
	a.Update(Member{ID: "a", State: StateDraining})
	came := make(chan MemberList, 1)
	go func() { came <- message(t, watch) }()
	select {
	case l := <-came:
		t.Fatalf("message while down: %+v", l)
	case <-time.After(50 * time.Millisecond):
	}
	events, _ := rec.Events()
	for _, e := range events {
		if e.Kind == invariant.NodeStateNotified && e.State == invariant.Draining {
			t.Error("notification recorded while down")
		}
	}
	a.SetDiscoveryDown(false)
	if l := <-came; len(l.Servers) != 1 || l.Servers[0].State != StateDraining {
		t.Errorf("after discovery came back: %+v", l)
	}
}

// A sidecar that does not listen must not pass for one that cannot know.
func TestUnfetchedChangeCountsAsNotifiedAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := NewRecorder(time.Now(), 100)
		a := &Agent{Sidecar: "s1", recorder: rec, version: 1, members: map[string]Member{}, changed: make(chan struct{})}
		a.Update(Member{ID: "a", State: StateDraining})
		time.Sleep(assumedNotifiedAfter - time.Nanosecond)
		synctest.Wait()
		if events, _ := rec.Events(); len(events) != 0 {
			t.Error("notified before the limit")
		}
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		if events, _ := rec.Events(); len(events) != 1 || events[0].Kind != invariant.NodeStateNotified {
			t.Errorf("%+v", events)
		}
	})
}
