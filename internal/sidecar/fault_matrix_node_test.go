package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tuliprock/internal/testkit/testpeer"
)

// matrixEndpoint is the behaviour of the endpoints in the fault matrix: they serve all cells, and fail as each cell says.
type matrixEndpoint struct {
	cells     map[string]*matrixCell // all cells by path
	testEnded chan struct{}          // closed when all clients have their outcomes
}

// start starts an endpoint and returns its address. Each call starts another endpoint.
func (n *matrixEndpoint) start(t *testing.T) string {
	t.Helper()
	return testpeer.ServeTCP(t, func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetReadBuffer(256 << 10) // a small buffer, so that the daemon notices that a body is not read
		n.serve(nc)
	}).Addr().String()
}

// serve handles the requests of one connection. A request with the query probe=TEXT gets TEXT as its response; each other
// request is an attempt at the request of a cell of the fault matrix, which its path identifies.
func (n *matrixEndpoint) serve(nc net.Conn) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if probe := r.URL.Query().Get("probe"); probe != "" {
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(probe), probe)
			continue
		}
		if c := n.cells[r.URL.Path]; c == nil || !n.serveAttempt(c, nc, r) {
			return
		}
	}
}

// serveAttempt serves one attempt at the request of a cell of the fault matrix. The first attempt fails if the cell's fault
// is the endpoint's. serveAttempt returns false if its caller must close the connection.
func (n *matrixEndpoint) serveAttempt(c *matrixCell, nc net.Conn, r *http.Request) bool {
	c.mu.Lock()
	c.attempts++
	isFirstAttempt := c.attempts == 1
	if c.attempts == 2 {
		close(c.retried)
	}
	c.connections = append(c.connections, nc.(*net.TCPConn))
	c.maxConnections = max(c.maxConnections, countEstablished(c.connections))
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.connections = slices.DeleteFunc(c.connections, func(o *net.TCPConn) bool { return o == nc })
		c.mu.Unlock()
		c.endOnce.Do(func() { close(c.exchangeEnded) })
	}()
	fails := isFirstAttempt && c.fails("node")
	if fails && c.direction == "up" && c.moment != "after" {
		if _, err := io.CopyN(io.Discard, r.Body, int64(c.faultOffset())); err != nil {
			return false
		}
		return n.injectFault(c, nc, func() { _, _ = r.Body.Read(make([]byte, 1)) })
	}
	if !isExpectedRequestBody(r.Body, c) {
		return false
	}
	c.mu.Lock()
	c.runs++
	c.mu.Unlock()
	head, responseBody := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", c.size), longBody(c.size)
	isChunked := fails && c.direction == "down" && c.fault == "garbage"
	switch {
	case c.direction == "up":
		responseBody = []byte("done")
		head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	case isChunked:
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if !fails {
		_, err := (&net.Buffers{[]byte(head), responseBody}).WriteTo(nc)
		return err == nil
	}
	remaining := []byte(head) // bytes that a slow endpoint has yet to send
	switch {
	case c.direction == "up": // the fault comes after the complete request, before any byte of the response
	case c.moment == "head":
		if c.fault != "garbage" {
			io.WriteString(nc, head[:20])
			remaining = remaining[20:]
		}
	case isChunked:
		part := responseBody[:c.faultOffset()]
		_, _ = fmt.Fprintf(nc, "%s%x\r\n%s\r\n", head, len(part), part)
		if c.moment == "after" {
			io.WriteString(nc, "0\r\n\r\n")
		}
	default:
		_, _ = (&net.Buffers{[]byte(head), responseBody[:c.faultOffset()]}).WriteTo(nc)
		remaining = responseBody[c.faultOffset():]
	}
	if c.direction == "down" && c.moment == "after" { // a reset now would discard bytes that the client has not received yet
		select {
		case <-c.clientEnded:
		case <-n.testEnded:
		}
	}
	return n.injectFault(c, nc, func() {
		if len(remaining) > 0 {
			_, _ = nc.Write(remaining[:1])
			remaining = remaining[1:]
		}
	})
}

// isExpectedRequestBody reads a request's body and reports whether it is the body that the client of a cell of the fault
// matrix sends.
func isExpectedRequestBody(in io.Reader, c *matrixCell) bool {
	want := []byte("hi")
	if c.direction == "up" {
		want = longBody(c.size)
	}
	n, err := readExpected(in, want)
	return err == nil && n == len(want)
}

// countEstablished counts the connections that the peer has not closed. It asks the kernel for the state of the TCP
// connection, since an endpoint that does not read notices no end of file.
func countEstablished(connections []*net.TCPConn) (n int) {
	for _, nc := range connections {
		raw, err := nc.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			tcpInfo, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err == nil && tcpInfo.State == unix.BPF_TCP_ESTABLISHED {
				n++
			}
		})
	}
	return n
}

// injectFault lets the endpoint fail with the fault of a cell of the fault matrix. A slow endpoint calls transferByte again
// and again to transfer one more byte. It always returns false, which means that the connection must be closed.
func (n *matrixEndpoint) injectFault(c *matrixCell, nc net.Conn, transferByte func()) bool {
	defer c.markNodeFailed()
	switch c.fault {
	case "close":
		return false
	case "reset":
		reset(nc)
		return false
	case "garbage":
		io.WriteString(nc, "\x00zz nonsense\r\n\r\n")
	case "slow":
		c.markNodeFailed()
		for range 200 {
			select {
			case <-n.testEnded:
				return false
			case <-time.After(100 * time.Millisecond):
				transferByte()
			}
		}
	}
	c.markNodeFailed()
	<-n.testEnded
	return false
}
