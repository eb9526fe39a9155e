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
	// MaxBufferedBody is how many bytes of a request or an answer are held whole.
	MaxBufferedBody = body.Window
	// MaxHeads is how many bytes the head of an answer may have, with those ahead of the one that counts.
	MaxHeads                = 16 << 10
	maxResponseHead         = 8 << 10                // of an answer's head
	maxInterimResponses     = 8                      // 1xx answers ahead of the one that counts
	bufferedResponseTimeout = 500 * time.Millisecond // from an answer's first byte to its last
	sweepInterval           = time.Second
	defaultIdleTimeout      = 15 * time.Second
	defaultDialTimeout      = 250 * time.Millisecond
	idleTimeoutFraction     = 0.9 // of the endpoint's idle limit, after which a connection is no longer used
	// restPeriod is the rest of a connection between an answer and the next request: nearly twice the latest of 286 second copies that
	// were measured at the platform's endpoints, which came 0.7 to 5.7 ms after the first. Where connections are opened rather than waited
	// for, no such copy was ever seen, and as long a rest costs a fifth of the rate at 16 and 64 callers.
	restPeriod       = 10 * time.Millisecond
	restPeriodSpread = 2 * time.Millisecond
	declinedHeader   = "Srv-Declined"
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
	maxIdleAge, dialTimeout time.Duration
	restPeriod              time.Duration // rest of a connection after an answer
	options                 Options

	mu        sync.Mutex
	openCount int
	pools     map[string]*endpointPool // by endpoint id
	ejected   map[string]bool          // endpoints that nothing new may go to, listed or not
}

// endpointPool holds the idle connections to one endpoint, the one used last at the end.
type endpointPool struct {
	address         string
	isListed        bool // it takes new requests, by the list
	acceptsRequests bool // and operators have not taken it out: then its connections are worth keeping, too
	idle            []*conn
}

// conn is one connection; it carries one attempt at a time.
type conn struct {
	net.Conn
	rawConn             syscall.RawConn
	byteLimit           *io.LimitedReader // bounds what one answer may bring
	reader              *bufio.Reader
	pool                *endpointPool
	address             string
	idleSince           time.Time
	closesAfterResponse bool // the head read last says that the connection ends with the answer
}

// New makes a Client.
func New(o Options) *Client {
	if o.Idle <= 0 {
		o.Idle = defaultIdleTimeout
	}
	if o.Dial <= 0 {
		o.Dial = defaultDialTimeout
	}
	if o.Connect == nil {
		o.Connect = (&net.Dialer{}).DialContext
	}
	settle := restPeriod
	if o.Spread {
		settle = restPeriodSpread
	}
	return &Client{maxIdleAge: time.Duration(float64(o.Idle) * idleTimeoutFraction), dialTimeout: o.Dial, restPeriod: settle, options: o,
		pools: map[string]*endpointPool{}, ejected: map[string]bool{}}
}

// SetMaxConnections changes how many connections may be open at once. Idle ones beyond it are closed.
func (u *Client) SetMaxConnections(most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.options.Most = most; u.openCount > most && u.evictOldest(); {
	}
}

// SetMember says where an endpoint is and whether it takes new requests. Idle connections to an old address, or to an
// endpoint that takes nothing new, are closed; an attempt that has written nothing there yet ends as not sent.
func (u *Client) SetMember(id, addr string, keep bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	if p == nil {
		p = &endpointPool{}
		u.pools[id] = p
	}
	if p.address != addr || !keep {
		u.closeIdle(p)
	}
	p.address, p.isListed, p.acceptsRequests = addr, keep, keep && !u.ejected[id]
}

// SetEjected keeps everything new from an endpoint, whatever SetMember says, or no longer does. An attempt that has written
// nothing yet ends as not sent; those that have go on. Idle connections are closed.
func (u *Client) SetEjected(id string, out bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if delete(u.ejected, id); out {
		u.ejected[id] = true
	}
	p := u.pools[id]
	if p == nil {
		return
	}
	if p.acceptsRequests = p.isListed && !out; out {
		u.closeIdle(p)
	}
}

