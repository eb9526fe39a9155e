package hotrestart

import "time"

const (
	// endpointListTimeout is how long a newcomer waits for the whole list. Discovery on this machine answers at once or is silent.
	endpointListTimeout = 2 * time.Second
	// successorNoticeTime is by when those who serve have seen a newcomer, and left it its descriptors.
	successorNoticeTime = 3 * PollInterval / 2
	// minDrainTime is for how long one that was taken over from stays at least, to take over again if the newer one dies young.
	minDrainTime = time.Second
)

// Phase is what a process does with callers.
type Phase int

// The phases.
const (
	Starting Phase = iota // takes none yet
	Serving               // takes them
	Draining              // takes none any more, unless the newer ones die
	Finished              // has answered all, and is to end
)

// Lifecycle is a process's part in a hand-over, from its start on. Instants are readings of any clock that never runs backwards.
type Lifecycle struct {
	phase      Phase
	phaseSince time.Duration
}

// NewLifecycle begins as Coming.
func NewLifecycle(now time.Duration) *Lifecycle { return &Lifecycle{phaseSince: now} }

// Phase is what the process does now.
func (p *Lifecycle) Phase() Phase { return p.phase }

// Update takes what was seen: of the others, whether the whole list has come, and how many callers are connected. It tells
// whether the phase has changed.
func (p *Lifecycle) Update(now time.Duration, v View, listed bool, callers int) bool {
	was, stays := p.phase, now-p.phaseSince
	switch p.phase {
	case Starting:
		if len(v.Others) == 0 || stays >= successorNoticeTime && listed || stays >= endpointListTimeout {
			p.phase = Serving
		}
	case Serving:
		if v.Superseded {
			p.phase = Draining
		}
	case Draining:
		switch {
		case !v.Superseded:
			p.phase = Serving
		case callers == 0 && stays >= minDrainTime:
			p.phase = Finished
		}
	}
	if p.phase != was {
		p.phaseSince = now
	}
	return p.phase != was
}
