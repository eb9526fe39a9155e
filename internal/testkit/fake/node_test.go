package fake

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/testpeer"
)

const (
	readClass = iota
	keyedClass
)

var classes = []Class{{"look", invariant.Safe, 0, 3 * time.Second}, {"book", invariant.Keyed, 200 * time.Millisecond, 3 * time.Second}}

// Whatever a stand-in starts must end with it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// nodeFixture is one node, and what it takes to call it.
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

// write sends a request on a connection.
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
	nc.SetReadDeadline(time.Now().Add(testpeer.Patience))
	return nc
}

func read(t *testing.T, nc net.Conn) (status int, declined bool, body string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	text, _ := io.ReadAll(resp.Body)
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Srv-Declined") == "1", string(text)
}

// count is how many events of a kind there are for a request; an empty id is any.
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
		if b.count(invariant.Sent, id) != 1 || b.count(invariant.Began, id) != 1 || b.count(invariant.Done, id) != 1 || b.count(invariant.Dropped, id) != 0 {
			t.Error("the timeline lacks something")
		}
	}
	if b.OpenedConnections() != 1 {
		t.Errorf("%d connections", b.OpenedConnections())
	}
	io.WriteString(nc, "GET /x HTTP/1.1\r\nHost: h\r\nReq-Id: ghost\r\n\r\n")
	if status, _, _ := read(t, nc); status != 400 || b.count(invariant.Sent, "ghost") != 1 {
		t.Errorf("an id that nobody asked with: %d", status)
	}
}

func TestNodeWithoutFreeSlotRejects(t *testing.T) {
	b := newNodeFixture(t, nil) // one slot, one may wait
	var lines []net.Conn
	for range 2 {
		nc := b.dial(t)
		lines = append(lines, nc)
		n := b.count(invariant.Sent, "")
		b.write(t, nc, readClass, "", 300*time.Millisecond)
		testpeer.Until(t, "taken", func() bool { return b.count(invariant.Sent, "") > n })
		testpeer.Until(t, "in hand", func() bool { return b.InFlight() > n })
	}
	third := b.dial(t)
	testpeer.Until(t, "one waits", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.incarnation.slots.mu.Lock()
		defer b.incarnation.slots.mu.Unlock()
		return len(b.incarnation.slots.queue) == 1
	})
	id := b.write(t, third, readClass, "", time.Millisecond)
	if status, declined, _ := read(t, third); status != 503 || !declined || b.count(invariant.Declined, id) != 1 || b.count(invariant.Began, id) != 0 {
		t.Errorf("%d, declined %v", status, declined)
	}
	for _, nc := range lines {
		if status, _, _ := read(t, nc); status != 200 {
			t.Errorf("one that was taken: %d", status)
		}
	}
}

func TestDrainingNodeFinishesRequestsAndRejectsNewOnes(t *testing.T) {
	b := newNodeFixture(t, func(s *NodeSpec) { s.Slots = 5 })
	first, second := b.dial(t), b.dial(t)
	id := b.write(t, first, readClass, "", 50*time.Millisecond)
	testpeer.Until(t, "begun", func() bool { return b.count(invariant.Began, id) == 1 })
	b.Drain()
	b.write(t, second, readClass, "", time.Millisecond)
	if status, declined, _ := read(t, second); status != 503 || !declined {
		t.Errorf("new: %d, declined %v", status, declined)
	}
	if status, _, _ := read(t, first); status != 200 {
		t.Errorf("in hand: %d", status)
	}
}

