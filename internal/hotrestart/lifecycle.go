package hotrestart

import "time"

const (
	// endpointListTimeout is how long a starting process waits for complete endpoint lists from the discovery service. A short
	// wait is enough, since the service runs on the same machine, and responds at once or not at all.
	endpointListTimeout = 2 * time.Second
	// successorMinStartingTime is the minimum time for which a successor stays in phase Starting. Within this time the older
	// processes poll and lower their descriptor limits, so that descriptors are free for the successor.
	successorMinStartingTime = 3 * PollInterval / 2
	// minDrainTime is the minimum time for which a process keeps running after its successor has taken over, so that it can serve
	// again if the successor dies soon.
	minDrainTime = time.Second
)

// Phase says how a process treats client connections.
type Phase int

// The phases in their usual order. A draining process returns to Serving when no newer process is alive and ready.
const (
	Starting Phase = iota // accepts no connections yet
	Serving               // accepts connections
	Draining              // accepts no new connections and serves those that are open
	Finished              // has no open connections any more and must exit
)

// Lifecycle is the state machine of a process's phases. Points in time are given as durations on one monotonic clock. A
// Lifecycle must not be used concurrently.
type Lifecycle struct {
	phase          Phase
	phaseStartedAt time.Duration // clock reading at which the current phase began
}

// NewLifecycle returns a Lifecycle in phase Starting, which begins at now.
func NewLifecycle(now time.Duration) *Lifecycle { return &Lifecycle{phaseStartedAt: now} }

// Phase returns the phase that the last Update chose, or Starting before the first Update.
func (l *Lifecycle) Phase() Phase { return l.phase }

// Update moves to the next phase if it is due, and reports whether the phase has changed. v is the result of the latest poll,
// hasEndpointLists is whether all endpoint lists are complete, and connections is how many client connections are open.
func (l *Lifecycle) Update(now time.Duration, v View, hasEndpointLists bool, connections int) bool {
	next := l.nextPhase(now-l.phaseStartedAt, v, hasEndpointLists, connections)
	if next == l.phase {
		return false
	}
	l.phase, l.phaseStartedAt = next, now
	return true
}

// nextPhase returns the phase that follows the current one, which has lasted timeInPhase, or the current one if it goes on.
func (l *Lifecycle) nextPhase(timeInPhase time.Duration, v View, hasEndpointLists bool, connections int) Phase {
	switch l.phase {
	case Starting:
		isReady := timeInPhase >= successorMinStartingTime && hasEndpointLists || timeInPhase >= endpointListTimeout
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
		if connections == 0 && timeInPhase >= minDrainTime {
			return Finished
		}
	}
	return l.phase
}
