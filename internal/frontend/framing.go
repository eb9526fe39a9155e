package frontend

import (
	"net/http"
	"strings"
	"sync"
)

// checkFraming rejects a request of which two servers could find the end at different positions, and one whose body is too long. It
// guards against request smuggling: net/http ignores a Content-Length beside a Transfer-Encoding, and would read the rest of the body
// as a new request.
func (s *Server) checkFraming(r *http.Request) *rejection {
	switch {
	case !r.ProtoAtLeast(1, 1) && r.URL.Path != healthPath: // net/http ignores Transfer-Encoding in HTTP/1.0, so it could not find a chunked body's end
		return newRejection(http.StatusBadRequest, "HTTP/1.1 is wanted")
	case hasFoldedLine(r):
		return newRejection(http.StatusBadRequest, "a header line is folded")
	case len(r.TransferEncoding) > 0 && s.options.BodyMemory == nil:
		return newRejection(http.StatusLengthRequired, "Transfer-Encoding: a Content-Length is wanted")
	case len(r.TransferEncoding) > 0 && s.options.ForwardsUnchanged && !isChunkedOnly(r):
		// The option ForwardsUnchanged is set where no proxy in front of the daemon has checked the framing, so the daemon must.
		return newRejection(http.StatusBadRequest, "the body may be framed in two ways")
	case r.ContentLength > s.options.MaxBodyBytes:
		return newRejection(http.StatusRequestEntityTooLarge, "the body is too long")
	}
	return nil
}

// hasFoldedLine reports whether a line of a request's head is folded (RFC 9112, 5.2). Two servers could parse it differently, as one
// field or as two.
func hasFoldedLine(r *http.Request) bool {
	c := connOf(r)
	if c == nil {
		return false
	}
	c.headScanner.mu.Lock()
	defer c.headScanner.mu.Unlock()
	return c.headScanner.hasFoldedLine
}

// isChunkedOnly reports whether a request's body is chunked and framed in no other way.
func isChunkedOnly(r *http.Request) bool {
	c := connOf(r)
	isChunked := len(r.TransferEncoding) == 1 && strings.EqualFold(r.TransferEncoding[0], "chunked")
	return c != nil && isChunked && c.headScanner.isChunkedOnly()
}

// headScanner scans the bytes of a request's head for what net/http does not report: net/http ignores a Content-Length beside a
// Transfer-Encoding, and joins a folded line to the previous one. The zero value has scanned nothing. The scanner misses the head of a
// pipelined request that was received together with the previous request, since net/http reads that head from its buffer. It is safe
// for concurrent use.
type headScanner struct {
	mu                  sync.Mutex
	name                [len("transfer-encoding")]byte // field name of the current line so far, in lower case
	nameLength          int                            // number of bytes of name that are set; -1: the rest of the line is skipped
	lineLength          int                            // number of bytes of the current line so far, without its line end
	inRequestLine       bool                           // the request line has not ended yet
	isComplete          bool                           // the end of the head was scanned
	sawStart            bool                           // the head was scanned from its first byte
	hasContentLength    bool
	hasTransferEncoding bool
	hasFoldedLine       bool // a line continues the previous one (RFC 9112, 5.2)
}

// scan processes bytes that were received. startsRequest means that the first byte begins a request.
func (h *headScanner) scan(b []byte, startsRequest bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if startsRequest {
		h.reset()
	}
	for _, c := range b {
		if h.isComplete || !h.sawStart {
			return
		}
		h.scanByte(c)
	}
}

// reset prepares the scanner for a new head. mu is held.
func (h *headScanner) reset() {
	h.nameLength, h.lineLength = 0, 0
	h.inRequestLine, h.sawStart = true, true
	h.isComplete, h.hasContentLength, h.hasTransferEncoding, h.hasFoldedLine = false, false, false, false
}

// scanByte processes one byte of the head. mu is held.
func (h *headScanner) scanByte(c byte) {
	switch c {
	case '\r':
	case '\n':
		h.isComplete = h.lineLength == 0 && !h.inRequestLine
		h.inRequestLine = h.inRequestLine && h.lineLength == 0 // still true after an empty line, since empty lines before the request line are skipped
		h.nameLength, h.lineLength = 0, 0
	default:
		h.hasFoldedLine = h.hasFoldedLine || h.lineLength == 0 && !h.inRequestLine && (c == ' ' || c == '\t')
		h.lineLength++
		h.scanName(c)
	}
}

// scanName processes one byte of a line. At the end of a field name, it records whether the name is Content-Length or
// Transfer-Encoding. mu is held.
func (h *headScanner) scanName(c byte) {
	switch {
	case h.nameLength < 0:
	case c == ':':
		switch string(h.name[:h.nameLength]) {
		case "content-length":
			h.hasContentLength = true
		case "transfer-encoding":
			h.hasTransferEncoding = true
		}
		h.nameLength = -1
	case h.nameLength == len(h.name): // the name is longer than Content-Length and Transfer-Encoding, so it is neither
		h.nameLength = -1
	default:
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		h.name[h.nameLength] = c
		h.nameLength++
	}
}

// isChunkedOnly reports whether the latest head was scanned from start to end, and has a Transfer-Encoding but no
// Content-Length.
func (h *headScanner) isChunkedOnly() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sawStart && h.isComplete && h.hasTransferEncoding && !h.hasContentLength
}
