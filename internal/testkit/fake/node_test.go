package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/testpeer"
)

const (
	readClass = iota
	keyedClass
)

var classes = []Class{
	readClass:  {"look", invariant.Safe, 0, 3 * time.Second},
	keyedClass: {"book", invariant.IdempotencyKeyed, 200 * time.Millisecond, 3 * time.Second},
}

// Whatever a fake starts must end with it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// nodeFixture is a node, and what it takes to send requests to it.
type nodeFixture struct {
	*Node
	registry     *Registry
	recorder     *Recorder
	requestCount int
}

func newNodeFixture(t *testing.T, change func(*NodeSpec)) *nodeFixture {
	t.Helper()
	spec := NodeSpec{ID: "n1", Cores: 1, Speed: 1, Slots: 1, QueueLimit: 1}
	if change != nil {
		change(&spec)
	}
	f := &nodeFixture{registry: &Registry{}, recorder: NewRecorder(time.Now(), 10000)}
	f.Node = NewNode(spec, classes, NewCell(200*time.Millisecond), f.registry, f.recorder, 1)
	if _, err := f.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	return f
}

// write registers a request and sends it on a connection.
func (f *nodeFixture) write(t *testing.T, nc net.Conn, class int, key string, work time.Duration) (id string) {
	t.Helper()
	f.requestCount++
	id = fmt.Sprint("r", f.requestCount)
	f.registry.register(id, registeredRequest{job: &Job{Work: work}, class: class, key: key})
	if _, err := io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: "+id+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return id
}

func (f *nodeFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetReadDeadline(time.Now().Add(testpeer.Patience))
	return nc
}

func read(t *testing.T, nc net.Conn) (status int, rejected bool, body string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Srv-Declined") == "1", string(text)
}

// count is the number of events of a kind for a request; an empty ID stands for all.
func (f *nodeFixture) count(kind invariant.Kind, id string) (n int) {
	events, _ := f.recorder.Events()
	for _, e := range events {
		if e.Kind == kind && (id == "" || e.Request == id) {
			n++
		}
	}
	return n
}

func TestNodeServesRequestsOnOneConnection(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	for range 3 { // on one connection
		id := f.write(t, nc, readClass, "", time.Millisecond)
		if status, _, body := read(t, nc); status != 200 || body != id+" n1\n" {
			t.Errorf("%d %q", status, body)
		}
		if f.count(invariant.AttemptReceived, id) != 1 || f.count(invariant.EffectStarted, id) != 1 || f.count(invariant.AttemptCompleted, id) != 1 ||
			f.count(invariant.AttemptAborted, id) != 0 {
			t.Error("the timeline is not that of one served request")
		}
	}
	if f.OpenedConnections() != 1 {
		t.Errorf("%d connections", f.OpenedConnections())
	}
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: ghost\r\n\r\n")
	if status, _, _ := read(t, nc); status != 400 || f.count(invariant.AttemptReceived, "ghost") != 1 {
		t.Errorf("unknown ID: %d", status)
	}
}

func TestNodeWithoutFreeSlotRejects(t *testing.T) {
	f := newNodeFixture(t, nil) // one slot, one request may wait
	var lines []net.Conn
	for range 2 {
		nc := f.dial(t)
		lines = append(lines, nc)
		n := f.count(invariant.AttemptReceived, "")
		f.write(t, nc, readClass, "", 300*time.Millisecond)
		testpeer.Until(t, "received", func() bool { return f.count(invariant.AttemptReceived, "") > n })
		testpeer.Until(t, "in flight", func() bool { return f.InFlight() > n })
	}
	third := f.dial(t)
	testpeer.Until(t, "one request waits", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.incarnation.slots.mu.Lock()
		defer f.incarnation.slots.mu.Unlock()
		return len(f.incarnation.slots.waiters) == 1
	})
	id := f.write(t, third, readClass, "", time.Millisecond)
	if status, rejected, _ := read(t, third); status != 503 || !rejected || f.count(invariant.AttemptRejected, id) != 1 ||
		f.count(invariant.EffectStarted, id) != 0 {
		t.Errorf("%d, rejected %v", status, rejected)
	}
	for _, nc := range lines {
		if status, _, _ := read(t, nc); status != 200 {
			t.Errorf("accepted request: %d", status)
		}
	}
}

func TestDrainingNodeFinishesRequestsAndRejectsNewOnes(t *testing.T) {
	f := newNodeFixture(t, func(s *NodeSpec) { s.Slots = 5 })
	first, second := f.dial(t), f.dial(t)
	id := f.write(t, first, readClass, "", 50*time.Millisecond)
	testpeer.Until(t, "begun", func() bool { return f.count(invariant.EffectStarted, id) == 1 })
	f.Drain()
	f.write(t, second, readClass, "", time.Millisecond)
	if status, rejected, _ := read(t, second); status != 503 || !rejected {
		t.Errorf("new request: %d, rejected %v", status, rejected)
	}
	if status, _, _ := read(t, first); status != 200 {
		t.Errorf("request in flight: %d", status)
	}
}

