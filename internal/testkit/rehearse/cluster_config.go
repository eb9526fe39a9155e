package rehearse

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/tomlfile"
)

// The defaults of ClusterConfig.DetectWithin and ClusterConfig.SettleWithin. They suit a failure detector with the daemon's default
// intervals and timeouts.
const (
	defaultDetectWithin = 6 * time.Second
	defaultSettleWithin = 3 * time.Second
)

// ClusterConfig configures a cluster of the sidecars before the first tier. Members of a cluster are started with operators'
// files. In a day's file, the cluster is called a fleet.
type ClusterConfig struct {
	VoterCount       int                  `toml:"voters"`        // number of sidecars that are voters, odd or 0
	ProbeInterval    time.Duration        `toml:"probe_every"`   // interval of the failure detector's probes; 0: the daemon's default
	ProbeTimeout     time.Duration        `toml:"probe_timeout"` // timeout of a probe; 0: the daemon's default
	SuspicionTimeout time.Duration        `toml:"suspicion"`     // time from suspicion to failure of a peer; 0: the daemon's default
	ClockRate        tomlfile.NumberRange `toml:"clock"`         // rate of each sidecar's clock relative to real time, which only sidecars built with -race can change; 0: real time
	DetectWithin     time.Duration        `toml:"detect"`        // time after the end of a sidecar's process within which all other sidecars must detect the end
	SettleWithin     time.Duration        `toml:"settle"`        // time after the last fault, start or end of a sidecar within which each sidecar must see exactly the running sidecars as present
	HasConsensus     bool                 `toml:"agreed"`        // whether sidecars agree on manual ejections by consensus; if so, an endpoint is repeatedly ejected and restored
}

// LinkFaultSpec is a fault of the links between sidecars, as a day's file describes it.
type LinkFaultSpec struct {
	Kind          string                 `toml:"kind"`    // kind of the fault, a key of linkFaultHasMagnitude
	Start         tomlfile.DurationRange `toml:"at"`      // start of the fault, as time from the start of the day
	Duration      tomlfile.DurationRange `toml:"for"`     // time from the start of the fault to its end
	PartCount     int                    `toml:"parts"`   // number of parts into which sidecars are divided at random; the fault hits links between parts; 0: each sidecar is a part
	IsolatesOne   bool                   `toml:"alone"`   // whether the fault hits the links between one sidecar and all others; excludes PartCount
	HasBridge     bool                   `toml:"bridge"`  // whether one sidecar is in no part, so that the fault hits none of its links
	IsOneWay      bool                   `toml:"one_way"` // whether the fault hits only one direction of each link
	PhaseDuration tomlfile.DurationRange `toml:"every"`   // length of each active phase and of each inactive phase, which alternate; 0: the fault is always active
	Magnitude     tomlfile.NumberRange   `toml:"size"`    // strength of the fault, in seconds for "delay", otherwise a fraction of the datagrams; see linkFaultHasMagnitude
}

// linkFaultHasMagnitude holds the kinds of link faults, and whether each has a magnitude. The comment of each kind says what
// Magnitude means for it.
var linkFaultHasMagnitude = map[string]bool{
	"cut":       false, // datagrams are lost and TCP streams stall
	"reset":     false, // TCP streams are reset
	"loss":      true,  // the fraction Magnitude of the datagrams is lost
	"duplicate": true,  // the fraction Magnitude of the datagrams arrives twice
	"delay":     true,  // all traffic is late by Magnitude seconds plus up to Magnitude seconds at random, which reorders datagrams
}

// LinkFault is a link fault of the plan, drawn from its LinkFaultSpec. The tags are the names of the fields in printed plans.
type LinkFault struct {
	Kind          string        // kind of the fault, a key of linkFaultHasMagnitude
	Start         time.Duration `json:"At"`  // start of the fault, as time from the start of the day
	Duration      time.Duration `json:"For"` // time from the start of the fault to its end
	Parts         [][]string    // names of the sidecars in each part; the fault hits links between parts
	IsOneWay      bool          `json:"OneWay"` // whether the fault hits only the direction from each part to the parts after it in Parts
	PhaseDuration time.Duration `json:"Every"`  // length of each active phase and of each inactive phase, which alternate; 0: the fault is always active
	Magnitude     float64       `json:"Size"`   // strength of the fault, in seconds for "delay", otherwise a fraction of the datagrams; see linkFaultHasMagnitude
}