func TestRequestsOnExcessConnectionsAreRejected(t *testing.T) {
	b := newNodeFixture(t, func(s *NodeSpec) { s.MaxConnections = 1 })
	first := b.dial(t)
	b.write(t, first, readClass, "", time.Millisecond)
	read(t, first)
	second := b.dial(t)
	b.write(t, second, readClass, "", time.Millisecond)
	if status, declined, _ := read(t, second); status != 503 || !declined {
		t.Errorf("%d, declined %v", status, declined)
	}
	if rest, err := io.ReadAll(second); err != nil || len(rest) > 0 {
		t.Errorf("it stays: %q, %v", rest, err)
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	b := newNodeFixture(t, func(s *NodeSpec) { s.IdleTimeout = 30 * time.Millisecond })
	nc := b.dial(t)
	b.write(t, nc, readClass, "", 60*time.Millisecond) // longer than that at work is not idle
	if status, _, _ := read(t, nc); status != 200 {
		t.Errorf("%d", status)
	}
	if rest, err := io.ReadAll(nc); err != nil || len(rest) > 0 {
		t.Errorf("idle: %q, %v", rest, err)
	}
	if b.count(invariant.Dropped, "") != 0 {
		t.Error("the other side is blamed for it")
	}
}

func TestDuplicatesWithinTheWindowAreDropped(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	began := func(id string) (effects, repeats int) {
		events, _ := b.rec.Events()
		for _, e := range events {
			if e.Kind == invariant.Began && e.Request == id && e.Repeat {
				repeats++
			} else if e.Kind == invariant.Began && e.Request == id {
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
			t.Errorf("request %d: %d effects, %d repeats", i, effects, repeats)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		c := NewCell(time.Second)
		c.isDuplicate("k", time.Now())
		time.Sleep(time.Second)
		if !c.isDuplicate("k", time.Now()) {
			t.Error("forgotten at the end of the window")
		}
		time.Sleep(time.Nanosecond)
		if c.isDuplicate("k", time.Now()) {
			t.Error("remembered after it")
		}
		for i := range 1000 {
			time.Sleep(10 * time.Millisecond)
			c.isDuplicate(fmt.Sprint(i), time.Now())
		}
		if len(c.seen) > 202 {
			t.Errorf("%d keys are held for two windows of 100", len(c.seen))
		}
	})
}

func TestClientDepartureIsRecordedAndDoesNotStopTheRequest(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	id := b.write(t, nc, readClass, "", 50*time.Millisecond)
	testpeer.Until(t, "begun", func() bool { return b.count(invariant.Began, id) == 1 })
	nc.Close()
	testpeer.Until(t, "seen", func() bool { return b.count(invariant.Dropped, id) == 1 })
	testpeer.Until(t, "done all the same", func() bool { return b.count(invariant.Done, id) == 1 })
}

func TestNodeFaultsHangResetAndSlow(t *testing.T) {
	b := newNodeFixture(t, nil)
	b.SetHangShare(1)
	nc := b.dial(t)
	id := b.write(t, nc, readClass, "", time.Millisecond)
	testpeer.Until(t, "taken", func() bool { return b.count(invariant.Sent, id) == 1 })
	nc.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := nc.Read(make([]byte, 1)); err == nil || b.count(invariant.Began, id) != 0 {
		t.Errorf("a node that hangs: %v", err)
	}
	nc.Close()
	testpeer.Until(t, "dropped", func() bool { return b.count(invariant.Dropped, id) == 1 })
	b.SetHangShare(0)
	b.SetResetShare(1)
	nc = b.dial(t)
	id = b.write(t, nc, readClass, "", time.Millisecond)
	if _, err := nc.Read(make([]byte, 1)); err == nil || b.count(invariant.Began, id) != 1 {
		t.Errorf("a node that resets: %v", err)
	}
	b.SetResetShare(0)
	b.SetSlowdown(4)
	nc = b.dial(t)
	began := time.Now()
	b.write(t, nc, readClass, "", 50*time.Millisecond)
	if status, _, _ := read(t, nc); status != 200 || time.Since(began) < 200*time.Millisecond {
		t.Errorf("four times slower: %d after %v", status, time.Since(began))
	}
}

func TestCrashResetsConnectionsAndRestartKeepsTheAddress(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	b.write(t, nc, readClass, "", time.Minute)
	testpeer.Until(t, "begun", func() bool { return b.count(invariant.Began, "") == 1 })
	addr := b.Addr
	b.Stop()
	if _, err := nc.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "EOF") {
		t.Errorf("no reset: %v", err)
	}
	if nc, err := net.Dial("tcp", addr); err == nil {
		nc.Close()
		t.Error("it still takes connections")
	}
	if _, err := b.Start(true); err != nil || b.Addr != addr || !b.IsUp() {
		t.Errorf("%v, at %s instead of %s", err, b.Addr, addr)
	}
}

// A request that was in a buffer when its node died never came: in the timeline it would stay out for good, and the next
// attempt would look like a second one beside it.
func TestRequestUnreadAtStopIsNotRecorded(t *testing.T) {
	b := newNodeFixture(t, nil)
	nc := b.dial(t)
	b.mu.Lock()
	run := b.incarnation
	b.mu.Unlock()
	b.desk.register("r1", registeredRequest{job: &Job{Work: time.Millisecond}, class: readClass})
	b.Stop()
	if b.handle(&nodeConnection{Conn: nc, run: run}, arrival{id: "r1", isFirstOnConnection: true, answered: make(chan bool, 1)}) || b.count(invariant.Sent, "") != 0 {
		t.Error("it came")
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

func TestCapacityRisesLinearlyDuringWarmUp(t *testing.T) {
	for since, want := range map[time.Duration]float64{0: 0.4, 2: 0.7, 4: 1, 9: 1} {
		if got := warmShare(0.4, 4*time.Second, since*time.Second); math.Abs(got-want) > 1e-9 {
			t.Errorf("after %d s: %v, want %v", since, got, want)
		}
	}
}

// What the node falls under must be what the referee calls too much.
func TestNodeCollapsesWhereTheInvariantIsBroken(t *testing.T) {
	rules := invariant.Rules{Classes: []invariant.Class{{Name: "look"}}, FallMultiple: 4, FallAfter: 3 * time.Second, FallSlack: ColdOverloadTolerance}
	for _, n := range []int{10, 60} {
		b := newNodeFixture(t, func(s *NodeSpec) {
			s.Slots, s.ColdCapacityShare, s.WarmUpDuration, s.ColdOverloadFactor, s.ColdOverloadWindow = 100, 0.3, time.Minute, 4, 3*time.Second
		})
		b.Stop()
		if _, err := b.Start(true); err != nil {
			t.Fatal(err)
		}
		b.rec.Add(invariant.Event{Kind: invariant.Up, Sidecar: "s"})
		m := Member{ID: "n1", State: StateReady, StartedMs: time.Now().Add(time.Second).UnixMilli()}
		b.rec.Add(NotificationEvent("s", m, b.rec))
		for range n { // 0.1 s of work each: at 0.3 of one core about 4 s can be borne
			nc, err := net.Dial("tcp", b.Addr)
			if err != nil {
				break // it has fallen
			}
			defer nc.Close()
			id := fmt.Sprint("r", b.n+1)
			b.rec.Add(invariant.Event{Kind: invariant.Asked, Request: id, Sidecar: "s"})
			b.write(t, nc, readClass, "", 100*time.Millisecond)
			testpeer.Until(t, "taken", func() bool { return b.count(invariant.Sent, id) == 1 })
		}
		fell := n == 60
		if fell {
			testpeer.Until(t, "down", func() bool { return !b.IsUp() })
			if _, err := b.Start(true); err == nil {
				t.Error("it comes back")
			}
		}
		events, _ := b.rec.Events()
		r := invariant.Judge(rules, events)
		if got := r.Rules[3].Verdict == invariant.Broken; got != fell || b.IsUp() == fell || (r.Falls > 0) != fell {
			t.Errorf("%d requests: up %v, rule %s, %d falls", n, b.IsUp(), r.Rules[3].Verdict, r.Falls)
		}
	}
}

func TestOverloadSlowsNodeUntilItRecovers(t *testing.T) {
	b := newNodeFixture(t, func(s *NodeSpec) {
		s.Slots = 100
		s.Overload = &OverloadSpec{Threshold: 2, AveragedOver: 200 * time.Millisecond, Slowdown: 3, RecoverAfter: 200 * time.Millisecond, IdleBelow: 0.5, MaxDuration: time.Minute}
	})
	for range 20 {
		b.write(t, b.dial(t), readClass, "", 30*time.Millisecond)
	}
	testpeer.Until(t, "slow", func() bool { return b.WasOverloaded() })
	if got := b.coreSpeed(b.incarnation); got != 1.0/3 {
		t.Errorf("pace %v", got)
	}
	testpeer.Until(t, "as before", func() bool { return b.coreSpeed(b.incarnation) == 1 })
	if b.count(invariant.Done, "") != 20 {
		t.Error("it got well before it had rested")
	}
}

func TestSemaphoreGrantsSlotsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, most, n := rapid.IntRange(1, 4).Draw(t, "free"), rapid.IntRange(0, 4).Draw(t, "most"), rapid.IntRange(1, 12).Draw(t, "n")
		f := &semaphore{free: free, maxWaiting: most}
		got := make(chan int, n)
		var all sync.WaitGroup
		refused := 0
		for i := range n {
			f.mu.Lock()
			waits := f.free == 0
			room := len(f.queue) < f.maxWaiting
			before := len(f.queue)
			f.mu.Unlock()
			if waits && !room {
				if f.acquire(nil) {
					t.Fatal("more wait than may")
				}
				refused++
				continue
			}
			all.Go(func() {
				if f.acquire(nil) {
					got <- i
				}
			})
			for waits { // until it stands in line, so that the order is known
				f.mu.Lock()
				in := len(f.queue) > before
				f.mu.Unlock()
				if in {
					break
				}
			}
			if !waits {
				if <-got != i {
					t.Fatal("not at once")
				}
			}
		}
		last := -1
		for range min(n, free+most) - min(n, free) {
			f.release()
			if i := <-got; i < last {
				t.Fatalf("%d after %d", i, last)
			} else {
				last = i
			}
		}
		all.Wait()
		if refused != max(n-free-most, 0) {
			t.Fatalf("%d refused", refused)
		}
	})
}

