//go:build race

package transport

import (
	"os"
	"strconv"
	"time"
)

// clockRate is read once, so that the clock never jumps.
var clockRate = func() float64 {
	if rate, err := strconv.ParseFloat(os.Getenv(ClockRate), 64); err == nil && rate > 0 {
		return rate
	}
	return 1
}()

// scaleByClockRate returns how much time the failure detector's clock counts for d of real time.
func scaleByClockRate(d time.Duration) time.Duration {
	return time.Duration(float64(d) * clockRate)
}
