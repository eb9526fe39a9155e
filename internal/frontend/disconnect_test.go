package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/discovery"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/route"
	"tuliprock/internal/testkit/testpeer"
	"tuliprock/internal/upstream"
)

// crossing is the callers' side, a loop with the real module and the endpoints' side, whose dials wait at a gate.
type crossing struct {
	addr     string
	loop     *eventloop.Loop
	upstream *upstream.Client
	dials    chan string // dials report their addresses here, as far as there is room
}

const keyedWindow = 300 * time.Millisecond

var crossingClasses = []balance.Class{{Name: "look", Aim: time.Second}, {Name: "book", Effect: balance.Keyed, Window: keyedWindow, Aim: time.Second},
	{Name: "pay", Effect: balance.Unsafe, Aim: time.Second}}

// cross starts a crossing before the endpoints a, b, ... Each dial passes the gate before it begins; nil: it waits for nothing.
func cross(t *testing.T, mayCancel bool, bodies *body.Pool, gate func(), addrs ...string) *crossing {
	t.Helper()
	x := &crossing{dials: make(chan string, 100)}
	pace := body.Pace{Idle: testpeer.Patience}
	u := upstream.New(upstream.Options{Idle: time.Minute, Pool: bodies, Pace: pace, Dial: testpeer.Patience, Most: 200, OnlyOK: true, Connect: func(ctx context.Context, network, addr string) (net.Conn, error) {
		select {
		case x.dials <- addr:
		default:
		}
		if gate != nil {
			gate()
		}
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}})
	log := slog.New(slog.DiscardHandler)
	x.loop = eventloop.New(eventloop.Module, balance.Settings{Seed: 7, MayCancel: mayCancel, MaxAttempts: 4, Classes: crossingClasses}, u, func() {}, log)
	x.upstream = u
	x.loop.UpdateEndpoints(x.loop.Now(), listOf(t, "Ready", addrs))
	figures := &metrics.Registry{}
	service := &Service{}
	var rules []route.Rule
	for _, c := range crossingClasses {
		class := &Class{Name: c.Name, Effect: c.Effect, IDHeader: "Req-Id", KeyHeader: "Idempotency-Key", DeadlineHeader: "Req-Deadline-Ms", MustHaveID: true, MustHaveDeadline: true,
			DeadlineMost: time.Hour, Figures: figures.Class(c.Name)}
		rules = append(rules, route.Rule{Name: c.Name, Kind: route.Prefix, Path: "/" + c.Name})
		service.Targets = append(service.Targets, Target{Pool: x.loop, Class: class})
	}
	var err error
	if service.Table, err = route.New(rules); err != nil {
		t.Fatal(err)
	}
	current := &Current{}
	current.Swap(service)
	s := New(Options{Head: 16 << 10, Body: 1 << 20, HeadTimeout: testpeer.Patience, BodyTimeout: testpeer.Patience, WriteTimeout: testpeer.Patience, Pool: bodies, Pace: pace,
		Figures: figures, Raw: true}, current, log)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	x.addr = socket.Addr().String()
	listener := NewListener(Limit(socket, 1000), 1000, testpeer.Patience)
	server := s.HTTP(listener.Track)
	ctx, stop := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { x.loop.Run(ctx) })
	parts.Go(func() { u.Run(ctx) })
	parts.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() { server.Close(); stop(); parts.Wait() })
	return x
}

