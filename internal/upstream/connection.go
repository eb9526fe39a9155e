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
	limitedReader := &io.LimitedReader{R: nc}
	return &conn{
		Conn:      nc,
		rawConn:   rawConn,
		byteLimit: limitedReader,
		reader:    bufio.NewReaderSize(limitedReader, maxHeadBytes),
		pool:      p,
		address:   address,
	}, nil
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
