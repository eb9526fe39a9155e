package config

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/discovery"
	"tuliprock/internal/route"
	"tuliprock/internal/tomlfile"
)

// File is the operators' file: what a daemon serves that no platform tells. Read checks it whole.
type File struct {
	Format   int        `toml:"format"` // 1
	Daemon   Daemon     `toml:"daemon"`
	Fleet    *Cluster   `toml:"fleet"` // nil: this daemon knows of no other
	Listener []Listener `toml:"listener"`
	Class    []Class    `toml:"class"`
	Tenant   []Tenant   `toml:"tenant"`
	Pool     []Pool     `toml:"pool"`
	Route    []Route    `toml:"route"`
	Shared   Shared     `toml:"shared"`

	table               *route.Table
	dividesByMembership bool                // daemons and index are the fleet's matter
	agreedMembers       map[string][]Member // lists that are agreed on, by pool
}

// Daemon is what concerns the process as a whole.
type Daemon struct {
	Name     string  `toml:"name"`
	Count    int     `toml:"daemons"` // that share the pools, this one included
	Index    int     `toml:"index"`   // of this one among them, from 0
	Seed     uint64  `toml:"seed"`    // 0: drawn at the start
	Cores    float64 `toml:"cores"`   // 0: as many as the system gives
	MemoryMB int     `toml:"memory_mb"`

	AdminAddr string `toml:"admin_addr"` // where operators call; empty: nowhere

	BodyMemoryMB int           `toml:"body_memory_mb"` // for bodies of requests, and for all that flow
	DrainTimeout time.Duration `toml:"drain_timeout"`  // after SIGTERM, until bodies that still flow are cut off
}

// Listener is an address that callers connect to.
type Listener struct {
	Name         string        `toml:"name"`
	Address      string        `toml:"address"`
	Connections  int           `toml:"connections"`
	HeadBytes    int           `toml:"head_bytes"`
	BodyBytes    int64         `toml:"body_bytes"`
	HeadTimeout  time.Duration `toml:"head_timeout"`
	BodyTimeout  time.Duration `toml:"body_timeout"`
	IdleTimeout  time.Duration `toml:"idle_timeout"`
	WriteTimeout time.Duration `toml:"write_timeout"`
	Forwarded    string        `toml:"forwarded"`
	RetryAfter   string        `toml:"retry_after"` // "seconds" (RFC 9110) or "fraction"
	FlowIdle     time.Duration `toml:"flow_idle"`   // the longest wait for a caller while a body flows
	FlowRate     int64         `toml:"flow_rate"`   // bytes a second that it must keep up; 0: none

	Descriptor int `toml:"-"` // of its socket, which the platform holds; 0: it is opened

	Raw bool // targets are matched and go on as they came: the platform's way, which a file can't ask for
}

// Class is a class of requests: what repeating one may do, and where its particulars are found.
type Class struct {
	Name              string        `toml:"name"`
	Effect            string        `toml:"effect"`
	IdempotencyWindow time.Duration `toml:"window"`
	Group             string        `toml:"group"`
	Aim               time.Duration `toml:"aim"`
	Deadline          time.Duration `toml:"deadline"`
	DeadlineMost      time.Duration `toml:"deadline_most"`
	IDHeader          string        `toml:"id_header"`
	KeyHeader         string        `toml:"key_header"`
	TenantHeader      string        `toml:"tenant_header"`
	DeadlineHeader    string        `toml:"deadline_header"`

	RetryHeader     string   `toml:"retry_header"` // "1" there: the caller has asked before; empty: nobody's word is taken for that
	IDMissing       string   `toml:"id_missing"`
	DeadlineMissing string   `toml:"deadline_missing"`
	Methods         []string `toml:"methods"` // that are served; none: all

	FlowMost      time.Duration `toml:"flow_most"`      // that a body may flow, each way
	DeadlineScope string        `toml:"deadline_rules"` // "waits" or "all"

	NoBody bool // requests bring none: the platform's way, which a file can't ask for
}

// What becomes of a request that lacks an id or a deadline.
const (
	missingMake   = "make"
	missingFill   = "fill"
	missingReject = "refuse"
)

// What a class's deadline rules, and with what of a request a member may begin.
const (
	deadlineCoversWaits = "waits"
	deadlineCoversAll   = "all"
	startAtHead         = "head"
	startAtLastByte     = "last_byte"
)

