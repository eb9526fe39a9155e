package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
)

// expectContinueTimeout is how long an endpoint has to accept or reject a body before it is sent anyway: the endpoint
// may not know the expectation (RFC 9110, 10.1.1). net/http's Transport is commonly given the same time.
const expectContinueTimeout = time.Second

var crlf = []byte("\r\n")

// bodySender sends a request whose body streams. Its goroutine, run, ends before runUpload returns if the request was
// sent completely; else it ends with the read from the client that may be under way.
type bodySender struct {
	exchange    *exchange
	reader      *body.UploadReader
	meter       body.Meter
	bodyAllowed chan struct{} // closed when the endpoint wants the body
	allowOnce   sync.Once
	done        chan struct{} // closed when run returns
	isStopped   atomic.Bool

	mu             sync.Mutex // held while something is written
	written        int64      // bytes
	isSent         bool       // the last byte is written
	isTooSlow      bool       // the endpoint does not keep the minimum rate
	isUploadBroken bool       // the client does not bring the body
}

// runUpload sends a request whose body streams while it waits for the response, which may come before the body's end.
func (x *exchange) runUpload(ctx context.Context, head []byte) outcome {
	flow, ok := x.request.Upload.NewReader()
	if !ok {
		return outcome{result: balance.NotSent}
	}
	s := newBodySender(x, flow)
	go s.run(head)
	resp, err := x.readFinalHead(func(status int) {
		if status == http.StatusContinue {
			s.allowBody()
		}
	})
	s.stop(err != nil)
	switch {
	case err != nil && !s.isSent:
		return outcome{result: s.incompleteRequestResult(ctx)}
	case err != nil:
		return outcome{result: x.conn.failedResponseResult(ctx, err)}
	}
	o := x.readResponse(ctx, resp)
	o.isReusable = o.isReusable && s.isSent
	return o
}

func newBodySender(x *exchange, flow *body.UploadReader) *bodySender {
	return &bodySender{
		exchange:    x,
		reader:      flow,
		meter:       body.NewMeter(x.client.options.MinimumRate),
		bodyAllowed: make(chan struct{}),
		done:        make(chan struct{}),
	}
}

// allowBody lets the body follow the head.
func (s *bodySender) allowBody() { s.allowOnce.Do(func() { close(s.bodyAllowed) }) }

// stop stops the sender if the request is not sent completely, and returns when it writes no more. It does not wait for
// a read from the client. closesConn says whether the connection is to be closed.
func (s *bodySender) stop(closesConn bool) {
	s.isStopped.Store(true)
	s.reader.Close() // before allowBody: a client that waits for 100 Continue must not be asked for a body that nobody wants
	s.allowBody()
	if closesConn {
		s.exchange.conn.Close()
	} else {
		_ = s.exchange.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	s.mu.Lock()
	isSent := s.isSent
	s.mu.Unlock()
	if isSent {
		<-s.done // so that AttemptHooks.RequestSent is called before the attempt's end is reported
		_ = s.exchange.conn.SetWriteDeadline(time.Time{})
	}
}

// incompleteRequestResult is the result of an attempt whose request was not sent completely.
func (s *bodySender) incompleteRequestResult(ctx context.Context) balance.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isUploadBroken || errors.Is(ctx.Err(), context.Canceled):
		return balance.Canceled
	case s.written == 0 || s.exchange.client.options.RequestStart == StartsWithLastByte:
		return balance.ConnectFailed
	case s.isTooSlow || ctx.Err() != nil:
		return balance.TimedOut
	}
	return balance.ErrorResponse // and not Reset: an endpoint that rejects uploads by closing the connection is not down
}

// run sends head and body.
func (s *bodySender) run(head []byte) {
	defer close(s.done)
	if s.write(false, head) != nil {
		return
	}
	if s.exchange.request.Upload.ExpectsContinue {
		select {
		case <-s.bodyAllowed:
		case <-time.After(expectContinueTimeout):
		}
		if s.isStopped.Load() {
			return
		}
	}
	if !s.sendBody() {
		return
	}
	if s.exchange.hooks.RequestSent != nil {
		s.exchange.hooks.RequestSent()
	}
}

// sendBody sends the body and reports whether its last byte was written.
func (s *bodySender) sendBody() bool {
	size, sent := s.exchange.request.Upload.Size, int64(0)
	for isLast := false; !isLast; {
		part, err := s.reader.Next()
		sent += int64(len(part))
		switch {
		case err == nil:
			isLast = sent == size
			err = s.write(isLast, s.encodePart(part)...)
		case errors.Is(err, io.EOF) && size < 0:
			isLast = true
			err = s.write(true, s.finalChunk())
		default:
			s.abortBrokenUpload()
		}
		if err != nil {
			return false
		}
	}
	return true
}

// abortBrokenUpload ends an attempt whose body does not come.
func (s *bodySender) abortBrokenUpload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStopped.Load() {
		s.isUploadBroken = true
		s.exchange.conn.Close()
	}
}

// write writes parts of the request; isLast: the request's last byte is among them. If that fails, the endpoint may
// have said why, and its response is awaited for a moment.
func (s *bodySender) write(isLast bool, parts ...[]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := body.Write(s.exchange.conn.Conn, &s.meter, s.isStopped.Load, parts)
	s.written += n
	switch {
	case err == nil:
		if s.isSent = isLast; isLast {
			s.exchange.notifySent()
		}
	case errors.Is(err, body.ErrTooSlow):
		s.isTooSlow = true
		s.exchange.conn.Close()
	case !s.isStopped.Load():
		_ = s.exchange.conn.SetReadDeadline(time.Now().Add(bufferedResponseTimeout))
	}
	return err
}

// encodePart returns a part of the body as it is written: as a chunk, if the body has no known length.
func (s *bodySender) encodePart(part []byte) [][]byte {
	if s.exchange.request.Upload.Size >= 0 {
		return [][]byte{part}
	}
	return [][]byte{fmt.Appendf(nil, "%x\r\n", len(part)), part, crlf}
}

// finalChunk returns what ends a body without a known length.
func (s *bodySender) finalChunk() []byte {
	upload := s.exchange.request.Upload
	text := bytes.NewBufferString("0\r\n")
	if upload.Trailer != nil {
		_ = forwardableTrailers(upload.Trailer()).Write(text) // a bytes.Buffer returns no error
	}
	text.Write(crlf)
	return text.Bytes()
}
