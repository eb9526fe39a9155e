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

// enableAdmin configures an address for operators' commands.
func enableAdmin(c *config.Service) { c.AdminAddress, c.MaxOperatorConnections = "127.0.0.1:0", 8 }

// adminCommand sends one command to the admin address and returns the response.
func (s *platformSidecar) adminCommand(t *testing.T, line string) string {
	t.Helper()
	return adminCommand(t, s.admin.Addr().String(), line)
}

// adminCommand sends one command to an admin address and returns the response.
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
	response, err := io.ReadAll(nc)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return string(response)
}

// parseMetrics parses the response to the command vars and returns the metrics' values by name. It removes the prefix
// "edge_router." from the names.
func parseMetrics(t *testing.T, text string) map[string]int64 {
	t.Helper()
	values := map[string]int64{}
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if len(lines) == 0 || lines[len(lines)-1] != "EOT" {
		t.Fatalf("the response does not end with EOT: %q", text)
	}
	for _, line := range lines[:len(lines)-1] {
		name, rest, _ := strings.Cut(line, ":")
		value, kind, _ := strings.Cut(rest, "|")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || kind != "c" && kind != "g" || !strings.HasPrefix(name, "edge_router.") {
			t.Fatalf("the line %q is not a metric", line)
		}
		values[strings.TrimPrefix(name, "edge_router.")] = n
	}
	return values
}

