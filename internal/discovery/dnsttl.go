package discovery

import (
	"encoding/binary"
	"errors"
	"net"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// maxTCPFrameBytes is the size of the longest DNS message over TCP, including its two-byte length prefix (RFC 1035, 4.2.2).
const maxTCPFrameBytes = 2 + 65535

// udpTTLConn records the times to live in the DNS messages that are read from it. It embeds a *net.UDPConn rather than a net.Conn so that
// it is a net.PacketConn: on any other connection the resolver expects each message to have a length prefix.
type udpTTLConn struct {
	*net.UDPConn
	poller *dnsPoller
}

// Read implements net.Conn. Over UDP each call reads one complete DNS message, whose times to live it records.
func (c *udpTTLConn) Read(b []byte) (int, error) {
	n, err := c.UDPConn.Read(b)
	if err == nil {
		c.poller.recordTTL(b[:n])
	}
	return n, err
}

// tcpTTLConn records the times to live in the DNS message that is read from it. The resolver reads one message per connection.
type tcpTTLConn struct {
	net.Conn
	poller  *dnsPoller
	partial []byte // bytes of the current message read so far, including the length prefix
}

// Read implements net.Conn. Over TCP a call may read a part of a DNS message. The times to live are recorded once the message
// is complete.
func (c *tcpTTLConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if len(c.partial)+n <= maxTCPFrameBytes {
		c.partial = append(c.partial, b[:n]...)
	}
	if len(c.partial) >= 2 {
		if end := 2 + int(binary.BigEndian.Uint16(c.partial)); len(c.partial) >= end {
			c.poller.recordTTL(c.partial[2:end])
			c.partial = c.partial[end:]
		}
	}
	return n, err
}

// shortestTTL returns the shortest time to live among the records in a message's answer section (RFC 1035, 4.1.3). ok is false if the
// section is empty or the message is malformed.
func shortestTTL(message []byte) (ttl time.Duration, ok bool) {
	var parser dnsmessage.Parser
	header, err := parser.Start(message)
	if err != nil || !header.Response || parser.SkipAllQuestions() != nil {
		return 0, false
	}
	for {
		record, err := parser.AnswerHeader()
		if err != nil {
			return ttl, ok && errors.Is(err, dnsmessage.ErrSectionDone)
		}
		// A time to live with the highest bit set counts as zero (RFC 2181, 8).
		seconds := record.TTL
		if seconds > 1<<31-1 {
			seconds = 0
		}
		if d := time.Duration(seconds) * time.Second; !ok || d < ttl {
			ttl, ok = d, true
		}
		if parser.SkipAnswer() != nil {
			return 0, false
		}
	}
}
