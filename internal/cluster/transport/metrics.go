package transport

import (
	"errors"
	"sync/atomic"
)

// Metrics are counts since the start. Received and Sent count packets, Bytes the bytes of those that were sent; the rest
// count packets that were dropped, by reason.
type Metrics struct {
	Received        uint64
	Sent            uint64
	BytesSent       uint64
	Malformed       uint64 // malformed, too long or cut off
	Foreign         uint64 // of another format version or cluster, or of a process that is not the member of its name
	Unauthenticated uint64 // signed with an unknown key, or altered
	Replayed        uint64 // received before, or too old to tell
	RateLimited     uint64 // their source exceeded its rate
	QueueFull       uint64 // a queue, or the limit on outgoing streams, was exhausted
}

// Metrics returns the counts. Each is exact; together they are no snapshot of one instant.
func (t *Transport) Metrics() Metrics {
	return Metrics{
		Received:        t.received.Load(),
		Sent:            t.sent.Load(),
		BytesSent:       t.bytesSent.Load(),
		Malformed:       t.dropped.malformed.Load(),
		Foreign:         t.dropped.foreign.Load(),
		Unauthenticated: t.dropped.unauthenticated.Load(),
		Replayed:        t.dropped.replayed.Load(),
		RateLimited:     t.dropped.rateLimited.Load(),
		QueueFull:       t.dropped.queueFull.Load(),
	}
}

// countSent counts a packet of n bytes if it was sent. One that was not needs no handling: the failure detector tolerates
// lost packets, and so must those who use Send.
func (t *Transport) countSent(n int, err error) {
	if err == nil {
		t.sent.Add(1)
		t.bytesSent.Add(uint64(n))
	}
}

// dropCounters count dropped packets by reason.
type dropCounters struct {
	malformed, foreign, unauthenticated, replayed, rateLimited, queueFull atomic.Uint64
}

// count counts a packet that was dropped with err. What has no counter of its own, such as a stream that was cut off,
// counts as malformed.
func (d *dropCounters) count(err error) {
	switch {
	case errors.Is(err, errVersionMismatch), errors.Is(err, errClusterMismatch), errors.Is(err, errUnknownSender):
		d.foreign.Add(1)
	case errors.Is(err, errUnauthenticated):
		d.unauthenticated.Add(1)
	case errors.Is(err, errReplayed):
		d.replayed.Add(1)
	case errors.Is(err, errRateLimited):
		d.rateLimited.Add(1)
	case errors.Is(err, errQueueFull), errors.Is(err, errTooManyStreams):
		d.queueFull.Add(1)
	default:
		d.malformed.Add(1)
	}
}
