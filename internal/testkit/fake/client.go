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

// Request describes a request for Client.Do: what the client sends, and how long it waits for the response.
type Request struct {
	ID              string                // unique ID of the request; a retry by the client has a new ID
	Class           int                   // index of the request's class in the classes given to NewClient
	Tenant          string                // value of the header Req-Owner; empty: none
	IdempotencyKey  string                // idempotency key, which is sent if the class is IdempotencyKeyed; empty: none
	IsRetry         bool                  // whether the request repeats one that failed; sent as the header Req-Retry
	CostHint        time.Duration         // the client's estimate of the request's work, sent as the header Req-Cost; 0: not sent
	Job             *Job                  // work that the nodes do for the request, including its calls to further tiers
	Timeout         time.Duration         // time from the call of Do until the deadline
	DisconnectAfter time.Duration         // time from the call of Do until the client disconnects; 0: it waits for the deadline
	Connect         func() (Target, bool) // chooses the sidecar for a new connection; reports false if there is none
}

// Outcome describes how a request ended for its client.
type Outcome struct {
	Status          int           // HTTP status of the response; 0: no complete response came
	IsAccepted      bool          // whether the request was written to a sidecar completely
	RetryAfter      time.Duration // value of the response's header Retry-After; 0: none
	HasDialed       bool          // whether a connection was opened for the request
	HasDisconnected bool          // whether the client closed the connection after Request.DisconnectAfter
}

// Client sends requests over connections that it reuses, and records what it observes. It is safe for concurrent use and
// starts no goroutine.
type Client struct {
	classes            []Class
	registry           *Registry
	recorder           *Recorder
	lateTolerance      time.Duration        // time after the deadline within which a response does not count as late
	maxIdleConnections int                  // largest number of idle connections that are kept for reuse
	connectionLifetime func() time.Duration // draws the time for which a new connection is used; nil: unlimited

	mu   sync.Mutex
	idle []*clientConn // idle connections in the order of their last use, the latest at the end
}

// clientConn is a connection of a client to a sidecar.
type clientConn struct {
	net.Conn
	reader      *bufio.Reader
	sidecar     string    // name of the sidecar at the other end
	usableUntil time.Time // time after which the connection is not reused; zero: unlimited
}

const (
	// dialTimeout limits the time in which a connection to a sidecar is opened. It is short, since the front layer, the load balancer
	// between clients and sidecars, goes on choosing a dead sidecar for seconds until the sidecar is removed.
	dialTimeout    = 500 * time.Millisecond
	extraBytesWait = time.Millisecond // time for which a client waits for surplus bytes after a response
	// lateAllowance is how long after the deadline and lateTolerance a client still waits for a response. A response within
	// this time is recorded, and the invariant checker reports it as late rather than as missing.
	lateAllowance = 100 * time.Millisecond
)

// errNoSidecar is returned by dial if Request.Connect finds no sidecar.
var errNoSidecar = errors.New("the front layer has no sidecar")

// NewClient returns a client that keeps at most maxIdleConnections idle connections. A response counts as late if it comes later
// than lateTolerance after the request's deadline.
func NewClient(classes []Class, registry *Registry, recorder *Recorder, lateTolerance time.Duration, maxIdleConnections int) *Client {
	return &Client{classes: classes, registry: registry, recorder: recorder, lateTolerance: lateTolerance,
		maxIdleConnections: maxIdleConnections}
}

// SetConnectionLifetime makes the client use each new connection only for a time that draw returns. It must be called before
// the first request. draw must be safe for concurrent use.
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

// takeIdle removes and returns the idle connection that was used last; nil: there is none. It closes connections that have
// exceeded their lifetime.
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

