package frontend

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// isClientConnected reports whether a request's client is still connected. net/http detects a disconnect by reading from the
// connection, but it does not read until the handler has read the whole body, nor after it has received a byte that follows the
// request. The kernel is therefore asked for the state of the connection, too. isClientConnected may be called from any goroutine,
// and returns false after the request has ended.
//
// The request's context must be checked after the kernel was asked: a handler that notices a disconnect between the two checks first
// ends the request, which cancels the context, and then closes the connection.
func isClientConnected(r *http.Request) bool {
	switch tcpInfo, err := requestTCPInfo(r); {
	case errors.Is(err, net.ErrClosed):
		return false
	case err == nil && hasPeerLeft(tcpInfo):
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

// TCP states of the Linux kernel (include/net/tcp_states.h).
const (
	stateClose     = 7 // TCP_CLOSE: the connection was reset
	stateCloseWait = 8 // TCP_CLOSE_WAIT: the peer has closed its sending side
)

// hasPeerLeft reports whether a connection's peer has closed its sending side or reset the connection.
func hasPeerLeft(tcpInfo *unix.TCPInfo) bool {
	return tcpInfo.State == stateCloseWait || tcpInfo.State == stateClose
}

// errNoTCPInfo is returned for a connection that is not a socket.
var errNoTCPInfo = errors.New("the connection has no TCP_INFO")

// requestTCPInfo returns the kernel's TCP_INFO of a request's connection. The error is net.ErrClosed if this process has closed the
// connection, and errNoTCPInfo if the connection is not a socket.
func requestTCPInfo(r *http.Request) (*unix.TCPInfo, error) {
	c := connOf(r)
	if c == nil {
		return nil, errNoTCPInfo
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoTCPInfo
	}
	return socketTCPInfo(socket)
}

// socketTCPInfo returns the kernel's TCP_INFO of a socket. The error is net.ErrClosed if this process has closed the socket.
func socketTCPInfo(socket syscall.Conn) (*unix.TCPInfo, error) {
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var tcpInfo *unix.TCPInfo
	var optionErr error
	err = rawConn.Control(func(fd uintptr) {
		tcpInfo, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return tcpInfo, errors.Join(err, optionErr)
}
