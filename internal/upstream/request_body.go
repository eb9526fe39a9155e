package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
)

// expectContinueTimeout is how long to wait for 100 Continue before the body is sent anyway, since the endpoint may not support the
// expectation (RFC 9110, 10.1.1). It is the value commonly used with net/http's Transport.
const expectContinueTimeout = time.Second

var crlf = []byte("\r\n")

// bodySender sends a request whose body streams. Its method run is executed on a goroutine of its own. If the request was sent
// completely, that goroutine ends before runUpload returns. Otherwise the goroutine may still be reading from the client, and ends
// when that read returns.
type bodySender struct {
	exchange    *exchange
	reader      *body.UploadReader
	meter       body.Meter    // meter of the rate at which the endpoint reads the body
	bodyAllowed chan struct{} // closed when the body may be sent, or the sender was stopped
	allowOnce   sync.Once     // ensures that bodyAllowed is closed only once
	done        chan struct{} // closed when the method run returns
	isStopped   atomic.Bool   // whether the sender was stopped, so that nothing more may be written

	mu             sync.Mutex // held during each write to the endpoint; guards writtenBytes, isSent, isTooSlow and isUploadBroken
	writtenBytes   int64      // number of bytes of the request that were written
	isSent         bool       // whether the request's last byte was written
	isTooSlow      bool       // whether the endpoint fell below Options.MinimumRate
	isUploadBroken bool       // whether reading the body from the client has failed
}

// runUpload sends a request whose body streams, and at the same time waits for the response, which may come before the body's end.
func (x *exchange) runUpload(ctx context.Context, head net.Buffers) outcome {
	reader, ok := x.request.Upload.NewReader()
	if !ok {
		return outcome{result: balance.NotSent}
	}
	s := newBodySender(x, reader)
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

func newBodySender(x *exchange, reader *body.UploadReader) *bodySender {
	return &bodySender{
		exchange:    x,
		reader:      reader,
		meter:       body.NewMeter(x.client.options.MinimumRate),
		bodyAllowed: make(chan struct{}),
		done:        make(chan struct{}),
	}
}

// allowBody allows the method run to send the body. allowBody may be called several times.
func (s *bodySender) allowBody() { s.allowOnce.Do(func() { close(s.bodyAllowed) }) }

// stop stops the sender, unless the request was sent completely, and returns when nothing more will be written. It does not wait
// for a read from the client. With closesConn it also closes the connection.
func (s *bodySender) stop(closesConn bool) {
	s.isStopped.Store(true)
	s.reader.Close() // closed before allowBody allows the method run to go on: a client that waits for 100 Continue must not be asked for a body that is not needed
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
		<-s.done // the method run calls AttemptHooks.RequestSent, which must happen before Attempt returns
		_ = s.exchange.conn.SetWriteDeadline(time.Time{})
	}
}

// incompleteRequestResult returns the result of an attempt whose request was not sent completely.
func (s *bodySender) incompleteRequestResult(ctx context.Context) balance.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.isUploadBroken || errors.Is(ctx.Err(), context.Canceled):
		return balance.Canceled
	case s.writtenBytes == 0 || s.exchange.client.options.RequestStart == StartsWithLastByte:
		return balance.ConnectFailed
	case s.isTooSlow || ctx.Err() != nil:
		return balance.TimedOut
	}
	return balance.ErrorResponse // the result is not Reset, since an endpoint that rejects an upload by closing the connection is not down
}

// run sends the head and the body. If the client expects 100 Continue, run waits for allowBody before it sends the body, but at
// most for expectContinueTimeout.
func (s *bodySender) run(head net.Buffers) {
	defer close(s.done)
	defer s.reader.Release()
	if s.write(false, head...) != nil {
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
	size, sentBytes := s.exchange.request.Upload.Size, int64(0)
	for isLast := false; !isLast; {
		part, err := s.reader.Next()
		sentBytes += int64(len(part))
		switch {
		case err == nil:
			isLast = sentBytes == size
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

// abortBrokenUpload closes the connection, and so ends the attempt, because the client's body could not be read.
func (s *bodySender) abortBrokenUpload() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isStopped.Load() {
		s.isUploadBroken = true
		s.exchange.conn.Close()
	}
}

// write writes parts of the request. isLast says whether they include the request's last byte. If the write fails, the endpoint may
// have sent a response that explains why, so the response is still awaited for minBufferedResponseTimeout.
func (s *bodySender) write(isLast bool, parts ...[]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := body.Write(s.exchange.conn.Conn, &s.meter, s.isStopped.Load, parts)
	s.writtenBytes += n
	switch {
	case err == nil:
		if s.isSent = isLast; isLast {
			s.exchange.notifySent()
		}
	case errors.Is(err, body.ErrTooSlow):
		s.isTooSlow = true
		s.exchange.conn.Close()
	case !s.isStopped.Load():
		_ = s.exchange.conn.SetReadDeadline(time.Now().Add(minBufferedResponseTimeout))
	}
	return err
}

// encodePart returns a part of the body as it is written to the endpoint: as a chunk if the body's length is not known.
func (s *bodySender) encodePart(part []byte) [][]byte {
	if s.exchange.request.Upload.Size >= 0 {
		return [][]byte{part}
	}
	return [][]byte{fmt.Appendf(nil, "%x\r\n", len(part)), part, crlf}
}

// finalChunk returns the last chunk and the trailers, which end a body whose length is not known.
func (s *bodySender) finalChunk() []byte {
	upload := s.exchange.request.Upload
	text := bytes.NewBufferString("0\r\n")
	if upload.Trailer != nil {
		_ = forwardableTrailers(upload.Trailer()).Write(text) // writing to a bytes.Buffer never fails
	}
	text.Write(crlf)
	return text.Bytes()
}
