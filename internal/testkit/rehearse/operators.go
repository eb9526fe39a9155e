package rehearse

import (
	"fmt"
	"strings"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// reservedSockets is how many of a sidecar's descriptors the platform's daemon keeps for other things than connections.
const reservedSockets = 40

// operatorsFile is the configuration of a sidecar as operators write it, in place of what the platform provides. The agent
// is the address of its discovery agent; member is nil for a sidecar that is not in a cluster.
func (p *Plan) operatorsFile(role sidecarRole, listen, agent string, seed uint64, member *clusterMember) string {
	var b strings.Builder
	day, sidecars, rules := p.Day, p.Day.Sidecars, p.Day.Rules
	tier := day.Tiers[role.tier]
	connections := max((sidecars.Sockets-reservedSockets)/2, 8) // on each side
	fmt.Fprintf(&b, "format = 1\n[daemon]\nname = %q\nseed = %d\ncores = %v\nmemory_mb = %d\n",
		role.name, seed>>1|1, sidecars.Cores, sidecars.MemoryMB)
	if member != nil {
		b.WriteString(member.configText)
	} else {
		fmt.Fprintf(&b, "daemons = %d\nindex = %d\n", role.count, role.index)
	}
	fmt.Fprintf(&b, "[[listener]]\nname = \"callers\"\naddress = %q\nconnections = %d\nretry_after = \"fraction\"\n",
		listen, connections)
	for i, c := range day.Classes {
		fmt.Fprintf(&b, "[[class]]\nname = %q\neffect = %q\naim = %q\ndeadline = %q\nretry_header = \"Req-Retry\"\n"+
			"id_missing = \"refuse\"\ndeadline_missing = \"refuse\"\n", c.Name, c.Effect, c.LatencyObjective, c.Deadline)
		if p.Classes[i].Effect == invariant.IdempotencyKeyed {
			fmt.Fprintf(&b, "window = %q\ngroup = \"cell\"\n", c.Window)
		}
	}
	for i, t := range day.Tenants {
		if p.Quotas[i] > 0 {
			fmt.Fprintf(&b, "[[tenant]]\nname = %q\nquota = %v\n", t.Name, p.Quotas[i])
		}
	}
	coldShare, warmUp := p.coldStart()
	fmt.Fprintf(&b, "[[pool]]\nname = %q\nagent = %q\nconnections = %d\ntier = %d\ntiers_below = %d\nattempts = %d\n"+
		"retry_after_most = %q\ncold_from = %v\ncold_for = %q\n", tier.Name, agent, connections, role.tier,
		len(day.Tiers)-1-role.tier, rules.MaxAttempts, rules.MaxRetryAfter, coldShare, warmUp)
	if rules.DialTimeout > 0 {
		fmt.Fprintf(&b, "dial_timeout = %q\n", rules.DialTimeout)
	}
	if tier.IdleTimeout.Lo > 0 {
		fmt.Fprintf(&b, "idle_timeout = %q\n", tier.IdleTimeout.Lo)
	}
	for _, c := range day.Classes {
		fmt.Fprintf(&b, "[[route]]\npath_segments = %q\npool = %q\nclass = %q\n", "/"+c.Name+"/**", tier.Name, c.Name)
	}
	return b.String()
}

// coldStart is the least share of its capacity that a node of any kind starts with, and the longest warm-up.
func (p *Plan) coldStart() (share float64, warmUp time.Duration) {
	share = 1
	for _, t := range p.Day.Tiers {
		for _, k := range t.Kinds {
			share, warmUp = min(share, k.ColdCapacityFraction.Lo), max(warmUp, k.WarmUpDuration.Hi)
		}
	}
	return share, warmUp
}
