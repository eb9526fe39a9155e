package discovery

import (
	"encoding/binary"
	"net"
	"testing"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// responseWithTTLs returns an encoded DNS response with one address record for each time to live, in seconds.
func responseWithTTLs(tb testing.TB, ttls ...uint32) []byte {
	tb.Helper()
	m := dnsmessage.Message{Header: dnsmessage.Header{Response: true}}
	for _, ttl := range ttls {
		m.Answers = append(m.Answers, dnsmessage.Resource{
			Header: dnsmessage.ResourceHeader{Name: dnsmessage.MustNewName("a."), Class: dnsmessage.ClassINET, TTL: ttl},
			Body:   &dnsmessage.AResource{},
		})
	}
	message, err := m.Pack()
	if err != nil {
		tb.Fatal(err)
	}
	return message
}

func TestShortestTTLIsLowestOfAllRecords(t *testing.T) {
	for _, c := range []struct {
		name    string
		message []byte
		want    time.Duration
		ok      bool
	}{
		{"several records", responseWithTTLs(t, 60, 5, 30), 5 * time.Second, true},
		{"one record of zero", responseWithTTLs(t, 60, 0), 0, true},
		{"the highest bit set (RFC 2181, 8)", responseWithTTLs(t, 1<<31), 0, true},
		{"no record", responseWithTTLs(t), 0, false},
		{"truncated message", responseWithTTLs(t, 60)[:25], 0, false},
		{"empty message", nil, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, ok := shortestTTL(c.message); ok != c.ok || ok && got != c.want {
				t.Errorf("shortest time to live %v (ok %v), want %v (ok %v)", got, ok, c.want, c.ok)
			}
		})
	}
}

// Over TCP a message has a length prefix, and may arrive in several parts.
func TestTTLIsRecordedOverTCPInParts(t *testing.T) {
	p := &dnsPoller{shortestTTL: -1}
	resolverConn, serverConn := net.Pipe()
	defer resolverConn.Close()
	message := responseWithTTLs(t, 60, 7)
	frame := append(binary.BigEndian.AppendUint16(nil, uint16(len(message))), message...)
	go func() {
		for _, b := range frame {
			serverConn.Write([]byte{b})
		}
		serverConn.Close()
	}()
	conn := &tcpTTLConn{Conn: resolverConn, poller: p}
	b := make([]byte, 100)
	for {
		if _, err := conn.Read(b); err != nil {
			break
		}
	}
	if p.shortestTTL != 7*time.Second {
		t.Errorf("recorded a time to live of %v, want 7s", p.shortestTTL)
	}
}

func FuzzShortestTTL(f *testing.F) {
	f.Add(responseWithTTLs(f, 9))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, message []byte) {
		if ttl, ok := shortestTTL(message); ok && (ttl < 0 || ttl > (1<<31-1)*time.Second) {
			t.Errorf("time to live %v, want one from 0 to 2^31-1 seconds", ttl)
		}
	})
}
