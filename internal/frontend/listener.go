package frontend

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/body"
)

const (
	minSilentAge      = 100 * time.Millisecond // a new connection without a byte is not yet suspect
	minPartialAge     = 300 * time.Millisecond // nor is one with half a head
	drainPollInterval = 10 * time.Millisecond
	finalReadTimeout  = 20 * time.Millisecond // for what has come on a connection about to be closed
	maxFinalReads     = 3                     // if this process did not get to run meanwhile
)

// Listener keeps the callers' connections and closes those on which no request is open: the one least missed where
// there are too many, all of them at the end.
//
// It guards against closing a connection on which a request has just been read. net/http's own Shutdown and
// SetKeepAlivesEnabled do that, and a close from its ConnState hook would: there a connection counts as idle until
// the head of a request has been read whole, and what is read during a Shutdown is dropped.
type Listener struct {
	net.Listener
	maxConnections int
	headTimeout    time.Duration

	mu                 sync.Mutex
	open               int
	evicting           int
	isRecheckScheduled bool // makeRoom is due
	// Connections without an open request, the one longest so in front:
	silent  list.List // new, and not a byte has come
	idle    list.List // answered, and not a byte has come since
	partial list.List // a part of a head has come
}

// Limit holds a listener of TCP connections to a number that is open at once: beyond it callers wait in the system's
// queue. (netutil.LimitListener does the same, but hides what can splice.)
func Limit(l net.Listener, most int) *Limited {
	limited := &Limited{Listener: l, maxConnections: most}
	limited.changed.L = &limited.mu
	return limited
}

// Limited is what Limit makes.
type Limited struct {
	net.Listener

	mu             sync.Mutex
	changed        sync.Cond
	open           int // or about to be accepted
	maxConnections int
	closed         bool
}

// SetMaxConnections changes the number. Connections that are beyond it stay.
func (l *Limited) SetMaxConnections(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = most
	l.changed.Broadcast()
}

// acquire waits for room; false: the listener is closed.
func (l *Limited) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.maxConnections && !l.closed {
		l.changed.Wait()
	}
	if !l.closed {
		l.open++
	}
	return !l.closed
}

func (l *Limited) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.changed.Broadcast()
}

// limitedConn is a connection of a limited listener.
type limitedConn struct {
	*net.TCPConn
	releaseOnce sync.Once
	release     func()
}

// Accept implements net.Listener.
func (l *Limited) Accept() (net.Conn, error) {
	if !l.acquire() {
		return nil, net.ErrClosed
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return &limitedConn{TCPConn: nc.(*net.TCPConn), release: l.release}, nil
}

// Close implements net.Listener.
func (l *Limited) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.TCPConn.Close()
	c.releaseOnce.Do(c.release)
	return err
}

// clientConn is a caller's connection.
type clientConn struct {
	net.Conn
	listener *Listener
	pace     atomic.Pointer[body.Meter] // of what is written; nil: no least rate is asked
	head     headScanner

	// all.mu guards these:
	queue           *list.List // where it stands, with spot; nil while a request is open
	element         *list.Element
	queuedAt        time.Time // it stands there
	awaitsFirstByte bool      // no byte has come since the last write
	isEvicted       bool      // the next read ends the connection, if nothing came before
	isCounted       bool      // in all.open
}

// NewListener keeps at most most connections where it can. headTimeout is how long a request's head may take.
func NewListener(l net.Listener, most int, headTimeout time.Duration) *Listener {
	return &Listener{Listener: l, maxConnections: most, headTimeout: headTimeout}
}

// SetMaxConnections changes how many connections are kept where it can.
func (l *Listener) SetMaxConnections(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = most
	for was := -1; was != l.evicting; {
		was = l.evicting
		l.evictIfOverLimit()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: nc, listener: l, awaitsFirstByte: true, isCounted: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.moveTo(&l.silent)
	l.evictIfOverLimit()
	return c, nil
}

// moveTo moves the connection to the end of a list; nil: to none. all.mu is held.
func (c *clientConn) moveTo(in *list.List) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	if c.queue = in; in != nil {
		c.element, c.queuedAt = in.PushBack(c), time.Now()
	}
}

// Track follows a connection's state for http.Server.
func (l *Listener) Track(nc net.Conn, state http.ConnState) {
	c := nc.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive: // a head is whole, perhaps one that came along with the request before: it is served
		c.moveTo(nil)
		c.cancelEviction(time.Time{})
	case http.StateIdle:
		if c.awaitsFirstByte {
			c.moveTo(&l.idle)
		} else {
			c.moveTo(&l.partial)
		}
		l.evictIfOverLimit()
	case http.StateClosed, http.StateHijacked:
		c.moveTo(nil)
		if c.isEvicted {
			c.isEvicted = false
			l.evicting--
		}
		if c.isCounted {
			c.isCounted = false
			l.open--
		}
	}
}