// isAccepting tells whether an endpoint still takes new requests, where a connection leads.
func (u *Client) isAccepting(id string, c *conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	return p != nil && p == c.pool && p.acceptsRequests && p.address == c.address
}

// RemoveMember forgets an endpoint.
func (u *Client) RemoveMember(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.pools[id]; p != nil {
		u.closeIdle(p)
		p.acceptsRequests = false
		delete(u.pools, id)
	}
}

// closeIdle closes a pool's idle connections. u.mu is held.
func (u *Client) closeIdle(p *endpointPool) {
	for _, c := range p.idle {
		u.closeLocked(c)
	}
	p.idle = nil
}

func (u *Client) closeLocked(c *conn) {
	c.Close()
	u.openCount--
}

func (u *Client) discard(c *conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLocked(c)
}

// Run closes idle connections that have died or stood too long, until ctx ends; then it closes all idle ones.
func (u *Client) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			u.sweep(func(*conn) bool { return false })
			return
		case <-tick.C:
			u.sweep(u.isUsable)
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

// isQuiet tells whether nothing has come on an idle connection: no end, no break, no bytes that nobody asked for. It
// guards against sending on a connection that the endpoint has closed, which would end as a reset.
func (c *conn) isQuiet() bool {
	quiet := false
	err := c.rawConn.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

// isUsable tells whether an idle connection may carry the next attempt.
func (u *Client) isUsable(c *conn) bool { return time.Since(c.idleSince) < u.maxIdleAge && c.isQuiet() }

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
		if u.isUsable(c) {
			return true
		}
		u.closeLocked(c)
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
	}
	return false
}

// acquire returns an idle connection to the endpoint, or else dials one, and the request's text: made last, since it says how much time
// is left. Nothing in an answer shows which request it belongs to: whatever comes before ours is written must be seen before, and the
// connection dropped. A second copy may come a little after the first, so a connection rests for a moment, and is looked at last thing.
func (u *Client) acquire(ctx context.Context, id string, m *Message) (*conn, []byte, error) {
	for {
		p, addr, c, err := u.reserve(id)
		if err != nil {
			return nil, nil, err
		}
		if c == nil {
			if c, err = u.dial(ctx, p, addr); err != nil {
				return nil, nil, err
			}
			return c, m.encode(ctx), nil
		}
		if rest := u.restPeriod - time.Since(c.idleSince); rest > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(rest):
			}
		}
		text := m.encode(ctx)
		if u.isUsable(c) {
			return c, text, nil
		}
		u.discard(c)
	}
}

// dial opens a connection for which reserve has given the right.
func (u *Client) dial(ctx context.Context, p *endpointPool, addr string) (c *conn, err error) {
	ctx, cancel := context.WithTimeout(ctx, u.dialTimeout)
	defer cancel()
	nc, err := u.options.Connect(ctx, "tcp", addr)
	if err == nil {
		if c, err = newConn(nc, p, addr); err == nil {
			return c, nil
		}
		nc.Close()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.openCount--
	return nil, err
}

func newConn(nc net.Conn, p *endpointPool, addr string) (*conn, error) {
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: nc}
	return &conn{Conn: nc, rawConn: raw, byteLimit: limit, reader: bufio.NewReaderSize(limit, maxResponseHead), pool: p, address: addr}, nil
}

// reserve takes the idle connection used last of those that have rested, if there is one, or the right to open one to
// the address returned.
func (u *Client) reserve(id string) (*endpointPool, string, *conn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.pools[id]
	switch {
	case p == nil:
		return nil, "", nil, errUnknownEndpoint
	case !p.acceptsRequests:
		return nil, "", nil, errNotAccepting
	}
	i := len(p.idle) - 1
	for i > 0 && time.Since(p.idle[i].idleSince) < u.restPeriod {
		i--
	}
	if i >= 0 && (!u.options.Spread || u.openCount >= u.options.Most || time.Since(p.idle[i].idleSince) >= u.restPeriod) {
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		return p, p.address, c, nil
	}
	if u.openCount >= u.options.Most && !u.evictOldest() {
		return nil, "", nil, errConnectionLimit
	}
	u.openCount++
	return p, p.address, nil, nil
}

