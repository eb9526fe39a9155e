package config

import (
	"fmt"
	"strings"
	"time"

	"tuliprock/internal/discovery"
	"tuliprock/internal/endpointset"
	"tuliprock/internal/tomlfile"
)

// Pool is a section [[pool]]: endpoints that serve the same requests, with a balancer of their own. Its endpoints come
// from exactly one of Member, Agent, File, DNS and Members.
type Pool struct {
	Name        string        `toml:"name"`
	Attempts    int           `toml:"attempts"`     // for one request at most
	Connections int           `toml:"connections"`  // to all endpoints together, at most
	DialTimeout time.Duration `toml:"dial_timeout"` // a connection not established by then has failed
	IdleTimeout time.Duration `toml:"idle_timeout"` // a connection idle for longer is not used again

	// cold_from and cold_for in the file: the share of its capacity that a new endpoint starts with, over 0 to 1, and
	// the time after which it has all of it.
	SlowStartMinWeight float64       `toml:"cold_from"`
	SlowStartWindow    time.Duration `toml:"cold_for"`

	Tier          int           `toml:"tier"`             // how many tiers of clients stand before this daemon
	TiersBelow    int           `toml:"tiers_below"`      // how many tiers the endpoints depend on
	MaxRetryAfter time.Duration `toml:"retry_after_most"` // the longest Retry-After that is sent to a client

	// begins, answer_bytes, flow_idle and flow_rate in the file.
	StartAt           string        `toml:"begins"`       // when an endpoint may start on a request: "head" or "last_byte"
	MaxResponseBytes  int64         `toml:"answer_bytes"` // of a response's body; 0: unlimited
	StreamIdleTimeout time.Duration `toml:"flow_idle"`    // the longest wait for an endpoint while a body streams
	MinStreamRate     int64         `toml:"flow_rate"`    // bytes a second that the endpoint must keep up; 0: no minimum

	Member  []Member `toml:"member"`  // a fixed list
	Agent   string   `toml:"agent"`   // host:port of the platform's discovery
	File    string   `toml:"file"`    // path of a file of members
	DNS     *DNS     `toml:"dns"`     // a name to resolve
	Members string   `toml:"members"` // "agreed": a list that the cluster agrees on

	// hold and damp in the file: for how long the last good list outlives sources that fail or list nobody, and for how
	// long an endpoint that flaps must be listed before it is used, at first.
	HoldLastGood time.Duration `toml:"hold"`
	FlapDamping  time.Duration `toml:"damp"`
}

// DNS says which name resolves to a pool's endpoints.
type DNS struct {
	Name   string        `toml:"name"`
	Type   string        `toml:"type"`   // "address" (A and AAAA) or "srv"
	Port   int           `toml:"port"`   // of the endpoints, for "address" only
	Server string        `toml:"server"` // host:port; empty: the system's resolvers
	MinTTL time.Duration `toml:"ttl_least"`
	MaxTTL time.Duration `toml:"ttl_most"`
}

// Member is an endpoint in a pool's list.
type Member struct {
	ID      string `toml:"id"` // left out: Address
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Kind    string `toml:"kind"`
	Cell    int    `toml:"cell"`
	State   string `toml:"state"` // "ready" or "draining"
}

// Values of begins.
const (
	startAtHead     = "head"      // as soon as it has the request's head
	startAtLastByte = "last_byte" // once it has the complete request
)

// membersAgreed is the one value of members: the list is a document that the cluster agrees on.
const membersAgreed = "agreed"

// Values of a member's state.
const (
	memberReady    = "ready"
	memberDraining = "draining"
)

// Values of a DNS type.
const (
	dnsAddress = "address"
	dnsSRV     = "srv"
)

// Bounds and defaults of a pool.
const (
	defaultAttempts           = 4
	defaultSlowStartMinWeight = 0.3
	defaultSlowStartWindow    = 10 * time.Second
	defaultDialTimeout        = 250 * time.Millisecond
	defaultPoolIdleTimeout    = 15 * time.Second
	defaultMaxRetryAfter      = 2 * time.Second
	defaultHoldLastGood       = 10 * time.Minute // an outage of a resolver or a script is noticed by people within it
	defaultFlapDamping        = time.Second
	defaultMinTTL             = time.Second
	defaultMaxTTL             = time.Minute

	maxAttempts = 100
	maxTiers    = 100
	minTTL      = 100 * time.Millisecond
)

func (p *Pool) applyDefaults(at *tomlfile.File, table string) {
	setDefault(at, table+".attempts", &p.Attempts, defaultAttempts)
	setDefault(at, table+".cold_from", &p.SlowStartMinWeight, defaultSlowStartMinWeight)
	setDefault(at, table+".cold_for", &p.SlowStartWindow, defaultSlowStartWindow)
	setDefault(at, table+".connections", &p.Connections, defaultConnections)
	setDefault(at, table+".dial_timeout", &p.DialTimeout, defaultDialTimeout)
	setDefault(at, table+".idle_timeout", &p.IdleTimeout, defaultPoolIdleTimeout)
	setDefault(at, table+".retry_after_most", &p.MaxRetryAfter, defaultMaxRetryAfter)
	setIfEmpty(&p.StartAt, startAtHead)
	setDefault(at, table+".flow_idle", &p.StreamIdleTimeout, defaultStreamIdleTimeout)
	setDefault(at, table+".flow_rate", &p.MinStreamRate, defaultMinStreamRate)
	setDefault(at, table+".hold", &p.HoldLastGood, defaultHoldLastGood)
	setDefault(at, table+".damp", &p.FlapDamping, defaultFlapDamping)
	for i := range p.Member {
		setIfEmpty(&p.Member[i].ID, p.Member[i].Address)
		setIfEmpty(&p.Member[i].State, memberReady)
	}
	if d := p.DNS; d != nil {
		setIfEmpty(&d.Type, dnsAddress)
		setDefault(at, table+".dns.ttl_least", &d.MinTTL, defaultMinTTL)
		setDefault(at, table+".dns.ttl_most", &d.MaxTTL, max(defaultMaxTTL, d.MinTTL))
	}
}

