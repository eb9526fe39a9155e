package rehearse

import (
	"strings"
	"testing"

	"tuliprock/internal/testkit/baseline"
	"tuliprock/internal/testkit/invariant"
)

// runUntilValid runs a plan until its result is valid, at most three times. If no result is valid, since the machine is too busy for
// the result to say anything about the sidecars, the test is skipped.
func runUntilValid(t *testing.T, plan *Plan, opt Options) *Result {
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
		t.Logf("the result is not valid: %v", r.InvalidReasons)
	}
	t.Skipf("this machine is too busy for a rehearsal: %v", r.InvalidReasons)
	return nil
}

// TestFaultySidecarBreaksItsRule guards against invariants that miss a violation, or report one for a correct sidecar. Each fault
// must break one rule, given by its number: 1 demands one final response in time, 2 no double effect, 3 no new requests to draining
// nodes, and 4 no overload of warming nodes. 0 means that all rules must hold.
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
			r := runUntilValid(t, newTestPlan(t), Options{NewCommand: sidecarCommand(fault)})
			for _, ruleResult := range r.Invariants.Rules {
				switch {
				case ruleResult.Number == rule && ruleResult.Verdict != invariant.Broken:
					t.Errorf("verdict on rule %d is %q, want broken; occasions %v", rule, ruleResult.Verdict, ruleResult.Occasions)
				case rule == 0 && ruleResult.Verdict != invariant.Held:
					t.Errorf("verdict on rule %d is %q, want held; occasions %v, violations %+v", ruleResult.Number, ruleResult.Verdict,
						ruleResult.Occasions, ruleResult.Violations)
				}
			}
			if r.Held != (rule == 0) {
				t.Errorf("result has Held = %v, want %v", r.Held, rule == 0)
			}
			if fault == "crashes" && r.Invariants.Crashes == 0 {
				t.Error("the result has no crash, want at least 1")
			}
		})
	}
}

// TestBaselineBalancersAreKnownByName checks that baseline.New knows each name that baseline.PolicyNames returns, and that its error
// for an unknown name lists the known names.
func TestBaselineBalancersAreKnownByName(t *testing.T) {
	for _, name := range baseline.PolicyNames() {
		if _, err := baseline.New(name); err != nil {
			t.Error(err)
		}
	}
	if _, err := baseline.New("best"); err == nil || !strings.Contains(err.Error(), "random") {
		t.Errorf("got error %v for an unknown name, want one that lists random", err)
	}
}

// withFaults returns changes for newTestPlan that replace all faults of the test's day, followed by further changes.
func withFaults(faults string, changes ...string) []string {
	start := strings.Index(testDayText, "[[trouble]]")
	return append([]string{testDayText[start:], faults}, changes...)
}

// TestDrainAnnouncedDuringARestartIsChecked covers a drain that is announced while a sidecar restarts. The sidecar starts with an
// endpoint list in which the node is still ready, and is notified of the drain only after it has subscribed again. Rules[2] is the
// rule on draining nodes.
func TestDrainAnnouncedDuringARestartIsChecked(t *testing.T) {
	changes := withFaults(`[[trouble]]
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
			r := runUntilValid(t, newTestPlan(t, changes...), Options{NewCommand: sidecarCommand(fault)})
			if rule := r.Invariants.Rules[2]; rule.Verdict != want || rule.Occasions["drains told"] < 1 {
				t.Errorf("verdict on rule 3 is %q, want %q with a drain; occasions %v, violations %+v", rule.Verdict, want,
					rule.Occasions, rule.Violations)
			}
		})
	}
}

// TestLateDiscoveryDoesNotOverloadColdNodeAtAnOldAddress covers late notifications of discovery: a dead node is still listed as
// ready while a cold node with a new ID listens at its address. The cold node must not be overloaded.
func TestLateDiscoveryDoesNotOverloadColdNodeAtAnOldAddress(t *testing.T) {
	t.Parallel()
	changes := withFaults(`[[trouble]]
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
	r := runUntilValid(t, newTestPlan(t, changes...), Options{NewCommand: sidecarCommand("good")})
	report := r.Invariants
	if !r.Held || report.Rules[2].Occasions["ends told"] < 2 || report.Rules[3].TestedOccasions < 2 || report.Collapses != 0 {
		t.Errorf("held %v with %d collapsed nodes, want true and 0, with rules 3 and 4 tested at least twice: %+v", r.Held, report.Collapses,
			report.Rules)
	}
}
