package socketinfo

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"tuliprock/internal/testkit/testpeer"
)

func TestStateOfConnection(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	l := testpeer.ServeTCP(t, func(conn net.Conn) { accepted <- conn; <-t.Context().Done() })
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server := (<-accepted).(syscall.Conn)
	state := func() State {
		t.Helper()
		s, err := Read(server)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	if s := state(); !s.IsEstablished() || s.HasPeerLeft() || UnreadBytes(server) != 0 {
		t.Errorf("a new connection has the state %+v and %d unread bytes", s.info, UnreadBytes(server))
	}
	io.WriteString(client, "abc")
	testpeer.Eventually(t, "three bytes are unread", func() bool { return UnreadBytes(server) == 3 })
	io.WriteString(server.(net.Conn), "defg")
	testpeer.Eventually(t, "four bytes are acknowledged", func() bool { return state().BytesAcknowledged() >= 4 })
	testpeer.Eventually(t, "the bytes were received some time ago", func() bool { return state().SinceLastReceive() > 0 })
	client.Close()
	testpeer.Eventually(t, "the client has left", func() bool { return state().HasPeerLeft() && !state().IsEstablished() })
	server.(net.Conn).Close()
	if _, err := Read(server); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the state of a closed socket has the error %v, want net.ErrClosed", err)
	}
}
