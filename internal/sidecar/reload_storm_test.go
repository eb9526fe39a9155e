package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// stormNode is an endpoint that records the requests that still arrive more than lateAfter after a reload has made it
// draining or removed it.
type stormNode struct {
	server     *httptest.Server
	addr       string
	arrivedIDs *sync.Map // IDs of the requests that have arrived at any endpoint

	mu            sync.Mutex
	drainingSince time.Time       // when the endpoint was configured as draining or removed; zero: it is configured as ready
	lateDelays    []time.Duration // delays after drainingSince of the requests that arrived later than lateAfter
}

// lateAfter is how long the daemon may still send requests to a member after a reload has made it draining or removed it.
const lateAfter = 500 * time.Millisecond

// newStormNode starts an endpoint that is configured as ready. arrivedIDs is shared by all endpoints.
func newStormNode(t *testing.T, arrivedIDs *sync.Map) *stormNode {
	t.Helper()
	n := &stormNode{arrivedIDs: arrivedIDs}
	n.server = httptest.NewServer(n)
	n.addr = n.server.Listener.Addr().String()
	t.Cleanup(n.server.Close)
	return n
}

// ServeHTTP implements http.Handler. It responds with the request's ID.
func (n *stormNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	if !n.drainingSince.IsZero() {
		if delay := time.Since(n.drainingSince); delay > lateAfter {
			n.lateDelays = append(n.lateDelays, delay)
		}
	}
	n.mu.Unlock()
	id := r.Header.Get("Req-Id")
	n.arrivedIDs.Store(id, true)
	io.WriteString(w, id)
}

// setReady records whether the next reload configures the endpoint as ready.
func (n *stormNode) setReady(isReady bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case isReady:
		n.drainingSince = time.Time{}
	case n.drainingSince.IsZero():
		n.drainingSince = time.Now()
	}
}

// stormClient sends requests one after another on a connection that it keeps until the daemon closes it, and expects one
// response to each.
type stormClient struct {
	arrivedIDs          *sync.Map     // IDs of the requests that have arrived at any endpoint
	nc                  net.Conn      // connection to the daemon; nil: none is open
	in                  *bufio.Reader // buffered reader of nc
	awaitsFirstResponse bool          // whether no response has come on nc yet

	served int      // number of requests with the expected response
	shed   int      // number of requests with status 503
	resent int      // number of requests sent again because the daemon closed the idle connection at the same time
	lost   []string // a description of each request without a valid response
}

// closeConnection closes the connection, if there is one.
func (c *stormClient) closeConnection() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// send sends one request. If the daemon closes the idle connection at the same time, so that the request gets no response,
// the request is sent again, unless it has arrived at an endpoint: then it counts as lost.
func (c *stormClient) send(addr, id string) {
	for attempt := 0; ; attempt++ {
		attemptID := fmt.Sprint(id, "-", attempt)
		if c.nc == nil {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				c.lost = append(c.lost, err.Error())
				return
			}
			c.nc, c.in, c.awaitsFirstResponse = nc, bufio.NewReader(nc), true
		}
		c.nc.SetDeadline(time.Now().Add(testpeer.Timeout))
		_, err := io.WriteString(c.nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: "+attemptID+"\r\n\r\n")
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(c.in, nil)
		}
		if err != nil {
			_, hasArrived := c.arrivedIDs.Load(attemptID)
			mayResend := !c.awaitsFirstResponse && !hasArrived
			c.closeConnection()
			if !mayResend || attempt > 5 {
				c.lost = append(c.lost, fmt.Sprintf("%s: %v (arrived at an endpoint: %v)", attemptID, err, hasArrived))
				return
			}
			c.resent++
			continue
		}
		c.record(resp, attemptID)
		return
	}
}

// record counts a response by its status and body.
func (c *stormClient) record(resp *http.Response, id string) {
	c.awaitsFirstResponse = false
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.lost = append(c.lost, err.Error())
	case resp.StatusCode == http.StatusOK && string(text) == id:
		c.served++
	case resp.StatusCode == http.StatusServiceUnavailable:
		c.shed++
		if _, ran := c.arrivedIDs.Load(id); ran && resp.Header.Get("Retry-After") == "" {
			c.lost = append(c.lost, id+": status 503 without Retry-After")
		}
	default:
		c.lost = append(c.lost, fmt.Sprintf("%s: status %s, body %q", id, resp.Status, text))
	}
	if resp.Close {
		c.closeConnection()
	}
}

