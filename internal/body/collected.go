package body

import (
	"context"
	"errors"
	"runtime"
	"time"
)

const (
	// collectWait is how long Allocate waits for memory before it causes a garbage collection: the budget may be charged for slices that
	// nobody uses any more.
	collectWait = 20 * time.Millisecond
	// minCollectInterval is the least time between two collections that a MemoryPool causes.
	minCollectInterval = 50 * time.Millisecond
)

// Allocate returns a slice of n bytes, n over 0, whose memory is granted until the garbage collector has freed it: users need not release
// it, and the budget counts what the process really holds. Allocate waits for free memory, and returns ctx's error if ctx ends first. The
// error wraps ErrExceedsMemory for more than the budget. The slice must not be grown.
func (p *MemoryPool) Allocate(ctx context.Context, n int) ([]byte, error) {
	request := MemoryRequest{Bytes: n}
	if err := p.acquireCollecting(ctx, request); err != nil {
		return nil, err
	}
	content := make([]byte, n)
	runtime.AddCleanup(&content[0], p.Release, request)
	return content, nil
}

// acquireCollecting is Acquire for memory that the garbage collector frees: while it waits, it causes collections.
func (p *MemoryPool) acquireCollecting(ctx context.Context, request MemoryRequest) error {
	for {
		waitCtx, cancel := context.WithTimeout(ctx, collectWait)
		err := p.Acquire(waitCtx, request)
		cancel()
		switch {
		case err == nil || errors.Is(err, ErrExceedsMemory):
			return err
		case ctx.Err() != nil:
			return ctx.Err()
		}
		p.collect()
	}
}

// collect causes a garbage collection, unless there was one a moment ago.
func (p *MemoryPool) collect() {
	p.mu.Lock()
	isDue := time.Since(p.collectedAt) >= minCollectInterval
	if isDue {
		p.collectedAt = time.Now()
	}
	p.mu.Unlock()
	if isDue {
		runtime.GC()
	}
}
