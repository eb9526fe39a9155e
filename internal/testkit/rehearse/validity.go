package rehearse

import (
	"fmt"
	"slices"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Bounds of the lateness of the rehearsal itself, beyond which a run is not valid. Events may exceed the time limits of the
// invariants by Day.Rules.Tolerance, which is 50 ms by default. A sidecar may send attempts to a draining node until
// Day.Rules.DrainGrace after the notification. Requests sent late by more than half of the tolerance, or a stall of the rehearsal
// longer than the drain grace, could be mistaken for a fault of a sidecar.
const (
	maxSendLatenessFraction = 0.5         // largest allowed 99th percentile of the time by which requests are sent late, as a fraction of Day.Rules.Tolerance
	maxStallFraction        = 1.0         // longest allowed stall of the rehearsal, as a fraction of Day.Rules.DrainGrace
	stallProximity          = time.Second // time before or after a stall of the rehearsal in which the stall may have caused a violation
)

// validate sets whether the result is valid, and the reasons if it is not: the rehearsal itself was late, or its timeline was full.
func (r *rehearsal) validate(result *Result, events []invariant.Event, dayStart time.Duration) {
	rules, harness := r.plan.Day.Rules, &result.Harness
	invalidate := func(format string, args ...any) {
		result.InvalidReasons = append(result.InvalidReasons, fmt.Sprintf(format, args...))
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
	violationsNearStalls := 0
	for _, rule := range result.Invariants.Rules {
		for _, violation := range rule.Violations {
			at := violation.At + dayStart
			if slices.ContainsFunc(stalls, func(e invariant.Event) bool {
				return e.At-e.Duration-stallProximity <= at && at <= e.At+stallProximity
			}) {
				violationsNearStalls++
			}
		}
	}
	if violationsNearStalls > 0 {
		invalidate("%d breaks of a rule lie within %v of a pause of the rehearsal's own", violationsNearStalls, stallProximity)
	}
	result.Valid = len(result.InvalidReasons) == 0
}
