package hotrestart

import "time"

const (
	// endpointListTimeout is how long a successor waits for the complete endpoint list. Discovery on the same machine
	// responds at once or not at all.
	endpointListTimeout = 2 * time.Second
	// successorNoticeTime is when the older processes have polled, and so have left a successor its descriptors.
	successorNoticeTime = 3 * PollInterval / 2
	// minDrainTime is how long a superseded process lives at least, to serve again if its successor dies soon.
	minDrainTime = time.Second
)

// Phase is what a process does with connections.
type Phase int

// The phases, in their usual order. A draining process serves again when no newer process that is ready lives.
const (
	Starting Phase = iota // accepts none yet
	Serving               // accepts them
	Draining              // accepts none any more; those that are open are served
	Finished              // none is open any more: the process is to exit
)

// Lifecycle is the state machine of a process's phases. Instants are readings of one monotonic clock. It must not be used
// concurrently.
type Lifecycle struct {
	phase      Phase
	phaseSince time.Duration
}

// NewLifecycle returns a Lifecycle in phase Starting.
func NewLifecycle(now time.Duration) *Lifecycle { return &Lifecycle{phaseSince: now} }

// Phase returns the current phase.
func (l *Lifecycle) Phase() Phase { return l.phase }

// Update takes the result of a poll, whether the endpoint list is complete, and how many client connections are open. It
// reports whether the phase has changed.
func (l *Lifecycle) Update(now time.Duration, v View, isListComplete bool, connections int) bool {
	next := l.next(now-l.phaseSince, v, isListComplete, connections)
	if next == l.phase {
		return false
	}
	l.phase, l.phaseSince = next, now
	return true
}

// next returns the phase that follows, inPhase after the current one began.
func (l *Lifecycle) next(inPhase time.Duration, v View, isListComplete bool, connections int) Phase {
	switch l.phase {
	case Starting:
		isReady := inPhase >= successorNoticeTime && isListComplete || inPhase >= endpointListTimeout
		if len(v.Others) == 0 || isReady {
			return Serving
		}
	case Serving:
		if v.Superseded {
			return Draining
		}
	case Draining:
		if !v.Superseded {
			return Serving
		}
		if connections == 0 && inPhase >= minDrainTime {
			return Finished
		}
	}
	return l.phase
}
