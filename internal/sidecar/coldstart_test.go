package sidecar

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/testkit/testpeer"
)

// Parameters of the cold-start tests: how endpoints warm up, when an endpoint is overloaded, and the clients' load.
const (
	coldInitialFraction   = 0.14                   // fraction of its full capacity that a cold endpoint has at its start
	coldWarmup            = 24 * time.Second       // time until a cold endpoint has its full capacity
	coldOverloadMultiple  = 3.0                    // a cold endpoint is overloaded by requests beyond this multiple of its current capacity
	coldOverloadWindow    = time.Second            // period over which a cold endpoint's requests are counted to detect overload
	coldResponseTime      = 200 * time.Millisecond // response time of each endpoint, which limits a client to 5 requests/s
	coldRequestsPerClient = 10                     // number of requests that each client sends in one call of sendRequests, except during drain steps
	coldLoadFactor        = 1.6                    // ratio of all clients' load to the capacity of the endpoints when all are warm
)

// coldStartSite has many sidecars in front of one tier on loopback, one discovery agent, and cold endpoints whose requests
// are recorded.
type coldStartSite struct {
	t           *testing.T
	sidecars    int              // number of sidecars that startSidecars starts
	warmEntries []string         // entries of the warm endpoints in the endpoint list
	agent       *httptest.Server // discovery agent of all sidecars

	mu           sync.Mutex
	updates      []string               // list updates that the agent sends on each watch, in this order
	changed      chan struct{}          // closed and replaced by a new channel when an update is added
	arrivalTimes map[string][]time.Time // arrival times of the requests at each cold endpoint, by the endpoint's ID
}

// newColdStartSite starts the discovery agent and a number of warm endpoints.
func newColdStartSite(t *testing.T, sidecars, warmEndpoints int) *coldStartSite {
	t.Helper()
	s := &coldStartSite{t: t, sidecars: sidecars, changed: make(chan struct{}), arrivalTimes: map[string][]time.Time{}}
	s.agent = httptest.NewServer(http.HandlerFunc(s.serveWatch))
	t.Cleanup(s.agent.Close)
	for i := range warmEndpoints {
		s.warmEntries = append(s.warmEntries, s.startEndpoint(fmt.Sprintf("warm%02d", i), 0))
	}
	return s
}

// startEndpoint starts an endpoint and returns its entry for the endpoint list. startedMs is the endpoint's start time in
// Unix milliseconds; 0 makes it a warm endpoint, whose requests are not recorded.
func (s *coldStartSite) startEndpoint(id string, startedMs int64) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if startedMs > 0 {
			s.mu.Lock()
			s.arrivalTimes[id] = append(s.arrivalTimes[id], time.Now())
			s.mu.Unlock()
		}
		responseTimer := time.NewTimer(coldResponseTime)
		defer responseTimer.Stop()
		select {
		case <-responseTimer.C:
			// The write fails only if the sidecar has disconnected; then the client reports a failed request.
			_, _ = io.WriteString(w, "ok")
		case <-r.Context().Done():
		}
	}))
	s.t.Cleanup(server.Close)
	entry := testpeer.EncodeMember(id, server.Listener.Addr().String(), "Ready")
	return strings.Replace(entry, `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, startedMs), 1)
}

// startColdEndpoints starts cold endpoints and returns their entries for the endpoint list.
func (s *coldStartSite) startColdEndpoints(n int) (entries []string) {
	for i := range n {
		entries = append(entries, s.startEndpoint(fmt.Sprintf("cold%02d", i), time.Now().UnixMilli()))
	}
	return entries
}

// serveWatch is the discovery agent's handler: it sends heartbeats, and all list updates as they are added.
func (s *coldStartSite) serveWatch(w http.ResponseWriter, r *http.Request) {
	write := func(text string) {
		_, _ = io.WriteString(w, text) // an error is not checked: the test's own checks fail if a sidecar gets no list updates
		w.(http.Flusher).Flush()
	}
	write("\n")
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for sent := 0; ; {
		s.mu.Lock()
		pending, changed := s.updates[sent:], s.changed
		s.mu.Unlock()
		for _, update := range pending {
			write(update + "\n")
			sent++
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			write("\n")
		case <-r.Context().Done():
			return
		}
	}
}

// updateList sends a partial update of the endpoint list to all sidecars.
func (s *coldStartSite) updateList(entries ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, testpeer.EncodeMembers(2+len(s.updates), false, entries...))
	close(s.changed)
	s.changed = make(chan struct{})
}

// startSidecars starts all sidecars with an endpoint list and returns their addresses.
func (s *coldStartSite) startSidecars(entries []string) (addrs []string) {
	s.t.Helper()
	ctx, terminate := context.WithCancel(context.Background())
	var running sync.WaitGroup
	s.t.Cleanup(func() {
		terminate()
		running.Wait()
	})
	for i := range s.sidecars {
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"%d","limits":{},"known":%s,
			"settings":{"NInstances":%d,"Me":%d,"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000}],
			"Permissions":{"MayCancel":true,"TryLimit":4},"Rules":{"ColdFrom":%g,"ColdUs":%d}}}`,
			s.agent.Listener.Addr(), i+1, testpeer.EncodeMembers(1, true, entries...), s.sidecars, i, coldInitialFraction, coldWarmup.Microseconds())
		c, err := config.Parse([]byte(text), func(string) string { return "" })
		if err != nil {
			s.t.Fatal(err)
		}
		service, err := c.Service()
		if err != nil {
			s.t.Fatal(err)
		}
		d, err := Start(service, slog.New(slog.DiscardHandler))
		if err != nil {
			s.t.Fatal(err)
		}
		running.Go(func() {
			if err := d.Serve(ctx); err != nil {
				s.t.Error(err)
			}
		})
		for _, addr := range d.Addrs() {
			addrs = append(addrs, addr.String())
		}
	}
	return addrs
}

