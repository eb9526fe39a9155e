package swim

import (
	"net/netip"
	"time"
)

// Defaults of the times in Options. docs/design/026-peers.md has the measurements behind them.
const (
	DefaultProbeInterval    = 500 * time.Millisecond
	DefaultProbeTimeout     = 200 * time.Millisecond
	DefaultSuspicionTimeout = 1500 * time.Millisecond
)

// Options configure a Node. A time of 0 or less means its default.
type Options struct {
	Self           Peer             // this node; fixed for the life of the Node
	Join           []netip.AddrPort // addresses at which a node looks for the cluster while nobody is known there
	Voters         []string         // the members whose presence determines Connectivity; empty: all known members
	InitialMembers []Update         // members that are known at the start, and that know this node
	Seed           uint64           // of the random numbers; fixed for the life of the Node

	ProbeInterval    time.Duration // interval between two probes
	ProbeTimeout     time.Duration // time after which an unanswered probe becomes indirect; half of ProbeInterval at most
	SuspicionTimeout time.Duration // minimum suspicion timeout for up to ten members; it grows with the logarithm of their number

	// Switches by which a measurement leaves parts of Lifeguard out. The daemon sets none of them.
	DisableLocalHealth     bool // no local health multiplier: timeouts do not grow when this node is slow
	DisableSuspicionShrink bool // suspicion has its minimum timeout from the start, and no other member verifies it at once
	DisableBuddySystem     bool // probes do not carry the suspicion to the suspect itself
}

// setDefaults replaces times that are not set, and keeps ProbeTimeout within its bound.
func (o *Options) setDefaults() {
	o.ProbeInterval = positiveOr(o.ProbeInterval, DefaultProbeInterval)
	o.ProbeTimeout = positiveOr(o.ProbeTimeout, DefaultProbeTimeout)
	o.SuspicionTimeout = positiveOr(o.SuspicionTimeout, DefaultSuspicionTimeout)
	o.ProbeTimeout = min(o.ProbeTimeout, o.ProbeInterval/2)
}

// positiveOr returns d, or fallback where d is not positive.
func positiveOr(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Reconfigure replaces the options from now on. Self and Seed stay as New got them.
func (n *Node) Reconfigure(now time.Duration, o Options) {
	o.Self, o.Seed = n.options.Self, n.options.Seed
	o.setDefaults()
	n.options = o
	n.nextProbe = min(n.nextProbe, now+o.ProbeInterval)
	n.updateConnectivity(now)
}
