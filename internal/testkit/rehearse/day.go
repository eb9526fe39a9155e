// Package rehearse runs a day of traffic on one machine. It draws a plan of the day from the day's file and a seed, starts fake
// nodes and real sidecars, sends the requests of the plan, injects its faults, and reports how much was served in time and
// whether each invariant held.
//
// A Day, a Plan and a Result are plain values that belong to their caller; a Plan is not modified while it is run. Run owns all
// processes and goroutines that it starts, and returns once all of them have ended.
package rehearse

import (
	"fmt"
	"os"
	"time"

	"tuliprock/internal/tomlfile"
)

// Day is the content of a day's file: the traffic, the nodes and the faults. The seed decides which value is drawn from each
// range. Durations are written as strings such as "1.5s". The tags are the keys of day files, which partly differ from the names
// of the fields: a fault is a trouble, the cluster a fleet, discovery the roster.
type Day struct {
	Format int           `toml:"format"` // version of the file format, always 1
	Name   string        `toml:"name"`
	About  string        `toml:"about"`  // description of the day in one sentence
	Seed   uint64        `toml:"seed"`   // seed that is used unless the command names others
	Length time.Duration `toml:"length"` // time over which requests arrive; the day ends when the last request has its outcome

	Load struct {
		Utilization          tomlfile.NumberRange `toml:"use"`              // demand, as a fraction of the capacity of the nodes
		OverQuotaValueFactor float64              `toml:"over_share_worth"` // factor by which the value of a request (priority weight times work) is multiplied if the request exceeds its tenant's quota
		TotalQuotaFraction   tomlfile.NumberRange `toml:"quota"`            // sum of all tenants' quotas, as a fraction of the nodes' capacity
		HasCostHints         bool                 `toml:"hints"`            // whether clients send an estimate of the work of a request
	} `toml:"load"`
	Sidecars struct {
		Count          tomlfile.NumberRange `toml:"count"`     // number of sidecars before the first tier; each node that calls a further tier has one more of its own
		Cores          float64              `toml:"cores"`     // CPU limit of one sidecar, in cores
		MemoryMB       int                  `toml:"memory_mb"` // memory limit of one sidecar, in MB
		MaxDescriptors int                  `toml:"sockets"`   // number of descriptors that one sidecar may have open
	} `toml:"sidecars"`
	FrontLayer struct {
		RemovalDelay tomlfile.DurationRange `toml:"notice"` // time for which the front layer, the clients' load balancer, still connects clients to a dead sidecar
	} `toml:"front"`
	Discovery struct {
		RemovalDelay  tomlfile.DurationRange `toml:"notice"` // time from when a node begins to drain, or is gone, until sidecars are notified of it
		AdditionDelay tomlfile.DurationRange `toml:"add"`    // time from the start of a node until sidecars are notified of it
		SidecarDelay  tomlfile.DurationRange `toml:"spread"` // delay in addition to RemovalDelay or AdditionDelay, drawn for each sidecar and notification
	} `toml:"roster"`
	Clients struct {
		MaxRetries               tomlfile.NumberRange   `toml:"retries"`   // largest number of retries that a client sends for one request
		AttemptTimeoutFraction   tomlfile.NumberRange   `toml:"try_share"` // timeout of an attempt, as a fraction of the class's deadline
		ImmediateRetryFraction   float64                `toml:"at_once"`   // fraction of requests whose client retries at once, without a backoff
		Backoff                  tomlfile.DurationRange `toml:"backoff"`   // delay before a retry of a client that does not retry at once
		HonourRetryAfterFraction tomlfile.NumberRange   `toml:"honour"`    // fraction of requests whose client honours Retry-After
		EarlyDisconnectFraction  tomlfile.NumberRange   `toml:"hang_up"`   // fraction of requests whose client disconnects at a random instant unless it was answered before
		ConnectionLifetime       tomlfile.DurationRange `toml:"keep"`      // time after which a client closes a connection; 0: unlimited
	} `toml:"clients"`
	Rules struct {
		MaxAttempts        int           `toml:"attempts"`        // largest number of attempts that a sidecar sends for one request
		MaxRetryAfter      time.Duration `toml:"max_retry_after"` // longest Retry-After that a sidecar sends; 0: it sends none
		Tolerance          time.Duration `toml:"slack"`           // time by which an event may exceed each time limit of the invariants without a violation
		DrainGrace         time.Duration `toml:"drain_grace"`     // time after the notification that a node drains or is gone, in which a sidecar may still send it attempts
		ColdOverloadFactor float64       `toml:"fall_multiple"`   // limit of the work sent to a warming node within ColdOverloadWindow, as a multiple of the work that the node can do in that time; above it, the node collapses
		ColdOverloadWindow time.Duration `toml:"fall_after"`      // length of the window over which the work sent to a warming node is summed, to check the limit ColdOverloadFactor
		DialTimeout        time.Duration `toml:"dial_timeout"`    // time that a sidecar waits for a connection to a node
	} `toml:"rules"`
	Tiers   []Tier      `toml:"tier"`
	Classes []Class     `toml:"class"`
	Tenants []Tenant    `toml:"tenant"`
	Faults  []FaultSpec `toml:"trouble"`

	Cluster    *ClusterConfig  `toml:"fleet"`        // cluster of the sidecars before the first tier; nil: the sidecars form no cluster
	LinkFaults []LinkFaultSpec `toml:"link_trouble"` // faults of the links between the sidecars of the cluster
}

