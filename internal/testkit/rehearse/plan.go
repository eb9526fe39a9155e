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

// Plan holds all random choices of a run, which are drawn before the run starts. The same day, seed and demand factor give the same
// plan.
type Plan struct {
	Day             *Day
	Seed            uint64
	DemandFactor    float64 // factor on the demand that the day's file states
	Capacity        float64 // requests of clients per second that the nodes can serve when warmed up and without faults; retries do not count
	Rate            float64 // requests of clients per second that are due outside surges; retries do not count
	Nodes           []NodePlan
	SidecarCount    int // number of sidecars before the first tier
	Classes         []fake.Class
	Quotas          []float64 // quota of each tenant, in requests per second
	Requests        []Request // all requests, ordered by the instant at which they are due
	Faults          []Fault
	LinkFaults      []LinkFault
	callsPerRequest []float64 // for each tier, the mean number of calls to it by a request of the tier before
}

// NodePlan is a node that runs from the start of the day. Its fields are written to printed plans under their own names.
type NodePlan struct {
	Spec fake.NodeSpec
	Seed uint64 // seed of the random decisions of the node
}

// Request is a request that a client sends at a planned instant, and how the client behaves. The tags are the names of the
// fields in printed plans.
type Request struct {
	schedule.Arrival
	Job               *fake.Job     // work of the request, and of the calls that it causes in further tiers
	IdempotencyKey    string        `json:"Key"`     // idempotency key that the client sends with each attempt of a keyed class
	IsOverQuota       bool          `json:"Over"`    // whether the request exceeds its tenant's quota
	Value             float64       `json:"Worth"`   // priority weight of the class times the request's work in seconds, and times Day.Load.OverQuotaValueFactor if IsOverQuota; counts as served if the request is served within the latency objective
	MaxRetries        int           `json:"Retries"` // largest number of retries that the client sends
	AttemptTimeout    time.Duration `json:"Wait"`    // time after which the client gives up an attempt
	Backoff           time.Duration // delay before each retry; 0: retries are sent at once
	HonoursRetryAfter bool          `json:"Honours"` // whether the client waits for the time that Retry-After states
	DisconnectAfter   time.Duration `json:"HangUp"`  // time after which the client disconnects from its first attempt; 0: it waits for the response
}

// The parts of a plan that have a source of random numbers of their own, so that a change to one part does not change the others.
const (
	randSourceNodes      = iota + 1 // nodes, number of sidecars, utilization, and the mean work and calls of requests
	randSourceArrivals              // arrivals of requests, and the behaviour that all clients have in common
	randSourceFaults                // faults of nodes, sidecars, discovery and demand
	randSourceTenants               // quotas and demand of tenants
	randSourceJobs                  // work and client's behaviour of one request, with the seed of the request's Arrival
	randSourceLinkFaults            // faults of the links between sidecars
)

// newRand returns a source of random numbers for one part of a plan. The parameter source is the part, such as randSourceNodes.
func newRand(seed uint64, source uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, source)) }

// NewPlan draws the plan of a day. It returns an error, which names the day, if the day has too many requests or calls.
func NewPlan(d *Day, seed uint64, demandFactor float64) (*Plan, error) {
	p := &Plan{Day: d, Seed: seed, DemandFactor: demandFactor}
	rng := newRand(seed, randSourceNodes)
	for _, c := range d.Classes {
		p.Classes = append(p.Classes, fake.Class{Name: c.Name, Effect: effectsByName[c.Effect], Window: c.DeduplicationWindow,
			Deadline: c.Deadline})
	}
	work := p.drawClassWork(rng)
	p.drawCalls(rng)
	p.drawNodes(rng)
	p.SidecarCount = int(drawInteger(d.Sidecars.Count, rng))
	p.computeCapacity(work)
	p.Rate = p.Capacity * d.Load.Utilization.At(rng.Float64()) * demandFactor
	tenantWeights := p.drawTenants()
	p.drawFaults()
	p.drawLinkFaults()
	if err := p.drawRequests(work, tenantWeights); err != nil {
		return nil, fmt.Errorf("%s: %w", d.Name, err)
	}
	return p, nil
}

// effectsByName maps the names of effects in day files to the effects.
var effectsByName = map[string]invariant.Effect{"safe": invariant.Safe, "keyed": invariant.IdempotencyKeyed, "unsafe": invariant.NonIdempotent}

// drawInteger draws an integer from a range that includes both bounds.
func drawInteger(r tomlfile.NumberRange, rng *rand.Rand) float64 {
	return min(math.Floor(r.Lo+(r.Hi-r.Lo+1)*rng.Float64()), math.Floor(r.Hi))
}

// sidecarName returns the name of the sidecar with index i before the first tier.
func sidecarName(i int) string { return fmt.Sprintf("sidecar-%d", i+1) }

// longestDeadline returns the longest deadline of any class of requests.
func (p *Plan) longestDeadline() (longest time.Duration) {
	for _, c := range p.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// Rules returns the limits and the classes of requests with which the invariants are checked.
func (p *Plan) Rules() invariant.Rules {
	rules := invariant.Rules{
		MaxAttempts:           p.Day.Rules.MaxAttempts,
		Tolerance:             p.Day.Rules.Tolerance,
		DrainGrace:            p.Day.Rules.DrainGrace,
		ColdOverloadFactor:    p.Day.Rules.ColdOverloadFactor,
		ColdOverloadWindow:    p.Day.Rules.ColdOverloadWindow,
		ColdOverloadTolerance: fake.ColdOverloadTolerance,
		SigtermGrace:          sigtermGrace,
	}
	for _, c := range p.Classes {
		rules.Classes = append(rules.Classes, invariant.Class{Name: c.Name, Effect: c.Effect, Window: c.Window})
	}
	return rules
}

// Print writes the plan as lines of JSON: first a line with the nodes and the faults, then a line for each request in the order
// in which they are due. The field names of the first line are part of the output format: Strikes are faults, and Links are faults
// of links.
func (p *Plan) Print(w io.Writer) error {
	out := json.NewEncoder(w)
	firstLine := struct {
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
	if err := out.Encode(firstLine); err != nil {
		return err
	}
	for _, request := range p.Requests {
		if err := out.Encode(request); err != nil {
			return err
		}
	}
	return nil
}
