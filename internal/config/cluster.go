package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/swim"
	"tuliprock/internal/tomlfile"
)

// Cluster says how this daemon and others know one another.
type Cluster struct {
	Name        string   `toml:"name"`      // of this daemon among the others; left out: daemon.name
	ClusterName string   `toml:"cluster"`   // of all of them
	Listen      string   `toml:"listen"`    // UDP and TCP
	Advertise   string   `toml:"advertise"` // what others send to; left out: listen
	Join        []string `toml:"join"`      // addresses at which others may be
	KeyFile     string   `toml:"key_file"`  // left out: loopback only
	Voters      []string `toml:"voters"`    // names whose answers tell how this daemon stands; an odd number, or none

	ProbeInterval    time.Duration `toml:"probe_every"`
	ProbeTimeout     time.Duration `toml:"probe_timeout"`
	SuspicionTimeout time.Duration `toml:"suspicion"`

	ConsensusEnabled bool          `toml:"agreed"`          // settings, lists and what operators take out by hand hold on all daemons
	DataDir          string        `toml:"data_dir"`        // of a voter's log, and of what any daemon acted on last
	MaxConflict      time.Duration `toml:"conflict_within"` // no two daemons contradict one another for longer
	LeaseDuration    time.Duration `toml:"lease"`           // for which a daemon goes on that reaches no voter, while nothing changes
	MaxClockDrift    float64       `toml:"clock_drift"`     // by which clocks may run fast or slow, as a share
}

// ConsensusSpec says how a daemon takes part in what is agreed.
type ConsensusSpec struct {
	DataDir string // empty: it does not vote, and remembers nothing over a restart
	Terms   consensus.LeaseConfig
}

// FleetSpec is a Fleet as it is built.
type FleetSpec struct {
	Name, Cluster     string
	Listen, Advertise netip.AddrPort // a zero Advertise: where it listens
	Join              []netip.AddrPort
	KeyFile           string
	Voters            []string
	Times             swim.Options   // ProbeEvery, ProbeTimeout and Suspicion are set
	Agreed            *ConsensusSpec // nil: nothing is agreed on
	Divide            bool           // how many daemons share the pools, and this one's place, follow from who is there
}

// Bounds of the fleet's settings. Two streams of probes a millisecond apart would be a load test.
const (
	maxJoinAddresses    = 64
	maxVoters           = 7
	minProbeInterval    = 50 * time.Millisecond
	minProbeTimeout     = 10 * time.Millisecond
	maxProbeInterval    = time.Minute
	maxSuspicionTimeout = 10 * time.Minute

	clusterDescriptors = 2 + 2*8 + 4 // two sockets, streams each way, and a log's files

	defaultMaxConflict   = 5 * time.Second
	defaultLeaseDuration = 15 * time.Second
	defaultMaxClockDrift = 0.01
	minMaxConflict       = 500 * time.Millisecond // a lease is asked for four times in its length
	maxLeaseDuration     = 10 * time.Minute
	maxClockDriftLimit   = 0.2
)

func (f *File) applyClusterDefaults(at *tomlfile.File) {
	t := f.Fleet
	if t == nil {
		return
	}
	f.dividesByMembership = !at.Has("daemon.daemons") && !at.Has("daemon.index")
	setDefault(&t.Name, f.Daemon.Name)
	setDefault(&t.ClusterName, "tuliprock")
	for _, d := range []struct {
		field     string
		is        *time.Duration
		otherwise time.Duration
	}{{"probe_every", &t.ProbeInterval, swim.DefaultProbeEvery}, {"probe_timeout", &t.ProbeTimeout, swim.DefaultProbeTimeout},
		{"suspicion", &t.SuspicionTimeout, swim.DefaultSuspicion},
		{"conflict_within", &t.MaxConflict, defaultMaxConflict}, {"lease", &t.LeaseDuration, max(defaultLeaseDuration, t.MaxConflict)}} {
		if !at.Has("fleet." + d.field) {
			*d.is = d.otherwise
		}
	}
	if !at.Has("fleet.clock_drift") {
		t.MaxClockDrift = defaultMaxClockDrift
	}
}

