package frontend

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// After a stall of the process the deadline of a request counts from its arrival, and its client may have disconnected. Otherwise a
// sidecar that resumes after a stop of 20 s forwards requests from its sockets although their clients disconnected 16 s before it
// resumed.
func TestDeadlineOfRequestThatWaitedInItsSocketCountsFromItsArrival(t *testing.T) {
	idle := acceptIdleConn(t)
	if _, err := io.ReadAtLeast(idle.client, make([]byte, 16), 1); err != nil { // read the response that acceptIdleConn wrote
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
		t.Errorf("a request that arrived just now: arrival %v ago, disconnected %v, want 0 and false", now.Sub(arrived), isDisconnected)
	}
	testpeer.Eventually(t, "the kernel reports that the last bytes are as old as a stall", func() bool { elapsed, _ := sinceLastReceive(r); return elapsed >= stallThreshold })
	idle.client.Close()
	testpeer.Eventually(t, "the kernel reports the disconnect", func() bool {
		_, isDisconnected := sinceLastReceive(r)
		return isDisconnected
	})
	now = now.Add(time.Second)
	if arrived, isDisconnected := s.arrivalTime(r, now); !isDisconnected || now.Sub(arrived) < stallThreshold {
		t.Errorf("a request that has waited: arrival %v ago, disconnected %v, want %v at least and true", now.Sub(arrived), isDisconnected, stallThreshold)
	}
}

func TestRequestsAfterAStallMayHaveWaited(t *testing.T) {
	d := &stallDetector{startedAt: time.Unix(0, 0)}
	observeAt := func(sinceStart time.Duration) bool { return d.observeRequest(d.startedAt.Add(sinceStart)) }
	// The first request follows a pause of 1 s, as long as a stall. The pauses between the other requests of the loop are shorter
	// than a stall.
	for sinceStart, want := time.Second, true; sinceStart < time.Minute; sinceStart += stallThreshold / 2 {
		if got := observeAt(sinceStart); got != want {
			t.Fatalf("observeRequest returned %v for the request after %v, want %v", got, sinceStart, want)
		}
		want = sinceStart+stallThreshold/2 < time.Second+arrivalCheckPeriod
	}
	if !observeAt(2*time.Minute) || !observeAt(2*time.Minute+arrivalCheckPeriod/100) {
		t.Error("observeRequest returned false for a request after a pause of a minute, want true")
	}
}

// A request may have waited in its socket while the process was stopped. If its client has reset the connection meanwhile, the client has
// left, as if it had closed it.
func TestClientThatResetItsConnectionHasDisconnected(t *testing.T) {
	idle := acceptIdleConn(t)
	r, err := http.NewRequestWithContext(withConn(t.Context(), idle.conn), http.MethodGet, "/look", nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, isDisconnected := sinceLastReceive(r); isDisconnected {
		t.Error("the client counts as disconnected, though its connection is open")
	}
	if err := idle.client.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	idle.client.Close() // sends a reset
	testpeer.Eventually(t, "the client counts as disconnected", func() bool {
		_, isDisconnected := sinceLastReceive(r)
		return isDisconnected
	})
}
