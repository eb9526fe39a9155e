package rehearse

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
	"tuliprock/internal/tomlfile"
)

// Plan is a day drawn from its file: all that is decided ahead. The same day, seed and demand give the same plan.
type Plan struct {
	Day             *Day
	Seed            uint64
	Demand          float64 // times the day's own
	Capacity        float64 // first tries a second that the fleet can do, when warm and well
	Rate            float64 // first tries a second that are asked for, without surges
	Nodes           []NodePlan
	Sidecars        int
	Classes         []fake.Class
	Quotas          []float64 // requests a second within each tenant's share
	Requests        []Request
	Faults          []Fault
	LinkFaults      []LinkFault
	callsPerRequest []float64 // to each tier, for one first try
}

// NodePlan is a node that the day has from its start.
type NodePlan struct {
	Spec fake.NodeSpec
	Seed uint64
}

// Request is a first try that is due, and how its client will behave.
type Request struct {
	schedule.Arrival
	Job               *fake.Job
	Key               string
	IsOverQuota       bool    `json:"Over"` // beyond its tenant's share
	Worth             float64 // of an answer within the aim
	Retries           int
	AttemptTimeout    time.Duration `json:"Wait"` // a try is given up after this
	Backoff           time.Duration // between tries; 0: at once
	HonoursRetryAfter bool          `json:"Honours"` // heeds Retry-After
	LeaveAfter        time.Duration `json:"HangUp"`  // leaves its first try after this; 0: stays
}

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

// maxRequests bounds a plan: with three tiers a first try was seen to take 24 kB of the rehearsal, timeline and all.
const maxRequests = 100_000

// maxCalls bounds the requests of all tiers together: each leaves five events at least in the timeline.
const maxCalls = maxEvents / 5

// newSource is a source of numbers for one matter, so that a change in one does not shift the others.
func newSource(seed uint64, matter uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, matter)) }

// The matters that are drawn apart.
const (
	sourceFleet = iota + 1
	sourceArrivals
	sourceFaults
	sourceTenants
	sourceJobs
	sourceLinkFaults
)

// NewPlan draws a day.
func NewPlan(d *Day, seed uint64, demand float64) (*Plan, error) {
	p := &Plan{Day: d, Seed: seed, Demand: demand}
	rng := newSource(seed, sourceFleet)
	for _, c := range d.Classes {
		p.Classes = append(p.Classes, fake.Class{Name: c.Name, Effect: effectsByName[c.Effect], Window: c.Window, Deadline: c.Deadline})
	}
	works := p.drawClassWork(rng)
	p.drawNodes(rng)
	p.Sidecars = int(drawInteger(d.Sidecars.Count, rng))
	p.computeCapacity(works)
	p.Rate = p.Capacity * d.Load.Use.At(rng.Float64()) * demand
	usage := p.drawTenants()
	p.drawFaults()
	p.drawLinkFaults()
	if err := p.drawRequests(works, usage); err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	return p, nil
}

var effectsByName = map[string]invariant.Effect{"safe": invariant.Safe, "keyed": invariant.Keyed, "unsafe": invariant.Unsafe}

// drawInteger draws a whole number from a range.
func drawInteger(r tomlfile.Range, rng *rand.Rand) float64 {
	return min(math.Floor(r.Lo+(r.Hi-r.Lo+1)*rng.Float64()), math.Floor(r.Hi))
}

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

