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
			responded := make(chan bool, 1)
			e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
				io.WriteString(nc, testpeer.ResponseOK)
				if n == 1 {
					<-responded
					io.WriteString(nc, trailing)
				}
				return n > 1
			})
			client := newTestClient(t, e.Addr)
			if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
				t.Fatalf("first attempt: result %v, want %v", r, balance.OK)
			}
			responded <- true
			testpeer.Eventually(t, name, func() bool { idle := client.pools["a"].idle; return len(idle) == 0 || !idle[0].hasNoInput() })
			if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
				t.Errorf("second attempt: result %v, want %v", r, balance.OK)
			}
			if c := e.Connections.Load(); c != 2 {
				t.Errorf("the endpoint accepted %d connections, want 2", c)
			}
		})
	}
}

func TestConnectionsAreReusedUntilStaleOrAddressChangesOrDraining(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	other := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	client := newTestClient(t, e.Addr)
	checkConnections := func(want int32) {
		t.Helper()
		if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
			t.Fatalf("result %v, want %v", r, balance.OK)
		}
		if c := e.Connections.Load(); c != want {
			t.Errorf("the endpoint accepted %d connections, want %d", c, want)
		}
	}
	checkConnections(1)
	checkConnections(1)
	client.pools["a"].idle[0].idleSince = time.Now().Add(-client.maxIdleAge) // the connection is then so old that the endpoint may close it at any moment
	checkConnections(2)
	client.SetEndpoint("a", other.Addr, true) // the idle connection still leads to the endpoint's old address
	checkConnections(2)
	if c := other.Connections.Load(); c != 1 || client.openCount != 1 {
		t.Errorf("%d connections to the new address and %d open in total, want 1 and 1", c, client.openCount)
	}
	client.SetEndpoint("a", other.Addr, false)
	if client.openCount != 0 {
		t.Errorf("%d connections to a draining endpoint are open, want 0", client.openCount)
	}
}

func TestOldestIdleConnectionIsEvictedAtLimit(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	f := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	client := newTestClient(t, e.Addr, f.Addr)
	client.options.MaxConnections = 1
	for _, id := range []string{"a", "b", "a"} {
		if r := attempt(t, client, id, getRequest("/c")); r != balance.OK {
			t.Errorf("endpoint %s: result %v, want %v", id, r, balance.OK)
		}
		if client.openCount != 1 {
			t.Errorf("%d connections are open, want 1", client.openCount)
		}
	}
}

// An endpoint may send a response twice. The duplicate must not be read as the response to the next request, even if it arrives
// only after the first copy was read and the next request is made at once.
func TestDuplicateResponseIsNotReadAsNextResponse(t *testing.T) {
	responded := make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + r.Header.Get("Req-Id")
		io.WriteString(nc, text)
		if n == 1 {
			<-responded
			io.WriteString(nc, text)
		}
		return true
	})
	client := newTestClient(t, e.Addr)
	client.delayBeforeReuse = time.Second
	for _, id := range []string{"r1", "r2"} {
		req := getRequest("/c")
		req.Header.Set("Req-Id", id)
		r, _, response := client.Attempt(newTestContext(t, testpeer.Timeout), "a", req, AttemptHooks{})
		if r != balance.OK || string(response.Body) != id {
			t.Errorf("request %s: result %v, body %q, want %v, %q", id, r, response.Body, balance.OK, id)
		}
		if id == "r1" {
			responded <- true
		}
	}
	if c := e.Connections.Load(); c != 2 {
		t.Errorf("the endpoint accepted %d connections, want 2", c)
	}
}

// A duplicate response may arrive some milliseconds after the first copy. The next request on the connection must be written only
// after this time, so that the duplicate is not read as the next response.
func TestConnectionIsNotReusedBeforeReuseDelay(t *testing.T) {
	const maxDuplicateDelay = 6 * time.Millisecond // longest observed time from a response to its duplicate, rounded up (see delayBeforeReuse)
	var firstRequestAt, lastRequestAt time.Time
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
		if lastRequestAt = time.Now(); n == 1 {
			firstRequestAt = lastRequestAt
		}
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	client := newTestClient(t, e.Addr)
	for range 2 {
		if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
			t.Fatalf("result %v, want %v", r, balance.OK)
		}
	}
	if e.Connections.Load() == 1 && lastRequestAt.Sub(firstRequestAt) < maxDuplicateDelay {
		t.Errorf("the second request came %v after the first one, want at least %v", lastRequestAt.Sub(firstRequestAt), maxDuplicateDelay)
	}
}

// A connection that was acquired for a request that was not sent must keep its idleSince. The endpoint's idle timeout was not reset,
// and could expire while the next request is on its way.
func TestUnusedConnectionKeepsItsIdleAge(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	client := newTestClient(t, e.Addr)
	client.maxIdleAge = 200 * time.Millisecond
	checkResult := func(isWanted bool, want balance.Result) {
		t.Helper()
		hooks := AttemptHooks{IsWanted: func() bool { return isWanted }}
		if r, _, _ := client.Attempt(newTestContext(t, testpeer.Timeout), "a", getRequest("/c"), hooks); r != want {
			t.Fatalf("result %v, want %v", r, want)
		}
	}
	checkResult(true, balance.OK)
	respondedAt := time.Now()
	testpeer.Eventually(t, "half of maxIdleAge has passed", func() bool { return time.Since(respondedAt) > client.maxIdleAge/2 })
	checkResult(false, balance.NotSent)
	testpeer.Eventually(t, "maxIdleAge has passed", func() bool { return time.Since(respondedAt) > client.maxIdleAge })
	checkResult(true, balance.OK)
	if n := e.Connections.Load(); n != 2 {
		t.Errorf("the endpoint accepted %d connections, want 2", n)
	}
}

func TestHasIdleConnectionDetectsClosedConnection(t *testing.T) {
	release := make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(nc, testpeer.ResponseOK)
		<-release
		return false
	})
	client := newTestClient(t, e.Addr)
	if client.HasIdleConnection("a") || client.HasIdleConnection("unknown") {
		t.Error("HasIdleConnection is true before the first attempt, want false")
	}
	if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
		t.Fatalf("result %v, want %v", r, balance.OK)
	}
	if !client.HasIdleConnection("a") {
		t.Error("HasIdleConnection is false after a response, want true")
	}
	close(release)
	testpeer.Eventually(t, "HasIdleConnection is false after the endpoint has closed the connection", func() bool { return !client.HasIdleConnection("a") })
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.openCount != 0 {
		t.Errorf("%d connections are open after the endpoint has closed its only one, want 0", client.openCount)
	}
}

// With Options.DialInsteadOfWaiting, a request does not wait for the reuse delay of a connection while fewer than MaxConnections are
// open.
func TestClientDialsInsteadOfWaitingForReuseDelay(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	for _, limit := range []int{1, 2} {
		client := New(Options{IdleTimeout: time.Minute, DialTimeout: testpeer.Timeout, MaxConnections: limit, DialInsteadOfWaiting: true})
		client.delayBeforeReuse = 30 * time.Millisecond
		client.SetEndpoint("a", e.Addr, true)
		for range 2 {
			if r := attempt(t, client, "a", getRequest("/x")); r != balance.OK {
				t.Errorf("result %v, want %v", r, balance.OK)
			}
		}
		if n := e.Connections.Swap(0); int(n) != limit {
			t.Errorf("MaxConnections %d: two attempts opened %d connections, want %d", limit, n, limit)
		}
		client.sweep(func(*conn) bool { return false })
	}
}
