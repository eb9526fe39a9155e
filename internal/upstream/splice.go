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
	minSpliceBytes    = 256 << 10              // remaining bytes of a body below which splicing is not worth its system calls
	maxSpliceBytes    = 1 << 20                // maximum number of bytes per call of Splice; the kernel's maximum capacity of a pipe
	spliceReadTimeout = 100 * time.Millisecond // maximum wait for the endpoint per call of Splice
)

// Splice copies a part of the body to a client's connection inside the kernel (splice(2), which net.TCPConn.ReadFrom uses) and
// returns its length in bytes. 0 means that the next part must be read with Next. Splice waits for the endpoint for at most
// 100 ms, and leaves it to Next to detect an endpoint below its minimum rate. clientMeter is the meter of the client, whose progress
// Splice records in it while the part is written; body.ErrTooSlow means that the client is too slow.
func (s *Stream) Splice(to *net.TCPConn, clientMeter *body.Meter) (n int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpointConn, ok := s.conn.Conn.(*net.TCPConn)
	if !ok || !s.canSplice() {
		return 0, nil
	}
	startedAt := time.Now()
	readDeadline := startedAt.Add(spliceReadTimeout)
	_ = endpointConn.SetReadDeadline(readDeadline)
	progress, err := watchClientProgress(to, clientMeter, startedAt, readDeadline)
	if err != nil {
		return 0, err
	}
	size := min(s.Length-s.receivedBytes, maxSpliceBytes)
	n, err = to.ReadFrom(&io.LimitedReader{R: endpointConn, N: size})
	writeDeadlinePassed := progress.stop(n)
	s.receivedBytes += n
	switch {
	case err == nil && n < size:
		s.err = io.ErrUnexpectedEOF
	case err == nil:
		s.meter.Record(int(n), 0)
	case errors.Is(err, os.ErrDeadlineExceeded) && writeDeadlinePassed:
		return n, body.ErrTooSlow // bytes that were taken from the endpoint may be lost, so the body can't go on
	case errors.Is(err, os.ErrDeadlineExceeded): // the endpoint's read deadline has passed
		s.meter.Record(int(n), spliceReadTimeout)
		err = nil
	default:
		s.err = err
	}
	return n, err
}

// canSplice reports whether no part of the body is buffered and enough of it is left to splice. s.mu is held.
func (s *Stream) canSplice() bool {
	return s.Length >= 0 && s.Length-s.receivedBytes >= minSpliceBytes && !s.isReading && s.consumedBytes >= s.filledBytes && s.err == nil &&
		s.conn.reader.Buffered() == 0 && s.maxBytes <= 0
}
