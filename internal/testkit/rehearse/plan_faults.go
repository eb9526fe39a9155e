package rehearse

import (
	"math"
	"math/rand/v2"
	"time"
)

// Fault is a fault of the plan, drawn from its FaultSpec. The tags are the names of the fields in results and printed plans.
type Fault struct {
	Kind      string        // kind of the fault, a key of faultKinds
	Start     time.Duration `json:"At"`  // start of the fault, as time from the start of the day
	Duration  time.Duration `json:"For"` // time for which the fault is active
	Tier      int           // index of the tier whose nodes are hit
	Targets   []string      // IDs of the nodes or names of the sidecars that are hit
	Magnitude float64       `json:"Size"` // strength of the fault, whose unit depends on its kind; see faultKinds
	Mode      string        `json:"How"`  // variant of the kind; see faultModes
	Downtime  time.Duration `json:"Down"` // time from the end of a restarted sidecar's process, or from the stop of a drained node, until the sidecar or node is started again
}

// drawFaults draws the plan's faults of nodes, sidecars, discovery and demand at random from the ranges in Day.Faults.
func (p *Plan) drawFaults() {
	rng := newRand(p.Seed, randSourceFaults)
	for _, spec := range p.Day.Faults {
		fault := Fault{
			Kind:      spec.Kind,
			Start:     spec.Start.At(rng.Float64()),
			Duration:  spec.Duration.At(rng.Float64()),
			Tier:      max(p.Day.tierIndex(spec.Tier), 0),
			Magnitude: spec.Magnitude.At(rng.Float64()),
			Mode:      spec.Mode,
			Downtime:  spec.Downtime.At(rng.Float64()),
		}
		fault.Targets = drawTargets(rng, p.candidates(fault), spec.TargetFraction.At(rng.Float64()))
		p.Faults = append(p.Faults, fault)
	}
}

// candidates returns the IDs of the nodes or the names of the sidecars that a fault may hit.
func (p *Plan) candidates(fault Fault) []string {
	var out []string
	switch traits := faultKinds[fault.Kind]; {
	case traits.hitsNodes:
		for _, n := range p.Nodes {
			if n.Spec.Tier == fault.Tier {
				out = append(out, n.Spec.ID)
			}
		}
	case traits.hitsSidecars:
		for i := range p.SidecarCount {
			out = append(out, sidecarName(i))
		}
	}
	return out
}

// drawTargets returns a random selection of the given fraction of the candidates, but at least one candidate if there is any.
func drawTargets(rng *rand.Rand, candidates []string, fraction float64) []string {
	order := rng.Perm(len(candidates))
	if len(candidates) == 0 {
		return nil
	}
	n := min(max(int(math.Round(fraction*float64(len(candidates)))), 1), len(candidates))
	var targets []string
	for _, i := range order[:n] {
		targets = append(targets, candidates[i])
	}
	return targets
}
