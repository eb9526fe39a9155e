package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/testkit/testpeer"
)

// A manually ejected endpoint gets no new request until the ejection ends.
func TestManuallyEjectedEndpointGetsNoRequests(t *testing.T) {
	a := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	b := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){withAdmin}, a.Addr, b.Addr)
	n := 0
	served := func(want int) {
		t.Helper()
		n++
		if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint(n), 8000)); status != want {
			t.Fatalf("request %d: %d, want %d", n, status, want)
		}
	}
	for a.Requests.Load() == 0 || b.Requests.Load() == 0 {
		served(http.StatusOK)
	}
	for _, row := range []struct{ call, want string }{
		{"set-down nobody", "FAILURE"},
		{"set-up nobody", "FAILURE"},
		{"set-down a", "SUCCESS a is out\n"},
		{"set-down a", "SUCCESS a was out already\n"},
		{"check", "SUCCESS"},
	} {
		if got := s.adminCommand(t, row.call); !strings.HasPrefix(got, row.want) {
			t.Errorf("%s: %q, want %q", row.call, got, row.want)
		}
	}
	was := a.Requests.Load()
	for range 30 {
		served(http.StatusOK)
	}
	if a.Requests.Load() != was {
		t.Errorf("%d requests came to the ejected endpoint", a.Requests.Load()-was)
	}
	if got := parseMetrics(t, s.adminCommand(t, "vars")); got["pool_size"] != 2 || got["pool_ejected"] != 1 {
		t.Errorf("pool_size %d, pool_ejected %d", got["pool_size"], got["pool_ejected"])
	}
	s.adminCommand(t, "set-down b")
	served(http.StatusServiceUnavailable)
	s.adminCommand(t, "set-up a")
	began := time.Now()
	for a.Requests.Load() == was {
		served(http.StatusOK)
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("unused for %v", took)
	}
}

// A pool that a reload makes has the ejections of before.
func TestManualEjectionOutlivesReload(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){withAdmin}, e.Addr)
	s.adminCommand(t, "set-down a")
	next, err := s.platformConfig.Service()
	if err != nil {
		t.Fatal(err)
	}
	withAdmin(&next)
	next.Pools[0].Settings.MaxAttempts++ // another pool
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "1", 8000))
	if status != http.StatusServiceUnavailable || e.Requests.Load() > 0 {
		t.Errorf("status %d, %d requests came", status, e.Requests.Load())
	}
	s.adminCommand(t, "set-up a")
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "2", 8000)); status != http.StatusOK {
		t.Errorf("after the ejection: %d", status)
	}
}

// A connection that is established after its endpoint was ejected carries nothing; the request is retried elsewhere.
func TestEjectionDuringDialWritesNothing(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){withAdmin}, e.Addr)
	s.upstream.SetEjected("a", true) // the module does not know yet
	if status, _, _ := send(t, s.request(t, http.MethodPost, "/pay", "1", 1000)); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503: it never ran", status)
	}
	if n := e.Requests.Load(); n > 0 {
		t.Errorf("%d requests came", n)
	}
}

// An endpoint whose ejection ends while it drains, or after it was removed, gets nothing until discovery lists it as ready.
func TestRestoredEndpointThatIsNotReadyGetsNoRequests(t *testing.T) {
	a := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	b := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){withAdmin}, a.Addr, b.Addr)
	n := 0
	burst := func(what string) {
		t.Helper()
		for range 20 {
			n++
			if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint(n), 8000)); status != http.StatusOK {
				t.Fatalf("%s: %d", what, status)
			}
		}
		if got := a.Requests.Load(); got > 0 {
			t.Errorf("%s: %d requests came", what, got)
		}
	}
	s.adminCommand(t, "set-down a")
	s.updateList(t, testpeer.Members(2, false, testpeer.Member("a", a.Addr, "Terminating")))
	if got := s.adminCommand(t, "set-up a"); got != "SUCCESS a is back\n" {
		t.Errorf("while it drains: %q", got)
	}
	burst("restored while it drains")
	s.adminCommand(t, "set-down a")
	s.updateList(t, testpeer.Members(3, true, testpeer.Member("b", b.Addr, "Ready")))
	if got := s.adminCommand(t, "set-up a"); got != "SUCCESS a is back\n" {
		t.Errorf("after it was removed: %q", got)
	}
	burst("restored after it was removed")
	if got := s.adminCommand(t, "set-up a"); !strings.HasPrefix(got, "FAILURE") {
		t.Errorf("once it is neither listed nor ejected: %q", got)
	}
}
