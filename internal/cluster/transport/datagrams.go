package transport

import (
	"net/netip"
	"time"

	"tuliprock/internal/cluster/swim"
)

// MaxDatagramBytes is the greatest length of a datagram. It passes unfragmented where a network's packets may have 1,280
// bytes, the minimum of IPv6 (RFC 8200, section 5).
const MaxDatagramBytes = 1200

// sendDatagram sends a packet that is no longer than MaxDatagramBytes.
func (t *Transport) sendDatagram(to netip.AddrPort, b []byte) error {
	_, err := t.udpConn.WriteToUDPAddrPort(b, to)
	t.countSent(len(b), err)
	return err
}

// readDatagrams receives datagrams until the transport ends.
func (t *Transport) readDatagrams() {
	b := make([]byte, MaxDatagramBytes+1) // a longer datagram is truncated to this, and so recognized
	limiter := sourceLimiter{counts: map[netip.Addr]int{}}
	for {
		n, from, err := t.udpConn.ReadFromUDPAddrPort(b)
		switch {
		case t.ctx.Err() != nil:
			return
		case err != nil: // an ICMP error that a sent datagram caused; truncation is not reported as an error
			continue
		case !limiter.allow(time.Now(), from.Addr()):
			t.dropped.count(errRateLimited)
		case n > MaxDatagramBytes:
			t.dropped.count(errMalformed)
		default:
			t.receive(b[:n], swim.MaxPiggyback+1)
		}
	}
}

const (
	// maxDatagramsPerSource is a source address's limit in each second. A member sends some tens.
	maxDatagramsPerSource = 1000
	// maxTrackedSources is how many addresses are counted separately; all others share one count, so that memory is bounded.
	maxTrackedSources = 4096
)

// sourceLimiter limits the datagrams of each source address in a fixed window of one second.
type sourceLimiter struct {
	windowStart time.Time
	counts      map[netip.Addr]int
}

// allow counts a datagram, and reports whether its source is within its limit.
func (s *sourceLimiter) allow(now time.Time, source netip.Addr) bool {
	if now.Sub(s.windowStart) >= time.Second {
		s.windowStart = now
		clear(s.counts)
	}
	if _, isTracked := s.counts[source]; !isTracked && len(s.counts) >= maxTrackedSources {
		source = netip.Addr{}
	}
	s.counts[source]++
	return s.counts[source] <= maxDatagramsPerSource
}
