package body

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// WindowSize is the size in bytes of a streaming body's buffer. A body that fits into it is short and is buffered
// completely.
const WindowSize = 64 << 10

// shortReserveDivisor reserves a quarter of a MemoryPool for short bodies, since long ones hold their memory for longer.
const shortReserveDivisor = 4

// ErrExceedsMemory is returned for a size that the MemoryPool can never grant.
var ErrExceedsMemory = errors.New("more than the memory for bodies")

var windowSize = Size{Bytes: WindowSize, Long: true}

// MemoryPool is the memory for bodies of a process. It is safe for concurrent use.
type MemoryPool struct {
	mu      sync.Mutex
	budget  *MemoryBudget
	granted map[int]chan struct{} // by id of a request that waits; closed when it is granted
	windows sync.Pool             // of *[]byte, each WindowSize bytes long
}

// NewMemoryPool returns a MemoryPool of total bytes, of which a quarter is reserved for short bodies.
func NewMemoryPool(total int) *MemoryPool {
	p := &MemoryPool{budget: NewMemoryBudget(total, total/shortReserveDivisor), granted: map[int]chan struct{}{}}
	p.windows.New = func() any {
		b := make([]byte, WindowSize)
		return &b
	}
	return p
}

// Acquire acquires memory for a body. It waits for its turn until ctx ends, and then returns ctx's error; memory that is
// free is granted even if ctx has ended. A size that can never be granted is ErrExceedsMemory, wrapped. What is acquired must
// be released with Release exactly once.
func (p *MemoryPool) Acquire(ctx context.Context, s Size) error {
	p.mu.Lock()
	if !p.budget.Fits(s) {
		p.mu.Unlock()
		return fmt.Errorf("%w: %d bytes", ErrExceedsMemory, s.Bytes)
	}
	id, isGranted := p.budget.Acquire(s)
	if isGranted {
		p.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	p.granted[id] = granted
	p.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	others, ok := p.budget.Cancel(id)
	if !ok { // granted since ctx ended
		return nil
	}
	delete(p.granted, id)
	p.notify(others)
	return ctx.Err()
}

// Release releases what Acquire acquired.
func (p *MemoryPool) Release(s Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.budget.Release(s))
}

// notify wakes those whose requests were granted. p.mu is held.
func (p *MemoryPool) notify(ids []int) {
	for _, id := range ids {
		close(p.granted[id])
		delete(p.granted, id)
	}
}

// InUse returns how many bytes are acquired, and how many bodies wait for some.
func (p *MemoryPool) InUse() (bytes, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes, _ = p.budget.InUse()
	return bytes, p.budget.Waiting()
}

// AcquireWindow acquires a buffer of WindowSize bytes, with Acquire's waiting and errors. It must be released with
// ReleaseWindow exactly once, when nobody uses it any more.
func (p *MemoryPool) AcquireWindow(ctx context.Context) (*[]byte, error) {
	if err := p.Acquire(ctx, windowSize); err != nil {
		return nil, err
	}
	return p.windows.Get().(*[]byte), nil
}

// ReleaseWindow releases a buffer.
func (p *MemoryPool) ReleaseWindow(w *[]byte) {
	p.windows.Put(w)
	p.Release(windowSize)
}
