package crowd

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"tuliprock/internal/socketinfo"
)

// Buffers and segments of the sockets of crowds: those of a client on a network rather than on loopback, whose large segments let the
// systems of both sides take in hundreds of kilobytes that no side has read.
const (
	receiveBufferBytes = 8 << 10
	sendBufferBytes    = 64 << 10
	segmentBytes       = 1460
)

// limitBuffers is the Control of a net.Dialer. It sets the sizes of the buffers before the connection is established.
func limitBuffers(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes),
		)
	})
	return errors.Join(err, optionErr)
}

// isReset reports whether the peer of a connection has reset it or closed it, without reading from it.
func isReset(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	state, err := socketinfo.Read(socket)
	return err != nil || !state.IsEstablished()
}
