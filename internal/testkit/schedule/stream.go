package schedule

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Point is the arrival rate at one instant of a Curve.
type Point struct {
	At        time.Duration // time from the start of the run
	PerSecond float64       // arrivals per second at the instant At, from 0 to maxRate
}

// Curve is an arrival rate over time, given by points in order of time. Between two points the rate is interpolated linearly;
// two points at the same instant make a step. Before the first point the rate is that of the first point, and after the last point
// that of the last point.
type Curve []Point

// Steady returns the curve of a constant rate.
func Steady(perSecond float64) Curve { return Curve{{0, perSecond}} }

func (c Curve) validate() error {
	if len(c) == 0 {
		return errors.New("the rate curve has no points")
	}
	for i, p := range c {
		switch {
		case math.IsNaN(p.PerSecond) || p.PerSecond < 0 || p.PerSecond > maxRate:
			return fmt.Errorf("point %d of the rate curve: a rate of %v is not from 0 to %v per second", i, p.PerSecond, float64(maxRate))
		case p.At < 0 || i > 0 && p.At < c[i-1].At:
			return fmt.Errorf("point %d of the rate curve: the points are not in order of time at %v", i, p.At)
		}
	}
	return nil
}

// Gaps is the distribution of the times between arrivals at a given rate.
type Gaps uint8

// The distributions of the times between arrivals.
const (
	Even        Gaps = iota // all gaps have the same length
	Exponential             // gaps have exponentially distributed lengths, as in a Poisson process
	Pareto                  // gaps have Pareto-distributed lengths: a few long gaps, and clusters of arrivals between them
	OnOff                   // a Poisson process that is switched on and off, each time for an exponentially distributed time
)

// Process is a random process of arrivals. Its mean rate follows Rate, whatever the distribution of the gaps.
type Process struct {
	Rate Curve         // mean arrival rate over time
	Gaps Gaps          // distribution of the times between arrivals
	Tail float64       // exponent of the Pareto distribution, over 1; lower values give more extreme gaps; unused for other gaps
	On   time.Duration // mean length of OnOff's phases with arrivals; unused for other gaps
	Off  time.Duration // mean length of OnOff's phases without arrivals; unused for other gaps
}

// maxRate is the highest rate of a Curve, in arrivals per second. Instants are whole nanoseconds, so at higher rates too many
// arrivals would have the same instant.
const maxRate = 1_000_000

// Stream generates the arrivals of a Process one by one, in order of time, without storing them.
type Stream struct {
	process Process
	rng     *rand.Rand

	hasDrawnFirstGap bool    // whether drawGap has returned the first gap of a process with Even gaps
	now              float64 // seconds from the start of the run up to which arrivals have been generated
	nextPoint        int     // index of the first point of the rate curve after the instant up to which arrivals have been generated
	isOn             bool    // whether the present phase of OnOff has arrivals
	phaseEnd         float64 // seconds from the start of the run to the end of the present OnOff phase; infinite for other gaps
}

// NewStream returns a Stream of arrivals from instant 0 of a run on. Random number generators in the same state give the same
// arrivals.
func NewStream(rng *rand.Rand, p Process) (*Stream, error) {
	if err := p.Rate.validate(); err != nil {
		return nil, err
	}
	s := &Stream{process: p, rng: rng, phaseEnd: math.Inf(1)}
	switch p.Gaps {
	case Pareto:
		if !(p.Tail > 1) || math.IsInf(p.Tail, 1) {
			return nil, fmt.Errorf("a Pareto exponent of %v is not finite and over 1", p.Tail)
		}
	case OnOff:
		if p.On <= 0 || p.Off <= 0 {
			return nil, fmt.Errorf("mean on and off phases of %v and %v are not both over 0", p.On, p.Off)
		}
		// The first phase is drawn from the stationary distribution, so that the mean rate is right from the start.
		s.isOn = rng.Float64() < onFraction(p.On, p.Off)
		s.phaseEnd = s.drawPhaseEnd()
	}
	return s, nil
}

// onFraction returns the fraction of time that an OnOff process spends in phases with arrivals.
func onFraction(on, off time.Duration) float64 { return on.Seconds() / (on + off).Seconds() }

