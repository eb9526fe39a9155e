package frontend

import (
	"container/list"
	"time"
)

const (
	// minSilentAge is how long a new connection may send nothing before it is the first candidate for eviction. Clients normally
	// send at once.
	minSilentAge = 100 * time.Millisecond
	// minPartialAge is how long a request's head may stay incomplete, from its first byte, before its connection can be evicted.
	minPartialAge = 300 * time.Millisecond
)

// evictIfOverLimit evicts one connection if more than maxConnections are open. It prefers a new connection that has sent nothing
// for minSilentAge, then the connection that has been idle for longest, then any new connection without a byte received, then a
// connection on which a request's head has been incomplete for minPartialAge. If all connections have an open request, none is
// evicted; a LimitListener keeps further connections from being accepted. l.mu is held.
func (l *Listener) evictIfOverLimit() {
	if l.openCount-l.evictingCount <= l.maxConnections {
		return
	}
	for _, candidates := range []struct {
		queue  *list.List
		minAge time.Duration
	}{{&l.silent, minSilentAge}, {&l.idle, 0}, {&l.silent, 0}, {&l.partial, minPartialAge}} {
		if front := candidates.queue.Front(); front != nil {
			if c := front.Value.(*clientConn); time.Since(c.queuedAt) >= candidates.minAge {
				c.evict()
				return
			}
		}
	}
	l.scheduleRecheck()
}

// scheduleRecheck schedules a call of evictIfOverLimit after minPartialAge. While Accept blocks at the limit of the LimitListener,
// no new connection causes such a call, and connections with an incomplete head could stay. l.mu is held.
func (l *Listener) scheduleRecheck() {
	if l.isRecheckScheduled {
		return
	}
	l.isRecheckScheduled = true
	time.AfterFunc(minPartialAge, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.isRecheckScheduled = false
		l.evictIfOverLimit()
	})
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

// evict makes the read that waits for a request time out, so that net/http closes the connection, unless a request is received first.
// listener.mu is held.
func (c *clientConn) evict() {
	c.moveTo(nil)
	c.isEvicted = true
	c.listener.evictingCount++
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