// newTestAgent is an agent with one member and a watch on it.
func newTestAgent(t *testing.T) (*Agent, *Recorder) {
	t.Helper()
	rec := NewRecorder(time.Now(), 1000)
	a, err := NewAgent("s1", []Member{{ID: "a", Addr: "127.0.0.1:1", State: StateReady, Weight: 1}}, rec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { a.Close() })
	return a, rec
}

func get(t *testing.T, a *Agent, query string) *bufio.Reader {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + a.Addr + "/catalog/members" + query)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return bufio.NewReader(resp.Body)
}

func message(t *testing.T, in *bufio.Reader) (l MemberList) {
	t.Helper()
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if strings.TrimSpace(text) == "" {
			continue
		}
		if err := json.Unmarshal([]byte(text), &l); err != nil {
			t.Fatal(err)
		}
		return l
	}
}

func TestAgentSendsChangesToWatch(t *testing.T) {
	a, rec := newTestAgent(t)
	if l := message(t, get(t, a, "")); !l.Full || l.Version != 1 || len(l.Servers) != 1 || l.Servers[0].ID != "a" {
		t.Errorf("the whole list: %+v", l)
	}
	watch := get(t, a, "?watch=1&after=1")
	if l := message(t, watch); l.Full || len(l.Servers) != 0 {
		t.Errorf("nothing has changed: %+v", l)
	}
	a.Update(Member{ID: "b", Addr: "127.0.0.1:2", State: StateReady})
	if l := message(t, watch); l.Full || l.Version != 2 || len(l.Servers) != 1 || l.Servers[0].ID != "b" {
		t.Errorf("one more: %+v", l)
	}
	a.Update(Member{ID: "a", State: StateGone})
	message(t, watch)
	if l := message(t, get(t, a, "?watch=1&after=0")); !l.Full || len(l.Servers) != 1 || l.Servers[0].ID != "b" {
		t.Errorf("from too far back: %+v", l)
	}
	if l := message(t, get(t, a, "?watch=1&after=2")); l.Full || len(l.Servers) != 1 || l.Servers[0].State != StateGone {
		t.Errorf("resumed: %+v", l)
	}
	if l := a.NotifiedList(); len(l.Servers) != 1 || l.Servers[0].ID != "b" {
		t.Errorf("what the sidecar knows: %+v", l)
	}
	testpeer.Until(t, "told that a is gone", func() bool {
		events, _ := rec.Events()
		for _, e := range events {
			if e.Kind == invariant.Told && e.Node == "a" && e.State == invariant.Gone && e.Sidecar == "s1" {
				return true
			}
		}
		return false
	})
}

