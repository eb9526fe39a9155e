package frontend

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"tuliprock/internal/body"
)

const (
	// finalReadTimeout is how long the last read waits on a connection that is about to be closed.
	finalReadTimeout = 20 * time.Millisecond
	// maxFinalReads is the maximum number of times that the last read on a connection is tried before the connection is closed. It is
	// tried again if the process got no processor time while it waited.
	maxFinalReads = 3
)

// clientConn is the connection of a client. It observes the reads and writes of net/http, so that the Listener can track whether a
// request is open on the connection.
type clientConn struct {
	net.Conn
	listener    *Listener
	writeMeter  atomic.Pointer[body.Meter] // enforces the minimum rate at which the client must receive; nil: no minimum
	headScanner headScanner                // scans the heads of the requests that are read
	waits       waitTracker                // when reads had to wait for the client
	backlog     backlog                    // whether so much is unread that a disconnect may be hidden
	received    receiveClock               // when the bytes that were read had arrived
	pacer       localPacer                 // limits how fast requests are answered without an endpoint

	// listener.mu guards the fields below.
	queue           *list.List    // the listener's queue that holds the connection; nil while an open request may have been forwarded
	element         *list.Element // the connection's element of queue
	queuedAt        time.Time     // when the connection was added to queue
	awaitsFirstByte bool          // no byte was received since the last write
	isReceivingBody bool          // the body of a request is read, and none of it was forwarded
	isEvicted       bool          // the next read that receives no bytes ends the connection
	idleAt          time.Time     // when the latest response was finished; zero: none was
	hasLingered     bool          // Close was called
	isCounted       bool          // the connection is counted in listener.openCount
	hasLongHead     bool          // the connection holds a permit of listener.longHeads
	isHeadRefused   bool          // a head had too many fields, or there was no memory for it; the connection serves no further request
}

// errTooManyFields ends the reading of a head with more than maxHeadFields fields. net/http responds to it with status 400.
var errTooManyFields = errors.New("the head has too many fields")

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	if err := c.pendingHeadError(); err != nil {
		return 0, err
	}
	n, err := c.readOnce(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mayHaveReceived() {
		n, err = c.readAgain(b)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if n > 0 {
		c.recordReceived(b[:n])
		if headErr := c.headError(); headErr != nil {
			return 0, headErr // net/http would serve a head that is complete, and fail only at the next read
		}
		return n, err
	}
	if c.isEvicted && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, io.EOF
	}
	return n, err
}

// readOnce reads from the connection, and records when the bytes had arrived.
func (c *clientConn) readOnce(b []byte) (int, error) {
	endWait := c.waits.begin(c.Conn)
	began := time.Now()
	n, err := c.Conn.Read(b)
	ended := time.Now()
	endWait(n)
	if c.received.arrivedAt.IsZero() && n > 0 {
		c.received.observeFirst(ended, c.sinceReceived(), n, len(b))
	} else {
		c.received.observe(began, ended, n, len(b))
	}
	return n, err
}

// sinceReceived returns how long ago the latest bytes arrived, by the kernel's clock; 0 if that is not known.
func (c *clientConn) sinceReceived() time.Duration {
	state, err := c.socketState()
	if err != nil {
		return 0
	}
	return state.SinceLastReceive()
}

// recordReceived updates the state of the connection after bytes were read from it. Bytes that were received before an eviction took
// effect cancel it: they may complete a request. listener.mu is held.
func (c *clientConn) recordReceived(b []byte) {
	c.headScanner.receive(b, c.received.arrivedAt)
	wasEvicted := c.isEvicted
	c.cancelEviction(time.Now().Add(c.listener.headTimeout)) // a new read deadline is needed, since the eviction has overwritten that of net/http
	switch {
	case c.isReceivingBody:
		c.moveTo(&c.listener.receiving)
	case c.queue != nil || wasEvicted:
		c.moveTo(&c.listener.partial)
	}
	if wasEvicted {
		c.listener.evictOverLimit() // another connection makes way in its stead
	}
	c.awaitsFirstByte = false
}

// pendingHeadError is headError for callers that do not hold listener.mu.
func (c *clientConn) pendingHeadError() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.headError()
}

