package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"tuliprock/internal/body"
)

// RequestStart says when an endpoint may begin to run a request, and so what proves that it never ran one.
type RequestStart int

const (
	// StartsWithLastByte is for endpoints that run no request of which the last byte was not sent.
	StartsWithLastByte RequestStart = iota
	// StartsWithHead is for endpoints that may run a request as soon as any byte of it was sent.
	StartsWithHead
)

// Request is a request as it is forwarded to endpoints.
type Request struct {
	Method string
	Target string // the request target, as it stands in the request line
	Host   string
	Header http.Header
	Body   []byte
	// DeadlineHeader is the header that says for how many milliseconds this sidecar waits for the response; "" means
	// none.
	DeadlineHeader string

	// Upload is the body in place of Body, if it streams.
	Upload *body.Upload
	// ResponseTimeout is how long this sidecar waits for the response once Upload is sent; 0 means for as long as the
	// attempt lasts.
	ResponseTimeout time.Duration
}

// encode returns the request as it is written to an endpoint: all of it or, if the body streams, the head. The body is
// framed by its length or by chunks and in no other way. The deadline header says how much time is left now.
func (m *Request) encode(ctx context.Context) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.Target, m.Host)
	skip := map[string]bool{"Content-Length": true, "Host": true}
	if left, ok := m.responseTimeout(ctx); ok && m.DeadlineHeader != "" {
		skip[http.CanonicalHeaderKey(m.DeadlineHeader)] = true
		fmt.Fprintf(&text, "%s: %d\r\n", m.DeadlineHeader, max(left.Milliseconds(), 1))
	}
	switch {
	case m.Upload != nil:
		m.writeFraming(&text)
	case len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead:
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(m.Body))
	}
	_ = m.Header.WriteSubset(&text, skip) // a bytes.Buffer returns no error
	text.WriteString("\r\n")
	text.Write(m.Body)
	return text.Bytes()
}

// writeFraming writes the header fields that frame a streaming body.
func (m *Request) writeFraming(text *bytes.Buffer) {
	if m.Upload.Size >= 0 {
		fmt.Fprintf(text, "Content-Length: %d\r\n", m.Upload.Size)
	} else {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if m.Upload.ExpectsContinue {
		text.WriteString("Expect: 100-continue\r\n")
	}
}

// responseTimeout returns how long this sidecar waits for the response, and whether there is a limit.
func (m *Request) responseTimeout(ctx context.Context) (time.Duration, bool) {
	if m.ResponseTimeout > 0 {
		return m.ResponseTimeout, true
	}
	at, ok := ctx.Deadline()
	return time.Until(at), ok
}