func TestAgentSendsNothingWhileDiscoveryIsDown(t *testing.T) {
	a, rec := newTestAgent(t)
	watch := get(t, a, "?watch=1&after=1")
	message(t, watch)
	a.SetDown(true)
	a.Update(Member{ID: "a", State: StateDraining})
	came := make(chan MemberList, 1)
	go func() { came <- message(t, watch) }()
	select {
	case l := <-came:
		t.Fatalf("told while down: %+v", l)
	case <-time.After(50 * time.Millisecond):
	}
	events, _ := rec.Events()
	for _, e := range events {
		if e.Kind == invariant.Told && e.State == invariant.Draining {
			t.Error("noted as told while down")
		}
	}
	a.SetDown(false)
	if l := <-came; len(l.Servers) != 1 || l.Servers[0].State != StateDraining {
		t.Errorf("afterwards: %+v", l)
	}
}

// A sidecar that does not listen must not pass for one that can't know.
func TestUnfetchedChangeCountsAsNotifiedAfterTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rec := NewRecorder(time.Now(), 100)
		a := &Agent{Sidecar: "s1", recorder: rec, version: 1, members: map[string]Member{}, changed: make(chan struct{})}
		a.Update(Member{ID: "a", State: StateDraining})
		time.Sleep(notifiedAfter - time.Nanosecond)
		synctest.Wait()
		if events, _ := rec.Events(); len(events) != 0 {
			t.Error("too early")
		}
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		if events, _ := rec.Events(); len(events) != 1 || events[0].Kind != invariant.Told {
			t.Errorf("%+v", events)
		}
	})
}

