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
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/config"
	"tuliprock/internal/discovery"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/testpeer"
)

// parseService reads an operators' file. Its classes are the same in all tests.
func parseService(t testing.TB, text string) config.Service {
	t.Helper()
	return parseFile(t, `format = 1
		class = [{ name = "look", effect = "safe", deadline = "20s" }, { name = "pay", effect = "unsafe", deadline = "20s" }]
		`+text)
}

func parseFile(t testing.TB, text string) config.Service {
	t.Helper()
	f, err := config.ParseFile("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f.Service()
}

// fileSidecar is a daemon on an operators' file.
type fileSidecar struct {
	*Sidecar
	terminate   context.CancelFunc
	serveResult chan error
}

func startFromFile(t testing.TB, c config.Service) *fileSidecar {
	t.Helper()
	s, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, term := context.WithCancel(context.Background())
	r := &fileSidecar{Sidecar: s, terminate: term, serveResult: make(chan error, 1)}
	go func() { r.serveResult <- s.Serve(ctx); close(r.serveResult) }()
	t.Cleanup(func() { term(); <-r.serveResult })
	return r
}

func (s *fileSidecar) addressOf(name string) string { return s.Addrs()[name].String() }

func (s *fileSidecar) reload(t testing.TB, text string) {
	t.Helper()
	if err := s.Reload(parseService(t, text)); err != nil {
		t.Fatal(err)
	}
}

// get asks on a connection of its own, for a host.
func get(t testing.TB, addr, host, target string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+target, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	return roundTrip(t, r)
}

func roundTrip(t testing.TB, r *http.Request) (*http.Response, string) {
	t.Helper()
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Error(err)
		return &http.Response{}, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp, string(text)
}

// echoEndpoint is an endpoint that gives its name and the request's line and headers back.
func echoEndpoint(t testing.TB, name string) string {
	t.Helper()
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s %s %s\n", name, r.Method, r.RequestURI)
		_ = r.Header.Write(w)
	}))
	t.Cleanup(e.Close)
	return e.Listener.Addr().String()
}

func poolOf(name string, addrs ...string) string {
	text := "[[pool]]\nname = \"" + name + "\"\n"
	for _, a := range addrs {
		text += "[[pool.member]]\naddress = \"" + a + "\"\n"
	}
	return text
}

const listen1, listen2 = "[[listener]]\nname = \"one\"\naddress = \"127.0.0.1:0\"\n", "[[listener]]\nname = \"two\"\naddress = \"127.0.0.1:0\"\n"

func TestRoutesSelectPools(t *testing.T) {
	a, b := echoEndpoint(t, "A"), echoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listen1+listen2+poolOf("a", a)+poolOf("b", a, b)+`
		[[route]]
		hosts = ["b.example", "*.b.example"]
		path_prefix = "/old/"
		replace_prefix = "/new/"
		remove_headers = ["X-Secret"]
		set_header = [{ name = "X-Pool", value = "b" }]
		pool = "a"
		class = "look"
		[[route]]
		hosts = ["a.example"]
		pool = "a"
		class = "look"
	`))
	if _, text := get(t, s.addressOf("one"), "A.example:80", "/x/%61?q=%2f"); !strings.HasPrefix(text, "A GET /x/a?q=%2f\n") {
		t.Errorf("a.example: %q", text)
	}
	r, _ := http.NewRequest(http.MethodGet, "http://"+s.addressOf("two")+"/old/thing?", nil)
	r.Host = "x.B.example."
	r.Header.Set("X-Secret", "s")
	r.Header.Set("X-Pool", "mine")
	if _, text := roundTrip(t, r); !strings.HasPrefix(text, "A GET /new/thing?\n") || strings.Contains(text, "Secret") || !strings.Contains(text, "X-Pool: b\r\n") {
		t.Errorf("x.b.example: %q", text)
	}
	for target, want := range map[string]int{"/": 404, "/a//b": 400, "/a%2fb": 400, "/../x": 400, "/a;b": 400} {
		if resp, _ := get(t, s.addressOf("one"), "c.example", target); resp.StatusCode != want {
			t.Errorf("%s: %d, want %d", target, resp.StatusCode, want)
		}
	}
}

