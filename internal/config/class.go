package config

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/tomlfile"
)

// Class is a section [[class]] of an operators' file: a class of requests, with the rules for retrying them and for their deadlines,
// and the headers that carry a request's ID, tenant and deadline.
type Class struct {
	Name        string `toml:"name"`
	Idempotency string `toml:"effect"` // whether requests may be retried: "safe", "keyed" (by idempotency key) or "unsafe"

	DedupWindow time.Duration `toml:"window"` // how long endpoints recognize a duplicate by its idempotency key; 0 unless Idempotency is "keyed"
	DedupScope  string        `toml:"group"`  // which endpoints recognize each other's idempotency keys: "all", "zone" or "cell"

	LatencyObjective time.Duration `toml:"aim"`           // time within which a response is wanted
	Deadline         time.Duration `toml:"deadline"`      // deadline of a request that names none
	MaxDeadline      time.Duration `toml:"deadline_most"` // longest deadline that a request may name

	IDHeader       string `toml:"id_header"`       // header with the request's ID
	KeyHeader      string `toml:"key_header"`      // header with the idempotency key
	TenantHeader   string `toml:"tenant_header"`   // header with the tenant's name
	DeadlineHeader string `toml:"deadline_header"` // header with the deadline in milliseconds
	RetryHeader    string `toml:"retry_header"`    // header whose value "1" marks a client's retry; empty if clients' marks are not trusted

	IDMissing       string   `toml:"id_missing"`       // handling of a request without an ID: "make" or "refuse"
	DeadlineMissing string   `toml:"deadline_missing"` // handling of a request without a deadline: "fill" or "refuse"
	Methods         []string `toml:"methods"`          // methods that are served; empty for all

	MaxStreamDuration time.Duration `toml:"flow_most"`      // how long a body may stream, in each direction
	DeadlineScope     string        `toml:"deadline_rules"` // part of a request that its deadline covers: "waits" or "all"

	// ForbidsBody is whether requests with a body are rejected. It is set only for the classes of idempotent requests in the platform's
	// configuration, since the platform requires these to be GET requests without a body.
	ForbidsBody bool
}

// Values of the fields id_missing and deadline_missing: the handling of a request without an ID or a deadline.
const (
	missingGenerate   = "make"   // an ID is generated
	missingUseDefault = "fill"   // the class's Deadline is used
	missingReject     = "refuse" // a request without the ID or the deadline is rejected
)

// Values of the field deadline_rules: the part of a request that its deadline covers.
const (
	deadlineCoversWaits = "waits" // the deadline covers the wait for a response, but not the streaming of bodies
	deadlineCoversAll   = "all"   // the deadline covers the complete request and response
)

// Default values and upper bounds of the fields of a Class.
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

// IdempotencyByName maps the values of the field effect in an operators' file to constants of package balance. It must not be
// modified.
var IdempotencyByName = map[string]balance.Idempotency{
	"safe": balance.Idempotent, "keyed": balance.IdempotencyKey, "unsafe": balance.NonIdempotent,
}

// dedupScopes maps the values of the field group in an operators' file to constants of package balance.
var dedupScopes = map[string]balance.DedupScope{"all": balance.ScopeAll, "zone": balance.ScopeZone, "cell": balance.ScopeCell}

// The values of the fields effect and group that the checks and defaults of a Class use. IdempotencyByName and dedupScopes have all
// values of these fields.
const (
	idempotencyKeyed = "keyed"
	dedupScopeAll    = "all"
)

// RequiresID reports whether a request without an ID is rejected. Otherwise an ID is generated.
func (c *Class) RequiresID() bool { return c.IDMissing == missingReject }

// RequiresDeadline reports whether a request without a deadline is rejected. Otherwise it gets the class's Deadline.
func (c *Class) RequiresDeadline() bool { return c.DeadlineMissing == missingReject }

// DeadlineCoversStreaming reports whether the deadline also limits the streaming of bodies.
func (c *Class) DeadlineCoversStreaming() bool { return c.DeadlineScope == deadlineCoversAll }

