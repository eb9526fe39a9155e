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

// Fleet says how this daemon and others know one another.
type Fleet struct {
	Name      string   `toml:"name"`      // of this daemon among the others; left out: daemon.name
	Cluster   string   `toml:"cluster"`   // of all of them
	Listen    string   `toml:"listen"`    // UDP and TCP
	Advertise string   `toml:"advertise"` // what others send to; left out: listen
	Join      []string `toml:"join"`      // addresses at which others may be
	KeyFile   string   `toml:"key_file"`  // left out: loopback only
	Voters    []string `toml:"voters"`    // names whose answers tell how this daemon stands; an odd number, or none

	ProbeEvery   time.Duration `toml:"probe_every"`
	ProbeTimeout time.Duration `toml:"probe_timeout"`
	Suspicion    time.Duration `toml:"suspicion"`

	Agreed         bool          `toml:"agreed"`          // settings, lists and what operators take out by hand hold on all daemons
	DataDir        string        `toml:"data_dir"`        // of a voter's log, and of what any daemon acted on last
	ConflictWithin time.Duration `toml:"conflict_within"` // no two daemons contradict one another for longer
	Lease          time.Duration `toml:"lease"`           // for which a daemon goes on that reaches no voter, while nothing changes
	ClockDrift     float64       `toml:"clock_drift"`     // by which clocks may run fast or slow, as a share
}

// AgreementSpec says how a daemon takes part in what is agreed.
type AgreementSpec struct {
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
	Agreed            *AgreementSpec // nil: nothing is agreed on
	Divide            bool           // how many daemons share the pools, and this one's place, follow from who is there
}

// Bounds of the fleet's settings. Two streams of probes a millisecond apart would be a load test.
const (
	mostJoin       = 64
	mostVoters     = 7
	leastProbe     = 50 * time.Millisecond
	leastProbeWait = 10 * time.Millisecond
	mostProbe      = time.Minute
	mostSuspicion  = 10 * time.Minute

	fleetDescriptors = 2 + 2*8 + 4 // two sockets, streams each way, and a log's files

	defaultConflict = 5 * time.Second
	defaultLease    = 15 * time.Second
	defaultDrift    = 0.01
	leastConflict   = 500 * time.Millisecond // a lease is asked for four times in its length
	mostLease       = 10 * time.Minute
	mostDrift       = 0.2
)

func (f *File) fillFleet(at *tomlfile.File) {
	t := f.Fleet
	if t == nil {
		return
	}
	f.divide = !at.Has("daemon.daemons") && !at.Has("daemon.index")
	or(&t.Name, f.Daemon.Name)
	or(&t.Cluster, "tuliprock")
	for _, d := range []struct {
		field     string
		is        *time.Duration
		otherwise time.Duration
	}{{"probe_every", &t.ProbeEvery, swim.DefaultProbeEvery}, {"probe_timeout", &t.ProbeTimeout, swim.DefaultProbeTimeout},
		{"suspicion", &t.Suspicion, swim.DefaultSuspicion},
		{"conflict_within", &t.ConflictWithin, defaultConflict}, {"lease", &t.Lease, max(defaultLease, t.ConflictWithin)}} {
		if !at.Has("fleet." + d.field) {
			*d.is = d.otherwise
		}
	}
	if !at.Has("fleet.clock_drift") {
		t.ClockDrift = defaultDrift
	}
}

func (f *File) checkFleet(at *tomlfile.File) error {
	t := f.Fleet
	if t == nil {
		return nil
	}
	listen, err := netip.ParseAddrPort(t.Listen)
	advertise, adErr := netip.ParseAddrPort(t.Advertise)
	voters := namesSeen{}
	return at.Check("fleet", []tomlfile.Must{
		tomlfile.Need("name", swim.IsValidName(t.Name), fleetName),
		tomlfile.Need("cluster", swim.IsValidName(t.Cluster), fleetName),
		tomlfile.Need("listen", err == nil, "an IP address and a port"),
		tomlfile.Need("listen", listen.Addr().IsLoopback() || t.KeyFile != "", "a loopback address where key_file is not given"),
		tomlfile.Need("advertise", t.Advertise == "" || adErr == nil && advertise.Port() > 0 && !advertise.Addr().IsUnspecified(), "an IP address and a port that others can send to"),
		tomlfile.Need("advertise", t.Advertise != "" || !listen.Addr().IsUnspecified(), "given where listen is for all addresses"),
		tomlfile.Need("join", len(t.Join) <= mostJoin && allOf(t.Join, isAddrPort), fmt.Sprintf("%d IP addresses with ports at most", mostJoin)),
		tomlfile.Need("voters", len(t.Voters) <= mostVoters && (len(t.Voters) == 0 || len(t.Voters)%2 == 1), fmt.Sprintf("an odd number of names, %d at most, or none", mostVoters)),
		tomlfile.Need("voters", allOf(t.Voters, func(s string) bool { return swim.IsValidName(s) && voters.take(s) }), "names, each once"),
		tomlfile.Need("probe_every", t.ProbeEvery >= leastProbe && t.ProbeEvery <= mostProbe, fmt.Sprintf("from %v to %v", leastProbe, mostProbe)),
		tomlfile.Need("probe_timeout", t.ProbeTimeout >= leastProbeWait && t.ProbeTimeout <= t.ProbeEvery/2, fmt.Sprintf("from %v to half of probe_every", leastProbeWait)),
		tomlfile.Need("agreed", !t.Agreed || len(t.Voters) > 0, "false where no voters are named"),
		tomlfile.Need("data_dir", t.DataDir == "" || t.Agreed, "left out where nothing is agreed on"),
		tomlfile.Need("data_dir", t.DataDir != "" || !t.Agreed || !slices.Contains(t.Voters, t.Name), "given for a voter where settings are agreed on"),
		tomlfile.Need("conflict_within", t.ConflictWithin >= leastConflict && t.ConflictWithin <= mostLease, fmt.Sprintf("from %v to %v", leastConflict, mostLease)),
		tomlfile.Need("lease", t.Lease >= t.ConflictWithin && t.Lease <= mostLease, fmt.Sprintf("from conflict_within to %v", mostLease)),
		tomlfile.Need("clock_drift", t.ClockDrift >= 0 && t.ClockDrift <= mostDrift, fmt.Sprintf("from 0 to %v", mostDrift)),
		tomlfile.Need("suspicion", t.Suspicion >= t.ProbeEvery && t.Suspicion <= mostSuspicion, fmt.Sprintf("from probe_every to %v", mostSuspicion)),
	})
}

const fleetName = "letters, digits, dots, dashes and underscores, 63 at most"

func isAddrPort(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

// fleet is what the file says, in the parts' terms. It was checked.
func (f *File) fleet() *FleetSpec {
	t := f.Fleet
	if t == nil {
		return nil
	}
	spec := &FleetSpec{Name: t.Name, Cluster: t.Cluster, Listen: netip.MustParseAddrPort(t.Listen), KeyFile: t.KeyFile, Voters: slices.Clone(t.Voters),
		Times: swim.Options{ProbeEvery: t.ProbeEvery, ProbeTimeout: t.ProbeTimeout, Suspicion: t.Suspicion}, Divide: f.divide}
	if t.Advertise != "" {
		spec.Advertise = netip.MustParseAddrPort(t.Advertise)
	}
	if t.Agreed {
		spec.Agreed = &AgreementSpec{DataDir: t.DataDir, Terms: consensus.LeaseConfig{Lease: t.Lease, Drift: t.ClockDrift,
			Short: time.Duration(float64(t.ConflictWithin) * (1 - t.ClockDrift))}}
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
