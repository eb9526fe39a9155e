package simwire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"tuliprock/balance"
)

// settings is the shape of the START message's Config, as far as it is used.
type settings struct {
	NInstances int
	Me         int
	Tier       int
	Tiers      []string
	Lanes      []struct {
		Name, Semantics, Group string
		OnTimeUs, WindowUs     int64
		HardLimitUs            int64
	}
	Accounts []struct {
		Name      string
		QuotaPerS float64
	}
	Discovery    string
	ResolutionUs int64
	Permissions  struct {
		MayCancel, MayProbe, RetryAfter            bool
		TryLimit                                   int
		MaxRetryAfterUs, ConnIdleUs, DialTimeoutUs int64
	}
	Report struct {
		Fields []string
		How    string
	}
	Rules struct {
		AskWithinUs, ColdUs int64
		ColdFrom            float64
	}
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Settings is what the object says to a host: the module's part, and what a host with connections of its own needs.
type Settings struct {
	balance.Settings
	ConnIdle    time.Duration // an endpoint closes a connection that has been idle for this long; 0: not told
	DialTimeout time.Duration // a connection not made by then has failed; 0: not told
	Longest     time.Duration // that a client of any class waits in all; 0: not told of each
}

// ParseSettings reads the settings object, which the simulator and the deployment give in the same form.
func ParseSettings(text []byte) (Settings, error) {
	var c settings
	if err := json.Unmarshal(text, &c); err != nil {
		return Settings{}, fmt.Errorf("parsing Config: %w", err)
	}
	s := Settings{ConnIdle: us(c.Permissions.ConnIdleUs), DialTimeout: us(c.Permissions.DialTimeoutUs)}
	s.Settings = balance.Settings{
		Balancers: c.NInstances, Index: c.Me, Tier: c.Tier, TiersBelow: max(len(c.Tiers)-1-c.Tier, 0),
		AskWithin: us(c.Rules.AskWithinUs), MaxAttempts: c.Permissions.TryLimit,
		MayCancel:  c.Permissions.MayCancel,
		MayProbe:   c.Permissions.MayProbe && c.Report.How != "silent" && slices.Contains(c.Report.Fields, "active"),
		Resolution: us(c.ResolutionUs), ColdFrom: c.Rules.ColdFrom, ColdFor: us(c.Rules.ColdUs),
	}
	if c.Permissions.RetryAfter {
		s.MaxRetryAfter = us(c.Permissions.MaxRetryAfterUs)
	}
	switch c.Discovery {
	case "automatic", "":
	case "subscribe":
		s.MustSubscribe = true
	default:
		return s, fmt.Errorf("unknown Discovery %q in Config", c.Discovery)
	}
	told := true
	for _, l := range c.Lanes {
		s.Longest, told = max(s.Longest, us(l.HardLimitUs)), told && l.HardLimitUs > 0
		k := balance.Class{Name: l.Name, Window: us(l.WindowUs), Aim: us(l.OnTimeUs)}
		switch l.Semantics {
		case "read_like":
			k.Effect = balance.Safe
		case "idempotency_key":
			k.Effect = balance.Keyed
		case "non_idempotent":
			k.Effect = balance.Unsafe
		default:
			return s, fmt.Errorf("class %q in Config has unknown Semantics %q", l.Name, l.Semantics)
		}
		switch l.Group {
		case "all", "":
			k.Group = balance.GroupAll
		case "zone":
			k.Group = balance.GroupZone
		case "cell":
			k.Group = balance.GroupCell
		default:
			return s, fmt.Errorf("class %q in Config has unknown Group %q", l.Name, l.Group)
		}
		s.Classes = append(s.Classes, k)
	}
	if !told {
		s.Longest = 0
	}
	for _, a := range c.Accounts {
		s.Tenants = append(s.Tenants, balance.Tenant{Name: a.Name, Quota: a.QuotaPerS})
	}
	return s, nil
}