// prepareStormFile returns the operators' file for the reload with the number round, and records at each endpoint whether
// the file configures it as ready. From reload to reload members are added, draining and removed, the listener
// moves between two addresses, a second pool is added and removed, and settings change.
func prepareStormFile(round int, addrs [2]string, nodes []*stormNode) string {
	var b strings.Builder
	idleTimeout := []string{"5s", "6s"}[round/10%2]
	fmt.Fprintf(&b, "[[listener]]\nname = \"l\"\naddress = %q\nidle_timeout = %q\n", addrs[round/30%2], idleTimeout)
	fmt.Fprintf(&b, "[[pool]]\nname = \"a\"\nattempts = %d\n", 3+round/50%2)
	for i, n := range nodes {
		switch phase := (round/45 + i) % len(nodes); phase {
		case 0: // the endpoint is removed from the pool
			n.setReady(false)
		case 1:
			n.setReady(false)
			fmt.Fprintf(&b, "[[pool.member]]\naddress = %q\nstate = \"draining\"\n", n.addr)
		default:
			n.setReady(true)
			fmt.Fprintf(&b, "[[pool.member]]\naddress = %q\n", n.addr)
		}
	}
	if round%4 < 2 {
		fmt.Fprintf(&b, "[[pool]]\nname = \"b\"\n[[pool.member]]\naddress = %q\n", nodes[0].addr)
		b.WriteString("[[route]]\npath = \"/never\"\npool = \"b\"\nclass = \"pay\"\n")
	}
	b.WriteString("[[route]]\npool = \"a\"\nclass = \"look\"\n")
	return b.String()
}

// resourceLevels are the resources that the process uses.
type resourceLevels struct {
	goroutines, descriptors int
	heap                    uint64 // bytes of live heap objects
}

// measureResources collects garbage and returns the resources in use.
func measureResources() (u resourceLevels) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceLevels{runtime.NumGoroutine(), testpeer.CountOpenDescriptors(), m.HeapAlloc}
}

// Parameters of TestReloadStormLosesNoRequest.
const (
	stormReloads       = 200
	stormClients       = 8
	stormInterval      = 25 * time.Millisecond // time between reloads; a member stays draining, or removed, for 45 reloads, over a second
	stormMaxHeapGrowth = 4 << 20               // bytes by which the heap may grow from before the storm to after it
)

