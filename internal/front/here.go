package front

import (
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

// isHere tells whether a request's caller still waits for it. net/http sees an end by reading on, and does not read on once a
// byte has come behind the request: the kernel is asked, too, but for a body that flows, whose end may lie behind bytes that are
// still to be read. It may be called from any goroutine; after the request's end nobody is here.
func isHere(r *http.Request, flows bool) bool {
	if r.Context().Err() != nil {
		return false
	}
	if flows {
		return true
	}
	info, ok := tcpInfo(r)
	return !ok || info.State != stateCloseWait && info.State != stateClose
}

// The kernel's numbers for a connection whose peer has ended its sending, and for one that was reset
// (include/net/tcp_states.h).
const (
	stateClose     = 7
	stateCloseWait = 8
)

// tcpInfo is what the kernel tells of a request's connection, where it does.
func tcpInfo(r *http.Request) (*unix.TCPInfo, bool) {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return nil, false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	var info *unix.TCPInfo
	var asked error
	err = raw.Control(func(fd uintptr) { info, asked = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, err == nil && asked == nil
}
