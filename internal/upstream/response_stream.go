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

// continueAfter is how long an endpoint is given to say whether it wants a body, before it gets it all the same: it may
// not know the expectation (RFC 9110, 10.1.1). net/http's Transport is commonly given the same time.
const continueAfter = time.Second

// frame writes how the body of a request that flows is framed.
func (m *Message) frame(text *bytes.Buffer) {
	if m.Upload.Size >= 0 {
		fmt.Fprintf(text, "Content-Length: %d\r\n", m.Upload.Size)
	} else {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if m.Upload.Expects {
		text.WriteString("Expect: 100-continue\r\n")
	}
}

// pump sends a request whose body flows.
type pump struct {
	x       *exchange
	flow    *body.Flow
	meter   body.Meter
	goOn    chan struct{} // closed when the endpoint wants the body
	goOnce  sync.Once
	done    chan struct{}
	stopped atomic.Bool

	mu   sync.Mutex // held while something is written
	out  int64      // bytes that went out
	sent bool       // the last one among them
	slow bool       // the endpoint does not keep its pace
	lost bool       // the caller does not bring the body
}

// upload sends a request whose body flows, while it waits for the answer: that may come first.
func (x *exchange) upload(ctx context.Context, head []byte) (r balance.Result, a Response, reusable bool) {
	flow, ok := x.m.Upload.Begin()
	if !ok {
		return balance.NotSent, Response{}, false
	}
	p := &pump{x: x, flow: flow, meter: body.NewMeter(x.u.o.Pace), goOn: make(chan struct{}), done: make(chan struct{})}
	go p.run(head)
	resp, err := x.head(func(status int) {
		if status == http.StatusContinue {
			p.goAhead()
		}
	})
	p.end(err != nil)
	switch {
	case err != nil && !p.sent:
		return p.unsent(ctx), Response{}, false
	case err != nil:
		return x.c.broken(ctx, err), Response{}, false
	}
	r, a, reusable = x.answer(ctx, resp)
	return r, a, reusable && p.sent
}

func (p *pump) goAhead() { p.goOnce.Do(func() { close(p.goOn) }) }

// end stops the pump where the request has not gone out whole, and returns when it writes no more. It does not wait for
// a caller from whom it reads.
func (p *pump) end(closed bool) {
	p.stopped.Store(true)
	p.flow.End() // before it goes ahead: a caller that waits for a word must not be asked for what nobody wants
	p.goAhead()
	if closed {
		p.x.c.Close()
	} else {
		_ = p.x.c.SetWriteDeadline(time.Unix(1, 0))
	}
	p.mu.Lock()
	sent := p.sent
	p.mu.Unlock()
	if sent {
		<-p.done // what waits is told before what ended
		_ = p.x.c.SetWriteDeadline(time.Time{})
	}
}

// unsent is the outcome where the request has not gone out whole.
func (p *pump) unsent(ctx context.Context) balance.Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.lost || errors.Is(ctx.Err(), context.Canceled):
		return balance.Canceled
	case p.out == 0 || p.x.u.o.Begins == WithLastByte:
		return balance.ConnectFailed
	case p.slow || ctx.Err() != nil:
		return balance.TimedOut
	}
	return balance.Errored // and not Reset: a node that turns uploads away so has not gone down
}

// run sends head and body.
func (p *pump) run(head []byte) {
	defer close(p.done)
	if p.write(false, head) != nil {
		return
	}
	if p.x.m.Upload.Expects {
		select {
		case <-p.goOn:
		case <-time.After(continueAfter):
		}
		if p.stopped.Load() {
			return
		}
	}
	for size, passed, last := p.x.m.Upload.Size, int64(0), false; !last; {
		part, err := p.flow.Next()
		passed += int64(len(part))
		switch {
		case err == nil:
			last = passed == size
			err = p.write(last, p.framed(part)...)
		case errors.Is(err, io.EOF) && size < 0:
			last = true
			err = p.write(true, p.last())
		default:
			p.lose()
		}
		if err != nil {
			return
		}
	}
	if p.x.watch.Sent != nil {
		p.x.watch.Sent()
	}
}

// lose ends an attempt whose body does not come.
func (p *pump) lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped.Load() {
		p.lost = true
		p.x.c.Close()
	}
}

// write writes a part; last: with the request's last byte. Where that fails, the endpoint may still have said why.
func (p *pump) write(last bool, parts ...[]byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, err := body.Write(p.x.c.Conn, &p.meter, p.stopped.Load, parts)
	p.out += n
	switch {
	case err == nil:
		if p.sent = last; last {
			p.x.sent()
		}
	case errors.Is(err, body.ErrSlow):
		p.slow = true
		p.x.c.Close()
	case !p.stopped.Load():
		_ = p.x.c.SetReadDeadline(time.Now().Add(answerWhole))
	}
	return err
}

