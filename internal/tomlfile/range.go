package tomlfile

import "time"

// NumberRange is an interval of numbers, from which one is drawn. In a file it is [lo, hi], or one number that is both.
type NumberRange struct{ Lo, Hi float64 }

// At returns the number at a fraction, 0 to 1, of the way from Lo to Hi.
func (r NumberRange) At(fraction float64) float64 { return r.Lo + (r.Hi-r.Lo)*fraction }

// DurationRange is an interval of durations, from which one is drawn. In a file it is [lo, hi], or one duration that is both.
type DurationRange struct{ Lo, Hi time.Duration }

// At returns the duration at a fraction, 0 to 1, of the way from Lo to Hi.
func (s DurationRange) At(fraction float64) time.Duration {
	return s.Lo + time.Duration(float64(s.Hi-s.Lo)*fraction)
}
