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
	a, b := echoEndpoint(t, "A"), echoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listen1+poolOf("a", a)+poolOf("b", b)+lookRoute))
	was, listener := s.installed.pools, s.listeners["one 127.0.0.1:0"]
	nc, in, resp := openConnection(t, s.addressOf("one"))
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp.Status)
	}
	s.reload(t, listen1+poolOf("a", a, b)+poolOf("b", b)+lookRoute)
	if s.installed.pools["a"] != was["a"] || s.installed.pools["b"] != was["b"] || s.listeners["one 127.0.0.1:0"] != listener {
		t.Error("what did not change was built anew")
	}
	sendOn(t, nc, in)
	changed := strings.Replace(poolOf("a", b), "[[pool.member]]", "attempts = 2\n[[pool.member]]", 1)
	s.reload(t, listen1+changed+poolOf("b", b)+lookRoute)
	if s.installed.pools["a"] == was["a"] || s.installed.pools["b"] != was["b"] {
		t.Error("a pool that changed was kept, or one that did not was not")
	}
	if _, text := sendGet(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("after the change: %q", text)
	}
	sendOn(t, nc, in) // the client's connection has lasted through all reloads
}

// A removed pool answers the requests that it has, by the configuration that accepted them, and then ends.
func TestRemovedPoolFinishesItsRequests(t *testing.T) {
	slow, came, release := newHeldEndpoint(t)
	b := echoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listen1+poolOf("a", slow.Addr)+lookRoute))
	first := make(chan string)
	go func() {
		_, text := sendGet(t, s.addressOf("one"), "h", "/")
		first <- text
	}()
	<-came
	old := s.installed.pools["a"]
	s.reload(t, listen1+poolOf("b", b)+strings.ReplaceAll(lookRoute, `"a"`, `"b"`))
	if _, text := sendGet(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("a new request: %q", text)
	}
	select {
	case <-old.loop.Done():
		t.Error("the pool ended with a request in flight")
	default:
	}
	close(release)
	if text := <-first; text != "hi" {
		t.Errorf("the request in flight: %q", text)
	}
	select {
	case <-old.loop.Done():
	case <-time.After(testpeer.Timeout):
		t.Error("the pool never ended")
	}
}

// A replaced pool still learns which endpoints drain: a request that it still has must not be retried there.
func TestReplacedPoolStillReceivesEndpointUpdates(t *testing.T) {
	const declines = "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
	came, release := make(chan int, 10), make(chan bool)
	var nodes [2]*testpeer.Endpoint
	for i := range nodes {
		nodes[i] = testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
			came <- i
			<-release
			io.WriteString(nc, declines)
			return true
		})
	}
	file := func(attempts int, states ...string) string {
		text := fmt.Sprintf("[[pool]]\nname = \"a\"\nattempts = %d\n", attempts)
		for i, state := range states {
			text += fmt.Sprintf("[[pool.member]]\naddress = %q\nstate = %q\n", nodes[i].Addr, state)
		}
		return listen1 + text + lookRoute
	}
	s := startFromFile(t, parseService(t, file(3, "ready", "ready")))
	ended := make(chan bool)
	go func() {
		r, _ := http.NewRequest(http.MethodGet, "http://"+s.addressOf("one")+"/", nil)
		r.Header.Set("Req-Deadline-Ms", "1500")
		roundTrip(t, r)
		close(ended)
	}()
	first := <-came
	states := []string{"draining", "draining"}
	states[first] = "ready"
	old := s.installed.pools["a"]
	s.reload(t, file(4, states...))
	if s.installed.pools["a"] == old {
		t.Fatal("the pool was not replaced")
	}
	close(release)
	<-ended
	if n := nodes[1-first].Requests.Load(); n != 0 {
		t.Errorf("%d requests came to the one that drains", n)
	}
}

func TestFailedReloadChangesNothing(t *testing.T) {
	a := echoEndpoint(t, "A")
	s := startFromFile(t, parseService(t, listen1+poolOf("a", a)+lookRoute))
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	was, listeners := s.installed, fmt.Sprint(s.Addrs())
	free := "[[listener]]\nname = \"free\"\naddress = \"127.0.0.1:0\"\n"
	inUse := fmt.Sprintf("[[listener]]\nname = \"late\"\naddress = %q\n", taken.Addr())
	err = s.Reload(parseService(t, free+inUse+poolOf("b", a)+strings.ReplaceAll(lookRoute, `"a"`, `"b"`)))
	if err == nil || !strings.Contains(err.Error(), "listener late") {
		t.Errorf("error %v", err)
	}
	if s.installed != was || fmt.Sprint(s.Addrs()) != listeners {
		t.Error("something changed")
	}
	if _, text := sendGet(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "A ") {
		t.Errorf("afterwards: %q", text)
	}
}

// A listener that changes its address serves at the old one for a while: for the connections there, and for clients that
// don't know yet. Back again, and with other limits at the same address, no request is lost.
func TestReloadMovesListener(t *testing.T) {
	a := echoEndpoint(t, "A")
	here, there := testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	at := func(addr string, more string) string {
		return fmt.Sprintf("[[listener]]\nname = \"one\"\naddress = %q\n%s", addr, more) + poolOf("a", a) + lookRoute
	}
	s := startFromFile(t, parseService(t, at(here, "")))
	nc, in, _ := openConnection(t, here)
	s.reload(t, at(there, ""))
	for _, addr := range []string{here, there} {
		if resp, _ := sendGet(t, addr, "h", "/"); resp.StatusCode != http.StatusOK {
			t.Errorf("at %s: %s", addr, resp.Status)
		}
	}
	sendOn(t, nc, in)
	s.reload(t, at(here, ""))                        // while the first one still drains
	s.reload(t, at(here, "idle_timeout = \"1s\"\n")) // another server behind the same socket
	for range 50 {
		if resp, _ := sendGet(t, here, "h", "/"); resp.StatusCode != http.StatusOK {
			t.Errorf("back at %s: %s", here, resp.Status)
		}
	}
	testpeer.Eventually(t, "the old address is closed", func() bool {
		nc, err := net.Dial("tcp", there)
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

func TestConcurrentReloadsAndReloadDuringShutdown(t *testing.T) {
	a, b := echoEndpoint(t, "A"), echoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listen1+poolOf("a", a)+lookRoute))
	var busy sync.WaitGroup
	for i := range 20 {
		busy.Go(func() {
			if err := s.Reload(parseService(t, listen1+poolOf("a", []string{a, b}[i%2])+lookRoute)); err != nil {
				t.Error(err)
			}
		})
		busy.Go(func() {
			// 503 is allowed: the one member of each list is new there, and warming up.
			resp, _ := sendGet(t, s.addressOf("one"), "h", "/")
			if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
				t.Error(resp.Status)
			}
		})
	}
	busy.Wait()
	s.terminate()
	testpeer.Eventually(t, "the end begins", func() bool {
		return errors.Is(s.Reload(parseService(t, listen1+poolOf("a", a)+lookRoute)), errShuttingDown)
	})
	if err := <-s.serveResult; err != nil {
		t.Error(err)
	}
}
