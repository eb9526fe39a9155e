package invariant

import "time"

// sidecarState is what is known of one process of a sidecar. A restart begins a new one.
type sidecarState struct {
	sigtermSent   bool
	sigtermAt     time.Duration
	sigkillSent   bool
	isPaused      bool
	resumedAt     time.Duration            // the latest resumption; 0: none
	notifications map[string]*notification // of nodes that drain or are gone, by node
	knownStarts   map[string]time.Duration // the latest start that the process was notified of, by node
}

func newSidecarState() *sidecarState {
	return &sidecarState{notifications: map[string]*notification{}, knownStarts: map[string]time.Duration{}}
}

// applySidecarProcess records what became of a sidecar's process. A crash breaks rule 1.
func (c *checker) applySidecarProcess(e *Event) {
	switch e.Kind {
	case SidecarStarted:
		c.sidecars[e.Sidecar] = newSidecarState()
	case TermSent:
		sidecar := c.sidecar(e.Sidecar)
		sidecar.sigtermSent, sidecar.sigtermAt = true, e.At
	case SidecarKilled:
		c.sidecar(e.Sidecar).sigkillSent = true
	case Paused:
		c.sidecar(e.Sidecar).isPaused = true
	case Resumed:
		c.applySidecarResumed(e)
	case SidecarExited:
		if e.Crash {
			c.report.Crashes++
			c.addViolation(ruleFinalResponse, e, "the sidecar's process ended by itself")
		}
	}
}

// applySidecarResumed counts notifications that came during a pause as received at its end.
func (c *checker) applySidecarResumed(e *Event) {
	sidecar := c.sidecar(e.Sidecar)
	sidecar.isPaused, sidecar.resumedAt = false, e.At
	for _, n := range sidecar.notifications {
		if n.at > e.At-e.Duration {
			n.at = e.At
		}
	}
}

// sidecarWasPaused reports whether the process that accepted the request was paused for a part of the request's time. Its
// response may then be late; there must still be only one, and nothing may take effect twice.
func (r *requestState) sidecarWasPaused() bool {
	return r.process != nil && (r.process.isPaused || r.process.resumedAt > r.sent.At)
}

// mayBeLost reports whether a request may be lost with its sidecar: the process was killed outright, or it accepted the
// request so long after SIGTERM that it need not answer any more.
func (c *checker) mayBeLost(request *requestState) bool {
	process := request.process
	switch {
	case process == nil:
		return false
	case process.sigkillSent && !process.sigtermSent:
		return true
	case process.sigtermSent:
		return process.sigkillSent && request.sent.At > process.sigtermAt+c.rules.TermGrace
	}
	return false
}
