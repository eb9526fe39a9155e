package frontend

import (
	"testing"
	"time"
)

func TestRetryAfterIsNeverRoundedDown(t *testing.T) {
	for retryAfter, want := range map[time.Duration]struct{ wholeSeconds, fractions string }{
		time.Nanosecond:         {"1", "0.001"},
		1400 * time.Microsecond: {"1", "0.002"},
		300 * time.Millisecond:  {"1", "0.300"},
		time.Second:             {"1", "1.000"},
		1001 * time.Millisecond: {"2", "1.001"},
	} {
		t.Run(retryAfter.String(), func(t *testing.T) {
			if got := NewServer(Options{FractionalRetryAfter: false}, &ActiveRouteConfig{}, nil).retryAfterValue(retryAfter); got != want.wholeSeconds {
				t.Errorf("in whole seconds: %s, want %s", got, want.wholeSeconds)
			}
			if got := NewServer(Options{FractionalRetryAfter: true}, &ActiveRouteConfig{}, nil).retryAfterValue(retryAfter); got != want.fractions {
				t.Errorf("in fractions of seconds: %s, want %s", got, want.fractions)
			}
		})
	}
}
