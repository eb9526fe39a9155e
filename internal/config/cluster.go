package config

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/tomlfile"
)

// Cluster is the section [fleet] of an operators' file: how this daemon and others find each other and, with consensus, agree
// on settings.
type Cluster struct {
	Name        string   `toml:"name"`      // name of this daemon in the cluster; defaults to daemon.name
	ClusterName string   `toml:"cluster"`   // name of the cluster, which must be the same on all of its daemons
	Listen      string   `toml:"listen"`    // IP address and port to listen on, for UDP and TCP
	Advertise   string   `toml:"advertise"` // IP address and port that other daemons send to; defaults to Listen
	Join        []string `toml:"join"`      // IP addresses and ports of other daemons to contact first
	KeyFile     string   `toml:"key_file"`  // path of the shared key that authenticates messages; required unless Listen is a loopback address
	Voters      []string `toml:"voters"`    // names of the daemons that vote in consensus: an odd number, or none

	ProbeInterval    time.Duration `toml:"probe_every"`   // time between two probes, each of which this daemon sends to one peer
	ProbeTimeout     time.Duration `toml:"probe_timeout"` // time limit for the response to a probe
	SuspicionTimeout time.Duration `toml:"suspicion"`     // how long a peer is suspected before it counts as failed

	ConsensusEnabled    bool          `toml:"agreed"`          // all daemons agree on settings, member lists and manual ejections through consensus
	DataDir             string        `toml:"data_dir"`        // directory for a voter's log and for the last version of the settings that the daemon acted on
	MaxConflictDuration time.Duration `toml:"conflict_within"` // how long two daemons may act on contradicting versions of the settings
	LeaseDuration       time.Duration `toml:"lease"`           // how long a daemon acts on its version of the settings without reaching a voter
	MaxClockDrift       float64       `toml:"clock_drift"`     // largest relative error of a clock's rate, in either direction
}

// Default values and bounds of the fields of the section [fleet].
const (
	defaultClusterName         = "tuliprock"
	defaultMaxConflictDuration = 5 * time.Second
	defaultLeaseDuration       = 15 * time.Second
	defaultMaxClockDrift       = 0.01

	maxJoinAddresses       = 64
	maxVoters              = 7
	minProbeInterval       = 50 * time.Millisecond // an interval of 1 ms, for example, would flood the daemons with probes
	maxProbeInterval       = time.Minute
	minProbeTimeout        = 10 * time.Millisecond
	maxSuspicionTimeout    = 10 * time.Minute
	minMaxConflictDuration = 500 * time.Millisecond // leases are renewed about four times per MaxConflictDuration, so a much smaller value would cause many renewals
	maxLeaseDuration       = 10 * time.Minute
	maxClockDriftLimit     = 0.2 // upper bound of Cluster.MaxClockDrift

	// clusterNameForm describes valid names of daemons and clusters in errors.
	clusterNameForm = "letters, digits, dots, dashes and underscores, 63 at most"
)

func (f *File) applyClusterDefaults(tomlFile *tomlfile.File) {
	c := f.Cluster
	if c == nil {
		return
	}
	f.sharesByMembership = !tomlFile.Has("daemon.daemons") && !tomlFile.Has("daemon.index")
	setIfEmpty(&c.Name, f.Daemon.Name)
	setIfEmpty(&c.ClusterName, defaultClusterName)
	setDefault(tomlFile, "fleet.probe_every", &c.ProbeInterval, swim.DefaultProbeInterval)
	setDefault(tomlFile, "fleet.probe_timeout", &c.ProbeTimeout, swim.DefaultProbeTimeout)
	setDefault(tomlFile, "fleet.suspicion", &c.SuspicionTimeout, swim.DefaultSuspicionTimeout)
	setDefault(tomlFile, "fleet.conflict_within", &c.MaxConflictDuration, defaultMaxConflictDuration)
	setDefault(tomlFile, "fleet.lease", &c.LeaseDuration, max(defaultLeaseDuration, c.MaxConflictDuration))
	setDefault(tomlFile, "fleet.clock_drift", &c.MaxClockDrift, defaultMaxClockDrift)
}

func (f *File) checkCluster(tomlFile *tomlfile.File) error {
	c := f.Cluster
	if c == nil {
		return nil
	}
	return runChecks(tomlFile, c.checkAddresses, c.checkVoters, c.checkProbes, c.checkConsensus, c.checkSuspicion)
}

