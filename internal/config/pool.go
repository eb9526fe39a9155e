package config

import (
	"fmt"
	"strings"
	"time"

	"tuliprock/internal/discovery"
	"tuliprock/internal/endpointset"
	"tuliprock/internal/tomlfile"
)

// Pool is a section [[pool]] of an operators' file: endpoints that serve the same requests, and the settings of their balancer. The
// endpoints come from exactly one of Member, Agent, File, DNS and Members.
type Pool struct {
	Name           string        `toml:"name"`
	MaxAttempts    int           `toml:"attempts"`     // maximum number of attempts for one request
	MaxConnections int           `toml:"connections"`  // maximum number of connections to all endpoints together
	DialTimeout    time.Duration `toml:"dial_timeout"` // time limit for establishing a connection
	IdleTimeout    time.Duration `toml:"idle_timeout"` // how long a connection may be idle and still be reused

	SlowStartCapacity float64       `toml:"cold_from"` // fraction of its capacity that a new endpoint starts with
	SlowStartDuration time.Duration `toml:"cold_for"`  // time after which a new endpoint has its full capacity

	Tier          int           `toml:"tier"`             // number of tiers of balancers between the clients and this daemon
	TiersBelow    int           `toml:"tiers_below"`      // number of tiers that the endpoints depend on to serve a request
	MaxRetryAfter time.Duration `toml:"retry_after_most"` // longest Retry-After that is sent to a client

	StartAt           string        `toml:"begins"`       // what of a request must have arrived before an endpoint may start on it: "head" or "last_byte"
	MaxResponseBytes  int64         `toml:"answer_bytes"` // maximum size in bytes of a response body; 0 for no limit
	StreamIdleTimeout time.Duration `toml:"flow_idle"`    // longest time for which an endpoint may neither send nor receive a byte of a streaming body
	MinStreamRate     int64         `toml:"flow_rate"`    // minimum rate of an endpoint's streaming body in bytes per second; 0 for no minimum

	Member        []Member `toml:"member"`  // fixed list of endpoints
	Agent         string   `toml:"agent"`   // host:port of the platform's discovery agent
	File          string   `toml:"file"`    // path of a members file
	DNS           *DNS     `toml:"dns"`     // DNS name that resolves to the endpoints
	MembersSource string   `toml:"members"` // "agreed" for a list that the cluster agrees on; empty otherwise

	HoldLastGood time.Duration `toml:"hold"` // how long the last good list is kept while the source fails or lists no members
	FlapDamping  time.Duration `toml:"damp"` // delay before an endpoint that starts to flap is used again; doubles with further flaps
}

// DNS says which DNS name resolves to a pool's endpoints, and how it is polled.
type DNS struct {
	Name   string        `toml:"name"`
	Type   string        `toml:"type"`      // type of the records: "address" (A and AAAA) or "srv"
	Port   int           `toml:"port"`      // port of the endpoints for the type "address"; 0 for "srv"
	Server string        `toml:"server"`    // host:port of the DNS server; empty for the system's resolvers
	MinTTL time.Duration `toml:"ttl_least"` // lower bound of the delay from a poll that lists members to the next poll; the delay is otherwise the records' time to live
	MaxTTL time.Duration `toml:"ttl_most"`  // upper bound of the delay from a poll that lists members to the next poll; the delay is otherwise the records' time to live
}

// Member is an endpoint in a pool's list.
type Member struct {
	ID      string `toml:"id"`      // endpoint's ID, unique in the pool; defaults to Address
	Address string `toml:"address"` // host:port at which the endpoint takes requests
	Zone    string `toml:"zone"`
	Kind    string `toml:"kind"`  // name of the endpoint's kind; endpoints of the same kind have the same size and speed
	Cell    int    `toml:"cell"`  // number of the endpoint's cell; endpoints of the same cell share the idempotency keys that they have seen
	State   string `toml:"state"` // whether the endpoint takes new requests: "ready" or "draining"
}

// Values of the field begins: what of a request must have arrived before an endpoint may start on it.
const (
	startAtHead     = "head"      // an endpoint may start as soon as it has the request's head
	startAtLastByte = "last_byte" // an endpoint starts only once it has the complete request
)

