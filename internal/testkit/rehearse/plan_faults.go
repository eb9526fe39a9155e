package rehearse

import (
	"math"
	"math/rand/v2"
	"time"
)

// Fault is a FaultSpec with all that it draws. The tags are its names in results and printed plans.
type Fault struct {
	Kind      string
	Start     time.Duration `json:"At"`
	Duration  time.Duration `json:"For"`
	Tier      int
	Targets   []string      // IDs of nodes, or names of sidecars
	Magnitude float64       `json:"Size"`
	Mode      string        `json:"How"`
	Downtime  time.Duration `json:"Down"`
}

func (p *Plan) drawFaults() {
	rng := newRand(p.Seed, sourceFaults)
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

// candidates are the nodes or sidecars that a fault may hit.
func (p *Plan) candidates(fault Fault) []string {
	var out []string
	switch needs := faultKinds[fault.Kind]; {
	case needs.hitsNodes:
		for _, n := range p.Nodes {
			if n.Spec.Tier == fault.Tier {
				out = append(out, n.Spec.ID)
			}
		}
	case needs.hitsSidecars:
		for i := range p.SidecarCount {
			out = append(out, sidecarName(i))
		}
	}
	return out
}

// drawTargets draws a share of the candidates, at least one if there is any.
func drawTargets(rng *rand.Rand, candidates []string, share float64) []string {
	order := rng.Perm(len(candidates))
	if len(candidates) == 0 {
		return nil
	}
	n := min(max(int(math.Round(share*float64(len(candidates)))), 1), len(candidates))
	var targets []string
	for _, i := range order[:n] {
		targets = append(targets, candidates[i])
	}
	return targets
}
