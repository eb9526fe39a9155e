package rehearse

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tuliprock/internal/testkit/fake"
)

// classWork is what a class takes on this day, on average.
type classWork struct{ work, wait time.Duration }

func (p *Plan) drawClassWork(rng *rand.Rand) []classWork {
	var out []classWork
	for _, c := range p.Day.Classes {
		out = append(out, classWork{c.Work.At(rng.Float64()), c.Wait.At(rng.Float64())})
	}
	for i, t := range p.Day.Tiers {
		calls := t.Calls.At(rng.Float64())
		if i == 0 {
			calls = 1
		}
		p.callsPerRequest = append(p.callsPerRequest, calls)
	}
	return out
}

func (p *Plan) drawNodes(rng *rand.Rand) {
	for i, t := range p.Day.Tiers {
		cell := int(drawInteger(t.CellSize, rng))
		var shares []float64
		for _, k := range t.Kinds {
			shares = append(shares, k.Share)
		}
		var choke *fake.OverloadSpec
		if c := t.Overload; c != nil {
			choke = &fake.OverloadSpec{Threshold: c.Threshold.At(rng.Float64()), AveragedOver: c.AveragedOver.At(rng.Float64()), Slowdown: c.Slowdown.At(rng.Float64()),
				RecoverAfter: c.RecoverAfter.At(rng.Float64()), IdleBelow: c.IdleBelow.At(rng.Float64()), MaxDuration: c.MaxDuration.At(rng.Float64())}
		}
		hand, idle, errors := t.HandshakeWork.At(rng.Float64()), t.IdleTimeout.At(rng.Float64()), t.ErrorRate.At(rng.Float64())
		n := int(drawInteger(t.Nodes, rng))
		dealt := apportion(shares, n)
		for j := range n {
			k := t.Kinds[dealt[j]]
			p.Nodes = append(p.Nodes, NodePlan{Seed: rng.Uint64(), Spec: fake.NodeSpec{
				ID: fmt.Sprintf("%s-%d", t.Name, j+1), Zone: "here", Kind: k.Name, Tier: i, Cell: j / cell,
				Cores: k.Cores, Speed: k.Speed.At(rng.Float64()),
				Slots: max(int(k.Slots.At(rng.Float64())*float64(k.Cores)), 1), QueueLimit: int(k.QueueLimit.At(rng.Float64()) * float64(k.Cores)),
				ColdCapacityShare: k.ColdCapacityShare.At(rng.Float64()), WarmUpDuration: k.WarmUpDuration.At(rng.Float64()),
				ColdOverloadFactor: p.Day.Rules.FallMultiple, ColdOverloadWindow: p.Day.Rules.FallAfter,
				HandshakeWork: hand, IdleTimeout: idle, MaxConnections: t.MaxConnections, ErrorRate: errors, Overload: choke}})
		}
	}
}

// apportion spreads n places over kinds as evenly as their shares allow, so that each tier has its mix whatever the seed.
func apportion(shares []float64, n int) []int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	have, out := make([]float64, len(shares)), make([]int, n)
	for i := range out {
		best := 0
		for k := range shares {
			if shares[k]/sum*float64(i+1)-have[k] > shares[best]/sum*float64(i+1)-have[best] {
				best = k
			}
		}
		out[i], have[best] = best, have[best]+1
	}
	return out
}

// computeCapacity finds what the fleet can do: that of the tier which runs out first.
func (p *Plan) computeCapacity(works []classWork) {
	mean, shares := 0.0, 0.0
	for i, c := range p.Day.Classes {
		mean += c.Share * works[i].work.Seconds()
		shares += c.Share
	}
	mean /= shares
	p.Capacity = math.Inf(1)
	reached := 1.0
	for i, t := range p.Day.Tiers {
		reached *= p.callsPerRequest[i]
		can := 0.0
		for _, n := range p.Nodes {
			if n.Spec.Tier == i {
				can += float64(n.Spec.Cores) * n.Spec.Speed
			}
		}
		p.Capacity = min(p.Capacity, can/(mean*t.WorkShare*reached))
	}
}
