package upstream

import (
	"context"
	"fmt"
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

// newTestClient returns a Client with one accepting endpoint for each address. Their IDs are a, b and so on.
func newTestClient(t *testing.T, addrs ...string) *Client {
	t.Helper()
	client := New(Options{IdleTimeout: time.Minute, DialTimeout: testpeer.Timeout, MaxConnections: 100, AcceptOnlyStatusOK: true})
	for i, addr := range addrs {
		client.SetEndpoint(string(rune('a'+i)), addr, true)
	}
	t.Cleanup(func() { client.sweep(func(*conn) bool { return false }) })
	return client
}

// getRequest returns a GET request for a path.
func getRequest(path string) *Request {
	return &Request{Method: http.MethodGet, Target: path, Host: "api.internal", Header: http.Header{"Req-Id": {"r1"}}}
}

// newTestContext returns a context that ends after a timeout, or with the test.
func newTestContext(t *testing.T, timeout time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	t.Cleanup(cancel)
	return ctx
}

// attempt makes an attempt without hooks and returns its result.
func attempt(t *testing.T, client *Client, id string, req *Request) balance.Result {
	t.Helper()
	r, _, _ := client.Attempt(newTestContext(t, testpeer.Timeout), id, req, AttemptHooks{})
	return r
}

func TestResponseDecidesResult(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nContent-Length: "
	for name, row := range map[string]struct {
		text     string         // bytes that the endpoint writes
		want     balance.Result // expected result of the attempt
		keepOpen bool           // whether the endpoint keeps the connection open after it has written text
	}{
		"200":                       {testpeer.ResponseOK, balance.OK, true},
		"200 chunked":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balance.OK, true},
		"200 after interim":         {"HTTP/1.1 103 Early Hints\r\n\r\n" + testpeer.ResponseOK, balance.OK, true},
		"500":                       {"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", balance.ErrorResponse, true},
		"503 declined":              {"HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", balance.Rejected, true},
		"504 declined":              {"HTTP/1.1 504 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", balance.Rejected, true},
		"503 not declined":          {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", balance.ErrorResponse, true},
		"500 with declined header":  {"HTTP/1.1 500 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", balance.ErrorResponse, true},
		"nothing, then end of file": {"", balance.Reset, false},
		"half a head":               {head, balance.Reset, false},
		"half a body":               {head + "9\r\n\r\nhi", balance.Reset, false},
		"half of the chunks":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", balance.Reset, false},
		"no length":                 {"HTTP/1.1 200 OK\r\n\r\nhi", balance.ErrorResponse, true},
		"body too long":             {head + "70000\r\n\r\n" + strings.Repeat("x", 70000), balance.ErrorResponse, true},
		"head without end":          {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 200000), balance.ErrorResponse, true},
		"corrupt bytes without end": {"\x00\x01", balance.ErrorResponse, true},
		"head that stalls":          {head, balance.ErrorResponse, true},
		"body that stalls":          {head + "9\r\n\r\nhi", balance.ErrorResponse, true},
		"length of 3 GB":            {head + "3000000000\r\n\r\nhi", balance.ErrorResponse, true},
		"negative length":           {head + "-2\r\n\r\nhi", balance.ErrorResponse, true},
		"two framings":              {head + "2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balance.ErrorResponse, true},
		"two lengths":               {head + "2\r\nContent-Length: 3\r\n\r\nhi", balance.ErrorResponse, true},
		"bare line feeds":           {"HTTP/1.1 200 OK\nContent-Length: 2\n\r\n\r\nhi", balance.ErrorResponse, true},
		"folded field":              {"HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi", balance.ErrorResponse, true},
		"another protocol":          {"HTTP/1.1 101 Switching Protocols\r\n\r\n" + testpeer.ResponseOK, balance.ErrorResponse, true},
		"only interim responses":    {strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 9) + testpeer.ResponseOK, balance.ErrorResponse, true},
		"unreadable load report":    {"HTTP/1.1 200 OK\r\nSrv-Load: \xff;=,,inflight\r\nContent-Length: 2\r\n\r\nhi", balance.OK, true},
		"corrupt bytes":             {"\x00\x01\r\n\r\n", balance.ErrorResponse, true},
	} {
		t.Run(name, func(t *testing.T) {
			e := testpeer.NewEndpoint(t, testpeer.RespondWith(row.text, row.keepOpen))
			client := newTestClient(t, e.Addr)
			result, _, response := client.Attempt(newTestContext(t, testpeer.Timeout), "a", getRequest("/c"), AttemptHooks{})
			if result != row.want {
				t.Errorf("result %v, want %v", result, row.want)
			}
			if want := map[bool]string{true: "hi"}[row.want == balance.OK]; string(response.Body) != want {
				t.Errorf("body %q, want %q", response.Body, want)
			}
			if n := e.Requests.Load(); n != 1 {
				t.Errorf("the endpoint received %d requests, want 1", n)
			}
		})
	}
}

