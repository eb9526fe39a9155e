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
	pace         Pace
	credit       time.Duration
	lastDeadline time.Time // the limit of time that is set on the connection
}

// NewMeter begins with the whole of Idle in hand.
func NewMeter(p Pace) Meter { return Meter{pace: p, credit: p.Idle} }

// MaxWait is how long to wait for the next byte at most; 0: the peer is too slow.
func (m *Meter) MaxWait() time.Duration {
	if m.pace.Rate <= 0 {
		return m.pace.Idle
	}
	return max(m.credit, 0)
}

// deadlineSlack is the part of Wait by which a limit that is set may fall short of it: setting one costs as much as a small part of a
// body.
const deadlineSlack = 8

// Deadline is when a wait that begins now ends; anew is false where the limit set last will do.
func (m *Meter) Deadline(now time.Time) (at time.Time, anew bool) {
	wait := m.MaxWait()
	at = now.Add(wait)
	if short := at.Sub(m.lastDeadline); short >= 0 && short <= wait/deadlineSlack {
		return m.lastDeadline, false
	}
	m.lastDeadline = at
	return at, true
}

// Record says that n bytes came or went after a wait.
func (m *Meter) Record(n int, waited time.Duration) {
	if m.pace.Rate <= 0 {
		return
	}
	earned := time.Duration(float64(n) / float64(m.pace.Rate) * float64(time.Second))
	m.credit = min(m.credit-waited+earned, m.pace.Idle)
}
