package frontend

import (
	"net"
	"sync"
)

// LimitListener is a listener that holds a limited number of connections open at once. Beyond the limit Accept blocks, so that
// further clients wait in the kernel's accept queue. Its connections embed *net.TCPConn, which a streamed response needs
// for splice; netutil.LimitListener hides that.
type LimitListener struct {
	net.Listener

	mu             sync.Mutex
	changed        sync.Cond // open, maxConnections or closed has changed
	open           int       // connections that are open or about to be accepted
	maxConnections int
	closed         bool
}

// NewLimitListener wraps a listener of TCP connections so that at most maxConnections of its connections are open at once.
func NewLimitListener(l net.Listener, maxConnections int) *LimitListener {
	limited := &LimitListener{Listener: l, maxConnections: maxConnections}
	limited.changed.L = &limited.mu
	return limited
}

// SetMaxConnections changes the limit. Connections beyond a lower limit stay open.
func (l *LimitListener) SetMaxConnections(maxConnections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxConnections = maxConnections
	l.changed.Broadcast()
}

// Accept implements net.Listener. It blocks while the limit is reached, and fails with net.ErrClosed after Close.
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

// Close implements net.Listener. Connections that were accepted stay open.
func (l *LimitListener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.changed.Broadcast()
	l.mu.Unlock()
	return l.Listener.Close()
}

// acquire waits until one more connection may be open. It is false if the listener was closed.
func (l *LimitListener) acquire() bool {
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

// release lets another connection take the place of one that was closed.
func (l *LimitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.changed.Broadcast()
}

// limitedConn is a connection of a limited listener. Its first Close releases its place.
type limitedConn struct {
	*net.TCPConn
	releaseOnce sync.Once
	release     func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	err := c.TCPConn.Close()
	c.releaseOnce.Do(c.release)
	return err
}