// membersAgreedByCluster is the only value of the field members: the list is a document that the cluster agrees on.
const membersAgreedByCluster = "agreed"

// Values of the field state of a member.
const (
	memberReady    = "ready"
	memberDraining = "draining"
)

// Values of the field type of a pool's dns table.
const (
	dnsTypeAddress = "address"
	dnsTypeSRV     = "srv"
)

// Default values and bounds of the fields of a Pool.
const (
	defaultMaxAttempts       = 4
	defaultSlowStartCapacity = 0.3
	defaultSlowStartDuration = 10 * time.Second
	defaultDialTimeout       = 250 * time.Millisecond
	defaultPoolIdleTimeout   = 15 * time.Second
	defaultMaxRetryAfter     = 2 * time.Second
	defaultHoldLastGood      = 10 * time.Minute // long enough for operators to notice that a DNS resolver or the script that writes a members file is down
	defaultFlapDamping       = time.Second
	defaultMinTTL            = time.Second
	defaultMaxTTL            = time.Minute

	maxAttempts = 100
	maxTiers    = 100                    // upper bound of Pool.Tier and of Pool.TiersBelow
	minTTL      = 100 * time.Millisecond // lower bound of DNS.MinTTL
)

func (p *Pool) applyDefaults(tomlFile *tomlfile.File, table string) {
	setDefault(tomlFile, table+".attempts", &p.MaxAttempts, defaultMaxAttempts)
	setDefault(tomlFile, table+".cold_from", &p.SlowStartCapacity, defaultSlowStartCapacity)
	setDefault(tomlFile, table+".cold_for", &p.SlowStartDuration, defaultSlowStartDuration)
	setDefault(tomlFile, table+".connections", &p.MaxConnections, defaultConnections)
	setDefault(tomlFile, table+".dial_timeout", &p.DialTimeout, defaultDialTimeout)
	setDefault(tomlFile, table+".idle_timeout", &p.IdleTimeout, defaultPoolIdleTimeout)
	setDefault(tomlFile, table+".retry_after_most", &p.MaxRetryAfter, defaultMaxRetryAfter)
	setIfEmpty(&p.StartAt, startAtHead)
	setDefault(tomlFile, table+".flow_idle", &p.StreamIdleTimeout, defaultStreamIdleTimeout)
	setDefault(tomlFile, table+".flow_rate", &p.MinStreamRate, defaultMinStreamRate)
	setDefault(tomlFile, table+".hold", &p.HoldLastGood, defaultHoldLastGood)
	setDefault(tomlFile, table+".damp", &p.FlapDamping, defaultFlapDamping)
	for i := range p.Member {
		setIfEmpty(&p.Member[i].ID, p.Member[i].Address)
		setIfEmpty(&p.Member[i].State, memberReady)
	}
	if d := p.DNS; d != nil {
		setIfEmpty(&d.Type, dnsTypeAddress)
		setDefault(tomlFile, table+".dns.ttl_least", &d.MinTTL, defaultMinTTL)
		setDefault(tomlFile, table+".dns.ttl_most", &d.MaxTTL, max(defaultMaxTTL, d.MinTTL))
	}
}

