package rehearse

import (
	"encoding/json"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// settings is the part of the settings object in a sidecar's configuration that sidecars read. The platform's name of a field is its
// tag, or the field's own name if it has no tag: a lane is a class, an account a tenant. Fields that end in Us are in microseconds.
type settings struct {
	SidecarCount  int              `json:"NInstances"` // number of sidecars that send to the same tier
	SidecarIndex  int              `json:"Me"`         // index of this sidecar among the sidecars that send to the same tier
	Tier          int              // index of the tier that the sidecar sends to
	Tiers         []string         // names of all tiers
	Classes       []classSettings  `json:"Lanes"`    // classes of requests
	Tenants       []tenantSettings `json:"Accounts"` // tenants with their quotas
	Discovery     string           // how the endpoint list is kept up to date, here always "automatic"
	MaxLatenessUs int64            `json:"ResolutionUs"` // lateness that timers and events may have, in microseconds
	Permissions   struct {
		MayCancel, MayProbe                        bool  // whether the sidecar may cancel requests, and probe nodes
		MaySendRetryAfter                          bool  `json:"RetryAfter"` // whether the sidecar may send Retry-After
		MaxAttempts                                int   `json:"TryLimit"`   // largest number of attempts that the sidecar may send for one request
		MaxRetryAfterUs, ConnIdleUs, DialTimeoutUs int64 // longest Retry-After, and idle and dial timeout of connections to nodes, in microseconds
	}
	Report struct {
		Mode string `json:"How"` // how nodes send load reports; always "silent", which means that they send none
	}
	Rules struct {
		ToleranceUs          int64   `json:"AnswerSlackUs"` // time by which an event may exceed each time limit of the invariants without a violation, in microseconds
		DrainGraceUs         int64   // time after the notification that a node drains or is gone, in which the sidecar may still send it attempts, in microseconds
		ColdOverloadWindowUs int64   `json:"TipAfterUs"`   // length of the window over which the work sent to a warming node is summed, to check the limit ColdOverloadFactor, in microseconds
		WarmUpUs             int64   `json:"ColdUs"`       // longest time that a node needs to warm up, in microseconds
		ColdOverloadFactor   float64 `json:"FallMultiple"` // limit of the work sent to a warming node within ColdOverloadWindowUs, as a multiple of the work that the node can do in that time
		ColdCapacityFraction float64 `json:"ColdFrom"`     // smallest fraction of its capacity that a node has after a start
	}
}

// classSettings is a class of requests in the settings object.
type classSettings struct {
	Name, Semantics, Group         string  // Semantics is one of semanticsNames; Group says which nodes drop duplicates together
	OnTimeUs, DeadlineUs, WindowUs int64   // latency objective, deadline and deduplication window, in microseconds
	PriorityWeight                 float64 `json:"Worth"` // factor that gives the value of a request of this class: the value is PriorityWeight times the request's work in seconds
}

// tenantSettings is a tenant and its quota in the settings object.
type tenantSettings struct {
	Name      string
	QuotaPerS float64 // quota of the tenant in requests per second
}

// semanticsNames are the platform's names for the effects of requests.
var semanticsNames = map[invariant.Effect]string{invariant.Safe: "read_like", invariant.IdempotencyKeyed: "idempotency_key",
	invariant.NonIdempotent: "non_idempotent"}

// maxTimerLateness is how late timers and events of a sidecar may be in a rehearsal. It is the lateness of a timer on a busy
// machine.
const maxTimerLateness = 5 * time.Millisecond

// settingsFor returns the encoded settings object of a sidecar.
func (p *Plan) settingsFor(role sidecarRole) (json.RawMessage, error) {
	day, rules := p.Day, p.Day.Rules
	var s settings
	s.SidecarCount, s.SidecarIndex, s.Tier = role.count, role.index, role.tier
	s.Discovery, s.MaxLatenessUs = "automatic", maxTimerLateness.Microseconds()
	for _, t := range day.Tiers {
		s.Tiers = append(s.Tiers, t.Name)
	}
	for i, c := range day.Classes {
		s.Classes = append(s.Classes, classSettings{Name: c.Name, Semantics: semanticsNames[p.Classes[i].Effect], Group: "cell",
			OnTimeUs: c.LatencyObjective.Microseconds(), DeadlineUs: c.Deadline.Microseconds(),
			WindowUs: c.DeduplicationWindow.Microseconds(), PriorityWeight: c.PriorityWeight})
	}
	for i, t := range day.Tenants {
		s.Tenants = append(s.Tenants, tenantSettings{t.Name, p.Quotas[i]})
	}
	s.Permissions.MayCancel, s.Permissions.MaySendRetryAfter = true, rules.MaxRetryAfter > 0
	s.Permissions.MaxAttempts = rules.MaxAttempts
	s.Permissions.MaxRetryAfterUs = rules.MaxRetryAfter.Microseconds()
	s.Permissions.ConnIdleUs = day.Tiers[role.tier].IdleTimeout.Lo.Microseconds()
	s.Permissions.DialTimeoutUs = rules.DialTimeout.Microseconds()
	s.Report.Mode = "silent"
	s.Rules.ToleranceUs, s.Rules.DrainGraceUs = rules.Tolerance.Microseconds(), rules.DrainGrace.Microseconds()
	s.Rules.ColdOverloadWindowUs, s.Rules.ColdOverloadFactor = rules.ColdOverloadWindow.Microseconds(), rules.ColdOverloadFactor
	coldCapacityFraction, warmUp := p.coldStart() // the settings object has one cold start for all kinds of nodes
	s.Rules.ColdCapacityFraction, s.Rules.WarmUpUs = coldCapacityFraction, warmUp.Microseconds()
	return json.Marshal(s)
}
