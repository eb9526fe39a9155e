package frontend

import (
	"container/list"
	"time"
)

// Times without a byte from a client after which its connection may make way for another one. Clients normally send a request at once;
// those that write slowly send something more often.
const (
	minSilentAge = 100 * time.Millisecond // for a new connection on which nothing was received
	minHeadAge   = 200 * time.Millisecond // for one on which a part of a head was received
	minBodyAge   = 400 * time.Millisecond // for one on which a part of a body was received that no endpoint has got a byte of
)

// evictionRecheckInterval is the time between two checks while more connections are open than allowed. While Accept blocks at the limit
// of the LimitListener, no new connection causes a check, and connections become candidates as time passes.
const evictionRecheckInterval = 50 * time.Millisecond

// evictionRule says from when on the connections of a queue may be evicted.
type evictionRule struct {
	queue  *list.List
	minAge time.Duration // least time for which a connection must have been in the queue without a byte received
}

// evictionRules returns the rules in the order in which connections make way: those that have sent nothing, those without a request
// that have been idle for longest, and those that have stopped in the middle of a request. Connections with an open request, of which
// an endpoint may have got a byte, never make way.
func (l *Listener) evictionRules() []evictionRule {
	return []evictionRule{{&l.silent, minSilentAge}, {&l.idle, 0}, {&l.partial, minHeadAge}, {&l.receiving, minBodyAge}}
}

// nextEviction returns the connection that makes way next, or nil if none may be evicted at the given time.
func nextEviction(now time.Time, rules []evictionRule) *clientConn {
	for _, rule := range rules {
		front := rule.queue.Front()
		if front == nil {
			continue
		}
		if c := front.Value.(*clientConn); now.Sub(c.queuedAt) >= rule.minAge {
			return c
		}
	}
	return nil
}

// evictOverLimit evicts connections while more than maxConnections are open that are not being evicted. If not enough of them may be
// evicted now, it checks again soon; a LimitListener keeps further connections from being accepted meanwhile. l.mu is held.
func (l *Listener) evictOverLimit() {
	for l.openCount-l.evictingCount > l.maxConnections {
		c := nextEviction(time.Now(), l.evictionRules())
		if c == nil {
			l.scheduleRecheck()
			return
		}
		c.evict()
	}
}

// scheduleRecheck schedules a call of evictOverLimit. l.mu is held.
func (l *Listener) scheduleRecheck() {
	if l.isRecheckScheduled {
		return
	}
	l.isRecheckScheduled = true
	time.AfterFunc(evictionRecheckInterval, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.isRecheckScheduled = false
		l.evictOverLimit()
	})
}

// EvictWithoutRequest evicts the connections without a request, as for places: idle ones, and those that have stopped for some time before
// a request was complete.
func (l *Listener) EvictWithoutRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for c := nextEviction(now, l.evictionRules()); c != nil; c = nextEviction(now, l.evictionRules()) {
		c.evict()
	}
}

// evictIdle evicts all idle connections, and new ones that have sent nothing for minSilentAge. It returns the number of open
// connections.
func (l *Listener) evictIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, queue := range []*list.List{&l.idle, &l.silent} {
		for front := queue.Front(); front != nil; front = queue.Front() {
			c := front.Value.(*clientConn)
			if queue == &l.silent && time.Since(c.queuedAt) < minSilentAge {
				break
			}
			c.evict()
		}
	}
	return l.openCount
}

// beginBody records that the body of a request is read from the connection, before any of it is forwarded. Until endBody is called the
// connection may be evicted if the client stops.
func (c *clientConn) beginBody() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isReceivingBody = true
	c.moveTo(&c.listener.receiving)
}

// endBody records that the body was read as far as is needed before the request is forwarded. An eviction that came too late has no
// effect.
func (c *clientConn) endBody() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.isReceivingBody = false
	c.moveTo(nil)
	c.cancelEviction(time.Time{})
}

// evict makes the read that waits for the client time out, so that the connection is closed, unless a request is received first.
// listener.mu is held.
func (c *clientConn) evict() {
	c.moveTo(nil)
	c.isEvicted = true
	c.listener.evictingCount++
	c.listener.evictedCount++
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // this fails only on a closed connection, on which the read returns anyway
}

// cancelEviction cancels an eviction because a request was received before the connection was closed. The request must be read by the
// deadline; zero means no deadline. listener.mu is held.
func (c *clientConn) cancelEviction(deadline time.Time) {
	if c.isEvicted {
		c.isEvicted = false
		c.listener.evictingCount--
		_ = c.Conn.SetReadDeadline(deadline) // this fails only on a closed connection, on which the next read fails, too
	}
}

// moveTo moves the connection to the end of a queue of its Listener; nil removes it from its queue. listener.mu is held.
func (c *clientConn) moveTo(queue *list.List) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	if c.queue = queue; queue != nil {
		c.element, c.queuedAt = queue.PushBack(c), time.Now()
	}
}
