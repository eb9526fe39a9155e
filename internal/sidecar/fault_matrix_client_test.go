package sidecar

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// playClient plays the client's side and returns the outcome that it saw.
func (c *cell) playClient(t *testing.T, addr string) string {
	t.Helper()
	defer close(c.clientEnded)
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer nc.Close()
	_ = nc.(*net.TCPConn).SetReadBuffer(256 << 10)
	_ = nc.SetDeadline(time.Now().Add(2 * testpeer.Timeout))
	chunked := c.direction == "up" && c.fails("caller") && c.fault == "garbage"
	method, framing, sends := http.MethodPost, fmt.Sprintf("Content-Length: %d", c.size), textOf(c.size)
	switch {
	case chunked:
		framing = "Transfer-Encoding: chunked"
	case c.direction == "down":
		framing, sends = "Content-Length: 2", []byte("hi")
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nIdempotency-Key: k\r\n%s\r\n\r\n",
		method, c.name, c.name[1:], framing)
	if c.fails("caller") && c.moment == "head" {
		io.WriteString(nc, head[:20])
		return c.misbehave(nc, func() { io.WriteString(nc, "x") })
	}
	io.WriteString(nc, head)
	send := func(part []byte) {
		if chunked && len(part) > 0 {
			_, _ = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(part), part)
			return
		}
		_, _ = nc.Write(part)
	}
	if c.direction == "down" {
		send(sends)
		return c.receive(nc)
	}
	if c.fails("caller") {
		send(sends[:c.offset()])
		if chunked && c.moment == "after" {
			io.WriteString(nc, "0\r\n\r\n")
		}
		left := sends[c.offset():]
		return c.misbehave(nc, func() {
			if len(left) > 0 {
				send(left[:1])
				left = left[1:]
			}
		})
	}
	go func() { // the beginning, and the rest once the node has failed: else kernel buffers would swallow it
		first := len(sends)
		if c.moment == "head" || c.moment == "first byte" {
			first = body.PrefixSize
		}
		send(sends[:first])
		goOn := c.retried
		if c.fault == "silence" || c.fault == "slow" {
			goOn = c.failed
		}
		select {
		case <-goOn:
		case <-c.clientEnded:
		}
		send(sends[first:])
	}()
	return outcome(bufio.NewReader(nc), []byte("done"), nil)
}

// misbehave fails while a request is sent, and returns the outcome.
func (c *cell) misbehave(nc net.Conn, slowly func()) string {
	want := []byte("done")
	if c.direction == "down" {
		want = textOf(c.size)
	}
	switch c.fault {
	case "close":
		return "gone"
	case "reset":
		reset(nc)
		return "gone"
	case "garbage":
		io.WriteString(nc, "\x00zz nonsense\r\n\r\n")
	case "slow":
		over := make(chan bool)
		defer close(over)
		go func() {
			for range 200 {
				select {
				case <-over:
					return
				case <-time.After(100 * time.Millisecond):
					slowly()
				}
			}
		}()
	}
	return outcome(bufio.NewReader(nc), want, nil)
}

// receive reads a long response, and fails halfway if the cell says so.
func (c *cell) receive(nc net.Conn) string {
	in := bufio.NewReader(nc)
	if !c.fails("caller") {
		return outcome(in, textOf(c.size), nil)
	}
	return outcome(in, textOf(c.size), func(got io.Reader) (so int, gone bool, broken error) {
		so, err := readExpected(io.LimitReader(got, int64(c.offset())), textOf(c.offset()))
		if err == nil && so < c.offset() {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return so, false, err
		}
		switch c.fault {
		case "close":
			nc.Close()
			return so, true, nil
		case "reset":
			reset(nc)
			return so, true, nil
		case "garbage":
			io.WriteString(nc, "\x00zz nonsense\r\n\r\n")
		case "silence":
			if c.moment != "last byte" && c.moment != "after" {
				awaitPeerClose(nc.(*net.TCPConn), 6*time.Second)
			}
		case "slow":
			for b := make([]byte, 1); ; {
				select {
				case <-c.exchangeEnded:
					return so, false, nil
				case <-time.After(100 * time.Millisecond):
				}
				n, err := got.Read(b)
				if n > 0 && b[0] != textOf(so + 1)[so] {
					return so, false, errOtherBytes
				}
				if so += n; err == io.EOF {
					return so, false, nil
				} else if err != nil {
					return so, false, err
				}
			}
		}
		return so, false, nil
	})
}

// awaitPeerClose returns when the peer has closed the connection, or after a while.
func awaitPeerClose(nc *net.TCPConn, within time.Duration) {
	for end := time.Now().Add(within); time.Now().Before(end) && countEstablished([]*net.TCPConn{nc}) > 0; {
		time.Sleep(5 * time.Millisecond)
	}
}

// errOtherBytes is a body that is not the expected one.
var errOtherBytes = errors.New("another answer")

// readExpected reads to the end and returns how many of the expected bytes came. It buffers only a part: allocating 48 MB
// took a reader up to 1.47 s under the race detector, four at a time on two cores, and a client that does not read for
// 1.5 s is cut off.
func readExpected(got io.Reader, want []byte) (n int, err error) {
	for part := make([]byte, 64<<10); err == nil; {
		var k int
		if k, err = got.Read(part); !bytes.HasPrefix(want[n:], part[:k]) {
			return n, errOtherBytes
		}
		n += k
	}
	if err == io.EOF {
		err = nil
	}
	return n, err
}

// outcome reads a response and classifies it. midway, if any, reads its first part and returns how many bytes came as
// expected, and whether the client has closed the connection itself.
func outcome(in *bufio.Reader, want []byte, midway func(io.Reader) (int, bool, error)) string {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	got := 0
	if midway != nil && resp.StatusCode == http.StatusOK {
		var gone bool
		if got, gone, err = midway(resp.Body); gone {
			return "gone"
		}
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		var n int
		n, err = readExpected(resp.Body, want[got:])
		got += n
	}
	switch {
	case resp.StatusCode == http.StatusBadGateway:
		return "failed"
	case resp.StatusCode == http.StatusServiceUnavailable:
		return "refused"
	case resp.StatusCode != http.StatusOK:
		return strconv.Itoa(resp.StatusCode)
	case err != nil && !errors.Is(err, errOtherBytes):
		return "cut"
	case err == nil && got == len(want):
		return "served"
	}
	return "wrong"
}

func sendProbe(addr string, c *cell, text string) string {
	r, _ := http.NewRequest(http.MethodGet, "http://"+addr+c.name+"?probe="+text, nil)
	r.Header.Set("Idempotency-Key", text)
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	got, _ := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return string(got)
	case http.StatusServiceUnavailable:
		return "refused"
	case http.StatusBadGateway:
		return "failed"
	}
	return resp.Status
}
