package body

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// The budget must count memory for as long as the process holds it, and no longer: users of Allocate don't release anything.
func TestAllocatedMemoryIsGrantedUntilItIsCollected(t *testing.T) {
	pool := NewMemoryPool(64 << 10)
	held := make([][]byte, 4)
	for i := range held {
		content, err := pool.Allocate(t.Context(), 16<<10)
		if err != nil {
			t.Fatal(err)
		}
		held[i] = content
	}
	short, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if _, err := pool.Allocate(short, 16<<10); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("with all memory held an allocation returned %v, want that its context ended", err)
	}
	runtime.KeepAlive(held)
	clear(held)
	ctx, cancel := context.WithTimeout(t.Context(), testpeer.Timeout)
	defer cancel()
	for range 20 { // five times the budget; nobody uses a slice for long
		if _, err := pool.Allocate(ctx, 16<<10); err != nil {
			t.Fatalf("after the slices were dropped: %v", err)
		}
	}
	if _, err := pool.Allocate(ctx, 65<<10); !errors.Is(err, ErrExceedsMemory) {
		t.Errorf("an allocation of more than the budget returned %v, want ErrExceedsMemory", err)
	}
	testpeer.Eventually(t, "all memory is free again", func() bool {
		runtime.GC()
		used, waiting := pool.InUse()
		return used == 0 && waiting == 0
	})
}
