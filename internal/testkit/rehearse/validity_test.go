package rehearse

import (
	"strings"
	"testing"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

// TestLateHarnessMakesAResultInvalid guards against verdicts on the sidecars from a run in which the rehearsal's own process was
// late.
func TestLateHarnessMakesAResultInvalid(t *testing.T) {
	r := &rehearsal{plan: newTestPlan(t), sendLateness: schedule.NewLatencyHistogram()}
	validate := func(t *testing.T, harness HarnessMetrics, events ...invariant.Event) []string {
		t.Helper()
		result := &Result{Harness: harness, Invariants: &invariant.Report{}}
		result.Invariants.Rules[2].Violations = []invariant.Violation{{Rule: 3, At: 5 * time.Second}}
		r.validate(result, events, time.Minute)
		if result.Valid != (len(result.InvalidReasons) == 0) {
			t.Errorf("result has Valid = %v with the reasons %v", result.Valid, result.InvalidReasons)
		}
		return result.InvalidReasons
	}
	stall := func(at time.Duration) invariant.Event {
		return invariant.Event{Kind: invariant.HarnessStall, At: time.Minute + at, Duration: 60 * time.Millisecond}
	}
	for _, c := range []struct {
		name    string
		harness HarnessMetrics
		events  []invariant.Event
		want    string
	}{
		{"within the limits", HarnessMetrics{SendLatenessP99: 0.024, LongestStall: 0.49}, nil, ""},
		{"late sends", HarnessMetrics{SendLatenessP99: 0.026}, nil, "late"},
		{"long stall", HarnessMetrics{LongestStall: 0.51}, nil, "stood still"},
		{"dropped events", HarnessMetrics{DroppedEvents: 1}, nil, "no room"},
		{"stall next to a violation", HarnessMetrics{}, []invariant.Event{stall(5500 * time.Millisecond)}, "1 breaks of a rule"},
		{"stalls away from a violation", HarnessMetrics{}, []invariant.Event{stall(2 * time.Second), stall(8 * time.Second)}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := validate(t, c.harness, c.events...)
			if (c.want == "") != (len(got) == 0) || c.want != "" && !strings.Contains(got[0], c.want) {
				t.Errorf("got the reasons %q, want %q in the first; empty means no reason", got, c.want)
			}
		})
	}
}

func TestWorstWindowFractionIsLowestOfAnyTenSeconds(t *testing.T) {
	seconds := make([]Second, 30)
	for i := range seconds {
		seconds[i].Offered, seconds[i].InTime = 10, 10
	}
	for i := 12; i < 17; i++ {
		seconds[i].InTime = 0
	}
	if got := worstWindowFraction(seconds); got != 0.5 {
		t.Errorf("worst window of the day has the fraction %v, want 0.5", got)
	}
	if got := worstWindowFraction(seconds[12:17]); got != 0 {
		t.Errorf("worst window of a day of 5 seconds has the fraction %v, want 0", got)
	}
	if got := worstWindowFraction(nil); got != 1 {
		t.Errorf("worst window of an empty day has the fraction %v, want 1", got)
	}
}
