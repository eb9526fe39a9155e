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
	silentLeast  = 100 * time.Millisecond // a new connection without a byte is not yet suspect
	partialLeast = 300 * time.Millisecond // nor is one with half a head
	lookAround   = 10 * time.Millisecond
	lastLook     = 20 * time.Millisecond // for what has come on a connection about to be closed
	lastLooks    = 3                     // if this process did not get to run meanwhile
)

// Listener keeps the callers' connections and closes those on which no request is open: the one least missed where
// there are too many, all of them at the end.
//
// It guards against closing a connection on which a request has just been read. net/http's own Shutdown and
// SetKeepAlivesEnabled do that, and a close from its ConnState hook would: there a connection counts as idle until
// the head of a request has been read whole, and what is read during a Shutdown is dropped.
type Listener struct {
	net.Listener
	most        int
	headTimeout time.Duration

	mu       sync.Mutex
	open     int
	retiring int
	again    bool // makeRoom is due
	// Connections without an open request, the one longest so in front:
	silent  list.List // new, and not a byte has come
	idle    list.List // answered, and not a byte has come since
	partial list.List // a part of a head has come
}

// Limit holds a listener of TCP connections to a number that is open at once: beyond it callers wait in the system's
// queue. (netutil.LimitListener does the same, but hides what can splice.)
func Limit(l net.Listener, most int) *Limited {
	limited := &Limited{Listener: l, most: most}
	limited.changed.L = &limited.mu
	return limited
}

// Limited is what Limit makes.
type Limited struct {
	net.Listener

	mu      sync.Mutex
	changed sync.Cond
	open    int // or about to be accepted
	most    int
	closed  bool
}

// SetMaxConnections changes the number. Connections that are beyond it stay.
func (l *Limited) SetMaxConnections(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
	l.changed.Broadcast()
}

// enter waits for room; false: the listener is closed.
func (l *Limited) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open >= l.most && !l.closed {
		l.changed.Wait()
	}
	if !l.closed {
		l.open++
	}
	return !l.closed
}

func (l *Limited) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.changed.Broadcast()
}

// tcpConn is a connection of a limited listener.
type tcpConn struct {
	*net.TCPConn
	once  sync.Once
	leave func()
}

