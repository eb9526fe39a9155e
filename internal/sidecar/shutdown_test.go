package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/discovery"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/testkit/testpeer"
)

// An endpoint list overtakes the queued events: a draining endpoint must not get the requests that were queued before the
// list.
func TestEndpointUpdateOvertakesQueuedRequests(t *testing.T) {
	// The event loop picks at random between its two queues: that it picks the same one 30 times in a row has a
	// probability of one in a billion.
	const queuedEvents, maxHandledBeforeUpdate = 200, 30
	synctest.Test(t, func(t *testing.T) {
		p := newPool(eventloop.NewBalancer, config.PoolSpec{Name: "p"}, nil, nil, nil, &metrics.Registry{}, slog.New(slog.DiscardHandler))
		defer p.close()
		unblock := make(chan struct{})
		p.loop.Post(func(time.Duration) { <-unblock })
		handled, handledBeforeUpdate := 0, -1
		for range queuedEvents {
			p.loop.Post(func(time.Duration) {
				if _, members, _, _ := p.loop.ResourceCounts(); members > 0 && handledBeforeUpdate < 0 {
					handledBeforeUpdate = handled
				}
				handled++
			})
		}
		go p.updateEndpoints(discovery.ListUpdate{Full: true, Members: []discovery.Member{{ID: "a", Addr: "127.0.0.1:1"}}})
		synctest.Wait()
		close(unblock)
		synctest.Wait()
		if handledBeforeUpdate < 0 || handledBeforeUpdate > maxHandledBeforeUpdate {
			t.Errorf("the list was applied after %d of %d queued events (-1: after all), want at most %d",
				handledBeforeUpdate, handled, maxHandledBeforeUpdate)
		}
	})
}

// After SIGTERM the platform waits for the grace period and then kills the process. Every request that was accepted before
// or after the signal must have its response by then, although its own deadline is later and its endpoint hangs.
func TestEveryRequestGetsResponseWithinGracePeriod(t *testing.T) {
	const gracePeriod = 1200 * time.Millisecond
	arrived := make(chan bool, 10)
	e := testpeer.NewEndpoint(t, func(net.Conn, *http.Request, int) bool { arrived <- true; return true })
	s := startPlatformWith(t, "{}", []func(*config.Service){func(c *config.Service) { c.TerminationGrace = gracePeriod }}, e.Addr)
	sendHangingRequest := func(id, class string) *bufio.Reader {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		method := map[string]string{"look": http.MethodGet, "pay": http.MethodPost}[class]
		if err := s.newRequest(t, method, "/"+class, id, 3600000).Write(nc); err != nil {
			t.Fatal(err)
		}
		<-arrived
		return bufio.NewReader(nc)
	}
	readersBeforeSignal := []*bufio.Reader{sendHangingRequest("1", "look"), sendHangingRequest("2", "pay")}
	terminatedAt := time.Now()
	s.terminate()
	testpeer.Eventually(t, "the shutdown has begun", func() bool { return s.frontend.IsShuttingDown() })
	readersAfterSignal := []*bufio.Reader{sendHangingRequest("3", "look"), sendHangingRequest("4", "pay")}
	for i, in := range append(readersBeforeSignal, readersAfterSignal...) {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i+1, err)
		}
		if isPay := i%2 == 1; isPay && resp.StatusCode != http.StatusBadGateway {
			t.Errorf("non-idempotent request %d may have run: status %d, want 502", i+1, resp.StatusCode)
		}
	}
	took := time.Since(terminatedAt)
	t.Logf("all requests had their responses after %v of a grace period of %v", took, gracePeriod)
	if err := <-s.serveResult; err != nil {
		t.Error(err)
	}
	if took < gracePeriod/2 {
		t.Errorf("all requests were ended after %v, want at least half of the grace period of %v", took, gracePeriod)
	}
}

// The grace period follows from the request classes' longest deadlines in the settings, and is never longer than that of
// the platform.
func TestGracePeriodFollowsFromSettings(t *testing.T) {
	for limits, want := range map[[2]int]time.Duration{ // key: longest deadlines of the two classes in ms; 0: no limit
		{500, 800}:  1500 * time.Millisecond,
		{500, 6000}: 3700 * time.Millisecond,
		{0, 500}:    3700 * time.Millisecond,
	} {
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"7","settings":{"Lanes":[
			{"Name":"x","Semantics":"read_like","HardLimitUs":%d},{"Name":"y","Semantics":"non_idempotent","HardLimitUs":%d}]}}`,
			1000*limits[0], 1000*limits[1])
		c, err := config.Parse([]byte(text), func(string) string { return "" })
		if err != nil {
			t.Fatal(err)
		}
		service, err := c.Service()
		if err != nil || service.TerminationGrace != want || service.DrainTimeout >= want {
			t.Errorf("limits of %v ms: grace period %v, drain timeout %v, error %v; want a grace period of %v and a shorter drain timeout",
				limits, service.TerminationGrace, service.DrainTimeout, err, want)
		}
	}
}

// After SIGTERM new clients are accepted for a while, and every accepted request gets its response before Serve returns.
func TestShutdownLosesNoRequest(t *testing.T) {
	arrived, release := make(chan bool, 100), make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.Header.Get("Req-Id"), "slow") {
			arrived <- true
			<-release
		}
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	s := startPlatform(t, e.Addr)
	var slowRequests sync.WaitGroup
	for i := range 3 {
		slowRequests.Go(func() {
			_, _, resp := sendKeepingOpen(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint("slow", i), 60000))
			if resp.StatusCode != http.StatusOK || !resp.Close {
				t.Errorf("in flight: status %d, close %v, want 200 and true", resp.StatusCode, resp.Close)
			}
		})
		<-arrived
	}
	_, in, resp := sendKeepingOpen(t, s.newRequest(t, http.MethodGet, "/look", "idle", 60000))
	if resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("before the signal: status %d, close %v, want 200 and false", resp.StatusCode, resp.Close)
	}

	s.terminate()
	if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "late", 60000)); status != http.StatusOK {
		t.Errorf("right after the signal: status %d, want 200", status)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("reading from the idle connection: error %v, want EOF", err)
	}
	testpeer.Eventually(t, "the listener closes", func() bool {
		nc, err := net.Dial("tcp", s.addr)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	select {
	case err := <-s.serveResult:
		t.Fatalf("Serve returned with requests in flight: %v", err)
	default:
	}
	close(release)
	slowRequests.Wait()
	select {
	case err := <-s.serveResult:
		if err != nil {
			t.Errorf("Serve: %v", err)
		}
	case <-time.After(testpeer.Timeout):
		t.Error("Serve has not returned")
	}
}

// After SIGTERM a client may go on using its connection, and gets a response before the grace period ends.
func TestClientsAreServedAfterShutdownBegins(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Req-Id") != "long" {
			io.WriteString(nc, testpeer.ResponseOK)
		}
		return true
	})
	s := startPlatform(t, e.Addr)
	nc, in, _ := sendKeepingOpen(t, s.newRequest(t, http.MethodGet, "/look", "first", 60000))
	s.terminate()
	testpeer.Eventually(t, "the shutdown has begun", func() bool { return s.frontend.IsShuttingDown() })
	for _, row := range []struct {
		id   string
		want int
	}{{"second", http.StatusOK}, {"long", http.StatusServiceUnavailable}} {
		if err := s.newRequest(t, http.MethodGet, "/look", row.id, 3600000).Write(nc); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %s: %v", row.id, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != row.want {
			t.Errorf("request %s: status %d, want %d", row.id, resp.StatusCode, row.want)
		}
	}
}
