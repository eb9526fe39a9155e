package rehearse

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/schedule"
)

const (
	// maxRequests is the largest number of client requests of a day. It bounds the memory of a run: with three tiers a request takes
	// 24 kB, including its events in the timeline.
	maxRequests = 100_000
	// maxCalls bounds the expected number of calls that all requests of a day cause in all tiers together. Each call has at least five
	// events in the timeline, which holds maxEvents.
	maxCalls = maxEvents / 5
	// maxWorkFactor is the largest work that is drawn for a call, as a multiple of the mean, since a lognormal distribution is
	// unbounded.
	maxWorkFactor = 10
	// surgeRampFraction is the fraction of a surge's duration in which demand rises at the surge's start, and in which it falls at
	// the end.
	surgeRampFraction = 0.1
)

// classWork holds the mean work of the requests of a class, and their mean wait for other systems.
type classWork struct{ work, wait time.Duration }

// drawClassWork draws the mean work and wait of each class.
func (p *Plan) drawClassWork(rng *rand.Rand) []classWork {
	var out []classWork
	for _, c := range p.Day.Classes {
		out = append(out, classWork{c.Work.At(rng.Float64()), c.ExternalWait.At(rng.Float64())})
	}
	return out
}

// drawCalls draws, for each tier, the mean number of calls to this tier that a request of the tier before makes.
func (p *Plan) drawCalls(rng *rand.Rand) {
	for i, tier := range p.Day.Tiers {
		calls := tier.CallsPerRequest.At(rng.Float64())
		if i == 0 {
			calls = 1
		}
		p.callsPerRequest = append(p.callsPerRequest, calls)
	}
}

// drawTenants draws the quota of each tenant, and returns the relative number of requests of each tenant.
func (p *Plan) drawTenants() (tenantWeights []float64) {
	rng := newRand(p.Seed, randSourceTenants)
	totalProportion := 0.0
	for _, t := range p.Day.Tenants {
		totalProportion += t.Proportion
	}
	totalQuota := p.Capacity * p.Day.Load.TotalQuotaFraction.At(rng.Float64())
	for _, t := range p.Day.Tenants {
		p.Quotas = append(p.Quotas, totalQuota*t.Proportion/totalProportion)
		tenantWeights = append(tenantWeights, t.Proportion*t.RelativeDemand.At(rng.Float64()))
	}
	return tenantWeights
}

// drawRequests draws all requests of the day. An error means that there are too many requests or calls; see drawArrivals.
func (p *Plan) drawRequests(work []classWork, tenantWeights []float64) error {
	rng := newRand(p.Seed, randSourceArrivals)
	arrivals, err := p.drawArrivals(rng, tenantWeights)
	if err != nil {
		return err
	}
	behaviour := p.drawClientBehaviour(rng)
	buckets := newQuotaBuckets(p.Quotas)
	for _, a := range arrivals {
		request := p.drawRequest(a, work[a.Class], behaviour)
		request.Value = p.Day.Classes[a.Class].PriorityWeight * request.Job.TotalWork().Seconds()
		if request.IsOverQuota = !buckets.takeToken(a.Tenant, a.At); request.IsOverQuota {
			request.Value *= p.Day.Load.OverQuotaValueFactor
		}
		p.Requests = append(p.Requests, request)
	}
	return nil
}

// drawArrivals draws when requests are due. An error means that there are too many requests, or too many calls in all tiers.
func (p *Plan) drawArrivals(rng *rand.Rand, tenantWeights []float64) ([]schedule.Arrival, error) {
	rate := schedule.Rate{PerSecond: p.Rate}
	for _, fault := range p.Faults {
		if fault.Kind == "surge" {
			rate.Bursts = append(rate.Bursts, schedule.Burst{Start: fault.Start, Duration: fault.Duration,
				Ramp: time.Duration(surgeRampFraction * float64(fault.Duration)), Factor: fault.Magnitude})
		}
	}
	var classWeights []float64
	for _, c := range p.Day.Classes {
		classWeights = append(classWeights, c.Proportion)
	}
	arrivals, err := schedule.DrawArrivals(rng, schedule.Mix{Rate: rate, Length: p.Day.Length, Classes: classWeights,
		Tenants: tenantWeights, MaxArrivals: maxRequests})
	if err != nil {
		return nil, err
	}
	callsInAllTiers := 0.0 // mean number of calls that a client's request causes in the tiers added so far
	callsInTier := 1.0     // mean number of calls that a client's request causes in the tier that was added last
	for _, n := range p.callsPerRequest {
		callsInTier *= n
		callsInAllTiers += callsInTier
	}
	if totalCalls := callsInAllTiers * float64(len(arrivals)); totalCalls > maxCalls {
		return nil, fmt.Errorf("%.0f calls in all tiers, %d are the most that a day may have", totalCalls, maxCalls)
	}
	return arrivals, nil
}

