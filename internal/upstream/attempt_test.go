package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/testkit/testpeer"
)

func newTestClient(t *testing.T, addrs ...string) *Client {
	t.Helper()
	u := New(Options{Idle: time.Minute, Dial: testpeer.Patience, Most: 100, OnlyOK: true})
	for i, addr := range addrs {
		u.SetMember(string(rune('a'+i)), addr, true)
	}
	t.Cleanup(func() { u.sweep(func(*conn) bool { return false }) })
	return u
}

func getRequest(path string) *Message {
	return &Message{Method: http.MethodGet, Target: path, Host: "api.internal", Header: http.Header{"Req-Id": {"r1"}}}
}

func contextFor(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestResponseDecidesResult(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: "
	for name, row := range map[string]struct {
		says string
		want balance.Result
		stay bool
	}{
		"200":                      {testpeer.Served, balance.OK, true},
		"200 in chunks":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balance.OK, true},
		"200 after interim":        {"HTTP/1.1 103 Early Hints\r\n\r\n" + testpeer.Served, balance.OK, true},
		"500":                      {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", balance.Errored, true},
		"503 declined":             {"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", balance.Full, true},
		"504 declined":             {"HTTP/1.1 504 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", balance.Full, true},
		"503 that may have run":    {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balance.Errored, true},
		"500 that claims declined": {"HTTP/1.1 500 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", balance.Errored, true},
		"nothing, then an end":     {"", balance.Reset, false},
		"half a head":              {head, balance.Reset, false},
		"half a body":              {head + "9\r\n\r\nhi", balance.Reset, false},
		"half of the chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", balance.Reset, false},
		"no length":                {"HTTP/1.1 200 OK\r\n\r\nhi", balance.Errored, true},
		"too long a body":          {head + "70000\r\n\r\n" + strings.Repeat("x", 70000), balance.Errored, true},
		"a head without end":       {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200000), balance.Errored, true},
		"noise without end":        {"\x00\x01", balance.Errored, true},
		"a head that stops":        {head, balance.Errored, true},
		"a body that stops":        {head + "9\r\n\r\nhi", balance.Errored, true},
		"3 GB announced":           {head + "3000000000\r\n\r\nhi", balance.Errored, true},
		"a negative length":        {head + "-2\r\n\r\nhi", balance.Errored, true},
		"two framings":             {head + "2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balance.Errored, true},
		"two lengths":              {head + "2\r\nContent-Length: 3\r\n\r\nhi", balance.Errored, true},
		"bare line feeds":          {"HTTP/1.1 200 OK\nContent-Length: 2\n\r\n\r\nhi", balance.Errored, true},
		"a folded field":           {"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", balance.Errored, true},
		"another protocol":         {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + testpeer.Served, balance.Errored, true},
		"only interim":             {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9) + testpeer.Served, balance.Errored, true},
		"an unreadable report":     {"HTTP/1.1 200 OK\r\nSrv-Load: \xff;=,,inflight\r\nContent-Length: 2\r\n\r\nhi", balance.OK, true},
		"noise":                    {"\x00\x01\r\n\r\n", balance.Errored, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := testpeer.NewEndpoint(t, testpeer.Says(row.says, row.stay))
			result, _, a := newTestClient(t, e.Addr).Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{})
			if result != row.want {
				t.Errorf("outcome %v, want %v", result, row.want)
			}
			if want := map[bool]string{true: "hi"}[row.want == balance.OK]; string(a.Body) != want {
				t.Errorf("body %q, want %q", a.Body, want)
			}
			if n := e.Requests.Load(); n != 1 {
				t.Errorf("the request came %d times", n)
			}
		})
	}
}

