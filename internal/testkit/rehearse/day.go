// Package rehearse plays a season on one machine: it draws a plan of a day from its file and a seed, starts fakes and real
// sidecars, sends the plan's requests, injects its faults, and checks what was served in time and whether each invariant
// held.
//
// A Day, a Plan and a Result are plain values that belong to their caller; a Plan is not written to while it is played. Play
// owns everything that it starts, processes and goroutines included, and returns once all of it has ended.
package rehearse

import (
	"fmt"
	"os"
	"time"

	"tuliprock/internal/tomlfile"
)

// Day is a day as its file gives it. What is a range is drawn by the seed. Durations are strings such as "1.5s". The tags
// are the words of day files, which partly differ from the names here: a fault is a trouble, the cluster a fleet, discovery
// the roster.
type Day struct {
	Format int           `toml:"format"` // 1
	Name   string        `toml:"name"`
	About  string        `toml:"about"`
	Seed   uint64        `toml:"seed"`
	Length time.Duration `toml:"length"` // of the arrivals; the day ends when the last request is decided

	Load struct {
		Utilization          tomlfile.NumberRange `toml:"use"`              // share of the nodes' capacity that is asked for
		OverQuotaValueFactor float64              `toml:"over_share_worth"` // factor on the worth of requests beyond a tenant's quota
		TotalQuotaFraction   tomlfile.NumberRange `toml:"quota"`            // quotas of all tenants together, as a share of the capacity
		HasCostHints         bool                 `toml:"hints"`            // clients send a rough guess at the work
	} `toml:"load"`
	Sidecars struct {
		Count    tomlfile.NumberRange `toml:"count"` // before the first tier; each node of a tier with one behind has its own
		Cores    float64              `toml:"cores"`
		MemoryMB int                  `toml:"memory_mb"`
		Sockets  int                  `toml:"sockets"`
	} `toml:"sidecars"`
	FrontLayer struct {
		RemovalDelay tomlfile.DurationRange `toml:"notice"` // the front layer sends to a dead sidecar for so long
	} `toml:"front"`
	Discovery struct {
		RemovalDelay  tomlfile.DurationRange `toml:"notice"` // until a sidecar is notified that a node drains or is gone
		AdditionDelay tomlfile.DurationRange `toml:"add"`    // until it is notified that a node has started
		SidecarDelay  tomlfile.DurationRange `toml:"spread"` // added for each sidecar
	} `toml:"roster"`
	Clients struct {
		Retries                  tomlfile.NumberRange   `toml:"retries"`
		AttemptTimeoutFraction   tomlfile.NumberRange   `toml:"try_share"` // of the class's deadline, after which an attempt is given up
		ImmediateRetryFraction   float64                `toml:"at_once"`   // of clients that retry at once; the others after Backoff
		Backoff                  tomlfile.DurationRange `toml:"backoff"`
		HonourRetryAfterFraction tomlfile.NumberRange   `toml:"honour"`  // of clients that honour Retry-After
		EarlyLeaveFraction       tomlfile.NumberRange   `toml:"hang_up"` // of requests whose client leaves early
		ConnectionLifetime       tomlfile.DurationRange `toml:"keep"`    // of a client's connection; 0: unlimited
	} `toml:"clients"`
	Rules struct {
		MaxAttempts        int           `toml:"attempts"`
		MaxRetryAfter      time.Duration `toml:"max_retry_after"`
		Tolerance          time.Duration `toml:"slack"` // tolerance of each time limit
		DrainGrace         time.Duration `toml:"drain_grace"`
		ColdOverloadFactor float64       `toml:"fall_multiple"` // of what a warming node can do, beyond which it collapses,
		ColdOverloadWindow time.Duration `toml:"fall_after"`    // over this time
		DialTimeout        time.Duration `toml:"dial_timeout"`
	} `toml:"rules"`
	Tiers   []Tier      `toml:"tier"`
	Classes []Class     `toml:"class"`
	Tenants []Tenant    `toml:"tenant"`
	Faults  []FaultSpec `toml:"trouble"`

	Cluster    *ClusterConfig  `toml:"fleet"` // nil: the sidecars do not know one another
	LinkFaults []LinkFaultSpec `toml:"link_trouble"`
}

