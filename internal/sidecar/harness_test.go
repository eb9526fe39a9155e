package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/discovery"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/frontend"
	"tuliprock/internal/testkit/testpeer"
	"tuliprock/internal/upstream"
)

// laneSettings are the platform's settings in all tests.
const laneSettings = `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000},
	{"Name":"book","Semantics":"idempotency_key","Group":"cell","WindowUs":10000000,"OnTimeUs":2000000},
	{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":2000000}],
	"Permissions":{"MayCancel":true,"TryLimit":4,"RetryAfter":true,"MaxRetryAfterUs":2000000,"DialTimeoutUs":5000000}}`

// platformSidecar is a daemon that runs on the platform's configuration, on loopback sockets.
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

// startPlatform starts a sidecar in front of the endpoints given, with the IDs a, b, ... Its discovery never responds.
func startPlatform(t *testing.T, addrs ...string) *platformSidecar {
	t.Helper()
	return startPlatformWith(t, "{}", nil, addrs...)
}

// startPlatformWith is startPlatform with limits, in JSON, and changes of the configuration.
func startPlatformWith(t *testing.T, limits string, changes []func(*config.Service), addrs ...string) *platformSidecar {
	t.Helper()
	silent := httptest.NewServer(&testpeer.ScriptedAgent{Queries: make(chan string, 100)})
	t.Cleanup(silent.Close)
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
	terminate, serveResult := serveUntilCleanup(t, s)
	return &platformSidecar{
		Sidecar:        s,
		platformConfig: c,
		addr:           l.connections.Addr().String(),
		connections:    l.connections,
		frontend:       l.frontend,
		loop:           p.loop,
		upstream:       p.upstream,
		pool:           p,
		terminate:      terminate,
		serveResult:    serveResult,
	}
}

// serveUntilCleanup serves until terminate is called or the test ends. serveResult gets Serve's error, and is closed; an
// error that the test does not read fails it.
func serveUntilCleanup(tb testing.TB, s *Sidecar) (terminate context.CancelFunc, serveResult chan error) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	serveResult = make(chan error, 1)
	go func() {
		serveResult <- s.Serve(ctx)
		close(serveResult)
	}()
	tb.Cleanup(func() {
		cancel()
		if err := <-serveResult; err != nil {
			tb.Errorf("Serve: %v", err)
		}
	})
	return cancel, serveResult
}

// request makes a request as the platform's clients send it.
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
		nc.SetReadDeadline(time.Now().Add(testpeer.Timeout))
		var resp *http.Response
		if resp, err = http.ReadResponse(in, r); err == nil {
			io.Copy(io.Discard, resp.Body)
			return nc, in, resp
		}
	}
	t.Error(err)
	return nc, in, &http.Response{}
}

// updateList passes a list through the loop, as discovery does: later events find it in force.
func (s *platformSidecar) updateList(t *testing.T, text string) {
	t.Helper()
	m, err := discovery.ParseListUpdate([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.pool.updateEndpoints(m)
}

// startDiscovery starts a discovery that plays the steps and reports the calls to it.
func startDiscovery(t *testing.T, steps ...string) (addr string, calls chan string) {
	t.Helper()
	d := &testpeer.ScriptedAgent{Steps: steps, Queries: make(chan string, 100)}
	server := httptest.NewServer(d)
	t.Cleanup(func() {
		server.CloseClientConnections() // a watch may still be open
		server.Close()
	})
	return server.Listener.Addr().String(), d.Queries
}

// newHeldEndpoint starts an endpoint that says of each request that it has come, and responds once release is closed.
func newHeldEndpoint(t *testing.T) (e *testpeer.Endpoint, came <-chan bool, release chan bool) {
	t.Helper()
	arrivals, release := make(chan bool, 2), make(chan bool)
	e = testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		arrivals <- true
		<-release
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	return e, arrivals, release
}
