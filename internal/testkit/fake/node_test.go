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
	readClass:  {"read", invariant.Safe, 0, 3 * time.Second},
	keyedClass: {"keyed", invariant.IdempotencyKeyed, 200 * time.Millisecond, 3 * time.Second},
}

// TestMain checks that no goroutine of a fake outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// nodeFixture is a running node with the registry and the recorder that it uses.
type nodeFixture struct {
	*Node
	registry     *Registry
	recorder     *Recorder
	requestCount int // number of requests that writeRequest has sent
}

// newNodeFixture starts a node with one core, one slot and one place in the queue. change modifies the node's spec before the
// start; nil: no change.
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

// writeRequest registers a request with an amount of work, sends it on a connection and returns its ID.
func (f *nodeFixture) writeRequest(t *testing.T, nc net.Conn, class int, key string, work time.Duration) (id string) {
	t.Helper()
	f.requestCount++
	id = fmt.Sprint("r", f.requestCount)
	f.registry.register(id, registeredRequest{job: &Job{Work: work}, class: class, key: key})
	if _, err := io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: "+id+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return id
}

// dial opens a connection to the node. The connection is closed at the end of the test.
func (f *nodeFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetReadDeadline(time.Now().Add(testpeer.Timeout))
	return nc
}

// readResponse reads a complete response. isRejected reports whether the node marked it as a rejection.
func readResponse(t *testing.T, nc net.Conn) (status int, isRejected bool, body string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Srv-Declined") == "1", string(text)
}

// countEvents returns the number of recorded events of a kind for the request with the given ID; an empty ID stands for all
// requests.
func (f *nodeFixture) countEvents(kind invariant.Kind, id string) (n int) {
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
	for range 3 {
		id := f.writeRequest(t, nc, readClass, "", time.Millisecond)
		if status, _, body := readResponse(t, nc); status != 200 || body != id+" n1\n" {
			t.Errorf("status %d and body %q, want 200 and the ID of the request with that of the node", status, body)
		}
		if f.countEvents(invariant.AttemptReceived, id) != 1 || f.countEvents(invariant.EffectStarted, id) != 1 || f.countEvents(invariant.AttemptCompleted, id) != 1 ||
			f.countEvents(invariant.AttemptAborted, id) != 0 {
			t.Error("the timeline does not have exactly one attempt for the request that was received, started and completed, and not aborted")
		}
	}
	if f.OpenedConnections() != 1 {
		t.Errorf("%d connections were opened, want 1", f.OpenedConnections())
	}
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: unknown\r\n\r\n")
	if status, _, _ := readResponse(t, nc); status != 400 || f.countEvents(invariant.AttemptReceived, "unknown") != 1 {
		t.Errorf("request with an unknown ID got status %d, want 400 and one AttemptReceived event", status)
	}
}

func TestNodeWithoutFreeSlotRejects(t *testing.T) {
	f := newNodeFixture(t, nil) // the first request gets the only slot, the second waits for it
	var connections []net.Conn
	for range 2 {
		nc := f.dial(t)
		connections = append(connections, nc)
		n := f.countEvents(invariant.AttemptReceived, "")
		f.writeRequest(t, nc, readClass, "", 300*time.Millisecond)
		testpeer.Eventually(t, "the request received", func() bool { return f.countEvents(invariant.AttemptReceived, "") > n })
		testpeer.Eventually(t, "the request in flight", func() bool { return f.InFlight() > n })
	}
	thirdConn := f.dial(t)
	testpeer.Eventually(t, "one request waiting for the slot", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.incarnation.slots.mu.Lock()
		defer f.incarnation.slots.mu.Unlock()
		return len(f.incarnation.slots.waiters) == 1
	})
	id := f.writeRequest(t, thirdConn, readClass, "", time.Millisecond)
	if status, isRejected, _ := readResponse(t, thirdConn); status != 503 || !isRejected || f.countEvents(invariant.AttemptRejected, id) != 1 ||
		f.countEvents(invariant.EffectStarted, id) != 0 {
		t.Errorf("third request got status %d, rejected %v, want a rejection with 503 before it starts", status, isRejected)
	}
	for _, nc := range connections {
		if status, _, _ := readResponse(t, nc); status != 200 {
			t.Errorf("accepted request got status %d, want 200", status)
		}
	}
}

