package rehearse

import (
	"fmt"
	"slices"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Bounds of the rehearsal's own lateness, past which a day is not valid. The rules allow 50 ms on each limit: sends that
// are later than half of that, or a pause as long as the grace for drains, could pass for a sidecar's fault.
const (
	maxLateShare   = 0.5 // of the rules' slack, for 99 sends of 100
	maxStallShare  = 1.0 // of the grace for drains, for any pause
	stallProximity = time.Second
)

// validate says whether the day is valid.
func (w *rehearsal) validate(r *Result, events []invariant.Event, dayStart time.Duration) {
	rules := w.plan.Day.Rules
	if limit := maxLateShare * rules.Slack.Seconds(); r.Harness.LateP99 > limit {
		r.Invalid = append(r.Invalid, fmt.Sprintf("1 send of 100 was %.0f ms late or more, %.0f ms are allowed: this machine is too busy, or the day too large for it", 1000*r.Harness.LateP99, 1000*limit))
	}
	if limit := maxStallShare * rules.DrainGrace.Seconds(); r.Harness.WorstStall > limit {
		r.Invalid = append(r.Invalid, fmt.Sprintf("the rehearsal itself stood still for %.0f ms, %.0f ms are allowed", 1000*r.Harness.WorstStall, 1000*limit))
	}
	if r.Harness.DroppedEvents > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d events had no room in the timeline: the day is too long", r.Harness.DroppedEvents))
	}
	var stalls []invariant.Event
	for _, e := range events {
		if e.Kind == invariant.HarnessStall {
			stalls = append(stalls, e)
		}
	}
	r.Harness.Stalls = len(stalls)
	near := 0
	for _, rule := range r.Invariants.Rules {
		for _, b := range rule.Breaches {
			if slices.ContainsFunc(stalls, func(e invariant.Event) bool {
				return e.At-e.For-stallProximity <= b.At+dayStart && b.At+dayStart <= e.At+stallProximity
			}) {
				near++
			}
		}
	}
	if near > 0 {
		r.Invalid = append(r.Invalid, fmt.Sprintf("%d breaks of a rule lie within %v of a pause of the rehearsal's own", near, stallProximity))
	}
	r.Valid = len(r.Invalid) == 0
}
