// Package schedule draws open-loop arrivals ahead of a run and counts latency from the instant at which each was due:
// a stalled server must not hide its own queue (Tene, "How NOT to Measure Latency").
package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Burst multiplies a rate for a while. It rises and falls evenly over Ramp at either end.
type Burst struct {
	At, For, Ramp time.Duration
	Factor        float64
}

// factor is what the surge makes of the rate at an instant.
func (s Burst) factor(at time.Duration) float64 {
	in, left := at-s.At, s.At+s.For-at
	switch {
	case in < 0 || left <= 0:
		return 1
	case s.Ramp <= 0:
		return s.Factor
	}
	share := min(float64(in)/float64(s.Ramp), float64(left)/float64(s.Ramp), 1)
	return 1 + (s.Factor-1)*share
}

// Rate is a rate of arrivals over time. Bursts that overlap multiply.
type Rate struct {
	PerSecond float64
	Bursts    []Burst
}

// At is the rate at an instant, in arrivals a second.
func (r Rate) At(at time.Duration) float64 {
	rate := r.PerSecond
	for _, s := range r.Bursts {
		rate *= s.factor(at)
	}
	return rate
}

// peak is a bound that At never passes.
func (r Rate) peak() float64 {
	peak := r.PerSecond
	for _, s := range r.Bursts {
		peak *= max(s.Factor, 1)
	}
	return peak
}

// Arrival is one request that is due.
type Arrival struct {
	At     time.Duration // since the start of the run
	Class  int
	Tenant int
	Seed   uint64 // seeds whatever else is drawn for this arrival, so that order does not matter there
}

// Mix says what arrives. Shares are relative weights, of one class or tenant at least.
type Mix struct {
	Rate            Rate
	Length          time.Duration
	Classes, Tenant []float64
	MaxArrivals     int // arrivals; more are an error, so that memory has a bound
}

// Draw draws a Poisson process of the given rate by thinning (Lewis and Shedler, 1979). The same source gives the same
// arrivals, in order of their instants.
func Draw(rng *rand.Rand, m Mix) ([]Arrival, error) {
	peak := m.Rate.peak()
	if peak <= 0 || math.IsInf(peak, 0) || math.IsNaN(peak) {
		return nil, fmt.Errorf("a rate of %v a second can't be drawn", peak)
	}
	if expect := peak * m.Length.Seconds(); expect > 4*float64(m.MaxArrivals) {
		return nil, fmt.Errorf("up to %.0f arrivals, at most %d are drawn", expect, m.MaxArrivals)
	}
	var out []Arrival
	for at := 0.0; ; {
		at += rng.ExpFloat64() / peak
		instant := time.Duration(at * float64(time.Second))
		if instant >= m.Length {
			return out, nil
		}
		if rng.Float64()*peak >= m.Rate.At(instant) {
			continue
		}
		if len(out) == m.MaxArrivals {
			return nil, fmt.Errorf("more than %d arrivals", m.MaxArrivals)
		}
		out = append(out, Arrival{At: instant, Class: Pick(rng, m.Classes), Tenant: Pick(rng, m.Tenant), Seed: rng.Uint64()})
	}
}

// Pick draws an index by weight.
func Pick(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return max(len(weights)-1, 0)
}

// Dispatch says when each arrival is due, to a function that must not block, until all have been handed over or stop is
// closed. It never waits for anything but the clock: what became of the ones before does not matter.
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
