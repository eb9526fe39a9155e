package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

func TestReloadKeepsUnchangedListenersAndPools(t *testing.T) {
	a, b := startEchoEndpoint(t, "A"), startEchoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listenerOne+poolSection("a", a)+poolSection("b", b)+lookRoute))
	pools, listener := s.installed.pools, s.listeners["one 127.0.0.1:0"]
	nc, in, resp := openConnection(t, s.addressOf("one"))
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("before the reloads: status %s, want 200", resp.Status)
	}
	s.reload(t, listenerOne+poolSection("a", a, b)+poolSection("b", b)+lookRoute)
	if s.installed.pools["a"] != pools["a"] || s.installed.pools["b"] != pools["b"] || s.listeners["one 127.0.0.1:0"] != listener {
		t.Error("a reload replaced a pool or listener of which only the members changed")
	}
	sendOn(t, nc, in)
	changed := strings.Replace(poolSection("a", b), "[[pool.member]]", "attempts = 2\n[[pool.member]]", 1)
	s.reload(t, listenerOne+changed+poolSection("b", b)+lookRoute)
	if s.installed.pools["a"] == pools["a"] || s.installed.pools["b"] != pools["b"] {
		t.Error("a reload kept the changed pool, or replaced the unchanged one")
	}
	if _, text := sendGet(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("after the change: response %q, want one from B", text)
	}
	sendOn(t, nc, in) // the client's connection has stayed open through all reloads
}

// A removed pool completes its requests in flight under the configuration that accepted them, and then ends.
func TestRemovedPoolFinishesItsRequests(t *testing.T) {
	blocking, arrived, release := newBlockingEndpoint(t)
	b := startEchoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listenerOne+poolSection("a", blocking.Addr)+lookRoute))
	firstResponse := make(chan string)
	go func() {
		_, text := sendGet(t, s.addressOf("one"), "h", "/")
		firstResponse <- text
	}()
	<-arrived
	old := s.installed.pools["a"]
	s.reload(t, listenerOne+poolSection("b", b)+strings.ReplaceAll(lookRoute, `"a"`, `"b"`))
	if _, text := sendGet(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("a new request: response %q, want one from B", text)
	}
	select {
	case <-old.loop.Done():
		t.Error("the removed pool ended with a request in flight")
	default:
	}
	close(release)
	if text := <-firstResponse; text != "hi" {
		t.Errorf("the request in flight: response %q, want \"hi\"", text)
	}
	select {
	case <-old.loop.Done():
	case <-time.After(testpeer.Timeout):
		t.Error("the removed pool has not ended after its last request")
	}
}

// A replaced pool still gets endpoint updates: a request that it still has must not be retried at a draining endpoint.
func TestReplacedPoolStillReceivesEndpointUpdates(t *testing.T) {
	const declined = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	arrived, release := make(chan int, 10), make(chan bool)
	var endpoints [2]*testpeer.Endpoint
	for i := range endpoints {
		endpoints[i] = testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
			arrived <- i
			<-release
			io.WriteString(nc, declined)
			return true
		})
	}
	file := func(attempts int, states ...string) string {
		text := fmt.Sprintf("[[pool]]\nname = \"a\"\nattempts = %d\n", attempts)
		for i, state := range states {
			text += fmt.Sprintf("[[pool.member]]\naddress = %q\nstate = %q\n", endpoints[i].Addr, state)
		}
		return listenerOne + text + lookRoute
	}
	s := startFromFile(t, parseService(t, file(3, "ready", "ready")))
	responded := make(chan bool)
	go func() {
		r, _ := http.NewRequest(http.MethodGet, "http://"+s.addressOf("one")+"/", nil)
		r.Header.Set("Req-Deadline-Ms", "1500")
		roundTrip(t, r)
		close(responded)
	}()
	first := <-arrived
	states := []string{"draining", "draining"}
	states[first] = "ready"
	old := s.installed.pools["a"]
	s.reload(t, file(4, states...))
	if s.installed.pools["a"] == old {
		t.Fatal("the pool was not replaced")
	}
	close(release)
	<-responded
	if n := endpoints[1-first].Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the draining endpoint, want none", n)
	}
}

