// Package upstream makes attempts at endpoints over connections of its own, and tells by evidence how each ended.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
)

const (
	// MaxBody is how many bytes of a request or an answer are held whole.
	MaxBody = body.Window
	// MaxHead is how many bytes the head of an answer may have, with those ahead of the one that counts.
	MaxHead     = 16 << 10
	maxAnswered = 8 << 10                // of an answer's head
	maxInterim  = 8                      // 1xx answers ahead of the one that counts
	answerWhole = 500 * time.Millisecond // from an answer's first byte to its last
	sweepEvery  = time.Second
	defaultIdle = 15 * time.Second
	defaultDial = 250 * time.Millisecond
	idleShare   = 0.9 // of the endpoint's idle limit, after which a connection is no longer used
	// restAfter is the rest of a connection between an answer and the next request: nearly twice the latest of 286 second copies that
	// were measured at the platform's endpoints, which came 0.7 to 5.7 ms after the first. Where connections are opened rather than waited
	// for, no such copy was ever seen, and as long a rest costs a fifth of the rate at 16 and 64 callers.
	restAfter  = 10 * time.Millisecond
	restSpread = 2 * time.Millisecond
	declined   = "Srv-Declined"
)

// Message is a request as it goes on to endpoints.
type Message struct {
	Method       string
	Target       string
	Host         string
	Header       http.Header
	Body         []byte
	DeadlineName string // of the header that says how many milliseconds this sidecar waits

	Upload   *body.Upload  // in place of Body, where it flows
	Patience time.Duration // how long this sidecar waits once Upload has gone out; 0: as long as the attempt lasts
}

// Response is an endpoint's whole answer.
type Response struct {
	Status int
	Header http.Header // as it came
	Body   []byte
	Stream *Stream // in place of Body, where it flows
}

// AttemptHooks is told what happens during an attempt whose bodies flow. The zero value is for those that are held whole.
type AttemptHooks struct {
	// Wanted is asked last, before the first byte goes out, and from the attempt's goroutine: false, and nothing does. nil: it is.
	Wanted func() bool
	Sent   func()              // the last byte of the request has gone out
	Begun  func(Response) bool // an answer that is not held whole has begun; true: it is the caller's, who will close its Stream
}

// Options of a Client.
type Options struct {
	Idle time.Duration // endpoints close connections that were idle for so long; 0: not told
	Dial time.Duration // a connection that is not up by then has failed; 0: not told
	Most int           // connections open at once
	// Where all idle connections to an endpoint still rest, a new one is opened rather than waited for, while there are
	// fewer than Most. Else one of them is waited for: the way where connections are what is scarce.
	Spread bool
	Begins Begins
	Pool   *body.Pool    // memory for answers that are not held whole; nil: none are taken
	Pace   body.Pace     // of endpoints, where bodies flow
	Whole  time.Duration // that an answer which is held whole may take to come; 0: 0.5 s
	Answer int64         // bytes of such an answer, at most; 0: any number
	Sent   func()        // is told of each attempt whose last byte was written; nil: nobody is
	// Connect opens connections, each a *net.TCPConn; nil: a net.Dialer does.
	Connect func(ctx context.Context, network, addr string) (net.Conn, error)
	OnlyOK  bool // only a 200 is an answer; else every status below 500 but 429 is, and others are errors with an answer
}

// Client makes attempts over connections of its own. net/http's Transport is not used: it sends some requests
// again by itself when a reused connection breaks, which is a second copy, and dials spare connections.
type Client struct {
	idleFor, dialTimeout time.Duration
	settle               time.Duration // rest of a connection after an answer
	o                    Options

	mu     sync.Mutex
	open   int
	pools  map[string]*pool // by endpoint id
	barred map[string]bool  // endpoints that nothing new may go to, listed or not
}

// pool holds the idle connections to one endpoint, the one used last at the end.
type pool struct {
	addr   string
	wanted bool // it takes new requests, by the list
	keep   bool // and operators have not taken it out: then its connections are worth keeping, too
	idle   []*conn
}

// conn is one connection; it carries one attempt at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	limit  *io.LimitedReader // bounds what one answer may bring
	read   *bufio.Reader
	pool   *pool
	addr   string
	idleAt time.Time
	closes bool // the head read last says that the connection ends with the answer
}

