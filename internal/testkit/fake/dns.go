package fake

import (
	"encoding/binary"
	"io"
	"math"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// DNSFault is a fault that is injected into a fake name server.
type DNSFault int

// The faults.
const (
	DNSHealthy     DNSFault = iota // none
	DNSSilent                      // no response
	DNSServfail                    // SERVFAIL
	DNSGarbage                     // bytes that are no message
	DNSHalfMessage                 // half a message
	DNSTruncated                   // truncated over UDP, and nothing over TCP
	DNSEmpty                       // no error and no records
)

// DNSRecord is one record of a name: an address, an alias or a service, whichever is set.
type DNSRecord struct {
	Address  netip.Addr
	Alias    string // CNAME
	Service  string // SRV
	Port     uint16 // of the service
	Priority uint16 // of the service
	TTL      uint32 // seconds
}

// DNS is a name server on loopback over UDP and TCP (RFC 1035), which knows the records that Set gave it. Like a recursive
// server it follows chains of aliases in its responses, up to a bound: of a loop it returns as much. It is safe for
// concurrent use. It has a goroutine for each protocol, connection and query in flight; Close ends them.
type DNS struct {
	Addr       string
	Queries    atomic.Int64 // queries received
	TCPQueries atomic.Int64 // queries received over TCP

	udp net.PacketConn
	tcp net.Listener

	mu    sync.Mutex
	names map[string][]DNSRecord
	fault DNSFault
	delay time.Duration

	handlers sync.WaitGroup
	stopped  chan struct{}
}

const (
	dnsMinPayload        = 512 // bytes of a response over UDP to a query that states no payload size
	dnsMaxAliases        = 8   // followed for one response
	dnsPortAttempts      = 20  // to find a port that is free for UDP and TCP
	dnsConnectionTimeout = 10 * time.Second
)

// NewDNS starts a name server. Close ends it.
func NewDNS() (*DNS, error) {
	var err error
	d := &DNS{names: map[string][]DNSRecord{}, stopped: make(chan struct{})}
	for range dnsPortAttempts {
		if d.tcp, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		if d.udp, err = net.ListenPacket("udp", d.tcp.Addr().String()); err == nil {
			break
		}
		d.tcp.Close()
	}
	if err != nil {
		return nil, err
	}
	d.Addr = d.tcp.Addr().String()
	d.handlers.Go(d.serveUDP)
	d.handlers.Go(d.serveTCP)
	return d, nil
}

// Close ends the server and the queries in flight. It must be called once.
func (d *DNS) Close() {
	close(d.stopped)
	_ = d.udp.Close() // nothing follows from the error: the socket is not used any more
	d.tcp.Close()
	d.handlers.Wait()
}

// Set sets the records of a name; without records the name does not exist.
func (d *DNS) Set(name string, records ...DNSRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[canonicalName(name)] = records
	if len(records) == 0 {
		delete(d.names, canonicalName(name))
	}
}

// SetFault injects a fault from now on, and delays each response.
func (d *DNS) SetFault(fault DNSFault, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.delay = fault, delay
}

// canonicalName is a name in lower case with its final dot.
func canonicalName(name string) string { return strings.ToLower(strings.TrimSuffix(name, ".")) + "." }

func (d *DNS) serveUDP() {
	b := make([]byte, 4096)
	for {
		n, from, err := d.udp.ReadFrom(b)
		if err != nil {
			return
		}
		query := append([]byte(nil), b[:n]...)
		d.Queries.Add(1)
		d.handlers.Go(func() {
			if text := d.respond(query, false); text != nil {
				_, _ = d.udp.WriteTo(text, from) // a datagram may be lost as well
			}
		})
	}
}

func (d *DNS) serveTCP() {
	for {
		nc, err := d.tcp.Accept()
		if err != nil {
			return
		}
		d.handlers.Go(func() { d.serveConnection(nc) })
	}
}

// serveConnection answers the queries of a connection, where each message follows its length (RFC 1035, 4.2.2).
func (d *DNS) serveConnection(nc net.Conn) {
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(dnsConnectionTimeout))
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-d.stopped:
			nc.Close()
		case <-done:
		}
	}()
	for {
		var size [2]byte
		if _, err := io.ReadFull(nc, size[:]); err != nil {
			return
		}
		query := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(nc, query); err != nil {
			return
		}
		d.Queries.Add(1)
		d.TCPQueries.Add(1)
		text := d.respond(query, true)
		if text == nil {
			return
		}
		if _, err := nc.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(text))), text...)); err != nil {
			return
		}
	}
}

