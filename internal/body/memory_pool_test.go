package body

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

func TestLongBodiesLeaveMemoryForShortOnes(t *testing.T) {
	p := NewMemoryPool(4 * WindowSize)
	ctx := t.Context()
	for range 3 {
		if _, err := p.AcquireWindow(ctx); err != nil {
			t.Fatal(err)
		}
	}
	soon, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if _, err := p.AcquireWindow(soon); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("a fourth window of four: %v", err)
	}
	if err := p.Acquire(ctx, Size{WindowSize, false}); err != nil {
		t.Errorf("a short body besides: %v", err)
	}
	if err := p.Acquire(ctx, Size{4*WindowSize + 1, false}); !errors.Is(err, ErrExceedsMemory) {
		t.Errorf("more than the total: %v", err)
	}
}

func TestPoolLeaksNothingWhenWaitersTimeOut(t *testing.T) {
	p := NewMemoryPool(4 * WindowSize)
	var users sync.WaitGroup
	for i := range 64 {
		users.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i)*100*time.Microsecond)
			defer cancel()
			if w, err := p.AcquireWindow(ctx); err == nil {
				time.Sleep(time.Millisecond)
				p.ReleaseWindow(w)
			}
		})
	}
	users.Wait()
	if held, waiting := p.InUse(); held != 0 || waiting != 0 || len(p.granted) != 0 {
		t.Errorf("%d bytes are held, %d wait, %d requests are kept", held, waiting, len(p.granted))
	}
}
