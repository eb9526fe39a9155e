package invariant

import "time"

// sidecarState holds what the events applied so far say about the current process of a sidecar. A restart of the sidecar
// replaces its state by an empty one.
type sidecarState struct {
	sigtermSent   bool
	sigtermAt     time.Duration // instant at which the process was sent SIGTERM; valid if sigtermSent is set
	sigkillSent   bool
	isPaused      bool                     // whether the process is suspended by SIGSTOP
	resumedAt     time.Duration            // end of the process's latest pause; 0: it was never paused
	notifications map[string]*notification // notifications that a node is draining or gone, by node ID
	knownStarts   map[string]time.Duration // start time of each node in the latest notification that the node is ready, by node ID
}

func newSidecarState() *sidecarState {
	return &sidecarState{notifications: map[string]*notification{}, knownStarts: map[string]time.Duration{}}
}

// applyProcessEvent records a change of a sidecar's process. A crash breaks rule 1, that every accepted request gets a
// final response.
func (c *checker) applyProcessEvent(e *Event) {
	switch e.Kind {
	case SidecarStarted:
		c.sidecars[e.Sidecar] = newSidecarState()
	case SigtermSent:
		sidecar := c.sidecar(e.Sidecar)
		sidecar.sigtermSent, sidecar.sigtermAt = true, e.At
	case SidecarKilled:
		c.sidecar(e.Sidecar).sigkillSent = true
	case SidecarPaused:
		c.sidecar(e.Sidecar).isPaused = true
	case SidecarResumed:
		c.applySidecarResumed(e)
	case SidecarExited:
		if e.HasCrashed {
			c.report.Crashes++
			c.addViolation(ruleFinalResponse, e, "the sidecar's process ended by itself")
		}
	}
}

// applySidecarResumed ends a pause. Notifications that were sent during the pause count as received at its end.
func (c *checker) applySidecarResumed(e *Event) {
	sidecar := c.sidecar(e.Sidecar)
	sidecar.isPaused, sidecar.resumedAt = false, e.At
	for _, n := range sidecar.notifications {
		if n.at > e.At-e.Duration {
			n.at = e.At
		}
	}
}

// sidecarWasPaused reports whether the process that accepted the request was paused at some time since the request was
// sent. The response may then be late, but there must still be only one response, and the request must not take effect twice.
func (r *requestState) sidecarWasPaused() bool {
	return r.process != nil && (r.process.isPaused || r.process.resumedAt > r.sentEvent.At)
}

// mayBeLost reports whether a request may remain without a response: its sidecar was killed without a SIGTERM, or was killed
// after SIGTERM and had accepted the request later than SigtermGrace after SIGTERM.
func (c *checker) mayBeLost(request *requestState) bool {
	process := request.process
	switch {
	case process == nil:
		return false
	case process.sigkillSent && !process.sigtermSent:
		return true
	case process.sigtermSent:
		return process.sigkillSent && request.sentEvent.At > process.sigtermAt+c.rules.SigtermGrace
	}
	return false
}