func (f *File) checkCluster(at *tomlfile.File) error {
	t := f.Fleet
	if t == nil {
		return nil
	}
	listen, err := netip.ParseAddrPort(t.Listen)
	advertise, adErr := netip.ParseAddrPort(t.Advertise)
	voters := uniqueNames{}
	return at.Check("fleet", []tomlfile.Must{
		tomlfile.Need("name", swim.IsValidName(t.Name), clusterNameForm),
		tomlfile.Need("cluster", swim.IsValidName(t.ClusterName), clusterNameForm),
		tomlfile.Need("listen", err == nil, "an IP address and a port"),
		tomlfile.Need("listen", listen.Addr().IsLoopback() || t.KeyFile != "", "a loopback address where key_file is not given"),
		tomlfile.Need("advertise", t.Advertise == "" || adErr == nil && advertise.Port() > 0 && !advertise.Addr().IsUnspecified(), "an IP address and a port that others can send to"),
		tomlfile.Need("advertise", t.Advertise != "" || !listen.Addr().IsUnspecified(), "given where listen is for all addresses"),
		tomlfile.Need("join", len(t.Join) <= maxJoinAddresses && allMatch(t.Join, isAddrPort), fmt.Sprintf("%d IP addresses with ports at most", maxJoinAddresses)),
		tomlfile.Need("voters", len(t.Voters) <= maxVoters && (len(t.Voters) == 0 || len(t.Voters)%2 == 1), fmt.Sprintf("an odd number of names, %d at most, or none", maxVoters)),
		tomlfile.Need("voters", allMatch(t.Voters, func(s string) bool { return swim.IsValidName(s) && voters.add(s) }), "names, each once"),
		tomlfile.Need("probe_every", t.ProbeInterval >= minProbeInterval && t.ProbeInterval <= maxProbeInterval, fmt.Sprintf("from %v to %v", minProbeInterval, maxProbeInterval)),
		tomlfile.Need("probe_timeout", t.ProbeTimeout >= minProbeTimeout && t.ProbeTimeout <= t.ProbeInterval/2, fmt.Sprintf("from %v to half of probe_every", minProbeTimeout)),
		tomlfile.Need("agreed", !t.ConsensusEnabled || len(t.Voters) > 0, "false where no voters are named"),
		tomlfile.Need("data_dir", t.DataDir == "" || t.ConsensusEnabled, "left out where nothing is agreed on"),
		tomlfile.Need("data_dir", t.DataDir != "" || !t.ConsensusEnabled || !slices.Contains(t.Voters, t.Name), "given for a voter where settings are agreed on"),
		tomlfile.Need("conflict_within", t.MaxConflict >= minMaxConflict && t.MaxConflict <= maxLeaseDuration, fmt.Sprintf("from %v to %v", minMaxConflict, maxLeaseDuration)),
		tomlfile.Need("lease", t.LeaseDuration >= t.MaxConflict && t.LeaseDuration <= maxLeaseDuration, fmt.Sprintf("from conflict_within to %v", maxLeaseDuration)),
		tomlfile.Need("clock_drift", t.MaxClockDrift >= 0 && t.MaxClockDrift <= maxClockDriftLimit, fmt.Sprintf("from 0 to %v", maxClockDriftLimit)),
		tomlfile.Need("suspicion", t.SuspicionTimeout >= t.ProbeInterval && t.SuspicionTimeout <= maxSuspicionTimeout, fmt.Sprintf("from probe_every to %v", maxSuspicionTimeout)),
	})
}

const clusterNameForm = "letters, digits, dots, dashes and underscores, 63 at most"

func isAddrPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

// clusterSpec is what the file says, in the parts' terms. It was checked.
func (f *File) clusterSpec() *FleetSpec {
	t := f.Fleet
	if t == nil {
		return nil
	}
	spec := &FleetSpec{Name: t.Name, Cluster: t.ClusterName, Listen: netip.MustParseAddrPort(t.Listen), KeyFile: t.KeyFile, Voters: slices.Clone(t.Voters),
		Times: swim.Options{ProbeEvery: t.ProbeInterval, ProbeTimeout: t.ProbeTimeout, Suspicion: t.SuspicionTimeout}, Divide: f.dividesByMembership}
	if t.Advertise != "" {
		spec.Advertise = netip.MustParseAddrPort(t.Advertise)
	}
	if t.ConsensusEnabled {
		spec.Agreed = &ConsensusSpec{DataDir: t.DataDir, Terms: consensus.LeaseConfig{Lease: t.LeaseDuration, Drift: t.MaxClockDrift,
			Short: time.Duration(float64(t.MaxConflict) * (1 - t.MaxClockDrift))}}
	}
	for _, a := range t.Join {
		spec.Join = append(spec.Join, netip.MustParseAddrPort(a))
	}
	return spec
}

// String says what was understood, in one line.
func (f *FleetSpec) String() string {
	said := []string{fmt.Sprintf("%s in %s", f.Name, f.Cluster), fmt.Sprintf("%d addresses to join by", len(f.Join))}
	if len(f.Voters) > 0 {
		said = append(said, "voters "+strings.Join(f.Voters, " "))
	}
	if f.Divide {
		said = append(said, "daemons and index by who is there")
	}
	if a := f.Agreed; a != nil {
		said = append(said, fmt.Sprintf("settings agreed on, contradicting for %v at most", a.Terms.Overlap()))
	}
	if f.KeyFile == "" {
		said = append(said, "no key")
	}
	return strings.Join(said, ", ")
}
