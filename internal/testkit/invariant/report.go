package invariant

import (
	"slices"
	"time"
)

// Verdict says whether a rule held.
type Verdict string

// The verdicts. A rule that no event of the timeline could have broken is Untested, never Held.
const (
	Held     Verdict = "held"
	Broken   Verdict = "broken"
	Untested Verdict = "not put to the test"
)

// Violation is one violation of a rule, with the request, sidecar and node that it concerns.
type Violation struct {
	Rule        int           `json:"rule"`  // number of the rule, from 1
	At          time.Duration `json:"at_ns"` // instant of the violation, as time since the start of the day in nanoseconds
	Request     string        `json:"request,omitempty"`
	Sidecar     string        `json:"sidecar,omitempty"`
	Node        string        `json:"node,omitempty"`
	Description string        `json:"what"`
}

// RuleResult says whether one rule held on a timeline, how often it was tested, and how it was broken.
type RuleResult struct {
	Number          int            `json:"number"` // number of the rule, from 1
	Name            string         `json:"name"`
	Verdict         Verdict        `json:"verdict"`
	TestedOccasions int            `json:"tests"`     // number of occasions on which the rule could have been broken
	Occasions       map[string]int `json:"occasions"` // number of occasions by name, including those that do not test the rule
	Violations      []Violation    `json:"breaches"`  // the first maxReportedViolations violations of the rule
	ViolationCount  int            `json:"broken"`    // number of all violations of the rule, reported or not
}

// maxReportedViolations is the largest number of violations that are listed for a rule, since one cause can break the rule
// thousands of times.
const maxReportedViolations = 100

// The numbers of the rules, from 1, by which reports and result files refer to them.
const (
	ruleFinalResponse    = 1 // every accepted request gets exactly one final response before its deadline
	ruleNoDoubleEffect   = 2 // no request takes effect twice
	ruleNoDrainingTarget = 3 // no new attempt goes to a draining or gone node
	ruleNoColdOverload   = 4 // a node that is warming up is not overloaded
)

// ruleNames holds the names of the rules in reports. Result files contain them, so they must not change.
var ruleNames = [4]string{"one final answer in time", "no double effect", "nothing new to what drains or is gone",
	"no cold endpoint pushed over"}

// Report holds the results of checking a timeline against all rules.
type Report struct {
	Rules     [4]RuleResult `json:"rules"`
	Crashes   int           `json:"crashes"` // number of sidecar processes that ended without a signal from the harness
	Collapses int           `json:"falls"`   // number of nodes that collapsed under overload while warming up
}

// newReport returns a report without occasions and violations.
func newReport() *Report {
	r := &Report{}
	for i := range r.Rules {
		r.Rules[i] = RuleResult{Number: i + 1, Name: ruleNames[i], Occasions: map[string]int{}, Violations: []Violation{}}
	}
	return r
}

// Held reports whether no rule was broken and no sidecar crashed. Untested rules count as held.
func (r *Report) Held() bool {
	return r.Crashes == 0 && !slices.ContainsFunc(r.Rules[:], func(rule RuleResult) bool { return rule.Verdict == Broken })
}

// setVerdicts derives the verdict on each rule from its numbers of violations and of occasions that could have broken it.
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