// New makes a Client.
func New(o Options) *Client {
	if o.Idle <= 0 {
		o.Idle = defaultIdle
	}
	if o.Dial <= 0 {
		o.Dial = defaultDial
	}
	if o.Connect == nil {
		o.Connect = (&net.Dialer{}).DialContext
	}
	settle := restAfter
	if o.Spread {
		settle = restSpread
	}
	return &Client{idleFor: time.Duration(float64(o.Idle) * idleShare), dialTimeout: o.Dial, settle: settle, o: o,
		pools: map[string]*pool{}, barred: map[string]bool{}}
}

// SetMaxConnections changes how many connections may be open at once. Idle ones beyond it are closed.
func (u *Client) SetMaxConnections(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.o.Most = most; u.open > most && u.evict(); {
	}
}

// SetMember says where an endpoint is and whether it takes new requests. Idle connections to an old address, or to an
// endpoint that takes nothing new, are closed; an attempt that has written nothing there yet ends as not sent.
func (u *Client) SetMember(id, addr string, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	if p == nil {
		p = &pool{}
		u.pools[id] = p
	}
	if p.addr != addr || !keep {
		u.drain(p)
	}
	p.addr, p.wanted, p.keep = addr, keep, keep && !u.barred[id]
}

// SetEjected keeps everything new from an endpoint, whatever SetMember says, or no longer does. An attempt that has written
// nothing yet ends as not sent; those that have go on. Idle connections are closed.
func (u *Client) SetEjected(id string, out bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if delete(u.barred, id); out {
		u.barred[id] = true
	}
	p := u.pools[id]
	if p == nil {
		return
	}
	if p.keep = p.wanted && !out; out {
		u.drain(p)
	}
}

// takes tells whether an endpoint still takes new requests, where a connection leads.
func (u *Client) takes(id string, c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	return p != nil && p == c.pool && p.keep && p.addr == c.addr
}

// RemoveMember forgets an endpoint.
func (u *Client) RemoveMember(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		u.drain(p)
		p.keep = false
		delete(u.pools, id)
	}
}

// drain closes a pool's idle connections. u.mu is held.
func (u *Client) drain(p *pool) {
	for _, c := range p.idle {
		u.closeLocked(c)
	}
	p.idle = nil
}

func (u *Client) closeLocked(c *conn) {
	c.Close()
	u.open--
}

func (u *Client) discard(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

// Run closes idle connections that have died or stood too long, until ctx ends; then it closes all idle ones.
func (u *Client) Run(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.sweep(func(*conn) bool { return false })
			return
		case <-tick.C:
			u.sweep(u.usable)
		}
	}
}

func (u *Client) sweep(keep func(*conn) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, p := range u.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if keep(c) {
				kept = append(kept, c)
			} else {
				u.closeLocked(c)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
}

// quiet tells whether nothing has come on an idle connection: no end, no break, no bytes that nobody asked for. It
// guards against sending on a connection that the endpoint has closed, which would end as a reset.
func (c *conn) quiet() bool {
	quiet := false
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// usable tells whether an idle connection may carry the next attempt.
func (u *Client) usable(c *conn) bool { return time.Since(c.idleAt) < u.idleFor && c.quiet() }

// HasIdle tells whether an idle connection to the endpoint is usable, by a look at it: most that are closed while idle
// are closed between two sweeps. Those found dead on the way go.
func (u *Client) HasIdle(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	if p == nil {
		return false
	}
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		if u.usable(c) {
			return true
		}
		u.closeLocked(c)
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
	}
	return false
}

// take returns an idle connection to the endpoint, or else dials one, and the request's text: made last, since it says how much time
// is left. Nothing in an answer shows which request it belongs to: whatever comes before ours is written must be seen before, and the
// connection dropped. A second copy may come a little after the first, so a connection rests for a moment, and is looked at last thing.
func (u *Client) take(ctx context.Context, id string, m *Message) (*conn, []byte, error) {
	for {
		p, addr, c, err := u.reserve(id)
		if err != nil {
			return nil, nil, err
		}
		if c == nil {
			if c, err = u.dial(ctx, p, addr); err != nil {
				return nil, nil, err
			}
			return c, m.bytes(ctx), nil
		}
		if rest := u.settle - time.Since(c.idleAt); rest > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(rest):
			}
		}
		text := m.bytes(ctx)
		if u.usable(c) {
			return c, text, nil
		}
		u.discard(c)
	}
}

