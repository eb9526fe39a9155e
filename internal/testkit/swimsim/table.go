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

// MeasuredCluster is a simulated cluster whose failure detector is measured.
type MeasuredCluster struct {
	Nodes             int
	LossFraction      float64 // fraction of messages that are lost
	SlowFraction      float64 // fraction of nodes that alternate between pauses and running phases
	WithoutLifeguard  bool    // disables swim's Lifeguard extensions: local health, suspicion shrinking and the buddy system
	Swim              swim.Options
	ObservationPeriod time.Duration // measured time without kills and cuts, so that every failure detected in it is false
	Seed              uint64
}

// Measurement is the result of measuring a MeasuredCluster.
type Measurement struct {
	FalseFailureRate float64         // false failures per hour in the whole cluster; a failure that several daemons detect counts once
	FirstDetections  []time.Duration // times from the kill of a node until the first other node detected the failure, ascending
	FullDetections   []time.Duration // times from the kill of a node until all other nodes had detected the failure, ascending
	MessageRate      float64         // messages sent per second and daemon in the observation period
	ByteRate         float64         // bytes sent per second and daemon in the observation period
	RecoveryTime     time.Duration   // time from the end of a network cut until all views were equal; 0: not measured, negative: more than a minute
}

const (
	warmUpPeriod = 20 * time.Second // time before the observation period
	maxKills     = 5                // highest number of nodes killed per cluster
	cutDuration  = 20 * time.Second // length of the cut after which RecoveryTime is measured
)

// options returns the options of the cluster's simulations, which start with converged views.
func (c MeasuredCluster) options() Options {
	o := Options{Nodes: c.Nodes, Seed: c.Seed, StartConverged: true, LossFraction: c.LossFraction, SlowFraction: c.SlowFraction, Swim: c.Swim}
	if c.WithoutLifeguard {
		o.Swim.DisableLocalHealth, o.Swim.DisableSuspicionShrink, o.Swim.DisableBuddySystem = true, true, true
	}
	return o
}

// Measure simulates the cluster: first without kills and cuts for ObservationPeriod, and then while some nodes are killed one after
// another. If withCut is set, Measure also measures in a second simulation how long the cluster takes to recover from a cut.
func (c MeasuredCluster) Measure(withCut bool) Measurement {
	var m Measurement
	sim := New(c.options())
	type failure struct {
		name        string
		incarnation uint64
	}
	falseFailures := map[failure]bool{}
	sim.Run(warmUpPeriod, nil)
	messagesBefore, bytesBefore := sim.Messages, sim.Bytes
	sim.OnChange = func(_ *Node, ch swim.Change) {
		if ch.To == swim.Failed {
			falseFailures[failure{ch.Name, ch.Incarnation}] = true
		}
	}
	sim.Run(warmUpPeriod+c.ObservationPeriod, nil)
	sim.OnChange = nil
	m.FalseFailureRate = float64(len(falseFailures)) / c.ObservationPeriod.Hours()
	nodeSeconds := c.ObservationPeriod.Seconds() * float64(c.Nodes)
	m.MessageRate, m.ByteRate = float64(sim.Messages-messagesBefore)/nodeSeconds, float64(sim.Bytes-bytesBefore)/nodeSeconds
	for i := range min(maxKills, c.Nodes/3) {
		c.measureDetection(sim, sim.Nodes[1+i*(c.Nodes-1)/maxKills], &m)
	}
	if withCut {
		m.RecoveryTime = c.measureRecovery()
	}
	slices.Sort(m.FirstDetections)
	slices.Sort(m.FullDetections)
	return m
}

// measureDetection kills a node, waits at most two minutes until all others have detected its failure, and adds the times to m.
func (c MeasuredCluster) measureDetection(sim *Simulation, n *Node, m *Measurement) {
	if n.isSlow { // the kill of a slow node can't be told from a pause of the node
		return
	}
	killedAt, detectedBy := sim.Now, map[int]bool{}
	sim.OnChange = func(by *Node, ch swim.Change) {
		switch {
		case ch.Name != n.Peer.Name:
		case ch.To == swim.Failed:
			if len(detectedBy) == 0 {
				m.FirstDetections = append(m.FirstDetections, sim.Now-killedAt)
			}
			detectedBy[by.Index] = true
		case ch.To.IsPresent():
			delete(detectedBy, by.Index)
		}
	}
	sim.Kill(n)
	otherCount := len(sim.RunningNodes())
	if sim.Run(killedAt+2*time.Minute, func() bool { return len(detectedBy) >= otherCount }) {
		m.FullDetections = append(m.FullDetections, sim.Now-killedAt)
	}
	sim.OnChange = nil
}

