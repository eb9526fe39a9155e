package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"tuliprock/internal/body"
)

const (
	minSpliceBytes    = 256 << 10              // left of a body, from which splicing is worth its system calls
	maxSpliceBytes    = 1 << 20                // at once: what a pipe of the kernel holds at most
	spliceReadTimeout = 100 * time.Millisecond // of the endpoint's next bytes
)

// Splice copies a piece of the body to a client's connection inside the kernel (splice(2), by way of
// net.TCPConn.ReadFrom) and returns its length in bytes. 0 means that there is nothing to gain, and that Next must
// follow. It waits for the endpoint for 100 ms at most: an endpoint below its minimum rate is found by Next.
// clientMeter measures the client, whose write deadline Splice sets; body.ErrTooSlow means that the client is too slow.
func (s *Stream) Splice(to *net.TCPConn, clientMeter *body.Meter) (n int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, ok := s.conn.Conn.(*net.TCPConn)
	if !ok || !s.canSplice() {
		return 0, nil
	}
	began := time.Now()
	_ = from.SetReadDeadline(began.Add(spliceReadTimeout))
	if at, changed := clientMeter.Deadline(began); changed {
		if err := to.SetWriteDeadline(at); err != nil {
			return 0, err
		}
	}
	want := min(s.Length-s.received, maxSpliceBytes)
	n, err = to.ReadFrom(&io.LimitedReader{R: from, N: want})
	took := time.Since(began)
	s.received += n
	switch {
	case err == nil && n < want:
		s.err = io.ErrUnexpectedEOF
	case err == nil:
		clientMeter.Record(int(n), took)
		s.meter.Record(int(n), 0)
	case errors.Is(err, os.ErrDeadlineExceeded) && took < clientMeter.MinWait(): // the endpoint paused
		s.meter.Record(int(n), spliceReadTimeout)
		err = nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, body.ErrTooSlow
	default:
		s.err = err
	}
	return n, err
}

// canSplice reports whether nothing of the body is buffered and enough of it is left. s.mu is held.
func (s *Stream) canSplice() bool {
	return s.Length >= 0 && s.Length-s.received >= minSpliceBytes && !s.isReading && s.consumed >= s.filled && s.err == nil &&
		s.conn.reader.Buffered() == 0 && s.maxBytes <= 0
}
