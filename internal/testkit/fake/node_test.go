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
	desk *Registry
	rec  *Recorder
	n    int
}

func newNodeFixture(t *testing.T, change func(*NodeSpec)) *nodeFixture {
	t.Helper()
	spec := NodeSpec{ID: "n1", Cores: 1, Speed: 1, Slots: 1, QueueLimit: 1}
	if change != nil {
		change(&spec)
	}
	b := &nodeFixture{desk: &Registry{}, rec: NewRecorder(time.Now(), 10000)}
	b.Node = NewNode(spec, classes, NewCell(200*time.Millisecond), b.desk, b.rec, 1)
	if _, err := b.Start(false); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Stop)
	return b
}

// write registers a request and sends it on a connection.
func (b *nodeFixture) write(t *testing.T, nc net.Conn, class int, key string, work time.Duration) (id string) {
	t.Helper()
	b.n++
	id = fmt.Sprint("r", b.n)
	b.desk.register(id, registeredRequest{job: &Job{Work: work}, class: class, key: key})
	if _, err := io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: "+id+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return id
}

func (b *nodeFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", b.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetReadDeadline(time.Now().Add(testpeer.Timeout))
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
func (b *nodeFixture) count(kind invariant.Kind, id string) (n int) {
	events, _ := b.rec.Events()
	for _, e := range events {
		if e.Kind == kind && (id == "" || e.Request == id) {
			n++
		}
	}
	return n
}

func TestNodeServesRequestsOnOneConnection(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	for range 3 { // on one connection
		id := b.write(t, nc, readClass, "", time.Millisecond)
		if status, _, body := read(t, nc); status != 200 || body != id+" n1\n" {
			t.Errorf("%d %q", status, body)
		}
		if b.count(invariant.AttemptReceived, id) != 1 || b.count(invariant.EffectStarted, id) != 1 || b.count(invariant.AttemptCompleted, id) != 1 ||
			b.count(invariant.AttemptAborted, id) != 0 {
			t.Error("the timeline is not that of one served request")
		}
	}
	if b.OpenedConnections() != 1 {
		t.Errorf("%d connections", b.OpenedConnections())
	}
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: ghost\r\n\r\n")
	if status, _, _ := read(t, nc); status != 400 || b.count(invariant.AttemptReceived, "ghost") != 1 {
		t.Errorf("unknown ID: %d", status)
	}
}

func TestNodeWithoutFreeSlotRejects(t *testing.T) {
	b := newNodeFixture(t, nil) // one slot, one request may wait
	var lines []net.Conn
	for range 2 {
		nc := b.dial(t)
		lines = append(lines, nc)
		n := b.count(invariant.AttemptReceived, "")
		b.write(t, nc, readClass, "", 300*time.Millisecond)
		testpeer.Eventually(t, "received", func() bool { return b.count(invariant.AttemptReceived, "") > n })
		testpeer.Eventually(t, "in flight", func() bool { return b.InFlight() > n })
	}
	third := b.dial(t)
	testpeer.Eventually(t, "one request waits", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.incarnation.slots.mu.Lock()
		defer b.incarnation.slots.mu.Unlock()
		return len(b.incarnation.slots.queue) == 1
	})
	id := b.write(t, third, readClass, "", time.Millisecond)
	if status, rejected, _ := read(t, third); status != 503 || !rejected || b.count(invariant.AttemptRejected, id) != 1 ||
		b.count(invariant.EffectStarted, id) != 0 {
		t.Errorf("%d, rejected %v", status, rejected)
	}
	for _, nc := range lines {
		if status, _, _ := read(t, nc); status != 200 {
			t.Errorf("accepted request: %d", status)
		}
	}
}

func TestDrainingNodeFinishesRequestsAndRejectsNewOnes(t *testing.T) {
	b := newNodeFixture(t, func(s *NodeSpec) { s.Slots = 5 })
	first, second := b.dial(t), b.dial(t)
	id := b.write(t, first, readClass, "", 50*time.Millisecond)
	testpeer.Eventually(t, "begun", func() bool { return b.count(invariant.EffectStarted, id) == 1 })
	b.Drain()
	b.write(t, second, readClass, "", time.Millisecond)
	if status, rejected, _ := read(t, second); status != 503 || !rejected {
		t.Errorf("new request: %d, rejected %v", status, rejected)
	}
	if status, _, _ := read(t, first); status != 200 {
		t.Errorf("request in flight: %d", status)
	}
}

