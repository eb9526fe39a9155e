package tomlfile

import "time"

// NumberRange is an interval from which a number is drawn at random. In a file it is written as [lo, hi], or as one number that
// is both bounds.
type NumberRange struct{ Lo, Hi float64 }

// At interpolates between the bounds: a fraction of 0 yields Lo, and 1 yields Hi.
func (r NumberRange) At(fraction float64) float64 { return r.Lo + (r.Hi-r.Lo)*fraction }

// DurationRange is an interval from which a duration is drawn at random. In a file it is written as [lo, hi], or as one duration
// that is both bounds.
type DurationRange struct{ Lo, Hi time.Duration }

// At interpolates between the bounds: a fraction of 0 yields Lo, and 1 yields Hi.
func (r DurationRange) At(fraction float64) time.Duration {
	return r.Lo + time.Duration(float64(r.Hi-r.Lo)*fraction)
}