var crlf = []byte("\r\n")

// framed is a part of the body as it goes out.
func (p *pump) framed(part []byte) [][]byte {
	if p.x.m.Upload.Size >= 0 {
		return [][]byte{part}
	}
	return [][]byte{fmt.Appendf(nil, "%x\r\n", len(part)), part, crlf}
}

// last is what ends a body without a length.
func (p *pump) last() []byte {
	u := p.x.m.Upload
	text := bytes.NewBufferString("0\r\n")
	if u.Trailer != nil {
		_ = Trailers(u.Trailer()).Write(text) // a Buffer takes all
	}
	text.Write(crlf)
	return text.Bytes()
}

// notTrailers are headers that would change what is known of a message when they come at its end: framing, routing,
// credentials, and how the body is to be read (RFC 9110, 6.5.1).
var notTrailers = []string{"Authorization", "Cache-Control", "Connection", "Content-Encoding", "Content-Length", "Content-Range", "Content-Type", "Cookie",
	"Expect", "Host", "Keep-Alive", "Max-Forwards", "Pragma", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Range", "Set-Cookie", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade", "Www-Authenticate"}

// Trailers are those of a message's trailers that may go on.
func Trailers(in http.Header) http.Header {
	out := http.Header{}
	for name, values := range in {
		if !slices.Contains(notTrailers, http.CanonicalHeaderKey(name)) && !strings.HasPrefix(http.CanonicalHeaderKey(name), "If-") {
			out[name] = values
		}
	}
	return out
}

// isLong tells whether an answer's body flows. Errors of endpoints never do: another attempt may follow.
func (x *exchange) isLong(resp *http.Response) bool {
	return x.u.o.Pool != nil && x.watch.Begun != nil && !hasNoBody(x.m.Method, resp) && x.u.isAnswer(resp.StatusCode) &&
		(resp.ContentLength > MaxBody || resp.ContentLength < 0)
}

// Stream is the body of an answer that flows. One goroutine reads it; Abort may be called by any.
type Stream struct {
	Length  int64 // -1: not known
	c       *conn
	resp    *http.Response
	most    int64
	meter   body.Meter
	closed  chan error
	claimed atomic.Bool // by the caller, or as a whole

	mu      sync.Mutex
	quiet   sync.Cond // of reading
	window  []byte
	held    int // bytes of it that were read
	given   int // and given out
	reading bool
	got     int64
	err     error
}

// long reads an answer that flows. For a moment it is held back, up to a window: if it breaks meanwhile another attempt
// may follow, and if it ends it is a short one.
func (x *exchange) long(ctx context.Context, resp *http.Response) (r balance.Result, a Response, reusable bool) {
	window, giveBack, err := x.window(ctx)
	if err != nil {
		return balance.Canceled, Response{}, false // it says nothing of the endpoint
	}
	defer giveBack()
	x.c.limit.N = math.MaxInt64 // and the body is not closed: that would read on for a part that was spliced past it
	s := &Stream{Length: resp.ContentLength, c: x.c, resp: resp, most: x.u.o.Answer, meter: body.NewMeter(x.u.o.Pace), closed: make(chan error, 1), window: window}
	s.quiet.L = &s.mu
	taken := make(chan bool, 1)
	bind := func() {
		if s.claimed.CompareAndSwap(false, true) {
			x.bound.Store(x.stop() && x.watch.Begun(Response{Status: resp.StatusCode, Header: resp.Header, Stream: s}))
			taken <- x.bound.Load()
		}
	}
	if !isEventStream(resp) {
		timer := time.AfterFunc(answerWhole, bind)
		defer timer.Stop()
		s.fill()
		if s.ended() && s.claimed.CompareAndSwap(false, true) {
			if err := x.c.SetReadDeadline(time.Time{}); !errors.Is(s.err, io.EOF) || err != nil {
				return x.c.broken(ctx, s.err), Response{}, false
			}
			return x.told(resp, bytes.Clone(s.window[:s.held]))
		}
	}
	bind()
	if !<-taken {
		return balance.Canceled, Response{}, false
	}
	switch err := <-s.closed; {
	case err == nil:
		err = x.c.SetReadDeadline(time.Time{})
		return balance.OK, Response{}, err == nil && !resp.Close && x.c.read.Buffered() == 0
	case errors.Is(err, body.ErrSlow):
		return balance.TimedOut, Response{}, false
	case errors.Is(err, ErrClientGone):
		return balance.Canceled, Response{}, false
	}
	return balance.Reset, Response{}, false
}