// membersAgreed says that a pool's list is agreed on.
const membersAgreed = "agreed"

// Defaults where bodies flow. The wait is that of a connection whose peer has to send lost segments several times (RFC
// 6298 doubles 1 s); the rate is below that of the slowest links in service (GPRS, some 20 kbit/s).
const (
	defaultStreamIdleTimeout = 10 * time.Second
	defaultMinStreamRate     = 1 << 10
)

// MustHaveID tells whether a request that lacks one is turned away; else one is made.
func (c *Class) MustHaveID() bool { return c.IDMissing == missingReject }

// MustHaveDeadline tells whether a request that lacks one is turned away; else the class's own holds.
func (c *Class) MustHaveDeadline() bool { return c.DeadlineMissing == missingReject }

// DeadlineAll tells whether the deadline rules bodies that flow, too.
func (c *Class) DeadlineAll() bool { return c.DeadlineScope == deadlineCoversAll }

// Tenant is one of the parties that share the pools.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"` // requests a second within its share
}

// Pool is a set of members that serve the same, with a decision module of its own.
type Pool struct {
	Name               string        `toml:"name"`
	Attempts           int           `toml:"attempts"`
	SlowStartMinWeight float64       `toml:"cold_from"`
	SlowStartWindow    time.Duration `toml:"cold_for"`
	Connections        int           `toml:"connections"`
	DialTimeout        time.Duration `toml:"dial_timeout"`
	IdleTimeout        time.Duration `toml:"idle_timeout"`

	Tier          int           `toml:"tier"`        // how many tiers of callers stand before
	TiersBelow    int           `toml:"tiers_below"` // how many tiers the members depend on
	MaxRetryAfter time.Duration `toml:"retry_after_most"`

	StartAt           string        `toml:"begins"`       // with what of a request a member may begin: "head" or "last_byte"
	MaxResponseBytes  int64         `toml:"answer_bytes"` // 0: any number
	StreamIdleTimeout time.Duration `toml:"flow_idle"`
	MinStreamRate     int64         `toml:"flow_rate"`

	Member       []Member      `toml:"member"`  // one of these five
	Agent        string        `toml:"agent"`   //
	File         string        `toml:"file"`    //
	DNS          *DNS          `toml:"dns"`     //
	Members      string        `toml:"members"` // "agreed"
	HoldLastGood time.Duration `toml:"hold"`
	FlapDamping  time.Duration `toml:"damp"`
}

// DNS says which name stands for a pool's members.
type DNS struct {
	Name     string        `toml:"name"`
	Type     string        `toml:"type"`   // "address" (A and AAAA) or "srv"
	Port     int           `toml:"port"`   // of the members, for "address"
	Server   string        `toml:"server"` // host:port; empty: the system's
	TTLLeast time.Duration `toml:"ttl_least"`
	TTLMost  time.Duration `toml:"ttl_most"`
}

// Member is an endpoint of a fixed list.
type Member struct {
	ID      string `toml:"id"`
	Address string `toml:"address"`
	Zone    string `toml:"zone"`
	Kind    string `toml:"kind"`
	Cell    int    `toml:"cell"`
	State   string `toml:"state"` // "ready" or "draining"
}

// Route says which requests go to which pool, as which class. The first that matches takes a request.
type Route struct {
	Name          string      `toml:"name"`
	Hosts         []string    `toml:"hosts"`
	Path          string      `toml:"path"`          // one of these four, or none
	PathPrefix    string      `toml:"path_prefix"`   //
	PathSegments  string      `toml:"path_segments"` //
	PathPattern   string      `toml:"path_pattern"`  //
	Methods       []string    `toml:"methods"`
	Header        []Condition `toml:"header"`
	Query         []Condition `toml:"query"`
	Pool          string      `toml:"pool"`
	Class         string      `toml:"class"`
	Tenant        string      `toml:"tenant"`         // for requests that name none
	ReplacePrefix string      `toml:"replace_prefix"` // put in place of path_prefix

	SetHeader     []HeaderValue `toml:"set_header"`
	RemoveHeaders []string      `toml:"remove_headers"`
}

// HeaderValue is a header that a route sets.
type HeaderValue struct {
	Name  string `toml:"name"`
	Value string `toml:"value"`
}

