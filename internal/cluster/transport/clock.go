package transport

import "time"

// ClockRateEnv is the name of the environment variable that sets the rate of the failure detector's clock, as a factor of real
// time. Only builds with the race detector, which are for tests, read it.
const ClockRateEnv = "TULIPROCK_TEST_CLOCK_RATE"

// clockOrigin is the reading of the failure detector's clock when the transport starts. It is longer than all intervals of the
// failure detector, which may therefore subtract an interval from an instant and get a positive result.
const clockOrigin = 24 * time.Hour

// Now returns the current reading of the failure detector's clock. swim.Member.StateSince is an earlier reading of the same
// clock.
func (t *Transport) Now() time.Duration {
	return clockOrigin + scaleByClockRate(time.Since(t.clockStart))
}
