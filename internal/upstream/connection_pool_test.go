package upstream

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/testpeer"
)

func TestDeadIdleConnectionIsNotReused(t *testing.T) {
	for name, trailing := range map[string]string{"closed": "", "unrequested bytes": "x"} {
		t.Run(name, func(t *testing.T) {
			answered := make(chan bool, 1)
			e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
				io.WriteString(nc, testpeer.Served)
				if n == 1 {
					<-answered
					io.WriteString(nc, trailing)
				}
				return n > 1
			})
			client := newTestClient(t, e.Addr)
			if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
				t.Fatalf("first: %v", r)
			}
			answered <- true
			testpeer.Until(t, name, func() bool { idle := client.pools["a"].idle; return len(idle) == 0 || !idle[0].hasNoInput() })
			if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
				t.Errorf("second: %v", r)
			}
			if c := e.Connections.Load(); c != 2 {
				t.Errorf("%d connections", c)
			}
		})
	}
}

func TestConnectionsAreReusedUntilStaleMovedOrDraining(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	other := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	client := newTestClient(t, e.Addr)
	wantConnections := func(want int32) {
		t.Helper()
		if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
			t.Fatalf("result %v", r)
		}
		if c := e.Connections.Load(); c != want {
			t.Errorf("%d connections, want %d", c, want)
		}
	}
	wantConnections(1)
	wantConnections(1)
	client.pools["a"].idle[0].idleSince = time.Now().Add(-client.maxIdleAge) // the endpoint may close it at any moment
	wantConnections(2)
	client.SetEndpoint("a", other.Addr, true) // moved: the old connection leads elsewhere
	wantConnections(2)
	if c := other.Connections.Load(); c != 1 || client.openCount != 1 {
		t.Errorf("%d connections to the new address, %d open", c, client.openCount)
	}
	client.SetEndpoint("a", other.Addr, false)
	if client.openCount != 0 {
		t.Errorf("%d connections to an endpoint that is draining", client.openCount)
	}
}

func TestOldestIdleConnectionIsEvictedAtLimit(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	f := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	client := newTestClient(t, e.Addr, f.Addr)
	client.options.MaxConnections = 1
	for _, id := range []string{"a", "b", "a"} {
		if r := attempt(t, client, id, getRequest("/c")); r != balance.OK {
			t.Errorf("%s: %v", id, r)
		}
		if client.openCount != 1 {
			t.Errorf("%d open", client.openCount)
		}
	}
}

// A duplicate of a response that comes just after the first copy must not be read as the response to the next request,
// though nothing more came together with the first copy and the next request is made at once.
func TestDuplicateResponseIsNotReadAsNextResponse(t *testing.T) {
	answered := make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + r.Header.Get("Req-Id")
		io.WriteString(nc, text)
		if n == 1 {
			<-answered
			io.WriteString(nc, text)
		}
		return true
	})
	client := newTestClient(t, e.Addr)
	client.reuseDelay = time.Second
	for _, id := range []string{"r1", "r2"} {
		m := getRequest("/c")
		m.Header.Set("Req-Id", id)
		r, _, response := client.Attempt(contextFor(t, testpeer.Patience), "a", m, AttemptHooks{})
		if r != balance.OK || string(response.Body) != id {
			t.Errorf("request %s: %v, response %q", id, r, response.Body)
		}
		if id == "r1" {
			answered <- true
		}
	}
	if c := e.Connections.Load(); c != 2 {
		t.Errorf("%d connections", c)
	}
}

// A duplicate response that comes some milliseconds late is not read as the next response, since nothing of the next
// request is written before it would have come.
func TestConnectionRestsBeforeNextRequest(t *testing.T) {
	const latestDuplicate = 6 * time.Millisecond // of those that were measured
	var firstRequest, lastRequest time.Time
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
		if lastRequest = time.Now(); n == 1 {
			firstRequest = lastRequest
		}
		io.WriteString(nc, testpeer.Served)
		return true
	})
	client := newTestClient(t, e.Addr)
	for range 2 {
		if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
			t.Fatal(r)
		}
	}
	if e.Connections.Load() == 1 && lastRequest.Sub(firstRequest) < latestDuplicate {
		t.Errorf("a request came %v after the previous response", lastRequest.Sub(firstRequest))
	}
}

// A connection that was acquired for a request that is no longer wanted keeps its age, since its endpoint's idle
// timeout goes on and could end under the next request.
func TestUnusedConnectionKeepsItsIdleAge(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	client := newTestClient(t, e.Addr)
	client.maxIdleAge = 200 * time.Millisecond
	wantResult := func(isWanted bool, want balance.Result) {
		t.Helper()
		hooks := AttemptHooks{IsWanted: func() bool { return isWanted }}
		if r, _, _ := client.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), hooks); r != want {
			t.Fatalf("%v, want %v", r, want)
		}
	}
	wantResult(true, balance.OK)
	answered := time.Now()
	testpeer.Until(t, "half of the idle time has passed", func() bool { return time.Since(answered) > client.maxIdleAge/2 })
	wantResult(false, balance.NotSent)
	testpeer.Until(t, "all of the idle time has passed", func() bool { return time.Since(answered) > client.maxIdleAge })
	wantResult(true, balance.OK)
	if n := e.Connections.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

func TestHasIdleSeesClosedConnection(t *testing.T) {
	release := make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(nc, testpeer.Served)
		<-release
		return false
	})
	client := newTestClient(t, e.Addr)
	if client.HasIdle("a") || client.HasIdle("unknown") {
		t.Error("idle before the first attempt")
	}
	if r := attempt(t, client, "a", getRequest("/look")); r != balance.OK {
		t.Fatal(r)
	}
	if !client.HasIdle("a") {
		t.Error("not idle after a response")
	}
	close(release)
	testpeer.Until(t, "the close is seen", func() bool { return !client.HasIdle("a") })
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.openCount != 0 {
		t.Errorf("%d open after the close", client.openCount)
	}
}

// With Options.Spread a connection that rests delays no request while fewer than the maximum are open.
func TestSpreadDialsInsteadOfWaitingForRest(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	for _, limit := range []int{1, 2} {
		client := New(Options{IdleTimeout: time.Minute, DialTimeout: testpeer.Patience, MaxConnections: limit, DialInsteadOfWaiting: true})
		client.reuseDelay = 30 * time.Millisecond
		client.SetEndpoint("a", e.Addr, true)
		for range 2 {
			if r := attempt(t, client, "a", getRequest("/x")); r != balance.OK {
				t.Errorf("result %v", r)
			}
		}
		if n := e.Connections.Swap(0); int(n) != limit {
			t.Errorf("with %d at most, %d were opened", limit, n)
		}
		client.sweep(func(*conn) bool { return false })
	}
}