func TestForwardedHeadersDescribeTheClient(t *testing.T) {
	a := echoEndpoint(t, "A")
	const route = "[[route]]\npool = \"a\"\nclass = \"look\"\n"
	for way, want := range map[string][]string{
		"set":    {"Via: 1.0 x\r\nVia: 1.1 tuliprock", "X-Forwarded-For: 127.0.0.1\r\n", "X-Forwarded-Host: h\r\n", "X-Forwarded-Proto: http\r\n", "Forwarded: for=127.0.0.1;host=\"h\";proto=http\r\n"},
		"append": {"Via: 1.0 x\r\nVia: 1.1 tuliprock", "X-Forwarded-For: 6.6.6.6, 127.0.0.1\r\n", "X-Forwarded-Host: h\r\n", "Forwarded: for=6.6.6.6, for=127.0.0.1;host=\"h\";proto=http\r\n"},
		"drop":   {"Via: 1.0 x\r\nVia: 1.1 tuliprock"},
		"leave":  {"Via: 1.0 x\r\n", "X-Forwarded-For: 6.6.6.6\r\n", "Forwarded: for=6.6.6.6\r\n", "X_forwarded_for: 7.7.7.7\r\n"},
	} {
		s := startFromFile(t, parseService(t, listen1+"forwarded = \""+way+"\"\n"+poolOf("a", a)+route))
		r, _ := http.NewRequest(http.MethodGet, "http://"+s.addressOf("one")+"/", nil)
		r.Host = "h"
		for name, value := range map[string]string{"X-Forwarded-For": "6.6.6.6", "Forwarded": "for=6.6.6.6", "X_Forwarded_For": "7.7.7.7",
			"Via": "1.0 x", "Connection": "X-Forwarded-Proto, X-Hop", "X-Hop": "h", "Req-Deadline-Ms": "9000"} {
			r.Header.Set(name, value)
		}
		_, text := roundTrip(t, r)
		for _, line := range want {
			if !strings.Contains(text, line) {
				t.Errorf("%s: %q lacks %q", way, text, line)
			}
		}
		if strings.Contains(text, "X-Hop") || way != "leave" && strings.Contains(text, "7.7.7.7") || way == "drop" && strings.Contains(text, "orwarded") ||
			strings.Contains(text, "Req-Deadline-Ms: 9000") || !strings.Contains(text, "Req-Id: ") {
			t.Errorf("%s: %q", way, text)
		}
	}
}

// An endpoint's answers go on as they are; only what a caller would take for a promise does not.
func TestResponsesAreForwardedUnchanged(t *testing.T) {
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Own", "1")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		var status int
		fmt.Sscan(r.URL.Path[1:], &status)
		w.WriteHeader(status)
		if status != 204 && status != 304 {
			io.WriteString(w, "body")
		}
	}))
	defer e.Close()
	s := startFromFile(t, parseService(t, listen1+poolOf("a", e.Listener.Addr().String())+"[[route]]\nmethods = [\"POST\"]\npool = \"a\"\nclass = \"pay\"\n[[route]]\npool = \"a\"\nclass = \"look\"\n"))
	for _, c := range []struct {
		method string
		status int
		want   int
	}{{"GET", 200, 200}, {"GET", 204, 204}, {"GET", 302, 302}, {"GET", 304, 304}, {"GET", 404, 404}, {"HEAD", 200, 200}, {"GET", 500, 500}, {"POST", 201, 201}, {"POST", 409, 409},
		{"POST", 500, 500}, {"POST", 502, 502}, {"POST", 503, 502}, {"POST", 429, 502}} {
		r, _ := http.NewRequest(c.method, fmt.Sprintf("http://%s/%d", s.addressOf("one"), c.status), nil)
		resp, text := roundTrip(t, r)
		if resp.StatusCode != c.want {
			t.Errorf("%s %d: %d", c.method, c.status, resp.StatusCode)
		}
		if own := c.status == c.want; own != (resp.Header.Get("X-Own") == "1") || resp.Header.Get("X-Hop") != "" {
			t.Errorf("%s %d: %v", c.method, c.status, resp.Header)
		}
		if body := c.status == c.want && c.method != "HEAD" && c.status != 204 && c.status != 304; body != (text == "body") {
			t.Errorf("%s %d: body %q", c.method, c.status, text)
		}
		if c.method == "HEAD" && resp.ContentLength != 4 {
			t.Errorf("HEAD tells a length of %d", resp.ContentLength)
		}
	}
}

const lookRoute = "[[route]]\npool = \"a\"\nclass = \"look\"\n"

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
	s.reload(t, listen1+strings.Replace(poolOf("a", b), "[[pool.member]]", "attempts = 2\n[[pool.member]]", 1)+poolOf("b", b)+lookRoute)
	if s.installed.pools["a"] == was["a"] || s.installed.pools["b"] != was["b"] {
		t.Error("a pool that changed was kept, or one that did not was not")
	}
	if _, text := get(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("after the change: %q", text)
	}
	sendOn(t, nc, in) // the caller's connection has lasted through all of it
}

