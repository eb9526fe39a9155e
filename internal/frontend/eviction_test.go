package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// idleConn is a connection that net/http takes for idle.
type idleConn struct {
	listener *Listener
	conn     *clientConn
	client   net.Conn // its other end
}

// acceptIdleConn opens a connection on which one response was written.
func acceptIdleConn(t *testing.T) idleConn {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := NewListener(socket, 100, time.Second)
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

// Seen on an overloaded day with few descriptors: connections were closed between the read of a request and the moment at
// which net/http calls them active.
func TestConnectionWithPartlyReadRequestIsNotEvicted(t *testing.T) {
	idle := acceptIdleConn(t)
	io.WriteString(idle.client, "re")
	if n, err := idle.conn.Read(make([]byte, 2)); n != 2 || err != nil {
		t.Fatal(n, err)
	}
	idle.listener.evictIdle()
	io.WriteString(idle.client, "st")
	if n, err := io.ReadFull(idle.conn, make([]byte, 2)); n != 2 || err != nil {
		t.Errorf("the rest of the request: %d bytes, %v", n, err)
	}
}

func TestReadOnEvictedConnectionReturnsEOF(t *testing.T) {
	idle := acceptIdleConn(t)
	read := make(chan error)
	go func() {
		rest, err := io.ReadAll(idle.conn) // no error: the read ended with io.EOF
		if len(rest) > 0 {
			err = fmt.Errorf("%q was read, %w", rest, err)
		}
		read <- err
	}()
	idle.listener.evictIdle()
	if err := <-read; err != nil {
		t.Errorf("the read that waited: %v", err)
	}
	if err := idle.conn.SetReadDeadline(time.Now().Add(testpeer.Patience)); err != nil { // as net/http does after its hook
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(idle.conn); err != nil || len(rest) > 0 {
		t.Errorf("the next read: %q, %v", rest, err)
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
			t.Errorf("its first byte: %d, %v", n, err)
		}
	})
	t.Run("silent for long", func(t *testing.T) {
		idle := acceptIdleConn(t)
		idle.conn.moveTo(&idle.listener.silent)
		idle.conn.queuedAt = time.Now().Add(-2 * minSilentAge)
		idle.listener.evictIdle()
		if rest, err := io.ReadAll(idle.conn); err != nil || len(rest) > 0 {
			t.Errorf("%q, %v", rest, err)
		}
	})
}

// Hundreds of clients that connect and send nothing, or stop within a head, must not keep others out: they are evicted first.
func TestSilentAndPartialConnectionsAreEvictedBeyondTheLimit(t *testing.T) {
	evictOne := func(l *Listener) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.evictIfOverLimit()
	}
	t.Run("a partial head", func(t *testing.T) {
		idle := acceptIdleConn(t)
		idle.listener.maxConnections = 0
		idle.conn.moveTo(&idle.listener.partial)
		idle.conn.queuedAt = time.Now().Add(-2 * minPartialAge)
		evictOne(idle.listener)
		if rest, err := io.ReadAll(idle.conn); err != nil || len(rest) > 0 {
			t.Errorf("%q, %v", rest, err)
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
			t.Errorf("the silent one evicted: %v, the idle one: %v", silent.isEvicted, idle.conn.isEvicted)
		}
	})
}

// A pipelined request is in net/http's buffer, where no read shows it: once its head is complete, an eviction made
// meanwhile must not end it.
func TestPipelinedRequestCancelsEviction(t *testing.T) {
	idle := acceptIdleConn(t)
	idle.listener.evictIdle()
	idle.listener.Track(idle.conn, http.StateActive)
	io.WriteString(idle.client, "r")
	if n, err := idle.conn.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("the read that watches for a disconnect: %d, %v", n, err)
	}
	if idle.listener.evicting != 0 || idle.listener.open != 1 {
		t.Errorf("%d evicting, %d open", idle.listener.evicting, idle.listener.open)
	}
}

// Seen on the same day, with half a core: a request that was received but not read yet must not be lost.
func TestReceivedRequestIsReadDespiteEviction(t *testing.T) {
	idle := acceptIdleConn(t)
	io.WriteString(idle.client, "request")
	socket, err := idle.conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	testpeer.Until(t, "the request is received", func() (isReceived bool) {
		_ = socket.Control(func(fd uintptr) {
			n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			isReceived = n > 0
		})
		return isReceived
	})
	idle.listener.evictIdle()
	if n, err := idle.conn.Read(make([]byte, 7)); n == 0 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// Seen in a test of partial heads: a connection whose eviction was cancelled by some bytes had no read deadline left, and
// with enough of these nobody else was accepted.
func TestPartialRequestHasReadDeadlineAfterCancelledEviction(t *testing.T) {
	idle := acceptIdleConn(t)
	io.WriteString(idle.client, "GET /lo")
	idle.listener.evictIdle()
	for {
		if _, err := idle.conn.Read(make([]byte, 16)); err != nil {
			return // before the test's own limit
		}
	}
}
