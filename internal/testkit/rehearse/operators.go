package rehearse

import (
	"fmt"
	"strings"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// reservedDescriptors is the number of a sidecar's descriptors that are not used for connections. It is the number that a sidecar
// with the platform's configuration reserves itself.
const reservedDescriptors = 40

// operatorsFile returns the operators' file of a sidecar, which replaces the platform's configuration. agentAddr is the address of
// the sidecar's discovery agent; member is nil for a sidecar that is in no cluster.
func (p *Plan) operatorsFile(role sidecarRole, listenAddr, agentAddr string, seed uint64, member *clusterMember) string {
	var b strings.Builder
	day, sidecars, rules := p.Day, p.Day.Sidecars, p.Day.Rules
	tier := day.Tiers[role.tier]
	connections := max((sidecars.MaxDescriptors-reservedDescriptors)/2, 8) // limit of the connections from clients; the connections to nodes have a limit of the same size
	fmt.Fprintf(&b, "format = 1\n[daemon]\nname = %q\nseed = %d\ncores = %v\nmemory_mb = %d\n",
		role.name, seed>>1|1, sidecars.Cores, sidecars.MemoryMB)
	if member != nil {
		b.WriteString(member.configText)
	} else {
		fmt.Fprintf(&b, "daemons = %d\nindex = %d\n", role.count, role.index)
	}
	fmt.Fprintf(&b, "[[listener]]\nname = \"callers\"\naddress = %q\nconnections = %d\nretry_after = \"fraction\"\n",
		listenAddr, connections)
	for i, c := range day.Classes {
		fmt.Fprintf(&b, "[[class]]\nname = %q\neffect = %q\naim = %q\ndeadline = %q\nretry_header = \"Req-Retry\"\n"+
			"id_missing = \"refuse\"\ndeadline_missing = \"refuse\"\n", c.Name, c.Effect, c.LatencyObjective, c.Deadline)
		if p.Classes[i].Effect == invariant.IdempotencyKeyed {
			fmt.Fprintf(&b, "window = %q\ngroup = \"cell\"\n", c.DeduplicationWindow)
		}
	}
	for i, t := range day.Tenants {
		if p.Quotas[i] > 0 {
			fmt.Fprintf(&b, "[[tenant]]\nname = %q\nquota = %v\n", t.Name, p.Quotas[i])
		}
	}
	coldCapacityFraction, warmUp := p.coldStart()
	fmt.Fprintf(&b, "[[pool]]\nname = %q\nagent = %q\nconnections = %d\ntier = %d\ntiers_below = %d\nattempts = %d\n"+
		"retry_after_most = %q\ncold_from = %v\ncold_for = %q\n", tier.Name, agentAddr, connections, role.tier,
		len(day.Tiers)-1-role.tier, rules.MaxAttempts, rules.MaxRetryAfter, coldCapacityFraction, warmUp)
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

// coldStart returns the smallest fraction of its full capacity that a node of any kind can have right after a start, and the longest
// time that a node can need to warm up.
func (p *Plan) coldStart() (capacityFraction float64, warmUp time.Duration) {
	capacityFraction = 1
	for _, t := range p.Day.Tiers {
		for _, k := range t.Kinds {
			capacityFraction, warmUp = min(capacityFraction, k.ColdCapacityFraction.Lo), max(warmUp, k.WarmUpDuration.Hi)
		}
	}
	return capacityFraction, warmUp
}