// window is the buffer of an answer: the upload's own where that needs it no more, so that those who hold one do not wait
// for another.
func (x *exchange) window(ctx context.Context) (window []byte, giveBack func(), err error) {
	if u := x.m.Upload; u != nil {
		if window = u.Surrender(); window != nil {
			return window, func() {}, nil
		}
	}
	w, err := x.u.o.Pool.Borrow(ctx)
	if err != nil {
		return nil, nil, err
	}
	return *w, func() { x.u.o.Pool.Return(w) }, nil
}

// isEventStream tells whether an answer's parts are wanted as they come (HTML Living Standard, 9.2).
func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// fill reads what is held back, until the window is full, the body has ended, or the caller has been given it.
func (s *Stream) fill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.held < len(s.window) && s.err == nil && !s.claimed.Load() {
		_ = s.c.SetReadDeadline(time.Now().Add(s.meter.Wait())) // in place of that for what is held whole
		s.read()
	}
}

// ended tells whether all of the body is in the window.
func (s *Stream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// read reads once, into what is free of the window. s.mu is held, but let go meanwhile: what is there can be given out.
func (s *Stream) read() {
	s.reading = true
	to := s.window[s.held:]
	if s.Length >= 0 {
		to = to[:min(int64(len(to)), s.Length-s.got)]
	}
	s.mu.Unlock()
	began := time.Now()
	n, err := body.Read(s.resp.Body, to)
	waited := time.Since(began)
	s.mu.Lock()
	s.meter.Moved(n, waited)
	s.held += n
	s.got += int64(n)
	s.err = err
	if s.most > 0 && s.got > s.most {
		s.err = fmt.Errorf("%w: too long", errSpoilt)
	}
	s.reading = false
	s.quiet.Broadcast()
}

// Next is the next part of the body, up to a Window, which holds until the next Next; io.EOF: that was all. Any other
// error means that the body has broken, or that the endpoint does not keep its pace.
func (s *Stream) Next() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.given == s.held && s.err == nil {
		_ = s.c.SetReadDeadline(time.Now().Add(s.meter.Wait())) // also of a read that is under way
		if s.reading {
			s.quiet.Wait()
			continue
		}
		s.given, s.held = 0, 0
		if s.Length >= 0 && s.got == s.Length { // spliced past net/http's own count
			s.err = io.EOF
			break
		}
		s.read()
	}
	if part := s.window[s.given:s.held]; len(part) > 0 {
		s.given = s.held
		return part, nil
	}
	var timeout net.Error
	if errors.As(s.err, &timeout) && timeout.Timeout() {
		return nil, fmt.Errorf("%w: %w", body.ErrSlow, s.err)
	}
	return nil, s.err
}

const (
	spliceLeast = 256 << 10              // what is left of a body, from which splicing is worth its system calls
	splicePiece = 1 << 20                // what a pipe of the system holds at most
	spliceWait  = 100 * time.Millisecond // for the endpoint within a piece
)

// Splice passes a piece of the body to a caller's connection without looking at it (splice(2), by way of
// net.TCPConn.ReadFrom); 0 bytes: there is nothing to gain, and Next is to go on. It waits for the endpoint only for a
// moment: who is too slow shows in Next and in plain writes.
func (s *Stream) Splice(to *net.TCPConn, m *body.Meter) (n int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from, ok := s.c.Conn.(*net.TCPConn)
	left := s.Length - s.got
	if !ok || s.Length < 0 || left < spliceLeast || s.reading || s.given < s.held || s.err != nil || s.c.read.Buffered() > 0 || s.most > 0 {
		return 0, nil
	}
	began := time.Now()
	_ = from.SetReadDeadline(began.Add(spliceWait))
	if at, anew := m.Limit(began); anew {
		if err := to.SetWriteDeadline(at); err != nil {
			return 0, err
		}
	}
	want := min(left, splicePiece)
	n, err = to.ReadFrom(&io.LimitedReader{R: from, N: want})
	took := time.Since(began)
	s.got += n
	switch {
	case err == nil && n < want:
		s.err = io.ErrUnexpectedEOF
	case err == nil:
		m.Moved(int(n), took)
		s.meter.Moved(int(n), 0)
	case errors.Is(err, os.ErrDeadlineExceeded) && took < m.Wait()-m.Wait()/8: // the endpoint has paused
		s.meter.Moved(int(n), spliceWait)
		err = nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, body.ErrSlow
	default:
		s.err = err
	}
	return n, err
}

// Trailer is what came after the body.
func (s *Stream) Trailer() http.Header { return Trailers(s.resp.Trailer) }

// ErrClientGone is why a Stream is closed whose caller has left.
var ErrClientGone = errors.New("the caller has left")

// Close says that the body was passed on whole (nil), or why not. It must be called once, by whoever reads.
func (s *Stream) Close(err error) { s.closed <- err }

// Abort makes Next fail.
func (s *Stream) Abort() { s.c.Close() }
