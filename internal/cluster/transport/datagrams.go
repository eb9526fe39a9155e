package transport

import (
	"net/netip"
	"time"

	"tuliprock/internal/cluster/swim"
)

// MaxDatagramBytes is the maximum length of a datagram. No datagram of this length is fragmented, since the minimum MTU of
// IPv6 is 1,280 bytes (RFC 8200, section 5).
const MaxDatagramBytes = 1200

// sendDatagram sends b, a packet that must not be longer than MaxDatagramBytes, and counts the packet if it was sent.
func (t *Transport) sendDatagram(to netip.AddrPort, b []byte) error {
	_, err := t.udpConn.WriteToUDPAddrPort(b, to)
	t.countSent(len(b), err)
	return err
}

// readDatagrams receives datagrams until the transport ends.
func (t *Transport) readDatagrams() {
	b := make([]byte, MaxDatagramBytes+1) // one byte longer than MaxDatagramBytes, so that a too long datagram is recognized
	limiter := sourceLimiter{datagramCounts: map[netip.Addr]int{}}
	for {
		n, from, err := t.udpConn.ReadFromUDPAddrPort(b)
		switch {
		case t.ctx.Err() != nil:
			return
		case err != nil: // an ICMP error that answers a datagram sent earlier; a truncated datagram gives no error
			continue
		case !limiter.allow(time.Now(), from.Addr()):
			t.dropped.count(errRateLimited)
		case n > MaxDatagramBytes:
			t.dropped.count(errMalformed)
		default:
			t.receive(b[:n], swim.MaxPiggybackedUpdates+1)
		}
	}
}

const (
	// maxDatagramsPerSource is the maximum number of datagrams per second from one source address. A member sends some tens
	// per second.
	maxDatagramsPerSource = 1000
	// maxTrackedSources is the maximum number of source addresses whose datagrams are counted separately in a window of one
	// second. It bounds the memory for the counts. All other addresses share one count.
	maxTrackedSources = 4096
)

// sourceLimiter limits the number of datagrams from each source address in consecutive windows of one second.
type sourceLimiter struct {
	windowStart    time.Time          // start of the current window of one second
	datagramCounts map[netip.Addr]int // number of datagrams in the current window by source address; under the zero address, that of all sources without a count of their own
}

// allow counts a datagram, and reports whether its source has sent at most maxDatagramsPerSource in the current window.
func (s *sourceLimiter) allow(now time.Time, source netip.Addr) bool {
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		clear(s.datagramCounts)
	}
	if _, isTracked := s.datagramCounts[source]; !isTracked && len(s.datagramCounts) >= maxTrackedSources {
		source = netip.Addr{}
	}
	s.datagramCounts[source]++
	return s.datagramCounts[source] <= maxDatagramsPerSource
}
