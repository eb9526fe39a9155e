package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
)

// ErrClientGone is passed to Stream.Close if the client has disconnected before the body's end.
var ErrClientGone = errors.New("client has disconnected")

// Stream is the body of a streaming response. One goroutine reads it with Next and Splice and then closes it once. Abort may be
// called by any goroutine.
type Stream struct {
	Length    int64 // length of the body in bytes; -1 means that it is not known
	conn      *conn
	response  *http.Response
	maxBytes  int64       // maximum length of the body in bytes; 0 means no maximum
	meter     body.Meter  // meter of the rate at which the endpoint sends the body
	closeErr  chan error  // receives the argument of the only call of Close
	isClaimed atomic.Bool // whether it is settled that the stream is handed over to AttemptHooks.ResponseStarted, or that its body has ended or broken before

	abortMu  sync.Mutex // guards isClosed, since mu may be held for as long as Splice writes to the client
	isClosed bool       // whether Close was called

	mu            sync.Mutex
	readEnded     sync.Cond // signaled when a read from the endpoint has ended
	buffer        []byte
	filledBytes   int   // number of bytes of buffer that hold data
	consumedBytes int   // number of bytes of buffer that Next has returned
	isReading     bool  // whether a read from the endpoint is in progress
	receivedBytes int64 // number of bytes of the body that were read or spliced
	err           error // error of the last read; no read follows once it is set
}

// isStreaming reports whether a response's body streams. A response whose status is not acceptable (see isAcceptable) is always
// buffered, since the request may be retried.
func (x *exchange) isStreaming(resp *http.Response) bool {
	return x.client.options.BodyMemory != nil && x.hooks.ResponseStarted != nil && !hasNoBody(x.request.Method, resp) &&
		x.client.isAcceptable(resp.StatusCode) && (resp.ContentLength > maxBufferedBodyBytes || resp.ContentLength < 0)
}

// isEventStream reports whether a response consists of server-sent events, which must be forwarded without delay (HTML Living
// Standard, 9.2).
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// streamResponse hands a streaming response over to AttemptHooks.ResponseStarted and waits until the response's Stream is closed.
// Before the handover it holds back up to one buffer of the body, for at most holdBackTime: if the body breaks during
// this time, the request can still be retried, and if the body ends, the response is returned as a buffered one. Server-sent events
// are not held back.
func (x *exchange) streamResponse(ctx context.Context, resp *http.Response) outcome {
	_ = x.conn.setMinimumRate(body.MinimumRate{}) // the Stream sets deadlines of its own; fails only on a closed connection, on which the next read fails, too
	buffer, err := x.acquireBuffer(ctx)
	if err != nil {
		return outcome{result: balance.Canceled} // balance.Canceled does not count against the endpoint
	}
	defer buffer.Release()
	x.conn.byteLimit.N = math.MaxInt64 // Stream.maxBytes limits a streaming body instead
	// resp.Body must not be closed: its Close method would read to the body's end without counting the bytes that Splice has taken
	// from the connection. It would then wait for bytes that never come.
	s := x.newStream(resp, buffer.Bytes())
	handedOver := make(chan bool, 1)
	handOver := func() {
		if s.isClaimed.CompareAndSwap(false, true) {
			x.isHandedOver.Store(x.detachContext() && x.hooks.ResponseStarted(Response{Status: resp.StatusCode, Header: resp.Header, Stream: s}))
			handedOver <- x.isHandedOver.Load()
		}
	}
	if !isEventStream(resp) {
		timer := time.AfterFunc(x.holdBackTime(ctx), handOver)
		defer timer.Stop()
		s.prefetch()
		if s.hasEnded() && s.isClaimed.CompareAndSwap(false, true) {
			if err := x.conn.SetReadDeadline(time.Time{}); !errors.Is(s.err, io.EOF) || err != nil {
				return outcome{result: x.conn.failedResponseResult(ctx, s.err)}
			}
			content, err := x.allocate(ctx, s.filledBytes)
			if err != nil {
				return outcome{result: balance.Canceled} // balance.Canceled does not count against the endpoint
			}
			copy(content, s.buffer)
			return x.classify(resp, content)
		}
	}
	handOver()
	if !<-handedOver {
		return outcome{result: balance.Canceled}
	}
	return x.closedOutcome(resp, <-s.closeErr)
}

// handOverMargin is how long before a request is given up its response is handed over at the latest. It covers the way through the event
// loop of a busy process.
const handOverMargin = 50 * time.Millisecond

// holdBackTime returns for how long the beginning of a streaming response is held back at most: it must be handed over before its request
// is given up, since the response has come in time.
func (x *exchange) holdBackTime(ctx context.Context) time.Duration {
	deadline := x.deadline(ctx)
	if deadline.IsZero() {
		return minBufferedResponseTimeout
	}
	return max(min(minBufferedResponseTimeout, time.Until(deadline)-handOverMargin), 0)
}

