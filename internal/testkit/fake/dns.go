package fake

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// DNSFault is how a stand-in name server goes wrong.
type DNSFault int

// The faults.
const (
	DNSWell      DNSFault = iota
	DNSSilent             // no answer
	DNSServfail           // SERVFAIL
	DNSGarbage            // bytes that are no message
	DNSCut                // half a message
	DNSTruncated          // truncated over UDP, and nothing over TCP
	DNSEmpty              // no error and no records
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

// DNS is a name server on loopback over UDP and TCP (RFC 1035), which knows what Set tells it. Chains of aliases are
// followed in its answers, as a recursive server does, up to a bound: one that loops is given as far as it goes.
type DNS struct {
	Addr  string
	Asked atomic.Int64 // messages that came
	TCP   atomic.Int64 // of them, over TCP

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
	dnsMinPayload        = 512 // bytes of an answer over UDP that asks for no more
	dnsMaxAliases        = 8   // followed for one answer
	dnsConnectionTimeout = 10 * time.Second
)

// NewDNS starts a name server. Close ends it.
func NewDNS() (*DNS, error) {
	var err error
	d := &DNS{names: map[string][]DNSRecord{}, stopped: make(chan struct{})}
	for range 20 { // a port that is free for both
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

// Close ends the server and all that it answers.
func (d *DNS) Close() {
	close(d.stopped)
	_ = d.udp.Close() // a socket that is given up
	d.tcp.Close()
	d.handlers.Wait()
}

// Set gives a name its records; none: the name does not exist.
func (d *DNS) Set(name string, records ...DNSRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.names[canonicalName(name)] = records
	if len(records) == 0 {
		delete(d.names, canonicalName(name))
	}
}

// Go makes the server go wrong from now on, each answer after a delay.
func (d *DNS) Go(fault DNSFault, delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault, d.delay = fault, delay
}

func canonicalName(name string) string { return strings.ToLower(strings.TrimSuffix(name, ".")) + "." }

func (d *DNS) serveUDP() {
	b := make([]byte, 4096)
	for {
		n, from, err := d.udp.ReadFrom(b)
		if err != nil {
			return
		}
		query := append([]byte(nil), b[:n]...)
		d.Asked.Add(1)
		d.handlers.Go(func() {
			if text := d.respond(query, false); text != nil {
				_, _ = d.udp.WriteTo(text, from)
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

// serveConnection answers what comes on a connection, each message behind its length (RFC 1035, 4.2.2).
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
		d.Asked.Add(1)
		d.TCP.Add(1)
		text := d.respond(query, true)
		if text == nil {
			return
		}
		if _, err := nc.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(text))), text...)); err != nil {
			return
		}
	}
}

// respond gives the message that answers a query; nil: none.
func (d *DNS) respond(query []byte, tcp bool) []byte {
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
	var p dnsmessage.Parser
	h, err := p.Start(query)
	if err != nil || h.Response {
		return nil
	}
	q, err := p.Question()
	if err != nil {
		return nil
	}
	most := dnsMinPayload
	if p.SkipAllQuestions() == nil && p.SkipAllAnswers() == nil && p.SkipAllAuthorities() == nil {
		if add, err := p.AdditionalHeader(); err == nil && add.Type == dnsmessage.TypeOPT {
			most = max(int(add.Class), dnsMinPayload) // RFC 6891, 6.2.3
		}
	}
	m := dnsmessage.Message{Header: dnsmessage.Header{ID: h.ID, Response: true, RecursionDesired: h.RecursionDesired, RecursionAvailable: true},
		Questions: []dnsmessage.Question{q}}
	switch fault {
	case DNSSilent:
		return nil
	case DNSServfail:
		m.RCode = dnsmessage.RCodeServerFailure
	case DNSGarbage:
		return append(query[:2:2], "noise noise noise"...)
	case DNSEmpty:
	case DNSTruncated:
		if tcp {
			return nil
		}
		m.Truncated = true
	default:
		m.Answers, m.RCode = d.records(q)
	}
	text, err := m.Pack()
	if err != nil {
		return nil
	}
	if !tcp && len(text) > most {
		m.Answers, m.Truncated = nil, true
		if text, err = m.Pack(); err != nil {
			return nil
		}
	}
	if fault == DNSCut {
		text = text[:len(text)/2]
	}
	return text
}

// records are those that answer a question.
func (d *DNS) records(q dnsmessage.Question) (out []dnsmessage.Resource, code dnsmessage.RCode) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := q.Name
	for range dnsMaxAliases {
		list, ok := d.names[canonicalName(at.String())]
		if !ok {
			return out, dnsmessage.RCodeNameError
		}
		var alias dnsmessage.Name
		for _, r := range list {
			body := r.resource(q.Type)
			if body == nil {
				continue
			}
			out = append(out, dnsmessage.Resource{Header: dnsmessage.ResourceHeader{Name: at, Class: dnsmessage.ClassINET, TTL: r.TTL}, Body: body})
			if c, ok := body.(*dnsmessage.CNAMEResource); ok {
				alias = c.CNAME
			}
		}
		if alias.Length == 0 {
			break
		}
		at = alias
	}
	return out, dnsmessage.RCodeSuccess
}

// resource is the record's data if it answers a question of that type; nil: it does not.
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
