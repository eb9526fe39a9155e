package frontend

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// Seen on the rehearsed day of stalls: a sidecar that was stopped for 20 s sent on what had lain in its sockets, 16 s after
// its callers had left.
func TestWhatLayInASocketIsAsOldAsItIs(t *testing.T) {
	_, c, client := accepted(t)
	if _, err := io.ReadAtLeast(client, make([]byte, 16), 1); err != nil { // the answer that accepted wrote
		t.Fatal(err)
	}
	r := (&http.Request{}).WithContext(context.WithValue(t.Context(), connKey{}, c))
	s := New(Options{}, nil, nil)
	now := time.Now()
	io.WriteString(client, "request")
	if _, err := io.ReadFull(c, make([]byte, len("request"))); err != nil {
		t.Fatal(err)
	}
	if arrived, left := s.arrivalTime(r, now); left || arrived != now {
		t.Errorf("what came just now came %v before, left %v", now.Sub(arrived), left)
	}
	testpeer.Until(t, "the kernel counts", func() bool { ago, _ := sinceLastReceive(r); return ago >= stallThreshold })
	client.Close()
	testpeer.Until(t, "the kernel knows of the end", func() bool { _, left := sinceLastReceive(r); return left })
	now = now.Add(time.Second)
	if arrived, left := s.arrivalTime(r, now); !left || now.Sub(arrived) < stallThreshold {
		t.Errorf("what lay: %v, left %v", now.Sub(arrived), left)
	}
}

func TestStallsAreSuspectedAfterAPause(t *testing.T) {
	s := &stallDetector{startedAt: time.Unix(0, 0)}
	at := func(d time.Duration) bool { return s.observeRequest(s.startedAt.Add(d)) }
	for d, want := time.Second, true; d < time.Minute; d += stallThreshold / 2 { // the first comes after a pause, the others don't
		if got := at(d); got != want {
			t.Fatalf("after %v: %v", d, got)
		}
		want = d+stallThreshold/2 < time.Second+stallSuspicionPeriod
	}
	if !at(2*time.Minute) || !at(2*time.Minute+stallSuspicionPeriod/100) {
		t.Error("a pause is not seen")
	}
}