// drawTenants says what each tenant may ask for, and how much of the traffic is its own.
func (p *Plan) drawTenants() (usage []float64) {
	rng := newSource(p.Seed, sourceTenants)
	shares := 0.0
	for _, t := range p.Day.Tenants {
		shares += t.Share
	}
	quota := p.Capacity * p.Day.Load.Quota.At(rng.Float64())
	for _, t := range p.Day.Tenants {
		p.Quotas = append(p.Quotas, quota*t.Share/shares)
		usage = append(usage, t.Share*t.Usage.At(rng.Float64()))
	}
	return usage
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

func sidecarName(i int) string { return fmt.Sprintf("sidecar-%d", i+1) }

// surgeRampShare is over how much of its length a surge rises, and falls.
const surgeRampShare = 0.1

func (p *Plan) drawRequests(works []classWork, usage []float64) error {
	rng := newSource(p.Seed, sourceArrivals)
	rate := schedule.Rate{PerSecond: p.Rate}
	for _, s := range p.Faults {
		if s.Kind == "surge" {
			rate.Surges = append(rate.Surges, schedule.Surge{At: s.At, For: s.For, Ramp: time.Duration(surgeRampShare * float64(s.For)), Factor: s.Magnitude})
		}
	}
	var shares []float64
	for _, c := range p.Day.Classes {
		shares = append(shares, c.Share)
	}
	arrivals, err := schedule.Draw(rng, schedule.Mix{Rate: rate, Length: p.Day.Length, Classes: shares, Tenant: usage, Most: maxRequests})
	if err != nil {
		return err
	}
	perTry, reached := 0.0, 1.0
	for _, calls := range p.callsPerRequest {
		reached *= calls
		perTry += reached
	}
	if all := perTry * float64(len(arrivals)); all > maxCalls {
		return fmt.Errorf("%.0f calls in all tiers, %d are the most that a day may have", all, maxCalls)
	}
	tokens, at := make([]float64, len(usage)), make([]time.Duration, len(usage))
	for i := range tokens {
		tokens[i] = max(p.Quotas[i], 1)
	}
	retries := int(drawInteger(p.Day.Clients.Retries, rng))
	tryShare := p.Day.Clients.TryShare.At(rng.Float64())
	backoff := p.Day.Clients.Backoff.At(rng.Float64())
	honour := p.Day.Clients.Honour.At(rng.Float64())
	hangUp := p.Day.Clients.HangUp.At(rng.Float64())
	for _, a := range arrivals {
		q := Request{Arrival: a, Retries: retries, AttemptTimeout: time.Duration(tryShare * float64(p.Day.Classes[a.Class].Deadline))}
		own := newSource(a.Draw, sourceJobs)
		q.Job = p.drawJob(own, a.Class, 0, works[a.Class])
		q.Key = fmt.Sprintf("%016x%016x", own.Uint64(), own.Uint64())
		if own.Float64() >= p.Day.Clients.AtOnce {
			q.Backoff = backoff
		}
		q.HonoursRetryAfter = own.Float64() < honour
		if own.Float64() < hangUp {
			q.LeaveAfter = time.Duration(own.Float64() * float64(q.AttemptTimeout))
		}
		t := a.Tenant
		tokens[t] = min(tokens[t]+p.Quotas[t]*(a.At-at[t]).Seconds(), max(p.Quotas[t], 1)) // a second's worth may come at once
		at[t] = a.At
		q.Worth = p.Day.Classes[a.Class].Worth * q.Job.TotalWork().Seconds()
		if q.IsOverQuota = tokens[t] < 1; q.IsOverQuota {
			q.Worth *= p.Day.Load.OverShareWorth
		} else {
			tokens[t]--
		}
		p.Requests = append(p.Requests, q)
	}
	return nil
}

// maxWorkFactor bounds one draw of work, in means: a lognormal has no end.
const maxWorkFactor = 10

// drawJob draws a request's work in a tier and in those behind it.
func (p *Plan) drawJob(rng *rand.Rand, class, tier int, mean classWork) *fake.Job {
	t := p.Day.Tiers[tier]
	j := &fake.Job{Work: time.Duration(float64(mean.work) * t.WorkShare * lognormal(rng, p.Day.Classes[class].WorkVariation)),
		Wait: time.Duration(float64(mean.wait) * t.WorkShare)}
	if tier+1 < len(p.Day.Tiers) {
		calls := p.callsPerRequest[tier+1]
		n := int(calls)
		if rng.Float64() < calls-float64(n) {
			n++
		}
		for range n {
			j.Calls = append(j.Calls, p.drawJob(rng, class, tier+1, mean))
		}
	}
	return j
}

// lognormal draws a number of mean 1 and the given coefficient of variation.
func lognormal(rng *rand.Rand, cv float64) float64 {
	s2 := math.Log(1 + cv*cv)
	return min(math.Exp(rng.NormFloat64()*math.Sqrt(s2)-s2/2), maxWorkFactor)
}

// longestDeadline is that of all classes.
func (p *Plan) longestDeadline() (longest time.Duration) {
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Rules are the figures that the referee holds a plan's day to.
func (p *Plan) Rules() invariant.Rules {
	r := invariant.Rules{MaxAttempts: p.Day.Rules.Attempts, Slack: p.Day.Rules.Slack, DrainGrace: p.Day.Rules.DrainGrace,
		FallMultiple: p.Day.Rules.FallMultiple, FallAfter: p.Day.Rules.FallAfter, FallSlack: fake.ColdOverloadTolerance, TermGrace: termGrace}
	for _, c := range p.Classes {
		r.Classes = append(r.Classes, invariant.Class{Name: c.Name, Effect: c.Effect, Window: c.Window})
	}
	return r
}

// Print writes the whole plan as lines of JSON: the fleet, the troubles, then each request in the order due.
func (p *Plan) Print(w io.Writer) error {
	out := json.NewEncoder(w)
	head := struct {
		Format         int
		Day            string
		Seed           uint64
		Demand         float64
		Capacity, Rate float64
		Sidecars       int
		Quotas         []float64
		Nodes          []NodePlan
		Strikes        []Fault
		Links          []LinkFault `json:",omitempty"`
	}{1, p.Day.Name, p.Seed, p.Demand, p.Capacity, p.Rate, p.Sidecars, p.Quotas, p.Nodes, p.Faults, p.LinkFaults}
	if err := out.Encode(head); err != nil {
		return err
	}
	for _, q := range p.Requests {
		if err := out.Encode(q); err != nil {
			return err
		}
	}
	return nil
}