// Tier is a tier of nodes. A request at one tier calls the next, one call after another.
type Tier struct {
	Name            string                 `toml:"name"`
	Nodes           tomlfile.NumberRange   `toml:"nodes"`
	WorkFraction    float64                `toml:"work"`  // share of a class's work that one call takes here
	CallsPerRequest tomlfile.NumberRange   `toml:"calls"` // that a request of the tier before makes here, on average
	CellSize        tomlfile.NumberRange   `toml:"cell"`  // nodes that drop duplicates together
	MaxConnections  int                    `toml:"conns"` // of a node; 0: no limit
	HandshakeWork   tomlfile.DurationRange `toml:"handshake"`
	IdleTimeout     tomlfile.DurationRange `toml:"idle"`
	ErrorRate       tomlfile.NumberRange   `toml:"errors"` // share of requests that a node answers with 500
	Kinds           []NodeKind             `toml:"kind"`
	Overload        *OverloadRange         `toml:"choke"` // nil: overload does not slow the nodes
}

// NodeKind is a kind of node, from which the nodes of a tier are drawn.
type NodeKind struct {
	Name                 string                 `toml:"name"`
	Proportion           float64                `toml:"share"` // of the tier's nodes, as a relative weight
	Cores                int                    `toml:"cores"`
	Speed                tomlfile.NumberRange   `toml:"speed"` // of a core
	Slots                tomlfile.NumberRange   `toml:"slots"` // for each core
	QueueLimit           tomlfile.NumberRange   `toml:"room"`  // for each core
	ColdCapacityFraction tomlfile.NumberRange   `toml:"cold_from"`
	WarmUpDuration       tomlfile.DurationRange `toml:"cold_for"`
}

// OverloadRange is the range of a fake.OverloadSpec.
type OverloadRange struct {
	Threshold    tomlfile.NumberRange   `toml:"at"`
	AveragedOver tomlfile.DurationRange `toml:"over"`
	Slowdown     tomlfile.NumberRange   `toml:"slower"`
	RecoverAfter tomlfile.DurationRange `toml:"rest"`
	IdleBelow    tomlfile.NumberRange   `toml:"below"`
	MaxDuration  tomlfile.DurationRange `toml:"most"`
}

// Class is a class of requests.
type Class struct {
	Name             string                 `toml:"name"`
	Effect           string                 `toml:"effect"` // safe, keyed or unsafe
	Window           time.Duration          `toml:"window"` // for keyed: the nodes of a cell drop a duplicate within it
	Proportion       float64                `toml:"share"`  // of the requests, as a relative weight
	Work             tomlfile.DurationRange `toml:"work"`   // on a core of speed 1, on average
	ExternalWait     tomlfile.DurationRange `toml:"wait"`   // on others, at each node that a request comes to
	WorkVariation    float64                `toml:"vary"`   // coefficient of variation of the work, which is lognormal
	LatencyObjective time.Duration          `toml:"aim"`
	Deadline         time.Duration          `toml:"deadline"`
	PriorityWeight   float64                `toml:"worth"` // for each second of work
}

// Tenant is one of the parties that share the nodes.
type Tenant struct {
	Name           string               `toml:"name"`
	Proportion     float64              `toml:"share"` // of the quota, as a relative weight
	DemandFraction tomlfile.NumberRange `toml:"usage"` // of its share that it asks for
}

// FaultSpec is a fault, as a day's file gives it.
type FaultSpec struct {
	Kind           string                 `toml:"kind"`
	Start          tomlfile.DurationRange `toml:"at"`
	Duration       tomlfile.DurationRange `toml:"for"`
	TargetFraction tomlfile.NumberRange   `toml:"share"` // of the nodes or sidecars that are hit, at least one
	Magnitude      tomlfile.NumberRange   `toml:"size"`  // see faultKinds
	Tier           string                 `toml:"tier"`  // empty: the first
	Mode           string                 `toml:"how"`   // see faultModes
	Downtime       tomlfile.DurationRange `toml:"down"`  // until a restarted sidecar, or a drained node, is started again
}

// faultTraits says what a kind of fault hits, and which of its optional fields it has.
type faultTraits struct{ hitsNodes, hitsSidecars, hasMagnitude, hasDowntime bool }