// Condition is on a header or a query value; with neither equal nor prefix nor absent it must be there.
type Condition struct {
	Name   string `toml:"name"`
	Equal  string `toml:"equal"`
	Prefix string `toml:"prefix"`
	Absent bool   `toml:"absent"`
}

// Defaults of an operators' file. Times and sizes are those that the platform's daemon was measured with.
const (
	defaultConnections        = 500
	defaultHeadBytes          = 16 << 10
	defaultBodyBytes          = 64 << 10
	maxBodyBytes              = 1 << 40
	maxBodyMemoryMB           = 1 << 20
	defaultAttempts           = 4
	SpareCallers              = 16 // connections of callers beyond a listener's own number, until an idle one is closed for them
	defaultSlowStartMinWeight = 0.3
	defaultSlowStartWindow    = 10 * time.Second
	maxDeadline               = time.Hour
	maxStreamDuration         = 24 * time.Hour
	defaultHoldLastGood       = 10 * time.Minute // a resolver's or a script's outage is noticed by people within it
	defaultFlapDamping        = time.Second
	minTTL                    = 100 * time.Millisecond
	maxRoutes                 = 100_000
)

// Read reads and checks an operators' file. An error names file, line and field, in one line; a file that can't be read
// is the error of the system.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseFile(path, text)
}

// ParseFile is Read on a text already read.
func ParseFile(name string, text []byte) (*File, error) {
	return parse(name, text, (*File).checkNeedsConsensus)
}

