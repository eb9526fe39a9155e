package sidecar

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// accepted gives both ends of a caller's connection that net/http holds for idle.
func accepted(t *testing.T) (*callers, *callerConn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &callers{Listener: listener, most: 100, open: map[*callerConn]bool{}}
	t.Cleanup(func() { l.Close() })
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	c := nc.(*callerConn)
	l.track(c, http.StateActive)
	if _, err := c.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	l.track(c, http.StateIdle)
	return l, c, client
}

// Seen on an overloaded day with few descriptors: connections were closed between the read of a request and the
// moment at which net/http calls them active.
func TestAConnectionWithARequestReadIsNotRetired(t *testing.T) {
	l, c, client := accepted(t)
	io.WriteString(client, "re")
	if n, err := c.Read(make([]byte, 2)); n != 2 || err != nil {
		t.Fatal(n, err)
	}
	l.retireIdle()
	io.WriteString(client, "st")
	if n, err := io.ReadFull(c, make([]byte, 2)); n != 2 || err != nil {
		t.Errorf("the rest of the request: %d bytes, %v", n, err)
	}
}

func TestARetiredConnectionEnds(t *testing.T) {
	l, c, _ := accepted(t)
	read := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		read <- err
	}()
	l.retireIdle()
	if err := <-read; err != io.EOF {
		t.Errorf("the read that waited: %v", err)
	}
	if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil { // as net/http does after its hook
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the next read: %v", err)
	}
}

func TestASilentNewConnectionIsKeptForAWhile(t *testing.T) {
	l, c, client := accepted(t)
	c.idle, c.new = false, true
	c.since = time.Now().Add(time.Hour)
	l.retireIdle()
	io.WriteString(client, "r")
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("its first byte: %d, %v", n, err)
	}
	l, c, _ = accepted(t)
	c.idle, c.new = false, true
	c.since = time.Now().Add(-2 * silentFor)
	l.retireIdle()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("silent for long: %v", err)
	}
}

// Seen on the same day, with half a core: a request that has come but was not read yet must not go under.
func TestARequestThatHasComeIsReadBeforeTheEnd(t *testing.T) {
	l, c, client := accepted(t)
	io.WriteString(client, "request")
	nc, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the request comes", func() bool { return !(&conn{raw: nc}).quiet() })
	l.retireIdle()
	if n, err := c.Read(make([]byte, 7)); n == 0 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}
