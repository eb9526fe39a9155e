// Package fake has servers of our own that stand in for a platform on loopback: nodes, the discovery agent of each
// sidecar, the front layer and callers. They speak the protocol's published form, have faults that can be switched on,
// and write down what they see. The daemon never imports it.
package fake

import (
	"sync"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Recorder keeps the timeline of a day. It is safe for concurrent use.
type Recorder struct {
	start     time.Time
	maxEvents int

	mu      sync.Mutex
	events  []invariant.Event
	dropped int
}

// NewRecorder starts a timeline that holds most events; what comes beyond is counted only.
func NewRecorder(start time.Time, most int) *Recorder {
	return &Recorder{start: start, maxEvents: most}
}

// Now is the time since the start, monotonic.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add notes an event, at this instant unless it names another.
func (r *Recorder) Add(e invariant.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 { // under the lock: the order of events is that of their instants
		e.At = r.Now()
	}
	if len(r.events) >= r.maxEvents {
		r.dropped++
		return
	}
	r.events = append(r.events, e)
}

// Events is the timeline so far, and how many events had no room. The slice must not be written to.
func (r *Recorder) Events() (events []invariant.Event, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[:len(r.events):len(r.events)], r.dropped
}

// Take is Events for good: the timeline is the caller's, and nothing is noted any more.
func (r *Recorder) Take() (events []invariant.Event, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events, lost = r.events, r.dropped
	r.events, r.maxEvents = nil, 0
	return events, lost
}

// Job is the work of one request, drawn ahead: at its own tier, and the calls that it makes to the next, in turn.
type Job struct {
	Work  time.Duration // on a core at yardstick speed
	Wait  time.Duration // on others: holds a slot but no core
	Calls []*Job
}

// TotalWork is the work in the whole chain.
func (j *Job) TotalWork() time.Duration {
	sum := j.Work
	for _, c := range j.Calls {
		sum += c.TotalWork()
	}
	return sum
}

// registeredRequest is what nodes know of a request that somebody has asked for.
type registeredRequest struct {
	job   *Job
	class int
	key   string
}

// Registry knows every request that was asked for, by its id. Ids are kept to the end of the day, since a late attempt must
// still be known; the schedule bounds how many there are. It is safe for concurrent use.
type Registry struct{ requests sync.Map }

func (d *Registry) register(id string, t registeredRequest) { d.requests.Store(id, t) }

func (d *Registry) lookup(id string) (registeredRequest, bool) {
	t, ok := d.requests.Load(id)
	if !ok {
		return registeredRequest{}, false
	}
	return t.(registeredRequest), true
}

// Class is a class of requests as callers and nodes use it.
type Class struct {
	Name     string
	Effect   invariant.Effect
	Window   time.Duration // for keyed ones
	Deadline time.Duration
}

// semaphore hands out places in the order asked for, and has a bounded queue.
type semaphore struct {
	mu         sync.Mutex
	free       int
	maxWaiting int // may wait
	queue      []chan struct{}
}

// acquire waits for a place. It is false at once where the queue is full, and when done closes first.
func (f *semaphore) acquire(done <-chan struct{}) bool {
	f.mu.Lock()
	if f.free > 0 {
		f.free--
		f.mu.Unlock()
		return true
	}
	if len(f.queue) >= f.maxWaiting {
		f.mu.Unlock()
		return false
	}
	mine := make(chan struct{})
	f.queue = append(f.queue, mine)
	f.mu.Unlock()
	select {
	case <-mine:
		return true
	case <-done:
		return false
	}
}

func (f *semaphore) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queue) > 0 {
		close(f.queue[0])
		f.queue = f.queue[1:]
		return
	}
	f.free++
}

// sleep waits, or is false when done closes first.
func sleep(d time.Duration, done <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-done:
		return false
	}
}
