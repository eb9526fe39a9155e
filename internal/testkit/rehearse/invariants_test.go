package rehearse

import (
	"strings"
	"testing"

	"tuliprock/internal/testkit/baseline"
	"tuliprock/internal/testkit/invariant"
)

// runValid plays a plan, up to three times where the day is not valid: what a busy machine shows says nothing about a
// sidecar.
func runValid(t *testing.T, plan *Plan, opt Options) *Result {
	t.Helper()
	var r *Result
	for range 3 {
		var err error
		if r, err = Run(t.Context(), plan, opt); err != nil {
			t.Fatal(err)
		}
		if r.Valid {
			return r
		}
		t.Logf("not valid: %v", r.Invalid)
	}
	t.Skipf("this machine is too busy for a rehearsal: %v", r.Invalid)
	return nil
}

// The invariants must hold for the daemon, and that of its rule must be broken by a faulty sidecar.
func TestFaultySidecarBreaksItsRule(t *testing.T) {
	for fault, rule := range map[string]int{
		"good":                          0,
		"sends responses twice":         1,
		"never answers after a failure": 1,
		"crashes":                       1,
		"retries what may have run":     2,
		"rejects what may have run":     2,
		"sends to draining nodes":       3,
		"overloads warming nodes":       4,
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			r := runValid(t, newTestPlan(t), Options{Command: sidecarCommand(fault)})
			for _, u := range r.Invariants.Rules {
				switch {
				case u.Number == rule && u.Verdict != invariant.Broken:
					t.Errorf("rule %d is %s: %v", rule, u.Verdict, u.Occasions)
				case rule == 0 && u.Verdict != invariant.Held:
					t.Errorf("rule %d is %s: %v, %+v", u.Number, u.Verdict, u.Occasions, u.Breaches)
				}
			}
			if r.Held != (rule == 0) {
				t.Errorf("held: %v", r.Held)
			}
			if fault == "crashes" && r.Invariants.Crashes == 0 {
				t.Error("no crash was counted")
			}
		})
	}
}

func TestBaselineBalancersAreKnownByName(t *testing.T) {
	for _, name := range baseline.PolicyNames() {
		if _, err := baseline.New(name); err != nil {
			t.Error(err)
		}
	}
	if _, err := baseline.New("best"); err == nil || !strings.Contains(err.Error(), "random") {
		t.Errorf("unknown name: %v", err)
	}
}

// withFaults replaces the faults of the test's day, for testPlan.
func withFaults(faults string, change ...string) []string {
	from := strings.Index(testDayText, "[[trouble]]")
	return append([]string{testDayText[from:], faults}, change...)
}

// A drain that is announced while a sidecar restarts reaches it only by its watch, once it is back: its last list still has the
// node as ready.
func TestDrainAnnouncedDuringARestart(t *testing.T) {
	day := withFaults(`[[trouble]]
kind = "restart"
at = "1500ms"
for = "1s"
share = 1
how = "kill"
down = "1500ms"
[[trouble]]
kind = "drain"
at = "1700ms"
for = "4s"
share = 0.25
down = "300ms"
`, "count = 2", "count = 1")
	for fault, want := range map[string]invariant.Verdict{"good": invariant.Held, "sends to draining nodes": invariant.Broken} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			r := runValid(t, newTestPlan(t, day...), Options{Command: sidecarCommand(fault)})
			if u := r.Invariants.Rules[2]; u.Verdict != want || u.Occasions["drains told"] < 1 {
				t.Errorf("%s: %v, %+v", u.Verdict, u.Occasions, u.Breaches)
			}
		})
	}
}

// Delayed discovery lists a dead node as ready while another one, cold, listens at its address under a new ID.
func TestDelayedDiscoveryAndRenamedNodeAtAnOldAddress(t *testing.T) {
	t.Parallel()
	day := withFaults(`[[trouble]]
kind = "crash"
at = "1s"
for = "500ms"
share = 0.25
how = "renamed"
[[trouble]]
kind = "crash"
at = "3s"
for = "500ms"
share = 0.25
how = "renamed"
tier = "back"
`, `notice = "100ms"`, `notice = "2s"`)
	r := runValid(t, newTestPlan(t, day...), Options{Command: sidecarCommand("good")})
	report := r.Invariants
	if !r.Held || report.Rules[2].Occasions["ends told"] < 2 || report.Rules[3].TestedOccasions < 2 || report.Falls != 0 {
		t.Errorf("held %v, falls %d: %+v", r.Held, report.Falls, report.Rules)
	}
}
