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

// A list with a draining endpoint overtakes the queued events: what is decided after it has come avoids that endpoint.
func TestEndpointUpdateOvertakesQueuedRequests(t *testing.T) {
	const behind, soon = 200, 30 // the loop draws between the two queues: 30 in a row are one in a billion
	synctest.Test(t, func(t *testing.T) {
		p := newPool(eventloop.NewBalancer, config.PoolSpec{Name: "p"}, nil, &metrics.Registry{}, slog.New(slog.DiscardHandler))
		defer p.close()
		jam := make(chan struct{})
		p.loop.Post(func(time.Duration) { <-jam })
		passed, updatedAfter := 0, -1
		for range behind {
			p.loop.Post(func(time.Duration) {
				if _, members, _, _ := p.loop.ResourceCounts(); members > 0 && updatedAfter < 0 {
					updatedAfter = passed
				}
				passed++
			})
		}
		go p.updateEndpoints(discovery.ListUpdate{Full: true, Members: []discovery.Member{{ID: "a", Addr: "127.0.0.1:1"}}})
		synctest.Wait()
		close(jam)
		synctest.Wait()
		if updatedAfter < 0 || updatedAfter > soon {
			t.Errorf("the list was applied after %d of %d queued events (-1: after all)", updatedAfter, passed)
		}
	})
}

// After SIGTERM the platform waits for the longest deadline and a little more: every request that was accepted, before or
// after, is answered by then, though its own deadline is later and its endpoint hangs.
func TestShutdownAnswersEveryRequestBeforeTheKill(t *testing.T) {
	const grace = 1200 * time.Millisecond
	came := make(chan bool, 10)
	e := testpeer.NewEndpoint(t, func(net.Conn, *http.Request, int) bool { came <- true; return true })
	s := startPlatformWith(t, "{}", []func(*config.Service){func(c *config.Service) { c.TerminationGrace = grace }}, e.Addr)
	hung := func(id, class string) *bufio.Reader {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		method := map[string]string{"look": http.MethodGet, "pay": http.MethodPost}[class]
		if err := s.request(t, method, "/"+class, id, 3600000).Write(nc); err != nil {
			t.Fatal(err)
		}
		<-came
		return bufio.NewReader(nc)
	}
	before, after := []*bufio.Reader{hung("1", "look"), hung("2", "pay")}, []*bufio.Reader(nil)
	began := time.Now()
	s.terminate()
	testpeer.Eventually(t, "the end is near", func() bool { return s.frontend.IsShuttingDown() })
	after = append(after, hung("3", "look"), hung("4", "pay"))
	for i, in := range append(before, after...) {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i+1, err)
		}
		if unsafe := i%2 == 1; unsafe && resp.StatusCode != http.StatusBadGateway {
			t.Errorf("request %d may have run, and got %d", i+1, resp.StatusCode)
		}
	}
	took := time.Since(began)
	t.Logf("all answered after %v of %v", took, grace)
	if err := <-s.serveResult; err != nil {
		t.Error(err)
	}
	if took < grace/2 {
		t.Errorf("answered after %v: there was more time", took)
	}
}

// The grace period follows from the deadlines in the settings, and is never longer than the platform's.
func TestGracePeriodFollowsFromSettings(t *testing.T) {
	for limits, want := range map[[2]int]time.Duration{ // of the two classes, in ms; 0: none
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
			t.Errorf("%v: grace %v, drain %v, %v; want %v", limits, service.TerminationGrace, service.DrainTimeout, err, want)
		}
	}
}

// After SIGTERM clients still connect for a while; every accepted request is answered before the end.
func TestShutdownLosesNoRequest(t *testing.T) {
	came, release := make(chan bool, 100), make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.Header.Get("Req-Id"), "slow") {
			came <- true
			<-release
		}
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	s := startPlatform(t, e.Addr)
	var slow sync.WaitGroup
	for i := range 3 {
		slow.Go(func() {
			_, _, resp := sendKeepingOpen(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("slow", i), 60000))
			if resp.StatusCode != http.StatusOK || !resp.Close {
				t.Errorf("in flight: %d, close %v", resp.StatusCode, resp.Close)
			}
		})
		<-came
	}
	_, in, resp := sendKeepingOpen(t, s.request(t, http.MethodGet, "/look", "kept", 60000))
	if resp.StatusCode != http.StatusOK || resp.Close {
		t.Errorf("before the signal: %d, close %v", resp.StatusCode, resp.Close)
	}

	s.terminate()
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "late", 60000)); status != http.StatusOK {
		t.Errorf("right after the signal: %d", status)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Errorf("an idle connection: %v", err)
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
		t.Fatalf("ended with requests in flight: %v", err)
	default:
	}
	close(release)
	slow.Wait()
	select {
	case err := <-s.serveResult:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testpeer.Timeout):
		t.Error("never ended")
	}
}

// After SIGTERM a client may go on using its connection, and is answered in time for the end.
func TestClientsAreServedAfterShutdownBegins(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Req-Id") != "long" {
			io.WriteString(nc, testpeer.ResponseOK)
		}
		return true
	})
	s := startPlatform(t, e.Addr)
	nc, in, _ := sendKeepingOpen(t, s.request(t, http.MethodGet, "/look", "first", 60000))
	s.terminate()
	testpeer.Eventually(t, "the end is near", func() bool { return s.frontend.IsShuttingDown() })
	for _, row := range []struct {
		id   string
		want int
	}{{"second", http.StatusOK}, {"long", http.StatusServiceUnavailable}} {
		if err := s.request(t, http.MethodGet, "/look", row.id, 3600000).Write(nc); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("%s: %v", row.id, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != row.want {
			t.Errorf("%s: status %d", row.id, resp.StatusCode)
		}
	}
}
