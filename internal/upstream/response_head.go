package upstream

import (
	"bytes"
	"fmt"
	"net/http"
)

const (
	// maxResponseHead is the maximum length in bytes of one head. It is the size of a connection's read buffer.
	maxResponseHead = 8 << 10
	// maxHeads is the maximum length in bytes of a response's heads, the interim ones included.
	maxHeads = 16 << 10
)

// readHead reads the head of one response, final or interim.
func (c *conn) readHead(method string) (*http.Response, error) {
	if err := c.bufferHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("%w: status %d", errMalformed, resp.StatusCode)
	}
	return resp, nil
}

// bufferHead waits until a complete head is buffered, without consuming it, and rejects what net/http's parser would
// accept. It notes whether the connection ends with the response.
func (c *conn) bufferHead() error {
	for {
		seen, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(seen, []byte("\r\n\r\n")); end >= 0 {
			c.closesAfterResponse = hasConnectionClose(seen[:end])
			return checkHeadLines(seen[:end])
		}
		if _, err := c.reader.Peek(len(seen) + 1); err != nil {
			return err
		}
	}
}

// hasConnectionClose reports whether a head has a Connection field with the option close. net/http's parser drops that
// field.
func hasConnectionClose(head []byte) bool {
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Connection")) {
			continue
		}
		for option := range bytes.SplitSeq(value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(option), []byte("close")) {
				return true
			}
		}
	}
	return false
}

// checkHeadLines holds a head strictly to HTTP/1.1: lines end with CR LF and are not folded, and the body is framed
// in one way only. What can be read in two ways may be corrupt or an attempt at smuggling.
func checkHeadLines(head []byte) error {
	framings := 0
	for i, line := range bytes.Split(head, []byte("\r\n")) {
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsAny(line, "\r\n"):
			return fmt.Errorf("%w: line %d of the head has a bare CR or LF", errMalformed, i+1)
		case i == 0:
			if !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) {
				return fmt.Errorf("%w: no HTTP/1.1 status line", errMalformed)
			}
		case !hasColon || bytes.ContainsAny(name, " \t"):
			return fmt.Errorf("%w: line %d of the head is no field", errMalformed, i+1)
		case bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding")):
			framings++
		}
	}
	if framings > 1 {
		return fmt.Errorf("%w: body is framed in two ways", errMalformed)
	}
	return nil
}
