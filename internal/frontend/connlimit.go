package frontend

import (
	"net"
	"sync"
)

// LimitListener is a listener that limits how many of its connections are open at once. At the limit Accept blocks, and further
// clients wait in the kernel's accept queue. Its connections expose their *net.TCPConn, which streaming responses need for splice;
// those of netutil.LimitListener do not.
type LimitListener struct {
	net.Listener

	mu             sync.Mutex // guards the fields below
	stateChanged   sync.Cond  // wakes acquire after a change of openCount, maxConnections or isClosed
	openCount      int        // number of connections that are open or about to be accepted
	maxConnections int
	isClosed       bool // whether Close was called
}

// NewLimitListener wraps a listener for TCP connections, so that at most maxConnections of them are open at once.
func NewLimitListener(l net.Listener, maxConnections int) *LimitListener {
	listener := &LimitListener{Listener: l, maxConnections: maxConnections}
	listener.stateChanged.L = &listener.mu
	return listener
}

// SetMaxConnections changes the limit. Connections beyond a lower limit stay open.
func (l *LimitListener) SetMaxConnections(maxConnections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = maxConnections
	l.stateChanged.Broadcast()
}

// Accept implements net.Listener. It blocks while maxConnections connections are open, and returns net.ErrClosed after Close.
func (l *LimitListener) Accept() (net.Conn, error) {
	if !l.acquire() {
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return &limitedConn{TCPConn: conn.(*net.TCPConn), release: l.release}, nil
}

// Close implements net.Listener. Accepted connections stay open.
func (l *LimitListener) Close() error {
	l.mu.Lock()
	l.isClosed = true
	l.stateChanged.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// acquire waits until one more connection may be open and counts it. It returns false if the listener is closed.
func (l *LimitListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.openCount >= l.maxConnections && !l.isClosed {
		l.stateChanged.Wait()
	}
	if !l.isClosed {
		l.openCount++
	}
	return !l.isClosed
}

// release subtracts one from openCount after a connection was closed or Accept has failed, so that another connection can be
// accepted.
func (l *LimitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openCount--
	l.stateChanged.Broadcast()
}

// limitedConn is a connection of a LimitListener. The LimitListener counts it as open until its first Close.
type limitedConn struct {
	*net.TCPConn
	releaseOnce sync.Once
	release     func() // LimitListener.release, which must be called only once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.TCPConn.Close()
	c.releaseOnce.Do(c.release)
	return err
}