func TestNoConnectionIsConnectFailedOrNotSent(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	u := newTestClient(t, e.Addr)
	u.dialTimeout = time.Nanosecond
	if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{}); r != balance.ConnectFailed {
		t.Errorf("never up: %v", r)
	}
	e.Listener.Close()
	u.dialTimeout = testpeer.Patience
	if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{}); r != balance.ConnectFailed {
		t.Errorf("refused: %v", r)
	}
	if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "unlisted", getRequest("/c"), AttemptHooks{}); r != balance.NotSent {
		t.Errorf("no address: %v", r)
	}
	u.options.Most = 0 // a shortage here must not count against the endpoint
	if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{}); r != balance.NotSent {
		t.Errorf("no descriptors: %v", r)
	}
	if u.openCount != 0 {
		t.Errorf("%d descriptors are still counted", u.openCount)
	}
}

// A request whose last byte was not written can't have run.
func TestResetWhileWritingIsConnectFailed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		nc, err := l.Accept()
		if err == nil {
			if _, err := io.ReadFull(nc, make([]byte, 10)); err != nil {
				t.Error(err)
			}
			nc.Close() // with bytes unread: a reset
		}
	}()
	m := getRequest("/c")
	m.Method, m.Body = http.MethodPost, make([]byte, 64<<20) // more than socket buffers hold
	if r, _, _ := newTestClient(t, l.Addr().String()).Attempt(contextFor(t, testpeer.Patience), "a", m, AttemptHooks{}); r != balance.ConnectFailed {
		t.Errorf("outcome %v", r)
	}
}

// The connection must be closed before the outcome is known: the next attempt would be a second one out.
func TestConnectionIsClosedBeforeTimeoutOrCancelIsReported(t *testing.T) {
	for _, want := range []balance.Result{balance.TimedOut, balance.Canceled} {
		came, closed := make(chan bool, 1), make(chan error, 1)
		e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
			came <- true
			_, err := nc.Read(make([]byte, 1))
			closed <- err
			return false
		})
		u := newTestClient(t, e.Addr)
		ctx, cancel := context.WithTimeout(context.Background(), testpeer.Patience)
		if want == balance.TimedOut {
			ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
		} else {
			go func() { <-came; cancel() }()
		}
		r, _, _ := u.Attempt(ctx, "a", getRequest("/c"), AttemptHooks{})
		cancel()
		if r != want {
			t.Errorf("outcome %v, want %v", r, want)
		}
		if u.openCount != 0 {
			t.Errorf("%v: the connection is still open", want)
		}
		if err := <-closed; err == nil {
			t.Errorf("%v: the endpoint read on", want)
		}
	}
}

// net/http's Transport would send these again by itself.
func TestResetOfReusedConnectionIsNotResent(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
			if n > 1 {
				return false
			}
			io.WriteString(nc, testpeer.Served)
			return true
		})
		u := newTestClient(t, e.Addr)
		m := getRequest("/c")
		m.Method = method
		m.Header.Set("Idempotency-Key", "k")
		if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", m, AttemptHooks{}); r != balance.OK {
			t.Fatalf("first: %v", r)
		}
		if r, reused, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", m, AttemptHooks{}); r != balance.Reset || !reused {
			t.Errorf("%s on a connection that broke: %v, reused %v", method, r, reused)
		}
		if n, c := e.Requests.Load(), e.Connections.Load(); n != 2 || c != 1 {
			t.Errorf("%s: %d requests on %d connections", method, n, c)
		}
	}
}

// until polls for what the kernel does in its own time.
func TestDeadIdleConnectionIsNotReused(t *testing.T) {
	for name, behind := range map[string]string{"closed": "", "bytes that nobody asked for": "x"} {
		answered := make(chan bool, 1)
		e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
			io.WriteString(nc, testpeer.Served)
			if n == 1 {
				<-answered
				io.WriteString(nc, behind)
			}
			return n > 1
		})
		u := newTestClient(t, e.Addr)
		if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{}); r != balance.OK {
			t.Fatalf("%s: first: %v", name, r)
		}
		answered <- true
		testpeer.Until(t, name, func() bool { idle := u.pools["a"].idle; return len(idle) == 0 || !idle[0].isQuiet() })
		if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{}); r != balance.OK {
			t.Errorf("%s: second: %v", name, r)
		}
		if c := e.Connections.Load(); c != 2 {
			t.Errorf("%s: %d connections", name, c)
		}
	}
}

