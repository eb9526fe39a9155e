package rehearse

import (
	"fmt"
	"strings"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Of a sidecar's descriptors, what the platform's daemon keeps for other things than connections.
const reservedSockets = 40

// operatorsFile is what a sidecar of the day would be told by people instead of the platform: sidecar me of the n that
// send to a tier.
func (p *Plan) operatorsFile(name, listen, agent string, tier, me, n int, seed uint64, fleet *clusterMember) string {
	var b strings.Builder
	day, sidecars, rules := p.Day, p.Day.Sidecars, p.Day.Rules
	each := max((sidecars.Sockets-reservedSockets)/2, 8)
	fmt.Fprintf(&b, "format = 1\n[daemon]\nname = %q\nseed = %d\ncores = %v\nmemory_mb = %d\n", name, seed>>1|1, float64(sidecars.Cores), sidecars.MemoryMB)
	if fleet != nil {
		b.WriteString(fleet.config)
	} else {
		fmt.Fprintf(&b, "daemons = %d\nindex = %d\n", n, me)
	}
	fmt.Fprintf(&b, "[[listener]]\nname = \"callers\"\naddress = %q\nconnections = %d\nretry_after = \"fraction\"\n", listen, each)
	for i, c := range day.Classes {
		fmt.Fprintf(&b, "[[class]]\nname = %q\neffect = %q\naim = %q\ndeadline = %q\nretry_header = \"Req-Retry\"\nid_missing = \"refuse\"\ndeadline_missing = \"refuse\"\n", c.Name, c.Effect, c.LatencyObjective, c.Deadline)
		if p.Classes[i].Effect == invariant.Keyed {
			fmt.Fprintf(&b, "window = %q\ngroup = \"cell\"\n", c.Window)
		}
	}
	for i, t := range day.Tenants {
		if p.Quotas[i] > 0 {
			fmt.Fprintf(&b, "[[tenant]]\nname = %q\nquota = %v\n", t.Name, p.Quotas[i])
		}
	}
	coldFrom, coldFor := p.coldStart()
	fmt.Fprintf(&b, "[[pool]]\nname = %q\nagent = %q\nconnections = %d\ntier = %d\ntiers_below = %d\nattempts = %d\nretry_after_most = %q\ncold_from = %v\ncold_for = %q\n",
		day.Tiers[tier].Name, agent, each, tier, len(day.Tiers)-1-tier, rules.Attempts, rules.MaxRetryAfter, coldFrom, coldFor)
	if rules.DialTimeout > 0 {
		fmt.Fprintf(&b, "dial_timeout = %q\n", rules.DialTimeout)
	}
	if idle := day.Tiers[tier].IdleTimeout.Lo; idle > 0 {
		fmt.Fprintf(&b, "idle_timeout = %q\n", idle)
	}
	for _, c := range day.Classes {
		fmt.Fprintf(&b, "[[route]]\npath_segments = %q\npool = %q\nclass = %q\n", "/"+c.Name+"/**", day.Tiers[tier].Name, c.Name)
	}
	return b.String()
}

// coldStart is the least share and the longest time of a cold start, over all kinds of nodes.
func (p *Plan) coldStart() (from float64, lasts time.Duration) {
	from = 1
	for _, t := range p.Day.Tiers {
		for _, k := range t.Kinds {
			from, lasts = min(from, k.ColdCapacityShare.Lo), max(lasts, k.WarmUpDuration.Hi)
		}
	}
	return from, lasts
}
