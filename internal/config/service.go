package config

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/discovery"
	"tuliprock/internal/endpointset"
	"tuliprock/internal/route"
)

// Service is what a daemon serves, whoever told it: the platform (Config.Service) or an operators' file (File.Service).
// It never changes; a reload brings another.
type Service struct {
	Name      string
	Admin     string     // where operators call; empty: nowhere
	Operators int        // their connections at most
	Shared    string     // directory that all processes of the sidecar have; empty: there is one process at a time
	Fleet     *FleetSpec // nil: this daemon knows of no other
	Limits    Limits     // zero values: left to the system
	Listeners []Listener
	Pools     []PoolSpec
	Table     *route.Table
	Targets   []Target // by rule of the table
	File      *File    // that it was made of; nil: the platform's
	Refuses   bool     // requests, where it is not sure which version others act on

	BodyMemory int           // bytes; 0: bodies are held whole, and have lengths
	Drain      time.Duration // from the signal to end until bodies that still flow are cut off
	Grace      time.Duration // from that signal until the process is killed at the earliest
}

// PoolSpec is a pool as it is built.
type PoolSpec struct {
	Name        string
	Settings    balance.Settings // a seed of 0: one is drawn
	Connections int
	Dial, Idle  time.Duration
	LastByte    bool          // members begin a request with its last byte, and not before
	AnswerBytes int64         // 0: any number, where bodies flow
	Flow        body.Pace     // of members, where bodies flow
	Whole       time.Duration // that a short answer may take to come; 0: 0.5 s, on the platform far more than any takes (23 ms at most, measured)
	Spread      bool          // connections are opened rather than waited for
	OnlyOK      bool          // only a 200 is an answer, and only its type and body go on: the platform's endpoints
	Source      SourceSpec
}

// SourceSpec says where a pool's members come from: one of Agent, Members, File and DNS is set at most.
type SourceSpec struct {
	Agent   string
	Anew    bool                 // the whole list is asked for, though one is known
	Known   discovery.ListUpdate // what the agent said last
	Members []Member
	File    string
	DNS     *DNS
	Hold    time.Duration // for which an empty or failed answer is not believed
	Damp    time.Duration // how long a member that flaps must be listed before it counts, at first
}

// Descriptors is how many files and connections the daemon may have open at most.
func (s *Service) Descriptors() int {
	sum := s.Fixed()
	for _, l := range s.Listeners {
		sum += l.Connections + SpareCallers
	}
	for _, p := range s.Pools {
		sum += p.Connections
	}
	return sum
}

// Target is where a rule leads.
type Target struct {
	Pool, Tenant    string
	Class           *Class
	Prefix, Replace string // of the path; an empty Replace: left alone
	Set             []HeaderValue
	Remove          []string
}

// platformRoutes are the platform's routes: classes by the first segment of the path, as it came.
func platformRoutes(classes []balance.Class) (rules []route.Rule, targets []Target) {
	for _, c := range classes {
		class := &Class{Name: c.Name, Effect: effectName(c.Effect), IDHeader: "Req-Id", KeyHeader: "Idempotency-Key", TenantHeader: "Req-Owner",
			DeadlineHeader: "Req-Deadline-Ms", RetryHeader: "Req-Retry", IDMissing: missingReject, DeadlineMissing: missingReject, DeadlineMost: maxDeadline, Methods: []string{"POST"},
			FlowMost: platformStreamDuration}
		if c.Effect == balance.Safe {
			class.Methods, class.NoBody = []string{"GET"}, true
		}
		for _, r := range []route.Rule{{Name: c.Name, Kind: route.Exact, Path: "/" + c.Name}, {Name: c.Name, Kind: route.Prefix, Path: "/" + c.Name + "/"}} {
			rules, targets = append(rules, r), append(targets, Target{Pool: platformPool, Class: class})
		}
	}
	return rules, targets
}

func effectName(e balance.Effect) string {
	for name, is := range Effects {
		if is == e {
			return name
		}
	}
	return ""
}

const platformPool = "platform"

