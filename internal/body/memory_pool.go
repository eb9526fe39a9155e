package body

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Window is how much of a long body is held: what fits into it is short, and is read whole.
const Window = 64 << 10

// ErrNever is a size that no Pool of this size ever grants.
var ErrNever = errors.New("more than the memory for bodies")

// Pool is the memory for bodies of a process. It is safe for concurrent use.
type Pool struct {
	mu      sync.Mutex
	budget  *MemoryBudget
	granted map[int]chan struct{} // closed when the ask is granted
	windows sync.Pool             // of *[]byte: idle ones are the collector's
}

// NewPool makes a Pool of so many bytes, of which a quarter is left to short bodies: long ones hold theirs for longer.
func NewPool(total int) *Pool {
	return &Pool{budget: NewMemoryBudget(total, total/4), granted: map[int]chan struct{}{}, windows: sync.Pool{New: func() any {
		b := make([]byte, Window)
		return &b
	}}}
}

// Take waits its turn for memory, for as long as ctx lasts. What is taken must be given back, once.
func (p *Pool) Take(ctx context.Context, s Size) error {
	p.mu.Lock()
	if !p.budget.Fits(s) {
		p.mu.Unlock()
		return fmt.Errorf("%w: %d bytes", ErrNever, s.Bytes)
	}
	id, ok := p.budget.Acquire(s)
	if ok {
		p.mu.Unlock()
		return nil
	}
	turn := make(chan struct{})
	p.granted[id] = turn
	p.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	others, waits := p.budget.Cancel(id)
	if !waits { // granted meanwhile
		return nil
	}
	delete(p.granted, id)
	p.notify(others)
	return ctx.Err()
}

// Give gives back what Take took.
func (p *Pool) Give(s Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify(p.budget.Release(s))
}

// notify is called with p.mu held.
func (p *Pool) notify(granted []int) {
	for _, id := range granted {
		close(p.granted[id])
		delete(p.granted, id)
	}
}

// Held tells how many bytes are taken, and how many bodies wait for some.
func (p *Pool) Held() (bytes, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	bytes, _ = p.budget.InUse()
	return bytes, p.budget.Waiting()
}

var windowSize = Size{Window, true}

// AcquireWindow takes a buffer of Window bytes. It must be given back with Return, once, when nobody uses it any more.
func (p *Pool) AcquireWindow(ctx context.Context) (*[]byte, error) {
	if err := p.Take(ctx, windowSize); err != nil {
		return nil, err
	}
	return p.windows.Get().(*[]byte), nil
}

// ReleaseWindow gives a buffer back.
func (p *Pool) ReleaseWindow(w *[]byte) {
	p.windows.Put(w)
	p.Give(windowSize)
}