// checkCluster checks the values that a day's file states for the cluster and for the faults of the links between its members, and
// sets the default time limits of the cluster.
func (d *Day) checkCluster(f *tomlfile.File) error {
	if c := d.Cluster; c != nil {
		if c.DetectWithin == 0 {
			c.DetectWithin = defaultDetectWithin
		}
		if c.SettleWithin == 0 {
			c.SettleWithin = defaultSettleWithin
		}
		hasValidVoters := c.VoterCount >= 0 && float64(c.VoterCount) <= d.Sidecars.Count.Lo && (c.VoterCount == 0 || c.VoterCount%2 == 1)
		isWithinDrift := c.ClockRate.Hi <= 1+maxClockDrift && c.ClockRate.Lo >= 1-maxClockDrift
		if err := f.Check("fleet", []tomlfile.Requirement{
			tomlfile.Require("voters", hasValidVoters, "0 or an odd number, at most the number of sidecars"),
			tomlfile.Require("agreed", !c.HasConsensus || c.VoterCount > 0 && isWithinDrift,
				fmt.Sprintf("true only with voters, and with a clock from %v to %v", 1-maxClockDrift, 1+maxClockDrift)),
			tomlfile.Require("clock", c.ClockRate.Hi == 0 || c.ClockRate.Lo >= 0.5 && c.ClockRate.Hi <= 2, "from 0.5 to 2"),
			tomlfile.Require("detect", c.DetectWithin > 0, "over 0"),
			tomlfile.Require("settle", c.SettleWithin > 0, "over 0"),
		}); err != nil {
			return err
		}
	}
	for i, spec := range d.LinkFaults {
		hasMagnitude, isKnown := linkFaultHasMagnitude[spec.Kind]
		hasValidParts := spec.PartCount == 0 ||
			spec.PartCount >= 2 && !spec.IsolatesOne && float64(spec.PartCount) <= d.Sidecars.Count.Lo
		if err := f.Check(fmt.Sprintf("link_trouble[%d]", i), []tomlfile.Requirement{
			tomlfile.Require("kind", isKnown, "cut, reset, loss, duplicate or delay"),
			tomlfile.Require("kind", d.Cluster != nil, "given only in a day with a fleet"),
			tomlfile.Require("at", spec.Start.Hi < d.Length, "before the day's end"),
			tomlfile.Require("for", spec.Duration.Lo > 0, "over 0"),
			tomlfile.Require("parts", hasValidParts, "from 2 to the number of sidecars, and not given with alone"),
			tomlfile.Require("size", (spec.Magnitude.Lo > 0) == hasMagnitude, "over 0 for loss, duplicate and delay, and only there"),
			tomlfile.Require("size", spec.Kind == "delay" || spec.Magnitude.Hi <= 1, "a fraction of the datagrams, 1 at most"),
		}); err != nil {
			return err
		}
	}
	return nil
}

// drawLinkFaults draws the plan's faults of the links between sidecars at random from the ranges in Day.LinkFaults.
func (p *Plan) drawLinkFaults() {
	rng := newRand(p.Seed, randSourceLinkFaults)
	for _, spec := range p.Day.LinkFaults {
		fault := LinkFault{Kind: spec.Kind, Start: spec.Start.At(rng.Float64()), Duration: spec.Duration.At(rng.Float64()),
			IsOneWay: spec.IsOneWay, PhaseDuration: spec.PhaseDuration.At(rng.Float64()), Magnitude: spec.Magnitude.At(rng.Float64())}
		fault.Parts = p.partition(rng, spec)
		p.LinkFaults = append(p.LinkFaults, fault)
	}
}

// partition divides the sidecars at random into the parts of a link fault. A fault that isolates one sidecar has two parts. If a
// fault states no number of parts, each sidecar is a part.
func (p *Plan) partition(rng *rand.Rand, spec LinkFaultSpec) [][]string {
	var names []string
	for _, i := range rng.Perm(p.SidecarCount) {
		names = append(names, sidecarName(i))
	}
	if spec.HasBridge {
		names = names[1:]
	}
	n := spec.PartCount
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

// linkState returns the state that the fault gives to each link that it hits, for as long as the fault is active.
func (f *LinkFault) linkState() faultnet.Link {
	switch f.Kind {
	case "cut":
		return faultnet.Link{IsCut: true}
	case "reset":
		return faultnet.Link{ResetsConnections: true}
	case "loss":
		return faultnet.Link{LossProbability: f.Magnitude}
	case "duplicate":
		return faultnet.Link{DuplicateProbability: f.Magnitude}
	}
	delay := time.Duration(f.Magnitude * float64(time.Second))
	return faultnet.Link{Delay: delay, Jitter: delay}
}
