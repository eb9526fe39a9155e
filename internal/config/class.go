package config

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/tomlfile"
)

// Class is a section [[class]]: a class of requests, whether one may be retried, and which headers carry what the
// balancer needs to know of it.
type Class struct {
	Name   string `toml:"name"`
	Effect string `toml:"effect"` // "safe", "keyed" or "unsafe"

	IdempotencyWindow time.Duration `toml:"window"` // for which endpoints recognize a duplicate by its key; over 0 if keyed
	Group             string        `toml:"group"`  // which endpoints recognize each other's keys: "all", "zone" or "cell"

	// aim in the file: the latency objective.
	Aim time.Duration `toml:"aim"`
	// deadline and deadline_most in the file: of a request that names none, and the longest that one may name.
	Deadline     time.Duration `toml:"deadline"`
	DeadlineMost time.Duration `toml:"deadline_most"`

	IDHeader       string `toml:"id_header"`
	KeyHeader      string `toml:"key_header"` // of the idempotency key
	TenantHeader   string `toml:"tenant_header"`
	DeadlineHeader string `toml:"deadline_header"` // in milliseconds
	RetryHeader    string `toml:"retry_header"`    // "1" in it: the client is retrying; empty: no client is trusted to say so

	IDMissing       string   `toml:"id_missing"`       // what becomes of a request without an ID: "make" or "refuse"
	DeadlineMissing string   `toml:"deadline_missing"` // and without a deadline: "fill" or "refuse"
	Methods         []string `toml:"methods"`          // that are served; none: all

	// flow_most in the file: how long a body may stream, in each direction.
	FlowMost      time.Duration `toml:"flow_most"`
	DeadlineScope string        `toml:"deadline_rules"` // "waits" or "all": whether the deadline covers streaming, too

	NoBody bool // requests must not have a body: the platform's contract, which no file can ask for
}

// Values of id_missing and deadline_missing.
const (
	missingMake   = "make"   // an ID is made
	missingFill   = "fill"   // the class's deadline applies
	missingReject = "refuse" // the request is rejected
)

// Values of deadline_rules.
const (
	deadlineCoversWaits = "waits" // the wait for a response, and not the streaming of a body
	deadlineCoversAll   = "all"   // the request from its beginning to its end
)

// Bounds and defaults of a class.
const (
	defaultIDHeader       = "Req-Id"
	defaultKeyHeader      = "Idempotency-Key"
	defaultTenantHeader   = "Req-Owner"
	defaultDeadlineHeader = "Req-Deadline-Ms"

	defaultDeadline          = 5 * time.Second
	defaultMaxDeadline       = time.Minute
	defaultMaxStreamDuration = time.Hour

	maxDeadline       = time.Hour
	maxStreamDuration = 24 * time.Hour
)

// Effects has the balancer's effects of a request by their names in a file. It must not be changed.
var Effects = map[string]balance.Effect{"safe": balance.Safe, "keyed": balance.Keyed, "unsafe": balance.Unsafe}

