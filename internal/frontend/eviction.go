package frontend

import (
	"container/list"
	"time"
)

const (
	// minSilentAge is how long a new connection may be silent before it is suspect: clients send at once.
	minSilentAge = 100 * time.Millisecond
	// minPartialAge is how long the rest of a request's head may take before its connection can be evicted.
	minPartialAge = 300 * time.Millisecond
)

// evictIfOverLimit evicts the least valuable connection if there are too many: a silent one, then the one idle for
// longest, then one whose request's head does not go on. Where all have an open request, the limit of the listener
// beneath holds new ones back. l.mu is held.
func (l *Listener) evictIfOverLimit() {
	if l.open-l.evicting <= l.maxConnections {
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

// scheduleRecheck has evictIfOverLimit run again: while Accept waits for a free place, nothing else would call it.
// l.mu is held.
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

// evictIdle evicts all idle connections, and new ones that have been silent for long, and returns the number of open
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
	return l.open
}

// evict makes the read that waits for a request return, and so net/http close the connection, unless a request is
// received first. listener.mu is held.
func (c *clientConn) evict() {
	c.moveTo(nil)
	c.isEvicted = true
	c.listener.evicting++
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // it fails on a closed connection only, where the read returns anyway
}

// cancelEviction takes an eviction back because a request was received first. The request must be read by the
// deadline; zero: no deadline. listener.mu is held.
func (c *clientConn) cancelEviction(deadline time.Time) {
	if c.isEvicted {
		c.isEvicted = false
		c.listener.evicting--
		_ = c.Conn.SetReadDeadline(deadline) // it fails on a closed connection only, where the next read fails, too
	}
}

// moveTo moves the connection to the end of a queue of its Listener; nil: out of all. listener.mu is held.
func (c *clientConn) moveTo(queue *list.List) {
	if c.queue != nil {
		c.queue.Remove(c.element)
	}
	if c.queue = queue; queue != nil {
		c.element, c.queuedAt = queue.PushBack(c), time.Now()
	}
}
