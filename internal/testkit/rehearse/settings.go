package rehearse

import (
	"encoding/json"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// settings is the settings object of a sidecar's configuration, as far as sidecars read it. Its names and units are the
// platform's: a lane is a class, an account a tenant.
type settings struct {
	NInstances   int
	Me           int
	Tier         int
	Tiers        []string
	Lanes        []classSettings
	Accounts     []tenantSettings
	Discovery    string
	ResolutionUs int64
	Permissions  struct {
		MayCancel, MayProbe, RetryAfter            bool
		TryLimit                                   int
		MaxRetryAfterUs, ConnIdleUs, DialTimeoutUs int64
	}
	Report struct{ How string }
	Rules  struct {
		AnswerSlackUs, DrainGraceUs, TipAfterUs, ColdUs int64
		FallMultiple, ColdFrom                          float64
	}
}

type classSettings struct {
	Name, Semantics, Group         string
	OnTimeUs, DeadlineUs, WindowUs int64
	Worth                          float64
}

type tenantSettings struct {
	Name      string
	QuotaPerS float64
}

// semanticsNames are the platform's names of the effects.
var semanticsNames = map[invariant.Effect]string{invariant.Safe: "read_like", invariant.IdempotencyKeyed: "idempotency_key",
	invariant.Unsafe: "non_idempotent"}

// timerResolution is how late events and timers of a sidecar may come in a rehearsal: the lateness of a timer on a busy
// machine.
const timerResolution = 5 * time.Millisecond

// settingsFor is the settings object of a sidecar.
func (p *Plan) settingsFor(role sidecarRole) (json.RawMessage, error) {
	day, rules := p.Day, p.Day.Rules
	var s settings
	s.NInstances, s.Me, s.Tier = role.count, role.index, role.tier
	s.Discovery, s.ResolutionUs = "automatic", timerResolution.Microseconds()
	for _, t := range day.Tiers {
		s.Tiers = append(s.Tiers, t.Name)
	}
	for i, c := range day.Classes {
		s.Lanes = append(s.Lanes, classSettings{Name: c.Name, Semantics: semanticsNames[p.Classes[i].Effect], Group: "cell",
			OnTimeUs: c.LatencyObjective.Microseconds(), DeadlineUs: c.Deadline.Microseconds(),
			WindowUs: c.Window.Microseconds(), Worth: c.PriorityWeight})
	}
	for i, t := range day.Tenants {
		s.Accounts = append(s.Accounts, tenantSettings{t.Name, p.Quotas[i]})
	}
	s.Permissions.MayCancel, s.Permissions.RetryAfter = true, rules.MaxRetryAfter > 0
	s.Permissions.TryLimit = rules.MaxAttempts
	s.Permissions.MaxRetryAfterUs = rules.MaxRetryAfter.Microseconds()
	s.Permissions.ConnIdleUs = day.Tiers[role.tier].IdleTimeout.Lo.Microseconds()
	s.Permissions.DialTimeoutUs = rules.DialTimeout.Microseconds()
	s.Report.How = "silent"
	s.Rules.AnswerSlackUs, s.Rules.DrainGraceUs = rules.Tolerance.Microseconds(), rules.DrainGrace.Microseconds()
	s.Rules.TipAfterUs, s.Rules.FallMultiple = rules.ColdOverloadWindow.Microseconds(), rules.ColdOverloadFactor
	coldShare, warmUp := p.coldStart() // of all kinds of nodes, as the platform states them
	s.Rules.ColdFrom, s.Rules.ColdUs = coldShare, warmUp.Microseconds()
	return json.Marshal(s)
}
