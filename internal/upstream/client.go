// Package upstream sends requests to endpoints and reports how each attempt ended: whether the request may have run at the
// endpoint, and which response was received.
//
// A Client owns all connections to the endpoints of one pool, and keeps track of which endpoints accept requests. Its mutex guards
// this state and is never held while a method waits for the network. Client.Run, which its caller starts and ends, closes idle
// connections that endpoints have closed or may close soon. An attempt runs on the goroutine of its caller. If a request's body
// streams, one more goroutine sends it (see bodySender).
//
// An attempt writes its request at most once, and writes nothing after Attempt has returned. So attempts that are made one after
// the other are never in flight at the same time. Nothing is written if the request's deadline has passed, if the request is no
// longer wanted (see AttemptHooks.IsWanted), or if the endpoint no longer accepts requests.
package upstream

import (
	"context"
	"net"
	"sync"
	"time"

	"tuliprock/internal/body"
)

const (
	defaultIdleTimeout = 15 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
	sweepInterval      = time.Second // time between two checks of all idle connections
	// idleTimeoutFraction is the fraction of the endpoint's idle timeout after which an idle connection is not used any more. The
	// endpoint could close a connection that has been idle for longer while a request is on its way.
	idleTimeoutFraction = 0.9
)

// Options configures a Client.
type Options struct {
	// IdleTimeout is the time after which endpoints close idle connections; 0 means 15 s.
	IdleTimeout time.Duration
	// DialTimeout is the maximum time to establish a connection; 0 means 250 ms.
	DialTimeout time.Duration
	// MaxConnections is the maximum number of open connections, to all endpoints together.
	MaxConnections int
	// DialInsteadOfWaiting says what a request does if each idle connection to its endpoint has received a response so recently
	// that it must not be reused yet. If it is set and fewer than MaxConnections are open, the request uses a new connection.
	// Otherwise the request waits until an idle connection may be reused, which suits pools with a low MaxConnections.
	DialInsteadOfWaiting bool
	// RequestStart says when endpoints may begin to run a request.
	RequestStart RequestStart
	// BodyMemory is the memory for streaming responses; nil means that responses must be buffered.
	BodyMemory *body.MemoryPool
	// ResponseMemory is the memory for buffered responses of over 4 KiB, which count until they were written to their clients and collected;
	// nil means that they are not counted.
	ResponseMemory *body.MemoryPool
	// MinimumRate is the rate that endpoints must keep while they send or receive streaming bodies.
	MinimumRate body.MinimumRate
	// BufferedResponseTimeout is the maximum time without a byte within a buffered response, and the time by which it may be behind
	// MinimumRate.BytesPerSecond. Values below 500 ms mean 500 ms.
	BufferedResponseTimeout time.Duration
	// MaxResponseBody is the maximum length in bytes of a response's body; 0 means no maximum.
	MaxResponseBody int64
	// OnRequestSent, if not nil, is called for each attempt after the last byte of its request was written.
	OnRequestSent func()
	// Connect establishes connections, each of which must be a *net.TCPConn; nil means that a net.Dialer does so.
	Connect func(ctx context.Context, network, addr string) (net.Conn, error)
	// AcceptOnlyStatusOK accepts only responses with status 200. Without it, every status below 500 except 429 is accepted, and Attempt
	// returns the endpoint's response even if the attempt failed, unless the status is 429 or 503: a client would take these for
	// a promise that its request has not run.
	AcceptOnlyStatusOK bool
}

// Client makes attempts over its own connections. It is safe for concurrent use. It does not use net/http's Transport, which
// resends some requests when a reused connection breaks, and dials connections that may not be needed.
type Client struct {
	maxIdleAge       time.Duration // time since its last response after which an idle connection is not used any more
	dialTimeout      time.Duration
	delayBeforeReuse time.Duration // minimum time between a response and the next request on the same connection
	options          Options

	mu        sync.Mutex                 // guards options.MaxConnections, openCount, pools and ejected
	openCount int                        // number of connections that are open or being dialed
	pools     map[string]*connectionPool // idle connections of the known endpoints, by endpoint ID
	ejected   map[string]bool            // IDs of ejected endpoints, including those for which SetEndpoint was not called
}

// New returns a Client that knows no endpoints.
func New(o Options) *Client {
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Connect == nil {
		o.Connect = (&net.Dialer{}).DialContext
	}
	delay := delayBeforeReuse
	if o.DialInsteadOfWaiting {
		delay = shortDelayBeforeReuse
	}
	return &Client{
		maxIdleAge:       time.Duration(float64(o.IdleTimeout) * idleTimeoutFraction),
		dialTimeout:      o.DialTimeout,
		delayBeforeReuse: delay,
		options:          o,
		pools:            map[string]*connectionPool{},
		ejected:          map[string]bool{},
	}
}

// Run regularly closes the idle connections that can't be used any more. When ctx ends, it closes all idle connections and returns.
func (cl *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			cl.sweep(func(*conn) bool { return false })
			return
		case <-ticker.C:
			cl.sweep(cl.isUsable)
		}
	}
}

// SetMaxConnections changes Options.MaxConnections, and closes idle connections above the new limit.
func (cl *Client) SetMaxConnections(limit int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for cl.options.MaxConnections = limit; cl.openCount > limit && cl.evictOldest(); {
	}
}

// SetEndpoint sets an endpoint's address and whether it accepts requests. It closes the endpoint's idle connections if the
// address has changed or the endpoint does not accept requests. An attempt at the old address, or at an endpoint that does not
// accept requests, ends as balance.NotSent if it has not written anything yet, and continues otherwise.
func (cl *Client) SetEndpoint(id, addr string, acceptsRequests bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.pools[id]
	if p == nil {
		p = &connectionPool{}
		cl.pools[id] = p
	}
	if p.address != addr || !acceptsRequests {
		cl.closeIdle(p)
	}
	p.address, p.isListedAsAccepting, p.acceptsRequests = addr, acceptsRequests, acceptsRequests && !cl.ejected[id]
}

// SetEjected ejects an endpoint or ends its ejection; the endpoint need not be known. An ejected endpoint gets no requests, even
// if SetEndpoint says that it accepts them, and its idle connections are closed. An attempt at the endpoint ends as
// balance.NotSent if it has not written anything yet, and continues otherwise.
func (cl *Client) SetEjected(id string, isEjected bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if delete(cl.ejected, id); isEjected {
		cl.ejected[id] = true
	}
	p := cl.pools[id]
	if p == nil {
		return
	}
	if p.acceptsRequests = p.isListedAsAccepting && !isEjected; isEjected {
		cl.closeIdle(p)
	}
}

// RemoveEndpoint removes an endpoint and closes its idle connections. If the endpoint is ejected, it stays so.
func (cl *Client) RemoveEndpoint(id string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if p := cl.pools[id]; p != nil {
		cl.closeIdle(p)
		p.acceptsRequests = false
		delete(cl.pools, id)
	}
}

// ResourceCounts returns the number of known endpoints, and of connections that are open or being dialed.
func (cl *Client) ResourceCounts() (endpoints, connections int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.pools), cl.openCount
}
