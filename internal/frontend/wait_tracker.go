package frontend

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"tuliprock/internal/socketinfo"
)

// waitTracker records when a read of a client's connection had to wait for the client. It does so only once it is enabled, since it
// costs a system call for each read. The zero value is disabled. It is safe for concurrent use.
type waitTracker struct {
	isEnabled   atomic.Bool
	waitedUntil atomic.Pointer[time.Time]
}

// begin is called before a read, and the function that it returns after the read, with the number of bytes that were read.
func (w *waitTracker) begin(conn net.Conn) (end func(n int)) {
	if !w.isEnabled.Load() || unreadBytes(conn) > 0 {
		return func(int) {}
	}
	return func(n int) {
		if n > 0 {
			now := time.Now()
			w.waitedUntil.Store(&now)
		}
	}
}

// WaitedUntil implements body.ClientConnection.
func (c *clientConn) WaitedUntil() time.Time {
	if at := c.waits.waitedUntil.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// UnreadBytes implements body.ClientConnection.
func (c *clientConn) UnreadBytes() int { return unreadBytes(c.Conn) }

// unreadBytes returns how many bytes have arrived on a connection that were not read yet; 0 if that is not known.
func unreadBytes(conn net.Conn) int {
	if socket, ok := conn.(syscall.Conn); ok {
		return socketinfo.UnreadBytes(socket)
	}
	return 0
}
