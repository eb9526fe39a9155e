package simwire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"tuliprock/balance"
)

// Settings holds the contents of the settings object that a host of balancers uses.
type Settings struct {
	balance.Settings                    // settings for balance.New
	IdleConnectionTimeout time.Duration // time after which an endpoint closes an idle connection; 0: unknown
	DialTimeout           time.Duration // time in which a connection must be established; 0: unknown
	LongestClientWait     time.Duration // longest time that a client of any class waits in total; 0: unknown for at least one class
}

// settings is the settings object in its JSON form, without the members that this package does not use and the decoder ignores.
// Its fields have no tags, and have the names and types of the object's members, because the errors of encoding/json contain the
// name and the type of a field.
type settings struct {
	NInstances int        // number of balancers in this balancer's tier
	Me         int        // index of this balancer among the balancers of its tier, from 0
	Tier       int        // index of this balancer's tier in Tiers
	Tiers      []string   // names of all tiers; clients send to the first tier
	Lanes      []struct { // classes of requests; see balance.Class
		Name, Semantics, Group string
		OnTimeUs, WindowUs     int64 // OnTimeUs: latency objective; WindowUs: time for which endpoints drop duplicates
		HardLimitUs            int64 // longest time that a client waits for the final response
	}
	Accounts []struct { // tenants; see balance.Tenant
		Name      string
		QuotaPerS float64 // requests per second that the tenant may send
	}
	Discovery    string // how endpoint lists come: automatic or subscribe
	ResolutionUs int64  // longest delay of events and timers; see balance.Settings.TimerResolution
	Permissions  struct {
		MayCancel, MayProbe, RetryAfter            bool
		TryLimit                                   int // attempts allowed per request
		MaxRetryAfterUs, ConnIdleUs, DialTimeoutUs int64
	}
	Report struct { // how endpoints report their load
		Fields []string // names of the values in a load report
		How    string   // how load reports are sent; silent: endpoints send none
	}
	Rules struct {
		AskWithinUs, ColdUs int64   // AskWithinUs: longest time without a subscription or poll; ColdUs: duration of the slow start
		ColdFrom            float64 // fraction of its full capacity that an endpoint starts with
	}
}

// microseconds converts a number of microseconds to a duration.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// ParseSettings decodes the settings object, which has the same form in the simulator's protocol and in the platform's
// configuration. An error names the invalid member of the object.
func ParseSettings(text []byte) (Settings, error) {
	var wire settings
	if err := json.Unmarshal(text, &wire); err != nil {
		return Settings{}, fmt.Errorf("parsing Config: %w", err)
	}
	s := Settings{
		Settings:              wire.balancerSettings(),
		IdleConnectionTimeout: microseconds(wire.Permissions.ConnIdleUs),
		DialTimeout:           microseconds(wire.Permissions.DialTimeoutUs),
		LongestClientWait:     wire.longestHardLimit(),
	}
	switch wire.Discovery {
	case "automatic", "":
	case "subscribe":
		s.MustSubscribe = true
	default:
		return s, fmt.Errorf("unknown Discovery %q in Config", wire.Discovery)
	}
	for _, lane := range wire.Lanes {
		idempotency, ok := idempotencies[lane.Semantics]
		if !ok {
			return s, fmt.Errorf("class %q in Config has unknown Semantics %q", lane.Name, lane.Semantics)
		}
		scope, ok := dedupScopes[lane.Group]
		if !ok {
			return s, fmt.Errorf("class %q in Config has unknown Group %q", lane.Name, lane.Group)
		}
		s.Classes = append(s.Classes, balance.Class{
			Name:             lane.Name,
			Idempotency:      idempotency,
			DedupScope:       scope,
			DedupWindow:      microseconds(lane.WindowUs),
			LatencyObjective: microseconds(lane.OnTimeUs),
		})
	}
	for _, account := range wire.Accounts {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: account.Name, Quota: account.QuotaPerS})
	}
	return s, nil
}

// idempotencies maps the wire's values of Semantics, a field of a class, to those of package balance.
var idempotencies = map[string]balance.Idempotency{
	"read_like":       balance.Idempotent,
	"idempotency_key": balance.IdempotencyKey,
	"non_idempotent":  balance.NonIdempotent,
}

// dedupScopes maps the wire's values of Group, a field of a class, to those of package balance. Without a value the scope is
// all endpoints.
var dedupScopes = map[string]balance.DedupScope{
	"":     balance.ScopeAll,
	"all":  balance.ScopeAll,
	"zone": balance.ScopeZone,
	"cell": balance.ScopeCell,
}

// balancerSettings returns the settings for balance.New, without the seed, the classes, the tenants and the mode of discovery.
func (w *settings) balancerSettings() balance.Settings {
	s := balance.Settings{
		BalancerCount:        w.NInstances,
		BalancerIndex:        w.Me,
		Tier:                 w.Tier,
		TiersBelow:           max(len(w.Tiers)-1-w.Tier, 0),
		MaxSubscribeInterval: microseconds(w.Rules.AskWithinUs),
		MaxAttempts:          w.Permissions.TryLimit,
		CanCancel:            w.Permissions.MayCancel,
		CanProbe:             w.Permissions.MayProbe && w.hasUsableLoadReports(),
		TimerResolution:      microseconds(w.ResolutionUs),
		SlowStartCapacity:    w.Rules.ColdFrom,
		SlowStartDuration:    microseconds(w.Rules.ColdUs),
	}
	if w.Permissions.RetryAfter {
		s.MaxRetryAfter = microseconds(w.Permissions.MaxRetryAfterUs)
	}
	return s
}

// hasUsableLoadReports reports whether endpoints send load reports that contain "active", the value that the balancer uses.
func (w *settings) hasUsableLoadReports() bool {
	return w.Report.How != "silent" && slices.Contains(w.Report.Fields, "active")
}

// longestHardLimit returns the largest HardLimitUs of all classes; 0 if a class has none.
func (w *settings) longestHardLimit() time.Duration {
	longestWait := time.Duration(0)
	for _, lane := range w.Lanes {
		if lane.HardLimitUs <= 0 {
			return 0
		}
		longestWait = max(longestWait, microseconds(lane.HardLimitUs))
	}
	return longestWait
}