// How bodies flow on the platform: up to 32 MB each way, from callers that may take 2 s for a head and keep up 64 kB a
// second. Bad callers are owed an error or a close within 3 s of connecting.
const (
	platformBodyBytes          = 32 << 20
	platformHeadTimeout        = 2500 * time.Millisecond
	platformBodyTimeout        = 2500 * time.Millisecond // for a body that is held whole: 1 s at that rate, in pieces
	platformMinStreamRate      = 48 << 10                // three quarters of it: what is measured here is late and early by turns
	platformStreamIdleTimeout  = 5 * time.Second         // for which a peer may say nothing, or be behind
	platformStreamDuration     = 10 * time.Minute        // 32 MB at 64 kB a second take 8.5
	platformBodyMemoryFraction = 8                       // one of so many bytes of the memory is for bodies: two processes share the limit
)

// SIGKILL comes no sooner than the longest deadline, counted as 3 s at most, and 0.7 s more after SIGTERM. What is cut off by then has
// to be told to callers before.
const (
	graceDeadlineCap   = 3 * time.Second
	graceAfterDeadline = 700 * time.Millisecond
	cutOffNotice       = 300 * time.Millisecond
)

// terminationGrace is how long the platform leaves a process after SIGTERM. longest is the longest deadline; 0: not told.
func terminationGrace(longest time.Duration) time.Duration {
	if longest <= 0 {
		longest = graceDeadlineCap
	}
	return min(longest, graceDeadlineCap) + graceAfterDeadline
}

// What descriptors are kept for, of the platform's limit, besides connections of callers and to endpoints.
const (
	internalDescriptors     = 24
	minConnections          = 8
	operatorSocketFraction  = 16 // one of so many is kept for operators,
	minOperatorConnections  = 8  // and so many at least
	fileOperatorConnections = 32 // where no limit on descriptors is told
)

// Service is the platform's configuration in the daemon's own terms.
func (c Config) Service() (Service, error) {
	settings := c.Settings.Settings
	settings.MayProbe = false // probing endpoints is ruled out
	operators := 0
	if c.AdminAddress != "" {
		operators = max(c.Limits.Sockets/operatorSocketFraction, minOperatorConnections)
	}
	s := Service{Name: c.Name, Admin: c.AdminAddress, Operators: operators, Limits: c.Limits}
	each := s.Connections(c.Limits.Sockets)
	rules, targets := platformRoutes(settings.Classes)
	table, err := route.New(rules)
	if err != nil {
		return Service{}, fmt.Errorf("settings: %w", err)
	}
	l := defaultListener()
	l.Name, l.Address, l.Connections, l.Forwarded, l.RetryAfter, l.Raw = platformPool, c.Listen, each, "leave", "fraction", true
	l.HeadTimeout, l.BodyTimeout, l.BodyBytes, l.FlowIdle, l.FlowRate = platformHeadTimeout, platformBodyTimeout, platformBodyBytes, platformStreamIdleTimeout, platformMinStreamRate
	pool := PoolSpec{Name: platformPool, Settings: settings, Connections: each, Dial: c.Settings.DialTimeout, Idle: c.Settings.ConnIdle, LastByte: true, OnlyOK: true,
		AnswerBytes: platformBodyBytes, Flow: body.Pace{Idle: platformStreamIdleTimeout}, Source: SourceSpec{Agent: c.Discovery, Known: c.LastUpdate}}
	s.Grace = terminationGrace(c.Settings.Longest)
	s.BodyMemory, s.Drain = c.Limits.MemoryMB<<20/platformBodyMemoryFraction, s.Grace-cutOffNotice
	if c.ListenDescriptor > 0 { // others may have the same socket
		l.Descriptor, pool.Source.Anew, s.Shared = c.ListenDescriptor, true, c.SharedDir
	}
	s.Listeners, s.Pools, s.Table, s.Targets = []Listener{l}, []PoolSpec{pool}, table, targets
	return s, nil
}

// Connections is how many connections callers, and how many endpoints, may have where the daemon may use so many
// descriptors.
func (s *Service) Connections(descriptors int) int {
	return max((descriptors-s.Fixed()-SpareCallers)/2, minConnections)
}

// Fixed is how many descriptors are kept for all else.
func (s *Service) Fixed() int {
	if s.Fleet != nil {
		return internalDescriptors + s.Operators + clusterDescriptors
	}
	return internalDescriptors + s.Operators
}

