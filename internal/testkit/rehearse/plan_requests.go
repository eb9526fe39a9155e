package rehearse

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/schedule"
)

// maxRequests bounds a plan: with three tiers a first try was seen to take 24 kB of the rehearsal, timeline and all.
const maxRequests = 100_000

// maxCalls bounds the requests of all tiers together: each leaves five events at least in the timeline.
const maxCalls = maxEvents / 5

// surgeRampShare is over how much of its length a surge rises, and falls.
const surgeRampShare = 0.1

// maxWorkFactor bounds one draw of work, in means: a lognormal has no end.
const maxWorkFactor = 10

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
