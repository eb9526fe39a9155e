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
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
)

// Begins says when an endpoint may begin what a request asks for: what proves that it never ran.
type Begins int

// The ways.
const (
	WithLastByte Begins = iota // a request that did not go out whole has not run
	WithHead                   // one of which any byte went out may have run
)

// expectContinueTimeout is how long an endpoint is given to say whether it wants a body, before it gets it all the same: it may
// not know the expectation (RFC 9110, 10.1.1). net/http's Transport is commonly given the same time.
const expectContinueTimeout = time.Second

// writeFraming writes how the body of a request that flows is framed.
func (m *Message) writeFraming(text *bytes.Buffer) {
	if m.Upload.Size >= 0 {
		fmt.Fprintf(text, "Content-Length: %d\r\n", m.Upload.Size)
	} else {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if m.Upload.Expects {
		text.WriteString("Expect: 100-continue\r\n")
	}
}

// bodySender sends a request whose body flows.
type bodySender struct {
	exchange    *exchange
	flow        *body.Flow
	meter       body.Meter
	proceed     chan struct{} // closed when the endpoint wants the body
	proceedOnce sync.Once
	done        chan struct{}
	isStopped   atomic.Bool

	mu         sync.Mutex // held while something is written
	written    int64      // bytes that went out
	isSent     bool       // the last one among them
	isTooSlow  bool       // the endpoint does not keep its pace
	isBodyLost bool       // the caller does not bring the body
}

// runUpload sends a request whose body flows, while it waits for the answer: that may come first.
func (x *exchange) runUpload(ctx context.Context, head []byte) (r balance.Result, a Response, reusable bool) {
	flow, ok := x.request.Upload.NewFlow()
	if !ok {
		return balance.NotSent, Response{}, false
	}
	p := &bodySender{exchange: x, flow: flow, meter: body.NewMeter(x.client.options.Pace), proceed: make(chan struct{}), done: make(chan struct{})}
	go p.run(head)
	resp, err := x.awaitFinalHead(func(status int) {
		if status == http.StatusContinue {
			p.allowBody()
		}
	})
	p.stop(err != nil)
	switch {
	case err != nil && !p.isSent:
		return p.unsentResult(ctx), Response{}, false
	case err != nil:
		return x.conn.brokenResult(ctx, err), Response{}, false
	}
	r, a, reusable = x.readResponse(ctx, resp)
	return r, a, reusable && p.isSent
}

func (p *bodySender) allowBody() { p.proceedOnce.Do(func() { close(p.proceed) }) }

// stop stops the pump where the request has not gone out whole, and returns when it writes no more. It does not wait for
// a caller from whom it reads.
func (p *bodySender) stop(closed bool) {
	p.isStopped.Store(true)
	p.flow.End() // before it goes ahead: a caller that waits for a word must not be asked for what nobody wants
	p.allowBody()
	if closed {
		p.exchange.conn.Close()
	} else {
		_ = p.exchange.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	p.mu.Lock()
	sent := p.isSent
	p.mu.Unlock()
	if sent {
		<-p.done // what waits is told before what ended
		_ = p.exchange.conn.SetWriteDeadline(time.Time{})
	}
}

// unsentResult is the outcome where the request has not gone out whole.
func (p *bodySender) unsentResult(ctx context.Context) balance.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.isBodyLost || errors.Is(ctx.Err(), context.Canceled):
		return balance.Canceled
	case p.written == 0 || p.exchange.client.options.Begins == WithLastByte:
		return balance.ConnectFailed
	case p.isTooSlow || ctx.Err() != nil:
		return balance.TimedOut
	}
	return balance.Errored // and not Reset: a node that turns uploads away so has not gone down
}

// run sends head and body.
func (p *bodySender) run(head []byte) {
	defer close(p.done)
	if p.write(false, head) != nil {
		return
	}
	if p.exchange.request.Upload.Expects {
		select {
		case <-p.proceed:
		case <-time.After(expectContinueTimeout):
		}
		if p.isStopped.Load() {
			return
		}
	}
	for size, passed, last := p.exchange.request.Upload.Size, int64(0), false; !last; {
		part, err := p.flow.Next()
		passed += int64(len(part))
		switch {
		case err == nil:
			last = passed == size
			err = p.write(last, p.frame(part)...)
		case errors.Is(err, io.EOF) && size < 0:
			last = true
			err = p.write(true, p.finalChunk())
		default:
			p.loseBody()
		}
		if err != nil {
			return
		}
	}
	if p.exchange.hooks.Sent != nil {
		p.exchange.hooks.Sent()
	}
}

// loseBody ends an attempt whose body does not come.
func (p *bodySender) loseBody() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isStopped.Load() {
		p.isBodyLost = true
		p.exchange.conn.Close()
	}
}

