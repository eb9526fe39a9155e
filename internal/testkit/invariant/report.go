package invariant

import (
	"slices"
	"time"
)

// Verdict is the finding on a rule.
type Verdict string

// The verdicts. A rule without an occasion to break it is Untested, never Held.
const (
	Held     Verdict = "held"
	Broken   Verdict = "broken"
	Untested Verdict = "not put to the test"
)

// Violation is one break of a rule.
type Violation struct {
	Rule        int           `json:"rule"`
	At          time.Duration `json:"at_ns"`
	Request     string        `json:"request,omitempty"`
	Sidecar     string        `json:"sidecar,omitempty"`
	Node        string        `json:"node,omitempty"`
	Description string        `json:"what"`
}

// RuleResult is the finding on one rule.
type RuleResult struct {
	Number          int            `json:"number"` // from 1
	Name            string         `json:"name"`
	Verdict         Verdict        `json:"verdict"`
	TestedOccasions int            `json:"tests"`     // occasions on which the rule could have been broken
	Occasions       map[string]int `json:"occasions"` // all occasions, by name
	Breaches        []Violation    `json:"breaches"`  // the first maxReportedViolations
	ViolationCount  int            `json:"broken"`    // violations in all
}

// maxReportedViolations bounds what a report holds for a rule, since one cause can break it thousands of times.
const maxReportedViolations = 100

// The rules by number.
const (
	ruleFinalResponse   = 1
	ruleNoDoubleEffect  = 2
	ruleNoDrainedTarget = 3
	ruleNoColdOverload  = 4
)

// ruleNames are the rules' names in reports, which readers of result files know.
var ruleNames = [4]string{"one final answer in time", "no double effect", "nothing new to what drains or is gone",
	"no cold endpoint pushed over"}

// Report is the finding on all rules.
type Report struct {
	Rules   [4]RuleResult `json:"rules"`
	Crashes int           `json:"crashes"` // sidecars that ended by themselves
	Falls   int           `json:"falls"`   // nodes that collapsed while warming up
}

// newReport makes a report without findings.
func newReport() *Report {
	r := &Report{}
	for i := range r.Rules {
		r.Rules[i] = RuleResult{Number: i + 1, Name: ruleNames[i], Occasions: map[string]int{}, Breaches: []Violation{}}
	}
	return r
}

// Held reports whether no rule was broken and no sidecar crashed.
func (r *Report) Held() bool {
	return r.Crashes == 0 && !slices.ContainsFunc(r.Rules[:], func(u RuleResult) bool { return u.Verdict == Broken })
}

// setVerdicts sets the verdicts.
func (r *Report) setVerdicts() {
	for i := range r.Rules {
		rule := &r.Rules[i]
		switch {
		case rule.ViolationCount > 0:
			rule.Verdict = Broken
		case rule.TestedOccasions > 0:
			rule.Verdict = Held
		default:
			rule.Verdict = Untested
		}
	}
}
