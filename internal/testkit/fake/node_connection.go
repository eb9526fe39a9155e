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
	run      *incarnation
	isExcess bool // beyond MaxConnections
}

// arrival is one request that was read completely.
type arrival struct {
	id                  string
	firstByteAt         time.Duration
	isFirstOnConnection bool
	answered            chan bool // receives whether the connection is used further, after the response
}

// acceptConnections accepts connections until the listener is closed.
func (n *Node) acceptConnections(run *incarnation) {
	for {
		conn, err := run.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || !sleep(acceptBackoff, run.done) {
				return
			}
			continue
		}
		run.mu.Lock()
		n.openedConnections.Add(1)
		isExcess := n.MaxConnections > 0 && len(run.connections) >= n.MaxConnections
		run.connections[conn] = true
		run.mu.Unlock()
		go n.serveConnection(&nodeConnection{Conn: conn, run: run, isExcess: isExcess})
	}
}

// serveConnection reads requests from a connection, one at a time, and records when the other side ends it.
func (n *Node) serveConnection(c *nodeConnection) {
	defer func() {
		c.run.mu.Lock()
		delete(c.run.connections, c.Conn)
		c.run.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	var current arrival // the latest request; answered is nil before the first
	n.startIdleTimeout(c)
	for isFirst := true; ; isFirst = false {
		if _, err := in.Peek(1); err != nil {
			if current.answered != nil && len(current.answered) == 0 && !isClosed(c.run.done) {
				n.recorder.Add(invariant.Event{Kind: invariant.AttemptAborted, Node: n.ID, Request: current.id})
			}
			return
		}
		firstByteAt := n.recorder.Now()
		if current.answered != nil {
			select {
			case isKept := <-current.answered:
				if !isKept {
					return
				}
			case <-c.run.done:
				return
			}
		}
		id, err := readRequest(c, in)
		if err != nil {
			return
		}
		current = arrival{id: id, firstByteAt: firstByteAt, isFirstOnConnection: isFirst, answered: make(chan bool, 1)}
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
