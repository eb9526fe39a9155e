package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// idleConn is a connection that net/http has reported as idle.
type idleConn struct {
	listener *Listener
	conn     *clientConn // the daemon's end of the connection
	client   net.Conn    // the client's end of the connection
}

// acceptIdleConn opens a connection that is idle after one response was written.
func acceptIdleConn(t *testing.T) idleConn {
	t.Helper()
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(tcpListener, 100, time.Second)
	t.Cleanup(func() { listener.Close() })
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	conn := accepted.(*clientConn)
	listener.Track(conn, http.StateActive)
	if _, err := conn.Write([]byte("response")); err != nil {
		t.Fatal(err)
	}
	listener.Track(conn, http.StateIdle)
	return idleConn{listener, conn, client}
}

// A connection must not be closed between the read of a request's first bytes and the moment when net/http reports the connection as
// active. Otherwise requests can be lost under overload with few file descriptors.
func TestConnectionWithPartlyReadRequestIsNotEvicted(t *testing.T) {
	idle := acceptIdleConn(t)
	io.WriteString(idle.client, "re")
	if n, err := idle.conn.Read(make([]byte, 2)); n != 2 || err != nil {
		t.Fatalf("reading the first bytes of the request: %d bytes, error %v, want 2 bytes and no error", n, err)
	}
	idle.listener.evictIdle()
	io.WriteString(idle.client, "st")
	if n, err := io.ReadFull(idle.conn, make([]byte, 2)); n != 2 || err != nil {
		t.Errorf("reading the rest of the request: %d bytes, error %v, want 2 bytes and no error", n, err)
	}
}

func TestReadOnEvictedConnectionReturnsEOF(t *testing.T) {
	idle := acceptIdleConn(t)
	readErr := make(chan error)
	go func() {
		rest, err := io.ReadAll(idle.conn) // err is nil if the read ended with io.EOF
		if len(rest) > 0 {
			err = fmt.Errorf("%q was read, %w", rest, err)
		}
		readErr <- err
	}()
	idle.listener.evictIdle()
	if err := <-readErr; err != nil {
		t.Errorf("the pending read returned %v, want io.EOF and no bytes", err)
	}
	// net/http sets a read deadline after its ConnState hook has run. This must not undo an eviction.
	if err := idle.conn.SetReadDeadline(time.Now().Add(testpeer.Timeout)); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(idle.conn); err != nil || len(rest) > 0 {
		t.Errorf("the next read returned %q, error %v, want io.EOF and no bytes", rest, err)
	}
}

func TestSilentNewConnectionIsEvictedOnlyAfterItsMinimumAge(t *testing.T) {
	t.Run("new", func(t *testing.T) {
		idle := acceptIdleConn(t)
		idle.conn.moveTo(&idle.listener.silent)
		idle.conn.queuedAt = time.Now().Add(time.Hour)
		idle.listener.evictIdle()
		io.WriteString(idle.client, "r")
		if n, err := idle.conn.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Errorf("reading the first byte: %d bytes, error %v, want 1 byte and no error", n, err)
		}
	})
	t.Run("silent for twice the minimum age", func(t *testing.T) {
		idle := acceptIdleConn(t)
		idle.conn.moveTo(&idle.listener.silent)
		idle.conn.queuedAt = time.Now().Add(-2 * minSilentAge)
		idle.listener.evictIdle()
		if rest, err := io.ReadAll(idle.conn); err != nil || len(rest) > 0 {
			t.Errorf("the connection delivered %q, error %v, want io.EOF and no bytes", rest, err)
		}
	})
}

