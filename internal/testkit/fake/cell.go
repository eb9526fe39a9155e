package fake

import (
	"sync"
	"time"
)

// Cell is a set of nodes that share one memory of idempotency keys, so that each node drops a duplicate of a request that any
// node of the cell has received. It is safe for concurrent use.
type Cell struct {
	window  time.Duration // time for which an idempotency key is remembered
	mu      sync.Mutex
	seenAt  map[string]time.Time // first arrival of a request, by its idempotency key
	sweptAt time.Time            // latest removal of old keys from seenAt
}

// NewCell returns a cell that remembers each idempotency key for the window.
func NewCell(window time.Duration) *Cell {
	return &Cell{window: window, seenAt: map[string]time.Time{}}
}

// isDuplicate reports whether an idempotency key was first seen within the window before now. If not, it records that the key
// was first seen now.
func (c *Cell) isDuplicate(key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.sweptAt) > c.window { // bounds seenAt to the keys of two windows
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
