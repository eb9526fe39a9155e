package tomlfile

import "time"

// Range is an interval of numbers, from which one is drawn. In a file it is [lo, hi], or one number that is both.
type Range struct{ Lo, Hi float64 }

// At returns the number at a fraction, 0 to 1, of the way from Lo to Hi.
func (r Range) At(fraction float64) float64 { return r.Lo + (r.Hi-r.Lo)*fraction }

// Span is an interval of durations, from which one is drawn. In a file it is [lo, hi], or one duration that is both.
type Span struct{ Lo, Hi time.Duration }

// At returns the duration at a fraction, 0 to 1, of the way from Lo to Hi.
func (s Span) At(fraction float64) time.Duration {
	return s.Lo + time.Duration(float64(s.Hi-s.Lo)*fraction)
}