// parse reads and checks a whole file; agreed is how it looks for what a fleet would be needed for that agrees.
func parse(name string, text []byte, agreed func(*File, *tomlfile.File) error) (*File, error) {
	f := &File{}
	at, err := tomlfile.Decode(name, text, f)
	if err != nil {
		return nil, err
	}
	f.applyDefaults(at)
	f.applyClusterDefaults(at)
	for _, check := range []func(*tomlfile.File) error{f.checkListeners, f.checkCluster, f.checkShared, func(at *tomlfile.File) error { return agreed(f, at) }, f.checkClasses, f.checkTenants, f.checkPools, f.checkRoutes} {
		if err := check(at); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Table is the file's routes, compiled; its rules have the places of Route.
func (f *File) Table() *route.Table { return f.table }

func setDefault(v *string, otherwise string) { *v = cmp.Or(*v, otherwise) }

// defaultListener has the times and sizes that the platform's daemon was measured with.
func defaultListener() Listener {
	return Listener{Connections: defaultConnections, HeadBytes: defaultHeadBytes, BodyBytes: defaultBodyBytes, HeadTimeout: 1500 * time.Millisecond,
		BodyTimeout: time.Second, IdleTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, Forwarded: "set", RetryAfter: "seconds"}
}

// applyDefaults puts defaults where the file says nothing. A zero that it does say stays, and is checked.
func (f *File) applyDefaults(at *tomlfile.File) {
	set := func(field string, fill func()) {
		if !at.Has(field) {
			fill()
		}
	}
	setDefault(&f.Daemon.Name, "tuliprock")
	setDefault(&f.Shared.OnIndeterminate, keepServing)
	set("daemon.body_memory_mb", func() { f.Daemon.BodyMemoryMB = 16 })
	set("daemon.drain_timeout", func() { f.Daemon.DrainTimeout = 30 * time.Second })
	set("daemon.daemons", func() { f.Daemon.Count = 1 })
	for i := range f.Listener {
		l, here, otherwise := &f.Listener[i], fmt.Sprintf("listener[%d].", i), defaultListener()
		set(here+"connections", func() { l.Connections = otherwise.Connections })
		set(here+"head_bytes", func() { l.HeadBytes = otherwise.HeadBytes })
		set(here+"body_bytes", func() { l.BodyBytes = otherwise.BodyBytes })
		set(here+"head_timeout", func() { l.HeadTimeout = otherwise.HeadTimeout })
		set(here+"body_timeout", func() { l.BodyTimeout = otherwise.BodyTimeout })
		set(here+"idle_timeout", func() { l.IdleTimeout = otherwise.IdleTimeout })
		set(here+"write_timeout", func() { l.WriteTimeout = otherwise.WriteTimeout })
		set(here+"flow_idle", func() { l.FlowIdle = defaultStreamIdleTimeout })
		set(here+"flow_rate", func() { l.FlowRate = defaultMinStreamRate })
		setDefault(&l.Forwarded, otherwise.Forwarded)
		setDefault(&l.RetryAfter, otherwise.RetryAfter)
	}
	for i := range f.Class {
		c, here := &f.Class[i], fmt.Sprintf("class[%d].", i)
		set(here+"deadline", func() { c.Deadline = 5 * time.Second })
		set(here+"deadline_most", func() { c.DeadlineMost = max(c.Deadline, time.Minute) })
		set(here+"aim", func() { c.Aim = c.Deadline / 2 })
		setDefault(&c.Group, "all")
		setDefault(&c.IDHeader, "Req-Id")
		setDefault(&c.KeyHeader, "Idempotency-Key")
		setDefault(&c.TenantHeader, "Req-Owner")
		setDefault(&c.DeadlineHeader, "Req-Deadline-Ms")
		setDefault(&c.IDMissing, missingMake)
		setDefault(&c.DeadlineMissing, missingFill)
		set(here+"flow_most", func() { c.FlowMost = time.Hour })
		setDefault(&c.DeadlineScope, deadlineCoversWaits)
	}
	for i := range f.Pool {
		p, here := &f.Pool[i], fmt.Sprintf("pool[%d].", i)
		set(here+"attempts", func() { p.Attempts = defaultAttempts })
		set(here+"cold_from", func() { p.SlowStartMinWeight = defaultSlowStartMinWeight })
		set(here+"cold_for", func() { p.SlowStartWindow = defaultSlowStartWindow })
		set(here+"connections", func() { p.Connections = defaultConnections })
		set(here+"dial_timeout", func() { p.DialTimeout = 250 * time.Millisecond })
		set(here+"idle_timeout", func() { p.IdleTimeout = 15 * time.Second })
		set(here+"retry_after_most", func() { p.MaxRetryAfter = 2 * time.Second })
		setDefault(&p.StartAt, startAtHead)
		set(here+"flow_idle", func() { p.StreamIdleTimeout = defaultStreamIdleTimeout })
		set(here+"flow_rate", func() { p.MinStreamRate = defaultMinStreamRate })
		set(here+"hold", func() { p.HoldLastGood = defaultHoldLastGood })
		set(here+"damp", func() { p.FlapDamping = defaultFlapDamping })
		for k := range p.Member {
			setDefault(&p.Member[k].ID, p.Member[k].Address)
			setDefault(&p.Member[k].State, "ready")
		}
		if d := p.DNS; d != nil {
			setDefault(&d.Type, "address")
			set(here+"dns.ttl_least", func() { d.TTLLeast = time.Second })
			set(here+"dns.ttl_most", func() { d.TTLMost = max(time.Minute, d.TTLLeast) })
		}
	}
}

// uniqueNames holds names to be given, and each once.
type uniqueNames map[string]bool

func (n uniqueNames) add(name string) bool {
	ok := name != "" && !n[name]
	n[name] = true
	return ok
}

func (f *File) checkListeners(at *tomlfile.File) error {
	if f.Format != 1 {
		return at.Errorf("format", "must be 1")
	}
	d := f.Daemon
	if err := at.Check("daemon", []tomlfile.Must{
		tomlfile.Need("name", isHeaderName(d.Name), "letters, digits and dashes"),
		tomlfile.Need("daemons", d.Count >= 1 && d.Count <= 100_000, "from 1 to 100000"),
		tomlfile.Need("index", d.Index >= 0 && d.Index < d.Count, "from 0, and under daemons"),
		tomlfile.Need("cores", d.Cores >= 0, "0 or more"),
		tomlfile.Need("body_memory_mb", d.BodyMemoryMB >= 1 && d.BodyMemoryMB <= maxBodyMemoryMB, fmt.Sprintf("from 1 to %d", maxBodyMemoryMB)),
		tomlfile.Need("drain_timeout", d.DrainTimeout >= 0 && d.DrainTimeout <= maxDeadline, "from 0s to 1h"),
		tomlfile.Need("admin_addr", d.AdminAddr == "" || isAddress(d.AdminAddr), "host:port"),
		tomlfile.Need("memory_mb", d.MemoryMB == 0 || d.MemoryMB >= minMemoryMB, fmt.Sprintf("0 (no limit) or %d at least", minMemoryMB)),
	}); err != nil {
		return err
	}
	if len(f.Listener) == 0 {
		return at.Errorf("listener", "must be given")
	}
	seen, addresses := uniqueNames{}, uniqueNames{}
	for i, l := range f.Listener {
		if err := at.Check(fmt.Sprintf("listener[%d]", i), []tomlfile.Must{
			tomlfile.Need("name", seen.add(l.Name), "a name of its own"),
			tomlfile.Need("address", isAddress(l.Address), "host:port"),
			tomlfile.Need("address", strings.HasSuffix(l.Address, ":0") || addresses.add(l.Address), "an address of its own"),
			tomlfile.Need("connections", l.Connections >= 1 && l.Connections <= 1_000_000, "from 1 to 1000000"),
			tomlfile.Need("head_bytes", l.HeadBytes >= 1<<10 && l.HeadBytes <= 1<<20, "from 1024 to 1048576"),
			tomlfile.Need("body_bytes", l.BodyBytes >= 0 && l.BodyBytes <= maxBodyBytes, fmt.Sprintf("from 0 to %d", maxBodyBytes)),
			tomlfile.Need("head_timeout", l.HeadTimeout > 0, "over 0"),
			tomlfile.Need("body_timeout", l.BodyTimeout > 0, "over 0"),
			tomlfile.Need("idle_timeout", l.IdleTimeout > 0, "over 0"),
			tomlfile.Need("write_timeout", l.WriteTimeout > 0, "over 0"),
			tomlfile.Need("flow_idle", l.FlowIdle > 0, "over 0"),
			tomlfile.Need("flow_rate", l.FlowRate >= 0, "0 or more"),
			tomlfile.Need("forwarded", slices.Contains([]string{"set", "append", "drop", "leave"}, l.Forwarded), `"set", "append", "drop" or "leave"`),
			tomlfile.Need("retry_after", l.RetryAfter == "seconds" || l.RetryAfter == "fraction", `"seconds" or "fraction"`),
		}); err != nil {
			return err
		}
	}
	return nil
}

func isAddress(s string) bool { return discovery.CheckAddress("", s) == nil }

// isHeaderName tells whether a name can be that of a header (RFC 9110, 5.6.2).
func isHeaderName(s string) bool {
	for _, c := range s {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", c) {
			return false
		}
	}
	return s != ""
}

// isHeaderValue tells whether a text can be that of a header (RFC 9110, 5.5), without looking at what is beyond ASCII.
func isHeaderValue(s string) bool {
	return strings.TrimSpace(s) == s && !strings.ContainsFunc(s, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f })
}