func listOf(t *testing.T, state string, addrs []string) discovery.ListUpdate {
	t.Helper()
	var entries []string
	for i, addr := range addrs {
		entries = append(entries, testpeer.Member(string(rune('a'+i)), addr, state))
	}
	m, err := discovery.ParseListUpdate([]byte(testpeer.Members(1, true, entries...)))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// text is a request as clients write it.
func text(class, id, body string) string { return textWithin(class, id, body, 10*time.Second) }

func textWithin(class, id, body string, deadline time.Duration) string {
	method, extra := "GET", ""
	if class != "look" {
		method, extra = "POST", "Content-Length: "+strconv.Itoa(len(body))+"\r\n"
	}
	if class == "book" {
		extra += "Idempotency-Key: k" + id + "\r\n"
	}
	return method + " /" + class + " HTTP/1.1\r\nHost: h\r\nReq-Id: " + id + "\r\nReq-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n" + extra + "\r\n" + body
}

func (x *crossing) client(t *testing.T) *net.TCPConn {
	t.Helper()
	nc, err := net.Dial("tcp", x.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc.(*net.TCPConn)
}

// status is what a client that stays is answered; 0: nothing.
func (x *crossing) status(t *testing.T, request string) int {
	t.Helper()
	nc := x.client(t)
	io.WriteString(nc, request)
	return answered(nc)
}

func answered(nc net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// dialed waits until an attempt wants a connection.
func (x *crossing) dialed(t *testing.T) {
	t.Helper()
	select {
	case <-x.dials:
	case <-time.After(testpeer.Patience):
		t.Fatal("no connection is wanted")
	}
}

// settled waits until the loop holds no call any more.
func (x *crossing) settled(t *testing.T) {
	t.Helper()
	testpeer.Until(t, "the loop holds nothing", func() bool {
		calls, _ := x.held()
		return calls == 0
	})
}

// held is how many calls and timers the loop holds.
func (x *crossing) held() (calls, timers int) {
	held := make(chan [2]int, 1)
	x.loop.Post(func(time.Duration) {
		calls, _, later, timers := x.loop.ResourceCounts()
		held <- [2]int{calls + later, timers}
	})
	h := <-held
	return h[0], h[1]
}

// hangUp ends a client's connection, by FIN or by RST.
func hangUp(nc *net.TCPConn, rst bool) {
	if rst {
		_ = nc.SetLinger(0)
	}
	nc.Close()
}

// A request whose client leaves while its attempt waits for a connection is not written when that comes up, though net/http does not
// see the end: bytes may stand behind the request, or nobody reads on what stands between a long one's beginning and its end. It may
// be whole there; who only ended its sending learns if it is not. The connection that came up serves the next.
func TestNothingIsWrittenForAClientThatLeft(t *testing.T) {
	long := strings.Repeat("x", body.Window+1<<10)
	for _, class := range []string{"look", "book", "pay"} {
		short := text(class, "r1", "")
		sent := map[string][2]string{"short": {short}, "a stray line end behind": {short, "\r\n"}, "another request behind": {short, text(class, "next", "")}}
		if class != "look" {
			sent["long"], sent["long, without its end"] = [2]string{text(class, "r1", long)}, [2]string{strings.TrimSuffix(text(class, "r1", long), "x")}
		}
		for name, request := range sent {
			for _, how := range []string{"FIN", "RST", "ends its sending"} {
				t.Run(fmt.Sprintf("%s, %s, %s", class, name, how), func(t *testing.T) {
					var wrote atomic.Int64 // to the endpoint, in whatever pieces
					e := testpeer.Accept(t, func(nc net.Conn) {
						defer nc.Close()
						for b := make([]byte, 1<<10); ; io.WriteString(nc, testpeer.Served) {
							n, err := nc.Read(b)
							if wrote.Add(int64(n)); err != nil {
								return
							}
						}
					})
					open := make(chan struct{})
					x := cross(t, false, body.NewPool(1<<20), func() { <-open }, e.Addr().String())
					nc := x.client(t)
					io.WriteString(nc, request[0])
					x.dialed(t)
					io.WriteString(nc, request[1])
					if how == "ends its sending" {
						_ = nc.CloseWrite()
					} else {
						hangUp(nc, how == "RST")
					}
					close(open)
					x.settled(t)
					if n := wrote.Load(); n != 0 {
						t.Errorf("%d bytes came to the endpoint", n)
					}
					want := map[bool]int{true: http.StatusBadRequest}[name == "long, without its end"]
					if got := answered(nc); how == "ends its sending" && got != want {
						t.Errorf("answered %d, want %d (0: nothing)", got, want)
					}
					if got := x.status(t, text(class, "r2", "")); got != http.StatusOK || len(x.dials) > 0 {
						t.Errorf("one that stays: %d, %d more connections were wanted", got, len(x.dials))
					}
				})
			}
		}
	}
}

// A request that waits for memory is refused before its own time is up, and not when a body's is.
func TestNobodyWaitsForMemoryBeyondItsOwnTime(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	pool := body.NewPool(body.Window)
	x := cross(t, false, pool, nil, e.Addr)
	if err := pool.Take(t.Context(), body.Size{Bytes: body.Window}); err != nil {
		t.Fatal(err)
	}
	nc := x.client(t)
	began := time.Now()
	io.WriteString(nc, textWithin("pay", "r1", "small", 200*time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if took := time.Since(began); err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || took > testpeer.Patience/2 {
		t.Errorf("%v, %v after %v", resp, err, took)
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests came to the endpoint", n)
	}
}

// What was written before the client left is not called off where settings forbid that: its answer is waited for, and its
// connection stays.
func TestWhatWasWrittenIsNotCalledOff(t *testing.T) {
	came, answer := make(chan bool), make(chan bool)
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		if n == 1 {
			came <- true
			<-answer
		}
		io.WriteString(nc, testpeer.Served)
		return true
	})
	x := cross(t, false, nil, nil, e.Addr)
	nc := x.client(t)
	io.WriteString(nc, text("pay", "r1", ""))
	<-came
	hangUp(nc, false)
	close(answer)
	x.settled(t)
	if got := x.status(t, text("pay", "r2", "")); got != http.StatusOK || e.Connections.Load() != 1 {
		t.Errorf("%d, %d connections", got, e.Connections.Load())
	}
}

// An endpoint that is told off while a connection to it comes up gets nothing: the request goes where it may.
func TestNothingIsWrittenToAnEndpointToldOffMeanwhile(t *testing.T) {
	for _, state := range []string{"Terminating", "Gone"} {
		t.Run(state, func(t *testing.T) {
			e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
			open := make(chan struct{})
			x := cross(t, true, nil, func() { <-open }, e.Addr)
			nc := x.client(t)
			io.WriteString(nc, text("pay", "r1", ""))
			x.dialed(t)
			told := make(chan bool)
			x.loop.Post(func(now time.Duration) { x.loop.UpdateEndpoints(now, listOf(t, state, []string{e.Addr})); close(told) })
			<-told
			close(open)
			if got := answered(nc); got != http.StatusServiceUnavailable {
				t.Errorf("answered %d: want a refusal, it never ran", got)
			}
			if n := e.Requests.Load(); n != 0 {
				t.Errorf("%d requests came", n)
			}
		})
	}
}

// A keyed request that may have run is not written any more once nobody drops its repeats: the connection came up too late.
func TestAKeyedResendKeepsItsWindowUntilItIsWritten(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(net.Conn, *http.Request, int) bool { return false }) // a reset after the last byte
	var dials atomic.Int32
	open := make(chan struct{})
	x := cross(t, true, nil, func() {
		if dials.Add(1) > 1 {
			<-open
		}
	}, e.Addr)
	nc := x.client(t)
	began := time.Now()
	io.WriteString(nc, text("book", "r1", ""))
	x.dialed(t)
	x.dialed(t)
	testpeer.Until(t, "the window is over", func() bool { return time.Since(began) > keyedWindow+100*time.Millisecond })
	close(open)
	if got := answered(nc); got != http.StatusServiceUnavailable { // of group "all"
		t.Errorf("answered %d", got)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d requests came, the later ones after the window", n)
	}
}

// comings notes when each request came to an endpoint, by the kernel's clock: whoever reads may be late himself.
type comings struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (c *comings) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		info, err := socketTCPInfo(nc.(*net.TCPConn))
		if err != nil {
			return
		}
		at = at.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		c.mu.Lock()
		c.at[r.Header.Get("Req-Id")] = at
		c.mu.Unlock()
		io.WriteString(nc, testpeer.Served)
	}
}

