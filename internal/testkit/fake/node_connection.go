package fake

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"tuliprock/internal/testkit/invariant"
)

const (
	messageTimeout = 5 * time.Second       // time limit for reading a request after its first byte, and for writing a response
	maxBodyBytes   = 64 << 10              // largest number of bytes that are read of the body of a request or response
	acceptBackoff  = 10 * time.Millisecond // wait before Accept is retried, since it fails at once while no file descriptor is free
)

// nodeConnection is one connection to a node. The goroutine of the connection reads requests; the goroutine of a request
// writes its response.
type nodeConnection struct {
	net.Conn
	incarnation *incarnation
	isExcess    bool // whether the node had MaxConnections other connections when it accepted this one
}

// receivedRequest is a request that a node has read completely.
type receivedRequest struct {
	id                  string        // value of the header Req-Id
	firstByteAt         time.Duration // arrival of the first byte, since the start of the recorder
	isFirstOnConnection bool
	staysOpen           chan bool // receives one value when the response has been written: whether the connection stays open
}

// acceptConnections accepts connections until the incarnation ends.
func (n *Node) acceptConnections(inc *incarnation) {
	for {
		conn, err := inc.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !sleep(acceptBackoff, inc.done) {
				return
			}
			continue
		}
		inc.mu.Lock()
		n.openedConnections.Add(1)
		isExcess := n.MaxConnections > 0 && len(inc.connections) >= n.MaxConnections
		inc.connections[conn] = true
		inc.mu.Unlock()
		go n.serveConnection(&nodeConnection{Conn: conn, incarnation: inc, isExcess: isExcess})
	}
}

// serveConnection reads requests from a connection, one at a time. If the client closes the connection while a request is in
// flight, serveConnection records that the attempt was aborted.
func (n *Node) serveConnection(c *nodeConnection) {
	defer func() {
		c.incarnation.mu.Lock()
		delete(c.incarnation.connections, c.Conn)
		c.incarnation.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	var current receivedRequest // latest request on the connection; its staysOpen is nil before the first request
	n.startIdleTimeout(c)
	for isFirst := true; ; isFirst = false {
		if _, err := in.Peek(1); err != nil {
			if current.staysOpen != nil && len(current.staysOpen) == 0 && !isClosed(c.incarnation.done) {
				n.recorder.Add(invariant.Event{Kind: invariant.AttemptAborted, Node: n.ID, Request: current.id})
			}
			return
		}
		firstByteAt := n.recorder.Now()
		if current.staysOpen != nil {
			select {
			case staysOpen := <-current.staysOpen:
				if !staysOpen {
					return
				}
			case <-c.incarnation.done:
				return
			}
		}
		id, err := readRequest(c, in)
		if err != nil {
			return
		}
		current = receivedRequest{id: id, firstByteAt: firstByteAt, isFirstOnConnection: isFirst, staysOpen: make(chan bool, 1)}
		if !n.startRequest(c, current) {
			return
		}
	}
}

// readRequest reads one complete request and returns its ID, the value of the header Req-Id.
func readRequest(conn net.Conn, in *bufio.Reader) (id string, err error) {
	_ = conn.SetReadDeadline(time.Now().Add(messageTimeout))
	r, err := http.ReadRequest(in)
	if err != nil {
		return "", err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return "", err
	}
	_ = conn.SetReadDeadline(time.Time{})
	return r.Header.Get("Req-Id"), nil
}

// startIdleTimeout makes reads from the connection fail after the node's idle timeout.
func (n *Node) startIdleTimeout(conn net.Conn) {
	if n.IdleTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(n.IdleTimeout))
	}
}

// writeResponse writes a complete response. headerLines holds further header lines, each with its CRLF.
func writeResponse(conn net.Conn, status int, headerLines, body string) {
	_ = conn.SetWriteDeadline(time.Now().Add(messageTimeout))
	// The error is ignored: if the client has closed the connection, serveConnection notices it.
	_, _ = io.WriteString(conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+headerLines+
		"Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}
