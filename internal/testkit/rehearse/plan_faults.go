package rehearse

import (
	"math"
	"time"
)

// Fault is a trouble with all that it draws.
type Fault struct {
	Kind      string
	At, For   time.Duration
	Tier      int
	Targets   []string      // ids of nodes, or names of sidecars
	Magnitude float64       `json:"Size"`
	Mode      string        `json:"How"`
	DownFor   time.Duration `json:"Down"`
}

func (p *Plan) drawFaults() {
	rng := newSource(p.Seed, sourceFaults)
	for _, t := range p.Day.Faults {
		s := Fault{Kind: t.Kind, At: t.At.At(rng.Float64()), For: t.For.At(rng.Float64()), Tier: max(p.Day.tierIndex(t.Tier), 0),
			Magnitude: t.Magnitude.At(rng.Float64()), Mode: t.Mode, DownFor: t.DownFor.At(rng.Float64())}
		var among []string
		switch needs := faultKinds[t.Kind]; {
		case needs.nodes:
			for _, n := range p.Nodes {
				if n.Spec.Tier == s.Tier {
					among = append(among, n.Spec.ID)
				}
			}
		case needs.sidecars:
			for i := range p.Sidecars {
				among = append(among, sidecarName(i))
			}
		}
		share := t.Share.At(rng.Float64())
		order := rng.Perm(len(among))
		if len(among) > 0 {
			for _, i := range order[:min(max(int(math.Round(share*float64(len(among)))), 1), len(among))] {
				s.Targets = append(s.Targets, among[i])
			}
		}
		p.Faults = append(p.Faults, s)
	}
}
