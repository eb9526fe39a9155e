package rehearse

import (
	"fmt"
	"math"
	"math/rand/v2"

	"tuliprock/internal/testkit/fake"
)

// drawNodes draws the number, the kinds and the properties of the nodes of each tier.
func (p *Plan) drawNodes(rng *rand.Rand) {
	for i, tier := range p.Day.Tiers {
		cellSize := int(drawInteger(tier.CellSize, rng))
		var proportions []float64
		for _, kind := range tier.Kinds {
			proportions = append(proportions, kind.Proportion)
		}
		// The fields of this literal draw random numbers in the order in which they are written. Another order would change the
		// plan of a seed.
		sharedSpec := fake.NodeSpec{
			Zone:               "here",
			Tier:               i,
			ColdOverloadFactor: p.Day.Rules.ColdOverloadFactor,
			ColdOverloadWindow: p.Day.Rules.ColdOverloadWindow,
			MaxConnections:     tier.MaxConnections,
			Overload:           tier.Overload.draw(rng),
			HandshakeWork:      tier.HandshakeWork.At(rng.Float64()),
			IdleTimeout:        tier.IdleTimeout.At(rng.Float64()),
			ErrorRate:          tier.ErrorRate.At(rng.Float64()),
		}
		n := int(drawInteger(tier.NodeCount, rng))
		for j, kind := range assignKinds(proportions, n) {
			node := NodePlan{Seed: rng.Uint64(), Spec: sharedSpec}
			node.Spec.ID = fmt.Sprintf("%s-%d", tier.Name, j+1)
			node.Spec.Cell = j / cellSize
			tier.Kinds[kind].draw(rng, &node.Spec)
			p.Nodes = append(p.Nodes, node)
		}
	}
}

// draw draws the parameters of the slow state that overload causes. It returns nil for a nil OverloadRange.
func (o *OverloadRange) draw(rng *rand.Rand) *fake.OverloadSpec {
	if o == nil {
		return nil
	}
	return &fake.OverloadSpec{
		Threshold:    o.Threshold.At(rng.Float64()),
		AveragedOver: o.AveragedOver.At(rng.Float64()),
		Slowdown:     o.Slowdown.At(rng.Float64()),
		RecoverAfter: o.RecoverAfter.At(rng.Float64()),
		IdleBelow:    o.IdleBelow.At(rng.Float64()),
		MaxDuration:  o.MaxDuration.At(rng.Float64()),
	}
}

// draw draws the fields of a node's spec that depend on its kind.
func (k *NodeKind) draw(rng *rand.Rand, spec *fake.NodeSpec) {
	cores := float64(k.Cores)
	spec.Kind, spec.Cores = k.Name, k.Cores
	spec.Speed = k.Speed.At(rng.Float64())
	spec.Slots = max(int(k.Slots.At(rng.Float64())*cores), 1)
	spec.QueueLimit = int(k.QueueLimit.At(rng.Float64()) * cores)
	spec.ColdCapacityFraction = k.ColdCapacityFraction.At(rng.Float64())
	spec.WarmUpDuration = k.WarmUpDuration.At(rng.Float64())
}

// assignKinds returns the index of a kind for each of n nodes. The kinds are mixed as evenly as their proportions allow, and do
// not depend on the seed.
func assignKinds(proportions []float64, n int) []int {
	sum := 0.0
	for _, proportion := range proportions {
		sum += proportion
	}
	assignedCounts, kindIndices := make([]float64, len(proportions)), make([]int, n)
	for i := range kindIndices {
		bestKind := 0
		for k := range proportions {
			if proportions[k]/sum*float64(i+1)-assignedCounts[k] > proportions[bestKind]/sum*float64(i+1)-assignedCounts[bestKind] {
				bestKind = k
			}
		}
		kindIndices[i] = bestKind
		assignedCounts[bestKind]++
	}
	return kindIndices
}

// computeCapacity sets the plan's Capacity: the client requests per second that the tier with the smallest capacity can serve.
func (p *Plan) computeCapacity(work []classWork) {
	meanWork, totalProportion := 0.0, 0.0
	for i, c := range p.Day.Classes {
		meanWork += c.Proportion * work[i].work.Seconds()
		totalProportion += c.Proportion
	}
	meanWork /= totalProportion
	p.Capacity = math.Inf(1)
	calls := 1.0 // mean number of calls to the tier that one request of a client causes
	for i, tier := range p.Day.Tiers {
		calls *= p.callsPerRequest[i]
		capacity := 0.0
		for _, n := range p.Nodes {
			if n.Spec.Tier == i {
				capacity += float64(n.Spec.Cores) * n.Spec.Speed
			}
		}
		p.Capacity = min(p.Capacity, capacity/(meanWork*tier.WorkFraction*calls))
	}
}
