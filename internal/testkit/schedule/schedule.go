// Package schedule draws the instants at which the requests of an open-loop load test are due, and records latencies in
// histograms. Instants don't depend on responses, so latency can be measured from the instant at which a request was due. A
// closed loop instead stops sending while the server stalls, and so misses the time that requests would have waited (Tene,
// "How NOT to Measure Latency").
package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Burst multiplies an arrival rate for a limited time.
type Burst struct {
	Start    time.Duration // time from the start of the run to the start of the burst
	Duration time.Duration // duration of the burst, both ramps included
	Ramp     time.Duration // length of the linear rise of the rate at the start of the burst, and of its linear fall at the end; 0: the rate jumps
	Factor   float64       // factor by which the rate is multiplied between the two ramps
}

// factorAt returns the factor by which the burst multiplies the rate at an instant of the run; 1 before and after the burst.
func (b Burst) factorAt(instant time.Duration) float64 {
	elapsed, remaining := instant-b.Start, b.Start+b.Duration-instant
	switch {
	case elapsed < 0 || remaining <= 0:
		return 1
	case b.Ramp <= 0:
		return b.Factor
	}
	rampFraction := min(float64(elapsed)/float64(b.Ramp), float64(remaining)/float64(b.Ramp), 1)
	return 1 + (b.Factor-1)*rampFraction
}

// Rate is an arrival rate over time: a constant rate, multiplied by the factors of all bursts that are under way.
type Rate struct {
	PerSecond float64 // arrivals per second while no burst is under way
	Bursts    []Burst // bursts in any order; the factors of bursts that overlap are multiplied
}

// PerSecondAt returns the rate at an instant of the run, in arrivals per second. The rate includes the bursts that are under way at
// that instant.
func (r Rate) PerSecondAt(instant time.Duration) float64 {
	rate := r.PerSecond
	for _, b := range r.Bursts {
		rate *= b.factorAt(instant)
	}
	return rate
}

// upperBound returns a rate, in arrivals per second, that PerSecondAt never exceeds.
func (r Rate) upperBound() float64 {
	bound := r.PerSecond
	for _, b := range r.Bursts {
		bound *= max(b.Factor, 1)
	}
	return bound
}

// Arrival is a request that is due at a given instant. Plan files of rehearsals store it as JSON.
type Arrival struct {
	At     time.Duration // instant at which the request is due, from the start of the run
	Class  int           // index of the request's class in Mix.Classes
	Tenant int           // index of the request's tenant in Mix.Tenants
	// Seed is the seed from which other random properties of the request are drawn, so that these properties don't depend on the
	// order in which requests are handled.
	Seed uint64 `json:"Draw"`
}

// Mix describes the arrivals of a run: their rate over time, and how they are divided among classes and tenants.
type Mix struct {
	Rate        Rate
	Length      time.Duration // duration of the run
	Classes     []float64     // relative frequency of each request class; empty: all arrivals have class 0
	Tenants     []float64     // relative frequency of each tenant; empty: all arrivals have tenant 0
	MaxArrivals int           // number of arrivals above which DrawArrivals returns an error, to bound memory
}

// DrawArrivals draws the arrivals of a run as a Poisson process by thinning (Lewis and Shedler, 1979), in order of time. Random
// number generators in the same state give the same arrivals.
func DrawArrivals(rng *rand.Rand, m Mix) ([]Arrival, error) {
	bound := m.Rate.upperBound()
	if bound <= 0 || math.IsInf(bound, 0) || math.IsNaN(bound) {
		return nil, fmt.Errorf("an arrival rate of up to %v per second is not positive and finite", bound)
	}
	// The upper bound of the rate may exceed the mean rate by far. Therefore a mix is rejected here, before any arrival is drawn, only
	// if a constant rate at that bound would give more than four times MaxArrivals.
	if expectedCandidates := bound * m.Length.Seconds(); expectedCandidates > 4*float64(m.MaxArrivals) {
		return nil, fmt.Errorf("the schedule may have up to %.0f arrivals, far more than the limit of %d", expectedCandidates, m.MaxArrivals)
	}
	var arrivals []Arrival
	for seconds := 0.0; ; {
		seconds += rng.ExpFloat64() / bound
		instant := time.Duration(seconds * float64(time.Second))
		if instant >= m.Length {
			return arrivals, nil
		}
		if rng.Float64()*bound >= m.Rate.PerSecondAt(instant) {
			continue // thinning: a candidate is accepted with the probability rate/bound
		}
		if len(arrivals) == m.MaxArrivals {
			return nil, fmt.Errorf("the schedule has more arrivals than the limit of %d", m.MaxArrivals)
		}
		arrivals = append(arrivals, Arrival{At: instant, Class: PickWeighted(rng, m.Classes), Tenant: PickWeighted(rng, m.Tenants), Seed: rng.Uint64()})
	}
}

// PickWeighted draws an index of weights, each with a probability in proportion to its weight. It returns 0 if weights is
// empty.
func PickWeighted(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	remaining := rng.Float64() * sum
	for i, w := range weights {
		if remaining -= w; remaining < 0 {
			return i
		}
	}
	return max(len(weights)-1, 0) // rounding errors can leave a remainder after the last weight; if so, the last index is drawn
}

// Dispatch calls send for each arrival at the instant at which it is due, until all are sent or stop is closed. i is the
// arrival's index. send must not block: the schedule must not depend on the outcome of earlier requests.
func Dispatch(start time.Time, arrivals []Arrival, stop <-chan struct{}, send func(i int, due time.Time)) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i, a := range arrivals {
		due := start.Add(a.At)
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-stop:
				return
			case <-timer.C:
			}
		}
		send(i, due)
	}
}
