package frontend

import (
	"net/http"
	"strings"
	"sync"
)

// framing watches the head of a request go by, for what net/http does not tell: a Content-Length beside chunks is dropped
// there, and a folded line is joined to the one before. The zero value has seen none. Of a head that came along with the
// request before it sees nothing: net/http has that in its buffer.
type framing struct {
	mu       sync.Mutex
	name     [len("transfer-encoding")]byte // of the field whose line is read, in small letters
	n        int                            // letters of it; -1: the line's rest tells nothing
	line     int                            // bytes of the line, without its end
	first    bool                           // it is the request line
	over     bool                           // the head's end has come
	begun    bool                           // it was seen from its beginning
	length   bool                           // a Content-Length
	transfer bool                           // a Transfer-Encoding
	folded   bool                           // a line that goes on with another (RFC 9112, 5.2)
}

// take takes bytes that came; anew: they begin a request.
func (f *framing) take(b []byte, anew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if anew {
		f.n, f.line, f.first, f.over, f.begun, f.length, f.transfer, f.folded = 0, 0, true, false, true, false, false, false
	}
	for _, c := range b {
		if f.over || !f.begun {
			return
		}
		f.step(c)
	}
}

func (f *framing) step(c byte) {
	switch c {
	case '\r':
	case '\n':
		f.over = f.line == 0 && !f.first
		f.first = f.first && f.line == 0
		f.n, f.line = 0, 0
	default:
		f.folded = f.folded || f.line == 0 && !f.first && (c == ' ' || c == '\t')
		f.line++
		switch {
		case f.n < 0:
		case c == ':':
			switch name := string(f.name[:f.n]); name {
			case "content-length":
				f.length = true
			case "transfer-encoding":
				f.transfer = true
			}
			f.n = -1
		case f.n == len(f.name):
			f.n = -1
		default:
			if c >= 'A' && c <= 'Z' {
				c += 'a' - 'A'
			}
			f.name[f.n] = c
			f.n++
		}
	}
}

// chunksAlone tells whether the latest head was seen whole, and frames its body by chunks and in no other way.
func (f *framing) chunksAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.begun && f.over && f.transfer && !f.length
}

// hasFolded tells whether a line of a request's head is folded: two readers could take it for one field or for two.
func hasFolded(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return false
	}
	c.head.mu.Lock()
	defer c.head.mu.Unlock()
	return c.head.folded
}

// inChunks tells whether a request's body comes in chunks and can be read in no other way.
func inChunks(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*callerConn)
	return ok && len(r.TransferEncoding) == 1 && strings.EqualFold(r.TransferEncoding[0], "chunked") && c.head.chunksAlone()
}
