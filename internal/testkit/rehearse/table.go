package rehearse

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"tuliprock/internal/testkit/invariant"
)

// OwnBalancer is the name by which results refer to the balancer of this program, as opposed to the simple policies with which it is
// compared.
const OwnBalancer = "tuliprock"

// WriteJSON writes results in the documented format of result files.
func WriteJSON(w io.Writer, results []*Result) error {
	out := json.NewEncoder(w)
	return out.Encode(struct {
		Format int       `json:"format"`
		Kind   string    `json:"kind"`
		Runs   []*Result `json:"runs"`
	}{1, "rehearsal", results})
}

// WriteTable writes results as text: a single result in full, several results as a table with a row for each.
func WriteTable(w io.Writer, results []*Result) error {
	var b strings.Builder
	if len(results) == 1 {
		writeResult(&b, results[0])
	} else {
		writeComparison(&b, results)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeColumns writes rows of tab-separated cells, aligned in columns.
func writeColumns(b *strings.Builder, rows string) {
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = io.WriteString(t, rows) // a write to a strings.Builder does not fail
	_ = t.Flush()
}

// writeResult writes one result in full.
func writeResult(b *strings.Builder, r *Result) {
	fmt.Fprintf(b, "\n%s, seed %d, demand %v: %d nodes, %d sidecars, %.0f first tries a second of %.0f that the fleet can do\n\n",
		r.Day, r.Seed, r.Demand, r.Fleet.Nodes, r.Fleet.Sidecars, r.Fleet.Rate, r.Fleet.Capacity)
	writeMeasurements(b, r)
	b.WriteString("\n")
	writeInvariants(b, r.Invariants)
	r.Cluster.writeText(b)
	h := &r.Harness
	fmt.Fprintf(b, "\nthe rehearsal itself: sends late by %.1f ms (p99), %.1f ms at most; %d pauses over %v; "+
		"%.1f s of CPU and %.0f MB, its sidecars %.1f s and up to %.0f MB each\n",
		1000*h.SendLatenessP99, 1000*h.SendLatenessMax, h.Stalls, defaultDay().Rules.Tolerance,
		h.CPUSeconds, h.MemoryMB, h.SidecarsCPUSeconds, h.SidecarMemoryMB)
	for _, reason := range r.InvalidReasons {
		fmt.Fprintf(b, "NOT VALID: %s\n", reason)
	}
}

// writeMeasurements writes the measurements of clients and nodes.
func writeMeasurements(b *strings.Builder, r *Result) {
	var rows strings.Builder
	fmt.Fprintf(&rows, "worth answered in time\t%.3f\tworst 10 s %.3f\n", r.InTimeFraction, r.WorstWindowFraction)
	for _, by := range []map[string]ServedValue{r.ByClass, r.ByTenant} {
		for _, name := range sortedKeys(by) {
			fmt.Fprintf(&rows, "  %s\t%.3f\n", name, by[name].Fraction)
		}
	}
	p, c := &r.Penalties, &r.Requests
	fmt.Fprintf(&rows, "points of service\t%.1f\tprices: connections %.1f, waste %.1f, late failures %.1f, slow by overload %.1f\n",
		r.ServicePoints, p.Connections, p.Waste, p.LateFailures, p.Overload)
	fmt.Fprintf(&rows, "first tries\t%d\tserved %d (%d of them late), refused %d, failed %d, no answer %d\n",
		c.Total, c.Served, c.Late, c.Rejected, c.Failed, c.Unanswered)
	fmt.Fprintf(&rows, "for each\t%.2f\tattempts at the first tier, %.2f calls in all tiers, %.3f connections\n",
		r.AttemptsPerRequest, r.CallsPerRequest, r.ConnectionsPerRequest)
	for _, name := range sortedKeys(r.Latency) {
		l := r.Latency[name]
		fmt.Fprintf(&rows, "latency, %s\t%.3f s\tp90 %.3f, p99 %.3f, p99.9 %.3f, most %.3f\n",
			name, l.P50, l.P90, l.P99, l.P999, l.Max)
	}
	writeColumns(b, rows.String())
}

// writeInvariants writes the verdict on each invariant, and its first violations.
func writeInvariants(b *strings.Builder, report *invariant.Report) {
	var rows strings.Builder
	for _, rule := range report.Rules {
		fmt.Fprintf(&rows, "rule %d\t%s\t%s\t%s\n", rule.Number, rule.Name, verdictText(rule), occasionsText(rule))
	}
	writeColumns(b, rows.String())
	for _, rule := range report.Rules {
		for _, v := range rule.Violations[:min(len(rule.Violations), 3)] {
			fmt.Fprintf(b, "  rule %d, at %.3f s: %s\n", v.Rule, v.At.Seconds(), violationText(v))
		}
	}
	if report.Crashes > 0 {
		fmt.Fprintf(b, "  %d sidecars crashed\n", report.Crashes)
	}
}

// verdictText returns the verdict on an invariant, with the number of violations if it was broken.
func verdictText(rule invariant.RuleResult) string {
	if rule.Verdict == invariant.Broken {
		return fmt.Sprintf("BROKEN %d times", rule.ViolationCount)
	}
	return string(rule.Verdict)
}

// occasionsText lists the kinds of occasions on which an invariant was tested, sorted by name, each with the number of its occasions.
func occasionsText(rule invariant.RuleResult) string {
	var out []string
	for name, n := range rule.Occasions {
		out = append(out, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// violationText describes a violation, and names the request, sidecar and node that it concerns.
func violationText(v invariant.Violation) string {
	out := v.Description
	for _, part := range []struct{ name, value string }{{"request", v.Request}, {"sidecar", v.Sidecar}, {"node", v.Node}} {
		if part.value != "" {
			out += fmt.Sprintf(", %s %s", part.name, part.value)
		}
	}
	return out
}

// writeComparison writes a table with a row for each result.
func writeComparison(b *strings.Builder, results []*Result) {
	var rows strings.Builder
	fmt.Fprintln(&rows, "\nday\tseed\tdemand\tbalancer\tservice\tworth\tworst 10 s\tworst tenant\tserved\trefused\tfailed\tp99"+
		"\trules")
	for _, r := range results {
		c := r.Requests
		fmt.Fprintf(&rows, "%s\t%d\t%v\t%s\t%.1f\t%.3f\t%.3f\t%.3f\t%.1f%%\t%.1f%%\t%.1f%%\t%.2f s\t%s\n",
			r.Day, r.Seed, r.Demand, r.Balancer, r.ServicePoints, r.InTimeFraction, r.WorstWindowFraction, minFraction(r.ByTenant),
			percent(c.Served, c.Total), percent(c.Rejected, c.Total), percent(c.Failed+c.Unanswered, c.Total),
			r.Latency["all"].P99, verdictSummary(r))
	}
	writeColumns(b, rows.String())
	writeSpread(b, results)
	for _, r := range results {
		for _, reason := range r.InvalidReasons {
			fmt.Fprintf(b, "NOT VALID: %s, seed %d, %s: %s\n", r.Day, r.Seed, r.Balancer, reason)
		}
	}
}

// percent returns a as a percentage of b, or 0 if b is 0.
func percent(a, b int) float64 { return 100 * ratio(float64(a), float64(b), 0) }

// verdictSummary returns the verdict on a result in a few words, with the numbers of the invariants that were broken.
func verdictSummary(r *Result) string {
	var brokenRules []string
	for _, rule := range r.Invariants.Rules {
		if rule.Verdict == invariant.Broken {
			brokenRules = append(brokenRules, fmt.Sprint(rule.Number))
		}
	}
	switch {
	case r.Invariants.Crashes > 0:
		return "CRASHED"
	case r.Cluster != nil && !r.Cluster.Held:
		return "BROKEN: " + strings.Join(append(brokenRules, "fleet"), ", ")
	case len(brokenRules) > 0:
		return "BROKEN: " + strings.Join(brokenRules, ", ")
	}
	return "held"
}

// writeSpread writes the minimum, median and maximum of Result.ServicePoints for each balancer and demand. It writes nothing if no
// pair of balancer and demand has several results.
func writeSpread(b *strings.Builder, results []*Result) {
	type group struct {
		balancer string
		demand   float64
	}
	var groups []group // each pair of balancer and demand, in the order of the first results
	pointsByGroup := map[group][]float64{}
	for _, r := range results {
		g := group{r.Balancer, r.Demand}
		if pointsByGroup[g] == nil {
			groups = append(groups, g)
		}
		pointsByGroup[g] = append(pointsByGroup[g], r.ServicePoints)
	}
	if len(pointsByGroup) == len(results) {
		return
	}
	var rows strings.Builder
	fmt.Fprintln(&rows, "\nservice\tdemand\tleast\tmedian\tmost\truns")
	for _, g := range groups {
		v := pointsByGroup[g]
		sort.Float64s(v)
		median := (v[(len(v)-1)/2] + v[len(v)/2]) / 2
		fmt.Fprintf(&rows, "%s\t%v\t%.1f\t%.1f\t%.1f\t%d\n", g.balancer, g.demand, v[0], median, v[len(v)-1], len(v))
	}
	writeColumns(b, rows.String())
}
