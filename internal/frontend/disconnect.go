package frontend

import (
	"errors"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// isClientConnected tells whether a request's caller still waits for it. net/http sees an end by reading on, and does not read on while a body
// has not come to its end, nor once a byte has come behind the request: the kernel is asked, too. It may be called from any
// goroutine; after the request's end nobody is here.
//
// The order counts: net/http's word comes last, for a handler that sees the end meanwhile ends the request, and then its connection.
func isClientConnected(r *http.Request) bool {
	switch info, err := requestTCPInfo(r); {
	case errors.Is(err, net.ErrClosed):
		return false
	case err == nil && (info.State == stateCloseWait || info.State == stateClose):
		return false
	}
	return r.Context().Err() == nil
}

// The kernel's numbers for a connection whose peer has ended its sending, and for one that was reset
// (include/net/tcp_states.h).
const (
	stateClose     = 7
	stateCloseWait = 8
)

var errNoTCPInfo = errors.New("the kernel is not asked about this connection")

// requestTCPInfo is what the kernel tells of a request's connection. The error is net.ErrClosed where this side has closed it.
func requestTCPInfo(r *http.Request) (*unix.TCPInfo, error) {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return nil, errNoTCPInfo
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoTCPInfo
	}
	return socketTCPInfo(socket)
}

func socketTCPInfo(socket syscall.Conn) (info *unix.TCPInfo, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var asked error
	err = raw.Control(func(fd uintptr) { info, asked = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(err, asked)
}
