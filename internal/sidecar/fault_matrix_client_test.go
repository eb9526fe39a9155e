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

// runClient sends the request of a cell of the fault matrix, lets the client fail if the cell's fault is the client's, and
// returns the client's outcome as the table in docs/operators/long-bodies.md names it.
func (c *matrixCell) runClient(t *testing.T, addr string) string {
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
	isChunked := c.direction == "up" && c.fails("caller") && c.fault == "garbage"
	method, framing, requestBody := http.MethodPost, fmt.Sprintf("Content-Length: %d", c.size), longBody(c.size)
	switch {
	case isChunked:
		framing = "Transfer-Encoding: chunked"
	case c.direction == "down":
		framing, requestBody = "Content-Length: 2", []byte("hi")
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nReq-Id: %s\r\nIdempotency-Key: k\r\n%s\r\n\r\n",
		method, c.path, c.path[1:], framing)
	if c.fails("caller") && c.moment == "head" {
		io.WriteString(nc, head[:20])
		return c.injectClientFault(nc, func() { io.WriteString(nc, "x") })
	}
	io.WriteString(nc, head)
	send := func(part []byte) {
		if isChunked && len(part) > 0 {
			_, _ = fmt.Fprintf(nc, "%x\r\n%s\r\n", len(part), part)
			return
		}
		_, _ = nc.Write(part)
	}
	if c.direction == "down" {
		send(requestBody)
		return c.receive(nc)
	}
	if c.fails("caller") {
		send(requestBody[:c.faultOffset()])
		if isChunked && c.moment == "after" {
			io.WriteString(nc, "0\r\n\r\n")
		}
		remaining := requestBody[c.faultOffset():]
		return c.injectClientFault(nc, func() {
			if len(remaining) > 0 {
				send(remaining[:1])
				remaining = remaining[1:]
			}
		})
	}
	// If the endpoint fails early, send the rest of the body only after the fault: otherwise kernel buffers would take
	// the complete body before the fault.
	go func() {
		bytesBeforeFault := len(requestBody)
		if c.moment == "head" || c.moment == "first byte" {
			bytesBeforeFault = body.PrefixSize
		}
		send(requestBody[:bytesBeforeFault])
		faultOccurred := c.retried
		if c.fault == "silence" || c.fault == "slow" {
			faultOccurred = c.nodeFailed
		}
		select {
		case <-faultOccurred:
		case <-c.clientEnded:
		}
		send(requestBody[bytesBeforeFault:])
	}()
	return classifyResponse(bufio.NewReader(nc), []byte("done"), nil)
}

// injectClientFault lets the client fail while it sends its request, and returns the client's outcome. A slow client calls
// sendByte again and again to send one more byte.
func (c *matrixCell) injectClientFault(nc net.Conn, sendByte func()) string {
	want := []byte("done")
	if c.direction == "down" {
		want = longBody(c.size)
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
		clientEnded := make(chan bool)
		defer close(clientEnded)
		go func() {
			for range 200 {
				select {
				case <-clientEnded:
					return
				case <-time.After(100 * time.Millisecond):
					sendByte()
				}
			}
		}()
	}
	return classifyResponse(bufio.NewReader(nc), want, nil)
}

// receive reads a long response and returns the client's outcome. If the fault of this cell of the fault matrix is the
// client's, it lets the client fail while the client reads.
func (c *matrixCell) receive(nc net.Conn) string {
	in := bufio.NewReader(nc)
	if !c.fails("caller") {
		return classifyResponse(in, longBody(c.size), nil)
	}
	return classifyResponse(in, longBody(c.size), func(responseBody io.Reader) (receivedBytes int, isClosedByClient bool, _ error) {
		receivedBytes, err := readExpected(io.LimitReader(responseBody, int64(c.faultOffset())), longBody(c.faultOffset()))
		if err == nil && receivedBytes < c.faultOffset() {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return receivedBytes, false, err
		}
		switch c.fault {
		case "close":
			nc.Close()
			return receivedBytes, true, nil
		case "reset":
			reset(nc)
			return receivedBytes, true, nil
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
					return receivedBytes, false, nil
				case <-time.After(100 * time.Millisecond):
				}
				n, err := responseBody.Read(b)
				if n > 0 && b[0] != longBody(receivedBytes + 1)[receivedBytes] {
					return receivedBytes, false, errUnexpectedBody
				}
				if receivedBytes += n; err == io.EOF {
					return receivedBytes, false, nil
				} else if err != nil {
					return receivedBytes, false, err
				}
			}
		}
		return receivedBytes, false, nil
	})
}

// awaitPeerClose returns when the peer has closed the connection, or after the timeout.
func awaitPeerClose(nc *net.TCPConn, timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end) && countEstablished([]*net.TCPConn{nc}) > 0; {
		time.Sleep(5 * time.Millisecond)
	}
}

// errUnexpectedBody is the error of readExpected for a body that differs from the expected one.
var errUnexpectedBody = errors.New("unexpected body")

// readExpected reads to the end of a body and returns how many of the expected bytes it has read, and errUnexpectedBody
// at the first difference. A body that is a prefix of the expected bytes is no error. It reads into a small buffer,
// since allocating a buffer of 48 MB can take 1.47 s under the race detector with four readers on two cores, and the
// daemon cuts off a client that does not read for 1.5 s.
func readExpected(body io.Reader, want []byte) (n int, err error) {
	for buffer := make([]byte, 64<<10); err == nil; {
		var k int
		if k, err = body.Read(buffer); !bytes.HasPrefix(want[n:], buffer[:k]) {
			return n, errUnexpectedBody
		}
		n += k
	}
	if err == io.EOF {
		err = nil
	}
	return n, err
}

// classifyResponse reads a response and returns its outcome as the table in docs/operators/long-bodies.md names it. If
// readFirst is not nil, classifyResponse calls it to read the first part of the body; readFirst returns how many expected
// bytes it has read, and whether the client has closed the connection itself.
func classifyResponse(in *bufio.Reader, want []byte, readFirst func(body io.Reader) (int, bool, error)) string {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	receivedBytes := 0
	if readFirst != nil && resp.StatusCode == http.StatusOK {
		var isClosedByClient bool
		if receivedBytes, isClosedByClient, err = readFirst(resp.Body); isClosedByClient {
			return "gone"
		}
	}
	if err == nil && resp.StatusCode == http.StatusOK {
		var n int
		n, err = readExpected(resp.Body, want[receivedBytes:])
		receivedBytes += n
	}
	switch {
	case resp.StatusCode == http.StatusBadGateway:
		return "failed"
	case resp.StatusCode == http.StatusServiceUnavailable:
		return "refused"
	case resp.StatusCode != http.StatusOK:
		return strconv.Itoa(resp.StatusCode)
	case err != nil && !errors.Is(err, errUnexpectedBody):
		return "cut"
	case err == nil && receivedBytes == len(want):
		return "served"
	}
	return "wrong"
}

// sendProbeRequest sends a request to the path of a cell of the fault matrix and asks the endpoint for a text. It
// returns the response's body, or a text that names the outcome if there is no response with status 200.
func sendProbeRequest(addr string, c *matrixCell, text string) string {
	r, _ := http.NewRequest(http.MethodGet, "http://"+addr+c.path+"?probe="+text, nil)
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