func TestDrainingNodeFinishesRequestsAndRejectsNewOnes(t *testing.T) {
	f := newNodeFixture(t, func(s *NodeSpec) { s.Slots = 5 })
	firstConn, secondConn := f.dial(t), f.dial(t)
	id := f.writeRequest(t, firstConn, readClass, "", 50*time.Millisecond)
	testpeer.Eventually(t, "the effect started", func() bool { return f.countEvents(invariant.EffectStarted, id) == 1 })
	f.Drain()
	f.writeRequest(t, secondConn, readClass, "", time.Millisecond)
	if status, isRejected, _ := readResponse(t, secondConn); status != 503 || !isRejected {
		t.Errorf("new request got status %d, rejected %v, want a rejection with 503", status, isRejected)
	}
	if status, _, _ := readResponse(t, firstConn); status != 200 {
		t.Errorf("request in flight got status %d, want 200", status)
	}
}

func TestRequestsOnExcessConnectionsAreRejected(t *testing.T) {
	f := newNodeFixture(t, func(s *NodeSpec) { s.MaxConnections = 1 })
	firstConn := f.dial(t)
	f.writeRequest(t, firstConn, readClass, "", time.Millisecond)
	readResponse(t, firstConn)
	secondConn := f.dial(t)
	f.writeRequest(t, secondConn, readClass, "", time.Millisecond)
	if status, isRejected, _ := readResponse(t, secondConn); status != 503 || !isRejected {
		t.Errorf("request on the second connection got status %d, rejected %v, want a rejection with 503", status, isRejected)
	}
	if rest, err := io.ReadAll(secondConn); err != nil || len(rest) > 0 {
		t.Errorf("read %q and error %v after the rejection, want the end of the connection", rest, err)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	f := newNodeFixture(t, func(s *NodeSpec) { s.IdleTimeout = 30 * time.Millisecond })
	nc := f.dial(t)
	f.writeRequest(t, nc, readClass, "", 60*time.Millisecond) // the work takes longer than the idle timeout, which must not run during a request
	if status, _, _ := readResponse(t, nc); status != 200 {
		t.Errorf("request in flight for longer than the idle timeout got status %d, want 200", status)
	}
	if rest, err := io.ReadAll(nc); err != nil || len(rest) > 0 {
		t.Errorf("read %q and error %v on the idle connection, want the end of the connection", rest, err)
	}
	if f.countEvents(invariant.AttemptAborted, "") != 0 {
		t.Error("the close by the node is recorded as an abort by the client")
	}
}

func TestDuplicatesWithinTheWindowAreDropped(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	countEffectStarts := func(id string) (effects, duplicates int) {
		events, _ := f.recorder.Events()
		for _, e := range events {
			if e.Kind == invariant.EffectStarted && e.Request == id && e.IsDuplicate {
				duplicates++
			} else if e.Kind == invariant.EffectStarted && e.Request == id {
				effects++
			}
		}
		return
	}
	for i, row := range []struct {
		class          int
		key            string
		wantDuplicates int
	}{{keyedClass, "k", 0}, {keyedClass, "k", 1}, {keyedClass, "l", 0}, {readClass, "k", 0}} {
		id := f.writeRequest(t, nc, row.class, row.key, time.Millisecond)
		readResponse(t, nc)
		if effects, duplicates := countEffectStarts(id); duplicates != row.wantDuplicates || effects != 1-row.wantDuplicates {
			t.Errorf("request %d: %d effects and %d duplicates, want %d and %d", i, effects, duplicates, 1-row.wantDuplicates, row.wantDuplicates)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := NewCell(time.Second)
		c.recordKey("k", time.Now())
		time.Sleep(time.Second)
		if !c.recordKey("k", time.Now()) {
			t.Error("the key is forgotten at the end of the window, want it remembered")
		}
		time.Sleep(time.Nanosecond)
		if c.recordKey("k", time.Now()) {
			t.Error("the key is remembered after the window, want it forgotten")
		}
		for i := range 1000 {
			time.Sleep(10 * time.Millisecond)
			c.recordKey(fmt.Sprint(i), time.Now())
		}
		if len(c.seenAt) > 202 {
			t.Errorf("%d keys remembered, want at most 202, those of two windows", len(c.seenAt))
		}
	})
}

func TestClientDisconnectIsRecordedAndDoesNotStopTheRequest(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	id := f.writeRequest(t, nc, readClass, "", 50*time.Millisecond)
	testpeer.Eventually(t, "the effect started", func() bool { return f.countEvents(invariant.EffectStarted, id) == 1 })
	nc.Close()
	testpeer.Eventually(t, "the abort recorded", func() bool { return f.countEvents(invariant.AttemptAborted, id) == 1 })
	testpeer.Eventually(t, "the request completed", func() bool { return f.countEvents(invariant.AttemptCompleted, id) == 1 })
}

func TestInjectedFaultsHangResetAndSlowRequests(t *testing.T) {
	f := newNodeFixture(t, nil)
	f.SetHangFraction(1)
	nc := f.dial(t)
	id := f.writeRequest(t, nc, readClass, "", time.Millisecond)
	testpeer.Eventually(t, "the request received", func() bool { return f.countEvents(invariant.AttemptReceived, id) == 1 })
	nc.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := nc.Read(make([]byte, 1)); err == nil || f.countEvents(invariant.EffectStarted, id) != 0 {
		t.Errorf("read error is %v with the hang fault, want one, and no effect started", err)
	}
	nc.Close()
	testpeer.Eventually(t, "the abort recorded", func() bool { return f.countEvents(invariant.AttemptAborted, id) == 1 })
	f.SetHangFraction(0)
	f.SetResetFraction(1)
	nc = f.dial(t)
	id = f.writeRequest(t, nc, readClass, "", time.Millisecond)
	if _, err := nc.Read(make([]byte, 1)); err == nil || f.countEvents(invariant.EffectStarted, id) != 1 {
		t.Errorf("read error is %v with the reset fault, want one after the effect started", err)
	}
	f.SetResetFraction(0)
	f.SetSlowdown(4)
	nc = f.dial(t)
	startedAt := time.Now()
	f.writeRequest(t, nc, readClass, "", 50*time.Millisecond)
	if status, _, _ := readResponse(t, nc); status != 200 || time.Since(startedAt) < 200*time.Millisecond {
		t.Errorf("status %d after %v for 50ms of work slowed by 4, want 200 after at least 200ms", status, time.Since(startedAt))
	}
}

func TestCrashResetsConnectionsAndRestartKeepsTheAddress(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	f.writeRequest(t, nc, readClass, "", time.Minute)
	testpeer.Eventually(t, "the effect started", func() bool { return f.countEvents(invariant.EffectStarted, "") == 1 })
	addr := f.Addr
	f.Stop()
	if _, err := nc.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("read error is %v after the stop, want a reset", err)
	}
	if nc, err := net.Dial("tcp", addr); err == nil {
		nc.Close()
		t.Error("the stopped node accepts connections")
	}
	if _, err := f.Start(true); err != nil || f.Addr != addr || !f.IsUp() {
		t.Errorf("restart at %s, error %v, want %s without an error", f.Addr, err, addr)
	}
}

// TestRequestUnreadAtStopIsNotRecorded guards against an event for a request that the node reads from its buffer after it has
// stopped. The attempt would never end in the timeline, so the request's next attempt would look as if both were in flight at once.
func TestRequestUnreadAtStopIsNotRecorded(t *testing.T) {
	f := newNodeFixture(t, nil)
	nc := f.dial(t)
	f.mu.Lock()
	inc := f.incarnation
	f.mu.Unlock()
	f.registry.register("r1", registeredRequest{job: &Job{Work: time.Millisecond}, class: readClass})
	f.Stop()
	received := receivedRequest{id: "r1", isFirstOnConnection: true, staysOpen: make(chan bool, 1)}
	if f.startRequest(&nodeConnection{Conn: nc, incarnation: inc}, received) || f.countEvents(invariant.AttemptReceived, "") != 0 {
		t.Error("a request read after the stop was handled or recorded")
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
		t.Errorf("error is %v, want one line that names the node n1", err)
	}
}