// Tier is a tier of nodes. A request at a node of one tier makes its calls to the next tier one after another.
type Tier struct {
	Name            string                 `toml:"name"`
	NodeCount       tomlfile.NumberRange   `toml:"nodes"`     // number of nodes
	WorkFraction    float64                `toml:"work"`      // fraction of a class's work that one call takes in this tier
	CallsPerRequest tomlfile.NumberRange   `toml:"calls"`     // mean number of calls to this tier by a request of the tier before
	CellSize        tomlfile.NumberRange   `toml:"cell"`      // number of nodes of a cell, which drop duplicates together
	MaxConnections  int                    `toml:"conns"`     // largest number of connections that a node serves; 0: no limit
	HandshakeWork   tomlfile.DurationRange `toml:"handshake"` // work of a node for each new connection
	IdleTimeout     tomlfile.DurationRange `toml:"idle"`      // time after which a node closes an idle connection; 0: never
	ErrorRate       tomlfile.NumberRange   `toml:"errors"`    // fraction of requests that a node answers with status 500
	Kinds           []NodeKind             `toml:"kind"`      // kinds of nodes that the tier consists of
	Overload        *OverloadRange         `toml:"choke"`     // slow state that overload causes; nil: overload does not slow the nodes
}

// NodeKind is a kind of node. Each node of a tier is of one of the tier's kinds.
type NodeKind struct {
	Name                 string                 `toml:"name"`
	Proportion           float64                `toml:"share"` // number of nodes of this kind, relative to the tier's other kinds
	Cores                int                    `toml:"cores"`
	Speed                tomlfile.NumberRange   `toml:"speed"`     // speed of a core; work is stated for a core of speed 1
	Slots                tomlfile.NumberRange   `toml:"slots"`     // number of requests that a node runs at the same time, for each core of the node
	QueueLimit           tomlfile.NumberRange   `toml:"room"`      // number of requests that may wait at a node for a slot, for each core of the node
	ColdCapacityFraction tomlfile.NumberRange   `toml:"cold_from"` // fraction of its capacity that a node has right after a start
	WarmUpDuration       tomlfile.DurationRange `toml:"cold_for"`  // time from a start until a node has its full capacity
}

// OverloadRange holds the ranges from which the fields of a fake.OverloadSpec are drawn.
type OverloadRange struct {
	Threshold    tomlfile.NumberRange   `toml:"at"`     // a node is overloaded once its load exceeds C + Threshold * sqrt(C), where C is the number of its cores
	AveragedOver tomlfile.DurationRange `toml:"over"`   // time over which a node's load, the number of its requests, is averaged
	Slowdown     tomlfile.NumberRange   `toml:"slower"` // factor by which an overloaded node is slower
	RecoverAfter tomlfile.DurationRange `toml:"rest"`   // time that a node must be mostly idle to leave the slow state
	IdleBelow    tomlfile.NumberRange   `toml:"below"`  // fraction of a node's cores; the node is mostly idle while a smaller fraction is busy
	MaxDuration  tomlfile.DurationRange `toml:"most"`   // time after which the slow state ends in any case
}

// Class is a class of requests, which have the same effect, deadline and distribution of work.
type Class struct {
	Name                string                 `toml:"name"`
	Effect              string                 `toml:"effect"` // whether a request may run twice: "safe", "keyed" (nodes drop duplicates by idempotency key) or "unsafe"
	DeduplicationWindow time.Duration          `toml:"window"` // time for which cells drop duplicates of a request; set for "keyed" only
	Proportion          float64                `toml:"share"`  // number of requests of this class, relative to the other classes
	Work                tomlfile.DurationRange `toml:"work"`   // mean CPU time of a request on a core of speed 1; a call to a tier takes the fraction Tier.WorkFraction of it
	ExternalWait        tomlfile.DurationRange `toml:"wait"`   // mean time that a request waits for other systems; a call to a tier waits the fraction Tier.WorkFraction of it
	WorkVariation       float64                `toml:"vary"`   // coefficient of variation of the work, which is lognormal
	LatencyObjective    time.Duration          `toml:"aim"`
	Deadline            time.Duration          `toml:"deadline"`
	PriorityWeight      float64                `toml:"worth"` // factor that gives the value of a request of this class: the value is PriorityWeight times the request's work in seconds
}

// Tenant is one of the parties that share the nodes. Each has a quota of requests.
type Tenant struct {
	Name           string               `toml:"name"`
	Proportion     float64              `toml:"share"` // quota, relative to the quotas of the other tenants
	RelativeDemand tomlfile.NumberRange `toml:"usage"` // demand of the tenant relative to its quota; affects only the tenant's proportion of the day's requests, not their total number
}

