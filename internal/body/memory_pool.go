package body

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Window is the size in bytes of a streaming body's buffer. A body that fits into it is short and is buffered
// completely.
const Window = 64 << 10

// shortReserveDivisor reserves a quarter of a Pool for short bodies, since long ones hold their memory for longer.
const shortReserveDivisor = 4

// ErrNever is returned for a size that the Pool can never grant.
var ErrNever = errors.New("more than the memory for bodies")

var windowSize = Size{Bytes: Window, Long: true}

// Pool is the memory for bodies of a process. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	budget  *MemoryBudget
	granted map[int]chan struct{} // by id of a request that waits; closed when it is granted
	windows sync.Pool             // of *[]byte, each Window bytes long
}

// NewPool returns a Pool of total bytes, of which a quarter is reserved for short bodies.
func NewPool(total int) *Pool {
	p := &Pool{budget: NewMemoryBudget(total, total/shortReserveDivisor), granted: map[int]chan struct{}{}}
	p.windows.New = func() any {
		b := make([]byte, Window)
		return &b
	}
	return p
}

// Take acquires memory for a body. It waits for its turn until ctx ends, and then returns ctx's error; memory that is
// free is granted even if ctx has ended. A size that can never be granted is ErrNever, wrapped. What is acquired must
// be released with Give exactly once.
func (p *Pool) Take(ctx context.Context, s Size) error {
	p.mu.Lock()
	if !p.budget.Fits(s) {
		p.mu.Unlock()
		return fmt.Errorf("%w: %d bytes", ErrNever, s.Bytes)
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

// Give releases what Take acquired.
func (p *Pool) Give(s Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.budget.Release(s))
}

// notify wakes those whose requests were granted. p.mu is held.
func (p *Pool) notify(ids []int) {
	for _, id := range ids {
		close(p.granted[id])
		delete(p.granted, id)
	}
}

// Held returns how many bytes are acquired, and how many bodies wait for some.
func (p *Pool) Held() (bytes, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes, _ = p.budget.InUse()
	return bytes, p.budget.Waiting()
}

// AcquireWindow acquires a buffer of Window bytes, with Take's waiting and errors. It must be released with
// ReleaseWindow exactly once, when nobody uses it any more.
func (p *Pool) AcquireWindow(ctx context.Context) (*[]byte, error) {
	if err := p.Take(ctx, windowSize); err != nil {
		return nil, err
	}
	return p.windows.Get().(*[]byte), nil
}

// ReleaseWindow releases a buffer.
func (p *Pool) ReleaseWindow(w *[]byte) {
	p.windows.Put(w)
	p.Give(windowSize)
}
