package body

import "time"

// MinimumRate is the rate that a peer must keep while it sends or receives a body.
type MinimumRate struct {
	// IdleTimeout is the maximum time without a byte from the peer, and the maximum time by which the peer may fall behind
	// BytesPerSecond.
	IdleTimeout time.Duration
	// BytesPerSecond is the minimum average rate of the body in bytes per second; 0 means that only IdleTimeout applies.
	BytesPerSecond int64
}

// Meter checks that a peer keeps a MinimumRate. It counts only the time spent waiting for this peer, so that a peer is not
// blamed for delays on the other side of a stream. It is a leaky bucket as a meter (ITU-T I.371) that holds credit as a time:
// waiting uses up credit, and each transferred byte adds the time that it takes at BytesPerSecond, up to a credit of
// IdleTimeout. A Meter reads no clock and is not safe for concurrent use.
type Meter struct {
	rate         MinimumRate
	credit       time.Duration // time that the peer may still take before it falls below the rate
	lastDeadline time.Time     // deadline that Deadline returned last
}

// NewMeter returns a Meter for a peer that has not fallen behind the rate: the first byte may take up to IdleTimeout.
func NewMeter(rate MinimumRate) Meter { return Meter{rate: rate, credit: rate.IdleTimeout} }

// MaxWait returns the maximum time to wait for the peer's next byte; 0 means that the peer is too slow.
func (m *Meter) MaxWait() time.Duration {
	if m.rate.BytesPerSecond <= 0 {
		return m.rate.IdleTimeout
	}
	return max(m.credit, 0)
}

// deadlineSlackDivisor limits how long Deadline keeps a connection's previous deadline instead of a new one: as long as the
// previous one is at most MaxWait/deadlineSlackDivisor earlier. Setting a new deadline for every wait would cost too much: as
// much as transferring a small part of a body.
const deadlineSlackDivisor = 8

// Deadline returns when a wait that begins now must end. changed is false if the deadline returned by the previous call is
// still close enough and need not be set again.
func (m *Meter) Deadline(now time.Time) (at time.Time, changed bool) {
	wait := m.MaxWait()
	at = now.Add(wait)
	if earlyBy := at.Sub(m.lastDeadline); earlyBy >= 0 && earlyBy <= wait/deadlineSlackDivisor {
		return m.lastDeadline, false
	}
	m.lastDeadline = at
	return at, true
}

// Record records that n bytes were transferred after a wait for the peer that took the time waited.
func (m *Meter) Record(n int, waited time.Duration) {
	if m.rate.BytesPerSecond <= 0 {
		return
	}
	earned := time.Duration(float64(n) / float64(m.rate.BytesPerSecond) * float64(time.Second))
	m.credit = min(m.credit-waited+earned, m.rate.IdleTimeout)
}
