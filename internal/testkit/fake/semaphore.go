package fake

import (
	"sync"
	"time"
)

// semaphore grants slots in the order of the acquisitions, which wait in a bounded queue.
type semaphore struct {
	mu         sync.Mutex
	free       int
	maxWaiting int
	waiters    []chan struct{}
}

// acquire waits for a slot. It is false at once where the queue is full, and when done closes first.
func (s *semaphore) acquire(done <-chan struct{}) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	if len(s.waiters) >= s.maxWaiting {
		s.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	s.waiters = append(s.waiters, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-done: // everything that waits here ends with done, so a slot granted meanwhile is not missed
		return false
	}
}

// release passes a slot to the first that waits, or frees it.
func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		return
	}
	s.free++
}

// sleep waits for d, or is false when done closes first.
func sleep(d time.Duration, done <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
