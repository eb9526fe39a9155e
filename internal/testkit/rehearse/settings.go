package rehearse

import (
	"encoding/json"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// settings is the object that a sidecar finds in its configuration, as far as it reads it: the names and units are the
// platform's.
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

var semanticsNames = map[invariant.Effect]string{invariant.Safe: "read_like", invariant.Keyed: "idempotency_key", invariant.Unsafe: "non_idempotent"}

// timerResolution is how late a sidecar's events and timers may come here: a timer's own lateness on a busy machine.
const timerResolution = 5 * time.Millisecond

// settingsFor is the object for sidecar me of the n that send to a tier.
func (p *Plan) settingsFor(tier, me, n int) (json.RawMessage, error) {
	var s settings
	s.NInstances, s.Me, s.Tier, s.Discovery, s.ResolutionUs = n, me, tier, "automatic", timerResolution.Microseconds()
	for _, t := range p.Day.Tiers {
		s.Tiers = append(s.Tiers, t.Name)
	}
	for i, c := range p.Day.Classes {
		s.Lanes = append(s.Lanes, classSettings{Name: c.Name, Semantics: semanticsNames[p.Classes[i].Effect], Group: "cell", OnTimeUs: c.LatencyObjective.Microseconds(),
			DeadlineUs: c.Deadline.Microseconds(), WindowUs: c.Window.Microseconds(), Worth: c.Worth})
	}
	for i, t := range p.Day.Tenants {
		s.Accounts = append(s.Accounts, tenantSettings{t.Name, p.Quotas[i]})
	}
	s.Permissions.MayCancel, s.Permissions.RetryAfter, s.Permissions.TryLimit = true, p.Day.Rules.MaxRetryAfter > 0, p.Day.Rules.Attempts
	s.Permissions.MaxRetryAfterUs = p.Day.Rules.MaxRetryAfter.Microseconds()
	s.Permissions.ConnIdleUs = p.Day.Tiers[tier].IdleTimeout.Lo.Microseconds()
	s.Permissions.DialTimeoutUs = p.Day.Rules.DialTimeout.Microseconds()
	s.Report.How = "silent"
	r := p.Day.Rules
	s.Rules.AnswerSlackUs, s.Rules.DrainGraceUs, s.Rules.TipAfterUs, s.Rules.FallMultiple = r.Slack.Microseconds(), r.DrainGrace.Microseconds(), r.FallAfter.Microseconds(), r.FallMultiple
	s.Rules.ColdFrom = 1
	for _, t := range p.Day.Tiers { // the least and the longest of all, as the platform tells them
		for _, k := range t.Kinds {
			s.Rules.ColdFrom = min(s.Rules.ColdFrom, k.ColdCapacityShare.Lo)
			s.Rules.ColdUs = max(s.Rules.ColdUs, k.WarmUpDuration.Hi.Microseconds())
		}
	}
	return json.Marshal(s)
}
