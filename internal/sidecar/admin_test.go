package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/testkit/testpeer"
)

// withAdmin gives the service an operators' address.
func withAdmin(c *config.Service) { c.AdminAddress, c.OperatorConnections = "127.0.0.1:0", 8 }

// adminCommand sends one command and returns its response.
func (s *platformSidecar) adminCommand(t *testing.T, line string) string {
	t.Helper()
	return adminCommand(t, s.admin.Addr().String(), line)
}

func adminCommand(t *testing.T, addr, line string) string {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(nc)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return string(answer)
}

// parseMetrics reads the response to vars: values by name.
func parseMetrics(t *testing.T, text string) map[string]int64 {
	t.Helper()
	out := map[string]int64{}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) == 0 || lines[len(lines)-1] != "EOT" {
		t.Fatalf("no EOT: %q", text)
	}
	for _, line := range lines[:len(lines)-1] {
		name, rest, _ := strings.Cut(line, ":")
		value, kind, _ := strings.Cut(rest, "|")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || kind != "c" && kind != "g" || !strings.HasPrefix(name, "edge_router.") {
			t.Fatalf("%q is no metric", line)
		}
		out[strings.TrimPrefix(name, "edge_router.")] = n
	}
	return out
}

// respondByID responds as the first part of a request's ID says.
func respondByID(wrote *atomic.Int64) func(net.Conn, *http.Request, int) bool {
	return func(nc net.Conn, r *http.Request, _ int) bool {
		wrote.Add(1)
		kind, _, _ := strings.Cut(r.Header.Get("Req-Id"), "-")
		switch kind {
		case "error":
			io.WriteString(nc, "HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nno")
		case "full":
			io.WriteString(nc, "HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		case "breaks":
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf")
			return false
		case "slow":
			time.Sleep(50 * time.Millisecond)
			io.WriteString(nc, testpeer.ResponseOK)
		default:
			io.WriteString(nc, testpeer.ResponseOK)
		}
		return true
	}
}

// sendOfKind sends a request of a kind that respondByID knows, or one that is "bad", or whose client is "gone" while its
// response is awaited, or just after. It returns the outcome as the metrics name it.
func (s *platformSidecar) sendOfKind(t *testing.T, client *http.Client, kind, class, id string) (string, error) {
	t.Helper()
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	r := s.request(t, method, "/"+class, kind+"-"+id, 8000)
	switch kind {
	case "bad":
		r.Header.Set("Req-Deadline-Ms", "soon")
	case "gone":
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Millisecond)
		defer cancel()
		r = r.WithContext(ctx)
		r.Header.Set("Req-Id", "slow-"+id)
	}
	resp, err := client.Do(r)
	if err != nil {
		if kind == "gone" {
			return "gone " + class, nil
		}
		return "", err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", err
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return "ok." + class, nil
	case http.StatusServiceUnavailable:
		return "shed." + class, nil
	case http.StatusBadRequest:
		return "bad", nil
	}
	return "errors." + class, nil
}

