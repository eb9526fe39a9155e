package transport

import (
	"errors"
	"sync/atomic"
)

// Metrics contains the numbers of packets that a transport has sent, received and dropped since its start.
type Metrics struct {
	Received        uint64 // packets that were received, authenticated and not dropped
	Sent            uint64 // packets sent without an error
	BytesSent       uint64 // total length of the packets sent, in bytes
	Malformed       uint64 // packets dropped because they were malformed, truncated, or too long for a datagram or a stream
	Foreign         uint64 // packets dropped because they had another format version, were of another cluster, or had a message from a process that is not in this daemon's view
	Unauthenticated uint64 // packets dropped because they were signed with an unknown key, or altered
	Replayed        uint64 // packets dropped because they were received before, or may have been because they were too old for the replay window
	RateLimited     uint64 // packets dropped because their source address exceeded its rate limit
	QueueFull       uint64 // packets dropped because a queue was full or maxStreams outgoing streams were open
}

// Metrics returns the counts since Start. Each count is exact, but the counts are not read at the same instant.
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

// countSent counts a packet of n bytes if err, the result of sending the packet, is nil. An error needs no other handling:
// the failure detector tolerates lost packets, and so must the users of Send.
func (t *Transport) countSent(n int, err error) {
	if err == nil {
		t.sent.Add(1)
		t.bytesSent.Add(uint64(n))
	}
}

// dropCounters count dropped packets by the reason for dropping them. Transport.Metrics reports them.
type dropCounters struct {
	malformed, foreign, unauthenticated, replayed, rateLimited, queueFull atomic.Uint64
}

// count counts a packet that was dropped because of err. A packet that was dropped because of an error without a counter of its
// own, such as the end of a stream before the end of the packet, is counted as malformed.
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