func TestRequestsOnExcessConnectionsAreRejected(t *testing.T) {
	f := newNodeFixture(t, func(s *NodeSpec) { s.MaxConnections = 1 })
	first := f.dial(t)
	f.write(t, first, readClass, "", time.Millisecond)
	read(t, first)
	second := f.dial(t)
	f.write(t, second, readClass, "", time.Millisecond)
	if status, rejected, _ := read(t, second); status != 503 || !rejected {
		t.Errorf("%d, rejected %v", status, rejected)
	}
	if rest, err := io.ReadAll(second); err != nil || len(rest) > 0 {
		t.Errorf("the connection stays open: %q, %v", rest, err)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	f := newNodeFixture(t, func(s *NodeSpec) { s.IdleTimeout = 30 * time.Millisecond })
	nc := f.dial(t)
	f.write(t, nc, readClass, "", 60*time.Millisecond) // a request in flight is not idle time
	if status, _, _ := read(t, nc); status != 200 {
		t.Errorf("%d", status)
	}
	if rest, err := io.ReadAll(nc); err != nil || len(rest) > 0 {
		t.Errorf("idle connection: %q, %v", rest, err)
	}
	if f.count(invariant.AttemptAborted, "") != 0 {
		t.Error("the close is recorded as one by the client")
	}
}

func TestDuplicatesWithinTheWindowAreDropped(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	began := func(id string) (effects, repeats int) {
		events, _ := f.recorder.Events()
		for _, e := range events {
			if e.Kind == invariant.EffectStarted && e.Request == id && e.Duplicate {
				repeats++
			} else if e.Kind == invariant.EffectStarted && e.Request == id {
				effects++
			}
		}
		return
	}
	for i, row := range []struct {
		class   int
		key     string
		repeats int
	}{{keyedClass, "k", 0}, {keyedClass, "k", 1}, {keyedClass, "l", 0}, {readClass, "k", 0}} {
		id := f.write(t, nc, row.class, row.key, time.Millisecond)
		read(t, nc)
		if effects, repeats := began(id); repeats != row.repeats || effects != 1-row.repeats {
			t.Errorf("request %d: %d effects, %d duplicates", i, effects, repeats)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := NewCell(time.Second)
		c.isDuplicate("k", time.Now())
		time.Sleep(time.Second)
		if !c.isDuplicate("k", time.Now()) {
			t.Error("key forgotten at the end of the window")
		}
		time.Sleep(time.Nanosecond)
		if c.isDuplicate("k", time.Now()) {
			t.Error("key remembered after the window")
		}
		for i := range 1000 {
			time.Sleep(10 * time.Millisecond)
			c.isDuplicate(fmt.Sprint(i), time.Now())
		}
		if len(c.seenAt) > 202 {
			t.Errorf("%d keys held for two windows of 100", len(c.seenAt))
		}
	})
}

func TestClientDepartureIsRecordedAndDoesNotStopTheRequest(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	id := f.write(t, nc, readClass, "", 50*time.Millisecond)
	testpeer.Until(t, "begun", func() bool { return f.count(invariant.EffectStarted, id) == 1 })
	nc.Close()
	testpeer.Until(t, "drop recorded", func() bool { return f.count(invariant.AttemptAborted, id) == 1 })
	testpeer.Until(t, "request completed", func() bool { return f.count(invariant.AttemptCompleted, id) == 1 })
}

func TestNodeFaultsHangResetAndSlow(t *testing.T) {
	f := newNodeFixture(t, nil)
	f.SetHangFraction(1)
	nc := f.dial(t)
	id := f.write(t, nc, readClass, "", time.Millisecond)
	testpeer.Until(t, "received", func() bool { return f.count(invariant.AttemptReceived, id) == 1 })
	nc.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := nc.Read(make([]byte, 1)); err == nil || f.count(invariant.EffectStarted, id) != 0 {
		t.Errorf("hang fault: %v", err)
	}
	nc.Close()
	testpeer.Until(t, "dropped", func() bool { return f.count(invariant.AttemptAborted, id) == 1 })
	f.SetHangFraction(0)
	f.SetResetFraction(1)
	nc = f.dial(t)
	id = f.write(t, nc, readClass, "", time.Millisecond)
	if _, err := nc.Read(make([]byte, 1)); err == nil || f.count(invariant.EffectStarted, id) != 1 {
		t.Errorf("reset fault: %v", err)
	}
	f.SetResetFraction(0)
	f.SetSlowdown(4)
	nc = f.dial(t)
	began := time.Now()
	f.write(t, nc, readClass, "", 50*time.Millisecond)
	if status, _, _ := read(t, nc); status != 200 || time.Since(began) < 200*time.Millisecond {
		t.Errorf("slowdown by 4: %d after %v", status, time.Since(began))
	}
}

func TestCrashResetsConnectionsAndRestartKeepsTheAddress(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	f.write(t, nc, readClass, "", time.Minute)
	testpeer.Until(t, "begun", func() bool { return f.count(invariant.EffectStarted, "") == 1 })
	addr := f.Addr
	f.Stop()
	if _, err := nc.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("not a reset: %v", err)
	}
	if nc, err := net.Dial("tcp", addr); err == nil {
		nc.Close()
		t.Error("the stopped node accepts connections")
	}
	if _, err := f.Start(true); err != nil || f.Addr != addr || !f.IsUp() {
		t.Errorf("%v, at %s, want %s", err, f.Addr, addr)
	}
}

// A request that was in a buffer when its node died must not be recorded: it would stay in flight for good in the timeline,
// and the next attempt would look like a concurrent one.
func TestRequestUnreadAtStopIsNotRecorded(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	f.mu.Lock()
	inc := f.incarnation
	f.mu.Unlock()
	f.registry.register("r1", registeredRequest{job: &Job{Work: time.Millisecond}, class: readClass})
	f.Stop()
	a := receivedRequest{id: "r1", isFirstOnConnection: true, responded: make(chan bool, 1)}
	if f.handle(&nodeConnection{Conn: nc, incarnation: inc}, a) || f.count(invariant.AttemptReceived, "") != 0 {
		t.Error("the request is recorded")
	}
}

func TestStartOnAnOccupiedPortNamesTheNode(t *testing.T) {
	f := newNodeFixture(t, nil)
	f.Stop()
	l, err := net.Listen("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := f.Start(true); err == nil || !strings.Contains(err.Error(), "n1") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
}
