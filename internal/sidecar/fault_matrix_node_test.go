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

// matrixNode serves all cells, by path.
type matrixNode struct {
	cells     map[string]*cell
	testEnded chan struct{}
}

// start returns the address of an endpoint that serves all cells.
func (n *matrixNode) start(t *testing.T) string {
	t.Helper()
	return testpeer.ServeTCP(t, func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetReadBuffer(256 << 10) // so that most of what is not read does not go out
		n.serve(nc)
	}).Addr().String()
}

func (n *matrixNode) serve(nc net.Conn) {
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
		if c := n.cells[r.URL.Path]; c == nil || !n.play(c, nc, r) {
			return
		}
	}
}

// play serves one attempt. It returns false if the connection is to be closed.
func (n *matrixNode) play(c *cell, nc net.Conn, r *http.Request) bool {
	c.mu.Lock()
	c.attempts++
	first := c.attempts == 1
	if c.attempts == 2 {
		close(c.retried)
	}
	c.connections = append(c.connections, nc.(*net.TCPConn))
	c.mostConnections = max(c.mostConnections, countEstablished(c.connections))
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.connections = slices.DeleteFunc(c.connections, func(o *net.TCPConn) bool { return o == nc })
		c.mu.Unlock()
		c.endOnce.Do(func() { close(c.exchangeEnded) })
	}()
	bad := first && c.fails("node")
	if bad && c.direction == "up" && c.moment != "after" {
		if _, err := io.CopyN(io.Discard, r.Body, int64(c.offset())); err != nil {
			return false
		}
		return n.misbehave(c, nc, func() { _, _ = r.Body.Read(make([]byte, 1)) })
	}
	if !isSentBody(r.Body, c) {
		return false
	}
	c.mu.Lock()
	c.runs++
	c.mu.Unlock()
	head, answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", c.size), textOf(c.size)
	chunked := bad && c.direction == "down" && c.fault == "garbage"
	switch {
	case c.direction == "up":
		answer = []byte("done")
		head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	case chunked:
		head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	if !bad {
		_, err := (&net.Buffers{[]byte(head), answer}).WriteTo(nc)
		return err == nil
	}
	dribble := []byte(head)
	switch {
	case c.direction == "up": // the node has the complete request, and has sent nothing yet
	case c.moment == "head":
		if c.fault != "garbage" {
			io.WriteString(nc, head[:20])
			dribble = dribble[20:]
		}
	case chunked:
		part := answer[:c.offset()]
		_, _ = fmt.Fprintf(nc, "%s%x\r\n%s\r\n", head, len(part), part)
		if c.moment == "after" {
			io.WriteString(nc, "0\r\n\r\n")
		}
	default:
		_, _ = (&net.Buffers{[]byte(head), answer[:c.offset()]}).WriteTo(nc)
		dribble = answer[c.offset():]
	}
	if c.direction == "down" && c.moment == "after" { // a reset would destroy what is still on its way
		select {
		case <-c.clientEnded:
		case <-n.testEnded:
		}
	}
	return n.misbehave(c, nc, func() {
		if len(dribble) > 0 {
			_, _ = nc.Write(dribble[:1])
			dribble = dribble[1:]
		}
	})
}

// isSentBody tells whether a request's body is the one that the client sent.
func isSentBody(in io.Reader, c *cell) bool {
	want := []byte("hi")
	if c.direction == "up" {
		want = textOf(c.size)
	}
	n, err := readExpected(in, want)
	return err == nil && n == len(want)
}

// countEstablished counts the connections that their peer has not closed: a node that does not read can't tell otherwise.
func countEstablished(list []*net.TCPConn) (n int) {
	for _, nc := range list {
		raw, err := nc.SyscallConn()
		if err != nil {
			continue
		}
		_ = raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			if err == nil && info.State == unix.BPF_TCP_ESTABLISHED {
				n++
			}
		})
	}
	return n
}

// misbehave fails as the cell says; a node that is too slow calls slowly again and again. It returns false, as play does.
func (n *matrixNode) misbehave(c *cell, nc net.Conn, slowly func()) bool {
	defer c.fail()
	switch c.fault {
	case "close":
		return false
	case "reset":
		reset(nc)
		return false
	case "garbage":
		io.WriteString(nc, "\x00zz nonsense\r\n\r\n")
	case "slow":
		c.fail()
		for range 200 {
			select {
			case <-n.testEnded:
				return false
			case <-time.After(100 * time.Millisecond):
				slowly()
			}
		}
	}
	c.fail()
	<-n.testEnded
	return false
}
