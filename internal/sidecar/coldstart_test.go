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

// What the platform tells of cold endpoints in these tests, and how callers ask.
const (
	coldFrom         = 0.14
	coldWarmup       = 24 * time.Second
	coldFallMultiple = 3.0
	coldFallWindow   = time.Second
	coldAnswerTime   = 200 * time.Millisecond // of every endpoint: a client asks five times a second
	coldRequests     = 10                     // of each client
	coldUse          = 1.6                    // of what the endpoints can do: more than that is asked
)

// coldSite is many sidecars before one tier on loopback, one discovery, and cold endpoints whose requests are counted.
type coldSite struct {
	t        *testing.T
	sidecars int
	warm     []string // entries of discovery's list
	agent    *httptest.Server

	mu      sync.Mutex
	updates []string
	changed chan struct{}          // closed when there is another update, and replaced
	calls   map[string][]time.Time // at cold endpoints, by id
}

func newColdSite(t *testing.T, sidecars, warm int) *coldSite {
	t.Helper()
	s := &coldSite{t: t, sidecars: sidecars, changed: make(chan struct{}), calls: map[string][]time.Time{}}
	s.agent = httptest.NewServer(http.HandlerFunc(s.watch))
	t.Cleanup(s.agent.Close)
	for i := range warm {
		s.warm = append(s.warm, s.endpoint(fmt.Sprintf("warm%02d", i), 0))
	}
	return s
}

// endpoint starts an endpoint and gives its entry; started: its start, 0: long ago.
func (s *coldSite) endpoint(id string, started int64) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if started > 0 {
			s.mu.Lock()
			s.calls[id] = append(s.calls[id], time.Now())
			s.mu.Unlock()
		}
		answer := time.NewTimer(coldAnswerTime)
		defer answer.Stop()
		select {
		case <-answer.C:
			_, _ = io.WriteString(w, "ok") // a client that has left shows in its own result
		case <-r.Context().Done():
		}
	}))
	s.t.Cleanup(server.Close)
	entry := testpeer.Member(id, server.Listener.Addr().String(), "Ready")
	return strings.Replace(entry, `"started_ms":0`, fmt.Sprintf(`"started_ms":%d`, started), 1)
}

// cold starts cold endpoints and gives their entries.
func (s *coldSite) cold(n int) (entries []string) {
	for i := range n {
		entries = append(entries, s.endpoint(fmt.Sprintf("cold%02d", i), time.Now().UnixMilli()))
	}
	return entries
}

// watch is discovery: a watch has heartbeats, and the updates when there are any.
func (s *coldSite) watch(w http.ResponseWriter, r *http.Request) {
	say := func(text string) {
		_, _ = io.WriteString(w, text) // a sidecar that has left shows in the test's result
		w.(http.Flusher).Flush()
	}
	say("\n")
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	for sent := 0; ; {
		s.mu.Lock()
		pending, changed := s.updates[sent:], s.changed
		s.mu.Unlock()
		for _, update := range pending {
			say(update + "\n")
			sent++
		}
		select {
		case <-changed:
		case <-heartbeat.C:
			say("\n")
		case <-r.Context().Done():
			return
		}
	}
}

// update sends all sidecars a change of the list.
func (s *coldSite) update(entries ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, testpeer.Members(2+len(s.updates), false, entries...))
	close(s.changed)
	s.changed = make(chan struct{})
}

// start starts all sidecars with a list and gives their addresses.
func (s *coldSite) start(known []string) (addrs []string) {
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
			s.agent.Listener.Addr(), i+1, testpeer.Members(1, true, known...), s.sidecars, i, coldFrom, coldWarmup.Microseconds())
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

// ask has one client at each sidecar ask, one request after another.
func (s *coldSite) ask(addrs []string, requests int) {
	s.t.Helper()
	var clients sync.WaitGroup
	for i, addr := range addrs {
		clients.Go(func() {
			client := http.Client{Timeout: testpeer.Timeout, Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
			defer client.CloseIdleConnections()
			for n := range requests {
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
					s.t.Errorf("%s: %v", resp.Status, err)
				}
			}
		})
	}
	clients.Wait()
}

// judge holds each cold endpoint's requests to what the rule allows: N + 2 x root of N + 2 within the window, N being the multiple of
// what it can do by now.
func (s *coldSite) judge(endpoints int) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	even := float64(s.sidecars) / coldAnswerTime.Seconds() / float64(endpoints) / coldUse
	allowed := coldFallMultiple * (coldFrom + (1-coldFrom)*0.1) * even * coldFallWindow.Seconds() // a tenth of the warm-up is over at most
	most, first := 0, 0
	for _, calls := range s.calls {
		first = 0
		for i, at := range calls {
			for at.Sub(calls[first]) > coldFallWindow {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	s.t.Logf("at most %d requests at a cold endpoint within %v, %.1f allowed", most, coldFallWindow, allowed+2*math.Sqrt(allowed)+2)
	if float64(most) > allowed+2*math.Sqrt(allowed)+2 {
		s.t.Errorf("a cold endpoint got %d requests within %v", most, coldFallWindow)
	}
}

// Many sidecars that start at once with a list that names a cold endpoint do not all send to it at once.
func TestRestartedSidecarsDoNotOverloadAColdEndpoint(t *testing.T) {
	s := newColdSite(t, 48, 5)
	addrs := s.start(append(s.cold(1), s.warm...))
	s.ask(addrs, coldRequests)
	s.judge(6)
}

// Many sidecars that are notified at once of a cold endpoint spread their first requests to it at the pace of its warmth.
func TestSidecarsNotifiedOfAColdEndpointDoNotOverloadIt(t *testing.T) {
	s := newColdSite(t, 48, 5)
	addrs := s.start(s.warm)
	s.ask(addrs, coldRequests)
	s.update(s.cold(1)...)
	s.ask(addrs, coldRequests)
	s.judge(6)
}

// Endpoints that drain one after another move a cold endpoint into the subsets of other sidecars each time; it is not overloaded by
// what they send first.
func TestChangesOfTheListDoNotOverloadAColdEndpoint(t *testing.T) {
	const warm, steps, drainedPerStep = 40, 6, 4
	s := newColdSite(t, 48, warm)
	addrs := s.start(s.warm)
	s.ask(addrs, coldRequests)
	s.update(s.cold(4)...)
	for step := range steps {
		var drained []string
		for i := range drainedPerStep {
			drained = append(drained, strings.Replace(s.warm[(7*(step*drainedPerStep+i))%warm], `"Ready"`, `"Terminating"`, 1))
		}
		s.update(drained...)
		s.ask(addrs, 2)
	}
	s.judge(warm)
}
