package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// When the connection limit is reached, idle connections are closed to make room for new clients, and no request is lost.
func TestIdleConnectionsYieldToNewClients(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, `{"sockets":64}`, nil, e.Addr)
	for i := range 100 { // far more connections than the limit allows
		_, _, resp := sendKeepingOpen(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("client %d: status %d, want 200", i, resp.StatusCode)
		}
	}
}

// Hundreds of connections that send no request, or only its beginning, must not block clients that send requests.
func TestSilentConnectionsDoNotBlockClients(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, `{"sockets":64}`, nil, e.Addr)
	for i := range 200 {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		io.WriteString(nc, "GET /lo"[:i%2*7]) // the beginning of a request line, or nothing
	}
	if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "r1", 60000)); status != http.StatusOK {
		t.Errorf("status %d, want 200", status)
	}
	if n := s.frontendListener.ConnectionCount(); n > 64 {
		t.Errorf("%d connections are open, want at most 64", n)
	}
}

// A daemon that runs for long sees ever new endpoint IDs at the same addresses, new request IDs and new connections. It
// must release the state of removed endpoints, finished requests and closed connections.
func TestStateOfDepartedEndpointsIsReleased(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatform(t, e.Addr)
	for i := range 500 {
		s.updateList(t, testpeer.EncodeMembers(i+2, true, testpeer.EncodeMember(fmt.Sprint("e", i), e.Addr, "Ready")))
		if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000)); status != http.StatusOK {
			t.Fatalf("request %d: status %d, want 200", i, status)
		}
	}
	testpeer.Eventually(t, "clients' connections are closed", func() bool { return s.frontendListener.ConnectionCount() == 0 })
	counts := make(chan [4]int)
	s.loop.Post(func(time.Duration) {
		calls, members, events, timers := s.loop.ResourceCounts()
		counts <- [4]int{calls, members, events, timers}
	})
	if n := <-counts; n[0] != 0 || n[1] != 1 || n[2] != 0 || n[3] > 600 {
		t.Errorf("calls, members, events, timers: %v, want 0, 1, 0, at most 600", n)
	}
	if endpoints, connections := s.upstream.ResourceCounts(); endpoints != 1 || connections > 1 {
		t.Errorf("state of %d endpoints and %d connections to them, want 1 and at most 1", endpoints, connections)
	}
}

// Endpoints may close idle connections early. The endpoints of this test close a connection as soon as another one is
// used. Connections must still be reused while they are open, so that not every request needs a new one.
func TestShortLivedConnectionsAreReusedWhileOpen(t *testing.T) {
	var mu sync.Mutex
	idleConnections := map[net.Conn]bool{}
	var endpoints []*testpeer.Endpoint
	var addrs []string
	for range 4 {
		e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			for other := range idleConnections {
				if other != nc {
					other.Close()
					delete(idleConnections, other)
				}
			}
			idleConnections[nc] = true
			time.Sleep(4 * time.Millisecond) // makes all requests take about the same time
			io.WriteString(nc, testpeer.ResponseOK)
			return true
		})
		endpoints, addrs = append(endpoints, e), append(addrs, e.Addr)
	}
	s := startPlatform(t, addrs...)
	const requests = 60
	for n := range requests {
		if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("r", n), 4000)); status != http.StatusOK {
			t.Fatalf("request %d: status %d, want 200", n, status)
		}
	}
	opened := int32(0)
	for _, e := range endpoints {
		opened += e.Connections.Load()
	}
	if opened > requests*2/3 {
		t.Errorf("%d connections were opened for %d sequential requests, want at most %d", opened, requests, requests*2/3)
	}
}
