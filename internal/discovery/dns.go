package discovery

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"tuliprock/internal/endpointset"
)

const (
	dnsPatience   = 5 * time.Second // for a whole ask, however many names it leads to
	dnsAtOnce     = 8               // names looked up beside one another
	dnsRetryLeast = time.Second     // after a failed ask; doubled up to the longest time to live
	dnsFrame      = 2 + 65535       // bytes of a message over TCP, with its length
)

// DNSOptions say what is asked, and of whom.
type DNSOptions struct {
	Name           string
	Service        bool   // SRV, which names hosts and ports; else A and AAAA, with Port
	Port           int    //
	Server         string // host:port; empty: the system's
	MinTTL, MaxTTL time.Duration
}

// IsDNSName tells whether a text can be asked for in DNS: labels of letters, digits, dashes and underscores (RFC 1035, 2.3.4).
func IsDNSName(s string) bool {
	s = strings.TrimSuffix(s, ".")
	if s == "" || len(s) > 253 {
		return false
	}
	for label := range strings.SplitSeq(s, ".") {
		if label == "" || len(label) > 63 || strings.ContainsFunc(label, func(c rune) bool {
			return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_'
		}) {
			return false
		}
	}
	return true
}

// DNSSource is a source that asks DNS through the standard resolver, which looks after truncated, lost and malformed
// answers, and again when the shortest time to live of the answer is over. Members are known by their addresses.
func DNSSource(o DNSOptions, k *MemberCache, deliver func(ListUpdate), failed func(), log *slog.Logger) *PollingSource {
	d := &dns{o: o, retry: dnsRetryLeast}
	return newPolled("dns "+o.Name, k, d.ask, deliver, failed, log)
}

type dns struct {
	o        DNSOptions
	resolver *net.Resolver // of the present ask
	retry    time.Duration

	mu  sync.Mutex
	ttl time.Duration // shortest that this ask has brought; negative: none
}

func (d *dns) ask(ctx context.Context) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, dnsPatience)
	defer cancel()
	d.mu.Lock()
	d.ttl = -1
	d.mu.Unlock()
	d.resolver = &net.Resolver{PreferGo: true, Dial: func(query context.Context, network, address string) (net.Conn, error) {
		return d.dial(ctx, query, network, address)
	}}
	members, err := d.look(ctx)
	if notFound := (*net.DNSError)(nil); errors.As(err, &notFound) && notFound.IsNotFound {
		members, err = nil, nil // an answer, and it lists nobody
	}
	if err == nil && len(members) > MaxMembers {
		err = fmt.Errorf("over %d members", MaxMembers)
	}
	if err != nil || len(members) == 0 {
		next := d.retry
		d.retry = min(2*d.retry, max(d.o.MaxTTL, dnsRetryLeast))
		return answer{next: next}, err
	}
	d.retry = dnsRetryLeast
	d.mu.Lock()
	defer d.mu.Unlock()
	return answer{members: members, next: min(max(d.ttl, d.o.MinTTL), d.o.MaxTTL)}, nil
}

func (d *dns) look(ctx context.Context) ([]endpointset.Member, error) {
	if !d.o.Service {
		return d.addresses(ctx, d.o.Name, d.o.Port)
	}
	_, records, err := d.resolver.LookupSRV(ctx, "", "", absolute(d.o.Name))
	if err != nil {
		return nil, err
	}
	// Those of the lowest priority number serve; the others would be for when they can't be reached (RFC 2782), which
	// the daemon can't ask of a name.
	least := slices.MinFunc(records, func(a, b *net.SRV) int { return cmp.Compare(a.Priority, b.Priority) }).Priority
	records = slices.DeleteFunc(records, func(r *net.SRV) bool { return r.Priority != least })
	return d.targets(ctx, records)
}