// scriptedSidecar answers each connection's requests by a script of bytes; "CLOSE" ends the connection.
func scriptedSidecar(t *testing.T, answers ...string) (connect func() (Target, bool), served *testpeer.Endpoint) {
	t.Helper()
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, n int) bool {
		if n > len(answers) {
			return false
		}
		text, ends := strings.CutSuffix(answers[n-1], "CLOSE")
		io.WriteString(nc, strings.ReplaceAll(text, "ID", r.Header.Get("Req-Id")))
		return !ends
	})
	return func() (Target, bool) { return Target{"s1", e.Addr}, true }, e
}

func TestClientRecordsHowARequestEnds(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nID n1"
	for _, c := range []struct {
		name   string
		says   string
		status int
		kinds  []invariant.Kind
		hangUp time.Duration
	}{
		{"served", ok, 200, []invariant.Kind{invariant.Asked, invariant.Answered}, 0},
		{"refused", "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n", 503, []invariant.Kind{invariant.Asked, invariant.Answered}, 0},
		{"answered twice", ok + ok, 200, []invariant.Kind{invariant.Asked, invariant.Answered, invariant.ExtraBytes}, 0},
		{"cut", ok[:len(ok)-3] + "CLOSE", 0, []invariant.Kind{invariant.Asked, invariant.Lost}, 0},
		{"closed", "CLOSE", 0, []invariant.Kind{invariant.Asked, invariant.Lost}, 0},
		{"silence", "", 0, []invariant.Kind{invariant.Asked, invariant.Unanswered}, 0},
		{"hung up", "", 0, []invariant.Kind{invariant.Asked, invariant.ClientLeft}, 20 * time.Millisecond},
	} {
		connect, _ := scriptedSidecar(t, c.says)
		rec := NewRecorder(time.Now(), 100)
		caller := NewClient(classes, &Registry{}, rec, 50*time.Millisecond, 4)
		out := caller.Do(Request{ID: "ab", Class: readClass, Job: &Job{}, Timeout: 200 * time.Millisecond, LeaveAfter: c.hangUp, Connect: connect})
		caller.Close()
		events, _ := rec.Events()
		var kinds []invariant.Kind
		for _, e := range events {
			kinds = append(kinds, e.Kind)
		}
		if out.Status != c.status || !slices.Equal(kinds, c.kinds) || !out.HasDialed || out.HasLeft != (c.hangUp > 0) {
			t.Errorf("%s: %+v, %v", c.name, out, kinds)
		}
		if c.name == "refused" && out.RetryAfter != 250*time.Millisecond {
			t.Errorf("retry after %v", out.RetryAfter)
		}
		if c.name == "served" && !events[1].Genuine {
			t.Error("its own answer is not known")
		}
	}
	connect, _ := scriptedSidecar(t, strings.Replace(ok, "ID", "xy", 1))
	rec := NewRecorder(time.Now(), 100)
	caller := NewClient(classes, &Registry{}, rec, 50*time.Millisecond, 4)
	defer caller.Close()
	caller.Do(Request{ID: "ab", Class: readClass, Job: &Job{}, Timeout: time.Second, Connect: connect})
	if events, _ := rec.Events(); events[1].Genuine {
		t.Error("another's answer passes")
	}
	caller.Close()
	if out := caller.Do(Request{ID: "cd", Job: &Job{}, Connect: func() (Target, bool) { return Target{}, false }}); out.IsAccepted {
		t.Errorf("no sidecar: %+v", out)
	}
}

