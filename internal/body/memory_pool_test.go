package body

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

func TestStreamingBodiesLeaveMemoryForBufferedOnes(t *testing.T) {
	p := NewMemoryPool(4 * BufferSize)
	ctx := t.Context()
	for range 3 {
		if _, err := p.AcquireBuffer(ctx); err != nil {
			t.Fatal(err)
		}
	}
	shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if _, err := p.AcquireBuffer(shortCtx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("fourth buffer from a pool of four: error %v, want %v", err, context.DeadlineExceeded)
	}
	if err := p.Acquire(ctx, MemoryRequest{BufferSize, false}); err != nil {
		t.Errorf("buffered body besides three streaming ones: error %v, want none", err)
	}
	if err := p.Acquire(ctx, MemoryRequest{4*BufferSize + 1, false}); !errors.Is(err, ErrExceedsMemory) {
		t.Errorf("more than the total: error %v, want %v", err, ErrExceedsMemory)
	}
}

func TestPoolLeaksNothingWhenWaitersTimeOut(t *testing.T) {
	p := NewMemoryPool(4 * BufferSize)
	var users sync.WaitGroup
	for i := range 64 {
		users.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*100*time.Microsecond)
			defer cancel()
			if b, err := p.AcquireBuffer(ctx); err == nil {
				time.Sleep(time.Millisecond)
				b.Release()
			}
		})
	}
	users.Wait()
	if inUse, waiting := p.InUse(); inUse != 0 || waiting != 0 || len(p.waiters) != 0 {
		t.Errorf("%d bytes in use, %d requests waiting, %d entries in waiters, want 0 of each", inUse, waiting, len(p.waiters))
	}
}
