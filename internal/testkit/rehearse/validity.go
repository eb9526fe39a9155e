package rehearse

import (
	"fmt"
	"slices"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Bounds of the rehearsal's own lateness, past which a day is not valid. The rules allow 50 ms on each limit: sends that
// are later than half of that, or a stall as long as the grace for drains, could pass for a sidecar's fault.
const (
	maxSendLatenessFraction = 0.5         // of the rules' tolerance, for 99 of 100 sends
	maxStallFraction        = 1.0         // of the grace for drains, for each stall
	stallProximity          = time.Second // within which a violation may be due to a stall
)

// validate decides whether the day says something about the sidecars, and if not, why.
func (r *rehearsal) validate(result *Result, events []invariant.Event, dayStart time.Duration) {
	rules, harness := r.plan.Day.Rules, &result.Harness
	invalidate := func(format string, args ...any) {
		result.Invalid = append(result.Invalid, fmt.Sprintf(format, args...))
	}
	if limit := maxSendLatenessFraction * rules.Tolerance.Seconds(); harness.SendLatenessP99 > limit {
		invalidate("1 send of 100 was %.0f ms late or more, %.0f ms are allowed: "+
			"this machine is too busy, or the day too large for it", 1000*harness.SendLatenessP99, 1000*limit)
	}
	if limit := maxStallFraction * rules.DrainGrace.Seconds(); harness.LongestStall > limit {
		invalidate("the rehearsal itself stood still for %.0f ms, %.0f ms are allowed", 1000*harness.LongestStall, 1000*limit)
	}
	if harness.DroppedEvents > 0 {
		invalidate("%d events had no room in the timeline: the day is too long", harness.DroppedEvents)
	}
	var stalls []invariant.Event
	for _, e := range events {
		if e.Kind == invariant.HarnessStall {
			stalls = append(stalls, e)
		}
	}
	harness.Stalls = len(stalls)
	near := 0
	for _, rule := range result.Invariants.Rules {
		for _, violation := range rule.Breaches {
			at := violation.At + dayStart
			if slices.ContainsFunc(stalls, func(e invariant.Event) bool {
				return e.At-e.Duration-stallProximity <= at && at <= e.At+stallProximity
			}) {
				near++
			}
		}
	}
	if near > 0 {
		invalidate("%d breaks of a rule lie within %v of a pause of the rehearsal's own", near, stallProximity)
	}
	result.Valid = len(result.Invalid) == 0
}
