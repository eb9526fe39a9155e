package body

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// BufferSize is the size in bytes of a streaming body's buffer. A body that fits into it is buffered completely instead.
const BufferSize = 64 << 10

// bufferedReserveDivisor is the ratio of a MemoryPool's bytes to the bytes reserved for buffered bodies. Without the reserve,
// streaming bodies, which hold their memory for longer, could take all of it.
const bufferedReserveDivisor = 4

// ErrExceedsMemory is returned for a request for more memory than the MemoryPool can ever grant.
var ErrExceedsMemory = errors.New("more than the memory for bodies")

// collectedOverhead is the memory that a body takes whose memory the runtime collects, as a multiple of its length.
const collectedOverhead = 2

// charged returns the request with the bytes that the budget is charged for it: those of a body whose memory is collected count twice, but
// for no more than the budget has.
func (p *MemoryPool) charged(s MemoryRequest) MemoryRequest {
	if s.IsCollected {
		s.Bytes = max(s.Bytes, min(collectedOverhead*s.Bytes, p.total))
	}
	return s
}

// bufferRequest is the request for the memory that one streaming body needs: a buffer of BufferSize bytes.
var bufferRequest = MemoryRequest{Bytes: BufferSize, IsStreaming: true}

// MemoryPool limits the memory that all bodies of a process hold together. It is safe for concurrent use.
type MemoryPool struct {
	mu      sync.Mutex
	total   int // bytes that the budget divides; never changes
	budget  *MemoryBudget
	waiters map[int]chan struct{} // channels by the ID of a queued request, each closed when its request is granted
	// collectedAt is when the pool has caused a garbage collection for the last time.
	collectedAt time.Time
	buffers     sync.Pool // unused buffers, each a *[]byte of BufferSize bytes
}

// NewMemoryPool returns a MemoryPool of total bytes, of which a quarter is reserved for buffered bodies.
func NewMemoryPool(total int) *MemoryPool {
	p := &MemoryPool{total: total, budget: NewMemoryBudget(total, total/bufferedReserveDivisor), waiters: map[int]chan struct{}{}}
	p.buffers.New = func() any {
		b := make([]byte, BufferSize)
		return &b
	}
	return p
}

// Acquire acquires memory for a body. It waits until the memory is granted, and returns ctx's error if ctx ends first. Free
// memory is granted even if ctx has already ended. The error wraps ErrExceedsMemory for a request that can never be granted.
// Acquired memory must be released with Release exactly once.
func (p *MemoryPool) Acquire(ctx context.Context, s MemoryRequest) error {
	bytes := s.Bytes
	s = p.charged(s)
	p.mu.Lock()
	if !p.budget.Fits(s) {
		p.mu.Unlock()
		return fmt.Errorf("%w: %d bytes", ErrExceedsMemory, bytes)
	}
	id, isGranted := p.budget.Acquire(s)
	if isGranted {
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	p.waiters[id] = granted
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	grantedIDs, ok := p.budget.Cancel(id)
	if !ok { // the request was granted before it could be canceled
		return nil
	}
	delete(p.waiters, id)
	p.notifyGranted(grantedIDs)
	return ctx.Err()
}

// Release releases memory that Acquire granted.
func (p *MemoryPool) Release(s MemoryRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyGranted(p.budget.Release(p.charged(s)))
}

// notifyGranted wakes the goroutines whose requests were granted. p.mu is held.
func (p *MemoryPool) notifyGranted(ids []int) {
	for _, id := range ids {
		close(p.waiters[id])
		delete(p.waiters, id)
	}
}

// InUse returns how many bytes the pool has granted to bodies, and how many bodies are waiting for memory.
func (p *MemoryPool) InUse() (bytes, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes, _ = p.budget.InUse()
	return bytes, p.budget.Waiting()
}

// maxQueueFactor is how many bodies may wait for a buffer, as a multiple of how many can have one, before HasLongQueue reports so.
const maxQueueFactor = 2

// HasLongQueue reports whether so many bodies wait for memory that one more should not wait: each holds connections and goroutines
// meanwhile.
func (p *MemoryPool) HasLongQueue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Waiting() >= maxQueueFactor*max(p.total/BufferSize, 1)
}

// AcquireBuffer acquires a buffer of BufferSize bytes. It waits and fails as Acquire does. The returned reference, and each that
// Buffer.Retain derives from it, must be released when its holder does not use the bytes any more.
func (p *MemoryPool) AcquireBuffer(ctx context.Context) (*Buffer, error) {
	if err := p.Acquire(ctx, bufferRequest); err != nil {
		return nil, err
	}
	return newBuffer(p, p.buffers.Get().(*[]byte)), nil
}

// putBuffer takes back the bytes of a buffer to which no reference is left.
func (p *MemoryPool) putBuffer(bytes *[]byte) {
	p.buffers.Put(bytes)
	p.Release(bufferRequest)
}
