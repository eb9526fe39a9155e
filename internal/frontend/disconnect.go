package frontend

import (
	"errors"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// isClientConnected reports whether a request's client still waits for it. net/http notices a disconnect by reading on,
// and does not read on before a body's end was read, nor once a byte was received behind the request: so the kernel is
// asked, too. It may be called from any goroutine; after the request's end it is false.
//
// The order matters: the request's context is looked at last, for a handler that sees a disconnect meanwhile ends the
// request, and then its connection.
func isClientConnected(r *http.Request) bool {
	switch info, err := requestTCPInfo(r); {
	case errors.Is(err, net.ErrClosed):
		return false
	case err == nil && (info.State == stateCloseWait || info.State == stateClose):
		return false
	}
	return r.Context().Err() == nil
}

// The kernel's states of a connection (include/net/tcp_states.h).
const (
	stateClose     = 7 // it was reset
	stateCloseWait = 8 // the peer has ended its sending
)

// errNoTCPInfo is returned for a connection that is not a socket.
var errNoTCPInfo = errors.New("the connection has no TCP_INFO")

// requestTCPInfo returns the kernel's TCP_INFO of a request's connection. The error is net.ErrClosed if this side has
// closed the connection, and errNoTCPInfo if it is not a socket.
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

// socketTCPInfo returns the kernel's TCP_INFO of a socket. The error is net.ErrClosed if the socket was closed here.
func socketTCPInfo(socket syscall.Conn) (*unix.TCPInfo, error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(err, infoErr)
}
