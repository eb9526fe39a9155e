package body

import "time"

// MinimumRate is the minimum rate that a peer must keep for a body to go on.
type MinimumRate struct {
	// IdleTimeout is the longest wait for the peer's next byte, and the time by which it may fall behind BytesPerSecond.
	IdleTimeout time.Duration
	// BytesPerSecond is in bytes a second; 0 means that only IdleTimeout counts.
	BytesPerSecond int64
}

// Meter holds a peer to a MinimumRate. It counts only time in which the peer was waited for, so that the peer is not charged
// for the other side of a stream. It is a leaky bucket as a meter (ITU-T I.371), filled with time: waiting drains the
// bucket, and bytes fill it up to IdleTimeout. It has no clock and is not safe for concurrent use.
type Meter struct {
	pace         MinimumRate
	credit       time.Duration
	lastDeadline time.Time // the deadline that is set on the connection
}

// NewMeter returns a Meter whose bucket is full.
func NewMeter(p MinimumRate) Meter { return Meter{pace: p, credit: p.IdleTimeout} }

// MaxWait returns how long to wait for the peer's next byte at most; 0 means that the peer is too slow.
func (m *Meter) MaxWait() time.Duration {
	if m.pace.BytesPerSecond <= 0 {
		return m.pace.IdleTimeout
	}
	return max(m.credit, 0)
}

// deadlineSlackDivisor: a deadline may fall short of MaxWait by an eighth of it before it is set anew, since each
// setting costs as much as a small part of a body.
const deadlineSlackDivisor = 8

// MinWait returns the shortest wait that a deadline returned by Deadline allows now.
func (m *Meter) MinWait() time.Duration {
	return m.MaxWait() - m.MaxWait()/deadlineSlackDivisor
}

// Deadline returns when a wait that begins now must end. changed is false if the deadline that was returned last is
// still close enough, and need not be set again.
func (m *Meter) Deadline(now time.Time) (at time.Time, changed bool) {
	wait := m.MaxWait()
	at = now.Add(wait)
	if short := at.Sub(m.lastDeadline); short >= 0 && short <= wait/deadlineSlackDivisor {
		return m.lastDeadline, false
	}
	m.lastDeadline = at
	return at, true
}

// Record counts n bytes that were transferred after a wait for the peer.
func (m *Meter) Record(n int, waited time.Duration) {
	if m.pace.BytesPerSecond <= 0 {
		return
	}
	earned := time.Duration(float64(n) / float64(m.pace.BytesPerSecond) * float64(time.Second))
	m.credit = min(m.credit-waited+earned, m.pace.IdleTimeout)
}
