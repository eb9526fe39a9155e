// Package rehearse plays a season on one machine: it draws a day from a file, starts stand-ins and real sidecars, plays
// the day's troubles, and says what was answered in time and whether each rule held.
package rehearse

import (
	"fmt"
	"os"
	"time"

	"tuliprock/internal/tomlfile"
)

// Day is a day as its file gives it. What is a range is drawn by the seed. Durations are strings such as "1.5s".
type Day struct {
	Format int           `toml:"format"` // 1
	Name   string        `toml:"name"`
	About  string        `toml:"about"`
	Seed   uint64        `toml:"seed"`
	Length time.Duration `toml:"length"` // of the arrivals; the day ends when the last is answered

	Load struct {
		Use            tomlfile.Range `toml:"use"`              // share of what the fleet can do that is asked for
		OverShareWorth float64        `toml:"over_share_worth"` // worth of what a tenant asks beyond its share
		Quota          tomlfile.Range `toml:"quota"`            // quotas of all tenants together, as a share of what the fleet can do
		Hints          bool           `toml:"hints"`            // callers send a rough guess at the work
	} `toml:"load"`
	Sidecars struct {
		Count    tomlfile.Range `toml:"count"` // before the first tier; each node of a tier with one behind has its own
		Cores    float64        `toml:"cores"`
		MemoryMB int            `toml:"memory_mb"`
		Sockets  int            `toml:"sockets"`
	} `toml:"sidecars"`
	Front struct {
		Notice tomlfile.Span `toml:"notice"` // it goes on sending to a dead sidecar for so long
	} `toml:"front"`
	Roster struct {
		Notice tomlfile.Span `toml:"notice"` // until a sidecar hears that a node drains or is gone
		Add    tomlfile.Span `toml:"add"`    // until it hears that one has started
		Spread tomlfile.Span `toml:"spread"` // on top, for each sidecar
	} `toml:"roster"`
	Clients struct {
		Retries  tomlfile.Range `toml:"retries"`
		TryShare tomlfile.Range `toml:"try_share"` // of the class's deadline, after which a try is given up
		AtOnce   float64        `toml:"at_once"`   // share of clients that retry at once; the others after backoff
		Backoff  tomlfile.Span  `toml:"backoff"`
		Honour   tomlfile.Range `toml:"honour"`  // share that heeds Retry-After
		HangUp   tomlfile.Range `toml:"hang_up"` // share of requests whose client leaves early
		Keep     tomlfile.Span  `toml:"keep"`    // a connection is used for so long, then a new one is dealt out; 0: for good
	} `toml:"clients"`
	Rules struct {
		Attempts      int           `toml:"attempts"`
		MaxRetryAfter time.Duration `toml:"max_retry_after"`
		Slack         time.Duration `toml:"slack"`
		DrainGrace    time.Duration `toml:"drain_grace"`
		FallMultiple  float64       `toml:"fall_multiple"`
		FallAfter     time.Duration `toml:"fall_after"`
		DialTimeout   time.Duration `toml:"dial_timeout"`
	} `toml:"rules"`
	Tiers   []Tier      `toml:"tier"`
	Classes []Class     `toml:"class"`
	Tenants []Tenant    `toml:"tenant"`
	Faults  []FaultSpec `toml:"trouble"`

	Cluster    *ClusterConfig  `toml:"fleet"` // nil: the sidecars don't know one another
	LinkFaults []LinkFaultSpec `toml:"link_trouble"`
}

// Tier is a tier of nodes. Requests of one tier call the next, one call after another.
type Tier struct {
	Name           string         `toml:"name"`
	Nodes          tomlfile.Range `toml:"nodes"`
	WorkShare      float64        `toml:"work"`  // share of a class's work that one call takes here
	Calls          tomlfile.Range `toml:"calls"` // that a request of the tier before makes here, on average
	CellSize       tomlfile.Range `toml:"cell"`  // nodes that drop repeats together
	MaxConnections int            `toml:"conns"`
	HandshakeWork  tomlfile.Span  `toml:"handshake"`
	IdleTimeout    tomlfile.Span  `toml:"idle"`
	ErrorRate      tomlfile.Range `toml:"errors"` // share of requests that a node answers with an error
	Kinds          []NodeKind     `toml:"kind"`
	Overload       *OverloadRange `toml:"choke"`
}

// NodeKind is a kind of node.
type NodeKind struct {
	Name              string         `toml:"name"`
	Share             float64        `toml:"share"`
	Cores             int            `toml:"cores"`
	Speed             tomlfile.Range `toml:"speed"` // of a core, in yardsticks
	Slots             tomlfile.Range `toml:"slots"` // for each core
	QueueLimit        tomlfile.Range `toml:"room"`  // that may wait, for each core
	ColdCapacityShare tomlfile.Range `toml:"cold_from"`
	WarmUpDuration    tomlfile.Span  `toml:"cold_for"`
}

// OverloadRange is the slow state after overload, see standin.Choke.
type OverloadRange struct {
	Threshold    tomlfile.Range `toml:"at"`
	AveragedOver tomlfile.Span  `toml:"over"`
	Slowdown     tomlfile.Range `toml:"slower"`
	RecoverAfter tomlfile.Span  `toml:"rest"`
	IdleBelow    tomlfile.Range `toml:"below"`
	MaxDuration  tomlfile.Span  `toml:"most"`
}