// evictOldest closes the connection that has been idle longest, wherever it leads. u.mu is held.
func (u *Client) evictOldest() bool {
	var oldest *endpointPool
	for _, p := range u.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
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

// release keeps a connection for the next attempt, if the endpoint is still where it leads. One that was taken and not used goes on
// being as old as it was: so the endpoint counts.
func (u *Client) release(c *conn, used bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !c.pool.acceptsRequests || c.pool.address != c.address {
		u.closeLocked(c)
		return
	}
	if used || c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	i := len(c.pool.idle)
	for i > 0 && c.pool.idle[i-1].idleSince.After(c.idleSince) {
		i--
	}
	c.pool.idle = slices.Insert(c.pool.idle, i, c)
}

// Attempt sends a request once and tells by evidence how that ended. When ctx ends, the connection is closed before
// Attempt returns: no second attempt can be out beside this one. It tells whether the connection had served before.
// Once Watch.Begun has taken an answer, ctx rules no more, and Attempt returns when the answer's Stream is closed.
func (u *Client) Attempt(ctx context.Context, id string, m *Message, w AttemptHooks) (r balance.Result, reused bool, a Response) {
	c, text, err := u.acquire(ctx, id, m)
	switch {
	case err != nil:
	case !u.isAccepting(id, c): // told so while it came up, or rested
		u.discard(c)
		err = errNotAccepting
	case isPastDeadline(ctx):
		u.discard(c)
		err = errPastDeadline
	case w.Wanted != nil && !w.Wanted():
		u.release(c, false)
		err = errNotWanted
	}
	if err != nil {
		return unlessCanceled(ctx, connectResult(err)), false, Response{}
	}
	reused = !c.idleSince.IsZero()
	x := &exchange{client: u, conn: c, request: m, hooks: w, stopDeadline: context.AfterFunc(ctx, func() { c.Close() })}
	r, a, reusable := x.run(ctx, text)
	if reusable && (x.isHandedOver.Load() || x.stopDeadline()) {
		u.release(c, true)
	} else {
		u.discard(c)
	}
	return r, reused, a
}

var (
	errUnknownEndpoint = errors.New("no address is known")
	errConnectionLimit = errors.New("all descriptors for endpoints are in use")
	errNotAccepting    = errors.New("it takes nothing new")
	errNotWanted       = errors.New("nobody wants it sent any more")
	errPastDeadline    = errors.New("its time was up before anything was sent")
)

// isPastDeadline tells whether an attempt's time is up, by the clock. In a process that was stopped while a connection came up or rested, what
// waited goes on before the timers ring that would have called it off.
func isPastDeadline(ctx context.Context) bool {
	ends, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(ends)
}

// connectResult is the outcome where no connection came about. What is lacking here says nothing of the endpoint.
func connectResult(err error) balance.Result {
	for _, own := range []error{errUnknownEndpoint, errConnectionLimit, errNotAccepting, errPastDeadline, errNotWanted, syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL} {
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

// errMalformed is an answer that can't be what the endpoint made for the request.
var errMalformed = errors.New("a spoilt answer")

// brokenResult is the outcome of an attempt whose last byte was written and whose whole answer has not come. A spoilt answer
// is an error of an endpoint that runs; only a broken connection may mean that it went down.
func (c *conn) brokenResult(ctx context.Context, err error) balance.Result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return balance.TimedOut
	case ctx.Err() != nil:
		return balance.Canceled
	case c.byteLimit.N > 0 && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)):
		return balance.Reset
	}
	return balance.Errored
}