// measureRecovery returns how long the views of a cluster take to become equal after a cut into two halves has healed, or -1 if
// that takes more than a minute.
func (c MeasuredCluster) measureRecovery() time.Duration {
	sim := New(c.options())
	sim.Run(5*time.Second, nil)
	sim.IsCut = func(a, b int) bool { return a%2 != b%2 }
	sim.Run(sim.Now+cutDuration, nil)
	sim.IsCut = nil
	healedAt := sim.Now
	if !sim.Run(healedAt+time.Minute, func() bool { return HaveConverged(sim.Nodes) }) {
		return -1
	}
	return sim.Now - healedAt
}

// WriteTables measures the failure detector and writes two tables. The rows of the first table are clusters of different sizes, and then
// clusters with different message loss and different fractions of slow nodes, each with and without swim's Lifeguard extensions. The rows
// of the second table are clusters with different probe intervals and suspicion timeouts.
func WriteTables(out io.Writer, sizes []int, seed uint64) error {
	var rows strings.Builder
	fmt.Fprintln(&rows, "daemons\tloss\tslow\tLifeguard\tfalse/h\tfirst knows: middle\tmost\tall know: middle\tmost\tmessages/s\tbytes/s\tviews equal after a cut")
	writeRow := func(c MeasuredCluster, withCut bool) {
		m := c.Measure(withCut)
		recoveryTime := "-"
		if withCut {
			recoveryTime = m.RecoveryTime.Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(&rows, "%d\t%.0f %%\t%.0f %%\t%v\t%.0f\t%s\t%s\t%s\t%s\t%.1f\t%.0f\t%s\n", c.Nodes, 100*c.LossFraction, 100*c.SlowFraction, !c.WithoutLifeguard, m.FalseFailureRate,
			formatQuantile(m.FirstDetections, 0.5), formatQuantile(m.FirstDetections, 1), formatQuantile(m.FullDetections, 0.5), formatQuantile(m.FullDetections, 1), m.MessageRate, m.ByteRate, recoveryTime)
	}
	for _, n := range sizes {
		observationPeriod := 4 * time.Minute
		if n > 100 {
			observationPeriod = time.Minute
		}
		writeRow(MeasuredCluster{Nodes: n, ObservationPeriod: observationPeriod, Seed: seed}, true)
	}
	for _, withoutLifeguard := range []bool{false, true} {
		for _, lossFraction := range []float64{0.05, 0.1, 0.2, 0.3, 0.4} {
			writeRow(MeasuredCluster{Nodes: 100, LossFraction: lossFraction, WithoutLifeguard: withoutLifeguard, ObservationPeriod: 4 * time.Minute, Seed: seed}, lossFraction == 0.2)
		}
		for _, slowFraction := range []float64{0.05, 0.1, 0.2} {
			writeRow(MeasuredCluster{Nodes: 100, SlowFraction: slowFraction, WithoutLifeguard: withoutLifeguard, ObservationPeriod: 4 * time.Minute, Seed: seed}, false)
		}
	}
	if err := writeColumns(out, rows.String()); err != nil {
		return err
	}
	rows.Reset()
	fmt.Fprintln(&rows, "\nprobe_every\tsuspicion\tloss\tslow\tfalse/h\tall know: middle\tmost\tmessages/s")
	for _, probeInterval := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, suspicionTimeout := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			for _, c := range []MeasuredCluster{{LossFraction: 0.2}, {SlowFraction: 0.1}} {
				c.Nodes, c.ObservationPeriod, c.Seed = 100, 2*time.Minute, seed
				c.Swim = swim.Options{ProbeInterval: probeInterval, SuspicionTimeout: suspicionTimeout}
				m := c.Measure(false)
				fmt.Fprintf(&rows, "%v\t%v\t%.0f %%\t%.0f %%\t%.0f\t%s\t%s\t%.1f\n", probeInterval, suspicionTimeout, 100*c.LossFraction, 100*c.SlowFraction, m.FalseFailureRate, formatQuantile(m.FullDetections, 0.5), formatQuantile(m.FullDetections, 1), m.MessageRate)
			}
		}
	}
	return writeColumns(out, rows.String())
}

// writeColumns writes rows with their tab-separated cells aligned.
func writeColumns(out io.Writer, rows string) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, rows); err != nil {
		return err
	}
	return t.Flush()
}

// formatQuantile formats the q-quantile of times in ascending order; it returns a dash if there are no times.
func formatQuantile(times []time.Duration, q float64) string {
	if len(times) == 0 {
		return "-"
	}
	return times[min(int(q*float64(len(times))), len(times)-1)].Round(100 * time.Millisecond).String()
}