// FaultSpec is a fault as a day's file describes it.
type FaultSpec struct {
	Kind           string                 `toml:"kind"`  // kind of the fault, a key of faultKinds
	Start          tomlfile.DurationRange `toml:"at"`    // start of the fault, as time from the start of the day
	Duration       tomlfile.DurationRange `toml:"for"`   // time for which the fault is active
	TargetFraction tomlfile.NumberRange   `toml:"share"` // fraction of the nodes or sidecars that the fault hits, at least one of them
	Magnitude      tomlfile.NumberRange   `toml:"size"`  // strength of the fault, whose unit depends on its kind; see faultKinds
	Tier           string                 `toml:"tier"`  // name of the tier whose nodes are hit; empty: the first tier
	Mode           string                 `toml:"how"`   // variant of the kind of fault; see faultModes
	Downtime       tomlfile.DurationRange `toml:"down"`  // time from the end of a restarted sidecar's process, or from the stop of a drained node, until the sidecar or node is started again
}

// faultTraits says whether a kind of fault hits nodes or sidecars, and whether its FaultSpec has a Magnitude and a Downtime.
type faultTraits struct{ hitsNodes, hitsSidecars, hasMagnitude, hasDowntime bool }

// faultKinds are the kinds of faults. The comment of each kind says what Magnitude means for it.
var faultKinds = map[string]faultTraits{
	"slow":        {hitsNodes: true, hasMagnitude: true},   // nodes are slower by the factor Magnitude
	"crash":       {hitsNodes: true},                       // nodes are killed together, and start cold after Duration
	"drain":       {hitsNodes: true, hasDowntime: true},    // nodes drain, stop after Duration, and start cold after Downtime
	"hang":        {hitsNodes: true, hasMagnitude: true},   // nodes never answer the fraction Magnitude of their requests
	"reset":       {hitsNodes: true, hasMagnitude: true},   // nodes run all requests, but for the fraction Magnitude of them reset the connection instead of responding
	"restart":     {hitsSidecars: true, hasDowntime: true}, // sidecars before the first tier restart one after another over Duration
	"stall":       {hitsSidecars: true},                    // sidecars before the first tier are paused
	"roster-late": {hasMagnitude: true},                    // notifications of discovery are late by Magnitude, in seconds
	"roster-down": {},                                      // discovery is down
	"surge":       {hasMagnitude: true},                    // the demand is multiplied by Magnitude
}

// faultModes lists the values of Mode for the kinds that use it. A sidecar restarts after SIGKILL ("kill") or SIGTERM
// ("planned"). A node starts again at its old address, with its old ID by default or with a new ID ("renamed").
var faultModes = map[string][]string{
	"restart": {"kill", "planned"},
	"crash":   {"", "same", "renamed"},
	"drain":   {"", "same", "renamed"},
}

// Load reads and checks a day's file. An error names the file, the line and the field.
func Load(path string) (*Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse decodes and checks the text of a day's file. Its errors name the file as name.
func Parse(name string, text []byte) (*Day, error) {
	d := defaultDay()
	f, err := tomlfile.Decode(name, text, d)
	if err != nil {
		return nil, err
	}
	for _, check := range []func(*tomlfile.File) error{d.checkGeneralKeys, d.checkTiers, d.checkClassesAndTenants, d.checkFaults,
		d.checkCluster} {
		if err := check(f); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// defaultDay returns a day with the default values of the keys that a file may omit.
func defaultDay() *Day {
	d := &Day{}
	d.Load.OverQuotaValueFactor = 0.05
	d.Load.TotalQuotaFraction = tomlfile.NumberRange{Lo: 0.8, Hi: 0.8}
	d.Sidecars.Count = tomlfile.NumberRange{Lo: 1, Hi: 1}
	d.Sidecars.Cores, d.Sidecars.MemoryMB, d.Sidecars.MaxDescriptors = 1, 192, 1024
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

// tierIndex returns the index of the tier with the given name, or -1 if there is none. An empty name stands for the first tier.
func (d *Day) tierIndex(name string) int {
	for i, t := range d.Tiers {
		if t.Name == name || name == "" {
			return i
		}
	}
	return -1
}

// SetLength changes the length of the day, and scales the starts and durations of its faults by the same factor. The length must be
// from one second to one hour.
func (d *Day) SetLength(length time.Duration) error {
	if length < time.Second || length > maxDayLength {
		return fmt.Errorf("%v is not from 1s to %v", length, maxDayLength)
	}
	scale := float64(length) / float64(d.Length)
	scaled := func(r tomlfile.DurationRange) tomlfile.DurationRange {
		return tomlfile.DurationRange{Lo: time.Duration(float64(r.Lo) * scale), Hi: time.Duration(float64(r.Hi) * scale)}
	}
	for i := range d.Faults {
		fault := &d.Faults[i]
		fault.Start, fault.Duration = scaled(fault.Start), scaled(fault.Duration)
	}
	for i := range d.LinkFaults {
		fault := &d.LinkFaults[i]
		fault.Start, fault.Duration = scaled(fault.Start), scaled(fault.Duration)
	}
	d.Length = length
	return nil
}
