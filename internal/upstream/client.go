// Package upstream sends requests to endpoints and reports by evidence how each attempt ended: whether it may have run
// at the endpoint, and what came back.
//
// A Client owns all connections to the endpoints of one pool and the record of which endpoints accept requests; both
// are guarded by its mutex, and none of its methods holds that mutex while it waits for the network. Client.Run,
// which its caller starts and ends, closes idle connections that have gone stale. An attempt runs on its caller's
// goroutine. While a request's body streams, one more goroutine of that attempt sends it (bodySender).
//
// A caller may rely on this: an attempt writes its request at most once, and nothing of it once Attempt has returned,
// so that attempts made one after the other are never in flight together. No first byte is written for a request
// whose deadline has passed, that its client no longer wants, or whose endpoint no longer accepts requests.
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
	sweepInterval      = time.Second // between two checks of all idle connections
	// idleTimeoutFraction of the endpoint's idle timeout is the age from which a connection is no longer used: the
	// endpoint could close it while a request is on its way.
	idleTimeoutFraction = 0.9
)

// Options configures a Client.
type Options struct {
	// IdleTimeout is the time after which endpoints close idle connections; 0 means 15 s.
	IdleTimeout time.Duration
	// DialTimeout is the time after which a connection that is not established has failed; 0 means 250 ms.
	DialTimeout time.Duration
	// MaxConnections is how many connections may be open at once, to all endpoints together.
	MaxConnections int
	// Spread opens a new connection, while fewer than MaxConnections are open, where all idle connections to an endpoint still
	// rest. Without it the request waits until one of them has rested, which suits pools where connections are scarce.
	DialInsteadOfWaiting bool
	// RequestStart says from which byte on a request may have run.
	RequestStart RequestStart
	// Pool is the memory for streaming responses; nil means that responses must be buffered.
	BodyMemory *body.MemoryPool
	// MinimumRate is the minimum rate of endpoints while bodies stream.
	MinimumRate body.MinimumRate
	// BufferedResponseTimeout is how long a buffered response may take from its first byte to its last. Less than 500 ms counts as 500
	// ms.
	BufferedResponseTimeout time.Duration
	// MaxResponseBody is the maximum length in bytes of a response's body; 0 means no maximum.
	MaxResponseBody int64
	// OnRequestSent, if not nil, is called for each attempt once the last byte of its request is written.
	OnRequestSent func()
	// Connect establishes connections, each of which must be a *net.TCPConn; nil means a net.Dialer.
	Connect func(ctx context.Context, network, addr string) (net.Conn, error)
	// OnlyOK accepts only responses with status 200. Without it every status below 500 except 429 is accepted, and a
	// failed attempt brings the endpoint's own response along, unless that promises that nothing has run.
	OnlyOK bool
}

// Client makes attempts over connections of its own. It is safe for concurrent use. It does not use net/http's
// Transport, which by itself resends some requests when a reused connection breaks, and dials spare connections.
type Client struct {
	maxIdleAge  time.Duration // of an idle connection that may still be used
	dialTimeout time.Duration
	reuseDelay  time.Duration // of a connection, after a response
	options     Options

	mu        sync.Mutex // guards options.MaxConnections and what follows
	openCount int        // connections that are open or being dialed
	pools     map[string]*endpointPool
	ejected   map[string]bool // endpoints that accept nothing new, listed or not
}

// New returns a Client without endpoints.
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
	rest := reuseDelay
	if o.DialInsteadOfWaiting {
		rest = reuseDelayWhenDialing
	}
	return &Client{
		maxIdleAge:  time.Duration(float64(o.IdleTimeout) * idleTimeoutFraction),
		dialTimeout: o.DialTimeout,
		reuseDelay:  rest,
		options:     o,
		pools:       map[string]*endpointPool{},
		ejected:     map[string]bool{},
	}
}

// Run closes idle connections that are dead or stale, until ctx ends; then it closes all idle connections and returns.
func (cl *Client) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			cl.sweep(func(*conn) bool { return false })
			return
		case <-tick.C:
			cl.sweep(cl.isUsable)
		}
	}
}

// SetMaxConnections changes how many connections may be open at once, and closes idle ones beyond that.
func (cl *Client) SetMaxConnections(limit int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for cl.options.MaxConnections = limit; cl.openCount > limit && cl.evictOldest(); {
	}
}

// SetEndpoint sets an endpoint's address and whether it accepts requests. Idle connections to a former address, or to an
// endpoint that does not accept requests, are closed. An attempt there that has written nothing yet ends as
// balance.NotSent; one that has written goes on.
func (cl *Client) SetEndpoint(id, addr string, acceptsRequests bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.pools[id]
	if p == nil {
		p = &endpointPool{}
		cl.pools[id] = p
	}
	if p.address != addr || !acceptsRequests {
		cl.closeIdle(p)
	}
	p.address, p.isListedAsAccepting, p.acceptsRequests = addr, acceptsRequests, acceptsRequests && !cl.ejected[id]
}

// SetEjected ejects an endpoint, listed or not, or ends its ejection. An ejected endpoint gets no request, whatever
// SetEndpoint says, and its idle connections are closed. An attempt there that has written nothing yet ends as
// balance.NotSent; one that has written goes on.
func (cl *Client) SetEjected(id string, ejected bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if delete(cl.ejected, id); ejected {
		cl.ejected[id] = true
	}
	p := cl.pools[id]
	if p == nil {
		return
	}
	if p.acceptsRequests = p.isListedAsAccepting && !ejected; ejected {
		cl.closeIdle(p)
	}
}

// RemoveEndpoint forgets an endpoint and closes its idle connections. An ejection of it stays in force.
func (cl *Client) RemoveEndpoint(id string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if p := cl.pools[id]; p != nil {
		cl.closeIdle(p)
		p.acceptsRequests = false
		delete(cl.pools, id)
	}
}

// ResourceCounts returns how many endpoints are known and how many connections are open or being dialed.
func (cl *Client) ResourceCounts() (endpoints, connections int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.pools), cl.openCount
}
