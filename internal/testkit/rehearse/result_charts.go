package rehearse

import (
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"
	"time"
)

// valuesBySecond are values of the seconds of a day.
func valuesBySecond(r *Result, of func(Second) float64) (out []float64) {
	for _, s := range r.BySecond {
		out = append(out, of(s))
	}
	return out
}

// maxOf is the greatest of the values, or 0.
func maxOf(values []float64) float64 {
	m := 0.0
	for _, v := range values {
		m = max(m, v)
	}
	return m
}

// worthChart draws the share of worth that was served in time.
func worthChart(r *Result) template.HTML {
	c := newChart(190, float64(len(r.BySecond)), 1)
	c.faultBands(r)
	c.scale("%.2f")
	c.timeAxis()
	c.line("worth", valuesBySecond(r, func(s Second) float64 { return s.ServedValue.Fraction }))
	c.violationMarks(r)
	return c.end()
}

// latencyChart draws the median and the 99th percentile of the latency.
func latencyChart(r *Result) template.HTML {
	p99 := valuesBySecond(r, func(s Second) float64 { return s.P99 })
	c := newChart(170, float64(len(r.BySecond)), niceMax(maxOf(p99)))
	c.faultBands(r)
	c.scale("%.1f s")
	c.timeAxis()
	c.line("p99", p99)
	c.line("p50", valuesBySecond(r, func(s Second) float64 { return s.P50 }))
	c.violationMarks(r)
	return c.end()
}

// rejectionChart draws the rejections per second.
func rejectionChart(r *Result) template.HTML {
	c := newChart(120, float64(len(r.BySecond)), niceMax(maxOf(r.Rejections)))
	c.faultBands(r)
	c.scale("%.0f")
	c.timeAxis()
	c.columns("refused", r.Rejections)
	c.violationMarks(r)
	return c.end()
}

// faultChart draws each fault as a bar in a row of its own.
func faultChart(r *Result) template.HTML {
	const row = 20.0
	c := newChart(chartTop+row*float64(max(len(r.Faults), 1))+chartBottom, float64(len(r.BySecond)), 1)
	for i, fault := range r.Faults {
		x, end := c.x(fault.Start.Seconds()), c.x((fault.Start + fault.Duration).Seconds())
		y := chartTop + row*float64(i)
		label := fault.Kind
		if fault.Magnitude > 0 {
			label += fmt.Sprintf(" ×%.2g", fault.Magnitude)
		}
		if len(fault.Targets) > 0 {
			label += ": " + strings.Join(fault.Targets, ", ")
		}
		anchor, labelX := "start", x+4
		if x > chartWidth*0.6 {
			anchor, labelX = "end", x-4
		}
		fmt.Fprintf(&c.Builder, `<rect class="trouble %s" x="%.1f" width="%.1f" y="%.1f" height="%.1f" rx="3"/>`,
			fault.Kind, x, max(end-x, 3), y+2, row-4)
		fmt.Fprintf(&c.Builder, `<text class="label" x="%.1f" y="%.1f" text-anchor="%s">%s</text>`,
			labelX, y+row-6, anchor, html.EscapeString(label))
	}
	c.timeAxis()
	return c.end()
}

// inFlightChart draws the requests in flight at each node, a row for each, darker for more.
func inFlightChart(r *Result) template.HTML {
	const row = 9.0
	c := newChart(chartTop+row*float64(max(len(r.Nodes), 1))+chartBottom, float64(len(r.BySecond)), 1)
	perSecond := int(time.Second / sampleInterval)
	seconds := min(len(r.InFlight)/perSecond, len(r.BySecond))
	most := 1
	for _, sample := range r.InFlight {
		for _, n := range sample {
			most = max(most, n)
		}
	}
	for node, name := range r.Nodes {
		y := chartTop + row*float64(node)
		if node == 0 || tierName(name) != tierName(r.Nodes[node-1]) {
			fmt.Fprintf(&c.Builder, `<text class="tick" x="2" y="%.1f">%s</text>`, y+row-1, html.EscapeString(tierName(name)))
		}
		for s := range seconds {
			n := 0
			for _, sample := range r.InFlight[s*perSecond : (s+1)*perSecond] {
				n = max(n, sample[node])
			}
			if n == 0 {
				continue
			}
			x, end := c.x(float64(s)), c.x(float64(s+1))
			opacity := 0.08 + 0.92*math.Sqrt(float64(n)/float64(most))
			fmt.Fprintf(&c.Builder, `<rect class="hand" opacity="%.2f" x="%.1f" width="%.2f" y="%.1f" height="%.1f">`+
				`<title>%s, %d s: %d in hand</title></rect>`, opacity, x, end-x, y, row-1, html.EscapeString(name), s, n)
		}
	}
	c.timeAxis()
	return c.end()
}

// tierName is the name of a node's tier, which its ID begins with.
func tierName(node string) string {
	if i := strings.LastIndexByte(node, '-'); i > 0 {
		return node[:i]
	}
	return node
}

// sweepChart draws worth against demand, a series for each balancer; empty: all demands are the same.
func sweepChart(results []*Result) template.HTML {
	lowest, highest := math.Inf(1), 0.0
	type point struct{ demand, worth float64 }
	by := map[string][]point{}
	var order []string
	for _, r := range results {
		lowest, highest = min(lowest, r.Demand), max(highest, r.Demand)
		if by[r.Balancer] == nil {
			order = append(order, r.Balancer)
		}
		by[r.Balancer] = append(by[r.Balancer], point{r.Demand, r.InTimeFraction})
	}
	if lowest == highest {
		return ""
	}
	c := newChart(220, 1, 1)
	c.scale("%.2f")
	ticked := map[float64]bool{}
	at := func(demand float64) float64 { return c.x(0.03 + 0.94*(demand-lowest)/(highest-lowest)) }
	for i, name := range order {
		for _, p := range by[name] {
			if !ticked[p.demand] {
				ticked[p.demand] = true
				fmt.Fprintf(&c.Builder, `<text class="tick" x="%.1f" y="%.1f" text-anchor="middle">×%v</text>`,
					at(p.demand), c.height-6, p.demand)
			}
			fmt.Fprintf(&c.Builder, `<circle class="series%d" cx="%.1f" cy="%.1f" r="4"><title>%s, demand ×%v: worth %.3f</title></circle>`,
				i%5, at(p.demand), c.y(p.worth), html.EscapeString(name), p.demand, p.worth)
		}
	}
	return c.end()
}