// respondByID returns an endpoint's handler that counts the attempts. The handler chooses its response by the request's
// kind, such as "error" or "slow", which is the part of the request's ID before the first hyphen.
func respondByID(attempts *atomic.Int64) func(net.Conn, *http.Request, int) bool {
	return func(nc net.Conn, r *http.Request, _ int) bool {
		attempts.Add(1)
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

// sendRequestOfKind sends a request of the given kind. A request of the kind "bad" has an invalid deadline, and the client
// of one of the kind "gone" disconnects after 3 ms. To any other kind the endpoint responds as respondByID defines.
// sendRequestOfKind returns the name of the metric that counts the outcome, or "gone CLASS" if the client has disconnected
// before the response.
func (s *platformSidecar) sendRequestOfKind(t *testing.T, client *http.Client, kind, class, id string) (string, error) {
	t.Helper()
	method := http.MethodPost
	if class == "look" {
		method = http.MethodGet
	}
	r := s.newRequest(t, method, "/"+class, kind+"-"+id, 8000)
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

// The metrics count every accepted request once, with the outcome that its client got, and every attempt that reached an
// endpoint.
func TestMetricsMatchWhatClientsAndEndpointsCounted(t *testing.T) {
	var attempts atomic.Int64
	var addrs []string
	for range 3 {
		addrs = append(addrs, testpeer.NewEndpoint(t, respondByID(&attempts)).Addr)
	}
	s := startPlatformWith(t, "{}", []func(*config.Service){enableAdmin}, addrs...)
	var mu sync.Mutex
	outcomes := map[string]int64{} // number of requests by outcome, as the clients counted them
	const clients, requestsPerClient = 12, 150
	var running sync.WaitGroup
	for w := range clients {
		running.Go(func() {
			client := http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := range requestsPerClient {
				kind := []string{"good", "error", "full", "breaks", "slow", "good", "bad", "gone"}[i%8]
				class := []string{"look", "pay", "book"}[i%3]
				outcome, err := s.sendRequestOfKind(t, &client, kind, class, fmt.Sprint(w, "-", i))
				if err != nil {
					t.Errorf("a request of kind %s and class %s: %v", kind, class, err)
					continue
				}
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
			}
		})
	}
	running.Wait()
	var got map[string]int64
	testpeer.Eventually(t, "no request is active", func() bool {
		got = parseMetrics(t, s.adminCommand(t, "vars"))
		return got["active"] == 0
	})
	testpeer.Eventually(t, "all counted attempts have reached an endpoint", func() bool { return attempts.Load() >= got["tries"] })
	for _, class := range []string{"look", "pay", "book"} {
		disconnected := outcomes["gone "+class]
		sum, want := int64(0), disconnected
		for _, kind := range []string{"ok.", "shed.", "errors."} {
			n, counted := got[kind+class], outcomes[kind+class]
			if sum, want = sum+n, want+counted; n < counted || n > counted+disconnected {
				t.Errorf("the metric %s%s is %d; clients counted %d, and %d clients had disconnected", kind, class, n, counted, disconnected)
			}
		}
		// A request whose client disconnected may never have been accepted; the metrics do not count it in this case.
		if missing := want - sum; missing < 0 || missing > disconnected {
			t.Errorf("%s: the metrics count %d requests, clients counted %d, of which %d had disconnected", class, sum, want, disconnected)
		}
	}
	if got["bad"] != outcomes["bad"] || got["tries"] != attempts.Load() || got["pool_size"] != 3 {
		t.Errorf("metrics: bad %d, tries %d, pool_size %d; want %d, %d, 3",
			got["bad"], got["tries"], got["pool_size"], outcomes["bad"], attempts.Load())
	}
	for _, outcome := range []string{"ok.look", "errors.pay", "shed.look", "bad"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no request had the outcome %s, so the test does not cover it", outcome)
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
	s := startPlatformWith(t, "{}", []func(*config.Service){enableAdmin}, e.Addr)
	var running sync.WaitGroup
	for i := range 5 {
		running.Go(func() { send(t, s.newRequest(t, http.MethodGet, "/look", fmt.Sprint(i), 8000)) })
	}
	testpeer.Eventually(t, "five requests are active", func() bool { return parseMetrics(t, s.adminCommand(t, "vars"))["active"] == 5 })
	close(release)
	running.Wait()
	testpeer.Eventually(t, "no request is active", func() bool { return parseMetrics(t, s.adminCommand(t, "vars"))["active"] == 0 })
}

// The response to a command does not wait behind the queued events of a pool, and comes within 1.1 s even if the pool's
// event loop hangs.
func TestAdminCommandsAreAnsweredUnderOverload(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){enableAdmin}, e.Addr)
	unblock, blocked := make(chan struct{}), make(chan struct{})
	s.loop.Post(func(time.Duration) { close(blocked); <-unblock })
	<-blocked
	for range 100 {
		go s.loop.Post(func(time.Duration) { time.Sleep(5 * time.Millisecond) })
	}
	for command, want := range map[string]string{"check": "SUCCESS", "vars": "edge_router", "set-down a": "FAILURE"} {
		sentAt := time.Now()
		if got := s.adminCommand(t, command); !strings.HasPrefix(got, want) {
			t.Errorf("%s with a blocked event loop: response %q, want the prefix %q", command, got, want)
		}
		if took := time.Since(sentAt); took > time.Second+100*time.Millisecond {
			t.Errorf("%s with a blocked event loop: response after %v, want at most 1.1s", command, took)
		}
	}
	close(unblock)
	if got := s.adminCommand(t, "set-down a"); !strings.HasPrefix(got, "SUCCESS") {
		t.Errorf("set-down with 100 queued events: response %q, want SUCCESS", got)
	}
}

// A reload with an admin address that is in use fails and names the setting; later reloads open and close the address.
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
	next.AdminAddress, next.MaxOperatorConnections = l.Addr().String(), 8
	if err := s.Reload(next); err == nil || !strings.Contains(err.Error(), "admin_addr") {
		t.Errorf("a reload with an address in use: error %v, want one that names admin_addr", err)
	}
	next.AdminAddress = "127.0.0.1:0"
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	if got := s.adminCommand(t, "check"); !strings.HasPrefix(got, "SUCCESS") {
		t.Errorf("check at the new address: response %q, want SUCCESS", got)
	}
	addr := s.admin.Addr().String()
	next.AdminAddress = ""
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	testpeer.Eventually(t, "the address is closed", func() bool {
		nc, err := net.Dial("tcp", addr)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
}
