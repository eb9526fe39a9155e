package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/config"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/hotrestart"
	"tuliprock/internal/testkit/testpeer"
	"tuliprock/internal/upstream"
)

// A manually ejected endpoint gets no new request until the ejection ends.
func TestManuallyEjectedEndpointGetsNoRequests(t *testing.T) {
	a := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	b := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){enableAdmin}, a.Addr, b.Addr)
	n := 0
	sendExpecting := func(want int) {
		t.Helper()
		n++
		if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint(n), 8000)); status != want {
			t.Fatalf("request %d: status %d, want %d", n, status, want)
		}
	}
	for a.Requests.Load() == 0 || b.Requests.Load() == 0 {
		sendExpecting(http.StatusOK)
	}
	for _, row := range []struct{ command, want string }{
		{"set-down nobody", "FAILURE"},
		{"set-up nobody", "FAILURE"},
		{"set-down a", "SUCCESS a is out\n"},
		{"set-down a", "SUCCESS a was out already\n"},
		{"check", "SUCCESS"},
	} {
		if got := s.adminCommand(t, row.command); !strings.HasPrefix(got, row.want) {
			t.Errorf("%s: response %q, want %q", row.command, got, row.want)
		}
	}
	requestsBeforeEjection := a.Requests.Load()
	for range 30 {
		sendExpecting(http.StatusOK)
	}
	if a.Requests.Load() != requestsBeforeEjection {
		t.Errorf("%d requests reached the ejected endpoint, want none", a.Requests.Load()-requestsBeforeEjection)
	}
	if got := parseMetrics(t, s.adminCommand(t, "vars")); got["pool_size"] != 2 || got["pool_ejected"] != 1 {
		t.Errorf("pool_size %d, pool_ejected %d, want 2 and 1", got["pool_size"], got["pool_ejected"])
	}
	s.adminCommand(t, "set-down b")
	sendExpecting(http.StatusServiceUnavailable)
	s.adminCommand(t, "set-up a")
	restoredAt := time.Now()
	for a.Requests.Load() == requestsBeforeEjection {
		sendExpecting(http.StatusOK)
	}
	if delay := time.Since(restoredAt); delay > 5*time.Second {
		t.Errorf("the restored endpoint got its first request after %v, want at most 5s", delay)
	}
}

// A pool that a reload creates applies the manual ejections from before the reload.
func TestManualEjectionOutlivesReload(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){enableAdmin}, e.Addr)
	s.adminCommand(t, "set-down a")
	next, err := s.platformConfig.Service()
	if err != nil {
		t.Fatal(err)
	}
	enableAdmin(&next)
	next.Pools[0].Settings.MaxAttempts++ // a changed setting makes the reload replace the pool
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "1", 8000))
	if status != http.StatusServiceUnavailable || e.Requests.Load() > 0 {
		t.Errorf("status %d and %d requests reached the ejected endpoint, want 503 and none", status, e.Requests.Load())
	}
	s.adminCommand(t, "set-up a")
	if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "2", 8000)); status != http.StatusOK {
		t.Errorf("after the ejection has ended: status %d, want 200", status)
	}
}

// A connection that is established after its endpoint was ejected carries no request. The request may be retried at
// another endpoint; here there is no other endpoint, and the request is shed as never sent.
func TestEjectionDuringDialWritesNothing(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){enableAdmin}, e.Addr)
	s.upstream.SetEjected("a", true) // the balancer is not notified yet and still chooses the endpoint
	if status, _, _ := send(t, s.newRequest(t, http.MethodPost, "/pay", "1", 1000)); status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503, since the request was never sent", status)
	}
	if n := e.Requests.Load(); n > 0 {
		t.Errorf("%d requests reached the ejected endpoint, want none", n)
	}
}

// An endpoint whose ejection ends while it is draining, or after it was removed, gets no requests until discovery lists it
// as ready.
func TestRestoredEndpointThatIsNotReadyGetsNoRequests(t *testing.T) {
	a := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	b := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){enableAdmin}, a.Addr, b.Addr)
	n := 0
	sendBurst := func(scenario string) {
		t.Helper()
		for range 20 {
			n++
			if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint(n), 8000)); status != http.StatusOK {
				t.Fatalf("%s: status %d, want 200", scenario, status)
			}
		}
		if got := a.Requests.Load(); got > 0 {
			t.Errorf("%s: %d requests reached the endpoint, want none", scenario, got)
		}
	}
	s.adminCommand(t, "set-down a")
	s.updateList(t, testpeer.EncodeMembers(2, false, testpeer.EncodeMember("a", a.Addr, "Terminating")))
	if got := s.adminCommand(t, "set-up a"); got != "SUCCESS a is back\n" {
		t.Errorf("set-up while the endpoint is draining: response %q, want that it is back", got)
	}
	sendBurst("restored while draining")
	s.adminCommand(t, "set-down a")
	s.updateList(t, testpeer.EncodeMembers(3, true, testpeer.EncodeMember("b", b.Addr, "Ready")))
	if got := s.adminCommand(t, "set-up a"); got != "SUCCESS a is back\n" {
		t.Errorf("set-up after the endpoint was removed: response %q, want that it is back", got)
	}
	sendBurst("restored after removal")
	if got := s.adminCommand(t, "set-up a"); !strings.HasPrefix(got, "FAILURE") {
		t.Errorf("set-up of an endpoint that is neither listed nor ejected: response %q, want FAILURE", got)
	}
}

// An ejection that another process has recorded must reach a pool whose event loop is busy when the directory is polled, and the pools
// after it. It may not count as applied before: nothing would apply it again.
func TestEjectionReachesPoolThatWasBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, log := t.TempDir(), slog.New(slog.DiscardHandler)
		var directories [2]*hotrestart.Directory
		for i := range directories {
			d, err := hotrestart.Join(dir, "n1", log)
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			directories[i] = d
		}
		o := newOverrides()
		o.attach(directories[0], nil)
		ctx, cancel := context.WithCancel(t.Context())
		var pools [2]*pool
		for i := range pools {
			loop := eventloop.New(eventloop.NewBalancer, balance.Settings{}, upstream.New(upstream.Options{}), nil, log)
			pools[i] = &pool{loop: loop}
			o.addPool(pools[i])
			go loop.Run(ctx)
		}
		ejectedIn := func() (count int) {
			for _, p := range pools {
				_ = p.loop.Do(ctx, func(time.Duration) {
					if p.loop.IsKnown("x") { // no endpoint is listed, so that only ejected ones are known
						count++
					}
				})
			}
			return count
		}
		for _, isEjected := range []bool{true, false} {
			idle := make(chan struct{})
			for _, p := range pools {
				p.loop.Post(func(time.Duration) { <-idle })
			}
			if err := directories[1].RecordEjection("x", isEjected, time.Now()); err != nil {
				t.Fatal(err)
			}
			o.syncDirectory(hotrestart.KeepReportedDescriptors)
			close(idle)
			o.syncDirectory(hotrestart.KeepReportedDescriptors)
			if got, want := ejectedIn(), map[bool]int{true: len(pools)}[isEjected]; got != want {
				t.Errorf("x ejected %v by another process: it is ejected in %d pools, want %d", isEjected, got, want)
			}
		}
		if len(o.unapplied) > 0 {
			t.Errorf("changes %v are left, want none", o.unapplied)
		}
		cancel()
		for _, p := range pools {
			<-p.loop.Done()
		}
	})
}