// newStream returns a Stream that reads a response's body into buffer.
func (x *exchange) newStream(resp *http.Response, buffer []byte) *Stream {
	s := &Stream{
		Length:   resp.ContentLength,
		conn:     x.conn,
		response: resp,
		maxBytes: x.client.options.MaxResponseBody,
		meter:    body.NewMeter(x.client.options.MinimumRate),
		closeErr: make(chan error, 1),
		buffer:   buffer,
	}
	s.readEnded.L = &s.mu
	return s
}

// closedOutcome returns the outcome of an exchange whose stream was closed with err, which may be nil.
func (x *exchange) closedOutcome(resp *http.Response, err error) outcome {
	switch {
	case err == nil:
		err = x.conn.SetReadDeadline(time.Time{})
		return outcome{result: balance.OK, isReusable: err == nil && x.isReusableAfter(resp)}
	case errors.Is(err, body.ErrTooSlow):
		return outcome{result: balance.TimedOut}
	case errors.Is(err, ErrClientGone):
		return outcome{result: balance.Canceled}
	}
	return outcome{result: balance.Reset}
}

// acquireBuffer returns the buffer for a response, which the caller must release. It fails at once if many bodies wait for memory. If the request's upload no longer needs its
// buffer, the response gets that buffer, so that an exchange which already has a buffer does not wait for a second one.
func (x *exchange) acquireBuffer(ctx context.Context) (*body.Buffer, error) {
	if upload := x.request.Upload; upload != nil {
		if buffer := upload.TakeBuffer(); buffer != nil {
			return buffer, nil
		}
	}
	if x.client.options.BodyMemory.HasLongQueue() {
		return nil, errNoResponseMemory
	}
	return x.client.options.BodyMemory.AcquireBuffer(ctx)
}

// prefetch reads until the buffer is full, the body has ended or broken, or the stream is handed over.
func (s *Stream) prefetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.filledBytes < len(s.buffer) && s.err == nil && !s.isClaimed.Load() {
		// This deadline limits the wait for the endpoint's next bytes. It replaces the one that readFinalHead has set.
		_ = s.conn.SetReadDeadline(time.Now().Add(s.meter.MaxWait()))
		s.readOnce()
	}
}

// hasEnded reports whether the body has ended or broken, so that nothing more will be read into the buffer.
func (s *Stream) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// readOnce reads once into the free part of the buffer. s.mu is held before and after, but not during the read, so that Next can
// return bytes that were read before.
func (s *Stream) readOnce() {
	s.isReading = true
	to := s.buffer[s.filledBytes:]
	if s.Length >= 0 {
		to = to[:min(int64(len(to)), s.Length-s.receivedBytes)]
	}
	s.mu.Unlock()
	startedAt := time.Now()
	n, err := body.Read(s.response.Body, to)
	waited := time.Since(startedAt)
	s.mu.Lock()
	s.meter.Record(n, waited)
	s.filledBytes += n
	s.receivedBytes += int64(n)
	s.err = err
	if s.maxBytes > 0 && s.receivedBytes > s.maxBytes {
		s.err = fmt.Errorf("%w: body of more than %d bytes is too long", errMalformed, s.maxBytes)
	}
	s.isReading = false
	s.readEnded.Broadcast()
}

// Next returns the next part of the body, of at most body.BufferSize bytes, which is valid until the next call. It returns io.EOF
// at the body's end. An error that wraps body.ErrTooSlow means that the endpoint does not keep its minimum rate. Any other
// error means that the body has broken.
func (s *Stream) Next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.consumedBytes == s.filledBytes && s.err == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.meter.MaxWait())) // the new deadline also applies to a read that is in progress
		if s.isReading {
			s.readEnded.Wait()
			continue
		}
		s.consumedBytes, s.filledBytes = 0, 0
		if s.Length >= 0 && s.receivedBytes == s.Length { // the body has ended; net/http's reader would wait for more, since it does not count the spliced bytes
			s.err = io.EOF
			break
		}
		s.readOnce()
	}
	if part := s.buffer[s.consumedBytes:s.filledBytes]; len(part) > 0 {
		s.consumedBytes = s.filledBytes
		return part, nil
	}
	var timeout net.Error
	if errors.As(s.err, &timeout) && timeout.Timeout() {
		return nil, fmt.Errorf("%w: %w", body.ErrTooSlow, s.err)
	}
	return nil, s.err
}

// Trailer returns the trailers that may be forwarded. It must not be called before Next has returned io.EOF.
func (s *Stream) Trailer() http.Header { return forwardableTrailers(s.response.Trailer) }

// Close ends the stream. err is nil if the body was forwarded completely, and otherwise the reason why not. Close must be called
// exactly once, by the goroutine that reads.
func (s *Stream) Close(err error) {
	s.abortMu.Lock()
	s.isClosed = true
	s.abortMu.Unlock()
	if err != nil {
		s.conn.Close() // ends the read that prefetch may have in progress on the attempt's goroutine
	}
	s.closeErr <- err
}

// Abort closes the connection to the endpoint, which makes Next fail. It does nothing once the stream is closed: the connection may
// carry another attempt then.
func (s *Stream) Abort() {
	s.abortMu.Lock()
	defer s.abortMu.Unlock()
	if !s.isClosed {
		s.conn.Close()
	}
}
