package fake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Request is one request of a client.
type Request struct {
	ID             string // new for each request, retries included
	Class          int
	Tenant         string
	IdempotencyKey string // idempotency key; empty: none
	IsRetry        bool
	CostHint       time.Duration // the client's guess at the work; 0: none
	Job            *Job
	Timeout        time.Duration // the client's deadline from the start
	LeaveAfter     time.Duration // the client closes the connection after this time; 0: it waits for the deadline
	Connect        func() (Target, bool)
}

// Outcome is what became of a request.
type Outcome struct {
	Status     int           // 0: no response
	IsAccepted bool          // the request was written to a sidecar completely
	RetryAfter time.Duration // as the response advises; 0: not at all
	HasDialed  bool          // a connection was opened for the request
	HasLeft    bool          // the client left on purpose
}

// Client sends requests over connections that it keeps, and records what it observes. It is safe for concurrent use and
// has no goroutine of its own.
type Client struct {
	classes            []Class
	registry           *Registry
	recorder           *Recorder
	tolerance          time.Duration        // after the deadline, within which a response is not late
	maxIdle            int                  // idle connections kept
	connectionLifetime func() time.Duration // of a new connection; nil: unlimited

	mu   sync.Mutex
	idle []*clientConn // the one used last is at the end
}

// clientConn is one connection of a client.
type clientConn struct {
	net.Conn
	reader      *bufio.Reader
	sidecar     string
	usableUntil time.Time // zero: unlimited
}

const (
	dialTimeout    = 500 * time.Millisecond // the front layer notices a dead sidecar after seconds, a client should sooner
	extraBytesWait = time.Millisecond       // for bytes after a response
	// lateAllowance is how much later than the rules allow a client gives up, so that a late response is seen as such.
	lateAllowance = 100 * time.Millisecond
)

// errNoSidecar is the error of a dial while the front layer has no sidecar.
var errNoSidecar = errors.New("no sidecar is in the front layer")

// NewClient makes a client that keeps at most maxIdle idle connections. tolerance is that of the rules on a deadline.
func NewClient(classes []Class, registry *Registry, recorder *Recorder, tolerance time.Duration, maxIdle int) *Client {
	return &Client{classes: classes, registry: registry, recorder: recorder, tolerance: tolerance, maxIdle: maxIdle}
}

// SetConnectionLifetime makes each new connection be used for a time that the function draws. It must be called before the
// first request; the function may be called from many goroutines.
func (c *Client) SetConnectionLifetime(draw func() time.Duration) { c.connectionLifetime = draw }

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}

// takeIdle returns the idle connection used last, or nil.
func (c *Client) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(c.idle); n > 0; n = len(c.idle) {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		if conn.usableUntil.IsZero() || time.Now().Before(conn.usableUntil) {
			return conn
		}
		conn.Close()
	}
	return nil
}

