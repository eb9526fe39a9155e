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
	headTimeout   = 5 * time.Second // for the rest of a request that has begun, and for a write
	maxBodyBytes  = 64 << 10
	acceptBackoff = 10 * time.Millisecond // without descriptors Accept fails at once, and the loop would spin
)

// nodeConnection is one connection to a node. Its goroutine reads; the response is written by that of the request.
type nodeConnection struct {
	net.Conn
	incarnation *incarnation
	isExcess    bool // beyond MaxConnections
}

// receivedRequest is one request that was read completely.
type receivedRequest struct {
	id                  string
	firstByteAt         time.Duration
	isFirstOnConnection bool
	responded           chan bool // receives whether the connection is used further, after the response
}

// acceptConnections accepts connections until the listener is closed.
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

// serveConnection reads requests from a connection, one at a time, and records when the other side ends it.
func (n *Node) serveConnection(c *nodeConnection) {
	defer func() {
		c.incarnation.mu.Lock()
		delete(c.incarnation.connections, c.Conn)
		c.incarnation.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	var current receivedRequest // the latest request; answered is nil before the first
	n.startIdleTimeout(c)
	for isFirst := true; ; isFirst = false {
		if _, err := in.Peek(1); err != nil {
			if current.responded != nil && len(current.responded) == 0 && !isClosed(c.incarnation.done) {
				n.recorder.Add(invariant.Event{Kind: invariant.AttemptAborted, Node: n.ID, Request: current.id})
			}
			return
		}
		firstByteAt := n.recorder.Now()
		if current.responded != nil {
			select {
			case isKept := <-current.responded:
				if !isKept {
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
		current = receivedRequest{id: id, firstByteAt: firstByteAt, isFirstOnConnection: isFirst, responded: make(chan bool, 1)}
		if !n.handle(c, current) {
			return
		}
	}
}

// readRequest reads one complete request and returns its ID.
func readRequest(conn net.Conn, in *bufio.Reader) (id string, err error) {
	_ = conn.SetReadDeadline(time.Now().Add(headTimeout))
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

// startIdleTimeout bounds the wait for the next request.
func (n *Node) startIdleTimeout(conn net.Conn) {
	if n.IdleTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(n.IdleTimeout))
	}
}

// writeResponse writes a complete response at once. fields are header lines, each with its line end.
func writeResponse(conn net.Conn, status int, fields, body string) {
	_ = conn.SetWriteDeadline(time.Now().Add(headTimeout))
	// Whoever sent the request may have left; the reader of the connection notices that.
	_, _ = io.WriteString(conn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+fields+
		"Content-Type: text/plain\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}