func TestAttemptWithoutConnectionIsConnectFailedOrNotSent(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	client := newTestClient(t, e.Addr)
	client.dialTimeout = time.Nanosecond
	if r := attempt(t, client, "a", getRequest("/c")); r != balance.ConnectFailed {
		t.Errorf("dial timeout: result %v, want %v", r, balance.ConnectFailed)
	}
	e.Listener.Close()
	client.dialTimeout = testpeer.Timeout
	if r := attempt(t, client, "a", getRequest("/c")); r != balance.ConnectFailed {
		t.Errorf("connection refused: result %v, want %v", r, balance.ConnectFailed)
	}
	if r := attempt(t, client, "unlisted", getRequest("/c")); r != balance.NotSent {
		t.Errorf("unknown endpoint: result %v, want %v", r, balance.NotSent)
	}
	client.options.MaxConnections = 0 // a limit of this process must not count against the endpoint
	if r := attempt(t, client, "a", getRequest("/c")); r != balance.NotSent {
		t.Errorf("connection limit: result %v, want %v", r, balance.NotSent)
	}
	if client.openCount != 0 {
		t.Errorf("%d connections are still counted as open, want 0", client.openCount)
	}
}

// If endpoints run a request only after its last byte (StartsWithLastByte), a request whose last byte was not written can't have
// run, so that a retry is safe.
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
			nc.Close() // closing a connection with unread bytes sends a reset
		}
	}()
	req := getRequest("/c")
	req.Method, req.Body = http.MethodPost, make([]byte, 64<<20) // more bytes than the socket buffers hold
	if r := attempt(t, newTestClient(t, l.Addr().String()), "a", req); r != balance.ConnectFailed {
		t.Errorf("result %v, want %v", r, balance.ConnectFailed)
	}
}

// Attempt must close the connection before it reports a timeout or a cancellation. Otherwise a retry could be in flight at the
// same time as this attempt.
func TestConnectionIsClosedBeforeTimeoutOrCancelIsReported(t *testing.T) {
	for _, want := range []balance.Result{balance.TimedOut, balance.Canceled} {
		t.Run(fmt.Sprint(want), func(t *testing.T) {
			received, closeError := make(chan bool, 1), make(chan error, 1)
			e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
				received <- true
				_, err := nc.Read(make([]byte, 1))
				closeError <- err
				return false
			})
			client := newTestClient(t, e.Addr)
			ctx, cancel := context.WithTimeout(context.Background(), testpeer.Timeout)
			if want == balance.TimedOut {
				ctx, cancel = context.WithTimeout(context.Background(), 300*time.Millisecond)
			} else {
				go func() { <-received; cancel() }()
			}
			r, _, _ := client.Attempt(ctx, "a", getRequest("/c"), AttemptHooks{})
			cancel()
			if r != want {
				t.Errorf("result %v, want %v", r, want)
			}
			if client.openCount != 0 {
				t.Error("the connection is still open")
			}
			if err := <-closeError; err == nil {
				t.Error("the endpoint read a byte, want an error because the connection was closed")
			}
		})
	}
}