// WithReloadable is the configuration with what a running sidecar may take from a later one on the platform: where discovery
// is. The list and all that has been learned stay; all else changes with a restart.
func (c Config) WithReloadable(later Config) Config {
	c.Discovery = later.Discovery
	return c
}

// Service is the file in the daemon's own terms.
func (f *File) Service() Service {
	s := Service{File: f, Grace: terminationGrace(0), Refuses: f.Shared.OnIndeterminate == rejectRequests, Admin: f.Daemon.AdminAddr, Fleet: f.clusterSpec(), Operators: f.operatorConnections(), BodyMemory: f.Daemon.BodyMemoryMB << 20, Drain: f.Daemon.DrainTimeout, Name: f.Daemon.Name, Limits: Limits{Cores: f.Daemon.Cores, MemoryMB: f.Daemon.MemoryMB}, Listeners: f.Listener, Table: f.table}
	classes := map[string]*Class{}
	for i := range f.Class {
		classes[f.Class[i].Name] = &f.Class[i]
	}
	used := map[string][]string{} // classes by pool
	for _, r := range f.Route {
		s.Targets = append(s.Targets, Target{Pool: r.Pool, Tenant: r.Tenant, Class: classes[r.Class], Prefix: r.PathPrefix, Replace: r.ReplacePrefix,
			Set: r.SetHeader, Remove: r.RemoveHeaders})
		if !slices.Contains(used[r.Pool], r.Class) {
			used[r.Pool] = append(used[r.Pool], r.Class)
		}
	}
	for i := range f.Pool {
		s.Pools = append(s.Pools, f.poolSpec(&f.Pool[i], used[f.Pool[i].Name]))
	}
	return s
}

// operatorConnections is how many connections of theirs a file leaves room for.
func (f *File) operatorConnections() int {
	if f.Daemon.AdminAddr == "" {
		return 0
	}
	return fileOperatorConnections
}

// timerResolution is how late events and timers may come on an ordinary machine: a timer's own lateness on a busy one.
const timerResolution = 5 * time.Millisecond

func (f *File) poolSpec(p *Pool, classes []string) PoolSpec {
	d := f.Daemon
	settings := balance.Settings{Seed: d.Seed, Balancers: d.Count, Index: d.Index, Tier: p.Tier, TiersBelow: p.TiersBelow,
		MaxAttempts: p.Attempts, MayCancel: true, MaxRetryAfter: p.MaxRetryAfter, Resolution: timerResolution, ColdFrom: p.SlowStartMinWeight, ColdFor: p.SlowStartWindow}
	for _, c := range f.Class {
		if slices.Contains(classes, c.Name) {
			settings.Classes = append(settings.Classes, balance.Class{Name: c.Name, Effect: Effects[c.Effect], Group: groups[c.Group], Window: c.IdempotencyWindow, Aim: c.Aim})
		}
	}
	for _, t := range f.Tenant {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: t.Name, Quota: t.Quota})
	}
	source := SourceSpec{Agent: p.Agent, Members: p.Member, File: p.File, DNS: p.DNS, Hold: p.HoldLastGood, Damp: p.FlapDamping}
	if p.Members == membersAgreed { // believed as it is, and at once
		source = SourceSpec{Members: f.agreedMembers[p.Name]}
	}
	return PoolSpec{Name: p.Name, Settings: settings, Connections: p.Connections, Dial: p.DialTimeout, Idle: p.IdleTimeout, Spread: true,
		LastByte: p.StartAt == startAtLastByte, AnswerBytes: p.MaxResponseBytes, Flow: body.Pace{Idle: p.StreamIdleTimeout, Rate: p.MinStreamRate}, Whole: p.StreamIdleTimeout,
		Source: source}
}

// StaticMembers is a fixed list of members as a source takes it.
func StaticMembers(members []Member) (out []endpointset.Member) {
	for _, m := range members {
		out = append(out, endpointset.Member{ID: m.ID, Addr: m.Address, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, Draining: m.State == "draining"})
	}
	return out
}

// protectedHeaders are headers that a route may not set or remove: they frame a message, or are the daemon's own word.
var protectedHeaders = []string{"Connection", "Content-Length", "Expect", "Forwarded", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Via", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto"}

func isRewritableHeader(name string) bool {
	return isHeaderName(name) && !slices.ContainsFunc(protectedHeaders, func(r string) bool { return strings.EqualFold(r, name) })
}
