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

// FleetSpec is the section [fleet] in the form that the cluster's packages take.
type FleetSpec struct {
	Name      string         // of this daemon
	Cluster   string         // name of the cluster
	Listen    netip.AddrPort // for UDP and TCP
	Advertise netip.AddrPort // the zero value: Listen
	Join      []netip.AddrPort
	KeyFile   string // empty: messages are not authenticated
	Voters    []string
	Times     swim.Options   // with intervals and timeouts set
	Agreed    *ConsensusSpec // nil: no consensus
	Divide    bool           // how many daemons share the pools, and this one's index, follow from the membership
}

// ConsensusSpec says how a daemon takes part in consensus.
type ConsensusSpec struct {
	DataDir string // empty: the daemon does not vote, and persists nothing over a restart
	Terms   consensus.LeaseConfig
}

// clusterSpec converts the section [fleet], which has been checked; nil where there is none.
func (f *File) clusterSpec() *FleetSpec {
	c := f.Fleet
	if c == nil {
		return nil
	}
	spec := &FleetSpec{
		Name: c.Name, Cluster: c.ClusterName, Listen: netip.MustParseAddrPort(c.Listen), KeyFile: c.KeyFile,
		Voters: slices.Clone(c.Voters),
		Times:  swim.Options{ProbeEvery: c.ProbeInterval, ProbeTimeout: c.ProbeTimeout, Suspicion: c.SuspicionTimeout},
		Divide: f.dividesByMembership,
	}
	if c.Advertise != "" {
		spec.Advertise = netip.MustParseAddrPort(c.Advertise)
	}
	for _, address := range c.Join {
		spec.Join = append(spec.Join, netip.MustParseAddrPort(address))
	}
	if c.ConsensusEnabled {
		spec.Agreed = &ConsensusSpec{DataDir: c.DataDir, Terms: c.leaseConfig()}
	}
	return spec
}

func (c *Cluster) leaseConfig() consensus.LeaseConfig {
	// A clock that is slow by MaxClockDrift measures this while MaxConflict passes.
	short := time.Duration(float64(c.MaxConflict) * (1 - c.MaxClockDrift))
	return consensus.LeaseConfig{Lease: c.LeaseDuration, Drift: c.MaxClockDrift, Short: short}
}

// String describes the cluster in one line, as the verb check prints it.
func (f *FleetSpec) String() string {
	parts := []string{fmt.Sprintf("%s in %s", f.Name, f.Cluster), fmt.Sprintf("%d addresses to join by", len(f.Join))}
	if len(f.Voters) > 0 {
		parts = append(parts, "voters "+strings.Join(f.Voters, " "))
	}
	if f.Divide {
		parts = append(parts, "daemons and index by who is there")
	}
	if f.Agreed != nil {
		parts = append(parts, fmt.Sprintf("settings agreed on, contradicting for %v at most", f.Agreed.Terms.Overlap()))
	}
	if f.KeyFile == "" {
		parts = append(parts, "no key")
	}
	return strings.Join(parts, ", ")
}
