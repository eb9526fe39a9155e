package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// conn is one connection to an endpoint. It carries one attempt at a time.
type conn struct {
	net.Conn
	rawConn             syscall.RawConn
	idleTimeout         *idleTimeoutReader // limits the wait for each byte of a buffered response; nil in tests that need no limit
	byteLimit           *io.LimitedReader  // limits the bytes that are read for one response
	reader              *bufio.Reader      // reads from byteLimit
	pool                *connectionPool    // pool to which the connection returns after an attempt
	address             string             // address that was dialed
	idleSince           time.Time          // time of the last response or, if there was none, of the first return to the pool; zero before both
	closesAfterResponse bool               // whether the last response head had the option "Connection: close"
}

func newConn(nc net.Conn, p *connectionPool, address string) (*conn, error) {
	rawConn, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	idleTimeout := &idleTimeoutReader{conn: nc}
	limitedReader := &io.LimitedReader{R: idleTimeout}
	return &conn{
		Conn:        nc,
		rawConn:     rawConn,
		idleTimeout: idleTimeout,
		byteLimit:   limitedReader,
		reader:      bufio.NewReaderSize(limitedReader, maxHeadBytes),
		pool:        p,
		address:     address,
	}, nil
}

// idleTimeoutReader reads from a connection to an endpoint. While a timeout is set, each byte that arrives extends the connection's read
// deadline, so that an endpoint which is still writing is not cut off. One goroutine at a time may use it.
type idleTimeoutReader struct {
	conn    net.Conn
	timeout time.Duration // 0: the read deadline stays as it is
}

// Read implements io.Reader.
func (r *idleTimeoutReader) Read(to []byte) (int, error) {
	n, err := r.conn.Read(to)
	if n > 0 && r.timeout > 0 {
		_ = r.conn.SetReadDeadline(time.Now().Add(r.timeout)) // fails only on a closed connection, on which the next read fails, too
	}
	return n, err
}

// setIdleTimeout limits the wait for the next byte of the response, and for each one after it. A timeout of 0 removes the limit.
func (c *conn) setIdleTimeout(timeout time.Duration) error {
	if c.idleTimeout != nil {
		c.idleTimeout.timeout = timeout
	}
	if timeout == 0 {
		return c.SetReadDeadline(time.Time{})
	}
	return c.SetReadDeadline(time.Now().Add(timeout))
}

// dial establishes a connection that reserve has already counted in openCount. If dial fails, it decrements openCount.
func (cl *Client) dial(ctx context.Context, p *connectionPool, address string) (c *conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, cl.dialTimeout)
	defer cancel()
	nc, err := cl.options.Connect(ctx, "tcp", address)
	if err == nil {
		if c, err = newConn(nc, p, address); err == nil {
			return c, nil
		}
		nc.Close()
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.openCount--
	return nil, err
}

// hasNoInput reports whether nothing was received on an idle connection: no bytes, no end of file and no reset. If a request were
// sent on a connection that the endpoint has closed, it would end as balance.Reset, after which a retry may not be safe.
func (c *conn) hasNoInput() bool {
	nothingReceived := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothingReceived = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && nothingReceived
}
