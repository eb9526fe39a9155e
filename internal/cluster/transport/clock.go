//go:build !race

package transport

import "time"

// ClockRate names a variable of the environment that has no effect here: see clock_race.go.
const ClockRate = "TULIPROCK_TEST_CLOCK_RATE"

// scaledByClockRate is the time that has passed by this process's clock.
func scaledByClockRate(d time.Duration) time.Duration { return d }
