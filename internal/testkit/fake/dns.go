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

// DNSFault is a fault that DNS.SetFault injects into the responses of a DNS server.
type DNSFault int

// The faults of a DNS server, of which one is active at a time.
const (
	DNSHealthy     DNSFault = iota // no fault
	DNSSilent                      // queries get no response
	DNSServfail                    // responses have the code SERVFAIL and no records
	DNSGarbage                     // responses have the query's ID followed by bytes that are not a DNS message
	DNSHalfMessage                 // responses end after half of their bytes
	DNSTruncated                   // responses over UDP are marked as truncated, and queries over TCP get no response
	DNSEmpty                       // responses have no error code and no records
)

// DNSRecord is one record of a name. Exactly one of Address, Alias and Service is set.
type DNSRecord struct {
	Address  netip.Addr // IP address, for an A or AAAA record
	Alias    string     // target name of a CNAME record
	Service  string     // target name of an SRV record
	Port     uint16     // port of an SRV record
	Priority uint16     // priority of an SRV record
	TTL      uint32     // time to live in seconds
}

// DNS is a DNS server on loopback over UDP and TCP (RFC 1035) that serves the records given to SetRecords. Like a recursive server
// it follows chains of aliases, up to dnsMaxLookups names, which also ends a loop of aliases. It is safe for concurrent use.
// It has a goroutine for each protocol, TCP connection and UDP query in flight; Close ends them.
type DNS struct {
	Addr       string       // address of the server for UDP and TCP
	Queries    atomic.Int64 // number of queries received over UDP and TCP
	TCPQueries atomic.Int64 // number of queries received over TCP

	udp net.PacketConn
	tcp net.Listener

	mu            sync.Mutex
	recordsByName map[string][]DNSRecord // records of each DNS name; the keys are results of canonicalName
	fault         DNSFault
	delay         time.Duration // time to wait before each response

	handlers sync.WaitGroup
	stopped  chan struct{} // closed by Close
}

const (
	dnsMinPayload        = 512 // size in bytes up to which every client accepts UDP responses (RFC 1035); a query may state that its sender accepts larger responses
	dnsMaxLookups        = 8   // largest number of names that are looked up for one response, along a chain of aliases
	dnsPortAttempts      = 20  // number of attempts to find a port that is free for both UDP and TCP
	dnsConnectionTimeout = 10 * time.Second
)

// NewDNS starts a DNS server, which Close ends.
func NewDNS() (*DNS, error) {
	var err error
	d := &DNS{recordsByName: map[string][]DNSRecord{}, stopped: make(chan struct{})}
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

// Close ends the server and the queries in flight. It must not be called twice.
func (d *DNS) Close() {
	close(d.stopped)
	_ = d.udp.Close() // the error is ignored, since the socket is not used any more
	d.tcp.Close()
	d.handlers.Wait()
}

// SetRecords replaces the records of a name. If no records are given, the name ceases to exist.
func (d *DNS) SetRecords(name string, records ...DNSRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recordsByName[canonicalName(name)] = records
	if len(records) == 0 {
		delete(d.recordsByName, canonicalName(name))
	}
}

// SetFault injects a fault into all further responses, and sets a delay before each of them. DNSHealthy ends the fault.
func (d *DNS) SetFault(fault DNSFault, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.delay = fault, delay
}

// canonicalName returns a name in lower case and with a final dot.
func canonicalName(name string) string { return strings.ToLower(strings.TrimSuffix(name, ".")) + "." }

// serveUDP responds to UDP queries until Close.
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
			if message := d.respond(query, false); message != nil {
				_, _ = d.udp.WriteTo(message, from) // the error is ignored, since a datagram may be lost in any case
			}
		})
	}
}

// serveTCP accepts TCP connections until Close.
func (d *DNS) serveTCP() {
	for {
		nc, err := d.tcp.Accept()
		if err != nil {
			return
		}
		d.handlers.Go(func() { d.serveConnection(nc) })
	}
}

// serveConnection responds to the queries of a TCP connection, on which each message is preceded by its length (RFC 1035,
// 4.2.2).
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
		message := d.respond(query, true)
		if message == nil {
			return
		}
		if _, err := nc.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(message))), message...)); err != nil {
			return
		}
	}
}

// respond waits for the delay that SetFault has set and returns the encoded response to a query, or nil if the query gets no
// response.
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
	maxBytes := math.MaxInt
	if !isTCP {
		maxBytes = payloadLimit(&parser)
	}
	message := packResponse(&response, maxBytes)
	if fault == DNSHalfMessage {
		message = message[:len(message)/2]
	}
	return message
}

// payloadLimit returns the size in bytes of the longest UDP response that the sender of a query accepts (RFC 6891, 6.2.3).
// The parser must have parsed the first question of the query.
func payloadLimit(p *dnsmessage.Parser) int {
	if p.SkipAllQuestions() == nil && p.SkipAllAnswers() == nil && p.SkipAllAuthorities() == nil {
		if header, err := p.AdditionalHeader(); err == nil && header.Type == dnsmessage.TypeOPT {
			return max(int(header.Class), dnsMinPayload)
		}
	}
	return dnsMinPayload
}

// packResponse encodes a response. A response of more than maxBytes bytes is encoded without answers and marked as truncated.
// packResponse returns nil if the response cannot be encoded.
func packResponse(response *dnsmessage.Message, maxBytes int) []byte {
	message, err := response.Pack()
	if err != nil {
		return nil
	}
	if len(message) > maxBytes {
		response.Answers, response.Truncated = nil, true
		if message, err = response.Pack(); err != nil {
			return nil
		}
	}
	return message
}

// answer returns the resources that answer a question, including the aliases that lead to them, and the response code.
func (d *DNS) answer(q dnsmessage.Question) (answers []dnsmessage.Resource, code dnsmessage.RCode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := q.Name
	for range dnsMaxLookups {
		records, ok := d.recordsByName[canonicalName(name.String())]
		if !ok {
			return answers, dnsmessage.RCodeNameError
		}
		var alias dnsmessage.Name
		for _, r := range records {
			resource := r.resource(q.Type)
			if resource == nil {
				continue
			}
			answers = append(answers, dnsmessage.Resource{
				Header: dnsmessage.ResourceHeader{Name: name, Class: dnsmessage.ClassINET, TTL: r.TTL},
				Body:   resource,
			})
			if cname, ok := resource.(*dnsmessage.CNAMEResource); ok {
				alias = cname.CNAME
			}
		}
		if alias.Length == 0 {
			break
		}
		name = alias
	}
	return answers, dnsmessage.RCodeSuccess
}

// resource returns the record's data for a question of type t, or nil if the record does not answer such a question.
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
