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

// Plan is a day drawn from its file: all that is decided before it is played. The same day, seed and demand give the same
// plan.
type Plan struct {
	Day             *Day
	Seed            uint64
	DemandFactor    float64 // factor on the day's own demand
	Capacity        float64 // requests per second, without retries, that the nodes can serve when warm and without faults
	Rate            float64 // requests per second, without retries, that are due outside surges
	Nodes           []NodePlan
	SidecarCount    int // before the first tier
	Classes         []fake.Class
	Quotas          []float64 // requests per second, by tenant
	Requests        []Request // in the order due
	Faults          []Fault
	LinkFaults      []LinkFault
	callsPerRequest []float64 // by tier: calls for each one of the tier before, on average
}

// NodePlan is a node that the day has from its start.
type NodePlan struct {
	Spec fake.NodeSpec
	Seed uint64
}

// Request is a request that is due, and how its client behaves. The tags are the names of printed plans.
type Request struct {
	schedule.Arrival
	Job               *fake.Job
	IdempotencyKey    string        `json:"Key"` // sent with each attempt
	IsOverQuota       bool          `json:"Over"`
	Value             float64       `json:"Worth"`   // value of a response within the latency objective
	MaxRetries        int           `json:"Retries"` // retries that the client sends at most
	AttemptTimeout    time.Duration `json:"Wait"`
	Backoff           time.Duration // before a retry; 0: it is sent at once
	HonoursRetryAfter bool          `json:"Honours"`
	LeaveAfter        time.Duration `json:"HangUp"` // the client leaves its first attempt after this; 0: it stays
}

// The sources of random numbers. Each draws for one matter, so that a change in one does not shift the others.
const (
	sourceNodes = iota + 1
	sourceArrivals
	sourceFaults
	sourceTenants
	sourceJobs
	sourceLinkFaults
)

// newRand is one of the sources for a seed.
func newRand(seed uint64, source uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, source)) }

// NewPlan draws a plan of a day. An error means that the day would be too large; it names the day.
func NewPlan(d *Day, seed uint64, demand float64) (*Plan, error) {
	p := &Plan{Day: d, Seed: seed, DemandFactor: demand}
	rng := newRand(seed, sourceNodes)
	for _, c := range d.Classes {
		p.Classes = append(p.Classes, fake.Class{Name: c.Name, Effect: effectsByName[c.Effect], Window: c.Window,
			Deadline: c.Deadline})
	}
	work := p.drawClassWork(rng)
	p.drawCalls(rng)
	p.drawNodes(rng)
	p.SidecarCount = int(drawInteger(d.Sidecars.Count, rng))
	p.computeCapacity(work)
	p.Rate = p.Capacity * d.Load.Utilization.At(rng.Float64()) * demand
	usage := p.drawTenants()
	p.drawFaults()
	p.drawLinkFaults()
	if err := p.drawRequests(work, usage); err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	return p, nil
}

// effectsByName are the effects by their names in day files.
var effectsByName = map[string]invariant.Effect{"safe": invariant.Safe, "keyed": invariant.IdempotencyKeyed, "unsafe": invariant.Unsafe}

// drawInteger draws a whole number from a range, both ends included.
func drawInteger(r tomlfile.NumberRange, rng *rand.Rand) float64 {
	return min(math.Floor(r.Lo+(r.Hi-r.Lo+1)*rng.Float64()), math.Floor(r.Hi))
}

// sidecarName is the name of a sidecar before the first tier.
func sidecarName(i int) string { return fmt.Sprintf("sidecar-%d", i+1) }

// longestDeadline is the longest deadline of all classes.
func (p *Plan) longestDeadline() (longest time.Duration) {
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Rules are the limits of the invariants for the day.
func (p *Plan) Rules() invariant.Rules {
	rules := invariant.Rules{
		MaxAttempts:           p.Day.Rules.MaxAttempts,
		Tolerance:             p.Day.Rules.Tolerance,
		DrainGrace:            p.Day.Rules.DrainGrace,
		ColdOverloadFactor:    p.Day.Rules.ColdOverloadFactor,
		ColdOverloadWindow:    p.Day.Rules.ColdOverloadWindow,
		ColdOverloadTolerance: fake.ColdOverloadTolerance,
		TermGrace:             termGrace,
	}
	for _, c := range p.Classes {
		rules.Classes = append(rules.Classes, invariant.Class{Name: c.Name, Effect: c.Effect, Window: c.Window})
	}
	return rules
}

// Print writes the whole plan as lines of JSON: the nodes and faults, then each request in the order due. The names are
// those that readers of printed plans know: strikes are faults, links the faults of links.
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
	}{1, p.Day.Name, p.Seed, p.DemandFactor, p.Capacity, p.Rate, p.SidecarCount, p.Quotas, p.Nodes, p.Faults, p.LinkFaults}
	if err := out.Encode(head); err != nil {
		return err
	}
	for _, request := range p.Requests {
		if err := out.Encode(request); err != nil {
			return err
		}
	}
	return nil
}