// sendRequests runs one client for each sidecar, all clients at the same time. Each client sends its requests one after
// another.
func (s *coldStartSite) sendRequests(addrs []string, requestsPerClient int) {
	s.t.Helper()
	var clients sync.WaitGroup
	for i, addr := range addrs {
		clients.Go(func() {
			client := http.Client{Timeout: testpeer.Timeout, Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
			defer client.CloseIdleConnections()
			for n := range requestsPerClient {
				r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/look/x", nil)
				if err != nil {
					s.t.Error(err)
					return
				}
				r.Header.Set("Req-Id", fmt.Sprint(i, "-", n, "-", time.Now().UnixNano()))
				r.Header.Set("Req-Deadline-Ms", "5000")
				resp, err := client.Do(r)
				if err != nil {
					s.t.Error(err)
					return
				}
				_, err = io.Copy(io.Discard, resp.Body)
				if resp.Body.Close(); err != nil || resp.StatusCode != http.StatusOK {
					s.t.Errorf("status %s, error %v, want 200", resp.Status, err)
				}
			}
		})
	}
	clients.Wait()
}

// checkColdEndpoints fails the test if a cold endpoint got more than N + 2 * sqrt(N) + 2 requests within any period of
// length coldOverloadWindow. N is coldOverloadMultiple times the requests that an endpoint can serve within this period
// after a tenth of its warm-up. The other two terms are a tolerance for random variation.
func (s *coldStartSite) checkColdEndpoints(endpoints int) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	// warmCapacity is how many requests per second one warm endpoint can serve.
	warmCapacity := float64(s.sidecars) / coldResponseTime.Seconds() / float64(endpoints) / coldLoadFactor
	// The cold endpoint is taken to have the capacity that it has after a tenth of its warm-up. That is the most that it
	// can have during the test, which ends earlier.
	overloadThreshold := coldOverloadMultiple * (coldInitialFraction + (1-coldInitialFraction)*0.1) * warmCapacity * coldOverloadWindow.Seconds()
	limit := overloadThreshold + 2*math.Sqrt(overloadThreshold) + 2
	maxRequests, windowStart := 0, 0
	for _, arrivals := range s.arrivalTimes {
		windowStart = 0
		for i, at := range arrivals {
			for at.Sub(arrivals[windowStart]) > coldOverloadWindow {
				windowStart++
			}
			maxRequests = max(maxRequests, i-windowStart+1)
		}
	}
	s.t.Logf("at most %d requests at a cold endpoint within %v, %.1f allowed", maxRequests, coldOverloadWindow, limit)
	if float64(maxRequests) > limit {
		s.t.Errorf("a cold endpoint got %d requests within %v, want at most %.1f", maxRequests, coldOverloadWindow, limit)
	}
}

// Many sidecars that start at the same time with a list that contains a cold endpoint must not all send to it at once.
func TestRestartedSidecarsDoNotOverloadAColdEndpoint(t *testing.T) {
	s := newColdStartSite(t, 48, 5)
	addrs := s.startSidecars(append(s.startColdEndpoints(1), s.warmEntries...))
	s.sendRequests(addrs, coldRequestsPerClient)
	s.checkColdEndpoints(6)
}

// Many sidecars that are notified of a cold endpoint at the same time must spread their first requests to it over time, so
// that the endpoint is not overloaded while it warms up.
func TestSidecarsNotifiedOfAColdEndpointDoNotOverloadIt(t *testing.T) {
	s := newColdStartSite(t, 48, 5)
	addrs := s.startSidecars(s.warmEntries)
	s.sendRequests(addrs, coldRequestsPerClient)
	s.updateList(s.startColdEndpoints(1)...)
	s.sendRequests(addrs, coldRequestsPerClient)
	s.checkColdEndpoints(6)
}

// Each time that endpoints begin to drain, a cold endpoint gets into the subsets of more sidecars. The first requests of
// these sidecars must not overload it.
func TestChangesOfTheListDoNotOverloadAColdEndpoint(t *testing.T) {
	const warmEndpoints, steps, drainedPerStep = 40, 6, 4
	s := newColdStartSite(t, 48, warmEndpoints)
	addrs := s.startSidecars(s.warmEntries)
	s.sendRequests(addrs, coldRequestsPerClient)
	s.updateList(s.startColdEndpoints(4)...)
	for step := range steps {
		var drained []string
		for i := range drainedPerStep {
			drained = append(drained, strings.Replace(s.warmEntries[(7*(step*drainedPerStep+i))%warmEndpoints], `"Ready"`, `"Terminating"`, 1))
		}
		s.updateList(drained...)
		s.sendRequests(addrs, 2)
	}
	s.checkColdEndpoints(warmEndpoints)
}
