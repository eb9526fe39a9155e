package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"tuliprock/internal/body"
)

// RequestStart says when an endpoint may begin to run a request. It decides whether an incomplete request may have run.
type RequestStart int

const (
	// StartsWithLastByte means that endpoints run a request only after its last byte was sent.
	StartsWithLastByte RequestStart = iota
	// StartsWithHead means that endpoints may run a request once its head was sent. As soon as any byte was sent, the request
	// counts as one that may have run.
	StartsWithHead
)

// Request is a request as it is forwarded to endpoints.
type Request struct {
	Method string
	Target string // request target of the request line
	Host   string // value of the Host header
	Header http.Header
	// EncodedFields are the fields of the header as they are written to endpoints; nil: those of Header are encoded for each attempt.
	EncodedFields []byte
	Body          []byte // buffered body; must be empty if Upload is set
	// DeadlineHeader is the name of the header with the time, in milliseconds, for which this sidecar will wait for the response;
	// "" means that no such header is sent.
	DeadlineHeader string

	// NeverRetried says that the request is not sent again once it may have run, so that nothing is gained by giving up a response that its
	// endpoint may still be writing.
	NeverRetried bool

	// Upload is the body if it streams, and nil if it is buffered.
	Upload *body.Upload
	// ResponseTimeout is how long this sidecar waits for the response after Upload was sent; 0 means until the attempt's context
	// ends.
	ResponseTimeout time.Duration
}

// EncodeFields replaces Header by EncodedFields, which take the least memory: many requests with long heads may wait at a time. The
// deadline header of the client is left out, since each attempt has one of its own.
func (r *Request) EncodeFields() {
	excludedFields := map[string]bool{"Content-Length": true, "Host": true}
	if r.DeadlineHeader != "" {
		excludedFields[http.CanonicalHeaderKey(r.DeadlineHeader)] = true
	}
	r.EncodedFields = r.encodeFields(excludedFields)
	r.Header = nil
}

// encodeFields returns the encoded fields of Header without the excluded ones.
func (r *Request) encodeFields(excludedFields map[string]bool) []byte {
	var text bytes.Buffer
	text.Grow(r.fieldsLength())
	_ = r.Header.WriteSubset(&text, excludedFields) // writing to a bytes.Buffer never fails
	return text.Bytes()
}

// fieldsLength returns how many bytes the encoded fields of Header have at most.
func (r *Request) fieldsLength() int {
	length := 0
	for name, values := range r.Header {
		for _, value := range values {
			length += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return length
}

// encodeHead returns the head as it is written to an endpoint, in parts. The body is framed either by its length or by chunks. The deadline
// header has the time that is left at the moment of the call.
func (r *Request) encodeHead(ctx context.Context) net.Buffers {
	var start bytes.Buffer
	start.Grow(len(r.Method) + len(r.Target) + len(r.Host) + len(r.DeadlineHeader) + maxAddedHeadBytes)
	fmt.Fprintf(&start, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	excludedFields := map[string]bool{"Content-Length": true, "Host": true}
	if timeLeft, ok := r.responseTimeout(ctx); ok && r.DeadlineHeader != "" {
		excludedFields[http.CanonicalHeaderKey(r.DeadlineHeader)] = true
		fmt.Fprintf(&start, "%s: %d\r\n", r.DeadlineHeader, max(timeLeft.Milliseconds(), 1))
	}
	switch {
	case r.Upload != nil:
		r.writeFraming(&start)
	case len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		fmt.Fprintf(&start, "Content-Length: %d\r\n", len(r.Body))
	}
	fields := r.EncodedFields
	if fields == nil {
		fields = r.encodeFields(excludedFields)
	}
	return net.Buffers{start.Bytes(), fields, crlf}
}

// maxAddedHeadBytes is the length in bytes of what encodeHead adds to the request's own texts: version, separators and framing.
const maxAddedHeadBytes = 128

// buffersLength returns how many bytes the buffers have together.
func buffersLength(buffers net.Buffers) (length int64) {
	for _, part := range buffers {
		length += int64(len(part))
	}
	return length
}

// writeFraming writes the header fields that frame a streaming body.
func (r *Request) writeFraming(text *bytes.Buffer) {
	if r.Upload.Size >= 0 {
		fmt.Fprintf(text, "Content-Length: %d\r\n", r.Upload.Size)
	} else {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if r.Upload.ExpectsContinue {
		text.WriteString("Expect: 100-continue\r\n")
	}
}

// responseTimeout returns how long this sidecar will wait for the response. The bool is false if there is no limit.
func (r *Request) responseTimeout(ctx context.Context) (time.Duration, bool) {
	if r.ResponseTimeout > 0 {
		return r.ResponseTimeout, true
	}
	deadline, ok := ctx.Deadline()
	return time.Until(deadline), ok
}