// respond returns the response to a query; nil: there is none.
func (d *DNS) respond(query []byte, isTCP bool) []byte {
	d.mu.Lock()
	fault, delay := d.fault, d.delay
	d.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-d.stopped:
			return nil
		}
	}
	var parser dnsmessage.Parser
	header, err := parser.Start(query)
	if err != nil || header.Response {
		return nil
	}
	question, err := parser.Question()
	if err != nil {
		return nil
	}
	response := dnsmessage.Message{
		Header: dnsmessage.Header{ID: header.ID, Response: true, RecursionDesired: header.RecursionDesired,
			RecursionAvailable: true},
		Questions: []dnsmessage.Question{question},
	}
	switch fault {
	case DNSSilent:
		return nil
	case DNSServfail:
		response.RCode = dnsmessage.RCodeServerFailure
	case DNSGarbage:
		return append(query[:2:2], "noise noise noise"...)
	case DNSEmpty:
	case DNSTruncated:
		if isTCP {
			return nil
		}
		response.Truncated = true
	default:
		response.Answers, response.RCode = d.answer(question)
	}
	limit := math.MaxInt
	if !isTCP {
		limit = payloadLimit(&parser)
	}
	text := packResponse(&response, limit)
	if fault == DNSHalfMessage {
		text = text[:len(text)/2]
	}
	return text
}

// payloadLimit is the size of a response over UDP that the sender of a query accepts (RFC 6891, 6.2.3). The parser is
// behind the first question.
func payloadLimit(p *dnsmessage.Parser) int {
	if p.SkipAllQuestions() == nil && p.SkipAllAnswers() == nil && p.SkipAllAuthorities() == nil {
		if header, err := p.AdditionalHeader(); err == nil && header.Type == dnsmessage.TypeOPT {
			return max(int(header.Class), dnsMinPayload)
		}
	}
	return dnsMinPayload
}

// packResponse encodes a response, truncated without its answers where it is longer than the limit; nil: it cannot.
func packResponse(response *dnsmessage.Message, limit int) []byte {
	text, err := response.Pack()
	if err != nil {
		return nil
	}
	if len(text) > limit {
		response.Answers, response.Truncated = nil, true
		if text, err = response.Pack(); err != nil {
			return nil
		}
	}
	return text
}

// answer are the resources that answer a question, along the chain of aliases.
func (d *DNS) answer(q dnsmessage.Question) (out []dnsmessage.Resource, code dnsmessage.RCode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := q.Name
	for range dnsMaxAliases {
		records, ok := d.names[canonicalName(at.String())]
		if !ok {
			return out, dnsmessage.RCodeNameError
		}
		var alias dnsmessage.Name
		for _, r := range records {
			resource := r.resource(q.Type)
			if resource == nil {
				continue
			}
			out = append(out, dnsmessage.Resource{
				Header: dnsmessage.ResourceHeader{Name: at, Class: dnsmessage.ClassINET, TTL: r.TTL},
				Body:   resource,
			})
			if cname, ok := resource.(*dnsmessage.CNAMEResource); ok {
				alias = cname.CNAME
			}
		}
		if alias.Length == 0 {
			break
		}
		at = alias
	}
	return out, dnsmessage.RCodeSuccess
}

// resource is the record's data if it answers a question of the type; nil: it does not.
func (r *DNSRecord) resource(t dnsmessage.Type) dnsmessage.ResourceBody {
	switch {
	case r.Alias != "":
		return &dnsmessage.CNAMEResource{CNAME: dnsmessage.MustNewName(canonicalName(r.Alias))}
	case r.Service != "" && t == dnsmessage.TypeSRV:
		return &dnsmessage.SRVResource{Priority: r.Priority, Port: r.Port, Target: dnsmessage.MustNewName(canonicalName(r.Service))}
	case r.Address.Is4() && t == dnsmessage.TypeA:
		return &dnsmessage.AResource{A: r.Address.As4()}
	case r.Address.Is6() && t == dnsmessage.TypeAAAA:
		return &dnsmessage.AAAAResource{AAAA: r.Address.As16()}
	}
	return nil
}
