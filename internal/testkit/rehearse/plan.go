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
	Day      *Day
	Seed     uint64
	Demand   float64 // times the day's own
	Capacity float64 // first tries a second that the fleet can do, when warm and well
	Rate     float64 // first tries a second that are asked for, without surges
	Nodes    []NodePlan
	Sidecars int
	Classes  []fake.Class
	Quotas   []float64 // requests a second within each tenant's share
	Requests []Request
	Strikes  []Strike
	Links    []LinkStrike
	calls    []float64 // to each tier, for one first try
}

// NodePlan is a node that the day has from its start.
type NodePlan struct {
	Spec fake.NodeSpec
	Seed uint64
}

// Request is a first try that is due, and how its client will behave.
type Request struct {
	schedule.Arrival
	Job     *fake.Job
	Key     string
	Over    bool    // beyond its tenant's share
	Worth   float64 // of an answer within the aim
	Retries int
	Wait    time.Duration // a try is given up after this
	Backoff time.Duration // between tries; 0: at once
	Honours bool          // heeds Retry-After
	HangUp  time.Duration // leaves its first try after this; 0: stays
}

// Strike is a trouble with all that it draws.
type Strike struct {
	Kind    string
	At, For time.Duration
	Tier    int
	Targets []string // ids of nodes, or names of sidecars
	Size    float64
	How     string
	Down    time.Duration
}

// mostRequests bounds a plan: with three tiers a first try was seen to take 24 kB of the rehearsal, timeline and all.
const mostRequests = 100_000

// mostCalls bounds the requests of all tiers together: each leaves five events at least in the timeline.
const mostCalls = eventsMost / 5

// draw is a source of numbers for one matter, so that a change in one does not shift the others.
func draw(seed uint64, matter uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, matter)) }

// The matters that are drawn apart.
const (
	drawFleet = iota + 1
	drawArrivals
	drawTroubles
	drawTenants
	drawJobs
	drawLinks
)

// NewPlan draws a day.
func NewPlan(d *Day, seed uint64, demand float64) (*Plan, error) {
	p := &Plan{Day: d, Seed: seed, Demand: demand}
	rng := draw(seed, drawFleet)
	for _, c := range d.Class {
		p.Classes = append(p.Classes, fake.Class{Name: c.Name, Effect: effects[c.Effect], Window: c.Window, Deadline: c.Deadline})
	}
	works := p.drawWorks(rng)
	p.drawNodes(rng)
	p.Sidecars = int(whole(d.Sidecars.Count, rng))
	p.measure(works)
	p.Rate = p.Capacity * d.Load.Use.At(rng.Float64()) * demand
	usage := p.drawTenants()
	p.drawStrikes()
	p.drawLinks()
	if err := p.drawRequests(works, usage); err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	return p, nil
}

var effects = map[string]invariant.Effect{"safe": invariant.Safe, "keyed": invariant.Keyed, "unsafe": invariant.Unsafe}

// whole draws a whole number from a range.
func whole(r tomlfile.Range, rng *rand.Rand) float64 {
	return min(math.Floor(r.Lo+(r.Hi-r.Lo+1)*rng.Float64()), math.Floor(r.Hi))
}

// classWork is what a class takes on this day, on average.
type classWork struct{ work, wait time.Duration }

func (p *Plan) drawWorks(rng *rand.Rand) []classWork {
	var out []classWork
	for _, c := range p.Day.Class {
		out = append(out, classWork{c.Work.At(rng.Float64()), c.Wait.At(rng.Float64())})
	}
	for i, t := range p.Day.Tier {
		calls := t.Calls.At(rng.Float64())
		if i == 0 {
			calls = 1
		}
		p.calls = append(p.calls, calls)
	}
	return out
}