// Accept implements net.Listener.
func (l *Limited) Accept() (net.Conn, error) {
	if !l.enter() {
		return nil, net.ErrClosed
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		l.leave()
		return nil, err
	}
	return &tcpConn{TCPConn: nc.(*net.TCPConn), leave: l.leave}, nil
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
func (c *tcpConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(c.leave)
	return err
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	all  *Listener
	pace atomic.Pointer[body.Meter] // of what is written; nil: no least rate is asked
	head framing

	// all.mu guards these:
	in      *list.List // where it stands, with spot; nil while a request is open
	spot    *list.Element
	since   time.Time // it stands there
	unread  bool      // no byte has come since the last write
	retired bool      // the next read ends the connection, if nothing came before
	counted bool      // in all.open
}

// NewListener keeps at most most connections where it can. headTimeout is how long a request's head may take.
func NewListener(l net.Listener, most int, headTimeout time.Duration) *Listener {
	return &Listener{Listener: l, most: most, headTimeout: headTimeout}
}

// SetMaxConnections changes how many connections are kept where it can.
func (l *Listener) SetMaxConnections(most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.most = most
	for was := -1; was != l.retiring; {
		was = l.retiring
		l.makeRoom()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: nc, all: l, unread: true, counted: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.stand(&l.silent)
	l.makeRoom()
	return c, nil
}

// stand moves the connection to the end of a list; nil: to none. all.mu is held.
func (c *callerConn) stand(in *list.List) {
	if c.in != nil {
		c.in.Remove(c.spot)
	}
	if c.in = in; in != nil {
		c.spot, c.since = in.PushBack(c), time.Now()
	}
}

// Track follows a connection's state for http.Server.
func (l *Listener) Track(nc net.Conn, state http.ConnState) {
	c := nc.(*callerConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive: // a head is whole, perhaps one that came along with the request before: it is served
		c.stand(nil)
		c.stay(time.Time{})
	case http.StateIdle:
		if c.unread {
			c.stand(&l.idle)
		} else {
			c.stand(&l.partial)
		}
		l.makeRoom()
	case http.StateClosed, http.StateHijacked:
		c.stand(nil)
		if c.retired {
			c.retired = false
			l.retiring--
		}
		if c.counted {
			c.counted = false
			l.open--
		}
	}
}

// makeRoom retires the connection least missed if there are too many: one that says nothing, then one idle for long,
// then half a request that does not go on. Where all have a request open, the listener's limit holds new ones back.
// l.mu is held.
func (l *Listener) makeRoom() {
	if l.open-l.retiring <= l.most {
		return
	}
	for _, from := range []struct {
		list  *list.List
		least time.Duration
	}{{&l.silent, silentLeast}, {&l.idle, 0}, {&l.silent, 0}, {&l.partial, partialLeast}} {
		if front := from.list.Front(); front != nil {
			if c := front.Value.(*callerConn); time.Since(c.since) >= from.least {
				c.retire()
				return
			}
		}
	}
	if !l.again { // while the listener waits for room, nothing else would look
		l.again = true
		time.AfterFunc(partialLeast, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.again = false
			l.makeRoom()
		})
	}
}

// retire makes the read that waits for a request end, unless the request comes first. all.mu is held.
func (c *callerConn) retire() {
	c.stand(nil)
	c.retired = true
	c.all.retiring++
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// stay takes a retirement back: a request came first, and has until limit to be read. all.mu is held.
func (c *callerConn) stay(limit time.Time) {
	if c.retired {
		c.retired = false
		c.all.retiring--
		_ = c.Conn.SetReadDeadline(limit)
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.waits() {
		n, err = c.lookAgain(b)
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if n > 0 {
		c.head.take(b[:n], c.unread)
		if c.retired && c.unread { // a request came first
			c.stay(time.Now().Add(c.all.headTimeout)) // net/http's own limit went with the retirement
			c.stand(&c.all.partial)
		}
		if c.in == &c.all.silent || c.in == &c.all.idle {
			c.stand(&c.all.partial)
		}
		c.unread = false
		return n, err
	}
	if c.retired && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, io.EOF
	}
	return n, err
}

// waits tells whether the connection's next byte begins a request.
func (c *callerConn) waits() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.unread && (c.retired || c.in != nil)
}

// lookAgain reads once more after a read has run out of time. The runtime reports that even if bytes have come: none
// may go under.
func (c *callerConn) lookAgain(b []byte) (n int, err error) {
	for range lastLooks {
		began := time.Now()
		_ = c.Conn.SetReadDeadline(began.Add(lastLook))
		n, err = c.Conn.Read(b)
		if n > 0 {
			return n, c.Conn.SetReadDeadline(time.Now().Add(c.all.headTimeout))
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) < 2*lastLook {
			return n, err
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. net/http sets one right after it has told that a connection is idle: that must
// not undo a retirement.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.retired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn.
func (c *callerConn) Write(b []byte) (int, error) {
	c.all.mu.Lock()
	c.unread = true // before the write: what comes in answer to it must count
	c.all.mu.Unlock()
	if m := c.pace.Load(); m != nil {
		n, err := body.Write(c.Conn, m, never, net.Buffers{b})
		return int(n), err
	}
	return c.Conn.Write(b)
}

// splicer is what can go to a connection unseen.
type splicer interface {
	Splice(*net.TCPConn, *body.Meter) (int64, error)
}

// splice is a source whose bytes need not be seen; net/http hands it to ReadFrom.
type splice struct {
	io.Reader
	splicer
}

// ReadFrom implements io.ReaderFrom.
func (c *callerConn) ReadFrom(r io.Reader) (int64, error) {
	s, ok := r.(splice)
	to, plain := c.Conn.(*tcpConn)
	if m := c.pace.Load(); ok && plain && m != nil {
		return s.Splice(to.TCPConn, m)
	}
	if ok {
		return 0, nil
	}
	return io.Copy(struct{ io.Writer }{c}, r)
}

func never() bool { return false }

// connKey finds a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// paceOf holds the caller to a pace while an answer is written to it; nil: no longer.
func paceOf(r *http.Request, m *body.Meter) {
	if c, ok := r.Context().Value(connKey{}).(*callerConn); ok {
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
	for l.retireIdle() > 0 {
		time.Sleep(lookAround)
	}
	return err
}

// retireIdle retires all idle connections, and new ones that stay silent, and tells how many are open.
func (l *Listener) retireIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, from := range []*list.List{&l.idle, &l.silent} {
		for e := from.Front(); e != nil; e = from.Front() {
			c := e.Value.(*callerConn)
			if from == &l.silent && time.Since(c.since) < silentLeast {
				break
			}
			c.retire()
		}
	}
	return l.open
}
