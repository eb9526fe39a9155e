// Package socketinfo asks the Linux kernel for the state of TCP sockets. Its functions do not read from the sockets and may be called from
// any goroutine.
package socketinfo

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// TCP states of the Linux kernel (include/net/tcp_states.h).
const (
	stateEstablished = 1 // TCP_ESTABLISHED
	stateClose       = 7 // TCP_CLOSE: the connection was reset
	stateCloseWait   = 8 // TCP_CLOSE_WAIT: the peer has closed its sending side
)

// State is the state of a connection.
type State struct {
	info *unix.TCPInfo
}

// Read returns the state of a socket. The error is net.ErrClosed if this process has closed it.
func Read(socket syscall.Conn) (State, error) {
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return State{}, err
	}
	var info *unix.TCPInfo
	var optionErr error
	err = rawConn.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return State{info}, errors.Join(err, optionErr)
}

// HasPeerLeft reports whether the peer has closed its sending side or reset the connection.
func (s State) HasPeerLeft() bool {
	return s.info.State == stateCloseWait || s.info.State == stateClose
}

// IsEstablished reports whether neither side has closed the connection.
func (s State) IsEstablished() bool { return s.info.State == stateEstablished }

// SinceLastReceive returns how long ago the latest bytes were received, to a millisecond.
func (s State) SinceLastReceive() time.Duration {
	return time.Duration(s.info.Last_data_recv) * time.Millisecond
}

// BytesAcknowledged returns how many bytes the peer's kernel has acknowledged since the connection began.
func (s State) BytesAcknowledged() uint64 { return s.info.Bytes_acked }

// UnreadBytes returns how many bytes were received on a socket that were not read yet; 0 if that is not known.
func UnreadBytes(socket syscall.Conn) int {
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	count := 0
	_ = rawConn.Control(func(fd uintptr) { // fails only on a closed connection
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			count = n
		}
	})
	return count
}
