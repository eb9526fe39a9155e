package swimsim

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"tuliprock/internal/cluster/swim"
)

// Case is a fleet to be measured.
type Case struct {
	Nodes                      int
	LossFraction, SlowFraction float64
	WithoutLifeguard           bool // without Lifeguard's parts
	Swim                       swim.Options
	ObservationPeriod          time.Duration // of the quiet part, in which every verdict is a false one
	Seed                       uint64
}

// Measurement is what a case showed.
type Measurement struct {
	FalseFailureRate float64         // verdicts an hour that a daemon which runs has failed, in the whole fleet: each counted once, however many hold it
	FirstDetections  []time.Duration // from a kill until one other held it for failed
	FullDetections   []time.Duration // until all did
	MessageRate      float64         // sent, a second and daemon, in the quiet part
	ByteRate         float64
	RecoveryTime     time.Duration // after a cut into halves of 10 s, until all views are equal again; 0: not measured, negative: never within a minute
}

const (
	warmUpPeriod = 20 * time.Second
	maxKills     = 5
	cutDuration  = 20 * time.Second
)

// options are those of a case's world.
func (c Case) options() Options {
	o := Options{Nodes: c.Nodes, Seed: c.Seed, StartConverged: true, LossFraction: c.LossFraction, SlowFraction: c.SlowFraction, Swim: c.Swim}
	if c.WithoutLifeguard {
		o.Swim.DisableLocalHealth, o.Swim.DisableSuspicionShrink, o.Swim.DisableBuddySystem = true, true, true
	}
	return o
}

// Measure plays a case.
func (c Case) Measure(heal bool) Measurement {
	var m Measurement
	w := New(c.options())
	type verdict struct {
		name        string
		incarnation uint64
	}
	seen := map[verdict]bool{}
	w.Run(warmUpPeriod, nil)
	sent, bytes := w.Messages, w.Bytes
	w.OnChange = func(_ *Node, ch swim.Change) {
		if ch.To == swim.Failed {
			seen[verdict{ch.Name, ch.Incarnation}] = true
		}
	}
	w.Run(warmUpPeriod+c.ObservationPeriod, nil)
	w.OnChange = nil
	m.FalseFailureRate = float64(len(seen)) / c.ObservationPeriod.Hours()
	perNode := c.ObservationPeriod.Seconds() * float64(c.Nodes)
	m.MessageRate, m.ByteRate = float64(w.Messages-sent)/perNode, float64(w.Bytes-bytes)/perNode
	for i := range min(maxKills, c.Nodes/3) {
		c.measureDetection(w, w.Nodes[1+i*(c.Nodes-1)/maxKills], &m)
	}
	if heal {
		m.RecoveryTime = c.measureRecovery()
	}
	slices.Sort(m.FirstDetections)
	slices.Sort(m.FullDetections)
	return m
}

// measureDetection ends a node and waits until all others know.
func (c Case) measureDetection(w *Simulation, n *Node, m *Measurement) {
	if n.isSlow { // its end can't be told from its slowness
		return
	}
	at, know := w.Now, map[int]bool{}
	w.OnChange = func(by *Node, ch swim.Change) {
		switch {
		case ch.Name != n.Peer.Name:
		case ch.To == swim.Failed:
			if len(know) == 0 {
				m.FirstDetections = append(m.FirstDetections, w.Now-at)
			}
			know[by.Index] = true
		case ch.To.IsPresent():
			delete(know, by.Index)
		}
	}
	w.Kill(n)
	others := len(w.RunningNodes())
	if w.Run(at+2*time.Minute, func() bool { return len(know) >= others }) {
		m.FullDetections = append(m.FullDetections, w.Now-at)
	}
	w.OnChange = nil
}

// measureRecovery cuts a fleet into halves, heals it, and waits until all agree.
func (c Case) measureRecovery() time.Duration {
	w := New(c.options())
	w.Run(5*time.Second, nil)
	w.IsCut = func(a, b int) bool { return a%2 != b%2 }
	w.Run(w.Now+cutDuration, nil)
	w.IsCut = nil
	at := w.Now
	if !w.Run(at+time.Minute, func() bool { return HaveConverged(w.Nodes) }) {
		return -1
	}
	return w.Now - at
}

// Tables measures the detector and writes what it showed: by size, by loss and slowness with and without Lifeguard's
// parts, and by the times that can be set.
func Tables(out io.Writer, sizes []int, seed uint64) error {
	var rows strings.Builder
	fmt.Fprintln(&rows, "daemons\tloss\tslow\tLifeguard\tfalse/h\tfirst knows: middle\tmost\tall know: middle\tmost\tmessages/s\tbytes/s\tviews equal after a cut")
	row := func(c Case, heal bool) {
		m := c.Measure(heal)
		healed := "-"
		if heal {
			healed = m.RecoveryTime.Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(&rows, "%d\t%.0f %%\t%.0f %%\t%v\t%.0f\t%s\t%s\t%s\t%s\t%.1f\t%.0f\t%s\n", c.Nodes, 100*c.LossFraction, 100*c.SlowFraction, !c.WithoutLifeguard, m.FalseFailureRate,
			formatQuantile(m.FirstDetections, 0.5), formatQuantile(m.FirstDetections, 1), formatQuantile(m.FullDetections, 0.5), formatQuantile(m.FullDetections, 1), m.MessageRate, m.ByteRate, healed)
	}
	for _, n := range sizes {
		length := 4 * time.Minute
		if n > 100 {
			length = time.Minute
		}
		row(Case{Nodes: n, ObservationPeriod: length, Seed: seed}, true)
	}
	for _, plain := range []bool{false, true} {
		for _, loss := range []float64{0.05, 0.1, 0.2, 0.3, 0.4} {
			row(Case{Nodes: 100, LossFraction: loss, WithoutLifeguard: plain, ObservationPeriod: 4 * time.Minute, Seed: seed}, loss == 0.2)
		}
		for _, slow := range []float64{0.05, 0.1, 0.2} {
			row(Case{Nodes: 100, SlowFraction: slow, WithoutLifeguard: plain, ObservationPeriod: 4 * time.Minute, Seed: seed}, false)
		}
	}
	if err := writeColumns(out, rows.String()); err != nil {
		return err
	}
	rows.Reset()
	fmt.Fprintln(&rows, "\nprobe_every\tsuspicion\tloss\tslow\tfalse/h\tall know: middle\tmost\tmessages/s")
	for _, every := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, suspicion := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			for _, hard := range []Case{{LossFraction: 0.2}, {SlowFraction: 0.1}} {
				hard.Nodes, hard.ObservationPeriod, hard.Seed = 100, 2*time.Minute, seed
				hard.Swim = swim.Options{ProbeInterval: every, SuspicionTimeout: suspicion}
				m := hard.Measure(false)
				fmt.Fprintf(&rows, "%v\t%v\t%.0f %%\t%.0f %%\t%.0f\t%s\t%s\t%.1f\n", every, suspicion, 100*hard.LossFraction, 100*hard.SlowFraction, m.FalseFailureRate, formatQuantile(m.FullDetections, 0.5), formatQuantile(m.FullDetections, 1), m.MessageRate)
			}
		}
	}
	return writeColumns(out, rows.String())
}

// writeColumns aligns the tab-separated cells of rows.
func writeColumns(out io.Writer, rows string) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}

// formatQuantile is a quantile of sorted times.
func formatQuantile(d []time.Duration, q float64) string {
	if len(d) == 0 {
		return "-"
	}
	return d[min(int(q*float64(len(d))), len(d)-1)].Round(100 * time.Millisecond).String()
}
