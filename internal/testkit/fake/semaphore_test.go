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
		s := &semaphore{freeSlots: free, maxWaiting: maxWaiting}
		granted := make(chan int, n)
		var acquisitions sync.WaitGroup
		rejected := 0
		for i := range n {
			s.mu.Lock()
			mustWait := s.freeSlots == 0
			canWait := len(s.waiters) < s.maxWaiting
			waitersBefore := len(s.waiters)
			s.mu.Unlock()
			if mustWait && !canWait {
				if s.acquire(nil) {
					t.Fatalf("acquisition %d got a slot though the queue was full", i)
				}
				rejected++
				continue
			}
			acquisitions.Go(func() {
				if s.acquire(nil) {
					granted <- i
				}
			})
			for mustWait { // waits until the goroutine is in the queue, so that the order of the queue is known
				s.mu.Lock()
				isQueued := len(s.waiters) > waitersBefore
				s.mu.Unlock()
				if isQueued {
					break
				}
			}
			if !mustWait {
				if got := <-granted; got != i {
					t.Fatalf("the free slot was granted to acquisition %d, want %d", got, i)
				}
			}
		}
		lastGranted := -1
		for range min(n, free+maxWaiting) - min(n, free) {
			s.release()
			if i := <-granted; i < lastGranted {
				t.Fatalf("acquisition %d got a slot after acquisition %d, want the order of the calls", i, lastGranted)
			} else {
				lastGranted = i
			}
		}
		acquisitions.Wait()
		if rejected != max(n-free-maxWaiting, 0) {
			t.Fatalf("%d acquisitions rejected, want %d", rejected, max(n-free-maxWaiting, 0))
		}
	})
}