// openConnection asks on a connection that stays open.
func openConnection(t testing.TB, addr string) (net.Conn, *bufio.Reader, *http.Response) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	in := bufio.NewReader(nc)
	return nc, in, sendOn(t, nc, in)
}

func sendOn(t testing.TB, nc net.Conn, in *bufio.Reader) *http.Response {
	t.Helper()
	nc.SetDeadline(time.Now().Add(testpeer.Patience))
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}

// A pool that is taken out answers what it has, by the configuration that took it, and then nothing of it is left.
func TestRemovedPoolFinishesItsRequests(t *testing.T) {
	came, release := make(chan bool), make(chan bool)
	slow := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		came <- true
		<-release
		io.WriteString(nc, testpeer.Served)
		return true
	})
	b := echoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listen1+poolOf("a", slow.Addr)+lookRoute))
	first := make(chan string)
	go func() {
		_, text := get(t, s.addressOf("one"), "h", "/")
		first <- text
	}()
	<-came
	old := s.installed.pools["a"]
	s.reload(t, listen1+poolOf("b", b)+strings.ReplaceAll(lookRoute, `"a"`, `"b"`))
	if _, text := get(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("a new request: %q", text)
	}
	select {
	case <-old.loop.Done():
		t.Error("the pool ended with a request in hand")
	default:
	}
	close(release)
	if text := <-first; text != "hi" {
		t.Errorf("the request in hand: %q", text)
	}
	select {
	case <-old.loop.Done():
	case <-time.After(testpeer.Patience):
		t.Error("the pool never ended")
	}
}

// A pool that another takes over from hears who drains, too: a request that it still has must not go there.
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
		t.Fatal("the pool was not taken over from")
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
	err = s.Reload(parseService(t, free+fmt.Sprintf("[[listener]]\nname = \"late\"\naddress = %q\n", taken.Addr())+poolOf("b", a)+strings.ReplaceAll(lookRoute, `"a"`, `"b"`)))
	if err == nil || !strings.Contains(err.Error(), "listener late") {
		t.Errorf("error %v", err)
	}
	if s.installed != was || fmt.Sprint(s.Addrs()) != listeners {
		t.Error("something changed")
	}
	if _, text := get(t, s.addressOf("one"), "h", "/"); !strings.HasPrefix(text, "A ") {
		t.Errorf("afterwards: %q", text)
	}
}

// A listener that moves serves at its old place for a while: connections there go on, and callers that don't know yet.
// Back and forth again, and with other limits at the same place, it loses nobody.
func TestReloadMovesListener(t *testing.T) {
	a := echoEndpoint(t, "A")
	here, there := testpeer.FreePort(t), testpeer.FreePort(t)
	at := func(addr string, more string) string {
		return fmt.Sprintf("[[listener]]\nname = \"one\"\naddress = %q\n%s", addr, more) + poolOf("a", a) + lookRoute
	}
	s := startFromFile(t, parseService(t, at(here, "")))
	nc, in, _ := openConnection(t, here)
	s.reload(t, at(there, ""))
	for _, addr := range []string{here, there} {
		if resp, _ := get(t, addr, "h", "/"); resp.StatusCode != http.StatusOK {
			t.Errorf("at %s: %s", addr, resp.Status)
		}
	}
	sendOn(t, nc, in)
	s.reload(t, at(here, ""))                        // while the first one still drains
	s.reload(t, at(here, "idle_timeout = \"1s\"\n")) // another server behind the same socket
	for range 50 {
		if resp, _ := get(t, here, "h", "/"); resp.StatusCode != http.StatusOK {
			t.Errorf("back at %s: %s", here, resp.Status)
		}
	}
	testpeer.Until(t, "the place left is closed", func() bool {
		nc, err := net.Dial("tcp", there)
		if err == nil {
			nc.Close()
		}
		return err != nil
	})
	testpeer.Until(t, "nothing is leaving", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.drainingListeners) == 0 })
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
			// Refused is an answer too: the one member of each list is new there, and taken to be cold.
			if resp, _ := get(t, s.addressOf("one"), "h", "/"); resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
				t.Error(resp.Status)
			}
		})
	}
	busy.Wait()
	s.terminate()
	testpeer.Until(t, "the end begins", func() bool {
		return errors.Is(s.Reload(parseService(t, listen1+poolOf("a", a)+lookRoute)), errShuttingDown)
	})
	if err := <-s.serveResult; err != nil {
		t.Error(err)
	}
}