// clientBehaviour holds values that are drawn once for all clients of the day, each from the range in the field of Day.Clients with
// the same name.
type clientBehaviour struct {
	maxRetries               int
	attemptTimeoutFraction   float64
	backoff                  time.Duration
	honourRetryAfterFraction float64
	earlyDisconnectFraction  float64
}

// drawClientBehaviour draws the behaviour of the clients. A change of the order of its draws changes the plan of a seed.
func (p *Plan) drawClientBehaviour(rng *rand.Rand) (b clientBehaviour) {
	clients := &p.Day.Clients
	b.maxRetries = int(drawInteger(clients.MaxRetries, rng))
	b.attemptTimeoutFraction = clients.AttemptTimeoutFraction.At(rng.Float64())
	b.backoff = clients.Backoff.At(rng.Float64())
	b.honourRetryAfterFraction = clients.HonourRetryAfterFraction.At(rng.Float64())
	b.earlyDisconnectFraction = clients.EarlyDisconnectFraction.At(rng.Float64())
	return b
}

// drawRequest draws the request of an arrival, from a source of random numbers whose seed is Arrival.Seed. It does not set
// Request.Value and Request.IsOverQuota.
func (p *Plan) drawRequest(a schedule.Arrival, mean classWork, b clientBehaviour) Request {
	rng := newRand(a.Seed, randSourceJobs)
	deadline := p.Day.Classes[a.Class].Deadline
	request := Request{Arrival: a, MaxRetries: b.maxRetries, AttemptTimeout: time.Duration(b.attemptTimeoutFraction * float64(deadline))}
	request.Job = p.drawJob(rng, a.Class, 0, mean)
	request.IdempotencyKey = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	if rng.Float64() >= p.Day.Clients.ImmediateRetryFraction {
		request.Backoff = b.backoff
	}
	request.HonoursRetryAfter = rng.Float64() < b.honourRetryAfterFraction
	if rng.Float64() < b.earlyDisconnectFraction {
		request.DisconnectAfter = time.Duration(rng.Float64() * float64(request.AttemptTimeout))
	}
	return request
}

// quotaBuckets holds a token bucket for each tenant, with a capacity of one second's quota and at least one request.
type quotaBuckets struct {
	quotas    []float64       // quota of each tenant, in requests per second
	tokens    []float64       // number of tokens of each tenant as of updatedAt; a request within the quota takes one token
	updatedAt []time.Duration // for each tenant, the time from the start of the day to the latest update of its tokens
}

// newQuotaBuckets returns full buckets for the quotas of all tenants.
func newQuotaBuckets(quotas []float64) *quotaBuckets {
	b := &quotaBuckets{quotas: quotas, tokens: make([]float64, len(quotas)), updatedAt: make([]time.Duration, len(quotas))}
	for i, quota := range quotas {
		b.tokens[i] = max(quota, 1)
	}
	return b
}

// takeToken takes a token of a tenant at now, a time since the start of the day. It returns false if the tenant has no token.
func (b *quotaBuckets) takeToken(tenant int, now time.Duration) bool {
	quota := b.quotas[tenant]
	b.tokens[tenant] = min(b.tokens[tenant]+quota*(now-b.updatedAt[tenant]).Seconds(), max(quota, 1))
	b.updatedAt[tenant] = now
	if b.tokens[tenant] < 1 {
		return false
	}
	b.tokens[tenant]--
	return true
}

// drawJob draws the work of one call to a tier, and recursively the jobs of its calls to the next tier.
func (p *Plan) drawJob(rng *rand.Rand, class, tier int, mean classWork) *fake.Job {
	workFraction := p.Day.Tiers[tier].WorkFraction
	job := &fake.Job{
		Work: time.Duration(float64(mean.work) * workFraction * lognormal(rng, p.Day.Classes[class].WorkVariation)),
		Wait: time.Duration(float64(mean.wait) * workFraction),
	}
	if tier+1 < len(p.Day.Tiers) {
		calls := p.callsPerRequest[tier+1]
		n := int(calls)
		if rng.Float64() < calls-float64(n) {
			n++
		}
		for range n {
			job.Calls = append(job.Calls, p.drawJob(rng, class, tier+1, mean))
		}
	}
	return job
}

// lognormal draws from a lognormal distribution with mean 1 and the coefficient of variation cv. It returns maxWorkFactor in place
// of greater values.
func lognormal(rng *rand.Rand, cv float64) float64 {
	variance := math.Log(1 + cv*cv)
	return min(math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2), maxWorkFactor)
}