func TestConnectionsAreReusedUntilStaleMovedOrDraining(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	other := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	u := newTestClient(t, e.Addr)
	try := func(want int32) {
		t.Helper()
		if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{}); r != balance.OK {
			t.Fatalf("outcome %v", r)
		}
		if c := e.Connections.Load(); c != want {
			t.Errorf("%d connections, want %d", c, want)
		}
	}
	try(1)
	try(1)
	u.pools["a"].idle[0].idleSince = time.Now().Add(-u.maxIdleAge) // the endpoint may close it any moment
	try(2)
	u.SetMember("a", other.Addr, true) // moved: the old connection leads elsewhere
	try(2)
	if c := other.Connections.Load(); c != 1 || u.openCount != 1 {
		t.Errorf("%d connections to the new address, %d open", c, u.openCount)
	}
	u.SetMember("a", other.Addr, false)
	if u.openCount != 0 {
		t.Errorf("%d connections to an endpoint that drains", u.openCount)
	}
}

func TestOldestIdleConnectionIsEvictedAtLimit(t *testing.T) {
	e, f := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true)), testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	u := newTestClient(t, e.Addr, f.Addr)
	u.options.Most = 1
	for _, id := range []string{"a", "b", "a"} {
		if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), id, getRequest("/c"), AttemptHooks{}); r != balance.OK {
			t.Errorf("%s: %v", id, r)
		}
		if u.openCount != 1 {
			t.Errorf("%d open", u.openCount)
		}
	}
}

// A second copy of an answer that comes just behind the first must not pass for the answer to the next request, though
// the first brought nothing more with it and the next request is there at once.
func TestDuplicateResponseIsNotReadAsNextResponse(t *testing.T) {
	answered := make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + r.Header.Get("Req-Id")
		io.WriteString(nc, text)
		if n == 1 {
			<-answered
			io.WriteString(nc, text)
		}
		return true
	})
	u := newTestClient(t, e.Addr)
	u.restPeriod = time.Second
	for _, id := range []string{"r1", "r2"} {
		m := getRequest("/c")
		m.Header.Set("Req-Id", id)
		if r, _, a := u.Attempt(contextFor(t, testpeer.Patience), "a", m, AttemptHooks{}); r != balance.OK || string(a.Body) != id {
			t.Errorf("request %s: %v, answer %q", id, r, a.Body)
		}
		if id == "r1" {
			answered <- true
		}
	}
	if c := e.Connections.Load(); c != 2 {
		t.Errorf("%d connections", c)
	}
}

// A second copy that comes some milliseconds late is not taken for the next answer: nothing of the next request is written before
// it would have come.
func TestConnectionRestsBeforeNextRequest(t *testing.T) {
	const latest = 6 * time.Millisecond // of those that were measured
	var answered, asked time.Time
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
		if asked = time.Now(); n == 1 {
			answered = asked
		}
		io.WriteString(nc, testpeer.Served)
		return true
	})
	u := newTestClient(t, e.Addr)
	for range 2 {
		if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{}); r != balance.OK {
			t.Fatal(r)
		}
	}
	if e.Connections.Load() == 1 && asked.Sub(answered) < latest {
		t.Errorf("a request came %v after the answer before", asked.Sub(answered))
	}
}

// What a request says of its time counts from when it goes out, and not from when its connection was asked for.
func TestDeadlineHeaderExcludesTimeSpentDialing(t *testing.T) {
	const limit, dial = 10 * time.Second, 50 * time.Millisecond
	told := make(chan string, 1)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		told <- r.Header.Get("Req-Deadline-Ms")
		io.WriteString(nc, testpeer.Served)
		return true
	})
	began := time.Now()
	u := newTestClient(t, e.Addr)
	connect := u.options.Connect
	u.options.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		testpeer.Until(t, "the dial has lasted", func() bool { return time.Since(began) > dial })
		return connect(ctx, network, addr)
	}
	m := getRequest("/c")
	m.DeadlineName = "Req-Deadline-Ms"
	if r, _, _ := u.Attempt(contextFor(t, limit), "a", m, AttemptHooks{}); r != balance.OK {
		t.Fatal(r)
	}
	if ms, err := strconv.Atoi(<-told); err != nil || time.Duration(ms)*time.Millisecond > limit-dial+time.Millisecond {
		t.Errorf("%d ms, %v: %v of %v had gone", ms, err, dial, limit)
	}
}

