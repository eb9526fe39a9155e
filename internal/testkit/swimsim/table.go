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
	Nodes      int
	Loss, Slow float64
	Plain      bool // without Lifeguard's parts
	Swim       swim.Options
	Length     time.Duration // of the quiet part, in which every verdict is a false one
	Seed       uint64
}

// Measured is what a case showed.
type Measured struct {
	False    float64         // verdicts an hour that a daemon which runs has failed, in the whole fleet: each counted once, however many hold it
	First    []time.Duration // from a kill until one other held it for failed
	All      []time.Duration // until all did
	Messages float64         // sent, a second and daemon, in the quiet part
	Bytes    float64
	Heal     time.Duration // after a cut into halves of 10 s, until all views are equal again; 0: not measured, negative: never within a minute
}

const (
	warmUp = 20 * time.Second
	kills  = 5
	cutFor = 20 * time.Second
)

// options are those of a case's world.
func (c Case) options() Options {
	o := Options{Nodes: c.Nodes, Seed: c.Seed, Settled: true, Loss: c.Loss, Slow: c.Slow, Swim: c.Swim}
	if c.Plain {
		o.Swim.DisableLocalHealth, o.Swim.DisableSuspicionShrink, o.Swim.DisableBuddySystem = true, true, true
	}
	return o
}

// Measure plays a case.
func (c Case) Measure(heal bool) Measured {
	var m Measured
	w := New(c.options())
	type verdict struct {
		name        string
		incarnation uint64
	}
	seen := map[verdict]bool{}
	w.Run(warmUp, nil)
	sent, bytes := w.Messages, w.Bytes
	w.OnChange = func(_ *Node, ch swim.Change) {
		if ch.To == swim.Failed {
			seen[verdict{ch.Name, ch.Incarnation}] = true
		}
	}
	w.Run(warmUp+c.Length, nil)
	w.OnChange = nil
	m.False = float64(len(seen)) / c.Length.Hours()
	perNode := c.Length.Seconds() * float64(c.Nodes)
	m.Messages, m.Bytes = float64(w.Messages-sent)/perNode, float64(w.Bytes-bytes)/perNode
	for i := range min(kills, c.Nodes/3) {
		c.kill(w, w.Nodes[1+i*(c.Nodes-1)/kills], &m)
	}
	if heal {
		m.Heal = c.heal()
	}
	slices.Sort(m.First)
	slices.Sort(m.All)
	return m
}

// kill ends a node and waits until all others know.
func (c Case) kill(w *World, n *Node, m *Measured) {
	if n.slow { // its end can't be told from its slowness
		return
	}
	at, know := w.Now, map[int]bool{}
	w.OnChange = func(by *Node, ch swim.Change) {
		switch {
		case ch.Name != n.Peer.Name:
		case ch.To == swim.Failed:
			if len(know) == 0 {
				m.First = append(m.First, w.Now-at)
			}
			know[by.Place] = true
		case ch.To.IsPresent():
			delete(know, by.Place)
		}
	}
	w.Kill(n)
	others := len(w.Living())
	if w.Run(at+2*time.Minute, func() bool { return len(know) >= others }) {
		m.All = append(m.All, w.Now-at)
	}
	w.OnChange = nil
}

// heal cuts a fleet into halves, heals it, and waits until all agree.
func (c Case) heal() time.Duration {
	w := New(c.options())
	w.Run(5*time.Second, nil)
	w.Cut = func(a, b int) bool { return a%2 != b%2 }
	w.Run(w.Now+cutFor, nil)
	w.Cut = nil
	at := w.Now
	if !w.Run(at+time.Minute, func() bool { return Agree(w.Nodes) }) {
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
			healed = m.Heal.Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(&rows, "%d\t%.0f %%\t%.0f %%\t%v\t%.0f\t%s\t%s\t%s\t%s\t%.1f\t%.0f\t%s\n", c.Nodes, 100*c.Loss, 100*c.Slow, !c.Plain, m.False,
			at(m.First, 0.5), at(m.First, 1), at(m.All, 0.5), at(m.All, 1), m.Messages, m.Bytes, healed)
	}
	for _, n := range sizes {
		length := 4 * time.Minute
		if n > 100 {
			length = time.Minute
		}
		row(Case{Nodes: n, Length: length, Seed: seed}, true)
	}
	for _, plain := range []bool{false, true} {
		for _, loss := range []float64{0.05, 0.1, 0.2, 0.3, 0.4} {
			row(Case{Nodes: 100, Loss: loss, Plain: plain, Length: 4 * time.Minute, Seed: seed}, loss == 0.2)
		}
		for _, slow := range []float64{0.05, 0.1, 0.2} {
			row(Case{Nodes: 100, Slow: slow, Plain: plain, Length: 4 * time.Minute, Seed: seed}, false)
		}
	}
	if err := writeColumns(out, rows.String()); err != nil {
		return err
	}
	rows.Reset()
	fmt.Fprintln(&rows, "\nprobe_every\tsuspicion\tloss\tslow\tfalse/h\tall know: middle\tmost\tmessages/s")
	for _, every := range []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, suspicion := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			for _, hard := range []Case{{Loss: 0.2}, {Slow: 0.1}} {
				hard.Nodes, hard.Length, hard.Seed = 100, 2*time.Minute, seed
				hard.Swim = swim.Options{ProbeInterval: every, SuspicionTimeout: suspicion}
				m := hard.Measure(false)
				fmt.Fprintf(&rows, "%v\t%v\t%.0f %%\t%.0f %%\t%.0f\t%s\t%s\t%.1f\n", every, suspicion, 100*hard.Loss, 100*hard.Slow, m.False, at(m.All, 0.5), at(m.All, 1), m.Messages)
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

// at is a quantile of sorted times.
func at(d []time.Duration, q float64) string {
	if len(d) == 0 {
		return "-"
	}
	return d[min(int(q*float64(len(d))), len(d)-1)].Round(100 * time.Millisecond).String()
}
