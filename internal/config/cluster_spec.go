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

// ClusterSpec is the section [fleet] of an operators' file, converted to the types that the cluster's packages take.
type ClusterSpec struct {
	Name               string           // name of this daemon in the cluster
	ClusterName        string           // name of the cluster, the same on all of its daemons
	Listen             netip.AddrPort   // address to listen on, for UDP and TCP
	Advertise          netip.AddrPort   // address that other daemons send to; the zero value stands for Listen
	Join               []netip.AddrPort // addresses of other daemons to contact first
	KeyFile            string           // path of the shared key; empty if messages are not authenticated
	Voters             []string         // names of the daemons that vote in consensus
	Timing             swim.Options     // intervals and timeouts of the failure detection; other options are not set
	Consensus          *ConsensusSpec   // settings of consensus; nil if this daemon takes no part in it
	SharesByMembership bool             // the cluster's membership determines how many daemons share the pools, and the index of this daemon
}

// ConsensusSpec says how a daemon takes part in consensus.
type ConsensusSpec struct {
	DataDir     string // directory for persistent state; empty if the daemon does not vote and keeps nothing over a restart
	LeaseConfig consensus.LeaseConfig
}

// clusterSpec converts the section [fleet], which must have been checked. It returns nil if the file has no such section.
func (f *File) clusterSpec() *ClusterSpec {
	c := f.Cluster
	if c == nil {
		return nil
	}
	spec := &ClusterSpec{
		Name: c.Name, ClusterName: c.ClusterName, Listen: netip.MustParseAddrPort(c.Listen), KeyFile: c.KeyFile,
		Voters:             slices.Clone(c.Voters),
		Timing:             swim.Options{ProbeInterval: c.ProbeInterval, ProbeTimeout: c.ProbeTimeout, SuspicionTimeout: c.SuspicionTimeout},
		SharesByMembership: f.sharesByMembership,
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

// leaseConfig returns the settings of leases. While a new version of the settings is pending (agreed on, but not active yet), leases
// are so short that no two daemons act on contradicting versions for longer than MaxConflictDuration.
func (c *Cluster) leaseConfig() consensus.LeaseConfig {
	// pendingLeaseDuration is the duration of a lease while a version is pending: the time that a clock measures while
	// MaxConflictDuration passes, if the clock is slow by MaxClockDrift.
	pendingLeaseDuration := time.Duration(float64(c.MaxConflictDuration) * (1 - c.MaxClockDrift))
	return consensus.LeaseConfig{Duration: c.LeaseDuration, MaxClockDrift: c.MaxClockDrift, ShortDuration: pendingLeaseDuration}
}

// String describes the cluster in one line, as the command check prints it. Scripts that run check may match this text.
func (s *ClusterSpec) String() string {
	parts := []string{fmt.Sprintf("%s in %s", s.Name, s.ClusterName), fmt.Sprintf("%d addresses to join by", len(s.Join))}
	if len(s.Voters) > 0 {
		parts = append(parts, "voters "+strings.Join(s.Voters, " "))
	}
	if s.SharesByMembership {
		parts = append(parts, "daemons and index by who is there")
	}
	if s.Consensus != nil {
		parts = append(parts, fmt.Sprintf("settings agreed on, contradicting for %v at most", s.Consensus.LeaseConfig.MaxOverlap()))
	}
	if s.KeyFile == "" {
		parts = append(parts, "no key")
	}
	return strings.Join(parts, ", ")
}
