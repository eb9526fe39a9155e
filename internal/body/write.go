package body

import (
	"errors"
	"net"
	"os"
	"time"
)

// ErrSlow is a peer that does not keep its Pace.
var ErrSlow = errors.New("the peer is too slow")

// ErrStopped is a Write that was told to stop.
var ErrStopped = errors.New("stopped")

// Write writes all of the buffers to a peer that keeps its pace, and tells how much went out. It uses the connection's
// deadline for writes, and leaves it behind, for the next Write by the same Meter. Whoever wants it to end makes stopped true and then
// sets a deadline in the past, in this order.
func Write(nc net.Conn, m *Meter, stopped func() bool, buffers net.Buffers) (sent int64, err error) {
	for len(buffers) > 0 {
		began := time.Now()
		if at, anew := m.Deadline(began); anew {
			if err := nc.SetWriteDeadline(at); err != nil {
				return sent, err
			}
		}
		if stopped() {
			return sent, ErrStopped
		}
		n, err := buffers.WriteTo(nc)
		sent += n
		m.Record(int(n), time.Since(began))
		switch {
		case err == nil:
		case stopped():
			return sent, ErrStopped
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return sent, err
		case n == 0 || m.MaxWait() == 0:
			return sent, ErrSlow
		}
	}
	return sent, nil
}
