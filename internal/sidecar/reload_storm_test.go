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

// stormNode is an endpoint that knows since when a list has it as draining or removed.
type stormNode struct {
	server *httptest.Server
	addr   string
	seen   *sync.Map // request IDs that have come to any node

	mu            sync.Mutex
	drainingSince time.Time // zero: it is listed as ready
	late          []time.Duration
}

// lateAfter is how long after a reload with a draining member the daemon may still send there.
const lateAfter = 500 * time.Millisecond

func newStormNode(t *testing.T, seen *sync.Map) *stormNode {
	t.Helper()
	n := &stormNode{seen: seen}
	n.server = httptest.NewServer(n)
	n.addr = n.server.Listener.Addr().String()
	t.Cleanup(n.server.Close)
	return n
}

// ServeHTTP implements http.Handler.
func (n *stormNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	if !n.drainingSince.IsZero() {
		if after := time.Since(n.drainingSince); after > lateAfter {
			n.late = append(n.late, after)
		}
	}
	n.mu.Unlock()
	id := r.Header.Get("Req-Id")
	n.seen.Store(id, true)
	io.WriteString(w, id)
}

// setReady notes whether the node is listed as ready in the next reload.
func (n *stormNode) setReady(ready bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case ready:
		n.drainingSince = time.Time{}
	case n.drainingSince.IsZero():
		n.drainingSince = time.Now()
	}
}

// stormClient sends requests on a connection that it keeps as long as it may, and expects one response to each.
type stormClient struct {
	seen  *sync.Map
	nc    net.Conn
	in    *bufio.Reader
	isNew bool // nothing has been answered on the connection

	served, shed, resent int
	lost                 []string
}

func (c *stormClient) drop() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// send sends one request. One that the end of an idle connection crossed on its way is sent again, unless any of it was
// taken: then it is lost.
func (c *stormClient) send(addr, id string) {
	for try := 0; ; try++ {
		this := fmt.Sprint(id, "-", try)
		if c.nc == nil {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				c.lost = append(c.lost, err.Error())
				return
			}
			c.nc, c.in, c.isNew = nc, bufio.NewReader(nc), true
		}
		c.nc.SetDeadline(time.Now().Add(testpeer.Timeout))
		_, err := io.WriteString(c.nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: "+this+"\r\n\r\n")
		var resp *http.Response
		if err == nil {
			resp, err = http.ReadResponse(c.in, nil)
		}
		if err != nil {
			_, taken := c.seen.Load(this)
			crossed := !c.isNew && !taken
			c.drop()
			if !crossed || try > 5 {
				c.lost = append(c.lost, fmt.Sprintf("%s: %v (taken: %v)", this, err, taken))
				return
			}
			c.resent++
			continue
		}
		c.record(resp, this)
		return
	}
}

func (c *stormClient) record(resp *http.Response, id string) {
	c.isNew = false
	text, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.lost = append(c.lost, err.Error())
	case resp.StatusCode == http.StatusOK && string(text) == id:
		c.served++
	case resp.StatusCode == http.StatusServiceUnavailable:
		c.shed++
		if _, ran := c.seen.Load(id); ran && resp.Header.Get("Retry-After") == "" {
			c.lost = append(c.lost, id+": refused without advice")
		}
	default:
		c.lost = append(c.lost, fmt.Sprintf("%s: %s, %q", id, resp.Status, text))
	}
	if resp.Close {
		c.drop()
	}
}

