package rehearse

import (
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"
	"time"
)

// valuesBySecond returns the value that valueOf takes from each second of the day, in order.
func valuesBySecond(r *Result, valueOf func(Second) float64) (values []float64) {
	for _, s := range r.BySecond {
		values = append(values, valueOf(s))
	}
	return values
}

// maxOf returns the greatest of the values, or 0 if no value is positive.
func maxOf(values []float64) float64 {
	m := 0.0
	for _, v := range values {
		m = max(m, v)
	}
	return m
}

// inTimeFractionChart draws, for each second of the day, which fraction of the value (priority weight times work) of the client
// requests due in this second was served in time.
func inTimeFractionChart(r *Result) template.HTML {
	c := newChart(190, float64(len(r.BySecond)), 1)
	c.drawFaultBands(r)
	c.drawScale("%.2f")
	c.drawTimeAxis()
	c.drawLine("worth", valuesBySecond(r, func(s Second) float64 { return s.Fraction }))
	c.drawViolationMarks(r)
	return c.finish()
}

// latencyChart draws the median and the 99th percentile of the latency of served requests.
func latencyChart(r *Result) template.HTML {
	p99 := valuesBySecond(r, func(s Second) float64 { return s.P99 })
	c := newChart(170, float64(len(r.BySecond)), scaleMaxFor(maxOf(p99)))
	c.drawFaultBands(r)
	c.drawScale("%.1f s")
	c.drawTimeAxis()
	c.drawLine("p99", p99)
	c.drawLine("p50", valuesBySecond(r, func(s Second) float64 { return s.P50 }))
	c.drawViolationMarks(r)
	return c.finish()
}

// rejectionChart draws the number of rejections in each second, in all tiers.
func rejectionChart(r *Result) template.HTML {
	c := newChart(120, float64(len(r.BySecond)), scaleMaxFor(maxOf(r.Rejections)))
	c.drawFaultBands(r)
	c.drawScale("%.0f")
	c.drawTimeAxis()
	c.drawColumns("refused", r.Rejections)
	c.drawViolationMarks(r)
	return c.finish()
}

// faultChart draws a row for each fault, with a bar over the time of the fault.
func faultChart(r *Result) template.HTML {
	const rowHeight = 20.0
	c := newChart(marginTop+rowHeight*float64(max(len(r.Faults), 1))+marginBottom, float64(len(r.BySecond)), 1)
	for i, fault := range r.Faults {
		x, end := c.x(fault.Start.Seconds()), c.x((fault.Start + fault.Duration).Seconds())
		y := marginTop + rowHeight*float64(i)
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
			fault.Kind, x, max(end-x, 3), y+2, rowHeight-4)
		fmt.Fprintf(&c.Builder, `<text class="label" x="%.1f" y="%.1f" text-anchor="%s">%s</text>`,
			labelX, y+rowHeight-6, anchor, html.EscapeString(label))
	}
	c.drawTimeAxis()
	return c.finish()
}

// inFlightChart draws a row for each node. The more requests are in flight at the node, the darker is the row.
func inFlightChart(r *Result) template.HTML {
	const rowHeight = 9.0
	c := newChart(marginTop+rowHeight*float64(max(len(r.Nodes), 1))+marginBottom, float64(len(r.BySecond)), 1)
	samplesPerSecond := int(time.Second / sampleInterval)
	seconds := min(len(r.InFlight)/samplesPerSecond, len(r.BySecond))
	mostInFlight := 1
	for _, sample := range r.InFlight {
		for _, n := range sample {
			mostInFlight = max(mostInFlight, n)
		}
	}
	for node, name := range r.Nodes {
		y := marginTop + rowHeight*float64(node)
		if node == 0 || tierName(name) != tierName(r.Nodes[node-1]) {
			fmt.Fprintf(&c.Builder, `<text class="tick" x="2" y="%.1f">%s</text>`, y+rowHeight-1, html.EscapeString(tierName(name)))
		}
		for s := range seconds {
			n := 0
			for _, sample := range r.InFlight[s*samplesPerSecond : (s+1)*samplesPerSecond] {
				n = max(n, sample[node])
			}
			if n == 0 {
				continue
			}
			x, end := c.x(float64(s)), c.x(float64(s+1))
			opacity := 0.08 + 0.92*math.Sqrt(float64(n)/float64(mostInFlight))
			fmt.Fprintf(&c.Builder, `<rect class="hand" opacity="%.2f" x="%.1f" width="%.2f" y="%.1f" height="%.1f">`+
				`<title>%s, %d s: %d in hand</title></rect>`, opacity, x, end-x, y, rowHeight-1, html.EscapeString(name), s, n)
		}
	}
	c.drawTimeAxis()
	return c.finish()
}

// tierName returns the name of a node's tier, which is the ID of the node up to its last hyphen.
func tierName(nodeID string) string {
	if i := strings.LastIndexByte(nodeID, '-'); i > 0 {
		return nodeID[:i]
	}
	return nodeID
}

// sweepChart draws which fraction of the value (priority weight times work) of a run's client requests was served in time, against
// the demand of the run, with a series for each balancer. It returns an empty text if all results have the same demand.
func sweepChart(results []*Result) template.HTML {
	lowest, highest := math.Inf(1), 0.0
	type point struct{ demand, inTimeFraction float64 }
	pointsByBalancer := map[string][]point{}
	var balancers []string // names of the balancers, in the order of their first results
	for _, r := range results {
		lowest, highest = min(lowest, r.Demand), max(highest, r.Demand)
		if pointsByBalancer[r.Balancer] == nil {
			balancers = append(balancers, r.Balancer)
		}
		pointsByBalancer[r.Balancer] = append(pointsByBalancer[r.Balancer], point{r.Demand, r.InTimeFraction})
	}
	if lowest == highest {
		return ""
	}
	c := newChart(220, 1, 1)
	c.drawScale("%.2f")
	isLabelled := map[float64]bool{} // whether the label of a demand has been drawn, by demand
	xOf := func(demand float64) float64 { return c.x(0.03 + 0.94*(demand-lowest)/(highest-lowest)) }
	for i, name := range balancers {
		for _, p := range pointsByBalancer[name] {
			if !isLabelled[p.demand] {
				isLabelled[p.demand] = true
				fmt.Fprintf(&c.Builder, `<text class="tick" x="%.1f" y="%.1f" text-anchor="middle">×%v</text>`,
					xOf(p.demand), c.height-6, p.demand)
			}
			fmt.Fprintf(&c.Builder, `<circle class="series%d" cx="%.1f" cy="%.1f" r="4"><title>%s, demand ×%v: worth %.3f</title></circle>`,
				i%5, xOf(p.demand), c.y(p.inTimeFraction), html.EscapeString(name), p.demand, p.inTimeFraction)
		}
	}
	return c.finish()
}