// evictIfOverLimit retires the connection least missed if there are too many: one that says nothing, then one idle for long,
// then half a request that does not go on. Where all have a request open, the listener's limit holds new ones back.
// l.mu is held.
func (l *Listener) evictIfOverLimit() {
	if l.open-l.evicting <= l.maxConnections {
		return
	}
	for _, from := range []struct {
		list  *list.List
		least time.Duration
	}{{&l.silent, minSilentAge}, {&l.idle, 0}, {&l.silent, 0}, {&l.partial, minPartialAge}} {
		if front := from.list.Front(); front != nil {
			if c := front.Value.(*clientConn); time.Since(c.queuedAt) >= from.least {
				c.evict()
				return
			}
		}
	}
	if !l.isRecheckScheduled { // while the listener waits for room, nothing else would look
		l.isRecheckScheduled = true
		time.AfterFunc(minPartialAge, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.isRecheckScheduled = false
			l.evictIfOverLimit()
		})
	}
}

// evict makes the read that waits for a request end, unless the request comes first. all.mu is held.
func (c *clientConn) evict() {
	c.moveTo(nil)
	c.isEvicted = true
	c.listener.evicting++
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// cancelEviction takes a retirement back: a request came first, and has until limit to be read. all.mu is held.
func (c *clientConn) cancelEviction(limit time.Time) {
	if c.isEvicted {
		c.isEvicted = false
		c.listener.evicting--
		_ = c.Conn.SetReadDeadline(limit)
	}
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
		c.head.scan(b[:n], c.awaitsFirstByte)
		if c.isEvicted && c.awaitsFirstByte { // a request came first
			c.cancelEviction(time.Now().Add(c.listener.headTimeout)) // net/http's own limit went with the retirement
			c.moveTo(&c.listener.partial)
		}
		if c.queue == &c.listener.silent || c.queue == &c.listener.idle {
			c.moveTo(&c.listener.partial)
		}
		c.awaitsFirstByte = false
		return n, err
	}
	if c.isEvicted && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, io.EOF
	}
	return n, err
}

// awaitsRequest tells whether the connection's next byte begins a request.
func (c *clientConn) awaitsRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.awaitsFirstByte && (c.isEvicted || c.queue != nil)
}

// readAgain reads once more after a read has run out of time. The runtime reports that even if bytes have come: none
// may go under.
func (c *clientConn) readAgain(b []byte) (n int, err error) {
	for range maxFinalReads {
		began := time.Now()
		_ = c.Conn.SetReadDeadline(began.Add(finalReadTimeout))
		n, err = c.Conn.Read(b)
		if n > 0 {
			return n, c.Conn.SetReadDeadline(time.Now().Add(c.listener.headTimeout))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) < 2*finalReadTimeout {
			return n, err
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. net/http sets one right after it has told that a connection is idle: that must
// not undo a retirement.
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
	c.awaitsFirstByte = true // before the write: what comes in answer to it must count
	c.listener.mu.Unlock()
	if m := c.pace.Load(); m != nil {
		n, err := body.Write(c.Conn, m, neverStopped, net.Buffers{b})
		return int(n), err
	}
	return c.Conn.Write(b)
}

// splicer is what can go to a connection unseen.
type splicer interface {
	Splice(*net.TCPConn, *body.Meter) (int64, error)
}

// splicedReader is a source whose bytes need not be seen; net/http hands it to ReadFrom.
type splicedReader struct {
	io.Reader
	splicer
}

// ReadFrom implements io.ReaderFrom.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	s, ok := r.(splicedReader)
	to, plain := c.Conn.(*limitedConn)
	if m := c.pace.Load(); ok && plain && m != nil {
		return s.Splice(to.TCPConn, m)
	}
	if ok {
		return 0, nil
	}
	return io.Copy(struct{ io.Writer }{c}, r)
}

func neverStopped() bool { return false }

// connKey finds a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// setPace holds the caller to a pace while an answer is written to it; nil: no longer.
func setPace(r *http.Request, m *body.Meter) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.pace.Store(m)
	}
}

// Count tells how many connections are open.
func (l *Listener) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Finish closes the listener, retires what is idle and returns when all connections have ended, each with its last
// request answered.
func (l *Listener) Finish() error {
	err := l.Close()
	for l.evictIdle() > 0 {
		time.Sleep(drainPollInterval)
	}
	return err
}

// evictIdle retires all idle connections, and new ones that stay silent, and tells how many are open.
func (l *Listener) evictIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, from := range []*list.List{&l.idle, &l.silent} {
		for e := from.Front(); e != nil; e = from.Front() {
			c := e.Value.(*clientConn)
			if from == &l.silent && time.Since(c.queuedAt) < minSilentAge {
				break
			}
			c.evict()
		}
	}
	return l.open
}