func (p *Plan) drawNodes(rng *rand.Rand) {
	for i, t := range p.Day.Tier {
		cell := int(whole(t.Cell, rng))
		var shares []float64
		for _, k := range t.Kind {
			shares = append(shares, k.Share)
		}
		var choke *fake.OverloadSpec
		if c := t.Choke; c != nil {
			choke = &fake.OverloadSpec{Threshold: c.At.At(rng.Float64()), AveragedOver: c.Over.At(rng.Float64()), Slowdown: c.Slower.At(rng.Float64()),
				RecoverAfter: c.Rest.At(rng.Float64()), IdleBelow: c.Below.At(rng.Float64()), MaxDuration: c.Most.At(rng.Float64())}
		}
		hand, idle, errors := t.Handshake.At(rng.Float64()), t.Idle.At(rng.Float64()), t.Errors.At(rng.Float64())
		n := int(whole(t.Nodes, rng))
		dealt := deal(shares, n)
		for j := range n {
			k := t.Kind[dealt[j]]
			p.Nodes = append(p.Nodes, NodePlan{Seed: rng.Uint64(), Spec: fake.NodeSpec{
				ID: fmt.Sprintf("%s-%d", t.Name, j+1), Zone: "here", Kind: k.Name, Tier: i, Cell: j / cell,
				Cores: k.Cores, Speed: k.Speed.At(rng.Float64()),
				Slots: max(int(k.Slots.At(rng.Float64())*float64(k.Cores)), 1), QueueLimit: int(k.Room.At(rng.Float64()) * float64(k.Cores)),
				ColdCapacityShare: k.ColdFrom.At(rng.Float64()), WarmUpDuration: k.ColdFor.At(rng.Float64()),
				ColdOverloadFactor: p.Day.Rules.FallMultiple, ColdOverloadWindow: p.Day.Rules.FallAfter,
				HandshakeWork: hand, IdleTimeout: idle, MaxConnections: t.Conns, ErrorRate: errors, Overload: choke}})
		}
	}
}

