package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/swim"
)

// ClusterSpec is the section [fleet] in the form that the cluster's packages take.
type ClusterSpec struct {
	Name                string         // of this daemon
	ClusterName         string         // name of the cluster
	Listen              netip.AddrPort // for UDP and TCP
	Advertise           netip.AddrPort // the zero value: Listen
	Join                []netip.AddrPort
	KeyFile             string // empty: messages are not authenticated
	Voters              []string
	Timing              swim.Options   // with intervals and timeouts set
	Consensus           *ConsensusSpec // nil: no consensus
	DividesByMembership bool           // how many daemons share the pools, and this one's index, follow from the membership
}

// ConsensusSpec says how a daemon takes part in consensus.
type ConsensusSpec struct {
	DataDir     string // empty: the daemon does not vote, and persists nothing over a restart
	LeaseConfig consensus.LeaseConfig
}

// clusterSpec converts the section [fleet], which has been checked; nil where there is none.
func (f *File) clusterSpec() *ClusterSpec {
	c := f.Cluster
	if c == nil {
		return nil
	}
	spec := &ClusterSpec{
		Name: c.Name, ClusterName: c.ClusterName, Listen: netip.MustParseAddrPort(c.Listen), KeyFile: c.KeyFile,
		Voters:              slices.Clone(c.Voters),
		Timing:              swim.Options{ProbeInterval: c.ProbeInterval, ProbeTimeout: c.ProbeTimeout, SuspicionTimeout: c.SuspicionTimeout},
		DividesByMembership: f.dividesByMembership,
	}
	if c.Advertise != "" {
		spec.Advertise = netip.MustParseAddrPort(c.Advertise)
	}
	for _, address := range c.Join {
		spec.Join = append(spec.Join, netip.MustParseAddrPort(address))
	}
	if c.ConsensusEnabled {
		spec.Consensus = &ConsensusSpec{DataDir: c.DataDir, LeaseConfig: c.leaseConfig()}
	}
	return spec
}

func (c *Cluster) leaseConfig() consensus.LeaseConfig {
	// A clock that is slow by MaxClockDrift measures this while MaxConflict passes.
	short := time.Duration(float64(c.MaxConflict) * (1 - c.MaxClockDrift))
	return consensus.LeaseConfig{Duration: c.LeaseDuration, MaxClockDrift: c.MaxClockDrift, ShortDuration: short}
}

// String describes the cluster in one line, as the verb check prints it.
func (f *ClusterSpec) String() string {
	parts := []string{fmt.Sprintf("%s in %s", f.Name, f.ClusterName), fmt.Sprintf("%d addresses to join by", len(f.Join))}
	if len(f.Voters) > 0 {
		parts = append(parts, "voters "+strings.Join(f.Voters, " "))
	}
	if f.DividesByMembership {
		parts = append(parts, "daemons and index by who is there")
	}
	if f.Consensus != nil {
		parts = append(parts, fmt.Sprintf("settings agreed on, contradicting for %v at most", f.Consensus.LeaseConfig.MaxOverlap()))
	}
	if f.KeyFile == "" {
		parts = append(parts, "no key")
	}
	return strings.Join(parts, ", ")
}