// groups has the balancer's groups of endpoints by their names in a file.
var groups = map[string]balance.Group{"all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell}

const (
	effectKeyed = "keyed"
	groupAll    = "all"
)

// MustHaveID reports whether a request without an ID is rejected. Otherwise an ID is made for it.
func (c *Class) MustHaveID() bool { return c.IDMissing == missingReject }

// MustHaveDeadline reports whether a request without a deadline is rejected. Otherwise Deadline applies to it.
func (c *Class) MustHaveDeadline() bool { return c.DeadlineMissing == missingReject }

// DeadlineAll reports whether the deadline covers bodies that stream, too.
func (c *Class) DeadlineAll() bool { return c.DeadlineScope == deadlineCoversAll }

func (c *Class) applyDefaults(at *tomlfile.File, table string) {
	setDefault(at, table+".deadline", &c.Deadline, defaultDeadline)
	setDefault(at, table+".deadline_most", &c.DeadlineMost, max(c.Deadline, defaultMaxDeadline))
	setDefault(at, table+".aim", &c.Aim, c.Deadline/2)
	setDefault(at, table+".flow_most", &c.FlowMost, defaultMaxStreamDuration)
	setIfEmpty(&c.Group, groupAll)
	setIfEmpty(&c.IDHeader, defaultIDHeader)
	setIfEmpty(&c.KeyHeader, defaultKeyHeader)
	setIfEmpty(&c.TenantHeader, defaultTenantHeader)
	setIfEmpty(&c.DeadlineHeader, defaultDeadlineHeader)
	setIfEmpty(&c.IDMissing, missingMake)
	setIfEmpty(&c.DeadlineMissing, missingFill)
	setIfEmpty(&c.DeadlineScope, deadlineCoversWaits)
}

func (f *File) checkClasses(at *tomlfile.File) error {
	if len(f.Class) == 0 {
		return at.Errorf("class", "must be given")
	}
	names := uniqueNames{}
	for i := range f.Class {
		if err := f.Class[i].check(at, fmt.Sprintf("class[%d]", i), names); err != nil {
			return err
		}
	}
	return nil
}

// check adds the class's name to those of the classes before it.
func (c *Class) check(at *tomlfile.File, table string, names uniqueNames) error {
	_, isEffect := Effects[c.Effect]
	_, isGroup := groups[c.Group]
	return at.Check(table, []tomlfile.Must{
		tomlfile.Need("name", names.add(c.Name), "a name of its own"),
		tomlfile.Need("effect", isEffect, "safe, keyed or unsafe"),
		tomlfile.Need("window", (c.IdempotencyWindow > 0) == (c.Effect == effectKeyed),
			"over 0 for a keyed class, and only there"),
		tomlfile.Need("group", isGroup, "all, zone or cell"),
		tomlfile.Need("deadline", c.Deadline > 0, "over 0"),
		tomlfile.Need("deadline_most", c.DeadlineMost >= c.Deadline && c.DeadlineMost <= maxDeadline,
			"the deadline at least, and 1h at most"),
		tomlfile.Need("flow_most", c.FlowMost > 0 && c.FlowMost <= maxStreamDuration, "over 0, and 24h at most"),
		tomlfile.Need("deadline_rules", c.DeadlineScope == deadlineCoversWaits || c.DeadlineScope == deadlineCoversAll,
			`"waits" or "all"`),
		tomlfile.Need("aim", c.Aim > 0 && c.Aim <= c.DeadlineMost, "over 0, and deadline_most at most"),
		tomlfile.Need("id_header", isHeaderName(c.IDHeader), "the name of a header"),
		tomlfile.Need("key_header", isHeaderName(c.KeyHeader), "the name of a header"),
		tomlfile.Need("tenant_header", isHeaderName(c.TenantHeader), "the name of a header"),
		tomlfile.Need("deadline_header", isHeaderName(c.DeadlineHeader), "the name of a header"),
		tomlfile.Need("retry_header", c.RetryHeader == "" || isHeaderName(c.RetryHeader), "the name of a header"),
		tomlfile.Need("id_missing", c.IDMissing == missingMake || c.IDMissing == missingReject, `"make" or "refuse"`),
		tomlfile.Need("deadline_missing", c.DeadlineMissing == missingFill || c.DeadlineMissing == missingReject,
			`"fill" or "refuse"`),
	})
}

// Tenant is a section [[tenant]]: one of the parties that share the pools.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"` // requests a second, over all daemons
}

func (f *File) checkTenants(at *tomlfile.File) error {
	names := uniqueNames{}
	for i, t := range f.Tenant {
		if err := at.Check(fmt.Sprintf("tenant[%d]", i), []tomlfile.Must{
			tomlfile.Need("name", names.add(t.Name), "a name of its own"),
			tomlfile.Need("quota", t.Quota > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	return nil
}