// exchange is one request and its answer on a connection.
type exchange struct {
	client       *Client
	conn         *conn
	request      *Message
	hooks        AttemptHooks
	stopDeadline func() bool // lifts the attempt's limit of time; false if it is over
	isHandedOver atomic.Bool // the answer is the caller's
}

// run writes the request and reads the answer.
func (x *exchange) run(ctx context.Context, text []byte) (r balance.Result, a Response, reusable bool) {
	if x.request.Upload != nil {
		return x.runUpload(ctx, text)
	}
	// An endpoint begins a request when its last byte has come: one not written whole has not run. Others may begin with the
	// first.
	if n, _ := x.conn.Write(text); n < len(text) {
		if n > 0 && x.client.options.Begins == WithHead {
			return unlessCanceled(ctx, balance.Errored), Response{}, false
		}
		return unlessCanceled(ctx, balance.ConnectFailed), Response{}, false
	}
	x.notifySent()
	resp, err := x.awaitFinalHead(nil)
	if err != nil {
		return x.conn.brokenResult(ctx, err), Response{}, false
	}
	return x.readResponse(ctx, resp)
}

// notifySent tells that the request's last byte was written.
func (x *exchange) notifySent() {
	if x.client.options.Sent != nil {
		x.client.options.Sent()
	}
}

// readResponse reads the rest of an answer, and tells what it is.
func (x *exchange) readResponse(ctx context.Context, resp *http.Response) (r balance.Result, a Response, reusable bool) {
	if x.isStreaming(resp) {
		return x.streamResponse(ctx, resp)
	}
	text, err := readBufferedBody(resp)
	if err == nil {
		err = x.conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		return x.conn.brokenResult(ctx, err), Response{}, false
	}
	return x.classify(resp, text)
}

// classify is what a whole answer tells.
func (x *exchange) classify(resp *http.Response, text []byte) (r balance.Result, a Response, reusable bool) {
	onlyOK := x.client.options.OnlyOK
	reusable = !resp.Close && x.conn.reader.Buffered() == 0
	a = Response{Status: resp.StatusCode, Header: resp.Header, Body: text}
	switch {
	case x.client.isAcceptable(resp.StatusCode):
		return balance.OK, a, reusable
	case isUnavailable(resp.StatusCode) && resp.Header.Get(declinedHeader) == "1":
		return balance.Full, Response{}, reusable
	case onlyOK || promisesNotRun(resp.StatusCode):
		return balance.Errored, Response{}, reusable
	}
	return balance.Errored, a, reusable
}

// isAcceptable tells whether a status is what the endpoint makes of the request, and not its own failure.
func (u *Client) isAcceptable(status int) bool {
	return status == http.StatusOK || !u.options.OnlyOK && status < http.StatusInternalServerError && !promisesNotRun(status)
}

// promisesNotRun tells whether a caller would take a status for the promise that nothing has run. An endpoint's word is not
// enough for that: another attempt may have run.
func promisesNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func isUnavailable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// awaitFinalHead reads up to the head of the answer that counts. One without a length ends with its connection, if it says so (RFC
// 9112, 6.3); else it could end early unseen, and is not taken for whole. Once it has begun it must come at once: a spoilt one may never end, and its connection stays open. interim is
// told the status of each answer ahead.
func (x *exchange) awaitFinalHead(interim func(status int)) (*http.Response, error) {
	c := x.conn
	c.byteLimit.N = MaxHeads + MaxBufferedBody
	for range maxInterimResponses {
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		if err := c.SetReadDeadline(time.Now().Add(x.client.responseTimeout())); err != nil {
			return nil, err
		}
		resp, err := c.readHead(x.request.Method)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, x.checkFraming(resp)
		}
		if interim != nil {
			interim(resp.StatusCode)
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("%w: too many interim answers", errMalformed)
}

// responseTimeout is how long an answer that is held whole may take from its first byte to its last.
func (u *Client) responseTimeout() time.Duration {
	return max(bufferedResponseTimeout, u.options.Whole)
}

// readHead reads the head of one message: the answer, or an interim one.
func (c *conn) readHead(method string) (*http.Response, error) {
	if err := c.awaitHead(); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < 100 || resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, fmt.Errorf("%w: status %d", errMalformed, resp.StatusCode)
	}
	return resp, nil
}

