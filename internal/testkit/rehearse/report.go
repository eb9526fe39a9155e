package rehearse

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"sync"

	"tuliprock/internal/testkit/invariant"
)

//go:embed report.html
var reportText string

// reportPage is read when it is first wanted: the daemon starts from the same program and must not pay for it.
var reportPage = sync.OnceValue(func() *template.Template {
	return template.Must(template.New("report").Funcs(reportFuncs()).Parse(reportText))
})

func reportFuncs() template.FuncMap {
	return template.FuncMap{
		"worthChart": worthChart, "latencyChart": latencyChart, "refusalChart": refusalChart, "troubleChart": troubleChart, "handChart": handChart,
		"occasions": occasions, "describe": describe, "verdict": verdictText, "names": names[Share],
		"latencies": names[Latency], "ruleWord": ruleWord,
		"seconds": func(v float64) string { return fmt.Sprintf("%.3f s", v) }, "three": func(v float64) string { return fmt.Sprintf("%.3f", v) },
		"one": func(v float64) string { return fmt.Sprintf("%.1f", v) }, "ms": func(v float64) string { return fmt.Sprintf("%.1f ms", 1000*v) },
		"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
		"bar":     func(v float64) template.CSS { return template.CSS(fmt.Sprintf("width:%.1f%%", 100*min(max(v, 0), 1))) },
		"class":   func(v invariant.Verdict) string { return strings.ReplaceAll(string(v), " ", "-") },
		"series":  func(i int) string { return fmt.Sprintf("series%d", i%5) },
	}
}

// WriteReport writes a page that opens offline: one file, with nothing to load.
func WriteReport(w io.Writer, results []*Result) error {
	var balancers []string
	seen := map[string]bool{}
	for _, r := range results {
		if !seen[r.Balancer] {
			seen[r.Balancer] = true
			balancers = append(balancers, r.Balancer)
		}
	}
	return reportPage().Execute(w, map[string]any{"Results": results, "Several": len(results) > 1, "Sweep": sweepChart(results), "Balancers": balancers})
}
