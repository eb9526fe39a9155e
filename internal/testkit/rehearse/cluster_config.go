package rehearse

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/tomlfile"
)

// The bounds that a cluster with the daemon's default times must keep.
const (
	defaultDetectWithin = 6 * time.Second
	defaultSettleWithin = 3 * time.Second
)

// ClusterConfig makes a cluster of the sidecars before the first tier, which are then started on operators' files. In a
// day's file the cluster is called a fleet.
type ClusterConfig struct {
	Voters           int                  `toml:"voters"`
	ProbeInterval    time.Duration        `toml:"probe_every"`   // 0: the daemon's default
	ProbeTimeout     time.Duration        `toml:"probe_timeout"` // 0: the daemon's default
	SuspicionTimeout time.Duration        `toml:"suspicion"`     // 0: the daemon's default
	ClockRate        tomlfile.NumberRange `toml:"clock"`         // drawn for each sidecar; needs a program built with the race detector
	DetectWithin     time.Duration        `toml:"detect"`        // until all others know of a failure, while no fault is active
	SettleWithin     time.Duration        `toml:"settle"`        // after the last fault, until all views are right
	HasConsensus     bool                 `toml:"agreed"`        // on operator overrides, of which one is toggled all day
}

// LinkFaultSpec is a fault of the links between sidecars, as a day's file gives it.
type LinkFaultSpec struct {
	Kind        string                 `toml:"kind"`
	Start       tomlfile.DurationRange `toml:"at"`
	Duration    tomlfile.DurationRange `toml:"for"`
	Parts       int                    `toml:"parts"`  // of the sidecars, drawn; the fault hits what passes between them
	IsolatesOne bool                   `toml:"alone"`  // one sidecar against all others, in place of Parts
	HasBridge   bool                   `toml:"bridge"` // one sidecar reaches all others
	IsOneWay    bool                   `toml:"one_way"`
	Period      tomlfile.DurationRange `toml:"every"` // the fault comes and goes, each for so long; 0: it stays
	Magnitude   tomlfile.NumberRange   `toml:"size"`
}

// linkFaultHasMagnitude says for each kind of link fault whether it has a magnitude.
var linkFaultHasMagnitude = map[string]bool{
	"cut":       false, // datagrams are lost, streams stall
	"reset":     false, // streams are reset
	"loss":      true,  // share of datagrams that are lost
	"duplicate": true,  // share of datagrams that arrive twice
	"delay":     true,  // seconds added, and as much jitter, so that datagrams overtake each other
}

// LinkFault is a LinkFaultSpec with all that it draws. The tags are the names of printed plans.
type LinkFault struct {
	Kind      string
	Start     time.Duration `json:"At"`
	Duration  time.Duration `json:"For"`
	Parts     [][]string
	IsOneWay  bool          `json:"OneWay"`
	Period    time.Duration `json:"Every"` // 0: without a break
	Magnitude float64       `json:"Size"`
}

func (d *Day) checkCluster(f *tomlfile.File) error {
	if c := d.Cluster; c != nil {
		if c.DetectWithin == 0 {
			c.DetectWithin = defaultDetectWithin
		}
		if c.SettleWithin == 0 {
			c.SettleWithin = defaultSettleWithin
		}
		hasValidVoters := c.Voters >= 0 && float64(c.Voters) <= d.Sidecars.Count.Lo && (c.Voters == 0 || c.Voters%2 == 1)
		isWithinDrift := c.ClockRate.Hi <= 1+maxClockDrift && c.ClockRate.Lo >= 1-maxClockDrift
		if err := f.Check("fleet", []tomlfile.Requirement{
			tomlfile.Require("voters", hasValidVoters, "0 or an odd number, of the sidecars"),
			tomlfile.Require("agreed", !c.HasConsensus || c.Voters > 0 && isWithinDrift,
				fmt.Sprintf("beside voters, and clocks within %v", maxClockDrift)),
			tomlfile.Require("clock", c.ClockRate.Hi == 0 || c.ClockRate.Lo >= 0.5 && c.ClockRate.Hi <= 2, "from 0.5 to 2"),
			tomlfile.Require("detect", c.DetectWithin > 0, "over 0"),
			tomlfile.Require("settle", c.SettleWithin > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	for i, spec := range d.LinkFaults {
		hasMagnitude, isKnown := linkFaultHasMagnitude[spec.Kind]
		hasValidParts := spec.Parts == 0 ||
			spec.Parts >= 2 && !spec.IsolatesOne && float64(spec.Parts) <= d.Sidecars.Count.Lo
		if err := f.Check(fmt.Sprintf("link_trouble[%d]", i), []tomlfile.Requirement{
			tomlfile.Require("kind", isKnown, "cut, reset, loss, duplicate or delay"),
			tomlfile.Require("kind", d.Cluster != nil, "of a day with a fleet"),
			tomlfile.Require("at", spec.Start.Hi < d.Length, "before the day's end"),
			tomlfile.Require("for", spec.Duration.Lo > 0, "over 0"),
			tomlfile.Require("parts", hasValidParts, "2 at least, one sidecar each, and not beside alone"),
			tomlfile.Require("size", (spec.Magnitude.Lo > 0) == hasMagnitude, "over 0 where the trouble has a size, and only there"),
			tomlfile.Require("size", spec.Kind == "delay" || spec.Magnitude.Hi <= 1, "a share"),
		}); err != nil {
			return err
		}
	}
	return nil
}

func (p *Plan) drawLinkFaults() {
	rng := newRand(p.Seed, sourceLinkFaults)
	for _, spec := range p.Day.LinkFaults {
		fault := LinkFault{Kind: spec.Kind, Start: spec.Start.At(rng.Float64()), Duration: spec.Duration.At(rng.Float64()),
			IsOneWay: spec.IsOneWay, Period: spec.Period.At(rng.Float64()), Magnitude: spec.Magnitude.At(rng.Float64())}
		fault.Parts = p.partition(rng, spec)
		p.LinkFaults = append(p.LinkFaults, fault)
	}
}

// partition divides the sidecars into the parts of a link fault; where it names none, each sidecar is a part.
func (p *Plan) partition(rng *rand.Rand, spec LinkFaultSpec) [][]string {
	var names []string
	for _, i := range rng.Perm(p.SidecarCount) {
		names = append(names, sidecarName(i))
	}
	if spec.HasBridge {
		names = names[1:]
	}
	n := spec.Parts
	switch {
	case spec.IsolatesOne:
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

// linkState is the state of a link while the fault is active.
func (f *LinkFault) linkState() faultnet.Link {
	switch f.Kind {
	case "cut":
		return faultnet.Link{Cut: true}
	case "reset":
		return faultnet.Link{Reset: true}
	case "loss":
		return faultnet.Link{Loss: f.Magnitude}
	case "duplicate":
		return faultnet.Link{Duplicate: f.Magnitude}
	}
	delay := time.Duration(f.Magnitude * float64(time.Second))
	return faultnet.Link{Delay: delay, Jitter: delay}
}
