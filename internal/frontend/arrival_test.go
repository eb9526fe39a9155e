package frontend

import (
	"io"
	"net/http"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// Seen on the rehearsed day of stalls: a sidecar that was stopped for 20 s forwarded what had arrived in its sockets, 16 s
// after its clients had disconnected.
func TestRequestThatWaitedInItsSocketCountsFromItsArrival(t *testing.T) {
	idle := acceptIdleConn(t)
	if _, err := io.ReadAtLeast(idle.client, make([]byte, 16), 1); err != nil { // the response that acceptIdleConn wrote
		t.Fatal(err)
	}
	r := (&http.Request{}).WithContext(withConn(t.Context(), idle.conn))
	s := NewServer(Options{}, nil, nil)
	now := time.Now()
	io.WriteString(idle.client, "request")
	if _, err := io.ReadFull(idle.conn, make([]byte, len("request"))); err != nil {
		t.Fatal(err)
	}
	if arrived, isDisconnected := s.arrivalTime(r, now); isDisconnected || arrived != now {
		t.Errorf("a request that arrived just now: %v before, disconnected %v", now.Sub(arrived), isDisconnected)
	}
	testpeer.Until(t, "the kernel counts", func() bool { age, _ := sinceLastReceive(r); return age >= stallThreshold })
	idle.client.Close()
	testpeer.Until(t, "the kernel has seen the disconnect", func() bool {
		_, isDisconnected := sinceLastReceive(r)
		return isDisconnected
	})
	now = now.Add(time.Second)
	if arrived, isDisconnected := s.arrivalTime(r, now); !isDisconnected || now.Sub(arrived) < stallThreshold {
		t.Errorf("a request that has waited: %v before, disconnected %v", now.Sub(arrived), isDisconnected)
	}
}

func TestRequestsAreSuspectForAWhileAfterAPause(t *testing.T) {
	d := &stallDetector{startedAt: time.Unix(0, 0)}
	observeAt := func(after time.Duration) bool { return d.observeRequest(d.startedAt.Add(after)) }
	for after, want := time.Second, true; after < time.Minute; after += stallThreshold / 2 { // a pause is before the first only
		if got := observeAt(after); got != want {
			t.Fatalf("after %v: suspect is %v", after, got)
		}
		want = after+stallThreshold/2 < time.Second+stallSuspicionPeriod
	}
	if !observeAt(2*time.Minute) || !observeAt(2*time.Minute+stallSuspicionPeriod/100) {
		t.Error("a pause is not detected")
	}
}