// Every accepted request is counted once, with the outcome that its client saw, and every attempt that an endpoint saw.
func TestMetricsMatchWhatClientsAndEndpointsCounted(t *testing.T) {
	var wrote atomic.Int64
	var addrs []string
	for range 3 {
		addrs = append(addrs, testpeer.NewEndpoint(t, respondByID(&wrote)).Addr)
	}
	s := startPlatformWith(t, "{}", []func(*config.Service){withAdmin}, addrs...)
	var mu sync.Mutex
	seen := map[string]int64{}
	const workers, each = 12, 150
	var work sync.WaitGroup
	for w := range workers {
		work.Go(func() {
			client := http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := range each {
				kind := []string{"good", "error", "full", "breaks", "slow", "good", "bad", "gone"}[i%8]
				class := []string{"look", "pay", "book"}[i%3]
				outcome, err := s.sendOfKind(t, &client, kind, class, fmt.Sprint(w, "-", i))
				if err != nil {
					t.Error(kind, class, err)
					continue
				}
				mu.Lock()
				seen[outcome]++
				mu.Unlock()
			}
		})
	}
	work.Wait()
	var got map[string]int64
	testpeer.Eventually(t, "it is quiet", func() bool {
		got = parseMetrics(t, s.adminCommand(t, "vars"))
		return got["active"] == 0
	})
	testpeer.Eventually(t, "all attempts have come", func() bool { return wrote.Load() >= got["tries"] })
	for _, class := range []string{"look", "pay", "book"} {
		sum, want := int64(0), seen["gone "+class]
		for _, how := range []string{"ok.", "shed.", "errors."} {
			n, counted := got[how+class], seen[how+class]
			if sum, want = sum+n, want+counted; n < counted || n > counted+seen["gone "+class] {
				t.Errorf("%s%s: %d, clients saw %d and %d had disconnected", how, class, n, counted, seen["gone "+class])
			}
		}
		// A client that disconnected may never have been counted.
		if short := want - sum; short < 0 || short > seen["gone "+class] {
			t.Errorf("%s: %d ended, clients know of %d", class, sum, want)
		}
	}
	if got["bad"] != seen["bad"] || got["tries"] != wrote.Load() || got["pool_size"] != 3 {
		t.Errorf("bad %d of %d, tries %d of %d, pool_size %d", got["bad"], seen["bad"], got["tries"], wrote.Load(), got["pool_size"])
	}
	for _, what := range []string{"ok.look", "errors.pay", "shed.look", "bad"} {
		if seen[what] == 0 {
			t.Errorf("nothing ended as %s: the test shows too little", what)
		}
	}
}

func TestActiveMetricCountsRequestsInFlight(t *testing.T) {
	release := make(chan struct{})
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		<-release
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	s := startPlatformWith(t, "{}", []func(*config.Service){withAdmin}, e.Addr)
	var work sync.WaitGroup
	for i := range 5 {
		work.Go(func() { send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint(i), 8000)) })
	}
	testpeer.Eventually(t, "five are active", func() bool { return parseMetrics(t, s.adminCommand(t, "vars"))["active"] == 5 })
	close(release)
	work.Wait()
	testpeer.Eventually(t, "none is active", func() bool { return parseMetrics(t, s.adminCommand(t, "vars"))["active"] == 0 })
}

// The response to a command does not wait in the queue of a pool's events, and is bounded in time where the loop hangs.
func TestAdminCommandsAreAnsweredUnderOverload(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){withAdmin}, e.Addr)
	jam, jammed := make(chan struct{}), make(chan struct{})
	s.loop.Post(func(time.Duration) { close(jammed); <-jam })
	<-jammed
	for range 100 {
		go s.loop.Post(func(time.Duration) { time.Sleep(5 * time.Millisecond) })
	}
	for call, want := range map[string]string{"check": "SUCCESS", "vars": "edge_router", "set-down a": "FAILURE"} {
		began := time.Now()
		if got := s.adminCommand(t, call); !strings.HasPrefix(got, want) {
			t.Errorf("%s: %q", call, got)
		}
		if took := time.Since(began); took > time.Second+100*time.Millisecond {
			t.Errorf("%s: answered after %v", call, took)
		}
	}
	close(jam)
	if got := s.adminCommand(t, "set-down a"); !strings.HasPrefix(got, "SUCCESS") {
		t.Errorf("behind 100 events: %q", got)
	}
}

// An operators' address that is in use is an error before anything is changed.
func TestAdminAddressInUseFailsReload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatform(t, e.Addr)
	next, err := s.platformConfig.Service()
	if err != nil {
		t.Fatal(err)
	}
	next.AdminAddress, next.OperatorConnections = l.Addr().String(), 8
	if err := s.Reload(next); err == nil || !strings.Contains(err.Error(), "admin_addr") {
		t.Errorf("%v", err)
	}
	next.AdminAddress = "127.0.0.1:0"
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	if got := s.adminCommand(t, "check"); !strings.HasPrefix(got, "SUCCESS") {
		t.Errorf("%q", got)
	}
	was := s.admin.Addr().String()
	next.AdminAddress = ""
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	testpeer.Eventually(t, "the address is closed", func() bool {
		nc, err := net.Dial("tcp", was)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
}
