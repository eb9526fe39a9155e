package frontend

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/discovery"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/route"
	"tuliprock/internal/testkit/testpeer"
	"tuliprock/internal/upstream"
)

// testProxy is a Server with a Listener, an event loop with the real balancer, and a client for the endpoints.
type testProxy struct {
	addr        string
	server      *Server
	loop        *eventloop.Loop
	upstream    *upstream.Client
	listener    *Listener
	dialedAddrs chan string // addresses that were dialed; while the channel's buffer is full, further addresses are dropped
}

// proxyOptions configures a testProxy. With the zero value all bodies are buffered, and the balancer never cancels an attempt.
type proxyOptions struct {
	canCancel  bool             // the balancer may cancel attempts
	bodyMemory *body.MemoryPool // memory for bodies; nil turns streaming off, so that all bodies are buffered
	beforeDial func()           // called before each dial of an endpoint, if not nil

	maxConnections  int // number of clients' connections beyond which connections are evicted; 0: 1000
	sendBufferBytes int // size of the send buffers of clients' connections; 0: the system's

	configure      func(*Options) // changes the options of the Server, if not nil
	configureClass func(*Class)   // changes each class, if not nil
}

// idempotencyWindow is how long endpoints drop duplicates of a request with an idempotency key.
const idempotencyWindow = 300 * time.Millisecond

// testClasses has a class for each kind of idempotency: requests of look are idempotent, those of book have idempotency keys, and
// those of pay are non-idempotent.
var testClasses = []balance.Class{
	{Name: "look", LatencyObjective: time.Second},
	{Name: "book", Idempotency: balance.IdempotencyKey, DedupWindow: idempotencyWindow, LatencyObjective: time.Second},
	{Name: "pay", Idempotency: balance.NonIdempotent, LatencyObjective: time.Second},
}

// startProxy starts a testProxy for endpoints with the ids a, b and so on at the given addresses. The proxy ends with the test.
func startProxy(t *testing.T, options proxyOptions, addrs ...string) *testProxy {
	t.Helper()
	p := &testProxy{dialedAddrs: make(chan string, 100)}
	log := slog.New(slog.DiscardHandler)
	minimumRate := body.MinimumRate{IdleTimeout: testpeer.Timeout}
	p.upstream = upstream.New(upstream.Options{
		IdleTimeout:        time.Minute,
		BodyMemory:         options.bodyMemory,
		MinimumRate:        minimumRate,
		DialTimeout:        testpeer.Timeout,
		MaxConnections:     200,
		AcceptOnlyStatusOK: true,
		Connect:            p.dialer(options.beforeDial),
	})
	settings := balance.Settings{Seed: 7, CanCancel: options.canCancel, MaxAttempts: 4, Classes: testClasses}
	p.loop = eventloop.New(eventloop.NewBalancer, settings, p.upstream, func() {}, log)
	p.loop.UpdateEndpoints(p.loop.Now(), listUpdate(t, "Ready", addrs))

	registry := &metrics.Registry{}
	activeRoutes := &ActiveRouteConfig{}
	activeRoutes.Swap(testRoutes(t, p.loop, registry, options.configureClass))
	serverOptions := Options{
		MaxHeaderBytes:    16 << 10,
		MaxBodyBytes:      1 << 20,
		HeadTimeout:       testpeer.Timeout,
		BodyTimeout:       testpeer.Timeout,
		WriteTimeout:      testpeer.Timeout,
		BodyMemory:        options.bodyMemory,
		MinRate:           minimumRate,
		Metrics:           registry,
		ForwardsUnchanged: true,
	}
	if options.configure != nil {
		options.configure(&serverOptions)
	}
	p.server = NewServer(serverOptions, activeRoutes, log)
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = tcpListener.Addr().String()
	if options.sendBufferBytes > 0 {
		tcpListener = smallBufferListener{tcpListener, options.sendBufferBytes}
	}
	maxConnections := cmp.Or(options.maxConnections, 1000)
	listener := NewListener(NewLimitListener(tcpListener, maxConnections+2), maxConnections, testpeer.Timeout)
	p.listener = listener
	server := p.server.HTTPServer(listener.Track)
	ctx, stop := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { p.loop.Run(ctx) })
	goroutines.Go(func() { p.upstream.Run(ctx) })
	goroutines.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() { server.Close(); stop(); goroutines.Wait() })
	return p
}

// smallBufferListener is a listener whose connections have send buffers of a fixed size.
type smallBufferListener struct {
	net.Listener
	sendBufferBytes int
}

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(l.sendBufferBytes)
	}
	return conn, err
}