// Two hundred reloads under load lose no request, send none to a member that has long been draining, and leak nothing.
func TestReloadStormLosesNoRequest(t *testing.T) {
	var arrivedIDs sync.Map
	var nodes []*stormNode
	for range 5 {
		nodes = append(nodes, newStormNode(t, &arrivedIDs))
	}
	addrs := [2]string{testpeer.FreeAddress(t), testpeer.FreeAddress(t)}
	s := startFromFile(t, parseService(t, prepareStormFile(0, addrs, nodes)))
	measureIdle := func() resourceLevels {
		testpeer.Eventually(t, "removed listeners have ended", func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return len(s.drainingListeners) == 0
		})
		for _, n := range nodes {
			n.server.CloseClientConnections()
		}
		return measureResources()
	}
	// The first four reloads allocate memory that later reloads reuse, so resources are measured after them.
	for round := range 4 {
		s.reload(t, prepareStormFile(round, addrs, nodes))
	}
	s.reload(t, prepareStormFile(0, addrs, nodes))
	before := measureIdle()

	var currentAddr atomic.Value
	currentAddr.Store(addrs[0])
	stop := make(chan bool)
	clients := make([]*stormClient, stormClients)
	var running sync.WaitGroup
	for i := range clients {
		c := &stormClient{arrivedIDs: &arrivedIDs}
		clients[i] = c
		running.Go(func() {
			defer c.closeConnection()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.send(currentAddr.Load().(string), fmt.Sprint(i, "-", n))
				}
			}
		})
	}
	for round := range stormReloads {
		s.reload(t, prepareStormFile(round, addrs, nodes))
		currentAddr.Store(addrs[round/30%2])
		time.Sleep(stormInterval)
	}
	close(stop)
	running.Wait()
	var total stormClient
	for _, c := range clients {
		total.served, total.shed, total.resent = total.served+c.served, total.shed+c.shed, total.resent+c.resent
		total.lost = append(total.lost, c.lost...)
	}
	for _, n := range nodes {
		if len(n.lateDelays) > 0 {
			t.Errorf("%d requests reached a member later than %v after it began to drain or was removed, the first ones after %v",
				len(n.lateDelays), lateAfter, n.lateDelays[:min(len(n.lateDelays), 5)])
		}
	}
	if len(total.lost) > 0 {
		t.Errorf("%d requests lost, want none: %.5q", len(total.lost), total.lost)
	}
	if total.served == 0 {
		t.Error("no request was served")
	}
	s.reload(t, prepareStormFile(0, addrs, nodes))
	arrivedIDs.Clear()
	var after resourceLevels
	testpeer.Eventually(t, "goroutines and descriptors are as before", func() bool {
		after = measureIdle()
		return after.goroutines <= before.goroutines && after.descriptors <= before.descriptors
	})
	if after.heap > before.heap+stormMaxHeapGrowth {
		t.Errorf("the heap grew from %d to %d bytes, want at most %d more", before.heap, after.heap, stormMaxHeapGrowth)
	}
	t.Logf("requests: %d served, %d shed, %d sent again because the daemon closed the connection", total.served, total.shed, total.resent)
	t.Logf("before and after: goroutines %d and %d, descriptors %d and %d, heap %d and %d KiB", before.goroutines, after.goroutines,
		before.descriptors, after.descriptors, before.heap>>10, after.heap>>10)
}

// The reload storm's own checks must detect late requests and lost requests, and nothing else.
func TestReloadStormDetectsViolations(t *testing.T) {
	var arrivedIDs sync.Map
	n := newStormNode(t, &arrivedIDs)
	n.setReady(false)
	n.drainingSince = n.drainingSince.Add(-2 * lateAfter)
	c := &stormClient{arrivedIDs: &arrivedIDs}
	c.send(n.addr, "late")
	if len(n.lateDelays) != 1 || c.served != 1 {
		t.Errorf("after a late request: delays of late requests %v, %d requests served, want one delay and one request", n.lateDelays, c.served)
	}
	n.setReady(true)
	n.setReady(false)
	c.send(n.addr, "in time")
	if len(n.lateDelays) != 1 {
		t.Errorf("after a request in time: delays of late requests %v, want only that of the earlier request", n.lateDelays)
	}
	c.closeConnection()
	for name, serve := range map[string]func(net.Conn, *http.Request, int) bool{
		"no response after arrival": func(_ net.Conn, r *http.Request, _ int) bool {
			arrivedIDs.Store(r.Header.Get("Req-Id"), true)
			return false
		},
		"another response": testpeer.RespondWith(testpeer.ResponseOK, true),
		"an error":         testpeer.RespondWith("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", true),
	} {
		c := &stormClient{arrivedIDs: &arrivedIDs}
		c.send(testpeer.NewEndpoint(t, serve).Addr, "x")
		if len(c.lost) != 1 {
			t.Errorf("%s: lost %v, want one request", name, c.lost)
		}
		c.closeConnection()
	}
	// A request without a response on a connection that has served an earlier request is lost only if it has arrived at an
	// endpoint.
	for arrived := range 2 {
		c := &stormClient{arrivedIDs: &arrivedIDs}
		e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, count int) bool {
			if count == 2 {
				if arrived == 1 {
					arrivedIDs.Store(r.Header.Get("Req-Id"), true)
				}
				return false
			}
			id := r.Header.Get("Req-Id")
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			return true
		})
		c.send(e.Addr, "one")
		c.send(e.Addr, "two")
		if len(c.lost) != arrived || c.resent != 1-arrived {
			t.Errorf("with %d requests arrived at the endpoint: %v lost and %d sent again, want %d and %d", arrived, c.lost, c.resent, arrived, 1-arrived)
		}
		c.closeConnection()
	}
}