// write writes a part; last: with the request's last byte. Where that fails, the endpoint may still have said why.
func (p *bodySender) write(last bool, parts ...[]byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, err := body.Write(p.exchange.conn.Conn, &p.meter, p.isStopped.Load, parts)
	p.written += n
	switch {
	case err == nil:
		if p.isSent = last; last {
			p.exchange.notifySent()
		}
	case errors.Is(err, body.ErrSlow):
		p.isTooSlow = true
		p.exchange.conn.Close()
	case !p.isStopped.Load():
		_ = p.exchange.conn.SetReadDeadline(time.Now().Add(bufferedResponseTimeout))
	}
	return err
}

var crlf = []byte("\r\n")

// frame is a part of the body as it goes out.
func (p *bodySender) frame(part []byte) [][]byte {
	if p.exchange.request.Upload.Size >= 0 {
		return [][]byte{part}
	}
	return [][]byte{fmt.Appendf(nil, "%x\r\n", len(part)), part, crlf}
}

// finalChunk is what ends a body without a length.
func (p *bodySender) finalChunk() []byte {
	u := p.exchange.request.Upload
	text := bytes.NewBufferString("0\r\n")
	if u.Trailer != nil {
		_ = forwardableTrailers(u.Trailer()).Write(text) // a Buffer takes all
	}
	text.Write(crlf)
	return text.Bytes()
}

// forbiddenTrailers are headers that would change what is known of a message when they come at its end: framing, routing,
// credentials, and how the body is to be read (RFC 9110, 6.5.1).
var forbiddenTrailers = []string{"Authorization", "Cache-Control", "Connection", "Content-Encoding", "Content-Length", "Content-Range", "Content-Type", "Cookie",
	"Expect", "Host", "Keep-Alive", "Max-Forwards", "Pragma", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Range", "Set-Cookie", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Www-Authenticate"}

// forwardableTrailers are those of a message's trailers that may go on.
func forwardableTrailers(in http.Header) http.Header {
	out := http.Header{}
	for name, values := range in {
		if !slices.Contains(forbiddenTrailers, http.CanonicalHeaderKey(name)) && !strings.HasPrefix(http.CanonicalHeaderKey(name), "If-") {
			out[name] = values
		}
	}
	return out
}

// isStreaming tells whether an answer's body flows. Errors of endpoints never do: another attempt may follow.
func (x *exchange) isStreaming(resp *http.Response) bool {
	return x.client.options.Pool != nil && x.hooks.Begun != nil && !hasNoBody(x.request.Method, resp) && x.client.isAcceptable(resp.StatusCode) &&
		(resp.ContentLength > MaxBufferedBody || resp.ContentLength < 0)
}

// Stream is the body of an answer that flows. One goroutine reads it; Abort may be called by any.
type Stream struct {
	Length    int64 // -1: not known
	conn      *conn
	response  *http.Response
	maxBytes  int64
	meter     body.Meter
	closed    chan error
	isClaimed atomic.Bool // by the caller, or as a whole

	mu        sync.Mutex
	readEnded sync.Cond // of reading
	window    []byte
	filled    int // bytes of it that were read
	consumed  int // and given out
	isReading bool
	received  int64
	err       error
}

// streamResponse reads an answer that flows. For a moment it is held back, up to a window: if it breaks meanwhile another attempt
// may follow, and if it ends it is a short one.
func (x *exchange) streamResponse(ctx context.Context, resp *http.Response) (r balance.Result, a Response, reusable bool) {
	window, giveBack, err := x.borrowWindow(ctx)
	if err != nil {
		return balance.Canceled, Response{}, false // it says nothing of the endpoint
	}
	defer giveBack()
	x.conn.byteLimit.N = math.MaxInt64 // and the body is not closed: that would read on for a part that was spliced past it
	s := &Stream{Length: resp.ContentLength, conn: x.conn, response: resp, maxBytes: x.client.options.Answer, meter: body.NewMeter(x.client.options.Pace), closed: make(chan error, 1), window: window}
	s.readEnded.L = &s.mu
	taken := make(chan bool, 1)
	bind := func() {
		if s.isClaimed.CompareAndSwap(false, true) {
			x.isHandedOver.Store(x.stopDeadline() && x.hooks.Begun(Response{Status: resp.StatusCode, Header: resp.Header, Stream: s}))
			taken <- x.isHandedOver.Load()
		}
	}
	if !isEventStream(resp) {
		timer := time.AfterFunc(bufferedResponseTimeout, bind)
		defer timer.Stop()
		s.prefetch()
		if s.hasEnded() && s.isClaimed.CompareAndSwap(false, true) {
			if err := x.conn.SetReadDeadline(time.Time{}); !errors.Is(s.err, io.EOF) || err != nil {
				return x.conn.brokenResult(ctx, s.err), Response{}, false
			}
			return x.classify(resp, bytes.Clone(s.window[:s.filled]))
		}
	}
	bind()
	if !<-taken {
		return balance.Canceled, Response{}, false
	}
	switch err := <-s.closed; {
	case err == nil:
		err = x.conn.SetReadDeadline(time.Time{})
		return balance.OK, Response{}, err == nil && !resp.Close && x.conn.reader.Buffered() == 0
	case errors.Is(err, body.ErrSlow):
		return balance.TimedOut, Response{}, false
	case errors.Is(err, ErrClientGone):
		return balance.Canceled, Response{}, false
	}
	return balance.Reset, Response{}, false
}

