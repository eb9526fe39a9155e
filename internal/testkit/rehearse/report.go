package rehearse

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"sync"

	"tuliprock/internal/testkit/invariant"
)

//go:embed report.html
var reportTemplate string

// reportPage returns the parsed template of the report. It is parsed on first use, since the daemon runs in the same program and
// must not spend time and memory on it.
var reportPage = sync.OnceValue(func() *template.Template {
	return template.Must(template.New("report").Funcs(reportFunctions()).Parse(reportTemplate))
})

// reportFunctions returns the functions that report.html calls.
func reportFunctions() template.FuncMap {
	return template.FuncMap{
		"worthChart":     inTimeFractionChart,
		"latencyChart":   latencyChart,
		"rejectionChart": rejectionChart,
		"faultChart":     faultChart,
		"inFlightChart":  inFlightChart,
		"occasions":      occasionsText,
		"violation":      violationText,
		"verdict":        verdictText,
		"verdictSummary": verdictSummary,
		"sortedNames":    sortedKeys[ServedValue],
		"seconds":        func(v float64) string { return fmt.Sprintf("%.3f s", v) },
		"ms":             func(v float64) string { return fmt.Sprintf("%.1f ms", 1000*v) },
		"three":          func(v float64) string { return fmt.Sprintf("%.3f", v) },
		"one":            func(v float64) string { return fmt.Sprintf("%.1f", v) },
		"bar": func(v float64) template.CSS {
			return template.CSS(fmt.Sprintf("width:%.1f%%", 100*min(max(v, 0), 1)))
		},
		"class":  func(v invariant.Verdict) string { return strings.ReplaceAll(string(v), " ", "-") },
		"series": func(i int) string { return fmt.Sprintf("series%d", i%5) },
	}
}

// WriteReport writes results as a self-contained HTML page, which loads no other resources.
func WriteReport(w io.Writer, results []*Result) error {
	var balancers []string
	for _, r := range results {
		if !slices.Contains(balancers, r.Balancer) {
			balancers = append(balancers, r.Balancer)
		}
	}
	return reportPage().Execute(w, map[string]any{"Results": results, "Several": len(results) > 1,
		"Sweep": sweepChart(results), "Balancers": balancers})
}
