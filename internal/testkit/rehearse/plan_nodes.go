package rehearse

import (
	"fmt"
	"math"
	"math/rand/v2"

	"tuliprock/internal/testkit/fake"
)

func (p *Plan) drawNodes(rng *rand.Rand) {
	for i, tier := range p.Day.Tiers {
		cellSize := int(drawInteger(tier.CellSize, rng))
		var shares []float64
		for _, kind := range tier.Kinds {
			shares = append(shares, kind.Proportion)
		}
		// Fields of a literal are evaluated in order, and so are the draws: their order is part of what a seed means.
		shared := fake.NodeSpec{
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
		n := int(drawInteger(tier.Nodes, rng))
		for j, kind := range apportion(shares, n) {
			node := NodePlan{Seed: rng.Uint64(), Spec: shared}
			node.Spec.ID = fmt.Sprintf("%s-%d", tier.Name, j+1)
			node.Spec.Cell = j / cellSize
			tier.Kinds[kind].draw(rng, &node.Spec)
			p.Nodes = append(p.Nodes, node)
		}
	}
}

// draw draws the slow state after overload; nil: the range is nil.
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

// draw draws what the kind says of a node.
func (k *NodeKind) draw(rng *rand.Rand, spec *fake.NodeSpec) {
	cores := float64(k.Cores)
	spec.Kind, spec.Cores = k.Name, k.Cores
	spec.Speed = k.Speed.At(rng.Float64())
	spec.Slots = max(int(k.Slots.At(rng.Float64())*cores), 1)
	spec.QueueLimit = int(k.QueueLimit.At(rng.Float64()) * cores)
	spec.ColdCapacityShare = k.ColdCapacityFraction.At(rng.Float64())
	spec.WarmUpDuration = k.WarmUpDuration.At(rng.Float64())
}

// apportion gives each of n places a kind, by index, as evenly as the shares of the kinds allow, so that each tier has its
// mix whatever the seed.
func apportion(shares []float64, n int) []int {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	assigned, kinds := make([]float64, len(shares)), make([]int, n)
	for i := range kinds {
		best := 0
		for k := range shares {
			if shares[k]/sum*float64(i+1)-assigned[k] > shares[best]/sum*float64(i+1)-assigned[best] {
				best = k
			}
		}
		kinds[i] = best
		assigned[best]++
	}
	return kinds
}

// computeCapacity computes what the nodes can serve together: the capacity of the tier that runs out first.
func (p *Plan) computeCapacity(work []classWork) {
	mean, shares := 0.0, 0.0
	for i, c := range p.Day.Classes {
		mean += c.Proportion * work[i].work.Seconds()
		shares += c.Proportion
	}
	mean /= shares
	p.Capacity = math.Inf(1)
	calls := 1.0 // at the tier, for each request
	for i, tier := range p.Day.Tiers {
		calls *= p.callsPerRequest[i]
		capacity := 0.0
		for _, n := range p.Nodes {
			if n.Spec.Tier == i {
				capacity += float64(n.Spec.Cores) * n.Spec.Speed
			}
		}
		p.Capacity = min(p.Capacity, capacity/(mean*tier.WorkFraction*calls))
	}
}
