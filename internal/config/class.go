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
	LatencyObjective time.Duration `toml:"aim"`
	// deadline and deadline_most in the file: of a request that names none, and the longest that one may name.
	Deadline    time.Duration `toml:"deadline"`
	MaxDeadline time.Duration `toml:"deadline_most"`

	IDHeader       string `toml:"id_header"`
	KeyHeader      string `toml:"key_header"` // of the idempotency key
	TenantHeader   string `toml:"tenant_header"`
	DeadlineHeader string `toml:"deadline_header"` // in milliseconds
	RetryHeader    string `toml:"retry_header"`    // "1" in it: the client is retrying; empty: no client is trusted to say so

	IDMissing       string   `toml:"id_missing"`       // what becomes of a request without an ID: "make" or "refuse"
	DeadlineMissing string   `toml:"deadline_missing"` // and without a deadline: "fill" or "refuse"
	Methods         []string `toml:"methods"`          // that are served; none: all

	// flow_most in the file: how long a body may stream, in each direction.
	MaxStreamDuration time.Duration `toml:"flow_most"`
	DeadlineScope     string        `toml:"deadline_rules"` // "waits" or "all": whether the deadline covers streaming, too

	ForbidsBody bool // requests must not have a body: the platform's contract, which no file can ask for
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

// EffectsByName has the balancer's effects of a request by their names in a file. It must not be changed.
var EffectsByName = map[string]balance.Idempotency{"safe": balance.Idempotent, "keyed": balance.IdempotencyKey, "unsafe": balance.NonIdempotent}

// groups has the balancer's groups of endpoints by their names in a file.
var groups = map[string]balance.DedupScope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}

const (
	effectKeyed = "keyed"
	groupAll    = "all"
)

// RequiresID reports whether a request without an ID is rejected. Otherwise an ID is made for it.
func (c *Class) RequiresID() bool { return c.IDMissing == missingReject }

// RequiresDeadline reports whether a request without a deadline is rejected. Otherwise Deadline applies to it.
func (c *Class) RequiresDeadline() bool { return c.DeadlineMissing == missingReject }

// DeadlineCoversStreaming reports whether the deadline covers bodies that stream, too.
func (c *Class) DeadlineCoversStreaming() bool { return c.DeadlineScope == deadlineCoversAll }

func (c *Class) applyDefaults(at *tomlfile.File, table string) {
	setDefault(at, table+".deadline", &c.Deadline, defaultDeadline)
	setDefault(at, table+".deadline_most", &c.MaxDeadline, max(c.Deadline, defaultMaxDeadline))
	setDefault(at, table+".aim", &c.LatencyObjective, c.Deadline/2)
	setDefault(at, table+".flow_most", &c.MaxStreamDuration, defaultMaxStreamDuration)
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
	_, isEffect := EffectsByName[c.Effect]
	_, isGroup := groups[c.Group]
	return at.Check(table, []tomlfile.Requirement{
		tomlfile.Require("name", names.add(c.Name), "a name of its own"),
		tomlfile.Require("effect", isEffect, "safe, keyed or unsafe"),
		tomlfile.Require("window", (c.IdempotencyWindow > 0) == (c.Effect == effectKeyed),
			"over 0 for a keyed class, and only there"),
		tomlfile.Require("group", isGroup, "all, zone or cell"),
		tomlfile.Require("deadline", c.Deadline > 0, "over 0"),
		tomlfile.Require("deadline_most", c.MaxDeadline >= c.Deadline && c.MaxDeadline <= maxDeadline,
			"the deadline at least, and 1h at most"),
		tomlfile.Require("flow_most", c.MaxStreamDuration > 0 && c.MaxStreamDuration <= maxStreamDuration, "over 0, and 24h at most"),
		tomlfile.Require("deadline_rules", c.DeadlineScope == deadlineCoversWaits || c.DeadlineScope == deadlineCoversAll,
			`"waits" or "all"`),
		tomlfile.Require("aim", c.LatencyObjective > 0 && c.LatencyObjective <= c.MaxDeadline, "over 0, and deadline_most at most"),
		tomlfile.Require("id_header", isHeaderName(c.IDHeader), "the name of a header"),
		tomlfile.Require("key_header", isHeaderName(c.KeyHeader), "the name of a header"),
		tomlfile.Require("tenant_header", isHeaderName(c.TenantHeader), "the name of a header"),
		tomlfile.Require("deadline_header", isHeaderName(c.DeadlineHeader), "the name of a header"),
		tomlfile.Require("retry_header", c.RetryHeader == "" || isHeaderName(c.RetryHeader), "the name of a header"),
		tomlfile.Require("id_missing", c.IDMissing == missingMake || c.IDMissing == missingReject, `"make" or "refuse"`),
		tomlfile.Require("deadline_missing", c.DeadlineMissing == missingFill || c.DeadlineMissing == missingReject,
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
		if err := at.Check(fmt.Sprintf("tenant[%d]", i), []tomlfile.Requirement{
			tomlfile.Require("name", names.add(t.Name), "a name of its own"),
			tomlfile.Require("quota", t.Quota > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	return nil
}