// A handler that has seen its client go ends, and its connection with it: whoever asks the kernel just then must not take a closed
// connection for one of which nothing is known. Seen as 1 of 30,000 on a starved machine, sent 0.7 s after its client had left.
func TestNobodyIsHereOnAClosedConnection(t *testing.T) {
	c := acceptIdleConn(t).conn
	r, err := http.NewRequestWithContext(withConn(t.Context(), c), http.MethodGet, "/look", nil)
	if err != nil {
		t.Fatal(err)
	}
	if !isClientConnected(r) {
		t.Error("a client that waits is not here")
	}
	c.Close()
	if isClientConnected(r) {
		t.Error("somebody is here on a closed connection")
	}
}

// Clients leave by FIN and by RST, at random instants, while their requests wait for memory, in the module, for a dial or for a
// rest: nothing comes to an endpoint after the term, and nothing is left over. TULIPROCK_LEAVES sets how many leave of each class.
func TestThousandsLeaveWhileTheyWait(t *testing.T) {
	const term = 300 * time.Millisecond
	leaves := 500
	if text := os.Getenv("TULIPROCK_LEAVES"); text != "" {
		leaves, _ = strconv.Atoi(text)
	}
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // after all others
	c := &comings{at: map[string]time.Time{}}
	var addrs []string
	for range 3 {
		addrs = append(addrs, testpeer.Accept(t, c.serve).Addr().String())
	}
	slow := func() { <-time.After(time.Duration(rand.Float64() * float64(4*time.Millisecond))) } // a link, not a wait for an event
	x := cross(t, true, body.NewPool(256<<10), slow, addrs...)
	payload, long := strings.Repeat("x", 20<<10), strings.Repeat("x", body.Window+1)
	files := testpeer.Descriptors()
	var mu sync.Mutex
	left := map[string]time.Time{}
	for _, class := range []string{"look", "book", "pay"} {
		var clients sync.WaitGroup
		for w := range 32 {
			clients.Go(func() {
				for i := w; i < leaves; i += 32 {
					id := fmt.Sprint(class, i)
					nc, err := net.Dial("tcp", x.addr)
					if err != nil {
						t.Error(err)
						return
					}
					carries := ""
					if class != "look" {
						carries = []string{payload, "", payload, "", long, "", payload, ""}[i%8]
					}
					io.WriteString(nc, textWithin(class, id, carries, 2*time.Second)+[]string{"", "\r\n"}[i%2])
					<-time.After(time.Duration(rand.Float64() * float64(24*time.Millisecond))) // the instant of the leaving, drawn
					hangUp(nc.(*net.TCPConn), i%3 == 0)
					mu.Lock()
					left[id] = time.Now()
					mu.Unlock()
				}
			})
		}
		clients.Wait()
	}
	x.settled(t)
	testpeer.Until(t, "no timer is left but the module's next", func() bool { _, timers := x.held(); return timers <= 1 })
	testpeer.Until(t, "descriptors are back, but for idle connections to endpoints, which have both ends here", func() bool {
		_, idle := x.upstream.ResourceCounts()
		return testpeer.Descriptors() <= files+2*idle
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	late, never, worst := 0, 0, time.Duration(0)
	for id, at := range left {
		came, ok := c.at[id]
		switch after := came.Sub(at); {
		case !ok:
			never++
		case after > term:
			late++
			fallthrough
		default:
			worst = max(worst, after)
		}
	}
	t.Logf("%d left, %d of them reached no endpoint, the latest %v after its client left", len(left), never, worst)
	if late > 0 || never == 0 || never == len(left) {
		t.Errorf("%d came over %v after their clients had left; %d of %d never came", late, term, never, len(left))
	}
}