// The same address in two pools, and a member that keeps its id at another address.
func TestEndpointsSharedByPoolsAndMigratingBetweenThem(t *testing.T) {
	a, b := echoEndpoint(t, "A"), echoEndpoint(t, "B")
	member := func(addr string) string {
		return fmt.Sprintf("[[pool]]\nname = \"a\"\n[[pool.member]]\nid = \"m\"\naddress = %q\n", addr)
	}
	routes := "[[route]]\nhosts = [\"b\"]\npool = \"b\"\nclass = \"look\"\n" + lookRoute
	s := startFromFile(t, parseService(t, listen1+member(a)+poolOf("b", a)+routes))
	for _, host := range []string{"a", "b"} {
		if _, text := get(t, s.addressOf("one"), host, "/"); !strings.HasPrefix(text, "A ") {
			t.Errorf("%s: %q", host, text)
		}
	}
	s.reload(t, listen1+member(b)+poolOf("b", a)+routes)
	if _, text := get(t, s.addressOf("one"), "a", "/"); !strings.HasPrefix(text, "B ") {
		t.Errorf("moved: %q", text)
	}
	if _, text := get(t, s.addressOf("one"), "b", "/"); !strings.HasPrefix(text, "A ") {
		t.Errorf("the other pool: %q", text)
	}
}

// A caller's word that it has asked before spares its tenant's quota: it is taken only where the class says so.
func TestRetryHeaderIsTrustedOnlyWhereConfigured(t *testing.T) {
	for header, want := range map[string]bool{"": false, "Req-Retry": true} {
		e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
		repeats := make(chan bool, 1)
		decide := func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return &recordingEvents{Events: eventloop.Module(now, s, h), repeats: repeats}
		}
		c := parseService(t, listen1+poolOf("a", e.Addr)+lookRoute)
		c.Targets[0].Class.RetryHeader = header
		s, err := StartWith(decide, c, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		r, _ := http.NewRequest(http.MethodGet, "http://"+s.Addrs()["one"].String()+"/", nil)
		r.Header.Set("Req-Retry", "1")
		roundTrip(t, r)
		if got := <-repeats; got != want {
			t.Errorf("with %q believed: %v", header, got)
		}
		if err := s.shutDown(noSuccessor); err != nil {
			t.Error(err)
		}
	}
}

// recordingEvents is the module, and what it is told of repeats.
type recordingEvents struct {
	balance.Events
	repeats chan bool
}

func (w *recordingEvents) Request(now time.Duration, r balance.Request) {
	w.repeats <- r.Repeat
	w.Events.Request(now, r)
}

// What could be routed one way and served another is turned away before any route is looked at.
func TestAmbiguousTargetsAreRejected(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	s := startFromFile(t, parseService(t, listen1+poolOf("a", e.Addr)+lookRoute))
	for name, text := range map[string]string{
		"two hosts":          "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"no host":            "GET / HTTP/1.1\r\n\r\n",
		"a whole URL":        "GET http://a/ HTTP/1.1\r\nHost: b\r\n\r\n",
		"an authority":       "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n",
		"an asterisk":        "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
		"an empty segment":   "GET /a//b HTTP/1.1\r\nHost: a\r\n\r\n",
		"an encoded slash":   "GET /a%2Fb HTTP/1.1\r\nHost: a\r\n\r\n",
		"encoded twice":      "GET /a%252fb HTTP/1.1\r\nHost: a\r\n\r\n",
		"above the root":     "GET /a/%2e%2e/../b HTTP/1.1\r\nHost: a\r\n\r\n",
		"a parameter":        "GET /a;x HTTP/1.1\r\nHost: a\r\n\r\n",
		"a backslash":        "GET /a\\b HTTP/1.1\r\nHost: a\r\n\r\n",
		"a fragment":         "GET /a?b#c HTTP/1.1\r\nHost: a\r\n\r\n",
		"chunks of no size":  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
		"an over-long id":    "GET / HTTP/1.1\r\nHost: a\r\nReq-Id: " + strings.Repeat("x", 300) + "\r\n\r\n",
		"an endless wait":    "GET / HTTP/1.1\r\nHost: a\r\nReq-Deadline-Ms: 99999999\r\n\r\n",
		"a deadline of none": "GET / HTTP/1.1\r\nHost: a\r\nReq-Deadline-Ms:\r\n\r\n",
	} {
		nc, err := net.Dial("tcp", s.addressOf("one"))
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testpeer.Patience))
		io.WriteString(nc, text)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode < 400 || resp.StatusCode > 499 || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: %+v, %v", name, resp, err)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d of them reached the endpoint", n)
	}
	if resp, _ := get(t, s.addressOf("one"), "a", "/?x=/../;//"); resp.StatusCode != http.StatusOK {
		t.Errorf("a good request afterwards: %s", resp.Status)
	}
}

