package rehearse

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/tomlfile"
)

// ClusterConfig makes a fleet of the sidecars before the first tier. They are started on operators' files.
type ClusterConfig struct {
	Voters           int            `toml:"voters"`
	ProbeInterval    time.Duration  `toml:"probe_every"`   // 0: the daemon's own
	ProbeTimeout     time.Duration  `toml:"probe_timeout"` //
	SuspicionTimeout time.Duration  `toml:"suspicion"`     //
	ClockRate        tomlfile.Range `toml:"clock"`         // how fast each sidecar's clock runs, drawn for each; only programs built with the race detector heed it
	DetectWithin     time.Duration  `toml:"detect"`        // until all others know of one that is gone, where nothing else is wrong
	SettleWithin     time.Duration  `toml:"settle"`        // after the last fault, until all views are right
	HasConsensus     bool           `toml:"agreed"`        // they agree on endpoints out by hand, and one is taken out and given back all day
}

// LinkFaultSpec is something that goes wrong between sidecars.
type LinkFaultSpec struct {
	Kind        string         `toml:"kind"`
	At          tomlfile.Span  `toml:"at"`
	For         tomlfile.Span  `toml:"for"`
	Parts       int            `toml:"parts"`  // into which the sidecars are dealt by the seed; what passes from one to another is hit
	IsolatesOne bool           `toml:"alone"`  // one sidecar against all others, in place of parts
	HasBridge   bool           `toml:"bridge"` // one sidecar is well with all
	IsOneWay    bool           `toml:"one_way"`
	Period      tomlfile.Span  `toml:"every"` // it comes and goes, for so long each
	Magnitude   tomlfile.Range `toml:"size"`
}

// linkFaultHasMagnitude tells of each kind whether it has a size.
var linkFaultHasMagnitude = map[string]bool{
	"cut":       false, // datagrams vanish, streams stall
	"reset":     false, // streams are reset
	"loss":      true,  // size: share of datagrams that vanish
	"duplicate": true,  // size: share that comes twice
	"delay":     true,  // size: seconds on top, and as much at random: later ones overtake
}

// LinkFault is a LinkTrouble with all that it draws.
type LinkFault struct {
	Kind      string
	At, For   time.Duration
	Parts     [][]string
	IsOneWay  bool          `json:"OneWay"`
	Period    time.Duration `json:"Every"` // 0: without a break
	Magnitude float64       `json:"Size"`
}

func (d *Day) checkCluster(f *tomlfile.File) error {
	if t := d.Cluster; t != nil {
		if t.DetectWithin == 0 {
			t.DetectWithin = defaultDetectWithin
		}
		if t.SettleWithin == 0 {
			t.SettleWithin = defaultSettleWithin
		}
		if err := f.Check("fleet", []tomlfile.Must{
			tomlfile.Need("voters", t.Voters >= 0 && float64(t.Voters) <= d.Sidecars.Count.Lo && (t.Voters == 0 || t.Voters%2 == 1), "0 or an odd number, of the sidecars"),
			tomlfile.Need("agreed", !t.HasConsensus || t.Voters > 0 && t.ClockRate.Hi <= 1+maxClockDrift && t.ClockRate.Lo >= 1-maxClockDrift, fmt.Sprintf("beside voters, and clocks within %v", maxClockDrift)),
			tomlfile.Need("clock", t.ClockRate.Hi == 0 || t.ClockRate.Lo >= 0.5 && t.ClockRate.Hi <= 2, "from 0.5 to 2"),
			tomlfile.Need("detect", t.DetectWithin > 0, "over 0"),
			tomlfile.Need("settle", t.SettleWithin > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	for i, t := range d.LinkFaults {
		size, ok := linkFaultHasMagnitude[t.Kind]
		if err := f.Check(fmt.Sprintf("link_trouble[%d]", i), []tomlfile.Must{
			tomlfile.Need("kind", ok, "cut, reset, loss, duplicate or delay"),
			tomlfile.Need("kind", d.Cluster != nil, "of a day with a fleet"),
			tomlfile.Need("at", t.At.Hi < d.Length, "before the day's end"),
			tomlfile.Need("for", t.For.Lo > 0, "over 0"),
			tomlfile.Need("parts", t.Parts == 0 || t.Parts >= 2 && !t.IsolatesOne && float64(t.Parts) <= d.Sidecars.Count.Lo, "2 at least, one sidecar each, and not beside alone"),
			tomlfile.Need("size", (t.Magnitude.Lo > 0) == size, "over 0 where the trouble has a size, and only there"),
			tomlfile.Need("size", t.Kind == "delay" || t.Magnitude.Hi <= 1, "a share"),
		}); err != nil {
			return err
		}
	}
	return nil
}

// drawLinkFaults deals the sidecars to parts.
func (p *Plan) drawLinkFaults() {
	rng := newSource(p.Seed, sourceLinkFaults)
	for _, t := range p.Day.LinkFaults {
		s := LinkFault{Kind: t.Kind, At: t.At.At(rng.Float64()), For: t.For.At(rng.Float64()), IsOneWay: t.IsOneWay, Period: t.Period.At(rng.Float64()), Magnitude: t.Magnitude.At(rng.Float64())}
		s.Parts = p.partition(rng, t)
		p.LinkFaults = append(p.LinkFaults, s)
	}
}

// partition makes parts of the sidecars: without a word of it each is a part of its own.
func (p *Plan) partition(rng *rand.Rand, t LinkFaultSpec) [][]string {
	var names []string
	for _, i := range rng.Perm(p.Sidecars) {
		names = append(names, sidecarName(i))
	}
	if t.HasBridge {
		names = names[1:]
	}
	n := t.Parts
	switch {
	case t.IsolatesOne:
		return [][]string{names[:1], names[1:]}
	case n == 0:
		n = len(names)
	}
	parts := make([][]string, n)
	for i, name := range names {
		parts[i%n] = append(parts[i%n], name)
	}
	for _, part := range parts {
		slices.Sort(part)
	}
	return parts
}

// linkState is what becomes of the links that are hit.
func (s *LinkFault) linkState() faultnet.Link {
	switch s.Kind {
	case "cut":
		return faultnet.Link{Cut: true}
	case "reset":
		return faultnet.Link{Reset: true}
	case "loss":
		return faultnet.Link{Loss: s.Magnitude}
	case "duplicate":
		return faultnet.Link{Duplicate: s.Magnitude}
	}
	d := time.Duration(s.Magnitude * float64(time.Second))
	return faultnet.Link{Delay: d, Jitter: d}
}