// dial opens a connection for which reserve has given the right.
func (u *Client) dial(ctx context.Context, p *pool, addr string) (c *conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, u.dialTimeout)
	defer cancel()
	nc, err := u.o.Connect(ctx, "tcp", addr)
	if err == nil {
		if c, err = newConn(nc, p, addr); err == nil {
			return c, nil
		}
		nc.Close()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.open--
	return nil, err
}

func newConn(nc net.Conn, p *pool, addr string) (*conn, error) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, raw: raw, limit: limit, read: bufio.NewReaderSize(limit, maxAnswered), pool: p, addr: addr}, nil
}

// reserve takes the idle connection used last of those that have rested, if there is one, or the right to open one to
// the address returned.
func (u *Client) reserve(id string) (*pool, string, *conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	switch {
	case p == nil:
		return nil, "", nil, errNoAddress
	case !p.keep:
		return nil, "", nil, errToldOff
	}
	i := len(p.idle) - 1
	for i > 0 && time.Since(p.idle[i].idleAt) < u.settle {
		i--
	}
	if i >= 0 && (!u.o.Spread || u.open >= u.o.Most || time.Since(p.idle[i].idleAt) >= u.settle) {
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		return p, p.addr, c, nil
	}
	if u.open >= u.o.Most && !u.evict() {
		return nil, "", nil, errNoDescriptors
	}
	u.open++
	return p, p.addr, nil, nil
}

// evict closes the connection that has been idle longest, wherever it leads. u.mu is held.
func (u *Client) evict() bool {
	var oldest *pool
	for _, p := range u.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleAt.Before(oldest.idle[0].idleAt)) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	u.closeLocked(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// giveBack keeps a connection for the next attempt, if the endpoint is still where it leads. One that was taken and not used goes on
// being as old as it was: so the endpoint counts.
func (u *Client) giveBack(c *conn, used bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.pool.keep || c.pool.addr != c.addr {
		u.closeLocked(c)
		return
	}
	if used || c.idleAt.IsZero() {
		c.idleAt = time.Now()
	}
	i := len(c.pool.idle)
	for i > 0 && c.pool.idle[i-1].idleAt.After(c.idleAt) {
		i--
	}
	c.pool.idle = slices.Insert(c.pool.idle, i, c)
}

// Attempt sends a request once and tells by evidence how that ended. When ctx ends, the connection is closed before
// Attempt returns: no second attempt can be out beside this one. It tells whether the connection had served before.
// Once Watch.Begun has taken an answer, ctx rules no more, and Attempt returns when the answer's Stream is closed.
func (u *Client) Attempt(ctx context.Context, id string, m *Message, w AttemptHooks) (r balance.Result, reused bool, a Response) {
	c, text, err := u.take(ctx, id, m)
	switch {
	case err != nil:
	case !u.takes(id, c): // told so while it came up, or rested
		u.discard(c)
		err = errToldOff
	case late(ctx):
		u.discard(c)
		err = errLate
	case w.Wanted != nil && !w.Wanted():
		u.giveBack(c, false)
		err = errUnwanted
	}
	if err != nil {
		return unlessCanceled(ctx, notConnected(err)), false, Response{}
	}
	reused = !c.idleAt.IsZero()
	x := &exchange{u: u, c: c, m: m, watch: w, stop: context.AfterFunc(ctx, func() { c.Close() })}
	r, a, reusable := x.run(ctx, text)
	if reusable && (x.bound.Load() || x.stop()) {
		u.giveBack(c, true)
	} else {
		u.discard(c)
	}
	return r, reused, a
}

var (
	errNoAddress     = errors.New("no address is known")
	errNoDescriptors = errors.New("all descriptors for endpoints are in use")
	errToldOff       = errors.New("it takes nothing new")
	errUnwanted      = errors.New("nobody wants it sent any more")
	errLate          = errors.New("its time was up before anything was sent")
)

// late tells whether an attempt's time is up, by the clock. In a process that was stopped while a connection came up or rested, what
// waited goes on before the timers ring that would have called it off.
func late(ctx context.Context) bool {
	ends, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(ends)
}

// notConnected is the outcome where no connection came about. What is lacking here says nothing of the endpoint.
func notConnected(err error) balance.Result {
	for _, own := range []error{errNoAddress, errNoDescriptors, errToldOff, errLate, errUnwanted, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, own) {
			return balance.NotSent
		}
	}
	return balance.ConnectFailed
}