// drawPhaseEnd draws the end of the current phase of OnOff. Exponential lengths are memoryless, so it makes no difference
// whether the phase begins now or is under way.
func (s *Stream) drawPhaseEnd() float64 {
	meanLength := s.process.Off
	if s.isOn {
		meanLength = s.process.On
	}
	return s.now + meanLength.Seconds()*s.rng.ExpFloat64()
}

// drawGap draws the gap to the next arrival, in units of the mean gap at the current rate.
func (s *Stream) drawGap() float64 {
	switch s.process.Gaps {
	case Exponential, OnOff:
		return s.rng.ExpFloat64()
	case Pareto:
		minGap := (s.process.Tail - 1) / s.process.Tail // lower bound of the Pareto distribution whose mean is 1
		return minGap / math.Pow(1-s.rng.Float64(), 1/s.process.Tail)
	}
	if !s.hasDrawnFirstGap { // the first gap of Even is half a gap, so that a run as long as n gaps has n arrivals
		s.hasDrawnFirstGap = true
		return 0.5
	}
	return 1
}

// Next returns the time from the start of the run to the next arrival; ok is false if there is no further arrival before end.
func (s *Stream) Next(end time.Duration) (instant time.Duration, ok bool) {
	// The integral of the rate from s.now to the next arrival equals the drawn gap, in units of the mean gap. The integral is
	// evaluated for one linear segment of the rate after another.
	remaining := s.drawGap()
	for {
		segmentEnd, rateNow, rateAtEnd := s.segment(end.Seconds())
		if segmentEnd <= s.now && segmentEnd >= end.Seconds() {
			return 0, false
		}
		length := segmentEnd - s.now
		integral := (rateNow + rateAtEnd) / 2 * length
		if integral > remaining {
			s.now += timeToArrivals(remaining, rateNow, (rateAtEnd-rateNow)/length)
			return time.Duration(s.now * float64(time.Second)), s.now < end.Seconds()
		}
		remaining -= integral
		s.advance(segmentEnd)
		if s.now >= end.Seconds() {
			return 0, false
		}
	}
}

// segment finds the longest linear segment of the rate that begins at s.now and ends at latestEnd at the latest. It returns the end
// of the segment in seconds from the start of the run, and the rates at s.now and at the end of the segment, in arrivals per second.
func (s *Stream) segment(latestEnd float64) (end, rateNow, rateAtEnd float64) {
	curve := s.process.Rate
	for s.nextPoint < len(curve) && curve[s.nextPoint].At.Seconds() <= s.now {
		s.nextPoint++
	}
	end = min(latestEnd, s.phaseEnd)
	switch {
	case s.nextPoint == len(curve):
		rateNow = curve[len(curve)-1].PerSecond
		rateAtEnd = rateNow
	case s.nextPoint == 0:
		rateNow = curve[0].PerSecond
		rateAtEnd, end = rateNow, min(end, curve[0].At.Seconds())
	default:
		a, b := curve[s.nextPoint-1], curve[s.nextPoint]
		end = min(end, b.At.Seconds())
		slope := (b.PerSecond - a.PerSecond) / (b.At - a.At).Seconds()
		rateNow = a.PerSecond + slope*(s.now-a.At.Seconds())
		rateAtEnd = a.PerSecond + slope*(end-a.At.Seconds())
	}
	if s.process.Gaps == OnOff {
		onOffFactor := 0.0
		if s.isOn {
			onOffFactor = 1 / onFraction(s.process.On, s.process.Off)
		}
		rateNow, rateAtEnd = rateNow*onOffFactor, rateAtEnd*onOffFactor
	}
	return end, max(rateNow, 0), max(rateAtEnd, 0)
}

// advance sets s.now to an instant in seconds from the start of the run, and switches to the OnOff phase of that instant.
func (s *Stream) advance(instant float64) {
	s.now = instant
	for s.now >= s.phaseEnd {
		s.isOn = !s.isOn
		s.phaseEnd = s.drawPhaseEnd()
	}
}

// timeToArrivals returns the seconds in which n arrivals are expected if the rate per second begins at rate and changes by
// slope in each second.
func timeToArrivals(n, rate, slope float64) float64 {
	if math.Abs(slope)*n < 1e-12*rate*rate { // the rate is constant within the precision of a float64
		return n / rate
	}
	return 2 * n / (rate + math.Sqrt(max(rate*rate+2*slope*n, 0)))
}
