package rehearse

import (
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"
)

// The charts are SVG written by hand: a plot library would read its fonts at the start of every daemon (gonum/plot takes
// 4 MB of resident memory as soon as it is linked in).

// chart is a plot over the time of a day.
type chart struct {
	strings.Builder
	height   float64
	length   float64 // seconds
	scaleMax float64 // of the scale
}

const (
	chartWidth  = 1000.0
	chartLeft   = 56.0
	chartRight  = 12.0
	chartTop    = 8.0
	chartBottom = 22.0
)

func newChart(height, length, most float64) *chart {
	c := &chart{height: height, length: max(length, 1), scaleMax: most}
	fmt.Fprintf(&c.Builder, `<svg viewBox="0 0 %.0f %.0f" role="img">`, chartWidth, height)
	return c
}

func (c *chart) x(seconds float64) float64 {
	return chartLeft + (chartWidth-chartLeft-chartRight)*min(max(seconds, 0), c.length)/c.length
}

func (c *chart) y(value float64) float64 {
	return chartTop + (c.height-chartTop-chartBottom)*(1-min(max(value, 0), c.scaleMax)/c.scaleMax)
}

// axes draws the scale and the time below.
func (c *chart) axes(format string) {
	for i := range 5 {
		v := c.scaleMax * float64(i) / 4
		fmt.Fprintf(&c.Builder, `<line class="grid" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/><text class="tick" x="%.1f" y="%.1f" text-anchor="end">%s</text>`,
			chartLeft, chartWidth-chartRight, c.y(v), c.y(v), chartLeft-6, c.y(v)+4, fmt.Sprintf(format, v))
	}
	c.timeAxis()
}

func (c *chart) timeAxis() {
	step := niceStep(c.length)
	for s := 0.0; s <= c.length; s += step {
		fmt.Fprintf(&c.Builder, `<text class="tick" x="%.1f" y="%.1f" text-anchor="middle">%.0f s</text>`, c.x(s), c.height-6, s)
	}
}

// niceStep gives about ten ticks.
func niceStep(length float64) float64 {
	for _, step := range []float64{1, 2, 5, 10, 15, 30, 60, 120, 300, 600} {
		if length/step <= 12 {
			return step
		}
	}
	return 1200
}

// niceMax is a scale's end at or above a value.
func niceMax(v float64) float64 {
	if v <= 0 {
		return 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 4, 5, 8, 10} {
		if f*unit >= v {
			return f * unit
		}
	}
	return 10 * unit
}

// faultBands lays the troubles behind a plot, and marks broken rules.
func (c *chart) faultBands(r *Result) {
	for _, s := range r.Faults {
		fmt.Fprintf(&c.Builder, `<rect class="band %s" x="%.1f" width="%.1f" y="%.1f" height="%.1f"/>`, s.Kind, c.x(s.At.Seconds()),
			max(c.x((s.At+s.For).Seconds())-c.x(s.At.Seconds()), 1), chartTop, c.height-chartTop-chartBottom)
	}
}

func (c *chart) violationMarks(r *Result) {
	for _, u := range r.Invariants.Rules {
		for _, b := range u.Breaches {
			fmt.Fprintf(&c.Builder, `<line class="breach" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"><title>rule %d, %.2f s: %s</title></line>`, c.x(b.At.Seconds()),
				c.x(b.At.Seconds()), chartTop, c.height-chartBottom, u.Number, b.At.Seconds(), html.EscapeString(violationText(b)))
		}
	}
}

// line draws values by whole seconds, as steps' middles.
func (c *chart) line(class string, values []float64) {
	var points []string
	for i, v := range values {
		points = append(points, fmt.Sprintf("%.1f,%.1f", c.x(float64(i)+0.5), c.y(v)))
	}
	fmt.Fprintf(&c.Builder, `<polyline class="%s" points="%s"/>`, class, strings.Join(points, " "))
}

// columns draws a column a second.
func (c *chart) columns(class string, values []float64) {
	for i, v := range values {
		if v > 0 {
			fmt.Fprintf(&c.Builder, `<rect class="%s" x="%.1f" width="%.1f" y="%.1f" height="%.1f"><title>%d s: %.4g</title></rect>`, class, c.x(float64(i)),
				max(c.x(float64(i+1))-c.x(float64(i))-0.5, 0.5), c.y(v), c.y(0)-c.y(v), i, v)
		}
	}
}

func (c *chart) end() template.HTML {
	c.WriteString("</svg>")
	return template.HTML(c.String()) // all text in it is escaped above
}