// putIdle keeps a connection for reuse, or closes it if maxIdleConnections connections are idle already.
func (c *Client) putIdle(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= c.maxIdleConnections {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// dial opens a connection to the sidecar that the request's Connect chooses.
func (c *Client) dial(r Request) (*clientConn, error) {
	target, ok := r.Connect()
	if !ok {
		return nil, errNoSidecar
	}
	conn, err := net.DialTimeout("tcp", target.Addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	newConn := &clientConn{Conn: conn, reader: bufio.NewReader(conn), sidecar: target.Sidecar}
	if c.connectionLifetime != nil {
		newConn.usableUntil = time.Now().Add(c.connectionLifetime())
	}
	return newConn, nil
}

// Do sends one request. It returns when the response has come, the wait for it has timed out or the connection has ended. If
// a reused connection ends before any byte of the response, the request is sent once more on a new connection.
func (c *Client) Do(r Request) Outcome {
	deadline := c.recorder.Now() + r.Timeout
	c.registry.register(r.ID, registeredRequest{job: r.Job, class: r.Class, key: r.IdempotencyKey})
	var outcome Outcome
	for isFirst := true; ; isFirst = false {
		conn := c.takeIdle()
		if conn != nil && !isFirst {
			conn.Close() // a request that is sent once more must use a new connection
			continue
		}
		if conn == nil {
			var err error
			if conn, err = c.dial(r); err != nil {
				return outcome
			}
			outcome.HasDialed = true
		}
		isNew := outcome.HasDialed
		if c.exchange(conn, r, deadline, isNew, &outcome) || isNew {
			return outcome
		}
	}
}

// exchange sends a request on a connection and reads the response. It reports false if a reused connection ended before any
// byte of the response: a sidecar may close a connection between requests, so the request may be sent again. isNew reports
// whether the connection was opened for the request.
func (c *Client) exchange(conn *clientConn, r Request, deadline time.Duration, isNew bool, outcome *Outcome) bool {
	c.recorder.Add(invariant.Event{Kind: invariant.RequestSent, Request: r.ID, Sidecar: conn.sidecar, Class: r.Class,
		Deadline: deadline}) // the event is recorded before the request is written, since the write causes further events
	if _, err := io.WriteString(conn, c.encodeRequest(r, deadline)); err != nil {
		conn.Close()
		if isNew {
			c.recorder.Add(invariant.Event{Kind: invariant.RequestNotWritten, Request: r.ID})
		}
		return isNew
	}
	outcome.IsAccepted = true
	giveUpAt, disconnectsEarly := deadline+c.lateTolerance+lateAllowance, false
	if r.DisconnectAfter > 0 && deadline-r.Timeout+r.DisconnectAfter < giveUpAt {
		giveUpAt, disconnectsEarly = deadline-r.Timeout+r.DisconnectAfter, true
	}
	_ = conn.SetReadDeadline(time.Now().Add(giveUpAt - c.recorder.Now()))
	if _, err := conn.reader.Peek(1); err != nil {
		conn.Close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded) && disconnectsEarly:
			outcome.HasDisconnected = true
			c.recorder.Add(invariant.Event{Kind: invariant.ClientDisconnected, Request: r.ID})
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.recorder.Add(invariant.Event{Kind: invariant.ResponseOverdue, Request: r.ID})
		case !isNew:
			return false
		default:
			c.recorder.Add(invariant.Event{Kind: invariant.ConnectionLost, Request: r.ID})
		}
		return true
	}
	c.readResponse(conn, r, deadline, outcome)
	return true
}

// readResponse reads a response whose first byte has come. It keeps the connection for reuse unless the response is incomplete,
// further bytes follow it, or the sidecar closes the connection.
func (c *Client) readResponse(conn *clientConn, r Request, deadline time.Duration, outcome *Outcome) {
	_ = conn.SetReadDeadline(time.Now().Add(max(deadline-c.recorder.Now(), 0) + c.lateTolerance + lateAllowance))
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
	outcome.Status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		outcome.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	isGenuine := resp.StatusCode != http.StatusOK || strings.HasPrefix(string(body), r.ID+" ")
	c.recorder.Add(invariant.Event{Kind: invariant.ResponseReceived, Request: r.ID, Status: resp.StatusCode, IsGenuine: isGenuine})
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

// encodeRequest returns the request as HTTP/1.1 text.
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
