package rehearse

import (
	"encoding/json"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// settings is the part of the settings object in a sidecar's configuration that sidecars read. It is encoded under the names
// of its fields, which are the platform's: a lane is a class, an account a tenant. Fields that end in Us are in microseconds.
type settings struct {
	NInstances   int              // number of sidecars that send to the same tier
	Me           int              // index of this sidecar among the sidecars that send to the same tier
	Tier         int              // index of the tier that the sidecar sends to
	Tiers        []string         // names of all tiers
	Lanes        []classSettings  // classes of requests
	Accounts     []tenantSettings // tenants with their quotas
	Discovery    string           // how the endpoint list is kept up to date, here always "automatic"
	ResolutionUs int64            // lateness that timers and events may have, in microseconds
	Permissions  struct {
		MayCancel, MayProbe, RetryAfter            bool  // whether the sidecar may cancel requests, probe nodes and send Retry-After
		TryLimit                                   int   // largest number of attempts that the sidecar may send for one request
		MaxRetryAfterUs, ConnIdleUs, DialTimeoutUs int64 // longest Retry-After, and idle and dial timeout of connections to nodes, in microseconds
	}
	Report struct{ How string } // how nodes send load reports; always "silent", which means that they send none
	Rules  struct {
		// Tolerance, DrainGrace and ColdOverloadWindow of Day.Rules, and the longest warm-up of a node, in microseconds.
		AnswerSlackUs, DrainGraceUs, TipAfterUs, ColdUs int64
		// Day.Rules.ColdOverloadFactor, and the smallest fraction of its capacity that a node has after a start.
		FallMultiple, ColdFrom float64
	}
}

// classSettings is a class of requests in the settings object.
type classSettings struct {
	Name, Semantics, Group         string  // Semantics is one of semanticsNames; Group says which nodes drop duplicates together
	OnTimeUs, DeadlineUs, WindowUs int64   // latency objective, deadline and deduplication window, in microseconds
	Worth                          float64 // value of a request for each second of its work
}

// tenantSettings is a tenant and its quota in the settings object.
type tenantSettings struct {
	Name      string
	QuotaPerS float64 // quota of the tenant in requests per second
}

// semanticsNames are the platform's names for the effects of requests.
var semanticsNames = map[invariant.Effect]string{invariant.Safe: "read_like", invariant.IdempotencyKeyed: "idempotency_key",
	invariant.NonIdempotent: "non_idempotent"}

// timerResolution is how late timers and events of a sidecar may be in a rehearsal. It is the lateness of a timer on a busy
// machine.
const timerResolution = 5 * time.Millisecond

// settingsFor returns the encoded settings object of a sidecar.
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
	coldCapacityFraction, warmUp := p.coldStart() // the settings object has one cold start for all kinds of nodes
	s.Rules.ColdFrom, s.Rules.ColdUs = coldCapacityFraction, warmUp.Microseconds()
	return json.Marshal(s)
}