func TestRequestsOnExcessConnectionsAreRejected(t *testing.T) {
	b := newNodeFixture(t, func(s *NodeSpec) { s.MaxConnections = 1 })
	first := b.dial(t)
	b.write(t, first, readClass, "", time.Millisecond)
	read(t, first)
	second := b.dial(t)
	b.write(t, second, readClass, "", time.Millisecond)
	if status, rejected, _ := read(t, second); status != 503 || !rejected {
		t.Errorf("%d, rejected %v", status, rejected)
	}
	if rest, err := io.ReadAll(second); err != nil || len(rest) > 0 {
		t.Errorf("the connection stays open: %q, %v", rest, err)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	b := newNodeFixture(t, func(s *NodeSpec) { s.IdleTimeout = 30 * time.Millisecond })
	nc := b.dial(t)
	b.write(t, nc, readClass, "", 60*time.Millisecond) // a request in flight is not idle time
	if status, _, _ := read(t, nc); status != 200 {
		t.Errorf("%d", status)
	}
	if rest, err := io.ReadAll(nc); err != nil || len(rest) > 0 {
		t.Errorf("idle connection: %q, %v", rest, err)
	}
	if b.count(invariant.AttemptAborted, "") != 0 {
		t.Error("the close is recorded as one by the client")
	}
}

func TestDuplicatesWithinTheWindowAreDropped(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	began := func(id string) (effects, repeats int) {
		events, _ := b.rec.Events()
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
		id := b.write(t, nc, row.class, row.key, time.Millisecond)
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
		if len(c.seen) > 202 {
			t.Errorf("%d keys held for two windows of 100", len(c.seen))
		}
	})
}

func TestClientDepartureIsRecordedAndDoesNotStopTheRequest(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	id := b.write(t, nc, readClass, "", 50*time.Millisecond)
	testpeer.Eventually(t, "begun", func() bool { return b.count(invariant.EffectStarted, id) == 1 })
	nc.Close()
	testpeer.Eventually(t, "drop recorded", func() bool { return b.count(invariant.AttemptAborted, id) == 1 })
	testpeer.Eventually(t, "request completed", func() bool { return b.count(invariant.AttemptCompleted, id) == 1 })
}

func TestNodeFaultsHangResetAndSlow(t *testing.T) {
	b := newNodeFixture(t, nil)
	b.SetHangShare(1)
	nc := b.dial(t)
	id := b.write(t, nc, readClass, "", time.Millisecond)
	testpeer.Eventually(t, "received", func() bool { return b.count(invariant.AttemptReceived, id) == 1 })
	nc.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := nc.Read(make([]byte, 1)); err == nil || b.count(invariant.EffectStarted, id) != 0 {
		t.Errorf("hang fault: %v", err)
	}
	nc.Close()
	testpeer.Eventually(t, "dropped", func() bool { return b.count(invariant.AttemptAborted, id) == 1 })
	b.SetHangShare(0)
	b.SetResetShare(1)
	nc = b.dial(t)
	id = b.write(t, nc, readClass, "", time.Millisecond)
	if _, err := nc.Read(make([]byte, 1)); err == nil || b.count(invariant.EffectStarted, id) != 1 {
		t.Errorf("reset fault: %v", err)
	}
	b.SetResetShare(0)
	b.SetSlowdown(4)
	nc = b.dial(t)
	began := time.Now()
	b.write(t, nc, readClass, "", 50*time.Millisecond)
	if status, _, _ := read(t, nc); status != 200 || time.Since(began) < 200*time.Millisecond {
		t.Errorf("slowdown by 4: %d after %v", status, time.Since(began))
	}
}

func TestCrashResetsConnectionsAndRestartKeepsTheAddress(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	b.write(t, nc, readClass, "", time.Minute)
	testpeer.Eventually(t, "begun", func() bool { return b.count(invariant.EffectStarted, "") == 1 })
	addr := b.Addr
	b.Stop()
	if _, err := nc.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("not a reset: %v", err)
	}
	if nc, err := net.Dial("tcp", addr); err == nil {
		nc.Close()
		t.Error("the stopped node accepts connections")
	}
	if _, err := b.Start(true); err != nil || b.Addr != addr || !b.IsUp() {
		t.Errorf("%v, at %s, want %s", err, b.Addr, addr)
	}
}

// A request that was in a buffer when its node died must not be recorded: it would stay in flight for good in the timeline,
// and the next attempt would look like a concurrent one.
func TestRequestUnreadAtStopIsNotRecorded(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	b.mu.Lock()
	run := b.incarnation
	b.mu.Unlock()
	b.desk.register("r1", registeredRequest{job: &Job{Work: time.Millisecond}, class: readClass})
	b.Stop()
	a := arrival{id: "r1", isFirstOnConnection: true, answered: make(chan bool, 1)}
	if b.handle(&nodeConnection{Conn: nc, run: run}, a) || b.count(invariant.AttemptReceived, "") != 0 {
		t.Error("the request is recorded")
	}
}

func TestStartOnAnOccupiedPortNamesTheNode(t *testing.T) {
	b := newNodeFixture(t, nil)
	b.Stop()
	l, err := net.Listen("tcp", b.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := b.Start(true); err == nil || !strings.Contains(err.Error(), "n1") || strings.Contains(err.Error(), "\n") {
		t.Errorf("%v", err)
	}
}
