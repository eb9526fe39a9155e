package rehearse

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/testkit/clusterinvariant"
)

// maxReportedViolations bounds the violations that a result lists for each rule of a cluster.
const maxReportedViolations = 20

// ClusterResult holds the verdicts on the cluster and its measured times.
type ClusterResult struct {
	Held                      bool                `json:"held"`     // whether no rule of the cluster was violated
	Rules                     []ClusterRuleResult `json:"rules"`    // the membership rules, then the version rules, if any
	SlowestDetectionSeconds   float64             `json:"detect_s"` // longest time until all others had detected a sidecar's failure
	SlowestConvergenceSeconds float64             `json:"settle_s"` // longest time after the last fault until all views were right
	Events                    int                 `json:"events"`   // events in the timeline of the cluster

	VersionReports              int     `json:"acts,omitempty"`            // polls in which a sidecar held a lease on a settings version
	Versions                    int     `json:"versions,omitempty"`        // number of versions of the settings that sidecars acted on
	LongestContradictionSeconds float64 `json:"contradiction_s,omitempty"` // longest certain use of a superseded settings version
}

// ClusterRuleResult is the verdict on one rule of a cluster.
type ClusterRuleResult struct {
	Name            string                       `json:"name"`
	Verdict         string                       `json:"verdict"`  // "held", "broken" or "not put to the test"
	TestedOccasions int                          `json:"tests"`    // occasions on which the rule could have been violated
	Violations      []clusterinvariant.Violation `json:"breaches"` // the first violations, at most maxReportedViolations
}

// check checks the timeline of the cluster up to an instant. It returns nil for a nil cluster. The instants of violations are
// relative to dayStart.
func (c *cluster) check(dayStart, end time.Duration) *ClusterResult {
	if c == nil {
		return nil
	}
	c.pollers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	config := c.rehearsal.plan.Day.Cluster
	verdict := clusterinvariant.CheckMembership(c.events, clusterinvariant.Limits{DetectWithin: config.DetectWithin,
		SettleWithin: config.SettleWithin, End: end})
	result := &ClusterResult{SlowestDetectionSeconds: verdict.SlowestDetection.Seconds(),
		SlowestConvergenceSeconds: verdict.SlowestConvergence.Seconds(), Events: len(c.events)}
	rules := clusterinvariant.MembershipRules
	if config.HasConsensus {
		slices.SortStableFunc(c.versionReports, func(a, b clusterinvariant.VersionReport) int {
			return cmp.Compare(a.ReportedAt, b.ReportedAt)
		})
		versions := clusterinvariant.CheckVersions(c.versionReports, maxConflictDuration)
		result.VersionReports, result.Versions = versions.Reports, versions.Versions
		result.LongestContradictionSeconds = versions.LongestContradiction.Seconds()
		verdict.Violations = append(verdict.Violations, versions.Violations...)
		rules = append(slices.Clone(rules), clusterinvariant.VersionRules...)
		for _, rule := range clusterinvariant.VersionRules {
			verdict.TestedOccasions[rule] = max(versions.Versions-1, 0)
		}
	}
	result.Held = len(verdict.Violations) == 0
	for _, rule := range rules {
		ruleResult := ClusterRuleResult{Name: string(rule), Verdict: "held", TestedOccasions: verdict.TestedOccasions[rule],
			Violations: []clusterinvariant.Violation{}}
		for _, violation := range verdict.Violations {
			if violation.Rule == rule && len(ruleResult.Violations) < maxReportedViolations {
				violation.At -= dayStart
				ruleResult.Violations = append(ruleResult.Violations, violation)
			}
		}
		switch {
		case len(ruleResult.Violations) > 0:
			ruleResult.Verdict = "broken"
		case ruleResult.TestedOccasions == 0:
			ruleResult.Verdict = "not put to the test"
		}
		result.Rules = append(result.Rules, ruleResult)
	}
	return result
}

// writeText writes the result as lines of text. It writes nothing for nil.
func (r *ClusterResult) writeText(b *strings.Builder) {
	if r == nil {
		return
	}
	for _, rule := range r.Rules {
		fmt.Fprintf(b, "fleet   %s: %s (%d)\n", rule.Name, rule.Verdict, rule.TestedOccasions)
		for _, violation := range rule.Violations[:min(len(rule.Violations), 3)] {
			fmt.Fprintf(b, "  at %.3f s: %s\n", violation.At.Seconds(), violation.Text)
		}
	}
	if r.VersionReports > 0 {
		fmt.Fprintf(b, "fleet   %d versions acted on, %d acts; the longest contradiction that is certain %.2f s of %v\n",
			r.Versions, r.VersionReports, r.LongestContradictionSeconds, maxConflictDuration)
	}
	fmt.Fprintf(b, "fleet   the longest until all knew of one that was gone %.1f s, "+
		"until views were right after the last fault %.1f s\n",
		r.SlowestDetectionSeconds, r.SlowestConvergenceSeconds)
}
