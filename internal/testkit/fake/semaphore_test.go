package fake

import (
	"sync"
	"testing"

	"pgregory.net/rapid"
)

func TestSemaphoreGrantsSlotsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := rapid.IntRange(1, 4).Draw(t, "free")
		maxWaiting := rapid.IntRange(0, 4).Draw(t, "maxWaiting")
		n := rapid.IntRange(1, 12).Draw(t, "n")
		s := &semaphore{free: free, maxWaiting: maxWaiting}
		granted := make(chan int, n)
		var all sync.WaitGroup
		rejected := 0
		for i := range n {
			s.mu.Lock()
			mustWait := s.free == 0
			hasRoom := len(s.waiters) < s.maxWaiting
			before := len(s.waiters)
			s.mu.Unlock()
			if mustWait && !hasRoom {
				if s.acquire(nil) {
					t.Fatal("more waiting than allowed")
				}
				rejected++
				continue
			}
			all.Go(func() {
				if s.acquire(nil) {
					granted <- i
				}
			})
			for mustWait { // until it is queued, so that the order is known
				s.mu.Lock()
				isQueued := len(s.waiters) > before
				s.mu.Unlock()
				if isQueued {
					break
				}
			}
			if !mustWait {
				if <-granted != i {
					t.Fatal("a free slot is not granted at once")
				}
			}
		}
		last := -1
		for range min(n, free+maxWaiting) - min(n, free) {
			s.release()
			if i := <-granted; i < last {
				t.Fatalf("%d after %d", i, last)
			} else {
				last = i
			}
		}
		all.Wait()
		if rejected != max(n-free-maxWaiting, 0) {
			t.Fatalf("%d rejected", rejected)
		}
	})
}
