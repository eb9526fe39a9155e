package fake

import (
	"sync"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Recorder records the events of a simulated day as a timeline. It is safe for concurrent use.
type Recorder struct {
	start     time.Time
	maxEvents int // largest number of events that the recorder keeps; further events are dropped

	mu      sync.Mutex
	events  []invariant.Event
	dropped int // number of events that were dropped, because the recorder was full or Take had ended the recording
}

// NewRecorder returns a recorder of a timeline that begins at start. The recorder keeps at most maxEvents events. It drops and
// counts further events.
func NewRecorder(start time.Time, maxEvents int) *Recorder {
	return &Recorder{start: start, maxEvents: maxEvents}
}

// Now returns the time since the start of the timeline, by the monotonic clock.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Add records an event. If e.At is 0, Add sets it to the present time since the start of the timeline.
func (r *Recorder) Add(e invariant.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 { // the clock is read while the lock is held, so that events are in the order of their instants
		e.At = r.Now()
	}
	if len(r.events) >= r.maxEvents {
		r.dropped++
		return
	}
	r.events = append(r.events, e)
}

// Events returns the events recorded so far and the number of dropped events. The slice must not be written to.
func (r *Recorder) Events() (events []invariant.Event, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[:len(r.events):len(r.events)], r.dropped
}

// Take ends the recording and returns the events and the number of dropped events. The slice belongs to the caller. Later
// events are dropped.
func (r *Recorder) Take() (events []invariant.Event, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	events, dropped = r.events, r.dropped
	r.events, r.maxEvents = nil, 0
	return events, dropped
}
