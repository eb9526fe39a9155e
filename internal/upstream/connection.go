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
	rawConn   syscall.RawConn
	byteLimit *io.LimitedReader // bounds what one response may bring
	reader    *bufio.Reader     // of byteLimit
	pool      *endpointPool
	address   string
	idleSince time.Time // zero until the first response
	// closesAfterResponse: the head that was read last says that the connection ends with its response.
	closesAfterResponse bool
}

func newConn(nc net.Conn, p *endpointPool, address string) (*conn, error) {
	rawConn, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{
		Conn:      nc,
		rawConn:   rawConn,
		byteLimit: limit,
		reader:    bufio.NewReaderSize(limit, maxResponseHead),
		pool:      p,
		address:   address,
	}, nil
}

// dial establishes the connection that reserve has counted as open, and takes it off that count if it fails.
func (cl *Client) dial(ctx context.Context, p *endpointPool, address string) (c *conn, err error) {
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

// hasNoInput reports whether nothing has arrived on an idle connection: no end, no reset, no unrequested bytes. A request
// on a connection that its endpoint has closed would end as a reset, after which it may not be safe to retry.
func (c *conn) hasNoInput() bool {
	isQuiet := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isQuiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && isQuiet
}