// Class is a class of requests.
type Class struct {
	Name             string        `toml:"name"`
	Effect           string        `toml:"effect"` // safe, keyed or unsafe
	Window           time.Duration `toml:"window"` // for keyed: within it the nodes of a cell drop a repeat
	Share            float64       `toml:"share"`
	Work             tomlfile.Span `toml:"work"` // on a core at yardstick speed, on average
	Wait             tomlfile.Span `toml:"wait"` // on others, in each node that it comes to
	WorkVariation    float64       `toml:"vary"` // coefficient of variation of the work, which is lognormal
	LatencyObjective time.Duration `toml:"aim"`
	Deadline         time.Duration `toml:"deadline"`
	Worth            float64       `toml:"worth"` // for each unit of work
}

// Tenant is one of the parties that share the fleet.
type Tenant struct {
	Name  string         `toml:"name"`
	Share float64        `toml:"share"`
	Usage tomlfile.Range `toml:"usage"` // of its share that it asks for
}

// FaultSpec is something that goes wrong.
type FaultSpec struct {
	Kind      string         `toml:"kind"`
	At        tomlfile.Span  `toml:"at"`
	For       tomlfile.Span  `toml:"for"`
	Share     tomlfile.Range `toml:"share"` // of the nodes or sidecars, one at least
	Magnitude tomlfile.Range `toml:"size"`
	Tier      string         `toml:"tier"` // empty: the first
	Mode      string         `toml:"how"`  // restart: kill or planned; crash, drain: back under the same id, or renamed at the old address
	DownFor   tomlfile.Span  `toml:"down"` // how long a restarted sidecar, or a drained node, stays away
}

// What a trouble needs. A size has a meaning of its own with each.
type faultNeeds struct{ nodes, sidecars, size, down, how bool }

var faultKinds = map[string]faultNeeds{
	"slow":        {nodes: true, size: true},               // size: how many times slower
	"crash":       {nodes: true, how: true},                // nodes die together, and come back cold after for
	"drain":       {nodes: true, down: true, how: true},    // told, stopped after for, and back cold after down
	"hang":        {nodes: true, size: true},               // size: share of requests taken and never answered
	"reset":       {nodes: true, size: true},               // size: share of requests run, and the connection broken
	"restart":     {sidecars: true, down: true, how: true}, // of sidecars before the first tier, one after another over for
	"stall":       {sidecars: true},                        // of sidecars before the first tier: stopped for a while, and woken
	"roster-late": {size: true},                            // size: seconds that notices take on top
	"roster-down": {},                                      // nothing is told
	"surge":       {size: true},                            // size: how many times the demand
}

// Load reads and checks a day's file. An error names file, line and field.
func Load(path string) (*Day, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// defaults are what a file need not say: the figures of the rules, and what a small sidecar gets.
func defaults() *Day {
	d := &Day{}
	d.Load.OverShareWorth = 0.05
	d.Load.Quota = tomlfile.Range{Lo: 0.8, Hi: 0.8}
	d.Sidecars.Count = tomlfile.Range{Lo: 1, Hi: 1}
	d.Sidecars.Cores, d.Sidecars.MemoryMB, d.Sidecars.Sockets = 1, 192, 1024
	d.Clients.TryShare = tomlfile.Range{Lo: 0.5, Hi: 0.5}
	d.Rules.Attempts = 4
	d.Rules.MaxRetryAfter = 2 * time.Second
	d.Rules.Slack = 50 * time.Millisecond
	d.Rules.DrainGrace = 500 * time.Millisecond
	d.Rules.FallMultiple = 4
	d.Rules.FallAfter = 3 * time.Second
	d.Rules.DialTimeout = 200 * time.Millisecond
	return d
}

// Parse is Load on a text already read.
func Parse(name string, text []byte) (*Day, error) {
	d := defaults()
	f, err := tomlfile.Decode(name, text, d)
	if err != nil {
		return nil, err
	}
	for _, check := range []func(*tomlfile.File) error{d.checkHead, d.checkTiers, d.checkClassesAndTenants, d.checkFaults, d.checkCluster} {
		if err := check(f); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// tierIndex finds a tier by its name; an empty name is the first.
func (d *Day) tierIndex(name string) int {
	for i, t := range d.Tiers {
		if t.Name == name || name == "" {
			return i
		}
	}
	return -1
}

// Cut makes the day shorter or longer. Its troubles keep their places in it, by share of its length.
func (d *Day) Cut(length time.Duration) error {
	if length < time.Second || length > maxLength {
		return fmt.Errorf("%v is not from 1s to %v", length, maxLength)
	}
	scale := float64(length) / float64(d.Length)
	stretch := func(s tomlfile.Span) tomlfile.Span {
		return tomlfile.Span{Lo: time.Duration(float64(s.Lo) * scale), Hi: time.Duration(float64(s.Hi) * scale)}
	}
	for i := range d.Faults {
		t := &d.Faults[i]
		t.At, t.For = stretch(t.At), stretch(t.For)
	}
	for i := range d.LinkFaults {
		t := &d.LinkFaults[i]
		t.At, t.For = stretch(t.At), stretch(t.For)
	}
	d.Length = length
	return nil
}
