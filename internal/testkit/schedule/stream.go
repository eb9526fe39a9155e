package schedule

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Point is a rate that holds at an instant. Between two points the rate goes straight from one to the other.
type Point struct {
	At        time.Duration
	PerSecond float64
}

// Curve is a rate over time, by points in order of their instants; two at one instant make a step. Before the first and
// after the last point it is theirs.
type Curve []Point

// Steady is a rate that never changes.
func Steady(perSecond float64) Curve { return Curve{{0, perSecond}} }

func (c Curve) check() error {
	if len(c) == 0 {
		return errors.New("a rate has no points")
	}
	for i, p := range c {
		switch {
		case math.IsNaN(p.PerSecond) || p.PerSecond < 0 || p.PerSecond > mostRate:
			return fmt.Errorf("point %d: a rate of %v is not from 0 to %v a second", i, p.PerSecond, float64(mostRate))
		case p.At < 0 || i > 0 && p.At < c[i-1].At:
			return fmt.Errorf("point %d: %v is not in order", i, p.At)
		}
	}
	return nil
}

// Gaps says how arrivals follow one another at a given rate.
type Gaps uint8

// The kinds.
const (
	Even        Gaps = iota // all alike
	Exponential             // a Poisson process
	Pareto                  // a heavy tail: few long silences and crowds between them; Tail is the exponent
	OnOff                   // a Poisson process that is on and off by turns of exponential lengths, with On and Off for means
)

// Process is a process of arrivals. Its rate over time is the Curve's, whatever its gaps.
type Process struct {
	Rate    Curve
	Gaps    Gaps
	Tail    float64       // of Pareto: over 1; the nearer to 1, the wilder
	On, Off time.Duration // of OnOff
}

const mostRate = 1_000_000 // arrivals a second; beyond it instants of whole nanoseconds crowd

// Stream gives a process's arrivals one by one, in order, and holds none of them.
type Stream struct {
	p   Process
	rng *rand.Rand

	begun bool
	at    float64 // seconds
	next  int     // point of the curve that comes next
	// Of OnOff:
	on    bool
	until float64 // seconds: the phase ends
}

// NewStream starts a process. The same source gives the same arrivals.
func NewStream(rng *rand.Rand, p Process) (*Stream, error) {
	if err := p.Rate.check(); err != nil {
		return nil, err
	}
	s := &Stream{p: p, rng: rng, until: math.Inf(1)}
	switch p.Gaps {
	case Pareto:
		if !(p.Tail > 1) || math.IsInf(p.Tail, 1) {
			return nil, fmt.Errorf("a tail of %v is not over 1", p.Tail)
		}
	case OnOff:
		if p.On <= 0 || p.Off <= 0 {
			return nil, fmt.Errorf("phases of %v and %v are not both over 0", p.On, p.Off)
		}
		// The first phase is one that an observer would meet, so that the rate holds from the start on.
		s.on = rng.Float64() < share(p.On, p.Off)
		s.until = s.phase()
	}
	return s, nil
}

func share(on, off time.Duration) float64 { return on.Seconds() / (on + off).Seconds() }

// phase draws the end of the phase that begins now. Exponential lengths have no memory: that of one met on its way is the
// same.
func (s *Stream) phase() float64 {
	mean := s.p.Off
	if s.on {
		mean = s.p.On
	}
	return s.at + mean.Seconds()*s.rng.ExpFloat64()
}

// gap draws how many arrivals at the mean rate would fit until the next one; its mean is 1.
func (s *Stream) gap() float64 {
	switch s.p.Gaps {
	case Exponential, OnOff:
		return s.rng.ExpFloat64()
	case Pareto:
		least := (s.p.Tail - 1) / s.p.Tail
		return least / math.Pow(1-s.rng.Float64(), 1/s.p.Tail)
	}
	if !s.begun { // in the middle of a gap, so that a whole number of them is as many arrivals
		s.begun = true
		return 0.5
	}
	return 1
}

// Next gives the next arrival; ok is false where none is to come before the instant given.
func (s *Stream) Next(end time.Duration) (at time.Duration, ok bool) {
	left := s.gap()
	for {
		until, from, to := s.segment(end.Seconds())
		if until <= s.at && until >= end.Seconds() {
			return 0, false
		}
		d := until - s.at
		area := (from + to) / 2 * d
		if area > left {
			s.at += solve(left, from, (to-from)/d)
			return time.Duration(s.at * float64(time.Second)), s.at < end.Seconds()
		}
		left -= area
		s.pass(until)
		if s.at >= end.Seconds() {
			return 0, false
		}
	}
}

// segment is the time from now over which the rate goes straight from one value to another, up to an end.
func (s *Stream) segment(end float64) (until, from, to float64) {
	c := s.p.Rate
	for s.next < len(c) && c[s.next].At.Seconds() <= s.at {
		s.next++
	}
	until = min(end, s.until)
	switch {
	case s.next == len(c):
		from = c[len(c)-1].PerSecond
		to = from
	case s.next == 0:
		from = c[0].PerSecond
		to, until = from, min(until, c[0].At.Seconds())
	default:
		a, b := c[s.next-1], c[s.next]
		until = min(until, b.At.Seconds())
		slope := (b.PerSecond - a.PerSecond) / (b.At - a.At).Seconds()
		from = a.PerSecond + slope*(s.at-a.At.Seconds())
		to = a.PerSecond + slope*(until-a.At.Seconds())
	}
	if s.p.Gaps == OnOff {
		factor := 0.0
		if s.on {
			factor = 1 / share(s.p.On, s.p.Off)
		}
		from, to = from*factor, to*factor
	}
	return until, max(from, 0), max(to, 0)
}

// pass goes to the end of a segment.
func (s *Stream) pass(until float64) {
	s.at = until
	for s.at >= s.until {
		s.on = !s.on
		s.until = s.phase()
	}
}

// solve gives the time in which a rate that begins at from and rises by slope brings n arrivals.
func solve(n, from, slope float64) float64 {
	if math.Abs(slope)*n < 1e-12*from*from { // straight, for all that can be told
		return n / from
	}
	return 2 * n / (from + math.Sqrt(max(from*from+2*slope*n, 0)))
}
