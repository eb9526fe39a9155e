package fake

import (
	"sync"
	"time"
)

// Cell is a set of nodes that share one memory of idempotency keys, so that each node drops a duplicate of a request that any
// node of the cell has begun to execute. It is safe for concurrent use.
type Cell struct {
	window  time.Duration // time for which an idempotency key is remembered
	mu      sync.Mutex
	seenAt  map[string]time.Time // time at which the window of each idempotency key began, by key
	sweptAt time.Time            // latest removal of old keys from seenAt
}

// NewCell returns a cell that remembers each idempotency key for the window.
func NewCell(window time.Duration) *Cell {
	return &Cell{window: window, seenAt: map[string]time.Time{}}
}

// recordKey records that a node begins to execute a request with an idempotency key, and reports whether the request is a duplicate.
// A key's window begins with its first request. A request is a duplicate if it comes within the window, which it does not extend.
func (c *Cell) recordKey(key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.sweptAt) > c.window { // removes old keys once per window, so that seenAt holds the keys of at most two windows
		for k, at := range c.seenAt {
			if now.Sub(at) > c.window {
				delete(c.seenAt, k)
			}
		}
		c.sweptAt = now
	}
	if at, ok := c.seenAt[key]; ok && now.Sub(at) <= c.window {
		return true
	}
	c.seenAt[key] = now
	return false
}