// Attempt must report a reset and not send the request again. Here it differs from net/http's Transport, which resends a GET
// request, or one with an Idempotency-Key, when a reused connection breaks.
func TestRequestIsNotResentAfterResetOfReusedConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
				if n > 1 {
					return false
				}
				io.WriteString(nc, testpeer.ResponseOK)
				return true
			})
			client := newTestClient(t, e.Addr)
			req := getRequest("/c")
			req.Method = method
			req.Header.Set("Idempotency-Key", "k")
			if r := attempt(t, client, "a", req); r != balance.OK {
				t.Fatalf("first attempt: result %v, want %v", r, balance.OK)
			}
			r, usedIdle, _ := client.Attempt(newTestContext(t, testpeer.Timeout), "a", req, AttemptHooks{})
			if r != balance.Reset || !usedIdle {
				t.Errorf("second attempt: result %v, on an idle connection %v, want %v, true", r, usedIdle, balance.Reset)
			}
			if n, c := e.Requests.Load(), e.Connections.Load(); n != 2 || c != 1 {
				t.Errorf("the endpoint received %d requests on %d connections, want 2 on 1", n, c)
			}
		})
	}
}

// The deadline header must have the time that is left when the request is written, not when the dialing of its connection began.
func TestDeadlineHeaderExcludesTimeSpentDialing(t *testing.T) {
	const timeout, dialTime = 10 * time.Second, 50 * time.Millisecond
	deadlineHeader := make(chan string, 1)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		deadlineHeader <- r.Header.Get("Req-Deadline-Ms")
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	startedAt := time.Now()
	client := newTestClient(t, e.Addr)
	connect := client.options.Connect
	client.options.Connect = func(ctx context.Context, network, addr string) (net.Conn, error) {
		testpeer.Eventually(t, "dialTime has passed", func() bool { return time.Since(startedAt) > dialTime })
		return connect(ctx, network, addr)
	}
	req := getRequest("/c")
	req.DeadlineHeader = "Req-Deadline-Ms"
	if r, _, _ := client.Attempt(newTestContext(t, timeout), "a", req, AttemptHooks{}); r != balance.OK {
		t.Fatalf("result %v, want %v", r, balance.OK)
	}
	const maxTimeLeft = timeout - dialTime + time.Millisecond
	if ms, err := strconv.Atoi(<-deadlineHeader); err != nil || time.Duration(ms)*time.Millisecond > maxTimeLeft {
		t.Errorf("the deadline header has %d ms (error %v), want at most %v, since dialing took %v of %v",
			ms, err, maxTimeLeft, dialTime, timeout)
	}
}

// resumedProcessContext is the context of an attempt in a process that was suspended and has just resumed: its deadline has passed,
// but the timer that cancels the context has not fired yet.
type resumedProcessContext struct{ context.Context }

func (resumedProcessContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }
func (resumedProcessContext) Done() <-chan struct{}       { return nil }
func (resumedProcessContext) Err() error                  { return nil }

// A request must not be sent if its deadline has passed while the process was suspended, be it on a new connection or on an idle one.
func TestNothingIsSentPastDeadlineAfterProcessPause(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	client := newTestClient(t, e.Addr)
	for _, row := range []struct {
		connection string // connection that the attempt uses: a "new" or an "idle" one
		want       balance.Result
	}{{"new", balance.ConnectFailed}, {"idle", balance.NotSent}} {
		r, _, _ := client.Attempt(resumedProcessContext{context.Background()}, "a", getRequest("/late"), AttemptHooks{})
		if r != row.want {
			t.Errorf("on a connection that is %s: result %v, want %v", row.connection, r, row.want)
		}
		if r := attempt(t, client, "a", getRequest("/c")); r != balance.OK {
			t.Fatalf("attempt before its deadline: result %v, want %v", r, balance.OK)
		}
	}
	if n := e.Requests.Load(); n != 2 {
		t.Errorf("the endpoint received %d requests, want the 2 before their deadline", n)
	}
}
