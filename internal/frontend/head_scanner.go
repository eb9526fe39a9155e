package frontend

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxPendingHeads is the maximum number of heads that were received but not yet served: more than fit into net/http's read buffer.
	maxPendingHeads = 512
	// maxHeadFields is the maximum number of header fields of a request. It bounds the memory that a head takes once it is parsed, which
	// is many times its length if its fields are short.
	maxHeadFields = 128
)

// headFraming says how the head of a request frames the request.
type headFraming struct {
	hasContentLength    bool
	hasTransferEncoding bool
	hasFoldedLine       bool // a line continues the previous one (RFC 9112, 5.2)
	hasTooManyFields    bool // the head has more than maxHeadFields fields
	// arrivedAt is the earliest time at which the head's last byte can have arrived; zero if it is not known.
	arrivedAt time.Time
}

// isChunkedOnly reports whether the head has a Transfer-Encoding but no Content-Length.
func (f headFraming) isChunkedOnly() bool { return f.hasTransferEncoding && !f.hasContentLength }

// headScanner scans the bytes that are received on a connection for what net/http does not report of a request's head: net/http ignores
// a Content-Length beside a Transfer-Encoding, ignores a Transfer-Encoding in HTTP/1.0, and joins a folded line to the previous one.
//
// It follows the requests of a connection by their Content-Length, so that it sees each head from its first byte, also if the head was
// received together with the request before it. After a request whose end it can't find, because its body is chunked, is framed in
// two ways or has an unusual length, it reports no further head, and no further request of the connection may be served. The zero
// value is ready for a new connection. It is safe for concurrent use.
type headScanner struct {
	mu             sync.Mutex
	pending        []headFraming // framing of the heads that were scanned to their end and not taken yet, oldest first
	bodyBytesLeft  int64         // number of bytes of the current request's body that were not received yet
	cannotFollow   bool          // the end of the current request is not known, so that no further head can be found
	current        headFraming   // framing of the head that is being scanned
	receivedAt     time.Time     // earliest time at which the bytes that are being scanned can have arrived
	fieldCount     int           // number of fields of that head so far
	headLength     int           // number of bytes of that head so far
	longestHead    int           // number of bytes of the longest head since the last call of takeLongestHead, as far as it was scanned
	afterFirstLine bool          // the request line has ended
	name           [len("transfer-encoding")]byte
	nameLength     int   // number of bytes of name that are set, which hold the current field's name in lower case; -1: the name has ended
	lineLength     int   // number of bytes of the current line so far, without its line end
	length         int64 // value of the Content-Length of the head that is being scanned
	lengthState    lengthState
}

// lengthState is how far the value of a Content-Length was scanned.
type lengthState int

const (
	noLength      lengthState = iota // the current line is no Content-Length
	beforeDigits                     // only white space was scanned so far
	inDigits                         // the digits have begun
	afterDigits                      // white space follows the digits
	unusualLength                    // the value has anything but digits between white space
)

// receive processes bytes that had arrived at the given time at the earliest.
func (h *headScanner) receive(b []byte, arrivedAt time.Time) {
	h.mu.Lock()
	h.receivedAt = arrivedAt
	h.mu.Unlock()
	h.scan(b)
}

// scan processes bytes that were received.
func (h *headScanner) scan(b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(b) > 0 && !h.cannotFollow {
		if h.bodyBytesLeft > 0 {
			skipped := min(h.bodyBytesLeft, int64(len(b)))
			h.bodyBytesLeft -= skipped
			b = b[skipped:]
			continue
		}
		h.scanByte(b[0])
		b = b[1:]
	}
}

// take returns the framing of the oldest head that was not taken yet. ok is false if that head was not scanned from its first byte to
// its last. Each request that net/http has read must take its head.
func (h *headScanner) take() (framing headFraming, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.pending) == 0 {
		return headFraming{}, false
	}
	framing = h.pending[0]
	h.pending = slices.Delete(h.pending, 0, 1)
	return framing, true
}

// hasTooManyFields reports whether the head that is being scanned has more fields than maxHeadFields.
func (h *headScanner) hasTooManyFields() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.hasTooManyFields
}

// takeLongestHead returns the number of bytes of the longest head that was scanned since the last call, complete or not.
func (h *headScanner) takeLongestHead() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	longest := h.longestHead
	h.longestHead = h.headLength
	return longest
}

// scanByte processes one byte of a head. mu is held.
func (h *headScanner) scanByte(c byte) {
	h.headLength++
	h.longestHead = max(h.longestHead, h.headLength)
	switch c {
	case '\r':
	case '\n':
		h.endLine()
	default:
		if h.lineLength == 0 && h.afterFirstLine {
			h.beginField(c)
		}
		h.lineLength++
		h.scanField(c)
	}
}

// beginField processes the first byte of a line after the request line. mu is held.
func (h *headScanner) beginField(c byte) {
	h.current.hasFoldedLine = h.current.hasFoldedLine || c == ' ' || c == '\t'
	h.fieldCount++
	h.current.hasTooManyFields = h.fieldCount > maxHeadFields
}

// endLine processes the end of a line. Empty lines before a request line are skipped. mu is held.
func (h *headScanner) endLine() {
	isEmpty := h.lineLength == 0
	if h.lengthState == beforeDigits || h.lengthState == unusualLength {
		h.cannotFollow = true
	}
	h.nameLength, h.lineLength, h.lengthState = 0, 0, noLength
	if h.afterFirstLine && isEmpty {
		h.endHead()
		return
	}
	h.afterFirstLine = h.afterFirstLine || !isEmpty
}

// endHead records the framing of the head that has ended, and prepares for the body and the next head. mu is held.
func (h *headScanner) endHead() {
	h.current.arrivedAt = h.receivedAt
	h.pending = append(h.pending, h.current)
	h.bodyBytesLeft = h.length
	h.cannotFollow = h.cannotFollow || h.current.hasTransferEncoding || h.current.hasFoldedLine || len(h.pending) >= maxPendingHeads
	h.current, h.fieldCount, h.headLength, h.length, h.afterFirstLine = headFraming{}, 0, 0, 0, false
}

// scanField processes one byte of a line. At the end of a field's name it records whether the name is Content-Length or
// Transfer-Encoding. mu is held.
func (h *headScanner) scanField(c byte) {
	switch {
	case h.nameLength < 0:
		h.scanLength(c)
	case c == ':':
		h.endName()
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

// endName processes the end of a field's name. mu is held.
func (h *headScanner) endName() {
	switch string(h.name[:h.nameLength]) {
	case "content-length":
		// net/http rejects a second Content-Length unless it is the same as the first one.
		h.current.hasContentLength, h.length, h.lengthState = true, 0, beforeDigits
	case "transfer-encoding":
		h.current.hasTransferEncoding = true
	}
	h.nameLength = -1
}

// scanLength processes one byte of a field's value, which matters only in a Content-Length. mu is held.
func (h *headScanner) scanLength(c byte) {
	isSpace, isDigit := c == ' ' || c == '\t', c >= '0' && c <= '9'
	switch {
	case h.lengthState == noLength || h.lengthState == unusualLength:
	case isDigit && h.lengthState != afterDigits && h.length <= (math.MaxInt64-9)/10:
		h.length, h.lengthState = 10*h.length+int64(c-'0'), inDigits
	case isSpace && h.lengthState == inDigits:
		h.lengthState = afterDigits
	case !isSpace:
		h.lengthState = unusualLength
	}
}
