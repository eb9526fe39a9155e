package config

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/tomlfile"
)

// Cluster is the section [fleet]: how this daemon and others find each other and, with consensus, agree on settings.
type Cluster struct {
	Name        string   `toml:"name"`      // of this daemon in the cluster; left out: daemon.name
	ClusterName string   `toml:"cluster"`   // the same on all of its daemons
	Listen      string   `toml:"listen"`    // an IP address and a port, for UDP and TCP
	Advertise   string   `toml:"advertise"` // the address that other daemons send to; left out: Listen
	Join        []string `toml:"join"`      // addresses at which other daemons may be found
	KeyFile     string   `toml:"key_file"`  // of the shared key that messages are authenticated with; left out: loopback only
	Voters      []string `toml:"voters"`    // names of the daemons that vote; an odd number, or none

	ProbeInterval    time.Duration `toml:"probe_every"`
	ProbeTimeout     time.Duration `toml:"probe_timeout"`
	SuspicionTimeout time.Duration `toml:"suspicion"`

	// agreed in the file: settings, lists of members and manual ejections apply on all daemons, by consensus.
	ConsensusEnabled bool          `toml:"agreed"`
	DataDir          string        `toml:"data_dir"`        // of a voter's log, and of the last version that a daemon acted on
	MaxConflict      time.Duration `toml:"conflict_within"` // how long two daemons may act on contradicting versions
	LeaseDuration    time.Duration `toml:"lease"`           // how long a daemon acts on its version without reaching a voter
	MaxClockDrift    float64       `toml:"clock_drift"`     // relative error of a clock's rate, either way
}

// Bounds and defaults of the cluster's section.
const (
	defaultClusterName   = "tuliprock"
	defaultMaxConflict   = 5 * time.Second
	defaultLeaseDuration = 15 * time.Second
	defaultMaxClockDrift = 0.01

	maxJoinAddresses    = 64
	maxVoters           = 7
	minProbeInterval    = 50 * time.Millisecond // two daemons that probe every millisecond would be a load test
	maxProbeInterval    = time.Minute
	minProbeTimeout     = 10 * time.Millisecond
	maxSuspicionTimeout = 10 * time.Minute
	minMaxConflict      = 500 * time.Millisecond // a lease is renewed four times in its duration
	maxLeaseDuration    = 10 * time.Minute
	maxClockDriftLimit  = 0.2

	clusterNameForm = "letters, digits, dots, dashes and underscores, 63 at most"
)

func (f *File) applyClusterDefaults(at *tomlfile.File) {
	c := f.Cluster
	if c == nil {
		return
	}
	f.dividesByMembership = !at.Has("daemon.daemons") && !at.Has("daemon.index")
	setIfEmpty(&c.Name, f.Daemon.Name)
	setIfEmpty(&c.ClusterName, defaultClusterName)
	setDefault(at, "fleet.probe_every", &c.ProbeInterval, swim.DefaultProbeInterval)
	setDefault(at, "fleet.probe_timeout", &c.ProbeTimeout, swim.DefaultProbeTimeout)
	setDefault(at, "fleet.suspicion", &c.SuspicionTimeout, swim.DefaultSuspicionTimeout)
	setDefault(at, "fleet.conflict_within", &c.MaxConflict, defaultMaxConflict)
	setDefault(at, "fleet.lease", &c.LeaseDuration, max(defaultLeaseDuration, c.MaxConflict))
	setDefault(at, "fleet.clock_drift", &c.MaxClockDrift, defaultMaxClockDrift)
}

func (f *File) checkCluster(at *tomlfile.File) error {
	c := f.Cluster
	if c == nil {
		return nil
	}
	return runChecks(at, c.checkAddresses, c.checkVoters, c.checkProbes, c.checkConsensus, c.checkSuspicion)
}

