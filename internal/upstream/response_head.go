package upstream

import (
	"bytes"
	"fmt"
	"net/http"
)

const (
	// maxHeadBytes is the maximum length in bytes of one response head. It is the size of a connection's read buffer.
	maxHeadBytes = 8 << 10
	// maxTotalHeadBytes is the maximum total length in bytes of the heads of a response and its interim responses.
	maxTotalHeadBytes = 16 << 10
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
		return nil, fmt.Errorf("%w: unexpected status %d", errMalformed, resp.StatusCode)
	}
	return resp, nil
}

// bufferHead waits until a complete head is buffered, without consuming it. It rejects malformed heads that net/http's parser would
// accept, and sets closesAfterResponse.
func (c *conn) bufferHead() error {
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(buffered, []byte("\r\n\r\n")); end >= 0 {
			c.closesAfterResponse = hasConnectionClose(buffered[:end])
			return checkHeadLines(buffered[:end])
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return err
		}
	}
}

// hasConnectionClose reports whether a head has a Connection field with the option close. net/http's parser removes that field
// from the header it returns.
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

// checkHeadLines checks that a head follows HTTP/1.1 strictly: lines end with CR LF and are not folded, and the body is framed in
// one way only. A head that can be interpreted in two ways may be corrupt or an attempt at response smuggling.
func checkHeadLines(head []byte) error {
	framingFieldCount := 0
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
			return fmt.Errorf("%w: line %d of the head is not a header field", errMalformed, i+1)
		case bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding")):
			framingFieldCount++
		}
	}
	if framingFieldCount > 1 {
		return fmt.Errorf("%w: body is framed in two ways", errMalformed)
	}
	return nil
}
