package frontend

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"tuliprock/internal/socketinfo"
)

// isClientConnected reports whether a request's client is still connected. net/http detects a disconnect by reading from the
// connection, but it does not read until the handler has read the whole body, nor after it has received a byte that follows the
// request. The kernel is therefore asked for the state of the connection, too. isClientConnected may be called from any goroutine,
// and returns false after the request has ended.
//
// The request's context must be checked after the kernel was asked: a handler that notices a disconnect between the two checks first
// ends the request, which cancels the context, and then closes the connection.
func isClientConnected(r *http.Request) bool {
	switch state, err := requestSocketState(r); {
	case errors.Is(err, net.ErrClosed):
		return false
	case err == nil && state.HasPeerLeft():
		return false
	}
	return r.Context().Err() == nil
}

// maxUnreadBehindRequest is the maximum number of bytes that may wait unread on a connection behind a request that is forwarded. It is
// far below the smallest receive window that a system offers by default.
const maxUnreadBehindRequest = 16 << 10

// backlog tells whether a client has sent so much that the kernel may not know whether it has closed the connection: the end of what a
// client sends comes last, and only when the receive window has space for all before it. It is used by the goroutine that serves the
// connection, and by no other.
type backlog struct {
	since time.Time // when more than maxUnreadBehindRequest bytes were last seen unread; zero: not since all was read
}

// mayHideDisconnect reports whether the client of a request may have closed the connection without the kernel knowing of it. A backlog
// lasts until a read has to wait for the client: a window that was full opens only when most of it was read.
func mayHideDisconnect(r *http.Request) bool {
	c := connOf(r)
	switch {
	case c == nil:
		return false
	case c.UnreadBytes() > maxUnreadBehindRequest:
		c.backlog.since = time.Now()
		c.waits.isEnabled.Store(true)
	case c.WaitedUntil().After(c.backlog.since):
		c.backlog.since = time.Time{}
	}
	return !c.backlog.since.IsZero()
}

// errNoSocket is returned for a connection that is not a socket.
var errNoSocket = errors.New("the connection is not a socket")

// requestSocketState returns the kernel's state of a request's connection. The error is net.ErrClosed if this process has closed the
// connection, and errNoSocket if the connection is not a socket.
func requestSocketState(r *http.Request) (socketinfo.State, error) {
	if c := connOf(r); c != nil {
		return c.socketState()
	}
	return socketinfo.State{}, errNoSocket
}

// socketState is requestSocketState for a connection.
func (c *clientConn) socketState() (socketinfo.State, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return socketinfo.State{}, errNoSocket
	}
	return socketinfo.Read(socket)
}