// Members by DNS and by file, from the daemon's side: the list that changes is served by, and what fails leaves it standing.
func TestPoolMembersFromDNSAndFiles(t *testing.T) {
	a, b := echoEndpoint(t, "A"), echoEndpoint(t, "B")
	names, err := fake.NewDNS()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	list := filepath.Join(t.TempDir(), "members.json")
	write := func(addr string) {
		if err := os.WriteFile(list+".new", fmt.Appendf(nil, `{"format":1,"members":[{"address":%q}]}`, addr), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(list+".new", list); err != nil {
			t.Fatal(err)
		}
	}
	point := func(addr string) {
		_, port, _ := net.SplitHostPort(addr)
		n, _ := strconv.Atoi(port)
		names.Set("host.example", fake.DNSRecord{Address: netip.MustParseAddr("127.0.0.1")})
		names.Set("_web._tcp.example", fake.DNSRecord{Service: "host.example", Port: uint16(n)})
	}
	write(a)
	point(a)
	s := startFromFile(t, parseService(t, listen1+fmt.Sprintf(`
		[[pool]]
		name = "file"
		file = %q
		cold_for = "0s"
		[[pool]]
		name = "dns"
		cold_for = "0s"
		dns = { name = "_web._tcp.example", type = "srv", server = %q, ttl_least = "100ms", ttl_most = "100ms" }
		[[route]]
		path = "/file"
		pool = "file"
		class = "look"
		[[route]]
		path = "/dns"
		pool = "dns"
		class = "look"
		`, list, names.Addr)))
	served := func(path, name string) bool {
		_, text := get(t, s.addressOf("one"), "h", path)
		return strings.HasPrefix(text, name+" ")
	}
	for _, path := range []string{"/file", "/dns"} {
		if !served(path, "A") {
			t.Errorf("%s is not served by A", path)
		}
	}
	names.Go(fake.DNSServfail, 0)
	if err := os.Remove(list); err != nil {
		t.Fatal(err)
	}
	asked := names.Asked.Load()
	testpeer.Until(t, "DNS fails", func() bool { return names.Asked.Load() > asked+1 })
	for _, path := range []string{"/file", "/dns"} {
		if !served(path, "A") {
			t.Errorf("%s is not served by A any more", path)
		}
	}
	names.Go(fake.DNSWell, 0)
	write(b)
	point(b)
	for _, path := range []string{"/file", "/dns"} {
		testpeer.Until(t, path+" is served by B", func() bool { return served(path, "B") })
	}
}

// What a pool of real parts does with a list that changes by one member.
func BenchmarkPoolUpdate(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var list []discovery.Member
			for i := range n + 1 {
				list = append(list, discovery.Member{ID: fmt.Sprint("n", i), Addr: fmt.Sprintf("127.%d.%d.%d:80", 1+i>>16, i>>8&255, i&255)})
			}
			spec := config.PoolSpec{Name: "p", Connections: 10, Source: config.SourceSpec{Members: []config.Member{{ID: "x", Address: "127.0.0.1:1"}}}}
			p := newPool(eventloop.Module, spec, nil, &metrics.Registry{}, slog.New(slog.DiscardHandler))
			defer p.close()
			done := make(chan bool)
			for i := 0; b.Loop(); i++ {
				p.updateEndpoints(discovery.ListUpdate{Full: true, Servers: list[:n+i%2]})
				p.loop.Post(func(time.Duration) { done <- true })
				<-done
			}
		})
	}
}

// One request after another on one connection: the whole way there and back.
func BenchmarkServe(b *testing.B) {
	e := testpeer.NewEndpoint(b, testpeer.Says(testpeer.Served, true))
	s := startFromFile(b, parseService(b, listen1+poolOf("a", e.Addr)+lookRoute))
	nc, in, _ := openConnection(b, s.addressOf("one"))
	b.ReportAllocs()
	for b.Loop() {
		sendOn(b, nc, in)
	}
}
