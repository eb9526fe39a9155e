package rehearse

import (
	"fmt"
	"html"
	"html/template"
	"math"
	"strings"
)

// The charts are written as SVG without a plot library, since such a library would be linked into the daemon and load its fonts at
// every start (gonum/plot takes 4 MB of resident memory as soon as it is linked in).

// chart is a plot over the time of a day, written as SVG.
type chart struct {
	strings.Builder
	height      float64 // height of the chart in units of the SVG view box
	axisSeconds float64 // length of the time axis in seconds
	scaleMax    float64 // value at the top of the vertical scale
}

// The width of a chart and the margins around its plot, in units of the SVG view box.
const (
	chartWidth   = 1000.0
	marginLeft   = 56.0
	marginRight  = 12.0
	marginTop    = 8.0
	marginBottom = 22.0
)

// newChart starts a chart with a height in units of the view box, and with a time axis of axisSeconds.
func newChart(height, axisSeconds, scaleMax float64) *chart {
	c := &chart{height: height, axisSeconds: max(axisSeconds, 1), scaleMax: scaleMax}
	fmt.Fprintf(&c.Builder, `<svg viewBox="0 0 %.0f %.0f" role="img">`, chartWidth, height)
	return c
}

// x returns the horizontal position in the view box of an instant, in seconds since the start of the day. An instant outside the
// time axis is moved to its nearest end.
func (c *chart) x(seconds float64) float64 {
	return marginLeft + (chartWidth-marginLeft-marginRight)*min(max(seconds, 0), c.axisSeconds)/c.axisSeconds
}

// y returns the vertical position in the view box of a value. A value outside the scale is moved to its nearest end.
func (c *chart) y(value float64) float64 {
	return marginTop + (c.height-marginTop-marginBottom)*(1-min(max(value, 0), c.scaleMax)/c.scaleMax)
}

// drawScale draws five horizontal grid lines, each labelled with its value. format is the printf format of a value.
func (c *chart) drawScale(format string) {
	for i := range 5 {
		v := c.scaleMax * float64(i) / 4
		fmt.Fprintf(&c.Builder, `<line class="grid" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"/>`+
			`<text class="tick" x="%.1f" y="%.1f" text-anchor="end">%s</text>`,
			marginLeft, chartWidth-marginRight, c.y(v), c.y(v), marginLeft-6, c.y(v)+4, fmt.Sprintf(format, v))
	}
}

// drawTimeAxis writes the labels of the time axis below the plot.
func (c *chart) drawTimeAxis() {
	step := timeAxisStep(c.axisSeconds)
	for s := 0.0; s <= c.axisSeconds; s += step {
		fmt.Fprintf(&c.Builder, `<text class="tick" x="%.1f" y="%.1f" text-anchor="middle">%.0f s</text>`, c.x(s), c.height-6, s)
	}
}

// timeAxisStep returns the distance in seconds between the labels of a time axis. It is a round number that gives at most
// thirteen labels for axes of up to two hours.
func timeAxisStep(axisSeconds float64) float64 {
	for _, step := range []float64{1, 2, 5, 10, 15, 30, 60, 120, 300, 600} {
		if axisSeconds/step <= 12 {
			return step
		}
	}
	return 1200
}

// scaleMaxFor returns the value at the top of a chart's vertical scale whose greatest plotted value is v: a round number that is at
// least v.
func scaleMaxFor(v float64) float64 {
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

// drawFaultBands draws a vertical band over the time of each fault. Elements that are drawn later lie in front of the bands.
func (c *chart) drawFaultBands(r *Result) {
	for _, fault := range r.Faults {
		x, end := c.x(fault.Start.Seconds()), c.x((fault.Start + fault.Duration).Seconds())
		fmt.Fprintf(&c.Builder, `<rect class="band %s" x="%.1f" width="%.1f" y="%.1f" height="%.1f"/>`,
			fault.Kind, x, max(end-x, 1), marginTop, c.height-marginTop-marginBottom)
	}
}

// drawViolationMarks draws a vertical line at the instant of each violation of an invariant.
func (c *chart) drawViolationMarks(r *Result) {
	for _, rule := range r.Invariants.Rules {
		for _, v := range rule.Violations {
			x := c.x(v.At.Seconds())
			fmt.Fprintf(&c.Builder, `<line class="breach" x1="%.1f" x2="%.1f" y1="%.1f" y2="%.1f"><title>rule %d, %.2f s: %s</title></line>`,
				x, x, marginTop, c.height-marginBottom, rule.Number, v.At.Seconds(), html.EscapeString(violationText(v)))
		}
	}
}

// drawLine draws a line through the values of successive seconds, each in the middle of its second.
func (c *chart) drawLine(cssClass string, values []float64) {
	var points []string
	for i, v := range values {
		points = append(points, fmt.Sprintf("%.1f,%.1f", c.x(float64(i)+0.5), c.y(v)))
	}
	fmt.Fprintf(&c.Builder, `<polyline class="%s" points="%s"/>`, cssClass, strings.Join(points, " "))
}

// drawColumns draws a column for each second of the day. The heights of the columns are values, one for each second; a value that is
// not positive gets no column.
func (c *chart) drawColumns(cssClass string, values []float64) {
	for i, v := range values {
		if v > 0 {
			x, next := c.x(float64(i)), c.x(float64(i+1))
			fmt.Fprintf(&c.Builder, `<rect class="%s" x="%.1f" width="%.1f" y="%.1f" height="%.1f"><title>%d s: %.4g</title></rect>`,
				cssClass, x, max(next-x-0.5, 0.5), c.y(v), c.y(0)-c.y(v), i, v)
		}
	}
}

// finish ends the SVG element and returns it as HTML that a template inserts without escaping. Names and descriptions in the chart
// must have been escaped when they were drawn.
func (c *chart) finish() template.HTML {
	c.WriteString("</svg>")
	return template.HTML(c.String())
}