// stormFile is the operators' file of a round: members come, drain and go, the listener moves, a second pool comes and
// goes, and settings change.
func stormFile(round int, places [2]string, nodes []*stormNode) string {
	var b strings.Builder
	idleTimeout := []string{"5s", "6s"}[round/10%2]
	fmt.Fprintf(&b, "[[listener]]\nname = \"l\"\naddress = %q\nidle_timeout = %q\n", places[round/30%2], idleTimeout)
	fmt.Fprintf(&b, "[[pool]]\nname = \"a\"\nattempts = %d\n", 3+round/50%2)
	for i, n := range nodes {
		switch phase := (round/45 + i) % len(nodes); phase {
		case 0: // gone
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

// resourceLevels is what the process holds.
type resourceLevels struct {
	goroutines, descriptors int
	heap                    uint64
}

func measureResources() (u resourceLevels) {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceLevels{runtime.NumGoroutine(), testpeer.OpenDescriptors(), m.HeapAlloc}
}

const (
	stormReloads = 200
	stormClients = 8
	stormGap     = 25 * time.Millisecond // between reloads: each phase of a member lasts over a second
	stormHeap    = 4 << 20               // bytes that the heap may differ by between two quiet moments
)

// Two hundred reloads under load lose no request, send none late, and leak nothing.
func TestReloadStorm(t *testing.T) {
	var seen sync.Map
	var nodes []*stormNode
	for range 5 {
		nodes = append(nodes, newStormNode(t, &seen))
	}
	places := [2]string{testpeer.FreeAddress(t), testpeer.FreeAddress(t)}
	s := startFromFile(t, parseService(t, stormFile(0, places, nodes)))
	quiet := func() resourceLevels {
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
	for round := range 4 { // so that what is made once exists
		s.reload(t, stormFile(round, places, nodes))
	}
	s.reload(t, stormFile(0, places, nodes))
	before := quiet()

	var place atomic.Value
	place.Store(places[0])
	stop := make(chan bool)
	clients := make([]*stormClient, stormClients)
	var busy sync.WaitGroup
	for i := range clients {
		c := &stormClient{seen: &seen}
		clients[i] = c
		busy.Go(func() {
			defer c.drop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					c.send(place.Load().(string), fmt.Sprint(i, "-", n))
				}
			}
		})
	}
	for round := range stormReloads {
		s.reload(t, stormFile(round, places, nodes))
		place.Store(places[round/30%2])
		time.Sleep(stormGap)
	}
	close(stop)
	busy.Wait()
	var total stormClient
	for _, c := range clients {
		total.served, total.shed, total.resent = total.served+c.served, total.shed+c.shed, total.resent+c.resent
		total.lost = append(total.lost, c.lost...)
	}
	for _, n := range nodes {
		if len(n.late) > 0 {
			t.Errorf("%d requests came to a member later than %v after it began to drain: %v",
				len(n.late), lateAfter, n.late[:min(len(n.late), 5)])
		}
	}
	if len(total.lost) > 0 {
		t.Errorf("%d requests lost: %.5q", len(total.lost), total.lost)
	}
	if total.served == 0 {
		t.Error("nothing was served")
	}
	s.reload(t, stormFile(0, places, nodes))
	seen.Clear()
	var after resourceLevels
	testpeer.Eventually(t, "goroutines and descriptors are as before", func() bool {
		after = quiet()
		return after.goroutines <= before.goroutines && after.descriptors <= before.descriptors
	})
	if after.heap > before.heap+stormHeap {
		t.Errorf("the heap grew from %d to %d bytes", before.heap, after.heap)
	}
	t.Logf("served %d, refused %d, sent again since a connection ended as they came %d", total.served, total.shed, total.resent)
	t.Logf("goroutines %d and %d, descriptors %d and %d, heap %d and %d KiB", before.goroutines, after.goroutines,
		before.descriptors, after.descriptors, before.heap>>10, after.heap>>10)
}

// The storm's own checks must detect the faults that they are for.
func TestReloadStormDetectsViolations(t *testing.T) {
	var seen sync.Map
	n := newStormNode(t, &seen)
	n.setReady(false)
	n.drainingSince = n.drainingSince.Add(-2 * lateAfter)
	c := &stormClient{seen: &seen}
	c.send(n.addr, "late")
	if len(n.late) != 1 || c.served != 1 {
		t.Errorf("a late request: %v, served %d", n.late, c.served)
	}
	n.setReady(true)
	n.setReady(false)
	c.send(n.addr, "in time")
	if len(n.late) != 1 {
		t.Errorf("a request in time: %v", n.late)
	}
	c.drop()
	for name, serve := range map[string]func(net.Conn, *http.Request, int) bool{
		"taken and dropped": func(_ net.Conn, r *http.Request, _ int) bool { seen.Store(r.Header.Get("Req-Id"), true); return false },
		"another's answer":  testpeer.RespondWith(testpeer.ResponseOK, true),
		"an error":          testpeer.RespondWith("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", true),
	} {
		c := &stormClient{seen: &seen}
		c.send(testpeer.NewEndpoint(t, serve).Addr, "x")
		if len(c.lost) != 1 {
			t.Errorf("%s: lost %v", name, c.lost)
		}
		c.drop()
	}
	// Dropped where an earlier request on the connection was answered: lost only if it was taken.
	for taken := range 2 {
		c := &stormClient{seen: &seen}
		e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, count int) bool {
			if count == 2 {
				if taken == 1 {
					seen.Store(r.Header.Get("Req-Id"), true)
				}
				return false
			}
			id := r.Header.Get("Req-Id")
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			return true
		})
		c.send(e.Addr, "one")
		c.send(e.Addr, "two")
		if len(c.lost) != taken || c.resent != 1-taken {
			t.Errorf("taken %d: lost %v, crossed %d", taken, c.lost, c.resent)
		}
		c.drop()
	}
}
