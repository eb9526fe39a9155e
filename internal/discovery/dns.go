package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"tuliprock/internal/endpointset"
)

const (
	dnsPollTimeout       = 5 * time.Second // of one poll, however many lookups it needs
	maxConcurrentLookups = 8               // of the hosts that SRV records name
	minDNSRetryDelay     = time.Second     // after a failed or empty poll; doubled up to DNSOptions.MaxTTL
)

// DNSOptions say which name is polled, and at which server.
type DNSOptions struct {
	Name           string
	Service        bool          // look up SRV, which names hosts and ports; otherwise A and AAAA, with Port
	Port           int           // of all members, unless Service is set
	Server         string        // host:port; empty: the system's
	MinTTL, MaxTTL time.Duration // bounds of the time between two polls that list members
}

// IsDNSName reports whether a text can be looked up in DNS: labels of letters, digits, dashes and underscores (RFC 1035, 2.3.4).
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

// NewDNSSource makes a source that polls DNS through the standard resolver, which handles truncated, lost and malformed responses. The
// next poll is due when the shortest time to live of the last one is over. The id of a member is its address. deliver and failed are
// called by Run and PollOnce.
func NewDNSSource(o DNSOptions, cache *MemberCache, deliver func(ListUpdate), failed func(), log *slog.Logger) *PollingSource {
	p := &dnsPoller{options: o, retryDelay: minDNSRetryDelay}
	return newPollingSource("dns "+o.Name, cache, p.poll, deliver, failed, log)
}

type dnsPoller struct {
	options    DNSOptions
	resolver   *net.Resolver // of the present poll
	retryDelay time.Duration

	mu          sync.Mutex
	shortestTTL time.Duration // in the responses of the present poll; negative: none yet; guarded by mu
}

func (p *dnsPoller) poll(ctx context.Context) (pollResult, error) {
	ctx, cancel := context.WithTimeout(ctx, dnsPollTimeout)
	defer cancel()
	p.mu.Lock()
	p.shortestTTL = -1
	p.mu.Unlock()
	p.resolver = &net.Resolver{PreferGo: true, Dial: func(queryCtx context.Context, network, address string) (net.Conn, error) {
		return p.dial(ctx, queryCtx, network, address)
	}}
	members, err := p.lookup(ctx)
	if isNotFound(err) {
		members, err = nil, nil // a valid response that lists no members
	}
	if err == nil && len(members) > MaxMembers {
		err = fmt.Errorf("over %d members", MaxMembers)
	}
	if err != nil || len(members) == 0 {
		delay := p.retryDelay
		p.retryDelay = min(2*p.retryDelay, max(p.options.MaxTTL, minDNSRetryDelay))
		return pollResult{nextPollIn: delay}, err
	}
	p.retryDelay = minDNSRetryDelay
	p.mu.Lock()
	defer p.mu.Unlock()
	return pollResult{members: members, nextPollIn: min(max(p.shortestTTL, p.options.MinTTL), p.options.MaxTTL)}, nil
}

// isNotFound reports whether err says that a name does not exist or has no records.
func isNotFound(err error) bool {
	var dnsErr *net.DNSError
	return errors.As(err, &dnsErr) && dnsErr.IsNotFound
}

func (p *dnsPoller) lookup(ctx context.Context) ([]endpointset.Member, error) {
	if !p.options.Service {
		return p.lookupAddresses(ctx, p.options.Name, p.options.Port)
	}
	_, records, err := p.resolver.LookupSRV(ctx, "", "", fullyQualified(p.options.Name))
	if err != nil {
		return nil, err
	}
	// Only the records of the lowest priority number serve. The others are for when those cannot be reached (RFC 2782), which is not
	// known here.
	lowest := slices.MinFunc(records, func(a, b *net.SRV) int { return cmp.Compare(a.Priority, b.Priority) }).Priority
	records = slices.DeleteFunc(records, func(r *net.SRV) bool { return r.Priority != lowest })
	return p.lookupTargets(ctx, records)
}

// lookupTargets looks up the hosts that records name. One lookup that fails fails the poll, since a part of the list must not pass for
// the complete list; a host that does not exist is left out.
func (p *dnsPoller) lookupTargets(ctx context.Context, records []*net.SRV) ([]endpointset.Member, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	found := make([][]endpointset.Member, len(records))
	var lookups sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentLookups)
	for i, record := range records {
		slots <- struct{}{}
		lookups.Go(func() {
			defer func() { <-slots }()
			var err error
			found[i], err = p.lookupAddresses(ctx, record.Target, int(record.Port))
			if err != nil && !isNotFound(err) {
				cancel(err)
			}
		})
	}
	lookups.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return sortUnique(slices.Concat(found...)), nil
}

// lookupAddresses returns a member for each address of a name, A and AAAA, sorted.
func (p *dnsPoller) lookupAddresses(ctx context.Context, name string, port int) ([]endpointset.Member, error) {
	addresses, err := p.resolver.LookupNetIP(ctx, "ip", fullyQualified(name))
	if err != nil {
		return nil, err
	}
	members := make([]endpointset.Member, 0, len(addresses))
	for _, ip := range addresses {
		addr := netip.AddrPortFrom(ip.Unmap(), uint16(port)).String()
		members = append(members, endpointset.Member{ID: addr, Addr: addr})
	}
	return sortUnique(members), nil
}

// sortUnique sorts members and drops duplicates: two names for one address are one member.
func sortUnique(members []endpointset.Member) []endpointset.Member {
	slices.SortFunc(members, func(a, b endpointset.Member) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Compact(members)
}

// fullyQualified keeps the resolver from using the system's search list.
func fullyQualified(name string) string { return strings.TrimSuffix(name, ".") + "." }

// dial connects the resolver to its server. The connection records times to live, which the resolver does not return, and is closed
// when the poll ends: the resolver continues for a while with queries whose result nobody awaits.
func (p *dnsPoller) dial(pollCtx, queryCtx context.Context, network, address string) (net.Conn, error) {
	if pollCtx.Err() != nil {
		return nil, pollCtx.Err()
	}
	if p.options.Server != "" {
		address = p.options.Server
	}
	conn, err := (&net.Dialer{}).DialContext(queryCtx, network, address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(pollCtx, func() { conn.Close() })
	if udp, ok := conn.(*net.UDPConn); ok {
		return &udpTTLConn{udp, p}, nil
	}
	return &tcpTTLConn{Conn: conn, poller: p}, nil
}

// recordTTL takes the time to live of a response.
func (p *dnsPoller) recordTTL(message []byte) {
	if ttl, ok := shortestTTL(message); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.shortestTTL < 0 || ttl < p.shortestTTL {
			p.shortestTTL = ttl
		}
	}
}
