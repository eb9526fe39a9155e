package frontend

import (
	"testing"
	"time"
)

func TestRetryAfterIsNeverRoundedDown(t *testing.T) {
	for after, want := range map[time.Duration]struct{ whole, fraction string }{
		300 * time.Millisecond:  {"1", "0.300"},
		time.Second:             {"1", "1.000"},
		1001 * time.Millisecond: {"2", "1.001"},
	} {
		t.Run(after.String(), func(t *testing.T) {
			if got := NewServer(Options{FractionalRetryAfter: false}, &ActiveRouteConfig{}, nil).retryAfterValue(after); got != want.whole {
				t.Errorf("in whole seconds: %s, want %s", got, want.whole)
			}
			if got := NewServer(Options{FractionalRetryAfter: true}, &ActiveRouteConfig{}, nil).retryAfterValue(after); got != want.fraction {
				t.Errorf("in fractions: %s, want %s", got, want.fraction)
			}
		})
	}
}
