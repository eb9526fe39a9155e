package upstream

import (
	"context"
	"slices"
	"time"
)

// A connection rests between a response and the next request, since a duplicate of the response may follow it and
// nothing in a response shows to which request it belongs.
const (
	// reuseDelay is nearly twice the delay of the latest of 286 duplicates measured at the platform's endpoints,
	// which came 0.7 to 5.7 ms after the first copy.
	reuseDelay = 10 * time.Millisecond
	// reuseDelayWhenDialing holds with Options.Spread. No duplicate was ever seen at such endpoints, and a rest of 10 ms
	// costs a fifth of the request rate at 16 and 64 clients.
	reuseDelayWhenDialing = 2 * time.Millisecond
)

// endpointPool holds the idle connections to one endpoint. It is guarded by Client.mu.
type endpointPool struct {
	address             string
	isListedAsAccepting bool    // as accepting requests, by the endpoint list
	acceptsRequests     bool    // listed as such and not ejected: its connections are worth keeping
	idle                []*conn // the one that was used last at the end
}

// acquire returns a usable connection to the endpoint, idle or new, and the encoded request. The request is encoded
// last, since it says how much time is left. An idle connection rests first and is checked last, so that a duplicate
// of its previous response is seen before the request is written; where something has arrived, the connection is
// discarded.
func (cl *Client) acquire(ctx context.Context, id string, m *Request) (*conn, []byte, error) {
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
			return c, m.encode(ctx), nil
		}
		if rest := cl.reuseDelay - time.Since(r.conn.idleSince); rest > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(rest):
			}
		}
		text := m.encode(ctx)
		if cl.isUsable(r.conn) {
			return r.conn, text, nil
		}
		cl.discard(r.conn)
	}
}

// reservation is an idle connection taken from its pool or, where conn is nil, the right to dial one more.
type reservation struct {
	pool    *endpointPool
	address string
	conn    *conn
}

// reserve takes the most recently used of the idle connections that have rested. If there is none, it takes one that
// still rests or counts a new connection as open, as Options.Spread says.
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
	for i > 0 && time.Since(p.idle[i].idleSince) < cl.reuseDelay {
		i--
	}
	if i >= 0 && (!cl.options.DialInsteadOfWaiting || cl.openCount >= cl.options.MaxConnections || time.Since(p.idle[i].idleSince) >= cl.reuseDelay) {
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

// release makes a connection idle, unless its endpoint has moved or accepts no requests: then it is closed. One that
// was not used keeps its age, since the endpoint's idle timeout goes on.
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

// discard closes a connection that is not idle.
func (cl *Client) discard(c *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.closeLocked(c)
}

// closeLocked closes a connection. cl.mu is held.
func (cl *Client) closeLocked(c *conn) {
	c.Close()
	cl.openCount--
}

// closeIdle closes a pool's idle connections. cl.mu is held.
func (cl *Client) closeIdle(p *endpointPool) {
	for _, c := range p.idle {
		cl.closeLocked(c)
	}
	p.idle = nil
}

// evictOldest closes the connection that has been idle longest, to whichever endpoint, and reports whether there was
// one. cl.mu is held.
func (cl *Client) evictOldest() bool {
	var oldest *endpointPool
	for _, p := range cl.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	cl.closeLocked(oldest.idle[0])
	oldest.idle = append(oldest.idle[:0], oldest.idle[1:]...)
	return true
}

// sweep closes all idle connections for which keep is false.
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

// isAccepting reports whether the endpoint still accepts requests at the address to which the connection leads.
func (cl *Client) isAccepting(id string, c *conn) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	p := cl.pools[id]
	return p != nil && p == c.pool && p.acceptsRequests && p.address == c.address
}

// HasIdle reports whether the endpoint has a usable idle connection. It checks the connections themselves, since most
// of those that an endpoint closes are closed between two sweeps, and closes the dead ones that it finds.
func (cl *Client) HasIdle(id string) bool {
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
