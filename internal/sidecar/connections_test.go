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

// Idle connections are closed for new clients when connections run short, and no request is lost.
func TestIdleConnectionsYieldToNewClients(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, `{"sockets":64}`, nil, e.Addr)
	for i := range 100 { // far over the limit
		_, _, resp := sendKeepingOpen(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("client %d: status %d", i, resp.StatusCode)
		}
	}
}

// Connections that send nothing, by hundreds, must not block clients that send requests.
func TestSilentConnectionsDoNotBlockClients(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, `{"sockets":64}`, nil, e.Addr)
	for i := range 200 {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		io.WriteString(nc, "GET /lo"[:i%2*7]) // some of a head, or nothing
	}
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "r1", 60000)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if n := s.connections.ConnectionCount(); n > 64 {
		t.Errorf("%d connections are open", n)
	}
}

// A long day brings ever new endpoint IDs at old addresses, request IDs and connections; the state of old ones must go.
func TestStateOfDepartedEndpointsIsReleased(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatform(t, e.Addr)
	for i := range 500 {
		s.updateList(t, testpeer.Members(i+2, true, testpeer.Member(fmt.Sprint("e", i), e.Addr, "Ready")))
		if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000)); status != http.StatusOK {
			t.Fatalf("request %d: status %d", i, status)
		}
	}
	testpeer.Eventually(t, "clients' connections end", func() bool { return s.connections.ConnectionCount() == 0 })
	left := make(chan [4]int)
	s.loop.Post(func(time.Duration) {
		calls, members, events, timers := s.loop.ResourceCounts()
		left <- [4]int{calls, members, events, timers}
	})
	if n := <-left; n[0] != 0 || n[1] != 1 || n[2] != 0 || n[3] > 600 {
		t.Errorf("calls, members, events, timers: %v", n)
	}
	if endpoints, connections := s.upstream.ResourceCounts(); endpoints != 1 || connections > 1 {
		t.Errorf("%d pools, %d connections to endpoints", endpoints, connections)
	}
}

// Endpoints that close idle connections, here as soon as another one is used, must not cost a connection a request.
func TestShortLivedConnectionsAreReusedWhileOpen(t *testing.T) {
	var mu sync.Mutex
	idle := map[net.Conn]bool{}
	var all []*testpeer.Endpoint
	var addrs []string
	for range 4 {
		e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			for other := range idle {
				if other != nc {
					other.Close()
					delete(idle, other)
				}
			}
			idle[nc] = true
			time.Sleep(4 * time.Millisecond) // so that all requests take about the same time
			io.WriteString(nc, testpeer.ResponseOK)
			return true
		})
		all, addrs = append(all, e), append(addrs, e.Addr)
	}
	s := startPlatform(t, addrs...)
	const calls = 60
	for n := range calls {
		if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("r", n), 4000)); status != http.StatusOK {
			t.Fatalf("call %d: %d", n, status)
		}
	}
	opened := int32(0)
	for _, e := range all {
		opened += e.Connections.Load()
	}
	if opened > calls*2/3 {
		t.Errorf("%d connections for %d calls one after another", opened, calls)
	}
}