// borrowWindow is the buffer of an answer: the upload's own where that needs it no more, so that those who hold one do not wait
// for another.
func (x *exchange) borrowWindow(ctx context.Context) (window []byte, giveBack func(), err error) {
	if u := x.request.Upload; u != nil {
		if window = u.TakeWindow(); window != nil {
			return window, func() {}, nil
		}
	}
	w, err := x.client.options.Pool.AcquireWindow(ctx)
	if err != nil {
		return nil, nil, err
	}
	return *w, func() { x.client.options.Pool.ReleaseWindow(w) }, nil
}

// isEventStream tells whether an answer's parts are wanted as they come (HTML Living Standard, 9.2).
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// prefetch reads what is held back, until the window is full, the body has ended, or the caller has been given it.
func (s *Stream) prefetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.filled < len(s.window) && s.err == nil && !s.isClaimed.Load() {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.meter.MaxWait())) // in place of that for what is held whole
		s.readOnce()
	}
}

// hasEnded tells whether all of the body is in the window.
func (s *Stream) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// readOnce reads once, into what is free of the window. s.mu is held, but let go meanwhile: what is there can be given out.
func (s *Stream) readOnce() {
	s.isReading = true
	to := s.window[s.filled:]
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
		s.err = fmt.Errorf("%w: too long", errMalformed)
	}
	s.isReading = false
	s.readEnded.Broadcast()
}

// Next is the next part of the body, up to a Window, which holds until the next Next; io.EOF: that was all. Any other
// error means that the body has broken, or that the endpoint does not keep its pace.
func (s *Stream) Next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.consumed == s.filled && s.err == nil {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.meter.MaxWait())) // also of a read that is under way
		if s.isReading {
			s.readEnded.Wait()
			continue
		}
		s.consumed, s.filled = 0, 0
		if s.Length >= 0 && s.received == s.Length { // spliced past net/http's own count
			s.err = io.EOF
			break
		}
		s.readOnce()
	}
	if part := s.window[s.consumed:s.filled]; len(part) > 0 {
		s.consumed = s.filled
		return part, nil
	}
	var timeout net.Error
	if errors.As(s.err, &timeout) && timeout.Timeout() {
		return nil, fmt.Errorf("%w: %w", body.ErrSlow, s.err)
	}
	return nil, s.err
}

const (
	minSpliceBytes    = 256 << 10              // what is left of a body, from which splicing is worth its system calls
	maxSpliceBytes    = 1 << 20                // what a pipe of the system holds at most
	spliceReadTimeout = 100 * time.Millisecond // for the endpoint within a piece
)

// Splice passes a piece of the body to a caller's connection without looking at it (splice(2), by way of
// net.TCPConn.ReadFrom); 0 bytes: there is nothing to gain, and Next is to go on. It waits for the endpoint only for a
// moment: who is too slow shows in Next and in plain writes.
func (s *Stream) Splice(to *net.TCPConn, m *body.Meter) (n int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, ok := s.conn.Conn.(*net.TCPConn)
	left := s.Length - s.received
	if !ok || s.Length < 0 || left < minSpliceBytes || s.isReading || s.consumed < s.filled || s.err != nil || s.conn.reader.Buffered() > 0 || s.maxBytes > 0 {
		return 0, nil
	}
	began := time.Now()
	_ = from.SetReadDeadline(began.Add(spliceReadTimeout))
	if at, anew := m.Deadline(began); anew {
		if err := to.SetWriteDeadline(at); err != nil {
			return 0, err
		}
	}
	want := min(left, maxSpliceBytes)
	n, err = to.ReadFrom(&io.LimitedReader{R: from, N: want})
	took := time.Since(began)
	s.received += n
	switch {
	case err == nil && n < want:
		s.err = io.ErrUnexpectedEOF
	case err == nil:
		m.Record(int(n), took)
		s.meter.Record(int(n), 0)
	case errors.Is(err, os.ErrDeadlineExceeded) && took < m.MaxWait()-m.MaxWait()/8: // the endpoint has paused
		s.meter.Record(int(n), spliceReadTimeout)
		err = nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, body.ErrSlow
	default:
		s.err = err
	}
	return n, err
}

// Trailer is what came after the body.
func (s *Stream) Trailer() http.Header { return forwardableTrailers(s.response.Trailer) }

// ErrClientGone is why a Stream is closed whose caller has left.
var ErrClientGone = errors.New("the caller has left")

// Close says that the body was passed on whole (nil), or why not. It must be called once, by whoever reads.
func (s *Stream) Close(err error) { s.closed <- err }

// Abort makes Next fail.
func (s *Stream) Abort() { s.conn.Close() }
