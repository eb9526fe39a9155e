package fake

import (
	"sync"
	"time"
)

// Cell is a set of nodes that drop duplicates of keyed requests together. It is safe for concurrent use.
type Cell struct {
	window  time.Duration
	mu      sync.Mutex
	seenAt  map[string]time.Time
	sweptAt time.Time
}

// NewCell makes a cell that remembers idempotency keys for the window.
func NewCell(window time.Duration) *Cell {
	return &Cell{window: window, seenAt: map[string]time.Time{}}
}

// isDuplicate reports whether the key was seen within the window, and records it if not.
func (c *Cell) isDuplicate(key string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.sweptAt) > c.window { // so that the map holds the keys of two windows at most
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
