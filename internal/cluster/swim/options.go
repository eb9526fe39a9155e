package swim

import (
	"net/netip"
	"time"
)

// Defaults of the times in Options; docs/design/026-peers.md explains them.
const (
	DefaultProbeInterval    = 500 * time.Millisecond
	DefaultProbeTimeout     = 200 * time.Millisecond
	DefaultSuspicionTimeout = 1500 * time.Millisecond
)

// Options configure a Node. A time of 0 or less means its default.
type Options struct {
	Self           Peer             // identity of this node, which cannot be reconfigured
	Join           []netip.AddrPort // addresses that are pinged to join the cluster, each while no present member has it
	Voters         []string         // names of the members whose presence determines Connectivity; empty: all known members
	InitialMembers []Update         // members that are known at the start, and that already know this node
	Seed           uint64           // seed of the random numbers, which cannot be reconfigured

	ProbeInterval    time.Duration // interval between two probes
	ProbeTimeout     time.Duration // time after which a probe without a response becomes indirect; at most half of ProbeInterval
	SuspicionTimeout time.Duration // minimum suspicion timeout for up to ten members; it grows with the logarithm of their number

	// Switches that turn off parts of Lifeguard, for simulations that measure their effect. The daemon sets none of them.
	DisableLocalHealth     bool // turns off the local health multiplier: timeouts do not grow when this node is slow
	DisableSuspicionShrink bool // suspicions have the minimum timeout from the start, and other members do not verify them at once
	DisableBuddySystem     bool // a Ping to a suspect does not tell the suspect that it is suspected
}

// setDefaults replaces times that are not set by their defaults, and limits ProbeTimeout to half of ProbeInterval.
func (o *Options) setDefaults() {
	o.ProbeInterval = positiveOr(o.ProbeInterval, DefaultProbeInterval)
	o.ProbeTimeout = positiveOr(o.ProbeTimeout, DefaultProbeTimeout)
	o.SuspicionTimeout = positiveOr(o.SuspicionTimeout, DefaultSuspicionTimeout)
	o.ProbeTimeout = min(o.ProbeTimeout, o.ProbeInterval/2)
}

// positiveOr returns d if it is positive, and fallback otherwise.
func positiveOr(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Reconfigure replaces the options, except Self and Seed, which stay as they were passed to New.
func (n *Node) Reconfigure(now time.Duration, o Options) {
	o.Self, o.Seed = n.options.Self, n.options.Seed
	o.setDefaults()
	n.options = o
	n.nextProbe = min(n.nextProbe, now+o.ProbeInterval)
	n.updateConnectivity(now)
}
