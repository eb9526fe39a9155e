package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainPollInterval is how often a shutdown looks for connections that have become idle: far less than what is left of the
// grace period by then.
const drainPollInterval = 10 * time.Millisecond

// Listener tracks the connections of clients, and evicts those without an open request: the least valuable one where
// there are too many, all of them at shutdown.
//
// It guards against closing a connection on which a request has just been read. net/http's own Shutdown and
// SetKeepAlivesEnabled do that, and so would a close from its ConnState hook: there a connection counts as idle until
// the complete head of a request was read, and what is read during a Shutdown is dropped.
//
// Its methods are safe for concurrent use. Its connections must be served by an http.Server whose ConnState hook is Track.
type Listener struct {
	net.Listener
	headTimeout time.Duration

	mu                 sync.Mutex // guards what follows, and the tracking fields of all clientConns
	maxConnections     int
	open               int  // connections accepted and not yet closed
	evicting           int  // connections that are marked for eviction and not yet closed
	isRecheckScheduled bool // a timer will call evictIfOverLimit

	// Queues of connections without an open request, the one queued for longest in front:
	silent  list.List // new, without any byte received
	idle    list.List // a response was written, and no byte received since
	partial list.List // a part of a request's head was received
}

// NewListener wraps a listener. It evicts connections beyond maxConnections for as long as there are any without an open
// request. headTimeout is how long a request's head may take whose connection was about to be evicted.
func NewListener(l net.Listener, maxConnections int, headTimeout time.Duration) *Listener {
	return &Listener{Listener: l, maxConnections: maxConnections, headTimeout: headTimeout}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: conn, listener: l, awaitsFirstByte: true, isCounted: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	c.moveTo(&l.silent)
	l.evictIfOverLimit()
	return c, nil
}

// Track follows the state of a connection. It is the ConnState hook of the http.Server that serves the Listener.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive: // a head is complete, perhaps that of a pipelined request: it is served
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

// SetMaxConnections changes the number of connections beyond which those without an open request are evicted.
func (l *Listener) SetMaxConnections(maxConnections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = maxConnections
	for before := -1; before != l.evicting; {
		before = l.evicting
		l.evictIfOverLimit()
	}
}

// ConnectionCount returns the number of open connections.
func (l *Listener) ConnectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Shutdown closes the listener, evicts idle connections and returns when all connections are closed, each with the
// response to its last request. The error is that of closing the listener.
func (l *Listener) Shutdown() error {
	err := l.Close()
	for l.evictIdle() > 0 {
		time.Sleep(drainPollInterval)
	}
	return err
}