// Clients that connect and send nothing, or only a part of a request's head, must not use up the connection limit: their connections
// are evicted, those without any byte first.
func TestSilentAndPartialConnectionsAreEvictedBeyondTheLimit(t *testing.T) {
	evictOne := func(l *Listener) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.evictOverLimit()
	}
	t.Run("a partial head", func(t *testing.T) {
		idle := acceptIdleConn(t)
		idle.listener.maxConnections = 0
		idle.conn.moveTo(&idle.listener.partial)
		idle.conn.queuedAt = time.Now().Add(-2 * minHeadAge)
		evictOne(idle.listener)
		if rest, err := io.ReadAll(idle.conn); err != nil || len(rest) > 0 {
			t.Errorf("the connection delivered %q, error %v, want io.EOF and no bytes", rest, err)
		}
	})
	t.Run("a silent connection before an idle one", func(t *testing.T) {
		idle := acceptIdleConn(t)
		silent := &clientConn{Conn: idle.conn.Conn, listener: idle.listener, awaitsFirstByte: true}
		silent.moveTo(&idle.listener.silent)
		silent.queuedAt = time.Now().Add(-2 * minSilentAge)
		idle.listener.maxConnections = 0
		evictOne(idle.listener)
		if !silent.isEvicted || idle.conn.isEvicted {
			t.Errorf("silent connection evicted: %v, idle connection evicted: %v, want true and false", silent.isEvicted, idle.conn.isEvicted)
		}
	})
}

// Clients that stop in the middle of a head or of a body, or send nothing, must not keep others from being accepted: their connections
// make way one after another, also while Accept blocks and no new connection causes a check.
func TestCrowdOfStoppedClientsMakesWayForOthers(t *testing.T) {
	const places, crowd = 20, 200
	for name, start := range map[string]string{
		"no byte":        "",
		"half a head":    "GET /look HTTP/1.1\r\nHost: h\r\nReq-Dead",
		"half a body":    strings.TrimSuffix(requestText("pay", "p", strings.Repeat("x", 1000)), strings.Repeat("x", 500)),
		"half an upload": strings.TrimSuffix(requestText("pay", "u", strings.Repeat("x", 200_000)), strings.Repeat("x", 190_000)),
	} {
		t.Run(name, func(t *testing.T) {
			e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
			p := startProxy(t, proxyOptions{maxConnections: places, bodyMemory: body.NewMemoryPool(16 << 20)}, e.Addr)
			for range crowd {
				io.WriteString(p.dialClient(t), start)
			}
			client := p.dialClient(t)
			// Each place can be taken anew after minBodyAge at the latest, so the crowd makes way within this time.
			const bound = (crowd/places + 2) * (minBodyAge + 2*evictionRecheckInterval)
			_ = client.SetDeadline(time.Now().Add(bound))
			io.WriteString(client, requestText("look", "usual", ""))
			if status := readStatus(client); status != http.StatusOK {
				t.Errorf("status %d within %v, want 200", status, bound)
			}
		})
	}
}

// The rest of a request that the kernel has received but the process has not read yet must not be lost when its connection is evicted:
// on a busy processor the reading may be late, not the client.
func TestReceivedRestOfRequestIsReadDespiteEviction(t *testing.T) {
	for name, begin := range map[string]func(c *clientConn){
		"a head": func(c *clientConn) { c.moveTo(&c.listener.partial) },
		"a body": (*clientConn).beginBody,
	} {
		t.Run(name, func(t *testing.T) {
			idle := acceptIdleConn(t)
			io.WriteString(idle.client, "first")
			if n, err := io.ReadFull(idle.conn, make([]byte, 5)); n != 5 || err != nil {
				t.Fatalf("%d bytes read, error %v, want 5 and none", n, err)
			}
			begin(idle.conn)
			io.WriteString(idle.client, "rest")
			testpeer.Eventually(t, "the rest is received", func() bool { return idle.conn.UnreadBytes() == 4 })
			idle.listener.mu.Lock()
			idle.conn.evict()
			idle.listener.mu.Unlock()
			if n, err := io.ReadFull(idle.conn, make([]byte, 4)); n != 4 || err != nil || idle.listener.evictingCount != 0 {
				t.Errorf("%d bytes read, error %v, %d connections being evicted, want 4, none and 0", n, err, idle.listener.evictingCount)
			}
		})
	}
}