func (f *File) checkPools(tomlFile *tomlfile.File) error {
	if len(f.Pool) == 0 {
		return tomlFile.Errorf("pool", "must be given")
	}
	names := uniqueNames{}
	for i := range f.Pool {
		if err := f.Pool[i].check(tomlFile, fmt.Sprintf("pool[%d]", i), names); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error for the first invalid field of the pool. table is the full name of its section, for errors. names has the
// names of the pools that were checked before; check adds the name of this pool.
func (p *Pool) check(tomlFile *tomlfile.File, table string, names uniqueNames) error {
	if err := tomlFile.Check(table, []tomlfile.Requirement{
		tomlfile.Require("name", names.add(p.Name), "a unique name"),
		tomlfile.Require("attempts", p.MaxAttempts >= 1 && p.MaxAttempts <= maxAttempts, "from 1 to 100"),
		tomlfile.Require("cold_from", p.SlowStartCapacity > 0 && p.SlowStartCapacity <= 1, "over 0, and 1 at most"),
		tomlfile.Require("connections", p.MaxConnections >= 1 && p.MaxConnections <= maxConnections, "from 1 to 1000000"),
		tomlfile.Require("dial_timeout", p.DialTimeout > 0, "over 0"),
		tomlfile.Require("idle_timeout", p.IdleTimeout > 0, "over 0"),
		tomlfile.Require("tier", p.Tier >= 0 && p.Tier <= maxTiers, "from 0 to 100"),
		tomlfile.Require("tiers_below", p.TiersBelow >= 0 && p.TiersBelow <= maxTiers, "from 0 to 100"),
		tomlfile.Require("member", len(p.Member) <= discovery.MaxMembers, fmt.Sprintf("a list of at most %d members", discovery.MaxMembers)),
		tomlfile.Require("agent", p.Agent == "" || isAddress(p.Agent), "host:port"),
	}); err != nil {
		return err
	}
	if err := p.checkSource(tomlFile, table); err != nil {
		return err
	}
	return p.checkMembers(tomlFile, table)
}

// checkSource checks that the pool has exactly one source of endpoints, and that the fields members and dns are valid.
func (p *Pool) checkSource(tomlFile *tomlfile.File, table string) error {
	sourceCount := 0
	for _, isGiven := range []bool{len(p.Member) > 0, p.Agent != "", p.File != "", p.DNS != nil, p.MembersSource != ""} {
		if isGiven {
			sourceCount++
		}
	}
	if sourceCount != 1 {
		return tomlFile.Errorf(table, "must have exactly one of member, agent, file, dns and members")
	}
	if p.MembersSource != "" && p.MembersSource != membersAgreedByCluster {
		return tomlFile.Errorf(table+".members", `must be "agreed"`)
	}
	if p.DNS == nil {
		return nil
	}
	return p.DNS.check(tomlFile, table+".dns")
}

func (d *DNS) check(tomlFile *tomlfile.File, table string) error {
	isSRV := d.Type == dnsTypeSRV
	return tomlFile.Check(table, []tomlfile.Requirement{
		tomlfile.Require("name", discovery.IsDNSName(d.Name), "a DNS name"),
		tomlfile.Require("type", d.Type == dnsTypeAddress || isSRV, `"address" or "srv"`),
		tomlfile.Require("port", isSRV == (d.Port == 0) && d.Port >= 0 && d.Port < 1<<16,
			`from 1 to 65535 for type "address", and left out for type "srv"`),
		tomlfile.Require("server", d.Server == "" || isAddress(d.Server), "host:port"),
		tomlfile.Require("ttl_least", d.MinTTL >= minTTL, fmt.Sprintf("%v at least", minTTL)),
		tomlfile.Require("ttl_most", d.MaxTTL >= d.MinTTL, "ttl_least at least"),
	})
}

func (p *Pool) checkMembers(tomlFile *tomlfile.File, table string) error {
	ids := uniqueNames{}
	for i, m := range p.Member {
		if err := tomlFile.Check(fmt.Sprintf("%s.member[%d]", table, i), []tomlfile.Requirement{
			tomlfile.Require("address", isAddress(m.Address) && !strings.HasSuffix(m.Address, ":0"), "host:port"),
			tomlfile.Require("id", ids.add(m.ID), "unique in the pool (it defaults to the address)"),
			tomlfile.Require("state", m.State == memberReady || m.State == memberDraining, `"ready" or "draining"`),
		}); err != nil {
			return err
		}
	}
	return nil
}

// EndpointsetMembers converts members from their form in an operators' file to that of package endpointset.
func EndpointsetMembers(members []Member) []endpointset.Member {
	var out []endpointset.Member
	for _, m := range members {
		out = append(out, endpointset.Member{ID: m.ID, Addr: m.Address, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell,
			Draining: m.State == memberDraining})
	}
	return out
}

// fileMembers converts members from their form in package endpointset to that in an operators' file. It is the inverse of EndpointsetMembers.
func fileMembers(members []endpointset.Member) []Member {
	var out []Member
	for _, m := range members {
		state := memberReady
		if m.Draining {
			state = memberDraining
		}
		out = append(out, Member{ID: m.ID, Address: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: state})
	}
	return out
}
