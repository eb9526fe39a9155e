//go:build !race

package transport

import "time"

// scaleByClockRate returns d unchanged, because only builds with the race detector have a clock rate: see clock_race.go.
func scaleByClockRate(d time.Duration) time.Duration { return d }