// Effects and Groups are the module's, by their names in the file.
var (
	Effects = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}
	groups  = map[string]balance.Group{"all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell}
)

func (f *File) checkClasses(at *tomlfile.File) error {
	if len(f.Class) == 0 {
		return at.Errorf("class", "must be given")
	}
	seen := uniqueNames{}
	for i, c := range f.Class {
		_, effect := Effects[c.Effect]
		_, group := groups[c.Group]
		if err := at.Check(fmt.Sprintf("class[%d]", i), []tomlfile.Must{
			tomlfile.Need("name", seen.add(c.Name), "a name of its own"),
			tomlfile.Need("effect", effect, "safe, keyed or unsafe"),
			tomlfile.Need("window", (c.IdempotencyWindow > 0) == (c.Effect == "keyed"), "over 0 for a keyed class, and only there"),
			tomlfile.Need("group", group, "all, zone or cell"),
			tomlfile.Need("deadline", c.Deadline > 0, "over 0"),
			tomlfile.Need("deadline_most", c.DeadlineMost >= c.Deadline && c.DeadlineMost <= maxDeadline, "the deadline at least, and 1h at most"),
			tomlfile.Need("flow_most", c.FlowMost > 0 && c.FlowMost <= maxStreamDuration, "over 0, and 24h at most"),
			tomlfile.Need("deadline_rules", c.DeadlineScope == deadlineCoversWaits || c.DeadlineScope == deadlineCoversAll, `"waits" or "all"`),
			tomlfile.Need("aim", c.Aim > 0 && c.Aim <= c.DeadlineMost, "over 0, and deadline_most at most"),
			tomlfile.Need("id_header", isHeaderName(c.IDHeader), "the name of a header"),
			tomlfile.Need("key_header", isHeaderName(c.KeyHeader), "the name of a header"),
			tomlfile.Need("tenant_header", isHeaderName(c.TenantHeader), "the name of a header"),
			tomlfile.Need("deadline_header", isHeaderName(c.DeadlineHeader), "the name of a header"),
			tomlfile.Need("retry_header", c.RetryHeader == "" || isHeaderName(c.RetryHeader), "the name of a header"),
			tomlfile.Need("id_missing", c.IDMissing == missingMake || c.IDMissing == missingReject, `"make" or "refuse"`),
			tomlfile.Need("deadline_missing", c.DeadlineMissing == missingFill || c.DeadlineMissing == missingReject, `"fill" or "refuse"`),
		}); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) checkTenants(at *tomlfile.File) error {
	seen := uniqueNames{}
	for i, t := range f.Tenant {
		if err := at.Check(fmt.Sprintf("tenant[%d]", i), []tomlfile.Must{
			tomlfile.Need("name", seen.add(t.Name), "a name of its own"),
			tomlfile.Need("quota", t.Quota > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	return nil
}

func (f *File) checkPools(at *tomlfile.File) error {
	if len(f.Pool) == 0 {
		return at.Errorf("pool", "must be given")
	}
	seen := uniqueNames{}
	for i, p := range f.Pool {
		here := fmt.Sprintf("pool[%d]", i)
		if err := at.Check(here, []tomlfile.Must{
			tomlfile.Need("name", seen.add(p.Name), "a name of its own"),
			tomlfile.Need("attempts", p.Attempts >= 1 && p.Attempts <= 100, "from 1 to 100"),
			tomlfile.Need("cold_from", p.SlowStartMinWeight > 0 && p.SlowStartMinWeight <= 1, "over 0, and 1 at most"),
			tomlfile.Need("connections", p.Connections >= 1 && p.Connections <= 1_000_000, "from 1 to 1000000"),
			tomlfile.Need("dial_timeout", p.DialTimeout > 0, "over 0"),
			tomlfile.Need("idle_timeout", p.IdleTimeout > 0, "over 0"),
			tomlfile.Need("tier", p.Tier >= 0 && p.Tier <= 100, "from 0 to 100"),
			tomlfile.Need("tiers_below", p.TiersBelow >= 0 && p.TiersBelow <= 100, "from 0 to 100"),
			tomlfile.Need("member", len(p.Member) <= discovery.MaxMembers, fmt.Sprintf("%d of them at most", discovery.MaxMembers)),
			tomlfile.Need("agent", p.Agent == "" || isAddress(p.Agent), "host:port"),
		}); err != nil {
			return err
		}
		if err := p.checkSource(at, here); err != nil {
			return err
		}
		ids := uniqueNames{}
		for k, m := range p.Member {
			if err := at.Check(fmt.Sprintf("%s.member[%d]", here, k), []tomlfile.Must{
				tomlfile.Need("address", isAddress(m.Address) && !strings.HasSuffix(m.Address, ":0"), "host:port"),
				tomlfile.Need("id", ids.add(m.ID), "an id of its own in the pool (left out, it is the address)"),
				tomlfile.Need("state", m.State == "ready" || m.State == "draining", `"ready" or "draining"`),
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkSource wants members to come from one place.
func (p *Pool) checkSource(at *tomlfile.File, here string) error {
	given := 0
	for _, has := range []bool{len(p.Member) > 0, p.Agent != "", p.File != "", p.DNS != nil, p.Members != ""} {
		if has {
			given++
		}
	}
	if given != 1 {
		return at.Errorf(here, "must have members from one place: member, agent, file, dns or members")
	}
	if p.Members != "" && p.Members != membersAgreed {
		return at.Errorf(here+".members", `must be "agreed"`)
	}
	d := p.DNS
	if d == nil {
		return nil
	}
	return at.Check(here+".dns", []tomlfile.Must{
		tomlfile.Need("name", discovery.IsDNSName(d.Name), "a name in DNS"),
		tomlfile.Need("type", d.Type == "address" || d.Type == "srv", `"address" or "srv"`),
		tomlfile.Need("port", (d.Type == "srv") == (d.Port == 0) && d.Port >= 0 && d.Port < 1<<16, `from 1 to 65535 for "address", and left out for "srv"`),
		tomlfile.Need("server", d.Server == "" || isAddress(d.Server), "host:port"),
		tomlfile.Need("ttl_least", d.TTLLeast >= minTTL, fmt.Sprintf("%v at least", minTTL)),
		tomlfile.Need("ttl_most", d.TTLMost >= d.TTLLeast, "ttl_least at least"),
	})
}

func (f *File) checkRoutes(at *tomlfile.File) error {
	if n := len(f.Route); n == 0 || n > maxRoutes {
		return at.Errorf("route", "must be from 1 to %d of them", maxRoutes)
	}
	pools, classes, tenants := uniqueNames{}, uniqueNames{}, uniqueNames{"": true}
	for _, p := range f.Pool {
		pools[p.Name] = true
	}
	for _, c := range f.Class {
		classes[c.Name] = true
	}
	for _, t := range f.Tenant {
		tenants[t.Name] = true
	}
	rules := make([]route.Rule, 0, len(f.Route))
	for i, r := range f.Route {
		here := fmt.Sprintf("route[%d]", i)
		rule, err := r.rule(at, here)
		if err != nil {
			return err
		}
		if err := at.Check(here, []tomlfile.Must{
			tomlfile.Need("pool", pools[r.Pool], "the name of a pool"),
			tomlfile.Need("class", classes[r.Class], "the name of a class"),
			tomlfile.Need("tenant", tenants[r.Tenant], "the name of a tenant"),
			tomlfile.Need("replace_prefix", r.ReplacePrefix == "" || r.PathPrefix != "" && strings.HasPrefix(r.ReplacePrefix, "/"), "a path, beside path_prefix"),
		}); err != nil {
			return err
		}
		for k, h := range r.SetHeader {
			if err := at.Check(fmt.Sprintf("%s.set_header[%d]", here, k), []tomlfile.Must{
				tomlfile.Need("name", isRewritableHeader(h.Name), "a header that is not the daemon's own"),
				tomlfile.Need("value", isHeaderValue(h.Value), "a header's value"),
			}); err != nil {
				return err
			}
		}
		if !allMatch(r.RemoveHeaders, isRewritableHeader) {
			return at.Errorf(here+".remove_headers", "must be headers that are not the daemon's own")
		}
		if _, err := route.New([]route.Rule{rule}); err != nil { // alone, so that its line is known
			_, problem, _ := strings.Cut(err.Error(), "): ")
			return at.Errorf(here, "%s", problem)
		}
		rules = append(rules, rule)
	}
	var err error
	f.table, err = route.New(rules)
	return err
}

func allMatch(list []string, ok func(string) bool) bool {
	return !slices.ContainsFunc(list, func(s string) bool { return !ok(s) })
}

// rule is the route in the matcher's terms.
func (r *Route) rule(at *tomlfile.File, here string) (route.Rule, error) {
	rule := route.Rule{Name: r.Name, Hosts: r.Hosts, Methods: r.Methods}
	given := 0
	for _, p := range []struct {
		kind route.PathKind
		path string
	}{{route.Exact, r.Path}, {route.Prefix, r.PathPrefix}, {route.Segments, r.PathSegments}, {route.Pattern, r.PathPattern}} {
		if p.path != "" {
			given++
			rule.Kind, rule.Path = p.kind, p.path
		}
	}
	if given > 1 {
		return rule, at.Errorf(here, "must have one of path, path_prefix, path_segments and path_pattern at most")
	}
	if normal, _, err := route.Normalize(r.Path); r.Path != "" && (err != nil || normal != r.Path) {
		return rule, at.Errorf(here+".path", "%q is not in its normal form, and would never match", r.Path)
	}
	var err error
	if rule.Headers, err = routeConditions(at, here+".header", r.Header); err != nil {
		return rule, err
	}
	rule.Query, err = routeConditions(at, here+".query", r.Query)
	return rule, err
}

func routeConditions(at *tomlfile.File, here string, list []Condition) (out []route.Condition, err error) {
	for i, c := range list {
		this := fmt.Sprintf("%s[%d]", here, i)
		if c.Name == "" {
			return nil, at.Errorf(this+".name", "must be given")
		}
		given := 0
		n := route.Condition{Name: c.Name}
		for _, o := range []struct {
			op    route.Operator
			on    bool
			value string
		}{{route.Equal, at.Has(this + ".equal"), c.Equal}, {route.HasPrefix, c.Prefix != "", c.Prefix}, {route.Absent, c.Absent, ""}} {
			if o.on {
				given++
				n.Operator, n.Value = o.op, o.value
			}
		}
		if given > 1 {
			return nil, at.Errorf(this, "must have one of equal, prefix and absent at most")
		}
		out = append(out, n)
	}
	return out, nil
}
