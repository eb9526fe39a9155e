package transport

import "time"

// ClockRate names the environment variable that sets how fast the failure detector's clock runs, as a factor of real time.
// Only test builds, which are those with the race detector, read it; in all others it has no effect.
const ClockRate = "TULIPROCK_TEST_CLOCK_RATE"

// clockOrigin is the reading of the failure detector's clock at the start, well above zero so that the detector may
// subtract any of its intervals from an instant.
const clockOrigin = 24 * time.Hour

// Now returns the reading of the failure detector's clock, with which Since of a member in a View compares.
func (t *Transport) Now() time.Duration {
	return clockOrigin + scaleByClockRate(time.Since(t.clockStart))
}
