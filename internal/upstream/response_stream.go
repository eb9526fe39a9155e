package upstream

import (
	"bytes"
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

// ErrClientGone is passed to Stream.Close if the client has left before the body's end.
var ErrClientGone = errors.New("client has left")

// Stream is the body of a streaming response. One goroutine reads it, with Next and Splice, and closes it once; Abort
// may be called by any.
type Stream struct {
	Length    int64 // in bytes; -1 means that it is not known
	conn      *conn
	response  *http.Response
	maxBytes  int64 // 0 means no maximum
	meter     body.Meter
	closed    chan error
	isClaimed atomic.Bool // handed over, or read completely before that

	mu        sync.Mutex
	readEnded sync.Cond
	buffer    []byte
	filled    int // bytes of window that were read
	consumed  int // bytes of window that were returned by Next
	isReading bool
	received  int64 // bytes of the body
	err       error // of the latest read
}

// isStreaming reports whether a response's body streams. An endpoint's error never does, since a retry may follow it.
func (x *exchange) isStreaming(resp *http.Response) bool {
	return x.client.options.BodyMemory != nil && x.hooks.ResponseStarted != nil && !hasNoBody(x.request.Method, resp) &&
		x.client.isAcceptable(resp.StatusCode) && (resp.ContentLength > maxBufferedBody || resp.ContentLength < 0)
}

// isEventStream reports whether the parts of a response are wanted as they come (HTML Living Standard, 9.2).
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// streamResponse hands a streaming response over and waits until it is closed. For a moment it is held back, up to one
// window: if it breaks meanwhile, a retry is still possible, and if it ends, it is returned as a buffered response.
func (x *exchange) streamResponse(ctx context.Context, resp *http.Response) outcome {
	window, release, err := x.acquireBuffer(ctx)
	if err != nil {
		return outcome{result: balance.Canceled} // which says nothing of the endpoint
	}
	defer release()
	x.conn.byteLimit.N = math.MaxInt64 // and resp.Body is never closed: that would read on for what was spliced past it
	s := x.newStream(resp, window)
	handedOver := make(chan bool, 1)
	handOver := func() {
		if s.isClaimed.CompareAndSwap(false, true) {
			x.isHandedOver.Store(x.stopDeadline() && x.hooks.ResponseStarted(Response{Status: resp.StatusCode, Header: resp.Header, Stream: s}))
			handedOver <- x.isHandedOver.Load()
		}
	}
	if !isEventStream(resp) {
		timer := time.AfterFunc(bufferedResponseTimeout, handOver)
		defer timer.Stop()
		s.prefetch()
		if s.hasEnded() && s.isClaimed.CompareAndSwap(false, true) {
			if err := x.conn.SetReadDeadline(time.Time{}); !errors.Is(s.err, io.EOF) || err != nil {
				return outcome{result: x.conn.failedResponseResult(ctx, s.err)}
			}
			return x.classify(resp, bytes.Clone(s.buffer[:s.filled]))
		}
	}
	handOver()
	if !<-handedOver {
		return outcome{result: balance.Canceled}
	}
	return x.closedOutcome(resp, <-s.closed)
}

// newStream returns the stream of a response that is read into window.
func (x *exchange) newStream(resp *http.Response, window []byte) *Stream {
	s := &Stream{
		Length:   resp.ContentLength,
		conn:     x.conn,
		response: resp,
		maxBytes: x.client.options.MaxResponseBody,
		meter:    body.NewMeter(x.client.options.MinimumRate),
		closed:   make(chan error, 1),
		buffer:   window,
	}
	s.readEnded.L = &s.mu
	return s
}

// closedOutcome is the outcome of an exchange whose stream was closed with an error or with nil.
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

// acquireBuffer returns the buffer of a response and what gives it back. It is the upload's own, if the upload no longer
// needs that, so that exchanges which hold a window do not wait for another.
func (x *exchange) acquireBuffer(ctx context.Context) (window []byte, release func(), err error) {
	if upload := x.request.Upload; upload != nil {
		if window = upload.TakeBuffer(); window != nil {
			return window, func() {}, nil
		}
	}
	w, err := x.client.options.BodyMemory.AcquireBuffer(ctx)
	if err != nil {
		return nil, nil, err
	}
	return *w, func() { x.client.options.BodyMemory.ReleaseBuffer(w) }, nil
}

// prefetch reads until the window is full, the body has ended, or the stream is handed over.
func (s *Stream) prefetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.filled < len(s.buffer) && s.err == nil && !s.isClaimed.Load() {
		// This replaces the deadline of buffered responses.
		_ = s.conn.SetReadDeadline(time.Now().Add(s.meter.MaxWait()))
		s.readOnce()
	}
}

// hasEnded reports whether the window holds all of the body, or all that came before it broke.
func (s *Stream) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// readOnce reads once into the free part of the window. s.mu is held before and after, but not during the read, so that
// Next can return what is there.
func (s *Stream) readOnce() {
	s.isReading = true
	to := s.buffer[s.filled:]
	if s.Length >= 0 {
		to = to[:min(int64(len(to)), s.Length-s.received)]
	}
	s.mu.Unlock()
	began := time.Now()
	n, err := body.Read(s.response.Body, to)
	waited := time.Since(began)
	s.mu.Lock()
	s.meter.Record(n, waited)
	s.filled += n
	s.received += int64(n)
	s.err = err
	if s.maxBytes > 0 && s.received > s.maxBytes {
		s.err = fmt.Errorf("%w: body of more than %d bytes is too long", errMalformed, s.maxBytes)
	}
	s.isReading = false
	s.readEnded.Broadcast()
}

// Next returns the next part of the body, of at most body.WindowSize bytes, which is valid until the next call. io.EOF is
// the body's end. body.ErrTooSlow, wrapped, means that the endpoint does not keep its minimum rate, and any other error
// that the body has broken.
func (s *Stream) Next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.consumed == s.filled && s.err == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.meter.MaxWait())) // also for a read that is under way
		if s.isReading {
			s.readEnded.Wait()
			continue
		}
		s.consumed, s.filled = 0, 0
		if s.Length >= 0 && s.received == s.Length { // net/http does not count what was spliced
			s.err = io.EOF
			break
		}
		s.readOnce()
	}
	if part := s.buffer[s.consumed:s.filled]; len(part) > 0 {
		s.consumed = s.filled
		return part, nil
	}
	var timeout net.Error
	if errors.As(s.err, &timeout) && timeout.Timeout() {
		return nil, fmt.Errorf("%w: %w", body.ErrTooSlow, s.err)
	}
	return nil, s.err
}

// Trailer returns the trailers that may be forwarded. It is valid once Next has returned io.EOF.
func (s *Stream) Trailer() http.Header { return forwardableTrailers(s.response.Trailer) }

// Close ends the stream. A nil error means that the body was forwarded completely, and any other says why not. It must
// be called exactly once, by the goroutine that reads.
func (s *Stream) Close(err error) { s.closed <- err }

// Abort closes the connection, which makes Next fail.
func (s *Stream) Abort() { s.conn.Close() }
