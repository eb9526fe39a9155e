package body

import "time"

// Pace is the least that a peer must do for a flow to go on.
type Pace struct {
	Idle time.Duration // the longest wait for its next byte, and the time that it may be behind Rate
	Rate int64         // bytes a second; 0: none is asked
}

// Meter holds a peer to a Pace, by the times in which it was waited for: what the other side of a flow takes is not
// charged. It is a bucket of time (a leaky bucket as a meter, ITU-T I.371): waiting drains it, bytes fill it.
type Meter struct {
	pace   Pace
	credit time.Duration
}

// NewMeter begins with the whole of Idle in hand.
func NewMeter(p Pace) Meter { return Meter{p, p.Idle} }

// Wait is how long to wait for the next byte at most; 0: the peer is too slow.
func (m *Meter) Wait() time.Duration {
	if m.pace.Rate <= 0 {
		return m.pace.Idle
	}
	return max(m.credit, 0)
}

// Moved says that n bytes came or went after a wait.
func (m *Meter) Moved(n int, waited time.Duration) {
	if m.pace.Rate <= 0 {
		return
	}
	earned := time.Duration(float64(n) / float64(m.pace.Rate) * float64(time.Second))
	m.credit = min(m.credit-waited+earned, m.pace.Idle)
}