// dialer returns a dial function that sends the address to dialedAddrs and then calls beforeDial.
func (p *testProxy) dialer(beforeDial func()) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		select {
		case p.dialedAddrs <- addr:
		default:
		}
		if beforeDial != nil {
			beforeDial()
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
}

// testRoutes returns a configuration that routes requests for /look, /book and /pay, each as the class of the same name.
func testRoutes(t *testing.T, pool *eventloop.Loop, registry *metrics.Registry, configure func(*Class)) *RouteConfig {
	t.Helper()
	routes := &RouteConfig{}
	var rules []route.Rule
	for _, c := range testClasses {
		class := &Class{
			Name:             c.Name,
			Idempotency:      c.Idempotency,
			IDHeader:         "Req-Id",
			KeyHeader:        "Idempotency-Key",
			DeadlineHeader:   "Req-Deadline-Ms",
			RequiresID:       true,
			RequiresDeadline: true,
			MaxDeadline:      time.Hour,
			Metrics:          registry.Class(c.Name),
		}
		if configure != nil {
			configure(class)
		}
		rules = append(rules, route.Rule{Name: c.Name, Kind: route.Prefix, Path: "/" + c.Name})
		routes.Targets = append(routes.Targets, Target{Loop: pool, Class: class})
	}
	var err error
	if routes.Table, err = route.New(rules); err != nil {
		t.Fatal(err)
	}
	return routes
}

// listUpdate returns a complete endpoint list with endpoints at the given addresses, all in the same state.
func listUpdate(t *testing.T, state string, addrs []string) discovery.ListUpdate {
	t.Helper()
	var entries []string
	for i, addr := range addrs {
		entries = append(entries, testpeer.EncodeMember(string(rune('a'+i)), addr, state))
	}
	update, err := discovery.ParseListUpdate([]byte(testpeer.EncodeMembers(1, true, entries...)))
	if err != nil {
		t.Fatal(err)
	}
	return update
}

// requestText returns the bytes of a client's request of the given class, with a deadline header of 10 s.
func requestText(class, id, content string) string {
	return requestTextWithDeadline(class, id, content, 10*time.Second)
}

// requestTextWithDeadline returns the bytes of a client's request of the given class. deadline is the value of its deadline header.
func requestTextWithDeadline(class, id, content string, deadline time.Duration) string {
	method, headers := "GET", ""
	if class != "look" {
		method, headers = "POST", "Content-Length: "+strconv.Itoa(len(content))+"\r\n"
	}
	if class == "book" {
		headers += "Idempotency-Key: k" + id + "\r\n"
	}
	return method + " /" + class + " HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\n" +
		"Req-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n" + headers + "\r\n" + content
}

// dialClient opens a client's connection, which is closed when the test ends.
func (p *testProxy) dialClient(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// sendRequest sends a request on a new connection and returns the status of the response, or 0 if there is none.
func (p *testProxy) sendRequest(t *testing.T, request string) int {
	t.Helper()
	client := p.dialClient(t)
	io.WriteString(client, request)
	return readStatus(client)
}

// readStatus reads the head of a response and returns its status, or 0 if there is none.
func readStatus(client net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// awaitDial waits until an attempt dials its endpoint.
func (p *testProxy) awaitDial(t *testing.T) {
	t.Helper()
	select {
	case <-p.dialedAddrs:
	case <-time.After(testpeer.Timeout):
		t.Fatalf("no endpoint was dialed within %v", testpeer.Timeout)
	}
}

// awaitNoCalls waits until the event loop holds no calls, that is, no unfinished requests.
func (p *testProxy) awaitNoCalls(t *testing.T) {
	t.Helper()
	testpeer.Eventually(t, "the event loop holds no calls", func() bool {
		calls, _ := p.resourceCounts()
		return calls == 0
	})
}

// resourceCounts returns the number of calls and deferred events together, and the number of timers, that the event loop holds.
func (p *testProxy) resourceCounts() (calls, timers int) {
	counted := make(chan struct{})
	p.loop.Post(func(time.Duration) {
		defer close(counted)
		loopCalls, _, events, loopTimers := p.loop.ResourceCounts()
		calls, timers = loopCalls+events, loopTimers
	})
	<-counted
	return calls, timers
}

// disconnect closes a client's connection by RST if byReset is true, and by FIN otherwise.
func disconnect(client *net.TCPConn, byReset bool) {
	if byReset {
		_ = client.SetLinger(0)
	}
	client.Close()
}