// A sidecar may close a connection between requests: the request that crosses it is sent once more, on a new one.
func TestRequestCrossingAConnectionCloseIsSentOnceMore(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nID n1"
	connect, e := scriptedSidecar(t, ok, "CLOSE", ok, "CLOSE", "CLOSE")
	rec := NewRecorder(time.Now(), 100)
	caller := NewClient(classes, &Registry{}, rec, 50*time.Millisecond, 4)
	defer caller.Close()
	for i, want := range []int{200, 200, 0} {
		if out := caller.Do(Request{ID: fmt.Sprint("r", i), Class: readClass, Job: &Job{}, Timeout: time.Second, Connect: connect}); out.Status != want {
			t.Errorf("try %d: %+v", i, out)
		}
	}
	if n := e.Requests.Load(); n != 5 {
		t.Errorf("%d requests came", n)
	}
}

func TestFrontLayerUsesSidecarsInTurn(t *testing.T) {
	f := &FrontLayer{}
	if _, ok := f.Connect(); ok {
		t.Error("there is none")
	}
	f.Add("a", "1")
	f.Add("b", "2")
	f.Add("a", "1") // once
	got := map[string]int{}
	for range 10 {
		target, _ := f.Connect()
		got[target.Sidecar]++
	}
	if got["a"] != 5 || got["b"] != 5 {
		t.Errorf("%v", got)
	}
	f.Remove("a")
	f.Remove("nobody")
	for range 3 {
		if target, ok := f.Connect(); target != (Target{"b", "2"}) || !ok {
			t.Error(target)
		}
	}
}

func TestRecorderIsBounded(t *testing.T) {
	rec := NewRecorder(time.Now(), 2)
	for range 5 {
		rec.Add(invariant.Event{})
	}
	if events, lost := rec.Events(); len(events) != 2 || lost != 3 {
		t.Errorf("%d kept, %d lost", len(events), lost)
	}
}
