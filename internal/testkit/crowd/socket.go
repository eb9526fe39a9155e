package crowd

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// stateEstablished is the state of a TCP connection that both sides keep open (include/net/tcp_states.h).
const stateEstablished = 1

// isReset reports whether the peer of a connection has reset it or closed it, without reading from it.
func isReset(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	hasEnded := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		hasEnded = err == nil && info.State != stateEstablished
	})
	return err != nil || hasEnded
}