// checkFraming turns away what can't be taken, by its head.
func (x *exchange) checkFraming(resp *http.Response) error {
	switch {
	case hasNoBody(x.request.Method, resp):
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !x.conn.closesAfterResponse:
		return fmt.Errorf("%w: no length", errMalformed)
	case resp.ContentLength > MaxBufferedBody && !x.isStreaming(resp), x.client.options.Answer > 0 && resp.ContentLength > x.client.options.Answer:
		return fmt.Errorf("%w: length %d", errMalformed, resp.ContentLength)
	}
	return nil
}

func hasNoBody(method string, resp *http.Response) bool {
	return method == http.MethodHead || resp.Body == http.NoBody
}

// readBufferedBody reads a body that is held whole.
func readBufferedBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, MaxBufferedBody+1))
	if err == nil && len(text) > MaxBufferedBody {
		err = fmt.Errorf("%w: too long", errMalformed)
	}
	return text, err
}

// awaitHead waits for a message's whole head, without taking it, and checks what net/http's parser would let pass.
func (c *conn) awaitHead() error {
	for {
		seen, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.Index(seen, []byte("\r\n\r\n")); end >= 0 {
			c.closesAfterResponse = hasConnectionClose(seen[:end])
			return checkHeadLines(seen[:end])
		}
		if _, err := c.reader.Peek(len(seen) + 1); err != nil {
			return err
		}
	}
}

// hasConnectionClose tells whether a head has a Connection field with the option close. net/http's parser drops that field.
func hasConnectionClose(head []byte) bool {
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

// checkHeadLines holds a head to the letter of HTTP/1.1: lines end with CR and LF and are not folded, and the body is
// framed in one way only. What can be read in two ways may be noise.
func checkHeadLines(head []byte) error {
	framings := 0
	for i, line := range bytes.Split(head, []byte("\r\n")) {
		name, _, named := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.ContainsAny(line, "\r\n"):
			return fmt.Errorf("%w: a bare line end", errMalformed)
		case i == 0:
			if !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) {
				return fmt.Errorf("%w: no status line", errMalformed)
			}
		case !named || bytes.ContainsAny(name, " \t"):
			return fmt.Errorf("%w: no field", errMalformed)
		case bytes.EqualFold(name, []byte("Content-Length")), bytes.EqualFold(name, []byte("Transfer-Encoding")):
			framings++
		}
	}
	if framings > 1 {
		return fmt.Errorf("%w: framed in two ways", errMalformed)
	}
	return nil
}

// encode is the request as written to an endpoint: all of it or, where the body flows, the head. It has a length, or
// chunks, and no other framing. Its deadline says how long this sidecar waits.
func (m *Message) encode(ctx context.Context) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n", m.Method, m.Target, m.Host)
	skip := map[string]bool{"Content-Length": true, "Host": true}
	if left, ok := m.responseTimeout(ctx); ok && m.DeadlineName != "" {
		skip[http.CanonicalHeaderKey(m.DeadlineName)] = true
		fmt.Fprintf(&text, "%s: %d\r\n", m.DeadlineName, max(left.Milliseconds(), 1))
	}
	switch {
	case m.Upload != nil:
		m.writeFraming(&text)
	case len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead:
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(m.Body))
	}
	_ = m.Header.WriteSubset(&text, skip) // a Buffer takes all
	text.WriteString("\r\n")
	text.Write(m.Body)
	return text.Bytes()
}

// responseTimeout is how long this sidecar waits for the answer.
func (m *Message) responseTimeout(ctx context.Context) (time.Duration, bool) {
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
	return len(u.pools), u.openCount
}
