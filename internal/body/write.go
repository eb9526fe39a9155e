package body

import (
	"errors"
	"net"
	"os"
	"time"
)

var (
	// ErrTooSlow is returned if the peer does not keep its MinimumRate. The text is sent to clients.
	ErrTooSlow = errors.New("the peer is too slow")
	// ErrStopped is returned by a Write whose isStopped has returned true.
	ErrStopped = errors.New("stopped")
)

// Write writes all buffers to a peer that must keep a MinimumRate, and returns how many bytes were written. The error is
// ErrTooSlow, ErrStopped, or the connection's own. Write sets the connection's write deadline and leaves it in place for the
// next Write with the same Meter. To stop a Write, first make isStopped return true, then set a write deadline in the past.
func Write(nc net.Conn, m *Meter, isStopped func() bool, buffers net.Buffers) (written int64, err error) {
	for len(buffers) > 0 {
		began := time.Now()
		if at, changed := m.Deadline(began); changed {
			if err := nc.SetWriteDeadline(at); err != nil {
				return written, err
			}
		}
		if isStopped() {
			return written, ErrStopped
		}
		n, err := buffers.WriteTo(nc)
		written += n
		m.Record(int(n), time.Since(began))
		switch {
		case err == nil:
		case isStopped():
			return written, ErrStopped
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case n == 0 || m.MaxWait() == 0:
			return written, ErrTooSlow
		}
	}
	return written, nil
}