func (f *File) checkPools(at *tomlfile.File) error {
	if len(f.Pool) == 0 {
		return at.Errorf("pool", "must be given")
	}
	names := uniqueNames{}
	for i := range f.Pool {
		if err := f.Pool[i].check(at, fmt.Sprintf("pool[%d]", i), names); err != nil {
			return err
		}
	}
	return nil
}

// check adds the pool's name to those of the pools before it.
func (p *Pool) check(at *tomlfile.File, table string, names uniqueNames) error {
	if err := at.Check(table, []tomlfile.Requirement{
		tomlfile.Require("name", names.add(p.Name), "a name of its own"),
		tomlfile.Require("attempts", p.Attempts >= 1 && p.Attempts <= maxAttempts, "from 1 to 100"),
		tomlfile.Require("cold_from", p.SlowStartMinWeight > 0 && p.SlowStartMinWeight <= 1, "over 0, and 1 at most"),
		tomlfile.Require("connections", p.Connections >= 1 && p.Connections <= maxConnections, "from 1 to 1000000"),
		tomlfile.Require("dial_timeout", p.DialTimeout > 0, "over 0"),
		tomlfile.Require("idle_timeout", p.IdleTimeout > 0, "over 0"),
		tomlfile.Require("tier", p.Tier >= 0 && p.Tier <= maxTiers, "from 0 to 100"),
		tomlfile.Require("tiers_below", p.TiersBelow >= 0 && p.TiersBelow <= maxTiers, "from 0 to 100"),
		tomlfile.Require("member", len(p.Member) <= discovery.MaxMembers, fmt.Sprintf("%d of them at most", discovery.MaxMembers)),
		tomlfile.Require("agent", p.Agent == "" || isAddress(p.Agent), "host:port"),
	}); err != nil {
		return err
	}
	if err := p.checkSource(at, table); err != nil {
		return err
	}
	return p.checkMembers(at, table)
}

// checkSource requires endpoints to come from exactly one source, and that source to be usable.
func (p *Pool) checkSource(at *tomlfile.File, table string) error {
	sources := 0
	for _, isGiven := range []bool{len(p.Member) > 0, p.Agent != "", p.File != "", p.DNS != nil, p.Members != ""} {
		if isGiven {
			sources++
		}
	}
	if sources != 1 {
		return at.Errorf(table, "must have members from one place: member, agent, file, dns or members")
	}
	if p.Members != "" && p.Members != membersAgreed {
		return at.Errorf(table+".members", `must be "agreed"`)
	}
	if p.DNS == nil {
		return nil
	}
	return p.DNS.check(at, table+".dns")
}

func (d *DNS) check(at *tomlfile.File, table string) error {
	isSRV := d.Type == dnsSRV
	return at.Check(table, []tomlfile.Requirement{
		tomlfile.Require("name", discovery.IsDNSName(d.Name), "a name in DNS"),
		tomlfile.Require("type", d.Type == dnsAddress || isSRV, `"address" or "srv"`),
		tomlfile.Require("port", isSRV == (d.Port == 0) && d.Port >= 0 && d.Port < 1<<16,
			`from 1 to 65535 for "address", and left out for "srv"`),
		tomlfile.Require("server", d.Server == "" || isAddress(d.Server), "host:port"),
		tomlfile.Require("ttl_least", d.MinTTL >= minTTL, fmt.Sprintf("%v at least", minTTL)),
		tomlfile.Require("ttl_most", d.MaxTTL >= d.MinTTL, "ttl_least at least"),
	})
}

func (p *Pool) checkMembers(at *tomlfile.File, table string) error {
	ids := uniqueNames{}
	for i, m := range p.Member {
		if err := at.Check(fmt.Sprintf("%s.member[%d]", table, i), []tomlfile.Requirement{
			tomlfile.Require("address", isAddress(m.Address) && !strings.HasSuffix(m.Address, ":0"), "host:port"),
			tomlfile.Require("id", ids.add(m.ID), "an id of its own in the pool (left out, it is the address)"),
			tomlfile.Require("state", m.State == memberReady || m.State == memberDraining, `"ready" or "draining"`),
		}); err != nil {
			return err
		}
	}
	return nil
}

// StaticMembers converts a fixed list of members to the form of an endpoint source.
func StaticMembers(members []Member) []endpointset.Member {
	var out []endpointset.Member
	for _, m := range members {
		out = append(out, endpointset.Member{ID: m.ID, Addr: m.Address, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell,
			Draining: m.State == memberDraining})
	}
	return out
}

// membersFromEndpoints is the inverse of StaticMembers.
func membersFromEndpoints(endpoints []endpointset.Member) []Member {
	var out []Member
	for _, e := range endpoints {
		state := memberReady
		if e.Draining {
			state = memberDraining
		}
		out = append(out, Member{ID: e.ID, Address: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: state})
	}
	return out
}