func TestFailedReloadChangesNothing(t *testing.T) {
	a := startEchoEndpoint(t, "A")
	s := startFromFile(t, parseService(t, listenerOne+poolSection("a", a)+lookRoute))
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	installed, listenerAddrs := s.installed, fmt.Sprint(s.Addrs())
	freeListener := "[[listener]]\nname = \"free\"\naddress = \"127.0.0.1:0\"\n"
	inUseListener := fmt.Sprintf("[[listener]]\nname = \"inuse\"\naddress = %q\n", occupied.Addr())
	err = s.Reload(parseService(t, freeListener+inUseListener+poolSection("b", a)+strings.ReplaceAll(lookRoute, `"a"`, `"b"`)))
	if err == nil || !strings.Contains(err.Error(), "listener inuse") {
		t.Errorf("error %v, want one that names the listener inuse", err)
	}
	if s.installed != installed || fmt.Sprint(s.Addrs()) != listenerAddrs {
		t.Error("a failed reload changed the installed configuration or the listeners")
	}
	if _, text := sendGet(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "A ") {
		t.Errorf("after the failed reload: response %q, want one from A", text)
	}
}

// After a reload has changed a listener's address, the old address serves for a while: for the connections there, and for
// clients that don't know the new address yet. When the listener gets its old address back, and then another timeout at the
// same address, no request is lost.
func TestReloadMovesListener(t *testing.T) {
	a := startEchoEndpoint(t, "A")
	firstAddr, secondAddr := testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	fileWith := func(addr string, listenerSettings string) string {
		return fmt.Sprintf("[[listener]]\nname = \"one\"\naddress = %q\n%s", addr, listenerSettings) + poolSection("a", a) + lookRoute
	}
	s := startFromFile(t, parseService(t, fileWith(firstAddr, "")))
	nc, in, _ := openConnection(t, firstAddr)
	s.reload(t, fileWith(secondAddr, ""))
	for _, addr := range []string{firstAddr, secondAddr} {
		if resp, _ := sendGet(t, addr, "h", "/"); resp.StatusCode != http.StatusOK {
			t.Errorf("after the move, at %s: status %s, want 200", addr, resp.Status)
		}
	}
	sendOn(t, nc, in)
	// The first address is configured again while the listener that had it at the start is still draining.
	s.reload(t, fileWith(firstAddr, ""))
	// The changed timeout needs a new server, which takes over the same socket.
	s.reload(t, fileWith(firstAddr, "idle_timeout = \"1s\"\n"))
	for range 50 {
		if resp, _ := sendGet(t, firstAddr, "h", "/"); resp.StatusCode != http.StatusOK {
			t.Errorf("after the move back, at %s: status %s, want 200", firstAddr, resp.Status)
		}
	}
	testpeer.Eventually(t, "the second address is closed", func() bool {
		nc, err := net.Dial("tcp", secondAddr)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	testpeer.Eventually(t, "no listener is draining", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.drainingListeners) == 0
	})
}

func TestConcurrentReloadsSucceedAndReloadDuringShutdownFails(t *testing.T) {
	a, b := startEchoEndpoint(t, "A"), startEchoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listenerOne+poolSection("a", a)+lookRoute))
	var running sync.WaitGroup
	for i := range 20 {
		running.Go(func() {
			if err := s.Reload(parseService(t, listenerOne+poolSection("a", []string{a, b}[i%2])+lookRoute)); err != nil {
				t.Error(err)
			}
		})
		running.Go(func() {
			// 503 is allowed: the only member of each list is new in the pool, and warming up.
			resp, _ := sendGet(t, s.addressOf("one"), "h", "/")
			if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("status %s, want 200 or 503", resp.Status)
			}
		})
	}
	running.Wait()
	s.terminate()
	testpeer.Eventually(t, "the shutdown begins", func() bool {
		return errors.Is(s.Reload(parseService(t, listenerOne+poolSection("a", a)+lookRoute)), errShuttingDown)
	})
	if err := <-s.serveResult; err != nil {
		t.Error(err)
	}
}
