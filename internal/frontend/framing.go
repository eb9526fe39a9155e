package frontend

import (
	"net/http"
	"strings"
	"sync"
)

// headScanner watches the head of a request go by, for what net/http does not tell: a Content-Length beside chunks is dropped
// there, and a folded line is joined to the one before. The zero value has seen none. Of a head that came along with the
// request before it sees nothing: net/http has that in its buffer.
type headScanner struct {
	mu                  sync.Mutex
	name                [len("transfer-encoding")]byte // of the field whose line is read, in small letters
	nameLength          int                            // letters of it; -1: the line's rest tells nothing
	lineLength          int                            // bytes of the line, without its end
	inRequestLine       bool                           // it is the request line
	isComplete          bool                           // the head's end has come
	sawStart            bool                           // it was seen from its beginning
	hasContentLength    bool                           // a Content-Length
	hasTransferEncoding bool                           // a Transfer-Encoding
	hasFoldedLine       bool                           // a line that goes on with another (RFC 9112, 5.2)
}

// scan takes bytes that came; anew: they begin a request.
func (f *headScanner) scan(b []byte, anew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if anew {
		f.nameLength, f.lineLength, f.inRequestLine, f.isComplete, f.sawStart, f.hasContentLength, f.hasTransferEncoding, f.hasFoldedLine = 0, 0, true, false, true, false, false, false
	}
	for _, c := range b {
		if f.isComplete || !f.sawStart {
			return
		}
		f.scanByte(c)
	}
}

func (f *headScanner) scanByte(c byte) {
	switch c {
	case '\r':
	case '\n':
		f.isComplete = f.lineLength == 0 && !f.inRequestLine
		f.inRequestLine = f.inRequestLine && f.lineLength == 0
		f.nameLength, f.lineLength = 0, 0
	default:
		f.hasFoldedLine = f.hasFoldedLine || f.lineLength == 0 && !f.inRequestLine && (c == ' ' || c == '\t')
		f.lineLength++
		switch {
		case f.nameLength < 0:
		case c == ':':
			switch name := string(f.name[:f.nameLength]); name {
			case "content-length":
				f.hasContentLength = true
			case "transfer-encoding":
				f.hasTransferEncoding = true
			}
			f.nameLength = -1
		case f.nameLength == len(f.name):
			f.nameLength = -1
		default:
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			f.name[f.nameLength] = c
			f.nameLength++
		}
	}
}

// isChunkedOnly tells whether the latest head was seen whole, and frames its body by chunks and in no other way.
func (f *headScanner) isChunkedOnly() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sawStart && f.isComplete && f.hasTransferEncoding && !f.hasContentLength
}

// hasFoldedLine tells whether a line of a request's head is folded: two readers could take it for one field or for two.
func hasFoldedLine(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return false
	}
	c.head.mu.Lock()
	defer c.head.mu.Unlock()
	return c.head.hasFoldedLine
}

// isChunkedOnly tells whether a request's body comes in chunks and can be read in no other way.
func isChunkedOnly(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	return ok && len(r.TransferEncoding) == 1 && strings.EqualFold(r.TransferEncoding[0], "chunked") && c.head.isChunkedOnly()
}
