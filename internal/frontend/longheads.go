package frontend

import "errors"

const (
	// freeHeadBytes is the length of a head up to which it needs no permit: the size of net/http's read buffer.
	freeHeadBytes = 4 << 10
	// longHeadBytes is about how much memory a long head takes while it is parsed, and until its request has ended.
	longHeadBytes = 32 << 10
)

// errNoHeadMemory ends the reading of a long head for which there is no memory. net/http responds to it with status 400.
var errNoHeadMemory = errors.New("no memory for a long head")

// LongHeadsWithin returns how many heads of over 4 KiB fit into a number of bytes.
func LongHeadsWithin(bytes int) int { return max(bytes/longHeadBytes, 1) }

// longHeadLimit limits how many connections have a long head at a time: a parsed head takes several times its length, and clients may
// send long heads on all connections at once. It is guarded by Listener.mu.
type longHeadLimit struct {
	max   int // 0: no limit
	inUse int // connections that hold a permit
}

// acquireLongHead takes a permit if the head that is being received is long, and reports whether the head may be received further. A
// connection holds at most one permit, until it has no request any more. listener.mu is held.
func (c *clientConn) acquireLongHead() bool {
	limit := &c.listener.longHeads
	if limit.max == 0 || c.headScanner.takeLongestHead() <= freeHeadBytes || c.hasLongHead {
		return true
	}
	if limit.inUse >= limit.max {
		return false
	}
	limit.inUse++
	c.hasLongHead = true
	return true
}

// releaseLongHead gives back the connection's permit, if it has one. listener.mu is held.
func (c *clientConn) releaseLongHead() {
	if c.hasLongHead {
		c.hasLongHead = false
		c.listener.longHeads.inUse--
	}
}