// deal spreads n places over kinds as evenly as their shares allow, so that each tier has its mix whatever the seed.
func deal(shares []float64, n int) []int {
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

// measure finds what the fleet can do: that of the tier which runs out first.
func (p *Plan) measure(works []classWork) {
	mean, shares := 0.0, 0.0
	for i, c := range p.Day.Class {
		mean += c.Share * works[i].work.Seconds()
		shares += c.Share
	}
	mean /= shares
	p.Capacity = math.Inf(1)
	reached := 1.0
	for i, t := range p.Day.Tier {
		reached *= p.calls[i]
		can := 0.0
		for _, n := range p.Nodes {
			if n.Spec.Tier == i {
				can += float64(n.Spec.Cores) * n.Spec.Speed
			}
		}
		p.Capacity = min(p.Capacity, can/(mean*t.Work*reached))
	}
}

// drawTenants says what each tenant may ask for, and how much of the traffic is its own.
func (p *Plan) drawTenants() (usage []float64) {
	rng := draw(p.Seed, drawTenants)
	shares := 0.0
	for _, t := range p.Day.Tenant {
		shares += t.Share
	}
	quota := p.Capacity * p.Day.Load.Quota.At(rng.Float64())
	for _, t := range p.Day.Tenant {
		p.Quotas = append(p.Quotas, quota*t.Share/shares)
		usage = append(usage, t.Share*t.Usage.At(rng.Float64()))
	}
	return usage
}

func (p *Plan) drawStrikes() {
	rng := draw(p.Seed, drawTroubles)
	for _, t := range p.Day.Trouble {
		s := Strike{Kind: t.Kind, At: t.At.At(rng.Float64()), For: t.For.At(rng.Float64()), Tier: max(p.Day.tier(t.Tier), 0),
			Size: t.Size.At(rng.Float64()), How: t.How, Down: t.Down.At(rng.Float64())}
		var among []string
		switch needs := troubleKinds[t.Kind]; {
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
		p.Strikes = append(p.Strikes, s)
	}
}

func sidecarName(i int) string { return fmt.Sprintf("sidecar-%d", i+1) }

// surgeRamp is over how much of its length a surge rises, and falls.
const surgeRamp = 0.1

func (p *Plan) drawRequests(works []classWork, usage []float64) error {
	rng := draw(p.Seed, drawArrivals)
	rate := schedule.Rate{PerSecond: p.Rate}
	for _, s := range p.Strikes {
		if s.Kind == "surge" {
			rate.Surges = append(rate.Surges, schedule.Surge{At: s.At, For: s.For, Ramp: time.Duration(surgeRamp * float64(s.For)), Factor: s.Size})
		}
	}
	var shares []float64
	for _, c := range p.Day.Class {
		shares = append(shares, c.Share)
	}
	arrivals, err := schedule.Draw(rng, schedule.Mix{Rate: rate, Length: p.Day.Length, Classes: shares, Tenant: usage, Most: mostRequests})
	if err != nil {
		return err
	}
	perTry, reached := 0.0, 1.0
	for _, calls := range p.calls {
		reached *= calls
		perTry += reached
	}
	if all := perTry * float64(len(arrivals)); all > mostCalls {
		return fmt.Errorf("%.0f calls in all tiers, %d are the most that a day may have", all, mostCalls)
	}
	tokens, at := make([]float64, len(usage)), make([]time.Duration, len(usage))
	for i := range tokens {
		tokens[i] = max(p.Quotas[i], 1)
	}
	retries := int(whole(p.Day.Clients.Retries, rng))
	tryShare := p.Day.Clients.TryShare.At(rng.Float64())
	backoff := p.Day.Clients.Backoff.At(rng.Float64())
	honour := p.Day.Clients.Honour.At(rng.Float64())
	hangUp := p.Day.Clients.HangUp.At(rng.Float64())
	for _, a := range arrivals {
		q := Request{Arrival: a, Retries: retries, Wait: time.Duration(tryShare * float64(p.Day.Class[a.Class].Deadline))}
		own := draw(a.Draw, drawJobs)
		q.Job = p.drawJob(own, a.Class, 0, works[a.Class])
		q.Key = fmt.Sprintf("%016x%016x", own.Uint64(), own.Uint64())
		if own.Float64() >= p.Day.Clients.AtOnce {
			q.Backoff = backoff
		}
		q.Honours = own.Float64() < honour
		if own.Float64() < hangUp {
			q.HangUp = time.Duration(own.Float64() * float64(q.Wait))
		}
		t := a.Tenant
		tokens[t] = min(tokens[t]+p.Quotas[t]*(a.At-at[t]).Seconds(), max(p.Quotas[t], 1)) // a second's worth may come at once
		at[t] = a.At
		q.Worth = p.Day.Class[a.Class].Worth * q.Job.TotalWork().Seconds()
		if q.Over = tokens[t] < 1; q.Over {
			q.Worth *= p.Day.Load.OverShareWorth
		} else {
			tokens[t]--
		}
		p.Requests = append(p.Requests, q)
	}
	return nil
}

// workMost bounds one draw of work, in means: a lognormal has no end.
const workMost = 10

// drawJob draws a request's work in a tier and in those behind it.
func (p *Plan) drawJob(rng *rand.Rand, class, tier int, mean classWork) *fake.Job {
	t := p.Day.Tier[tier]
	j := &fake.Job{Work: time.Duration(float64(mean.work) * t.Work * lognormal(rng, p.Day.Class[class].Vary)),
		Wait: time.Duration(float64(mean.wait) * t.Work)}
	if tier+1 < len(p.Day.Tier) {
		calls := p.calls[tier+1]
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
	return min(math.Exp(rng.NormFloat64()*math.Sqrt(s2)-s2/2), workMost)
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
		Strikes        []Strike
		Links          []LinkStrike `json:",omitempty"`
	}{1, p.Day.Name, p.Seed, p.Demand, p.Capacity, p.Rate, p.Sidecars, p.Quotas, p.Nodes, p.Strikes, p.Links}
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
