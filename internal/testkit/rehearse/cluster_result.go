package rehearse

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/testkit/clusterinvariant"
)

const maxReportedViolations = 20

// ClusterResult is what a day with a fleet showed of it.
type ClusterResult struct {
	Held             bool                `json:"held"`
	Rules            []ClusterRuleResult `json:"rules"`
	DetectionSeconds float64             `json:"detect_s"` // the longest time until all others knew of one that was gone, where nothing else was wrong
	SettleSeconds    float64             `json:"settle_s"` // the longest time after the last fault until all views were right
	Events           int                 `json:"events"`

	Acts                 int     `json:"acts,omitempty"`            // that a sidecar was asked which version it acts on, and had a lease
	Versions             int     `json:"versions,omitempty"`        // that were acted on
	ContradictionSeconds float64 `json:"contradiction_s,omitempty"` // the longest that is certain
}

// ClusterRuleResult is the finding on one rule of a fleet.
type ClusterRuleResult struct {
	Name       string                    `json:"name"`
	Verdict    string                    `json:"verdict"` // held, broken or not put to the test
	Tests      int                       `json:"tests"`
	Violations []clusterinvariant.Breach `json:"breaches"`
}

// check holds the day's timeline against the rules of a fleet.
func (f *cluster) check(dayStart, end time.Duration) *ClusterResult {
	if f == nil {
		return nil
	}
	f.pollers.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	day := f.w.plan.Day.Cluster
	v := clusterinvariant.Judge(f.events, clusterinvariant.Limits{Detect: day.DetectWithin, Settle: day.SettleWithin, End: end})
	p := &ClusterResult{Held: len(v.Breaches) == 0, DetectionSeconds: v.Detect.Seconds(), SettleSeconds: v.Settle.Seconds(), Events: len(f.events)}
	rules := clusterinvariant.Rules
	if day.HasConsensus {
		slices.SortStableFunc(f.acts, func(a, b clusterinvariant.Act) int { return cmp.Compare(a.Said, b.Said) })
		versions := clusterinvariant.JudgeVersions(f.acts, maxConflictDuration)
		p.Acts, p.Versions, p.ContradictionSeconds = versions.Acts, versions.Versions, versions.Longest.Seconds()
		v.Breaches = append(v.Breaches, versions.Breaches...)
		p.Held = len(v.Breaches) == 0
		rules = append(slices.Clone(rules), clusterinvariant.VersionRules...)
		for _, rule := range clusterinvariant.VersionRules {
			v.Tested[rule] = max(versions.Versions-1, 0)
		}
	}
	for _, rule := range rules {
		r := ClusterRuleResult{Name: string(rule), Verdict: "held", Tests: v.Tested[rule], Violations: []clusterinvariant.Breach{}}
		for _, b := range v.Breaches {
			if b.Rule == rule && len(r.Violations) < maxReportedViolations {
				b.At -= dayStart
				r.Violations = append(r.Violations, b)
			}
		}
		switch {
		case len(r.Violations) > 0:
			r.Verdict = "broken"
		case r.Tests == 0:
			r.Verdict = "not put to the test"
		}
		p.Rules = append(p.Rules, r)
	}
	return p
}

// writeText writes the finding in words.
func (p *ClusterResult) writeText(b *strings.Builder) {
	if p == nil {
		return
	}
	for _, r := range p.Rules {
		fmt.Fprintf(b, "fleet   %s: %s (%d)\n", r.Name, r.Verdict, r.Tests)
		for _, x := range r.Violations[:min(len(r.Violations), 3)] {
			fmt.Fprintf(b, "  at %.3f s: %s\n", x.At.Seconds(), x.Text)
		}
	}
	if p.Acts > 0 {
		fmt.Fprintf(b, "fleet   %d versions acted on, %d acts; the longest contradiction that is certain %.2f s of %v\n", p.Versions, p.Acts, p.ContradictionSeconds, maxConflictDuration)
	}
	fmt.Fprintf(b, "fleet   the longest until all knew of one that was gone %.1f s, until views were right after the last fault %.1f s\n", p.DetectionSeconds, p.SettleSeconds)
}
