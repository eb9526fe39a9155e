package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/discovery"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/frontend"
	"tuliprock/internal/testkit/testpeer"
	"tuliprock/internal/upstream"
)

const laneSettings = `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000},
	{"Name":"book","Semantics":"idempotency_key","Group":"cell","WindowUs":10000000,"OnTimeUs":2000000},
	{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":2000000}],
	"Permissions":{"MayCancel":true,"TryLimit":4,"RetryAfter":true,"MaxRetryAfterUs":2000000,"DialTimeoutUs":5000000}}`

// platformSidecar is a whole sidecar on loopback sockets.
type platformSidecar struct {
	*Sidecar
	platformConfig config.Config
	addr           string
	connections    *frontend.Listener
	frontend       *frontend.Server
	loop           *eventloop.Loop
	upstream       *upstream.Client
	pool           *pool
	terminate      context.CancelFunc
	serveResult    chan error
}

// startPlatform starts a sidecar before the endpoints given, named a, b, ... Its discovery never says anything.
func startPlatform(t *testing.T, addrs ...string) *platformSidecar {
	t.Helper()
	return startPlatformWith(t, "{}", nil, addrs...)
}

func startPlatformWith(t *testing.T, limits string, changes []func(*config.Service), addrs ...string) *platformSidecar {
	t.Helper()
	silent := httptest.NewServer(&testpeer.Discovery{Calls: make(chan string, 100)})
	var list []string
	for i, addr := range addrs {
		list = append(list, testpeer.Member(string(rune('a'+i)), addr, "Ready"))
	}
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"7","limits":%s,"known":%s,"settings":%s}`,
		silent.Listener.Addr(), limits, testpeer.Members(1, true, list...), laneSettings)
	c, err := config.Parse([]byte(text), os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	service, err := c.Service()
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range changes {
		change(&service)
	}
	s, err := Start(service, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	l, p := s.listeners[listenerKey(service.Listeners[0])], s.installed.pools[service.Pools[0].Name]
	ctx, term := context.WithCancel(context.Background())
	r := &platformSidecar{Sidecar: s, platformConfig: c, addr: l.connections.Addr().String(), connections: l.connections, frontend: l.frontend, loop: p.loop, upstream: p.upstream, pool: p,
		terminate: term, serveResult: make(chan error, 1)}
	go func() { r.serveResult <- s.Serve(ctx); close(r.serveResult) }()
	t.Cleanup(func() {
		term()
		<-r.serveResult
		silent.Close()
	})
	return r
}

// request is one as clients send it.
func (s *platformSidecar) request(t *testing.T, method, path, id string, ms int) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Deadline-Ms", fmt.Sprint(ms))
	if strings.HasPrefix(path, "/book") {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r
}

// send sends a request on a connection of its own.
func send(t *testing.T, r *http.Request) (status int, body string, h http.Header) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		t.Error(err)
		return 0, "", nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(text), resp.Header
}

// sendKeepingOpen sends a request on a new connection and leaves that open.
func sendKeepingOpen(t *testing.T, r *http.Request) (net.Conn, *bufio.Reader, *http.Response) {
	t.Helper()
	nc, err := net.Dial("tcp", r.URL.Host)
	if err != nil {
		t.Error(err)
		return nil, nil, nil
	}
	t.Cleanup(func() { nc.Close() })
	in := bufio.NewReader(nc)
	err = r.Write(nc)
	if err == nil {
		nc.SetReadDeadline(time.Now().Add(testpeer.Patience))
		var resp *http.Response
		if resp, err = http.ReadResponse(in, r); err == nil {
			io.Copy(io.Discard, resp.Body)
			return nc, in, resp
		}
	}
	t.Error(err)
	return nc, in, &http.Response{}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	got := make(chan *http.Request, 1)
	body := make(chan string, 1)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		body <- string(text)
		got <- r
		io.WriteString(w, "done")
	}))
	defer e.Close()
	s := startPlatform(t, e.Listener.Addr().String())
	r := s.request(t, http.MethodPost, "/book/a%2Fb?x=1&y=%20", "id-1", 4000)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader("parcel")), 6
	if status, text, _ := send(t, r); status != http.StatusOK || text != "done" {
		t.Errorf("%d %q", status, text)
	}
	in := <-got
	if b := <-body; in.Method != http.MethodPost || in.RequestURI != "/book/a%2Fb?x=1&y=%20" || b != "parcel" ||
		in.Header.Get("Req-Id") != "id-1" || in.Header.Get("Idempotency-Key") != "key-id-1" {
		t.Errorf("%s %s %v, body %q", in.Method, in.RequestURI, in.Header, b)
	}
	var left int
	if _, err := fmt.Sscan(in.Header.Get("Req-Deadline-Ms"), &left); err != nil || left < 1 || left >= 4000 {
		t.Errorf("the endpoint was told to have %d ms: %v", left, err)
	}
}

// What can't have run may be refused; what may have run is failed, and sent only once.
func TestNonIdempotentRequestIsNotRetriedOnceSent(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says("", false))
	s := startPlatform(t, e.Addr, e.Addr, e.Addr)
	if status, _, _ := send(t, s.request(t, http.MethodPost, "/pay", "r1", 4000)); status != http.StatusBadGateway {
		t.Errorf("may have run: %d", status)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
	closed := testpeer.NewEndpoint(t, testpeer.Says("", false))
	closed.Listener.Close()
	s = startPlatform(t, closed.Addr)
	status, _, h := send(t, s.request(t, http.MethodPost, "/pay", "r2", 4000))
	if status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("never ran: %d %v", status, h)
	}
}

func TestSilentEndpointStillYieldsAResponse(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		nc.Read(make([]byte, 1))
		return false
	})
	s := startPlatform(t, e.Addr)
	if status, _, _ := send(t, s.request(t, http.MethodPost, "/pay", "r1", 300)); status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
}

func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	came, left := make(chan bool), make(chan bool)
	e := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		came <- true
		<-r.Context().Done()
		left <- true
	}))
	defer e.Close()
	s := startPlatform(t, e.Listener.Addr().String())
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-came; leave() }()
	if _, err := http.DefaultClient.Do(s.request(t, http.MethodGet, "/look", "r1", 60000).WithContext(ctx)); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	select {
	case <-left:
	case <-time.After(testpeer.Patience):
		t.Error("the endpoint was left waiting")
	}
}

func TestDuplicateRequestIDLeavesTheFirstInFlight(t *testing.T) {
	came, release := make(chan bool, 2), make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, testpeer.Served)
		return true
	})
	s := startPlatform(t, e.Addr)
	first := make(chan int)
	go func() {
		status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "same", 60000))
		first <- status
	}()
	<-came
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "same", 60000)); status != http.StatusConflict {
		t.Errorf("second: %d", status)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("first: %d", status)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

func TestInvalidRequestReachesNoEndpoint(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	s := startPlatform(t, e.Addr)
	const host, id, ms = " HTTP/1.1\r\nHost: h\r\n", "Req-Id: r1\r\n", "Req-Deadline-Ms: 1000\r\n"
	for name, text := range map[string]string{
		"noise":                     "\x01\x02 \x03\r\n\r\n",
		"no host":                   "GET /look HTTP/1.1\r\n" + id + ms + "\r\n",
		"no id":                     "GET /look" + host + ms + "\r\n",
		"an empty id":               "GET /look" + host + "Req-Id:\r\n" + ms + "\r\n",
		"two ids":                   "GET /look" + host + id + "Req-Id: r2\r\n" + ms + "\r\n",
		"an endless id":             "GET /look" + host + "Req-Id: " + strings.Repeat("x", 999) + "\r\n" + ms + "\r\n",
		"no deadline":               "GET /look" + host + id + "\r\n",
		"a deadline that's no time": "GET /look" + host + id + "Req-Deadline-Ms: soon\r\n\r\n",
		"a deadline of nothing":     "GET /look" + host + id + "Req-Deadline-Ms: 0\r\n\r\n",
		"a negative deadline":       "GET /look" + host + id + "Req-Deadline-Ms: -5\r\n\r\n",
		"an endless deadline":       "GET /look" + host + id + "Req-Deadline-Ms: 99999999999999999999\r\n\r\n",
		"a negative length":         "POST /pay" + host + id + ms + "Content-Length: -1\r\n\r\n",
		"a length that's no number": "POST /pay" + host + id + ms + "Content-Length: x\r\n\r\n",
		"an over-long body":         "POST /pay" + host + id + ms + "Content-Length: 33554433\r\n\r\n" + strings.Repeat("x", 70000),
		"a huge length, no body":    "POST /pay" + host + id + ms + "Content-Length: 3000000000\r\n\r\n",
		"chunks and a length":       "POST /pay" + host + id + ms + "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"chunks that are none":      "POST /pay" + host + id + ms + "Transfer-Encoding: chunked\r\n\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.0":                  "GET /look HTTP/1.0\r\nHost: h\r\n" + id + ms + "\r\n",
		"a class that nobody named": "POST /new" + host + id + ms + "Content-Length: 0\r\n\r\n",
		"a class in disguise":       "GET /loo%6b" + host + id + ms + "\r\n",
		"a whole URL of no class":   "GET http://h/" + host + id + ms + "\r\n",
		"a URL of another scheme":   "GET ftp://h/look" + host + id + ms + "\r\n",
		"a target not in ASCII":     "GET /look/\xff" + host + id + ms + "\r\n",
		"a safe class by POST":      "POST /look" + host + id + ms + "Content-Length: 0\r\n\r\n",
		"a keyed class by GET":      "GET /book" + host + id + ms + "Idempotency-Key: k\r\n\r\n",
		"two keys":                  "POST /book" + host + id + ms + "Idempotency-Key: k\r\nIdempotency-Key: l\r\nContent-Length: 0\r\n\r\n",
		"a safe class with a body":  "GET /look" + host + id + ms + "Content-Length: 2\r\n\r\nhi",
		"an over-long head":         "GET /look" + host + id + ms + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"a keyed class with no key": "POST /book" + host + id + ms + "Content-Length: 0\r\n\r\n",
		"another method":            "DELETE /look" + host + id + ms + "\r\n",
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		go io.WriteString(nc, text)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else if resp.StatusCode < 400 || resp.StatusCode > 499 || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "r1", 4000)); status != http.StatusOK {
		t.Errorf("a good request afterwards: %d", status)
	}
}

// A list goes through the loop, as discovery's do: what comes after it finds it in force.
func (s *platformSidecar) tell(t *testing.T, text string) {
	t.Helper()
	m, err := discovery.ParseListUpdate([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.pool.updateEndpoints(m)
}

func TestDrainingOrRemovedEndpointGetsNoNewRequests(t *testing.T) {
	a, b := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true)), testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	s := startPlatform(t, a.Addr, b.Addr)
	n := 0
	calls := func() (int32, int32) {
		for range 8 {
			n++
			if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("r", n), 60000)); status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
		return a.Requests.Swap(0), b.Requests.Swap(0)
	}
	if x, y := calls(); x == 0 || y == 0 {
		t.Errorf("at first %d and %d", x, y)
	}
	s.tell(t, testpeer.Members(2, false, testpeer.Member("a", a.Addr, "Terminating")))
	if x, y := calls(); x != 0 || y != 8 {
		t.Errorf("with a draining, %d and %d", x, y)
	}
	s.tell(t, testpeer.Members(3, true, testpeer.Member("b", a.Addr, "Ready"))) // a gone, b moved
	if x, y := calls(); x != 8 || y != 0 {
		t.Errorf("with b moved, %d to its new address and %d to the old", x, y)
	}
}

// After SIGTERM callers go on coming for a while; all that was taken is answered before the end.
func TestShutdownLosesNoRequest(t *testing.T) {
	came, release := make(chan bool, 100), make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if strings.HasPrefix(r.Header.Get("Req-Id"), "slow") {
			came <- true
			<-release
		}
		io.WriteString(nc, testpeer.Served)
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
	testpeer.Until(t, "the listener closes", func() bool {
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
	case <-time.After(testpeer.Patience):
		t.Error("never ended")
	}
}

// Idle callers must give way when connections run short, and none may be lost.
func TestIdleConnectionsYieldToNewClients(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	s := startPlatformWith(t, `{"sockets":64}`, nil, e.Addr)
	for i := range 100 { // far over the limit
		_, _, resp := sendKeepingOpen(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000))
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("caller %d: status %d", i, resp.StatusCode)
		}
	}
}

// A body that never ends must not hold its connection, whatever else is wrong with the request.
func TestIncompleteRequestBodyTimesOut(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	s := startPlatformWith(t, "{}", []func(*config.Service){func(c *config.Service) { c.Listeners[0].BodyTimeout = 100 * time.Millisecond }}, e.Addr)
	for name, fields := range map[string]string{"good": "Req-Id: r1\r\nReq-Deadline-Ms: 60000\r\n", "no id": ""} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, "POST /pay HTTP/1.1\r\nHost: h\r\n"+fields+"Content-Length: 9\r\n\r\nhalf")
		nc.SetReadDeadline(time.Now().Add(testpeer.Patience))
		text, err := io.ReadAll(nc) // to the end of the connection
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 400 ") {
			t.Errorf("%s: %q, %v", name, text, err)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

// Seen on a day of bad callers: net/http drops Content-Length beside Transfer-Encoding, and what stood in the body
// behind the last chunk went on to endpoints as a request of its own.
func TestRequestSmuggledInBodyIsNotForwarded(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	s := startPlatform(t, e.Addr)
	const fields = " HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 60000\r\n"
	hidden := "0\r\n\r\nPOST /pay" + fields + "Req-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	for name, framing := range map[string]string{
		"both":             "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
		"the other order":  "Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
		"in other letters": "Content-Length: %d\r\ntransfer-encoding:\tChunked\r\n",
		"folded":           "Content-Length: %d\r\nTransfer-Encoding:\r\n chunked\r\n",
		"of no known kind": "Content-Length: %d\r\nTransfer-Encoding: xchunked\r\n",
		"twice":            "Content-Length: %d\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":      "Content-Length: %d\r\nContent-Length: 0\r\n",
		"too long":         "X-Length: %d\r\nContent-Length: 99999999\r\n",
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testpeer.Patience))
		fmt.Fprintf(nc, "POST /pay"+fields+"Req-Id: outer\r\n"+framing+"\r\n%s", len(hidden), hidden)
		in := bufio.NewReader(nc)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else {
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode < 400 {
				t.Errorf("%s: status %d", name, resp.StatusCode)
			}
			if b, err := in.ReadByte(); err == nil {
				t.Errorf("%s: the connection goes on with %q", name, b)
			}
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

// Seen on a day of new configurations: SIGHUP ended the program. Endpoints learned from the new discovery serve, the
// request in flight is answered, and further reloads, also during the end, do no harm.
func TestReloadMigratesDiscoveryWithoutDisturbingRequests(t *testing.T) {
	came, release := make(chan bool), make(chan bool)
	old := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, testpeer.Served)
		return true
	})
	s := startPlatform(t, old.Addr)
	first := make(chan int)
	go func() {
		status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "r1", 60000))
		first <- status
	}()
	<-came
	fresh := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	c := s.platformConfig
	var calls chan string
	c.Discovery, calls = another(t, testpeer.Members(1, true, testpeer.Member("new", fresh.Addr, "Ready")), "SILENT")
	reload := func() error {
		t.Helper()
		service, err := c.Service()
		if err != nil {
			t.Fatal(err)
		}
		return s.Reload(service)
	}
	if err := reload(); err != nil {
		t.Fatal(err)
	}
	<-calls
	<-calls // the watch: the list is in force
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "r2", 60000)); status != http.StatusOK || fresh.Requests.Load() != 1 {
		t.Errorf("after the move: %d, %d requests at the new endpoint", status, fresh.Requests.Load())
	}
	if err := reload(); err != nil {
		t.Error(err)
	}
	s.terminate()
	c.Discovery, _ = another(t)
	testpeer.Until(t, "the end begins", func() bool { return errors.Is(reload(), errShuttingDown) })
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("in flight: %d", status)
	}
	if err := <-s.serveResult; err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Callers that connect by hundreds and say nothing must not hold up those that ask.
func TestSilentConnectionsDoNotBlockClients(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	s := startPlatformWith(t, `{"sockets":64}`, nil, e.Addr)
	for i := range 200 {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		io.WriteString(nc, "GET /lo"[:i%2*7]) // some of a head, or nothing
	}
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "r1", 60000)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if n := s.connections.Count(); n > 64 {
		t.Errorf("%d connections are held", n)
	}
}

// While the process is there it serves: after SIGTERM a caller goes on using its connection, with answers in time for
// the end.
func TestClientsAreServedAfterShutdownBegins(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if r.Header.Get("Req-Id") != "long" {
			io.WriteString(nc, testpeer.Served)
		}
		return true
	})
	s := startPlatform(t, e.Addr)
	nc, in, _ := sendKeepingOpen(t, s.request(t, http.MethodGet, "/look", "first", 60000))
	s.terminate()
	testpeer.Until(t, "the end is near", func() bool { return s.frontend.IsShuttingDown() })
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

// A long day brings ever new endpoints at old addresses, ids and connections; nothing of those that have gone may stay.
func TestMemoryStaysBoundedForDistinctNames(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	s := startPlatform(t, e.Addr)
	for i := range 500 {
		s.tell(t, testpeer.Members(i+2, true, testpeer.Member(fmt.Sprint("e", i), e.Addr, "Ready")))
		if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("r", i), 60000)); status != http.StatusOK {
			t.Fatalf("request %d: status %d", i, status)
		}
	}
	testpeer.Until(t, "callers' connections end", func() bool { return s.connections.Count() == 0 })
	left := make(chan [4]int)
	s.loop.Post(func(time.Duration) {
		calls, members, events, timers := s.loop.ResourceCounts()
		left <- [4]int{calls, members, events, timers}
	})
	if n := <-left; n[0] != 0 || n[1] != 1 || n[2] != 0 || n[3] > 600 {
		t.Errorf("calls, members, events, timers: %v", n)
	}
	if endpoints, connections := s.upstream.ResourceCounts(); endpoints != 1 || connections > 1 {
		t.Errorf("%d pools, %d connections to endpoints", endpoints, connections)
	}
}

// Endpoints that close what stands idle, here as soon as another is called, must not cost a connection for every call.
func TestShortLivedConnectionsAreReusedWhileOpen(t *testing.T) {
	var mu sync.Mutex
	idle := map[net.Conn]bool{}
	var all []*testpeer.Endpoint
	var addrs []string
	for range 4 {
		e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
			mu.Lock()
			defer mu.Unlock()
			for other := range idle {
				if other != nc {
					other.Close()
					delete(idle, other)
				}
			}
			idle[nc] = true
			time.Sleep(4 * time.Millisecond) // its work, so that all take about the same
			io.WriteString(nc, testpeer.Served)
			return true
		})
		all, addrs = append(all, e), append(addrs, e.Addr)
	}
	s := startPlatform(t, addrs...)
	const calls = 60
	for n := range calls {
		if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", fmt.Sprint("r", n), 4000)); status != http.StatusOK {
			t.Fatalf("call %d: %d", n, status)
		}
	}
	opened := int32(0)
	for _, e := range all {
		opened += e.Connections.Load()
	}
	if opened > calls*2/3 {
		t.Errorf("%d connections for %d calls one after another", opened, calls)
	}
}

// another starts a discovery that plays the steps and reports the calls to it.
func another(t *testing.T, steps ...string) (addr string, calls chan string) {
	t.Helper()
	d := &testpeer.Discovery{Steps: steps, Calls: make(chan string, 100)}
	server := httptest.NewServer(d)
	t.Cleanup(func() {
		server.CloseClientConnections() // a watch may still be open
		server.Close()
	})
	return server.Listener.Addr().String(), d.Calls
}
