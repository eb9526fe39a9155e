package simwire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"tuliprock/balance"
)

// Settings is what the settings object says to a host of balancers.
type Settings struct {
	balance.Settings                // what balance.New is given
	ConnIdle          time.Duration // an endpoint closes a connection after it was idle for this long; 0: not known
	DialTimeout       time.Duration // a connection that is not established by then has failed; 0: not known
	LongestClientWait time.Duration // the longest time that a client of any class waits in total; 0: not known of each class
}

// settings is the settings object as far as it is used; other members are ignored. Its fields have the wire's names and
// types, and no tags, since encoding/json prints all of these in its errors.
type settings struct {
	NInstances int // balancers
	Me         int // this balancer's index
	Tier       int
	Tiers      []string
	Lanes      []struct { // classes
		Name, Semantics, Group string
		OnTimeUs, WindowUs     int64 // latency objective; how long duplicates are recognized
		HardLimitUs            int64 // the longest that a client waits
	}
	Accounts []struct { // tenants
		Name      string
		QuotaPerS float64
	}
	Discovery    string
	ResolutionUs int64
	Permissions  struct {
		MayCancel, MayProbe, RetryAfter            bool
		TryLimit                                   int // attempts for each request
		MaxRetryAfterUs, ConnIdleUs, DialTimeoutUs int64
	}
	Report struct { // load report
		Fields []string
		How    string
	}
	Rules struct {
		AskWithinUs, ColdUs int64 // poll interval; duration of the slow start
		ColdFrom            float64
	}
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// ParseSettings decodes the settings object, which the simulator and the platform's configuration have in the same form.
// An error names the member of the object that is at fault.
func ParseSettings(text []byte) (Settings, error) {
	var wire settings
	if err := json.Unmarshal(text, &wire); err != nil {
		return Settings{}, fmt.Errorf("parsing Config: %w", err)
	}
	s := Settings{
		Settings:          wire.balancerSettings(),
		ConnIdle:          microseconds(wire.Permissions.ConnIdleUs),
		DialTimeout:       microseconds(wire.Permissions.DialTimeoutUs),
		LongestClientWait: wire.longestHardLimit(),
	}
	switch wire.Discovery {
	case "automatic", "":
	case "subscribe":
		s.MustSubscribe = true
	default:
		return s, fmt.Errorf("unknown Discovery %q in Config", wire.Discovery)
	}
	for _, lane := range wire.Lanes {
		effect, ok := effects[lane.Semantics]
		if !ok {
			return s, fmt.Errorf("class %q in Config has unknown Semantics %q", lane.Name, lane.Semantics)
		}
		group, ok := groups[lane.Group]
		if !ok {
			return s, fmt.Errorf("class %q in Config has unknown Group %q", lane.Name, lane.Group)
		}
		s.Classes = append(s.Classes, balance.Class{
			Name:             lane.Name,
			Idempotency:      effect,
			DedupScope:       group,
			DedupWindow:      microseconds(lane.WindowUs),
			LatencyObjective: microseconds(lane.OnTimeUs),
		})
	}
	for _, account := range wire.Accounts {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: account.Name, Quota: account.QuotaPerS})
	}
	return s, nil
}

// effects are the wire's names of what a repeated request does.
var effects = map[string]balance.Idempotency{
	"read_like":       balance.Idempotent,
	"idempotency_key": balance.IdempotencyKey,
	"non_idempotent":  balance.NonIdempotent,
}

// groups are the wire's names of the endpoints that recognize one another's duplicates. Left out, it is all of them.
var groups = map[string]balance.DedupScope{
	"":     balance.ScopeAll,
	"all":  balance.ScopeAll,
	"zone": balance.ScopeZone,
	"cell": balance.ScopeCell,
}

// balancerSettings returns the balancer's part, without the classes, the tenants and the mode of discovery.
func (w *settings) balancerSettings() balance.Settings {
	s := balance.Settings{
		Balancers:         w.NInstances,
		Index:             w.Me,
		Tier:              w.Tier,
		TiersBelow:        max(len(w.Tiers)-1-w.Tier, 0),
		SubscribeWithin:   microseconds(w.Rules.AskWithinUs),
		MaxAttempts:       w.Permissions.TryLimit,
		CanCancel:         w.Permissions.MayCancel,
		CanProbe:          w.Permissions.MayProbe && w.reportsLoad(),
		TimerResolution:   microseconds(w.ResolutionUs),
		SlowStartCapacity: w.Rules.ColdFrom,
		SlowStartDuration: microseconds(w.Rules.ColdUs),
	}
	if w.Permissions.RetryAfter {
		s.MaxRetryAfter = microseconds(w.Permissions.MaxRetryAfterUs)
	}
	return s
}

// reportsLoad says whether endpoints report the load that the balancer uses.
func (w *settings) reportsLoad() bool {
	return w.Report.How != "silent" && slices.Contains(w.Report.Fields, "active")
}

// longestHardLimit returns the longest of the classes' limits; 0 if a class has none.
func (w *settings) longestHardLimit() time.Duration {
	longest := time.Duration(0)
	for _, lane := range w.Lanes {
		if lane.HardLimitUs <= 0 {
			return 0
		}
		longest = max(longest, microseconds(lane.HardLimitUs))
	}
	return longest
}
