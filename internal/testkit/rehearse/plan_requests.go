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
	// maxRequests bounds a plan: with three tiers a request was seen to take 24 kB of memory, its timeline included.
	maxRequests = 100_000
	// maxCalls bounds the requests of all tiers together: each has at least five events in the timeline.
	maxCalls = maxEvents / 5
	// maxWorkFactor bounds one draw of work, in means: a lognormal distribution has no bound of its own.
	maxWorkFactor = 10
	// surgeRampFraction is the share of its length over which a surge rises, and over which it falls.
	surgeRampFraction = 0.1
)

// classWork is the mean work of a class on the day, and its mean wait on others.
type classWork struct{ work, wait time.Duration }

func (p *Plan) drawClassWork(rng *rand.Rand) []classWork {
	var out []classWork
	for _, c := range p.Day.Classes {
		out = append(out, classWork{c.Work.At(rng.Float64()), c.ExternalWait.At(rng.Float64())})
	}
	return out
}

func (p *Plan) drawCalls(rng *rand.Rand) {
	for i, tier := range p.Day.Tiers {
		calls := tier.CallsPerRequest.At(rng.Float64())
		if i == 0 {
			calls = 1
		}
		p.callsPerRequest = append(p.callsPerRequest, calls)
	}
}

// drawTenants draws the quota of each tenant, and returns each one's relative weight in the traffic.
func (p *Plan) drawTenants() (usage []float64) {
	rng := newRand(p.Seed, sourceTenants)
	shares := 0.0
	for _, t := range p.Day.Tenants {
		shares += t.Proportion
	}
	quota := p.Capacity * p.Day.Load.TotalQuotaFraction.At(rng.Float64())
	for _, t := range p.Day.Tenants {
		p.Quotas = append(p.Quotas, quota*t.Proportion/shares)
		usage = append(usage, t.Proportion*t.DemandFraction.At(rng.Float64()))
	}
	return usage
}

func (p *Plan) drawRequests(work []classWork, usage []float64) error {
	rng := newRand(p.Seed, sourceArrivals)
	arrivals, err := p.drawArrivals(rng, usage)
	if err != nil {
		return err
	}
	behaviour := p.drawClientBehaviour(rng)
	quotas := newQuotaBuckets(p.Quotas)
	for _, a := range arrivals {
		request := p.drawRequest(a, work[a.Class], behaviour)
		request.Value = p.Day.Classes[a.Class].PriorityWeight * request.Job.TotalWork().Seconds()
		if request.IsOverQuota = !quotas.takeToken(a.Tenant, a.At); request.IsOverQuota {
			request.Value *= p.Day.Load.OverQuotaValueFactor
		}
		p.Requests = append(p.Requests, request)
	}
	return nil
}

// drawArrivals draws when requests are due. An error means that there are too many of them, or of calls in all tiers.
func (p *Plan) drawArrivals(rng *rand.Rand, usage []float64) ([]schedule.Arrival, error) {
	rate := schedule.Rate{PerSecond: p.Rate}
	for _, fault := range p.Faults {
		if fault.Kind == "surge" {
			rate.Bursts = append(rate.Bursts, schedule.Burst{Start: fault.Start, Duration: fault.Duration,
				Ramp: time.Duration(surgeRampFraction * float64(fault.Duration)), Factor: fault.Magnitude})
		}
	}
	var shares []float64
	for _, c := range p.Day.Classes {
		shares = append(shares, c.Proportion)
	}
	arrivals, err := schedule.DrawArrivals(rng, schedule.Mix{Rate: rate, Length: p.Day.Length, Classes: shares, Tenants: usage,
		MaxArrivals: maxRequests})
	if err != nil {
		return nil, err
	}
	perRequest, calls := 0.0, 1.0
	for _, n := range p.callsPerRequest {
		calls *= n
		perRequest += calls
	}
	if all := perRequest * float64(len(arrivals)); all > maxCalls {
		return nil, fmt.Errorf("%.0f calls in all tiers, %d are the most that a day may have", all, maxCalls)
	}
	return arrivals, nil
}

