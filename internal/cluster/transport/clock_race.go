//go:build race

package transport

import (
	"os"
	"strconv"
	"time"
)

// ClockRate names the environment's variable that says how fast the detector's clock runs, in builds for tests alone: those
// with the race detector.
const ClockRate = "TULIPROCK_TEST_CLOCK_RATE"

var clockRate = func() float64 {
	if rate, err := strconv.ParseFloat(os.Getenv(ClockRate), 64); err == nil && rate > 0 {
		return rate
	}
	return 1
}()

// scaledByClockRate is the time that has passed by this process's clock.
func scaledByClockRate(d time.Duration) time.Duration { return time.Duration(float64(d) * clockRate) }
