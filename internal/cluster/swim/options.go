package swim

import (
	"net/netip"
	"time"
)

// Values of ProbeInterval, ProbeTimeout and SuspicionTimeout in Options if they are not set; docs/design/026-peers.md explains them.
const (
	DefaultProbeInterval    = 500 * time.Millisecond
	DefaultProbeTimeout     = 200 * time.Millisecond
	DefaultSuspicionTimeout = 1500 * time.Millisecond
)

// Options configure a Node. ProbeInterval, ProbeTimeout and SuspicionTimeout get their defaults if they are 0 or less.
type Options struct {
	Self           Peer             // name, address and generation of this node; cannot be reconfigured
	Join           []netip.AddrPort // addresses that are pinged to join the cluster, each while no alive or suspect member has the address
	Voters         []string         // names of the members whose states determine the node's Connectivity; empty: all known members
	InitialMembers []Update         // members that are known at the start, and that already know this node
	Seed           uint64           // seed of the random numbers, which cannot be reconfigured

	ProbeInterval    time.Duration // time between the starts of two probes by a node
	ProbeTimeout     time.Duration // time after which other members are requested to probe a target that has not responded; at most half of ProbeInterval
	SuspicionTimeout time.Duration // minimum suspicion timeout in a cluster of up to ten members; in a larger one it grows with the logarithm of the size

	// Switches that turn off parts of Lifeguard, for simulations that measure their effect. The daemon sets none of them.
	DisableLocalHealth     bool // whether the timeouts of probes stay the same when this node is slow, instead of growing with its health score
	DisableSuspicionShrink bool // whether each suspicion timeout is the minimum from the start and no suspicion is verified, instead of shrinking with confirmations
	DisableBuddySystem     bool // whether a Ping to a suspect does not tell the suspect that it is suspected
}

// setDefaults sets ProbeInterval, ProbeTimeout and SuspicionTimeout to their defaults where they are 0 or less, and limits
// ProbeTimeout to half of ProbeInterval.
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

// Reconfigure replaces the node's Options, except Self and Seed, which stay as they were passed to New.
func (n *Node) Reconfigure(now time.Duration, o Options) {
	o.Self, o.Seed = n.options.Self, n.options.Seed
	o.setDefaults()
	n.options = o
	n.nextProbe = min(n.nextProbe, now+o.ProbeInterval)
	n.updateConnectivity(now)
}
