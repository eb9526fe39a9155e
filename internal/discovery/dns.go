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
	dnsPollTimeout       = 5 * time.Second // time limit for all lookups of one poll together
	maxConcurrentLookups = 8               // maximum number of lookups of SRV target hosts that run at the same time
	minDNSRetryDelay     = time.Second     // time from the first failed or empty poll to the next poll; doubles with each further such poll, up to DNSOptions.MaxTTL
)

// DNSOptions configure a DNS source: which name is polled, at which server and how often.
type DNSOptions struct {
	Name           string
	UsesSRV        bool          // look up SRV records, which name hosts and ports; otherwise A and AAAA records
	Port           int           // port of all members; unused if UsesSRV is set
	Server         string        // host:port of the DNS server; empty for the system's resolvers
	MinTTL, MaxTTL time.Duration // bounds of the time to the next poll, which is the records' shortest time to live; MinTTL does not apply after a failed or empty poll
}

// IsDNSName reports whether s is a valid DNS name: labels of letters, digits, dashes and underscores, within the size limits of
// RFC 1035, 2.3.4.
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

// NewDNSSource returns a source that polls DNS through the standard resolver, which handles truncated, lost and malformed responses. The
// next poll is due when the shortest time to live among the last poll's records has passed, within the bounds o.MinTTL and o.MaxTTL. A
// member's ID is its address. Run and PollOnce call deliver with each list that differs from the previous one, and onFailure after each
// failed poll.
func NewDNSSource(o DNSOptions, cache *MemberCache, deliver func(ListUpdate), onFailure func(), log *slog.Logger) *PollingSource {
	p := &dnsPoller{options: o, retryDelay: minDNSRetryDelay}
	return newPollingSource("dns "+o.Name, cache, p.poll, deliver, onFailure, log)
}

// dnsPoller looks up the members of a pool in DNS, and records the times to live of the records that it receives.
type dnsPoller struct {
	options    DNSOptions
	resolver   *net.Resolver // resolver of the current poll
	retryDelay time.Duration // delay that will follow the next failed or empty poll

	mu          sync.Mutex
	shortestTTL time.Duration // shortest time to live received in the current poll; negative if none was; guarded by mu
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
	if !p.options.UsesSRV {
		return p.lookupAddresses(ctx, p.options.Name, p.options.Port)
	}
	_, records, err := p.resolver.LookupSRV(ctx, "", "", fullyQualified(p.options.Name))
	if err != nil {
		return nil, err
	}
	// Only the records with the lowest priority number are used. The others are fallbacks for hosts that cannot be reached (RFC 2782),
	// and this package does not know which hosts can be reached.
	lowestPriority := slices.MinFunc(records, func(a, b *net.SRV) int { return cmp.Compare(a.Priority, b.Priority) }).Priority
	records = slices.DeleteFunc(records, func(r *net.SRV) bool { return r.Priority != lowestPriority })
	return p.lookupTargets(ctx, records)
}

// lookupTargets looks up the hosts that SRV records name. If one lookup fails the whole poll fails, since a partial list must not be
// taken for the complete one. A host that does not exist is left out.
func (p *dnsPoller) lookupTargets(ctx context.Context, records []*net.SRV) ([]endpointset.Member, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	membersByRecord := make([][]endpointset.Member, len(records))
	var lookups sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentLookups)
	for i, record := range records {
		slots <- struct{}{}
		lookups.Go(func() {
			defer func() { <-slots }()
			var err error
			membersByRecord[i], err = p.lookupAddresses(ctx, record.Target, int(record.Port))
			if err != nil && !isNotFound(err) {
				cancel(err)
			}
		})
	}
	lookups.Wait()
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	return sortUnique(slices.Concat(membersByRecord...)), nil
}

// lookupAddresses returns one member for each address in the A and AAAA records of a name, sorted by ID.
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

// sortUnique sorts members by ID and removes duplicates, which arise if two names resolve to the same address.
func sortUnique(members []endpointset.Member) []endpointset.Member {
	slices.SortFunc(members, func(a, b endpointset.Member) int { return cmp.Compare(a.ID, b.ID) })
	return slices.Compact(members)
}

// fullyQualified returns a name with a trailing dot, so that the resolver does not append the domains of the system's search list.
func fullyQualified(name string) string { return strings.TrimSuffix(name, ".") + "." }

// dial connects the resolver to a DNS server. The connection records times to live, which the resolver does not return. The connection
// is closed when the poll ends, since the resolver would otherwise continue for a while with queries whose results are no longer needed.
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

// recordTTL records the shortest time to live in a response, unless an earlier response of the poll had a shorter one.
func (p *dnsPoller) recordTTL(message []byte) {
	if ttl, ok := shortestTTL(message); ok {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.shortestTTL < 0 || ttl < p.shortestTTL {
			p.shortestTTL = ttl
		}
	}
}