// unlessCanceled is r, or Canceled if the attempt was called off.
func unlessCanceled(ctx context.Context, r balance.Result) balance.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balance.Canceled
	}
	return r
}

// errSpoilt is an answer that can't be what the endpoint made for the request.
var errSpoilt = errors.New("a spoilt answer")

// broken is the outcome of an attempt whose last byte was written and whose whole answer has not come. A spoilt answer
// is an error of an endpoint that runs; only a broken connection may mean that it went down.
func (c *conn) broken(ctx context.Context, err error) balance.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.TimedOut
	case ctx.Err() != nil:
		return balance.Canceled
	case c.limit.N > 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)):
		return balance.Reset
	}
	return balance.Errored
}

// exchange is one request and its answer on a connection.
type exchange struct {
	u     *Client
	c     *conn
	m     *Message
	watch AttemptHooks
	stop  func() bool // lifts the attempt's limit of time; false if it is over
	bound atomic.Bool // the answer is the caller's
}

// run writes the request and reads the answer.
func (x *exchange) run(ctx context.Context, text []byte) (r balance.Result, a Response, reusable bool) {
	if x.m.Upload != nil {
		return x.upload(ctx, text)
	}
	// An endpoint begins a request when its last byte has come: one not written whole has not run. Others may begin with the
	// first.
	if n, _ := x.c.Write(text); n < len(text) {
		if n > 0 && x.u.o.Begins == WithHead {
			return unlessCanceled(ctx, balance.Errored), Response{}, false
		}
		return unlessCanceled(ctx, balance.ConnectFailed), Response{}, false
	}
	x.sent()
	resp, err := x.head(nil)
	if err != nil {
		return x.c.broken(ctx, err), Response{}, false
	}
	return x.answer(ctx, resp)
}

// sent tells that the request's last byte was written.
func (x *exchange) sent() {
	if x.u.o.Sent != nil {
		x.u.o.Sent()
	}
}

// answer reads the rest of an answer, and tells what it is.
func (x *exchange) answer(ctx context.Context, resp *http.Response) (r balance.Result, a Response, reusable bool) {
	if x.isLong(resp) {
		return x.long(ctx, resp)
	}
	text, err := readBody(resp)
	if err == nil {
		err = x.c.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return x.c.broken(ctx, err), Response{}, false
	}
	return x.told(resp, text)
}

// told is what a whole answer tells.
func (x *exchange) told(resp *http.Response, text []byte) (r balance.Result, a Response, reusable bool) {
	onlyOK := x.u.o.OnlyOK
	reusable = !resp.Close && x.c.read.Buffered() == 0
	a = Response{Status: resp.StatusCode, Header: resp.Header, Body: text}
	switch {
	case x.u.isAnswer(resp.StatusCode):
		return balance.OK, a, reusable
	case isUnavailable(resp.StatusCode) && resp.Header.Get(declined) == "1":
		return balance.Full, Response{}, reusable
	case onlyOK || isPromise(resp.StatusCode):
		return balance.Errored, Response{}, reusable
	}
	return balance.Errored, a, reusable
}

// isAnswer tells whether a status is what the endpoint makes of the request, and not its own failure.
func (u *Client) isAnswer(status int) bool {
	return status == http.StatusOK || !u.o.OnlyOK && status < http.StatusInternalServerError && !isPromise(status)
}