// headError returns the error that ends the reading of a head which has too many fields or for which there is no memory; nil if net/http
// may read on. While a request is open it is nil: net/http then reads a byte ahead, and an error would cancel the open request.
// listener.mu is held.
func (c *clientConn) headError() error {
	switch {
	case c.queue == nil || c.isReceivingBody:
		return nil
	case c.headScanner.hasTooManyFields():
		c.isHeadRefused = true
		return errTooManyFields
	case c.isHeadRefused || !c.acquireLongHead():
		c.isHeadRefused = true
		return errNoHeadMemory
	}
	return nil
}

// mayHaveReceived reports whether bytes of a request may have been received though a read has timed out: because of an eviction, or while
// the connection waits for its next request.
func (c *clientConn) mayHaveReceived() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.isEvicted || c.awaitsFirstByte && !c.isReceivingBody && c.queue != nil
}

// readAgain repeats a read that has timed out, up to maxFinalReads times. Go's runtime reports a timeout even if bytes have been
// received, and a request that was received must not be lost.
func (c *clientConn) readAgain(b []byte) (n int, err error) {
	for range maxFinalReads {
		startedAt := time.Now()
		_ = c.Conn.SetReadDeadline(startedAt.Add(finalReadTimeout)) // an error is ignored, since the read then fails, too
		n, err = c.readOnce(b)
		if n > 0 {
			return n, c.Conn.SetReadDeadline(time.Now().Add(c.listener.headTimeout))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(startedAt) < 2*finalReadTimeout {
			return n, err
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. It does nothing on an evicted connection: net/http sets a read deadline right after it has
// reported a connection as idle, which would undo an eviction in between.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.isEvicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. If a head was rejected while it was received, the client gets some time to read the response: net/http closes
// the connection at once then, which resets it if bytes are unread.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	mustLinger := c.isHeadRefused && !c.hasLingered
	c.hasLingered = true
	c.listener.mu.Unlock()
	if mustLinger {
		c.linger()
	}
	return c.Conn.Close()
}

// linger ends the sending side of the connection, and discards what the client still sends until it closes its side, but within the limits
// for the rest of a rejected request.
func (c *clientConn) linger() {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); !ok || conn.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(maxLingerTime)) // fails only on a closed connection, on which the read fails, too
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)       // an error means that the client has closed its side, or was too slow
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	c.listener.mu.Lock()
	c.awaitsFirstByte = true // set before the write, since the client may send its next request as soon as it receives the bytes
	c.listener.mu.Unlock()
	if meter := c.writeMeter.Load(); meter != nil {
		n, err := body.Write(c.Conn, meter, isWriteStopped, net.Buffers{b})
		return int(n), err
	}
	return c.Conn.Write(b)
}

// isWriteStopped is the argument isStopped of body.Write. It always returns false, since nothing stops a write to a client before
// it ends or fails.
func isWriteStopped() bool { return false }

// splicer is a source whose bytes the kernel can move to a connection without copying them to the memory of this process.
type splicer interface {
	Splice(*net.TCPConn, *body.Meter) (int64, error)
}

// splicedReader wraps a splicer as an io.Reader, so that net/http passes it to clientConn.ReadFrom. Its Reader is nil and never read.
type splicedReader struct {
	io.Reader
	splicer
}

// ReadFrom implements io.ReaderFrom. It splices a splicedReader if the connection has a writeMeter and was accepted by a
// LimitListener. Otherwise it copies nothing from a splicedReader and returns no error, and the caller must write the bytes with
// Write. The bytes of any other reader are copied.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	source, isSpliced := r.(splicedReader)
	to, isLimitedConn := c.Conn.(*limitedConn)
	if meter := c.writeMeter.Load(); isSpliced && isLimitedConn && meter != nil {
		return source.Splice(to.TCPConn, meter)
	}
	if isSpliced {
		return 0, nil
	}
	return io.Copy(struct{ io.Writer }{c}, r)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the ConnContext hook of http.Server. It adds the connection to the contexts of the requests that are read from it.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil if that connection was not accepted by a Listener.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

// setWriteMeter enforces a minimum rate on writes to the client of a request; a nil meter removes the minimum.
func setWriteMeter(r *http.Request, meter *body.Meter) {
	if c := connOf(r); c != nil {
		c.writeMeter.Store(meter)
	}
}
