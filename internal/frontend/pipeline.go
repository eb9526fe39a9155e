package frontend

import (
	"sync"
	"time"
)

const (
	// minPipelineSpacing is the least time between the beginnings of two requests that were received behind another request of their
	// connection, on all connections together. Hundreds of clients that write many requests at once would otherwise keep the processor
	// busy, so that the requests of clients that wait for each response are not read in time.
	minPipelineSpacing = time.Millisecond
	// maxPipelineWait is the longest time for which such a request waits for others.
	maxPipelineWait = 300 * time.Millisecond
	// minReceivedBehind is how much earlier than the end of the previous response a request must have been received to count as one behind
	// it. A client may send its next request while the response before it is being finished here.
	minReceivedBehind = 5 * time.Millisecond
)

// pipelinePacer limits the rate at which pipelined requests are begun. It is safe for concurrent use.
type pipelinePacer struct {
	mu     sync.Mutex
	nextAt time.Time // earliest time at which the next pipelined request may begin
}

// reserve returns how long a pipelined request that is ready at the given time has to wait.
func (p *pipelinePacer) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextAt.Before(now) {
		p.nextAt = now
	}
	wait := p.nextAt.Sub(now)
	if wait > maxPipelineWait {
		return maxPipelineWait
	}
	p.nextAt = p.nextAt.Add(minPipelineSpacing)
	return wait
}

// await waits until a request that arrived on the connection at the given time may be begun.
func (p *pipelinePacer) await(c *clientConn, arrivedAt time.Time) {
	if c == nil || !c.isPipelined(arrivedAt) {
		return
	}
	if wait := p.reserve(time.Now()); wait > 0 {
		time.Sleep(wait)
	}
}

// isPipelined reports whether a request that arrived at the given time was received before the response to the previous one was finished.
func (c *clientConn) isPipelined(arrivedAt time.Time) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return !c.idleAt.IsZero() && arrivedAt.Add(minReceivedBehind).Before(c.idleAt)
}