// A body that is complete when its connection is evicted must be served: the request was taken.
func TestCompleteBodyCancelsEviction(t *testing.T) {
	idle := acceptIdleConn(t)
	idle.conn.beginBody()
	idle.listener.mu.Lock()
	idle.conn.evict()
	idle.listener.mu.Unlock()
	idle.conn.endBody()
	io.WriteString(idle.client, "r")
	if n, err := idle.conn.Read(make([]byte, 1)); n != 1 || err != nil || idle.listener.evictingCount != 0 {
		t.Errorf("%d bytes read, error %v, %d connections being evicted, want 1, none and 0", n, err, idle.listener.evictingCount)
	}
}

// net/http reads a pipelined request from its buffer, so no read on the connection cancels an eviction. Once net/http reports the
// request's head as complete, an earlier eviction must not end the connection.
func TestPipelinedRequestCancelsEviction(t *testing.T) {
	idle := acceptIdleConn(t)
	idle.listener.evictIdle()
	idle.listener.Track(idle.conn, http.StateActive)
	io.WriteString(idle.client, "r")
	if n, err := idle.conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("net/http's background read returned %d bytes, error %v, want 1 byte and no error", n, err)
	}
	if idle.listener.evictingCount != 0 || idle.listener.openCount != 1 {
		t.Errorf("%d connections are being evicted and %d are open, want 0 and 1", idle.listener.evictingCount, idle.listener.openCount)
	}
}

// A request that the kernel has received but the process has not read yet must not be lost when its connection is evicted. Under
// overload on half a core, evictions can find such requests.
func TestReceivedRequestIsReadDespiteEviction(t *testing.T) {
	idle := acceptIdleConn(t)
	io.WriteString(idle.client, "request")
	rawConn, err := idle.conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	testpeer.Eventually(t, "the request is received", func() (isReceived bool) {
		_ = rawConn.Control(func(fd uintptr) {
			n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			isReceived = n > 0
		})
		return isReceived
	})
	idle.listener.evictIdle()
	if n, err := idle.conn.Read(make([]byte, 7)); n == 0 || err != nil {
		t.Errorf("the read returned %d bytes, error %v, want some bytes and no error", n, err)
	}
}

// After a partial head has cancelled the eviction of its connection, the connection must have a read deadline again. Enough
// connections without a read deadline keep all other clients from being accepted.
func TestPartialRequestHasReadDeadlineAfterCancelledEviction(t *testing.T) {
	idle := acceptIdleConn(t)
	io.WriteString(idle.client, "GET /lo")
	idle.listener.evictIdle()
	for {
		if _, err := idle.conn.Read(make([]byte, 16)); err != nil {
			return // the read timed out before the test did, so it had a deadline
		}
	}
}

// When memory is short, requests are rejected before their bodies are read, and connections without a request make way; those whose request
// was received get their answer.
func TestSheddingRejectsNewRequestsOnly(t *testing.T) {
	begun, proceed := make(chan struct{}, 1), make(chan struct{})
	endpoint := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			begun <- struct{}{}
			<-proceed
		}
		_, err := io.WriteString(nc, testpeer.ResponseOK)
		return err == nil
	})
	p := startProxy(t, proxyOptions{bodyMemory: body.NewMemoryPool(1 << 20)}, endpoint.Addr)
	open, silent := p.dialClient(t), p.dialClient(t)
	io.WriteString(open, requestText("look", "open", ""))
	<-begun
	time.Sleep(minSilentAge)
	p.server.SetShedding(true)
	p.listener.EvictWithoutRequest()
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF { //nolint:errorlint // a connection returns it as it is
		t.Errorf("a connection without a request got %v, want to be closed", err)
	}
	for _, content := range []string{"short", strings.Repeat("x", body.BufferSize+1)} {
		if status := p.sendRequest(t, requestText("pay", fmt.Sprint("r-", len(content)), content)); status != http.StatusServiceUnavailable {
			t.Errorf("a new request of %d bytes got status %d, want 503", len(content), status)
		}
	}
	close(proceed)
	if status := readStatus(open); status != http.StatusOK {
		t.Errorf("the request that was open got status %d, want 200", status)
	}
	p.server.SetShedding(false)
	if status := p.sendRequest(t, requestText("look", "after", "")); status != http.StatusOK {
		t.Errorf("a request after the shortage got status %d, want 200", status)
	}
}
