package upstream

import (
	"context"
	"net"
	"slices"
	"time"
)

// Minimum times between a response and the next request on the same connection. An endpoint may send a response twice, and nothing in
// the duplicate shows that it is not the response to the next request.
const (
	// delayBeforeReuse is the minimum time between a response and the next request on its connection, if
	// Options.DialInsteadOfWaiting is not set. The platform's endpoints sent 286 duplicates of responses, 0.7 to 5.7 ms after the
	// first copy.
	delayBeforeReuse = 10 * time.Millisecond
	// shortDelayBeforeReuse is the minimum time between a response and the next request on its connection, if
	// Options.DialInsteadOfWaiting is set. Endpoints of pools with this option were never seen to send duplicates of responses, and
	// a delay of 10 ms lowers the requests per second by a fifth, with 16 clients and with 64.
	shortDelayBeforeReuse = 2 * time.Millisecond
)

// connectionPool has the state and the idle connections of one endpoint. It is guarded by Client.mu.
type connectionPool struct {
	address             string
	isListedAsAccepting bool    // whether the last call of SetEndpoint said that the endpoint accepts requests
	acceptsRequests     bool    // whether isListedAsAccepting is set and the endpoint is not ejected
	idle                []*conn // idle connections by idleSince, the most recently used one last
}

// acquire returns a usable connection to the endpoint, idle or new, and the encoded head of the request. The head is encoded after the
// connection was dialed or its reuse delay has passed, since it says how much time is left until its deadline. An idle
// connection is checked last and discarded if bytes have arrived, since these may be a duplicate of its previous response.
func (cl *Client) acquire(ctx context.Context, id string, req *Request) (*conn, net.Buffers, error) {
	for {
		r, err := cl.reserve(id)
		if err != nil {
			return nil, nil, err
		}
		if r.conn == nil {
			c, err := cl.dial(ctx, r.pool, r.address)
			if err != nil {
				return nil, nil, err
			}
			return c, req.encodeHead(ctx), nil
		}
		if delay := cl.delayBeforeReuse - time.Since(r.conn.idleSince); delay > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
		}
		head := req.encodeHead(ctx)
		if cl.isUsable(r.conn) {
			return r.conn, head, nil
		}
		cl.discard(r.conn)
	}
}

// reservation is an idle connection that was taken from its pool, or the permission to dial a new one.
type reservation struct {
	pool    *connectionPool
	address string // address to dial
	conn    *conn  // idle connection; nil if a new connection may be dialed
}

// reserve takes an idle connection from the endpoint's pool, or permits a new connection and counts it as open. It prefers the most
// recently used idle connection whose reuse delay has passed. If no reuse delay has passed yet, it takes the connection that has been
// idle longest or, if Options.DialInsteadOfWaiting is set and fewer than Options.MaxConnections are open, permits a new one. If the
// pool is empty, it permits a new connection; if MaxConnections are open, it first closes an idle connection to any endpoint.
func (cl *Client) reserve(id string) (reservation, error) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.pools[id]
	switch {
	case p == nil:
		return reservation{}, errUnknownEndpoint
	case !p.acceptsRequests:
		return reservation{}, errNotAccepting
	}
	i := len(p.idle) - 1
	for i > 0 && time.Since(p.idle[i].idleSince) < cl.delayBeforeReuse {
		i--
	}
	if i >= 0 && (!cl.options.DialInsteadOfWaiting || cl.openCount >= cl.options.MaxConnections || time.Since(p.idle[i].idleSince) >= cl.delayBeforeReuse) {
		c := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		return reservation{pool: p, address: p.address, conn: c}, nil
	}
	if cl.openCount >= cl.options.MaxConnections && !cl.evictOldest() {
		return reservation{}, errConnectionLimit
	}
	cl.openCount++
	return reservation{pool: p, address: p.address}, nil
}

// release returns a connection to its pool, or closes it if the endpoint's address has changed or the endpoint accepts no requests.
// A connection that was not used keeps its idleSince: nothing was sent on it, so the endpoint's idle timeout continues.
func (cl *Client) release(c *conn, wasUsed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if !c.pool.acceptsRequests || c.pool.address != c.address {
		cl.closeLocked(c)
		return
	}
	if wasUsed || c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	i := len(c.pool.idle)
	for i > 0 && c.pool.idle[i-1].idleSince.After(c.idleSince) {
		i--
	}
	c.pool.idle = slices.Insert(c.pool.idle, i, c)
}

// discard closes a connection that is not in a pool.
func (cl *Client) discard(c *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.closeLocked(c)
}

// closeLocked closes a connection and counts it as closed. cl.mu is held.
func (cl *Client) closeLocked(c *conn) {
	c.Close()
	cl.openCount--
}

// closeIdle closes a pool's idle connections. cl.mu is held.
func (cl *Client) closeIdle(p *connectionPool) {
	for _, c := range p.idle {
		cl.closeLocked(c)
	}
	p.idle = nil
}

// evictOldest closes the connection that has been idle longest, among those to all endpoints, and reports whether there was an
// idle connection. cl.mu is held.
func (cl *Client) evictOldest() bool {
	var oldestPool *connectionPool
	for _, p := range cl.pools {
		if len(p.idle) > 0 && (oldestPool == nil || p.idle[0].idleSince.Before(oldestPool.idle[0].idleSince)) {
			oldestPool = p
		}
	}
	if oldestPool == nil {
		return false
	}
	cl.closeLocked(oldestPool.idle[0])
	oldestPool.idle = append(oldestPool.idle[:0], oldestPool.idle[1:]...)
	return true
}

// sweep closes all idle connections for which keep returns false.
func (cl *Client) sweep(keep func(*conn) bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, p := range cl.pools {
		kept := p.idle[:0]
		for _, c := range p.idle {
			if keep(c) {
				kept = append(kept, c)
			} else {
				cl.closeLocked(c)
			}
		}
		clear(p.idle[len(kept):])
		p.idle = kept
	}
}

// isUsable reports whether an idle connection may carry the next attempt.
func (cl *Client) isUsable(c *conn) bool {
	return time.Since(c.idleSince) < cl.maxIdleAge && c.hasNoInput()
}

// endpointAccepts reports whether the endpoint still accepts requests at the address of the connection.
func (cl *Client) endpointAccepts(id string, c *conn) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.pools[id]
	return p != nil && p == c.pool && p.acceptsRequests && p.address == c.address
}

// HasIdleConnection reports whether the endpoint has a usable idle connection. It checks each connection and closes the unusable ones it
// finds, since an endpoint may have closed connections after the last sweep.
func (cl *Client) HasIdleConnection(id string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.pools[id]
	if p == nil {
		return false
	}
	for n := len(p.idle); n > 0; n = len(p.idle) {
		c := p.idle[n-1]
		if cl.isUsable(c) {
			return true
		}
		cl.closeLocked(c)
		p.idle[n-1] = nil
		p.idle = p.idle[:n-1]
	}
	return false
}
