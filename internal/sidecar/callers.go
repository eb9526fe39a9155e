package sidecar

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	silentFor  = 2 * time.Second // a new connection may stay without a byte for this long at the end
	lookAround = 10 * time.Millisecond
	lastLook   = 20 * time.Millisecond // for what has come on a connection about to be closed
)

// callers keeps the callers' connections and closes idle ones: the one idle for longest where there are too many,
// all of them at the end.
//
// It guards against closing a connection on which a request has just been read. net/http's own Shutdown and
// SetKeepAlivesEnabled do that, and a close from its ConnState hook would: there a connection counts as idle until
// the head of a request has been read whole, and what is read during a Shutdown is dropped.
type callers struct {
	net.Listener
	most int

	mu   sync.Mutex
	open map[*callerConn]bool
}

// callerConn is a caller's connection. It knows whether anything was read since the last answer.
type callerConn struct {
	net.Conn
	all *callers

	// all.mu guards these:
	unread  bool      // no byte has come since the last write
	idle    bool      // net/http waits for the next request
	new     bool      // and it is the first
	since   time.Time // it is idle or new
	retired bool      // the next read ends the connection, if nothing came before
}

// Accept implements net.Listener.
func (l *callers) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: nc, all: l, unread: true, new: true, since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = true
	l.makeRoom()
	return c, nil
}

// track follows a connection's state for http.Server.
func (l *callers) track(nc net.Conn, state http.ConnState) {
	c := nc.(*callerConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		c.idle, c.new = false, false
	case http.StateIdle:
		c.idle, c.since = true, time.Now()
		l.makeRoom()
	case http.StateClosed, http.StateHijacked:
		delete(l.open, c)
	}
}

// makeRoom retires the connection idle for longest if there are too many. l.mu is held.
func (l *callers) makeRoom() {
	if len(l.open) <= l.most {
		return
	}
	var longest *callerConn
	for c := range l.open {
		if c.idle && c.unread && !c.retired && (longest == nil || c.since.Before(longest.since)) {
			longest = c
		}
	}
	if longest != nil {
		longest.retire()
	}
}

// retire makes the read that waits for a request end, unless bytes come first. all.mu is held.
func (c *callerConn) retire() {
	c.retired = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *callerConn) isRetired() bool {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.retired
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isRetired() {
		// The runtime reports the deadline even if bytes have come: look once more, so that none go under.
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastLook))
		n, err = c.Conn.Read(b)
	}
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if n > 0 {
		c.unread = false
		if c.retired { // a request came first: it is served
			c.retired = false
			return n, c.Conn.SetReadDeadline(time.Time{})
		}
	}
	if c.retired && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, io.EOF
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
	return c.Conn.Write(b)
}

// finish closes the listener, retires what is idle and returns when all connections have ended, each with its last
// request answered.
func (l *callers) finish() error {
	err := l.Listener.Close()
	for l.retireIdle() > 0 {
		time.Sleep(lookAround)
	}
	return err
}

// retireIdle retires all idle connections, and new ones that stay silent, and tells how many are open.
func (l *callers) retireIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if c.unread && !c.retired && (c.idle || c.new && time.Since(c.since) > silentFor) {
			c.retire()
		}
	}
	return len(l.open)
}
