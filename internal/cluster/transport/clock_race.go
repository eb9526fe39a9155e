//go:build race

package transport

import (
	"os"
	"strconv"
	"time"
)

// clockRate is the rate of the failure detector's clock as a factor of real time. The environment variable ClockRateEnv is read
// only once, so that the clock never jumps.
var clockRate = func() float64 {
	if rate, err := strconv.ParseFloat(os.Getenv(ClockRateEnv), 64); err == nil && rate > 0 {
		return rate
	}
	return 1
}()

// scaleByClockRate returns the time by which the failure detector's clock advances while the real time d passes.
func scaleByClockRate(d time.Duration) time.Duration {
	return time.Duration(float64(d) * clockRate)
}
