package fake

import (
	"sync"
	"time"
)

// semaphore grants a number of slots to goroutines in the order in which they call acquire. The number of waiting goroutines
// is bounded.
type semaphore struct {
	mu         sync.Mutex
	freeSlots  int             // number of free slots
	maxWaiting int             // largest number of goroutines that may wait for a slot
	waiters    []chan struct{} // one channel for each waiting goroutine, in the order in which the goroutines called acquire; closed to grant a slot
}

// acquire waits for a slot and reports whether it got one. It returns false at once if maxWaiting goroutines wait already,
// and when done closes before a slot is granted.
func (s *semaphore) acquire(done <-chan struct{}) bool {
	s.mu.Lock()
	if s.freeSlots > 0 {
		s.freeSlots--
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
	case <-done: // a slot granted at the same time need not be released, since done ends all goroutines that use the semaphore
		return false
	}
}

// release passes the caller's slot to the goroutine that has waited longest, or frees the slot if none waits.
func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		return
	}
	s.freeSlots++
}

// sleep waits for d. It reports false if done is closed first.
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

// isClosed reports whether the channel done is closed, without waiting for it.
func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