// isPromise tells whether a caller would take a status for the promise that nothing has run. An endpoint's word is not
// enough for that: another attempt may have run.
func isPromise(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func isUnavailable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// head reads up to the head of the answer that counts. One without a length ends with its connection, if it says so (RFC
// 9112, 6.3); else it could end early unseen, and is not taken for whole. Once it has begun it must come at once: a spoilt one may never end, and its connection stays open. interim is
// told the status of each answer ahead.
func (x *exchange) head(interim func(status int)) (*http.Response, error) {
	c := x.c
	c.limit.N = MaxHead + MaxBody
	for range maxInterim {
		if _, err := c.read.Peek(1); err != nil {
			return nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(x.u.whole())); err != nil {
			return nil, err
		}
		resp, err := c.readHead(x.m.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, x.check(resp)
		}
		if interim != nil {
			interim(resp.StatusCode)
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: too many interim answers", errSpoilt)
}

// whole is how long an answer that is held whole may take from its first byte to its last.
func (u *Client) whole() time.Duration { return max(answerWhole, u.o.Whole) }

// readHead reads the head of one message: the answer, or an interim one.
func (c *conn) readHead(method string) (*http.Response, error) {
	if err := c.checkHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.read, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("%w: status %d", errSpoilt, resp.StatusCode)
	}
	return resp, nil
}

// check turns away what can't be taken, by its head.
func (x *exchange) check(resp *http.Response) error {
	switch {
	case hasNoBody(x.m.Method, resp):
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !x.c.closes:
		return fmt.Errorf("%w: no length", errSpoilt)
	case resp.ContentLength > MaxBody && !x.isLong(resp), x.u.o.Answer > 0 && resp.ContentLength > x.u.o.Answer:
		return fmt.Errorf("%w: length %d", errSpoilt, resp.ContentLength)
	}
	return nil
}

func hasNoBody(method string, resp *http.Response) bool {
	return method == http.MethodHead || resp.Body == http.NoBody
}

// readBody reads a body that is held whole.
func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxBody+1))
	if err == nil && len(text) > MaxBody {
		err = fmt.Errorf("%w: too long", errSpoilt)
	}
	return text, err
}

// checkHead waits for a message's whole head, without taking it, and checks what net/http's parser would let pass.
func (c *conn) checkHead() error {
	for {
		seen, _ := c.read.Peek(c.read.Buffered())
		if end := bytes.Index(seen, []byte("\r\n\r\n")); end >= 0 {
			c.closes = saysClose(seen[:end])
			return checkLines(seen[:end])
		}
		if _, err := c.read.Peek(len(seen) + 1); err != nil {
			return err
		}
	}
}

// saysClose tells whether a head has a Connection field with the option close. net/http's parser drops that field.
func saysClose(head []byte) bool {
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("Connection")) {
			continue
		}
		for option := range bytes.SplitSeq(value, []byte(",")) {
			if bytes.EqualFold(bytes.TrimSpace(option), []byte("close")) {
				return true
			}
		}
	}
	return false
}

// checkLines holds a head to the letter of HTTP/1.1: lines end with CR and LF and are not folded, and the body is
// framed in one way only. What can be read in two ways may be noise.
func checkLines(head []byte) error {
	framings := 0
	for i, line := range bytes.Split(head, []byte("\r\n")) {
		name, _, named := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsAny(line, "\r\n"):
			return fmt.Errorf("%w: a bare line end", errSpoilt)
		case i == 0:
			if !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) {
				return fmt.Errorf("%w: no status line", errSpoilt)
			}
		case !named || bytes.ContainsAny(name, " \t"):
			return fmt.Errorf("%w: no field", errSpoilt)
		case bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding")):
			framings++
		}
	}
	if framings > 1 {
		return fmt.Errorf("%w: framed in two ways", errSpoilt)
	}
	return nil
}

// bytes is the request as written to an endpoint: all of it or, where the body flows, the head. It has a length, or
// chunks, and no other framing. Its deadline says how long this sidecar waits.
func (m *Message) bytes(ctx context.Context) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.Target, m.Host)
	skip := map[string]bool{"Content-Length": true, "Host": true}
	if left, ok := m.waits(ctx); ok && m.DeadlineName != "" {
		skip[http.CanonicalHeaderKey(m.DeadlineName)] = true
		fmt.Fprintf(&text, "%s: %d\r\n", m.DeadlineName, max(left.Milliseconds(), 1))
	}
	switch {
	case m.Upload != nil:
		m.frame(&text)
	case len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead:
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(m.Body))
	}
	_ = m.Header.WriteSubset(&text, skip) // a Buffer takes all
	text.WriteString("\r\n")
	text.Write(m.Body)
	return text.Bytes()
}

// waits is how long this sidecar waits for the answer.
func (m *Message) waits(ctx context.Context) (time.Duration, bool) {
	if m.Patience > 0 {
		return m.Patience, true
	}
	at, ok := ctx.Deadline()
	return time.Until(at), ok
}

// ResourceCounts tells how many endpoints are known and how many connections to them are open.
func (u *Client) ResourceCounts() (endpoints, connections int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.pools), u.open
}