func (c *Client) putIdle(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.maxIdle {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

func (c *Client) dial(r Request) (*clientConn, error) {
	target, ok := r.Connect()
	if !ok {
		return nil, errNoSidecar
	}
	conn, err := net.DialTimeout("tcp", target.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	opened := &clientConn{Conn: conn, reader: bufio.NewReader(conn), sidecar: target.Sidecar}
	if c.connectionLifetime != nil {
		opened.usableUntil = time.Now().Add(c.connectionLifetime())
	}
	return opened, nil
}

// Do sends one request. It returns when the response has come, the deadline has passed or the connection has ended. A
// request whose kept connection ended before anything came is sent once more on a new one.
func (c *Client) Do(r Request) Outcome {
	deadline := c.recorder.Now() + r.Timeout
	c.registry.register(r.ID, registeredRequest{job: r.Job, class: r.Class, key: r.IdempotencyKey})
	var out Outcome
	for isFirst := true; ; isFirst = false {
		conn := c.takeIdle()
		if conn != nil && !isFirst {
			conn.Close() // the second time on a new connection
			continue
		}
		if conn == nil {
			var err error
			if conn, err = c.dial(r); err != nil {
				return out
			}
			out.HasDialed = true
		}
		isNew := out.HasDialed
		if c.exchange(conn, r, deadline, isNew, &out) || isNew {
			return out
		}
	}
}

// exchange sends a request on a connection and reads the response. It is false where a kept connection ended before
// anything came: a sidecar may close one between requests, and the request may be sent again.
func (c *Client) exchange(conn *clientConn, r Request, deadline time.Duration, isNew bool, out *Outcome) bool {
	c.recorder.Add(invariant.Event{Kind: invariant.RequestSent, Request: r.ID, Sidecar: conn.sidecar, Class: r.Class,
		Deadline: deadline}) // before the write and what follows from it
	if _, err := io.WriteString(conn, c.encodeRequest(r, deadline)); err != nil {
		conn.Close()
		if isNew {
			c.recorder.Add(invariant.Event{Kind: invariant.RequestNotWritten, Request: r.ID})
		}
		return isNew
	}
	out.IsAccepted = true
	limit, leaves := deadline+c.tolerance+lateAllowance, false
	if r.LeaveAfter > 0 && deadline-r.Timeout+r.LeaveAfter < limit {
		limit, leaves = deadline-r.Timeout+r.LeaveAfter, true
	}
	_ = conn.SetReadDeadline(time.Now().Add(limit - c.recorder.Now()))
	if _, err := conn.reader.Peek(1); err != nil {
		conn.Close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && leaves:
			out.HasLeft = true
			c.recorder.Add(invariant.Event{Kind: invariant.ClientLeft, Request: r.ID})
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.recorder.Add(invariant.Event{Kind: invariant.ResponseOverdue, Request: r.ID})
		case !isNew:
			return false
		default:
			c.recorder.Add(invariant.Event{Kind: invariant.ConnectionLost, Request: r.ID})
		}
		return true
	}
	c.readResponse(conn, r, deadline, out)
	return true
}

// readResponse reads a response of which the first byte has come.
func (c *Client) readResponse(conn *clientConn, r Request, deadline time.Duration, out *Outcome) {
	_ = conn.SetReadDeadline(time.Now().Add(max(deadline-c.recorder.Now(), 0) + c.tolerance + lateAllowance))
	resp, err := http.ReadResponse(conn.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
		resp.Body.Close()
	}
	if err != nil {
		conn.Close()
		c.recorder.Add(invariant.Event{Kind: invariant.ConnectionLost, Request: r.ID})
		return
	}
	out.Status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		out.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	isGenuine := resp.StatusCode != http.StatusOK || strings.HasPrefix(string(body), r.ID+" ")
	c.recorder.Add(invariant.Event{Kind: invariant.ResponseReceived, Request: r.ID, Status: resp.StatusCode, Genuine: isGenuine})
	if conn.reader.Buffered() == 0 && !resp.Close {
		_ = conn.SetReadDeadline(time.Now().Add(extraBytesWait))
		if _, err := conn.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			c.putIdle(conn)
			return
		}
	}
	if conn.reader.Buffered() > 0 {
		c.recorder.Add(invariant.Event{Kind: invariant.ExtraBytes, Request: r.ID})
	}
	conn.Close()
}

// encodeRequest is the request as it is written.
func (c *Client) encodeRequest(r Request, deadline time.Duration) string {
	class := c.classes[r.Class]
	method := http.MethodGet
	if class.Effect != invariant.Safe {
		method = http.MethodPost
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Deadline-Ms: %d\r\n", method, class.Name, r.ID,
		max((deadline-c.recorder.Now()).Milliseconds(), 1))
	if r.Tenant != "" {
		fmt.Fprintf(&b, "Req-Owner: %s\r\n", r.Tenant)
	}
	if r.CostHint > 0 {
		fmt.Fprintf(&b, "Req-Cost: %d\r\n", r.CostHint.Microseconds())
	}
	if r.IsRetry {
		b.WriteString("Req-Retry: 1\r\n")
	}
	if class.Effect == invariant.IdempotencyKeyed {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.IdempotencyKey)
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}
