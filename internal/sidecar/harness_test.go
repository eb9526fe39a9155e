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

// platformSettings are the platform's settings in the tests. They configure three request classes, selected by path: look
// (safe), book (with an idempotency key) and pay (not idempotent).
const platformSettings = `{"Lanes":[{"Name":"look","Semantics":"read_like","OnTimeUs":2000000},
	{"Name":"book","Semantics":"idempotency_key","Group":"cell","WindowUs":10000000,"OnTimeUs":2000000},
	{"Name":"pay","Semantics":"non_idempotent","OnTimeUs":2000000}],
	"Permissions":{"MayCancel":true,"TryLimit":4,"RetryAfter":true,"MaxRetryAfterUs":2000000,"DialTimeoutUs":5000000}}`

// platformSidecar is a daemon that runs on the platform's configuration, with one listener and one pool, on loopback.
type platformSidecar struct {
	*Sidecar
	platformConfig   config.Config
	addr             string             // address of the listener
	frontendListener *frontend.Listener // wraps the listener's socket and tracks the clients' connections
	frontend         *frontend.Server   // server of the listener
	loop             *eventloop.Loop    // event loop of the pool
	upstream         *upstream.Client   // connections of the pool to its endpoints
	pool             *pool
	terminate        context.CancelFunc // begins the shutdown, as SIGTERM does
	serveResult      chan error         // receives the error of Serve, and is then closed
}

// startPlatform starts a sidecar with the given addresses as endpoints, which get the IDs a, b, ... Its discovery agent
// never responds.
func startPlatform(t *testing.T, addrs ...string) *platformSidecar {
	t.Helper()
	return startPlatformWith(t, "{}", nil, addrs...)
}

// startPlatformWith starts a sidecar like startPlatform, with the given resource limits (in JSON), after it has applied
// changes to the configuration.
func startPlatformWith(t *testing.T, limits string, changes []func(*config.Service), addrs ...string) *platformSidecar {
	t.Helper()
	silentAgent := httptest.NewServer(&testpeer.ScriptedAgent{Queries: make(chan string, 100)})
	t.Cleanup(silentAgent.Close)
	var members []string
	for i, addr := range addrs {
		members = append(members, testpeer.EncodeMember(string(rune('a'+i)), addr, "Ready"))
	}
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"seed":"7","limits":%s,"known":%s,"settings":%s}`,
		silentAgent.Listener.Addr(), limits, testpeer.EncodeMembers(1, true, members...), platformSettings)
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
		Sidecar:          s,
		platformConfig:   c,
		addr:             l.frontendListener.Addr().String(),
		frontendListener: l.frontendListener,
		frontend:         l.frontend,
		loop:             p.loop,
		upstream:         p.upstream,
		pool:             p,
		terminate:        terminate,
		serveResult:      serveResult,
	}
}

// serveUntilCleanup runs Serve until terminate is called or the test ends. serveResult receives the error of Serve and is
// then closed; an error that the test does not receive itself fails the test.
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

// newRequest returns a request as the platform's clients send it, with a deadline in milliseconds. A request of the class
// book has an idempotency key.
func (s *platformSidecar) newRequest(t *testing.T, method, path, id string, deadlineMs int) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Req-Id", id)
	r.Header.Set("Req-Deadline-Ms", fmt.Sprint(deadlineMs))
	if strings.HasPrefix(path, "/book") {
		r.Header.Set("Idempotency-Key", "key-"+id)
	}
	return r
}

// send sends a request on a connection of its own, and returns the status, body and headers of the response.
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

// sendKeepingOpen sends a request on a new connection, reads the response and leaves the connection open.
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

// updateList passes an endpoint list to the pool's event loop, as discovery does, and returns when the list is applied.
func (s *platformSidecar) updateList(t *testing.T, text string) {
	t.Helper()
	list, err := discovery.ParseListUpdate([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.pool.updateEndpoints(list)
}

// startDiscovery starts a fake discovery agent that responds to each call with the next element of responses, and sends
// each call to the channel calls.
func startDiscovery(t *testing.T, responses ...string) (addr string, calls chan string) {
	t.Helper()
	agent := &testpeer.ScriptedAgent{Responses: responses, Queries: make(chan string, 100)}
	server := httptest.NewServer(agent)
	t.Cleanup(func() {
		server.CloseClientConnections() // a watch may still be open
		server.Close()
	})
	return server.Listener.Addr().String(), agent.Queries
}

// newBlockingEndpoint starts an endpoint that reports the arrival of each request, and responds once release is closed.
func newBlockingEndpoint(t *testing.T) (e *testpeer.Endpoint, arrived <-chan bool, release chan bool) {
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