func (c *Class) applyDefaults(tomlFile *tomlfile.File, table string) {
	setDefault(tomlFile, table+".deadline", &c.Deadline, defaultDeadline)
	setDefault(tomlFile, table+".deadline_most", &c.MaxDeadline, max(c.Deadline, defaultMaxDeadline))
	setDefault(tomlFile, table+".aim", &c.LatencyObjective, c.Deadline/2)
	setDefault(tomlFile, table+".flow_most", &c.MaxStreamDuration, defaultMaxStreamDuration)
	setIfEmpty(&c.DedupScope, dedupScopeAll)
	setIfEmpty(&c.IDHeader, defaultIDHeader)
	setIfEmpty(&c.KeyHeader, defaultKeyHeader)
	setIfEmpty(&c.TenantHeader, defaultTenantHeader)
	setIfEmpty(&c.DeadlineHeader, defaultDeadlineHeader)
	setIfEmpty(&c.IDMissing, missingGenerate)
	setIfEmpty(&c.DeadlineMissing, missingUseDefault)
	setIfEmpty(&c.DeadlineScope, deadlineCoversWaits)
}

func (f *File) checkClasses(tomlFile *tomlfile.File) error {
	if len(f.Class) == 0 {
		return tomlFile.Errorf("class", "must be given")
	}
	names := uniqueNames{}
	for i := range f.Class {
		if err := f.Class[i].check(tomlFile, fmt.Sprintf("class[%d]", i), names); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error for the first invalid field of the class. table is the full name of its section, for errors. names has the
// names of the classes that were checked before; check adds the name of this class.
func (c *Class) check(tomlFile *tomlfile.File, table string, names uniqueNames) error {
	_, isKnownIdempotency := IdempotencyByName[c.Idempotency]
	_, isKnownDedupScope := dedupScopes[c.DedupScope]
	return tomlFile.Check(table, []tomlfile.Requirement{
		tomlfile.Require("name", names.add(c.Name), "a unique name"),
		tomlfile.Require("effect", isKnownIdempotency, `"safe", "keyed" or "unsafe"`),
		tomlfile.Require("window", (c.DedupWindow > 0) == (c.Idempotency == idempotencyKeyed),
			`over 0 if effect is "keyed", and left out otherwise`),
		tomlfile.Require("group", isKnownDedupScope, `"all", "zone" or "cell"`),
		tomlfile.Require("deadline", c.Deadline > 0, "over 0"),
		tomlfile.Require("deadline_most", c.MaxDeadline >= c.Deadline && c.MaxDeadline <= maxDeadline,
			"from deadline to 1h"),
		tomlfile.Require("flow_most", c.MaxStreamDuration > 0 && c.MaxStreamDuration <= maxStreamDuration, "over 0, and 24h at most"),
		tomlfile.Require("deadline_rules", c.DeadlineScope == deadlineCoversWaits || c.DeadlineScope == deadlineCoversAll,
			`"waits" or "all"`),
		tomlfile.Require("aim", c.LatencyObjective > 0 && c.LatencyObjective <= c.MaxDeadline, "over 0, and deadline_most at most"),
		tomlfile.Require("id_header", isHeaderName(c.IDHeader), "a header name"),
		tomlfile.Require("key_header", isHeaderName(c.KeyHeader), "a header name"),
		tomlfile.Require("tenant_header", isHeaderName(c.TenantHeader), "a header name"),
		tomlfile.Require("deadline_header", isHeaderName(c.DeadlineHeader), "a header name"),
		tomlfile.Require("retry_header", c.RetryHeader == "" || isHeaderName(c.RetryHeader), "a header name"),
		tomlfile.Require("id_missing", c.IDMissing == missingGenerate || c.IDMissing == missingReject, `"make" or "refuse"`),
		tomlfile.Require("deadline_missing", c.DeadlineMissing == missingUseDefault || c.DeadlineMissing == missingReject,
			`"fill" or "refuse"`),
	})
}

// Tenant is a section [[tenant]] of an operators' file: a user of the pools with a quota of their capacity.
type Tenant struct {
	Name  string  `toml:"name"`
	Quota float64 `toml:"quota"` // requests per second that the tenant may send to all daemons together
}

func (f *File) checkTenants(tomlFile *tomlfile.File) error {
	names := uniqueNames{}
	for i, t := range f.Tenant {
		if err := tomlFile.Check(fmt.Sprintf("tenant[%d]", i), []tomlfile.Requirement{
			tomlfile.Require("name", names.add(t.Name), "a unique name"),
			tomlfile.Require("quota", t.Quota > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	return nil
}