// faultKinds are the kinds of faults. The magnitude has a meaning of its own with each.
var faultKinds = map[string]faultTraits{
	"slow":        {hitsNodes: true, hasMagnitude: true},   // magnitude: factor by which nodes are slower
	"crash":       {hitsNodes: true},                       // nodes die together, and come back cold after For
	"drain":       {hitsNodes: true, hasDowntime: true},    // nodes drain, stop after For, and come back cold after DownFor
	"hang":        {hitsNodes: true, hasMagnitude: true},   // magnitude: share of requests received and never answered
	"reset":       {hitsNodes: true, hasMagnitude: true},   // magnitude: share of requests executed and the connection reset
	"restart":     {hitsSidecars: true, hasDowntime: true}, // sidecars before the first tier restart, one after another over For
	"stall":       {hitsSidecars: true},                    // sidecars before the first tier are paused
	"roster-late": {hasMagnitude: true},                    // magnitude: seconds added to the delay of notifications
	"roster-down": {},                                      // discovery is down
	"surge":       {hasMagnitude: true},                    // magnitude: factor on the demand
}

// faultModes are the modes of the kinds that have one. A node comes back under the same ID, which is the default, or renamed
// at its old address.
var faultModes = map[string][]string{
	"restart": {"kill", "planned"},
	"crash":   {"", "same", "renamed"},
	"drain":   {"", "same", "renamed"},
}

// Load reads and checks a day's file. An error names file, line and field.
func Load(path string) (*Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse is Load for a text that has been read from the file of that name.
func Parse(name string, text []byte) (*Day, error) {
	d := defaults()
	f, err := tomlfile.Decode(name, text, d)
	if err != nil {
		return nil, err
	}
	for _, check := range []func(*tomlfile.File) error{d.checkHead, d.checkTiers, d.checkClassesAndTenants, d.checkFaults,
		d.checkCluster} {
		if err := check(f); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// defaults is a day with what a file may leave out: the limits of the rules, and the resources of a small sidecar.
func defaults() *Day {
	d := &Day{}
	d.Load.OverQuotaValueFactor = 0.05
	d.Load.TotalQuotaFraction = tomlfile.NumberRange{Lo: 0.8, Hi: 0.8}
	d.Sidecars.Count = tomlfile.NumberRange{Lo: 1, Hi: 1}
	d.Sidecars.Cores, d.Sidecars.MemoryMB, d.Sidecars.Sockets = 1, 192, 1024
	d.Clients.AttemptTimeoutFraction = tomlfile.NumberRange{Lo: 0.5, Hi: 0.5}
	d.Rules.MaxAttempts = 4
	d.Rules.MaxRetryAfter = 2 * time.Second
	d.Rules.Tolerance = 50 * time.Millisecond
	d.Rules.DrainGrace = 500 * time.Millisecond
	d.Rules.ColdOverloadFactor = 4
	d.Rules.ColdOverloadWindow = 3 * time.Second
	d.Rules.DialTimeout = 200 * time.Millisecond
	return d
}

// tierIndex is the index of a tier by its name, where an empty name is the first; -1: there is none.
func (d *Day) tierIndex(name string) int {
	for i, t := range d.Tiers {
		if t.Name == name || name == "" {
			return i
		}
	}
	return -1
}

// SetLength makes the day shorter or longer, from a second to an hour. Its faults keep their places, as shares of its length.
func (d *Day) SetLength(length time.Duration) error {
	if length < time.Second || length > maxLength {
		return fmt.Errorf("%v is not from 1s to %v", length, maxLength)
	}
	scale := float64(length) / float64(d.Length)
	stretch := func(s tomlfile.DurationRange) tomlfile.DurationRange {
		return tomlfile.DurationRange{Lo: time.Duration(float64(s.Lo) * scale), Hi: time.Duration(float64(s.Hi) * scale)}
	}
	for i := range d.Faults {
		fault := &d.Faults[i]
		fault.Start, fault.Duration = stretch(fault.Start), stretch(fault.Duration)
	}
	for i := range d.LinkFaults {
		fault := &d.LinkFaults[i]
		fault.Start, fault.Duration = stretch(fault.Start), stretch(fault.Duration)
	}
	d.Length = length
	return nil
}
