package hotrestart

import "time"

const (
	// listTime is how long a newcomer waits for the whole list. Discovery on this machine answers at once or is silent.
	listTime = 2 * time.Second
	// noticed is by when those who serve have seen a newcomer, and left it its descriptors.
	noticed = 3 * LookEvery / 2
	// settle is for how long one that was taken over from stays at least, to take over again if the newer one dies young.
	settle = time.Second
)

// Phase is what a process does with callers.
type Phase int

// The phases.
const (
	Coming  Phase = iota // takes none yet
	Serving              // takes them
	Leaving              // takes none any more, unless the newer ones die
	Gone                 // has answered all, and is to end
)

// Part is a process's part in a hand-over, from its start on. Instants are readings of any clock that never runs backwards.
type Part struct {
	phase Phase
	since time.Duration
}

// NewPart begins as Coming.
func NewPart(now time.Duration) *Part { return &Part{since: now} }

// Phase is what the process does now.
func (p *Part) Phase() Phase { return p.phase }

// Look takes what was seen: of the others, whether the whole list has come, and how many callers are connected. It tells
// whether the phase has changed.
func (p *Part) Look(now time.Duration, v View, listed bool, callers int) bool {
	was, stays := p.phase, now-p.since
	switch p.phase {
	case Coming:
		if len(v.Others) == 0 || stays >= noticed && listed || stays >= listTime {
			p.phase = Serving
		}
	case Serving:
		if v.Superseded {
			p.phase = Leaving
		}
	case Leaving:
		switch {
		case !v.Superseded:
			p.phase = Serving
		case callers == 0 && stays >= settle:
			p.phase = Gone
		}
	}
	if p.phase != was {
		p.since = now
	}
	return p.phase != was
}
