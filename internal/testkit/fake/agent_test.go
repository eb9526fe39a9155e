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

// newTestAgent starts an agent of the sidecar s1 with one member, whose ID is a.
func newTestAgent(t *testing.T) (*Agent, *Recorder) {
	t.Helper()
	recorder := NewRecorder(time.Now(), 1000)
	agent, err := NewAgent("s1", []Member{{ID: "a", Addr: "127.0.0.1:1", State: StateReady, Weight: 1}}, recorder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { agent.Close() })
	return agent, recorder
}

// getMembers requests the list of members with a query, such as "?watch=1&after=1", and returns the response's body.
func getMembers(t *testing.T, agent *Agent, query string) *bufio.Reader {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + agent.Addr + "/catalog/members" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return bufio.NewReader(resp.Body)
}

// readList reads the next list from the body of a response and skips heartbeats.
func readList(t *testing.T, in *bufio.Reader) (list MemberList) {
	t.Helper()
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.TrimSpace(line) == "" {
			continue
		}
		if err := json.Unmarshal([]byte(line), &list); err != nil {
			t.Fatal(err)
		}
		return list
	}
}

func TestAgentSendsChangesToWatch(t *testing.T) {
	agent, recorder := newTestAgent(t)
	if list := readList(t, getMembers(t, agent, "")); !list.IsFull || list.Version != 1 || len(list.Servers) != 1 || list.Servers[0].ID != "a" {
		t.Errorf("full list is %+v, want version 1 with member a only", list)
	}
	watch := getMembers(t, agent, "?watch=1&after=1")
	if list := readList(t, watch); list.IsFull || len(list.Servers) != 0 {
		t.Errorf("watch without changes got %+v, want an empty list of changes", list)
	}
	agent.Update(Member{ID: "b", Addr: "127.0.0.1:2", State: StateReady})
	if list := readList(t, watch); list.IsFull || list.Version != 2 || len(list.Servers) != 1 || list.Servers[0].ID != "b" {
		t.Errorf("watch got %+v after b was added, want version 2 with the change of b", list)
	}
	agent.Update(Member{ID: "a", State: StateGone})
	readList(t, watch)
	if list := readList(t, getMembers(t, agent, "?watch=1&after=0")); !list.IsFull || len(list.Servers) != 1 || list.Servers[0].ID != "b" {
		t.Errorf("watch from a version before the kept changes got %+v, want the full list with b only", list)
	}
	if list := readList(t, getMembers(t, agent, "?watch=1&after=2")); list.IsFull || len(list.Servers) != 1 || list.Servers[0].State != StateGone {
		t.Errorf("watch resumed at version 2 got %+v, want the change of a to Gone", list)
	}
	if list := agent.NotifiedList(); len(list.Servers) != 1 || list.Servers[0].ID != "b" {
		t.Errorf("notified list is %+v, want b only", list)
	}
	testpeer.Eventually(t, "a notification that a is gone", func() bool {
		events, _ := recorder.Events()
		for _, e := range events {
			if e.Kind == invariant.NodeStateNotified && e.Node == "a" && e.State == invariant.Gone && e.Sidecar == "s1" {
				return true
			}
		}
		return false
	})
}

func TestAgentSendsNothingWhileDiscoveryIsDown(t *testing.T) {
	agent, recorder := newTestAgent(t)
	watch := getMembers(t, agent, "?watch=1&after=1")
	readList(t, watch)
	agent.SetDiscoveryDown(true)
	agent.Update(Member{ID: "a", State: StateDraining})
	received := make(chan MemberList, 1)
	go func() { received <- readList(t, watch) }()
	select {
	case list := <-received:
		t.Fatalf("watch got %+v while discovery was down", list)
	case <-time.After(50 * time.Millisecond):
	}
	events, _ := recorder.Events()
	for _, e := range events {
		if e.Kind == invariant.NodeStateNotified && e.State == invariant.Draining {
			t.Error("a notification was recorded while discovery was down")
		}
	}
	agent.SetDiscoveryDown(false)
	if list := <-received; len(list.Servers) != 1 || list.Servers[0].State != StateDraining {
		t.Errorf("watch got %+v after discovery came back, want the change of a to Terminating", list)
	}
}

// TestUnfetchedChangeCountsAsNotifiedAfterAssumedDelay checks that a sidecar that does not poll its agent counts as notified
// of a change once assumedNotifiedAfter has passed since the change. Otherwise the sidecar could send requests to a draining
// node without breaking the invariant that forbids it.
func TestUnfetchedChangeCountsAsNotifiedAfterAssumedDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := NewRecorder(time.Now(), 100)
		agent := &Agent{Sidecar: "s1", recorder: recorder, version: 1, members: map[string]Member{}, changed: make(chan struct{})}
		agent.Update(Member{ID: "a", State: StateDraining})
		time.Sleep(assumedNotifiedAfter - time.Nanosecond)
		synctest.Wait()
		if events, _ := recorder.Events(); len(events) != 0 {
			t.Errorf("%d events before assumedNotifiedAfter, want 0", len(events))
		}
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		if events, _ := recorder.Events(); len(events) != 1 || events[0].Kind != invariant.NodeStateNotified {
			t.Errorf("events after assumedNotifiedAfter are %+v, want one notification", events)
		}
	})
}
