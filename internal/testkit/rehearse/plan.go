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

func sidecarName(i int) string { return fmt.Sprintf("sidecar-%d", i+1) }

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
