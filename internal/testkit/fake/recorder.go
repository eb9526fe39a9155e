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

// NewRecorder starts a timeline that holds at most maxEvents events; further ones are only counted.
func NewRecorder(start time.Time, maxEvents int) *Recorder {
	return &Recorder{start: start, maxEvents: maxEvents}
}

// Now is the monotonic time since the start.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an event, at this instant unless the event has one.
func (r *Recorder) Add(e invariant.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 { // under the lock, so that the order of events is that of their instants
		e.At = r.Now()
	}
	if len(r.events) >= r.maxEvents {
		r.dropped++
		return
	}
	r.events = append(r.events, e)
}

// Events returns the timeline so far and the number of events beyond its bound. The slice must not be written to.
func (r *Recorder) Events() (events []invariant.Event, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[:len(r.events):len(r.events)], r.dropped
}

// Take is Events at the end of a day: the slice belongs to the caller, and no further event is recorded.
func (r *Recorder) Take() (events []invariant.Event, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events, dropped = r.events, r.dropped
	r.events, r.maxEvents = nil, 0
	return events, dropped
}
