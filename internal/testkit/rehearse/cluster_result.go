package rehearse

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/testkit/clusterinvariant"
)

// maxReportedViolations bounds the number of violations that a result lists for each rule that the members of a cluster must keep.
const maxReportedViolations = 20

// ClusterResult says whether the sidecars of a cluster kept the rules on membership and settings versions during the day, and how
// long they took to notice changes of the membership.
type ClusterResult struct {
	Held                      bool                `json:"held"`     // whether the sidecars violated no rule in Rules
	Rules                     []ClusterRuleResult `json:"rules"`    // verdicts on the membership rules, then on the version rules if the cluster has consensus
	SlowestDetectionSeconds   float64             `json:"detect_s"` // longest time from the end of a sidecar's process until another sidecar detected the end, in seconds; counted only if no fault of links or processes was active in between
	SlowestConvergenceSeconds float64             `json:"settle_s"` // longest time from the end of all faults, or from a start or end of a sidecar, until all sidecars saw exactly the running sidecars as present, in seconds
	EventCount                int                 `json:"events"`   // number of events in the timeline of the cluster

	VersionReportCount          int     `json:"acts,omitempty"`            // number of polls in which a sidecar held a lease on a settings version
	VersionCount                int     `json:"versions,omitempty"`        // number of versions of the settings on which sidecars acted, without those first reported after a later version
	LongestContradictionSeconds float64 `json:"contradiction_s,omitempty"` // longest time, as far as polls prove it, for which a sidecar acted on a settings version after some sidecar had acted on a later one
}

// ClusterRuleResult says whether the sidecars of a cluster kept one rule on membership or settings versions.
type ClusterRuleResult struct {
	Name            string                       `json:"name"`
	Verdict         string                       `json:"verdict"`  // "held", "broken" or "not put to the test"
	TestedOccasions int                          `json:"tests"`    // number of occasions on which the rule could have been violated
	Violations      []clusterinvariant.Violation `json:"breaches"` // the first violations, at most maxReportedViolations
}

// check returns the verdicts on the timeline of the cluster, or nil for a nil cluster. dayStart is the start of the day and end is
// the end of the timeline, both as times that rehearsal.recorder returned. The instants of violations in the result are relative to
// dayStart.
func (c *cluster) check(dayStart, end time.Duration) *ClusterResult {
	if c == nil {
		return nil
	}
	c.adminClients.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	config := c.rehearsal.plan.Day.Cluster
	verdict := clusterinvariant.CheckMembership(c.events, clusterinvariant.Limits{DetectWithin: config.DetectWithin,
		SettleWithin: config.SettleWithin, End: end})
	result := &ClusterResult{SlowestDetectionSeconds: verdict.SlowestDetection.Seconds(),
		SlowestConvergenceSeconds: verdict.SlowestConvergence.Seconds(), EventCount: len(c.events)}
	rules := clusterinvariant.MembershipRules
	if config.HasConsensus {
		slices.SortStableFunc(c.versionReports, func(a, b clusterinvariant.VersionReport) int {
			return cmp.Compare(a.ReportedAt, b.ReportedAt)
		})
		versions := clusterinvariant.CheckVersions(c.versionReports, maxConflictDuration)
		result.VersionReportCount, result.VersionCount = versions.Reports, versions.Versions
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

// writeText writes the verdict on each rule, the first violations and the measured times as lines of text. It writes nothing for a
// nil ClusterResult.
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
	if r.VersionReportCount > 0 {
		fmt.Fprintf(b, "fleet   %d versions acted on, %d acts; the longest contradiction that is certain %.2f s of %v\n",
			r.VersionCount, r.VersionReportCount, r.LongestContradictionSeconds, maxConflictDuration)
	}
	fmt.Fprintf(b, "fleet   the longest until all knew of one that was gone %.1f s, "+
		"until views were right after the last fault %.1f s\n",
		r.SlowestDetectionSeconds, r.SlowestConvergenceSeconds)
}