// clientBehaviour is how the clients of the day behave.
type clientBehaviour struct {
	maxRetries               int
	attemptTimeoutFraction   float64
	backoff                  time.Duration
	honourRetryAfterFraction float64
	earlyLeaveFraction       float64
}

// drawClientBehaviour draws in an order that is part of what a seed means.
func (p *Plan) drawClientBehaviour(rng *rand.Rand) (b clientBehaviour) {
	clients := &p.Day.Clients
	b.maxRetries = int(drawInteger(clients.Retries, rng))
	b.attemptTimeoutFraction = clients.AttemptTimeoutFraction.At(rng.Float64())
	b.backoff = clients.Backoff.At(rng.Float64())
	b.honourRetryAfterFraction = clients.HonourRetryAfterFraction.At(rng.Float64())
	b.earlyLeaveFraction = clients.EarlyLeaveFraction.At(rng.Float64())
	return b
}

// drawRequest draws a request from the arrival's own source, without its worth.
func (p *Plan) drawRequest(a schedule.Arrival, mean classWork, b clientBehaviour) Request {
	rng := newRand(a.Seed, sourceJobs)
	deadline := p.Day.Classes[a.Class].Deadline
	request := Request{Arrival: a, MaxRetries: b.maxRetries, AttemptTimeout: time.Duration(b.attemptTimeoutFraction * float64(deadline))}
	request.Job = p.drawJob(rng, a.Class, 0, mean)
	request.IdempotencyKey = fmt.Sprintf("%016x%016x", rng.Uint64(), rng.Uint64())
	if rng.Float64() >= p.Day.Clients.ImmediateRetryFraction {
		request.Backoff = b.backoff
	}
	request.HonoursRetryAfter = rng.Float64() < b.honourRetryAfterFraction
	if rng.Float64() < b.earlyLeaveFraction {
		request.LeaveAfter = time.Duration(rng.Float64() * float64(request.AttemptTimeout))
	}
	return request
}

// quotaBuckets are a token bucket for each tenant, which holds the requests of a second.
type quotaBuckets struct {
	quotas    []float64 // per second
	tokens    []float64
	updatedAt []time.Duration // when tokens was right
}

func newQuotaBuckets(quotas []float64) *quotaBuckets {
	b := &quotaBuckets{quotas: quotas, tokens: make([]float64, len(quotas)), updatedAt: make([]time.Duration, len(quotas))}
	for i, quota := range quotas {
		b.tokens[i] = max(quota, 1)
	}
	return b
}

// takeToken takes a token of a tenant, and is false where there is none.
func (b *quotaBuckets) takeToken(tenant int, at time.Duration) bool {
	quota := b.quotas[tenant]
	b.tokens[tenant] = min(b.tokens[tenant]+quota*(at-b.updatedAt[tenant]).Seconds(), max(quota, 1))
	b.updatedAt[tenant] = at
	if b.tokens[tenant] < 1 {
		return false
	}
	b.tokens[tenant]--
	return true
}

// drawJob draws a request's work at a tier and at those behind it.
func (p *Plan) drawJob(rng *rand.Rand, class, tier int, mean classWork) *fake.Job {
	share := p.Day.Tiers[tier].WorkFraction
	job := &fake.Job{
		Work: time.Duration(float64(mean.work) * share * lognormal(rng, p.Day.Classes[class].WorkVariation)),
		Wait: time.Duration(float64(mean.wait) * share),
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

// lognormal draws from a lognormal distribution with mean 1 and the given coefficient of variation, up to a bound.
func lognormal(rng *rand.Rand, cv float64) float64 {
	variance := math.Log(1 + cv*cv)
	return min(math.Exp(rng.NormFloat64()*math.Sqrt(variance)-variance/2), maxWorkFactor)
}