func (c *Cluster) checkAddresses(at *tomlfile.File) error {
	listen, listenErr := netip.ParseAddrPort(c.Listen)
	advertise, advertiseErr := netip.ParseAddrPort(c.Advertise)
	isReachable := advertiseErr == nil && advertise.Port() > 0 && !advertise.Addr().IsUnspecified()
	return at.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("name", swim.IsValidName(c.Name), clusterNameForm),
		tomlfile.Require("cluster", swim.IsValidName(c.ClusterName), clusterNameForm),
		tomlfile.Require("listen", listenErr == nil, "an IP address and a port"),
		tomlfile.Require("listen", listen.Addr().IsLoopback() || c.KeyFile != "", "a loopback address where key_file is not given"),
		tomlfile.Require("advertise", c.Advertise == "" || isReachable, "an IP address and a port that others can send to"),
		tomlfile.Require("advertise", c.Advertise != "" || !listen.Addr().IsUnspecified(), "given where listen is for all addresses"),
		tomlfile.Require("join", len(c.Join) <= maxJoinAddresses && allMatch(c.Join, isAddrPort),
			fmt.Sprintf("%d IP addresses with ports at most", maxJoinAddresses)),
	})
}

func (c *Cluster) checkVoters(at *tomlfile.File) error {
	names := uniqueNames{}
	isOddOrNone := len(c.Voters) == 0 || len(c.Voters)%2 == 1
	isNewName := func(name string) bool { return swim.IsValidName(name) && names.add(name) }
	return at.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("voters", len(c.Voters) <= maxVoters && isOddOrNone,
			fmt.Sprintf("an odd number of names, %d at most, or none", maxVoters)),
		tomlfile.Require("voters", allMatch(c.Voters, isNewName), "names, each once"),
	})
}

func (c *Cluster) checkProbes(at *tomlfile.File) error {
	return at.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("probe_every", c.ProbeInterval >= minProbeInterval && c.ProbeInterval <= maxProbeInterval,
			fmt.Sprintf("from %v to %v", minProbeInterval, maxProbeInterval)),
		tomlfile.Require("probe_timeout", c.ProbeTimeout >= minProbeTimeout && c.ProbeTimeout <= c.ProbeInterval/2,
			fmt.Sprintf("from %v to half of probe_every", minProbeTimeout)),
	})
}

func (c *Cluster) checkConsensus(at *tomlfile.File) error {
	isVoter := slices.Contains(c.Voters, c.Name)
	return at.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("agreed", !c.ConsensusEnabled || len(c.Voters) > 0, "false where no voters are named"),
		tomlfile.Require("data_dir", c.DataDir == "" || c.ConsensusEnabled, "left out where nothing is agreed on"),
		tomlfile.Require("data_dir", c.DataDir != "" || !c.ConsensusEnabled || !isVoter,
			"given for a voter where settings are agreed on"),
		tomlfile.Require("conflict_within", c.MaxConflict >= minMaxConflict && c.MaxConflict <= maxLeaseDuration,
			fmt.Sprintf("from %v to %v", minMaxConflict, maxLeaseDuration)),
		tomlfile.Require("lease", c.LeaseDuration >= c.MaxConflict && c.LeaseDuration <= maxLeaseDuration,
			fmt.Sprintf("from conflict_within to %v", maxLeaseDuration)),
		tomlfile.Require("clock_drift", c.MaxClockDrift >= 0 && c.MaxClockDrift <= maxClockDriftLimit,
			fmt.Sprintf("from 0 to %v", maxClockDriftLimit)),
	})
}

func (c *Cluster) checkSuspicion(at *tomlfile.File) error {
	return at.Check("fleet", []tomlfile.Requirement{
		tomlfile.Require("suspicion", c.SuspicionTimeout >= c.ProbeInterval && c.SuspicionTimeout <= maxSuspicionTimeout,
			fmt.Sprintf("from probe_every to %v", maxSuspicionTimeout)),
	})
}

func isAddrPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}
