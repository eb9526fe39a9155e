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
	// maxFinalReads is how often that read is done again if this process got no processor time meanwhile.
	maxFinalReads = 3
)

// clientConn is the connection of a client. It observes what net/http reads and writes, for the Listener's tracking.
type clientConn struct {
	net.Conn
	listener   *Listener
	writeMeter atomic.Pointer[body.Meter] // minimum rate of writes; nil: none
	head       headScanner

	// listener.mu guards these:
	queue           *list.List // of the Listener, in which element stands; nil while a request is open
	element         *list.Element
	queuedAt        time.Time
	awaitsFirstByte bool // no byte was received since the last write
	isEvicted       bool // the next read ends the connection, unless bytes are received first
	isCounted       bool // in listener.open
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.awaitsRequest() {
		n, err = c.readAgain(b)
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if n > 0 {
		c.recordReceived(b[:n])
		return n, err
	}
	if c.isEvicted && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, io.EOF
	}
	return n, err
}

// recordReceived notes bytes that were read. listener.mu is held.
func (c *clientConn) recordReceived(b []byte) {
	c.head.scan(b, c.awaitsFirstByte)
	if c.isEvicted && c.awaitsFirstByte { // a request came first
		c.cancelEviction(time.Now().Add(c.listener.headTimeout)) // the eviction has replaced net/http's own deadline
		c.moveTo(&c.listener.partial)
	}
	if c.queue == &c.listener.silent || c.queue == &c.listener.idle {
		c.moveTo(&c.listener.partial)
	}
	c.awaitsFirstByte = false
}

// awaitsRequest reports whether the connection's next byte begins a request.
func (c *clientConn) awaitsRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.awaitsFirstByte && (c.isEvicted || c.queue != nil)
}

// readAgain reads once more after a read has timed out. The runtime reports a timeout even if bytes have arrived, and
// a request that has arrived must not be lost.
func (c *clientConn) readAgain(b []byte) (n int, err error) {
	for range maxFinalReads {
		startedAt := time.Now()
		_ = c.Conn.SetReadDeadline(startedAt.Add(finalReadTimeout)) // if it fails, so does the read
		n, err = c.Conn.Read(b)
		if n > 0 {
			return n, c.Conn.SetReadDeadline(time.Now().Add(c.listener.headTimeout))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(startedAt) < 2*finalReadTimeout {
			return n, err
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. net/http sets a deadline right after it has reported that a connection is idle:
// that must not undo an eviction.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.isEvicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	c.listener.mu.Lock()
	c.awaitsFirstByte = true // before the write: what is received in response to it begins a request
	c.listener.mu.Unlock()
	if meter := c.writeMeter.Load(); meter != nil {
		n, err := body.Write(c.Conn, meter, neverStopped, net.Buffers{b})
		return int(n), err
	}
	return c.Conn.Write(b)
}

func neverStopped() bool { return false }

// splicer is a source whose bytes can go to a connection within the kernel.
type splicer interface {
	Splice(*net.TCPConn, *body.Meter) (int64, error)
}

// splicedReader is a splicer in the form in which net/http hands it through to clientConn.ReadFrom. It is never read.
type splicedReader struct {
	io.Reader
	splicer
}

// ReadFrom implements io.ReaderFrom. A splicedReader is spliced if the connection's writes have a minimum rate; else
// nothing of it is copied, without an error.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	source, isSpliced := r.(splicedReader)
	to, isTCP := c.Conn.(*limitedConn)
	if meter := c.writeMeter.Load(); isSpliced && isTCP && meter != nil {
		return source.Splice(to.TCPConn, meter)
	}
	if isSpliced {
		return 0, nil
	}
	return io.Copy(struct{ io.Writer }{c}, r)
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn is the ConnContext hook by which a handler finds its request's connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns a request's connection; nil if a Listener did not accept it.
func connOf(r *http.Request) *clientConn {
	c, _ := r.Context().Value(connKey{}).(*clientConn)
	return c
}

// setWriteMeter holds the client to a minimum rate while a response is written to it; nil: no longer.
func setWriteMeter(r *http.Request, meter *body.Meter) {
	if c := connOf(r); c != nil {
		c.writeMeter.Store(meter)
	}
}