// A connection that was taken for a request which nobody wanted any more is no younger for it: its endpoint closes it all the same,
// perhaps under the next request.
func TestUnusedConnectionKeepsItsIdleAge(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	u := newTestClient(t, e.Addr)
	u.maxIdleAge = 200 * time.Millisecond
	attempt := func(wanted bool, want balance.Result) {
		t.Helper()
		if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{Wanted: func() bool { return wanted }}); r != want {
			t.Fatalf("%v, want %v", r, want)
		}
	}
	attempt(true, balance.OK)
	answered := time.Now()
	testpeer.Until(t, "half of the time is over", func() bool { return time.Since(answered) > u.maxIdleAge/2 })
	attempt(false, balance.NotSent)
	testpeer.Until(t, "all of it is", func() bool { return time.Since(answered) > u.maxIdleAge })
	attempt(true, balance.OK)
	if n := e.Connections.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

func TestHasIdleSeesClosedConnection(t *testing.T) {
	release := make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		io.WriteString(nc, testpeer.Served)
		<-release
		return false
	})
	u := newTestClient(t, e.Addr)
	if u.HasIdle("a") || u.HasIdle("unknown") {
		t.Error("idle before the first attempt")
	}
	if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/look"), AttemptHooks{}); r != balance.OK {
		t.Fatal(r)
	}
	if !u.HasIdle("a") {
		t.Error("not idle after an answer")
	}
	close(release)
	testpeer.Until(t, "the close is seen", func() bool { return !u.HasIdle("a") })
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.openCount != 0 {
		t.Errorf("%d open after the close", u.openCount)
	}
}

// Where connections are opened rather than waited for, one that rests holds nobody up, as long as there may be more.
func TestSpreadDialsInsteadOfWaitingForRest(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	for _, most := range []int{1, 2} {
		u := New(Options{Idle: time.Minute, Dial: testpeer.Patience, Most: most, Spread: true})
		u.restPeriod = 30 * time.Millisecond
		u.SetMember("a", e.Addr, true)
		for range 2 {
			if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/x"), AttemptHooks{}); r != balance.OK {
				t.Errorf("result %v", r)
			}
		}
		if n := e.Connections.Swap(0); int(n) != most {
			t.Errorf("with %d at most, %d were opened", most, n)
		}
		u.sweep(func(*conn) bool { return false })
	}
}

// wokenContext is the context of an attempt in a process that has just been woken: its time is up, and its timer has not rung yet.
type wokenContext struct{ context.Context }

func (wokenContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }
func (wokenContext) Done() <-chan struct{}       { return nil }
func (wokenContext) Err() error                  { return nil }

// What waited for a connection while the process was stopped is not sent when it wakes, whether the connection is new or has
// rested.
func TestNothingIsSentPastDeadlineAfterProcessPause(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	u := newTestClient(t, e.Addr)
	for _, connection := range []string{"new", "rested"} {
		if r, _, _ := u.Attempt(wokenContext{context.Background()}, "a", getRequest("/late"), AttemptHooks{}); r != map[string]balance.Result{"new": balance.ConnectFailed, "rested": balance.NotSent}[connection] {
			t.Errorf("on a %s connection: %v", connection, r)
		}
		if r, _, _ := u.Attempt(contextFor(t, testpeer.Patience), "a", getRequest("/c"), AttemptHooks{}); r != balance.OK {
			t.Fatalf("%v", r)
		}
	}
	if n := e.Requests.Load(); n != 2 {
		t.Errorf("%d requests came, 2 of them in time", n)
	}
}