func (c *Cluster) checkAddresses(tomlFile *tomlfile.File) error {
	listen, listenErr := netip.ParseAddrPort(c.Listen)
	advertise, advertiseErr := netip.ParseAddrPort(c.Advertise)
	isValidAdvertise := advertiseErr == nil && advertise.Port() > 0 && !advertise.Addr().IsUnspecified()
	return tomlFile.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("name", swim.IsValidName(c.Name), clusterNameForm),
		tomlfile.Require("cluster", swim.IsValidName(c.ClusterName), clusterNameForm),
		tomlfile.Require("listen", listenErr == nil, "an IP address and a port"),
		tomlfile.Require("listen", listen.Addr().IsLoopback() || c.KeyFile != "", "a loopback address unless key_file is given"),
		tomlfile.Require("advertise", c.Advertise == "" || isValidAdvertise, "an IP address and a port that others can send to"),
		tomlfile.Require("advertise", c.Advertise != "" || !listen.Addr().IsUnspecified(), "given if listen is an unspecified address (0.0.0.0 or ::)"),
		tomlfile.Require("join", len(c.Join) <= maxJoinAddresses && allMatch(c.Join, isAddrPort),
			fmt.Sprintf("%d IP addresses with ports at most", maxJoinAddresses)),
	})
}

func (c *Cluster) checkVoters(tomlFile *tomlfile.File) error {
	names := uniqueNames{}
	isOddOrNone := len(c.Voters) == 0 || len(c.Voters)%2 == 1
	isValidNewName := func(name string) bool { return swim.IsValidName(name) && names.add(name) }
	return tomlFile.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("voters", len(c.Voters) <= maxVoters && isOddOrNone,
			fmt.Sprintf("an odd number of names, %d at most, or none", maxVoters)),
		tomlfile.Require("voters", allMatch(c.Voters, isValidNewName), "names, each once"),
	})
}

func (c *Cluster) checkProbes(tomlFile *tomlfile.File) error {
	return tomlFile.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("probe_every", c.ProbeInterval >= minProbeInterval && c.ProbeInterval <= maxProbeInterval,
			fmt.Sprintf("from %v to %v", minProbeInterval, maxProbeInterval)),
		tomlfile.Require("probe_timeout", c.ProbeTimeout >= minProbeTimeout && c.ProbeTimeout <= c.ProbeInterval/2,
			fmt.Sprintf("from %v to half of probe_every", minProbeTimeout)),
	})
}

func (c *Cluster) checkConsensus(tomlFile *tomlfile.File) error {
	isVoter := slices.Contains(c.Voters, c.Name)
	return tomlFile.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("agreed", !c.ConsensusEnabled || len(c.Voters) > 0, "false if there are no voters"),
		tomlfile.Require("data_dir", c.DataDir == "" || c.ConsensusEnabled, "left out unless agreed is true"),
		tomlfile.Require("data_dir", c.DataDir != "" || !c.ConsensusEnabled || !isVoter,
			"given for a voter if agreed is true"),
		tomlfile.Require("conflict_within", c.MaxConflictDuration >= minMaxConflictDuration && c.MaxConflictDuration <= maxLeaseDuration,
			fmt.Sprintf("from %v to %v", minMaxConflictDuration, maxLeaseDuration)),
		tomlfile.Require("lease", c.LeaseDuration >= c.MaxConflictDuration && c.LeaseDuration <= maxLeaseDuration,
			fmt.Sprintf("from conflict_within to %v", maxLeaseDuration)),
		tomlfile.Require("clock_drift", c.MaxClockDrift >= 0 && c.MaxClockDrift <= maxClockDriftLimit,
			fmt.Sprintf("from 0 to %v", maxClockDriftLimit)),
	})
}

func (c *Cluster) checkSuspicion(tomlFile *tomlfile.File) error {
	return tomlFile.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("suspicion", c.SuspicionTimeout >= c.ProbeInterval && c.SuspicionTimeout <= maxSuspicionTimeout,
			fmt.Sprintf("from probe_every to %v", maxSuspicionTimeout)),
	})
}

// isAddrPort reports whether s is an IP address with a port other than 0.
func isAddrPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}