// targets looks up the hosts that records name. One that can't be looked up fails the ask, since a part of the list must
// not pass for the whole; one that does not exist just isn't there.
func (d *dns) targets(ctx context.Context, records []*net.SRV) ([]endpointset.Member, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	found := make([][]endpointset.Member, len(records))
	var busy sync.WaitGroup
	slots := make(chan struct{}, dnsAtOnce)
	for i, r := range records {
		slots <- struct{}{}
		busy.Go(func() {
			defer func() { <-slots }()
			var err error
			found[i], err = d.addresses(ctx, r.Target, int(r.Port))
			if notFound := (*net.DNSError)(nil); err != nil && !(errors.As(err, &notFound) && notFound.IsNotFound) {
				cancel(err)
			}
		})
	}
	busy.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return unique(slices.Concat(found...)), nil
}

// addresses are those of a name, A and AAAA, in order.
func (d *dns) addresses(ctx context.Context, name string, port int) ([]endpointset.Member, error) {
	list, err := d.resolver.LookupNetIP(ctx, "ip", absolute(name))
	if err != nil {
		return nil, err
	}
	members := make([]endpointset.Member, 0, len(list))
	for _, ip := range list {
		addr := netip.AddrPortFrom(ip.Unmap(), uint16(port)).String()
		members = append(members, endpointset.Member{ID: addr, Addr: addr})
	}
	return unique(members), nil
}

// unique sorts members and drops those listed twice: two names for one address are one member.
func unique(m []endpointset.Member) []endpointset.Member {
	slices.SortFunc(m, func(a, b endpointset.Member) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Compact(m)
}

// absolute keeps the resolver from trying the system's search list.
func absolute(name string) string { return strings.TrimSuffix(name, ".") + "." }

// dial connects the resolver to its server, and listens in for times to live, which the resolver does not tell. The
// resolver goes on for a while with questions that nobody waits for any more: when the ask is over, so are they.
func (d *dns) dial(ask, query context.Context, network, address string) (net.Conn, error) {
	if ask.Err() != nil {
		return nil, ask.Err()
	}
	if d.o.Server != "" {
		address = d.o.Server
	}
	nc, err := (&net.Dialer{}).DialContext(query, network, address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ask, func() { nc.Close() })
	if u, ok := nc.(*net.UDPConn); ok {
		return &udpTap{u, d}, nil
	}
	return &tcpTap{Conn: nc, d: d}, nil
}

// note takes an answer's time to live.
func (d *dns) note(message []byte) {
	if ttl, ok := shortestTTL(message); ok {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.ttl < 0 || ttl < d.ttl {
			d.ttl = ttl
		}
	}
}

// udpTap must be a net.PacketConn still: by that the resolver tells how messages are framed.
type udpTap struct {
	*net.UDPConn
	d *dns
}

func (t *udpTap) Read(b []byte) (int, error) {
	n, err := t.UDPConn.Read(b)
	if err == nil {
		t.d.note(b[:n])
	}
	return n, err
}

type tcpTap struct {
	net.Conn
	d    *dns
	seen []byte // of the message that is being read; one message at most, for the resolver reads one
}

func (t *tcpTap) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if len(t.seen)+n <= dnsFrame {
		t.seen = append(t.seen, b[:n]...)
	}
	if len(t.seen) >= 2 {
		if end := 2 + int(binary.BigEndian.Uint16(t.seen)); len(t.seen) >= end {
			t.d.note(t.seen[2:end])
			t.seen = t.seen[end:]
		}
	}
	return n, err
}

// shortestTTL is the shortest time to live of the records in a message's answer section (RFC 1035, 4.1.3); ok is false
// if it has none, or is no message.
func shortestTTL(message []byte) (ttl time.Duration, ok bool) {
	var p dnsmessage.Parser
	h, err := p.Start(message)
	if err != nil || !h.Response || p.SkipAllQuestions() != nil {
		return 0, false
	}
	for {
		r, err := p.AnswerHeader()
		if err != nil {
			return ttl, ok && errors.Is(err, dnsmessage.ErrSectionDone)
		}
		// The highest bit set counts as zero (RFC 2181, 8).
		seconds := r.TTL
		if seconds > 1<<31-1 {
			seconds = 0
		}
		if d := time.Duration(seconds) * time.Second; !ok || d < ttl {
			ttl, ok = d, true
		}
		if p.SkipAnswer() != nil {
			return 0, false
		}
	}
}
