package frontend

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// drainPollInterval is the time between two checks, during a shutdown, for connections that have become idle. It is far shorter than
// the part of the grace period that remains when Listener.Shutdown is called.
const drainPollInterval = 10 * time.Millisecond

// Listener tracks the connections of clients and evicts those without an open request: as many as are too many, and all of them at
// shutdown.
//
// It never closes a connection on which a request has just been received. The Shutdown and SetKeepAlivesEnabled methods of
// http.Server may close such a connection, and so may a ConnState hook that closes idle connections: net/http reports a connection
// as idle until it has read the complete head of a request, and drops what it reads during Shutdown.
//
// The methods of Listener are safe for concurrent use. Its connections must be served by an http.Server whose ConnState hook is Track.
type Listener struct {
	net.Listener
	headTimeout time.Duration // timeout for the rest of a request's head that began to arrive when its connection was about to be closed

	mu                 sync.Mutex // guards the fields below, and the tracking fields of all clientConns
	maxConnections     int        // number of connections beyond which those without an open request are evicted
	openCount          int        // number of connections that are accepted and not yet closed
	evictingCount      int        // number of connections that are marked for eviction and not yet closed
	isRecheckScheduled bool       // a timer will call evictOverLimit
	evictedCount       uint64     // number of connections that were marked for eviction since the start
	longHeads          longHeadLimit

	// The queues hold the connections that may be evicted, the one of which nothing was heard for longest at the front.
	silent    list.List // new connections on which no byte was received
	idle      list.List // connections on which no byte was received since a response was written
	partial   list.List // connections on which a part of a request's head was received
	receiving list.List // connections on which a part of a request's body was received, and none of it was forwarded
}

// NewListener wraps a listener. While more than maxConnections connections are open, it evicts connections without an open request.
// headTimeout limits how long the rest of a request's head may take if the head began to arrive when its connection was about to be
// closed.
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
	l.openCount++
	c.moveTo(&l.silent)
	l.evictOverLimit()
	return c, nil
}

// Track is the ConnState hook of the http.Server that serves the Listener. It tracks the state of each connection.
func (l *Listener) Track(conn net.Conn, state http.ConnState) {
	c := conn.(*clientConn)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive: // net/http has read the head of a request, possibly a pipelined one, and will serve it: the connection must stay open
		c.moveTo(nil)
		c.cancelEviction(time.Time{})
	case http.StateIdle:
		c.idleAt = time.Now()
		c.releaseLongHead()
		if c.awaitsFirstByte {
			c.moveTo(&l.idle)
		} else {
			c.moveTo(&l.partial)
		}
		l.evictOverLimit()
	case http.StateClosed, http.StateHijacked:
		c.moveTo(nil)
		c.releaseLongHead()
		if c.isEvicted {
			c.isEvicted = false
			l.evictingCount--
		}
		if c.isCounted {
			c.isCounted = false
			l.openCount--
		}
	}
}

// SetMaxConnections changes the number of connections beyond which connections without an open request are evicted.
func (l *Listener) SetMaxConnections(maxConnections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = maxConnections
	l.evictOverLimit()
}

// SetMaxLongHeads limits how many connections may have a head of over 4 KiB at a time, from when the head is received until its request has
// ended; 0 means no limit. Further ones are rejected with status 400.
func (l *Listener) SetMaxLongHeads(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longHeads.max = limit
}

// ConnectionCount returns the number of accepted connections that are not yet closed, including those marked for eviction.
func (l *Listener) ConnectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openCount
}

// ConnectionCounts says in which states the connections of a Listener are.
type ConnectionCounts struct {
	Open     int    // accepted and not closed
	Silent   int    // new connections on which no byte was received
	Idle     int    // connections without a request
	Head     int    // connections on which a part of a request's head was received
	Body     int    // connections on which a part of a request's body was received, and none of it was forwarded
	Evicting int    // connections that are marked for eviction and not yet closed
	Evicted  uint64 // connections that were marked for eviction since the start
}

// Counts returns the states of the connections.
func (l *Listener) Counts() ConnectionCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ConnectionCounts{
		Open: l.openCount, Silent: l.silent.Len(), Idle: l.idle.Len(), Head: l.partial.Len(), Body: l.receiving.Len(),
		Evicting: l.evictingCount, Evicted: l.evictedCount,
	}
}

// Add returns the sum of two counts.
func (c ConnectionCounts) Add(other ConnectionCounts) ConnectionCounts {
	return ConnectionCounts{
		Open: c.Open + other.Open, Silent: c.Silent + other.Silent, Idle: c.Idle + other.Idle, Head: c.Head + other.Head,
		Body: c.Body + other.Body, Evicting: c.Evicting + other.Evicting, Evicted: c.Evicted + other.Evicted,
	}
}

// Shutdown closes the listener, evicts connections as they become idle, and returns when all connections are closed. Each is closed
// only after the response to its last request. The error is that of closing the listener.
func (l *Listener) Shutdown() error {
	err := l.Close()
	for l.evictIdle() > 0 {
		time.Sleep(drainPollInterval)
	}
	return err
}
