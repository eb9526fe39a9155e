package frontend

import (
	"bufio"
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

// testProxy is a Server with a Listener, an event loop with the real module and the endpoints' side.
type testProxy struct {
	addr     string
	server   *Server
	loop     *eventloop.Loop
	upstream *upstream.Client
	dials    chan string // the address of each dial, as far as there is room
}

// proxyOptions are what tests set of a testProxy.
type proxyOptions struct {
	mayCancel  bool             // requests that were forwarded may be cancelled
	bodyMemory *body.MemoryPool // nil: bodies are buffered
	beforeDial func()           // runs before each dial; nil: nothing does

	configure      func(*Options) // changes the Server's options; nil: nothing does
	configureClass func(*Class)   // changes each class; nil: nothing does
}

// idempotencyWindow is how long endpoints drop duplicates of a request with an idempotency key.
const idempotencyWindow = 300 * time.Millisecond

var testClasses = []balance.Class{
	{Name: "look", LatencyObjective: time.Second},
	{Name: "book", Idempotency: balance.IdempotencyKey, DedupWindow: idempotencyWindow, LatencyObjective: time.Second},
	{Name: "pay", Idempotency: balance.NonIdempotent, LatencyObjective: time.Second},
}

// startProxy starts a testProxy for the endpoints a, b, ... at the given addresses. It ends with the test.
func startProxy(t *testing.T, options proxyOptions, addrs ...string) *testProxy {
	t.Helper()
	p := &testProxy{dials: make(chan string, 100)}
	log := slog.New(slog.DiscardHandler)
	pace := body.MinimumRate{IdleTimeout: testpeer.Patience}
	p.upstream = upstream.New(upstream.Options{
		IdleTimeout:    time.Minute,
		Pool:           options.bodyMemory,
		MinimumRate:    pace,
		DialTimeout:    testpeer.Patience,
		MaxConnections: 200,
		OnlyOK:         true,
		Connect:        p.dialer(options.beforeDial),
	})
	settings := balance.Settings{Seed: 7, CanCancel: options.mayCancel, MaxAttempts: 4, Classes: testClasses}
	p.loop = eventloop.New(eventloop.NewBalancer, settings, p.upstream, func() {}, log)
	p.loop.UpdateEndpoints(p.loop.Now(), listUpdate(t, "Ready", addrs))

	figures := &metrics.Registry{}
	current := &ActiveRouteConfig{}
	current.Swap(testRoutes(t, p.loop, figures, options.configureClass))
	serverOptions := Options{
		MaxHeaderBytes: 16 << 10,
		MaxBodyBytes:   1 << 20,
		HeadTimeout:    testpeer.Patience,
		BodyTimeout:    testpeer.Patience,
		WriteTimeout:   testpeer.Patience,
		BodyMemory:     options.bodyMemory,
		MinRate:        pace,
		Metrics:        figures,
		Raw:            true,
	}
	if options.configure != nil {
		options.configure(&serverOptions)
	}
	p.server = NewServer(serverOptions, current, log)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = socket.Addr().String()
	listener := NewListener(NewLimitListener(socket, 1000), 1000, testpeer.Patience)
	server := p.server.HTTPServer(listener.Track)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.loop.Run(ctx) })
	running.Go(func() { p.upstream.Run(ctx) })
	running.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() { server.Close(); stop(); running.Wait() })
	return p
}

// dialer returns a dial that notes its address in dials.
func (p *testProxy) dialer(beforeDial func()) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		select {
		case p.dials <- addr:
		default:
		}
		if beforeDial != nil {
			beforeDial()
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}
}

// testRoutes routes /look, /book and /pay as the classes of these names.
func testRoutes(t *testing.T, pool *eventloop.Loop, figures *metrics.Registry, configure func(*Class)) *RouteConfig {
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
			Metrics:          figures.Class(c.Name),
		}
		if configure != nil {
			configure(class)
		}
		rules = append(rules, route.Rule{Name: c.Name, Kind: route.Prefix, Path: "/" + c.Name})
		routes.Targets = append(routes.Targets, Target{Pool: pool, Class: class})
	}
	var err error
	if routes.Table, err = route.New(rules); err != nil {
		t.Fatal(err)
	}
	return routes
}

// listUpdate is a complete endpoint list, all of whose endpoints are in one state.
func listUpdate(t *testing.T, state string, addrs []string) discovery.ListUpdate {
	t.Helper()
	var entries []string
	for i, addr := range addrs {
		entries = append(entries, testpeer.Member(string(rune('a'+i)), addr, state))
	}
	update, err := discovery.ParseListUpdate([]byte(testpeer.Members(1, true, entries...)))
	if err != nil {
		t.Fatal(err)
	}
	return update
}

// requestText is a request as clients send it, with a deadline of 10 s.
func requestText(class, id, content string) string {
	return requestTextWithin(class, id, content, 10*time.Second)
}

func requestTextWithin(class, id, content string, deadline time.Duration) string {
	method, extra := "GET", ""
	if class != "look" {
		method, extra = "POST", "Content-Length: "+strconv.Itoa(len(content))+"\r\n"
	}
	if class == "book" {
		extra += "Idempotency-Key: k" + id + "\r\n"
	}
	return method + " /" + class + " HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\n" +
		"Req-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n" + extra + "\r\n" + content
}

// dialClient opens a client's connection, which is closed with the test.
func (p *testProxy) dialClient(t *testing.T) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*net.TCPConn)
}

// status sends a request on a new connection and returns the status of the response; 0: there was none.
func (p *testProxy) status(t *testing.T, request string) int {
	t.Helper()
	client := p.dialClient(t)
	io.WriteString(client, request)
	return responseStatus(client)
}

// responseStatus reads a response's head and returns its status; 0: there was none.
func responseStatus(client net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// awaitDial waits until an attempt dials.
func (p *testProxy) awaitDial(t *testing.T) {
	t.Helper()
	select {
	case <-p.dials:
	case <-time.After(testpeer.Patience):
		t.Fatal("nothing is dialed")
	}
}

// awaitNoCalls waits until the event loop holds no call any more.
func (p *testProxy) awaitNoCalls(t *testing.T) {
	t.Helper()
	testpeer.Until(t, "the event loop holds no call", func() bool {
		calls, _ := p.resourceCounts()
		return calls == 0
	})
}

// resourceCounts returns how many calls and timers the event loop holds.
func (p *testProxy) resourceCounts() (calls, timers int) {
	counted := make(chan struct{})
	p.loop.Post(func(time.Duration) {
		defer close(counted)
		pending, _, events, scheduled := p.loop.ResourceCounts()
		calls, timers = pending+events, scheduled
	})
	<-counted
	return calls, timers
}

// disconnect ends a client's connection by FIN or by RST.
func disconnect(client *net.TCPConn, byReset bool) {
	if byReset {
		_ = client.SetLinger(0)
	}
	client.Close()
}
