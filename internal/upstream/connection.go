package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"tuliprock/internal/body"
)

// conn is one connection to an endpoint. It carries one attempt at a time.
type conn struct {
	net.Conn
	rawConn             syscall.RawConn
	pace                *paceReader       // enforces the minimum rate of a buffered response; nil in tests that need none
	byteLimit           *io.LimitedReader // limits the bytes that are read for one response
	reader              *bufio.Reader     // reads from byteLimit
	pool                *connectionPool   // pool to which the connection returns after an attempt
	address             string            // address that was dialed
	idleSince           time.Time         // time of the last response or, if there was none, of the first return to the pool; zero before both
	closesAfterResponse bool              // whether the last response head had the option "Connection: close"
}

func newConn(nc net.Conn, p *connectionPool, address string) (*conn, error) {
	rawConn, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	pace := &paceReader{conn: nc}
	limitedReader := &io.LimitedReader{R: pace}
	return &conn{
		Conn:      nc,
		rawConn:   rawConn,
		pace:      pace,
		byteLimit: limitedReader,
		reader:    bufio.NewReaderSize(limitedReader, maxHeadBytes),
		pool:      p,
		address:   address,
	}, nil
}

// paceReader reads from a connection to an endpoint. While a minimum rate is set, the connection's read deadline moves on with each byte
// that arrives, so that an endpoint which is still writing is not cut off. One goroutine at a time may use it.
type paceReader struct {
	conn  net.Conn
	meter *body.Meter // nil: the read deadline stays as it is
}

// Read implements io.Reader.
func (r *paceReader) Read(to []byte) (int, error) {
	startedAt := time.Now()
	n, err := r.conn.Read(to)
	if n > 0 && r.meter != nil {
		now := time.Now()
		r.meter.Record(n, now.Sub(startedAt))
		_ = r.conn.SetReadDeadline(now.Add(r.meter.MaxWait())) // fails only on a closed connection, on which the next read fails, too
	}
	return n, err
}

// setMinimumRate makes the endpoint keep a minimum rate from now on. The zero MinimumRate removes the limit.
func (c *conn) setMinimumRate(rate body.MinimumRate) error {
	var meter *body.Meter
	deadline := time.Time{}
	if rate.IdleTimeout > 0 {
		m := body.NewMeter(rate)
		meter, deadline = &m, time.Now().Add(rate.IdleTimeout)
	}
	if c.pace != nil {
		c.pace.meter = meter
	}
	return c.SetReadDeadline(deadline)
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
