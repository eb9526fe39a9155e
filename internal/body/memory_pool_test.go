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
	if err := p.Acquire(ctx, MemoryRequest{Bytes: BufferSize}); err != nil {
		t.Errorf("buffered body besides three streaming ones: error %v, want none", err)
	}
	if err := p.Acquire(ctx, MemoryRequest{Bytes: 4*BufferSize + 1}); !errors.Is(err, ErrExceedsMemory) {
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

// The memory of a buffered body is collected only some time after the next body has got it, so both must fit.
func TestCollectedMemoryCountsTwice(t *testing.T) {
	p := NewMemoryPool(10)
	ctx := canceledContext(t)
	first, second := MemoryRequest{Bytes: 3, IsCollected: true}, MemoryRequest{Bytes: 3, IsCollected: true}
	if err := p.Acquire(ctx, first); err != nil {
		t.Fatal(err)
	}
	if err := p.Acquire(ctx, second); !errors.Is(err, context.Canceled) {
		t.Errorf("acquiring 3 of 10 bytes twice: error %v, want %v", err, context.Canceled)
	}
	p.Release(first)
	whole := MemoryRequest{Bytes: 10, IsCollected: true}
	if err := p.Acquire(ctx, whole); err != nil {
		t.Errorf("acquiring all bytes: error %v, want none", err)
	}
	p.Release(whole)
	if inUse, _ := p.InUse(); inUse != 0 {
		t.Errorf("%d bytes are in use, want 0", inUse)
	}
}
