package raftsim

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"tuliprock/internal/cluster/consensus"
)

// Measurements are what a quiet council showed, and one whose leader is killed.
type Measurements struct {
	CommitLatency, ActivationLatency []time.Duration // of a put: until it is agreed on, and until all act on it; sorted
	FailoverTime                     []time.Duration // from a leader's death until a put is agreed on again
	MaxOverlap                       time.Duration
}

const (
	measured  = 20 // puts
	deaths    = 10
	lookEvery = 2 * time.Millisecond
	restAfter = 3 * time.Second
)

// Measure plays a council of three voters and so many daemons in all.
func Measure(daemons int, seed uint64, terms consensus.LeaseConfig) Measurements {
	var f Measurements
	w := New(Options{Voters: 3, NonVoters: daemons - 3, Seed: seed, LeaseConfig: terms, PutInterval: 10 * time.Millisecond})
	w.calm = true
	w.Run(5*time.Second + 2*terms.Duration)
	for range measured {
		committed, acted := w.measurePut()
		f.CommitLatency, f.ActivationLatency = append(f.CommitLatency, committed), append(f.ActivationLatency, acted)
		w.Run(w.Now + restAfter)
	}
	f.MaxOverlap = w.Checker.MaxOverlap
	for range deaths {
		for _, n := range w.Nodes[:3] {
			if !n.down && n.voter.IsLeader() {
				w.Crash(n)
				committed, _ := w.measurePut()
				f.FailoverTime = append(f.FailoverTime, committed)
				w.begin(n)
				break
			}
		}
		w.Run(w.Now + 3*terms.Duration)
	}
	slices.Sort(f.CommitLatency)
	slices.Sort(f.ActivationLatency)
	slices.Sort(f.FailoverTime)
	return f
}

// measurePut has something put, and gives how long it took until it was agreed on and until all who run acted on it.
func (w *Simulation) measurePut() (committed, acted time.Duration) {
	began, was := w.Now, w.Checker.latest
	w.next++
	id := fmt.Sprint("put-", w.next)
	w.puts[id] = &put{c: &consensus.Command{ID: id, Put: &consensus.DocumentPut{Name: "doc", Body: []byte(id)}}}
	for w.Now < began+time.Minute {
		w.Run(w.Now + lookEvery)
		if committed == 0 && w.Checker.latest > was {
			committed = w.Now - began
		}
		if committed > 0 && w.allAct(w.Checker.latest) {
			return committed, w.Now - began
		}
	}
	return committed, time.Minute
}

func (w *Simulation) allAct(version uint64) bool {
	return !slices.ContainsFunc(w.Nodes, func(n *Node) bool {
		if n.down {
			return false
		}
		v, _, ok := n.holder.Valid(n.local(w.Now))
		return !ok || v < version
	})
}

// Tables measures councils of several sizes, with leases as they are by default.
func Tables(out io.Writer, sizes []int, seed uint64) error {
	terms := consensus.LeaseConfig{Duration: 15 * time.Second, ShortDuration: time.Duration(4.95 * float64(time.Second)), MaxClockDrift: 0.01}
	var rows strings.Builder
	fmt.Fprintln(&rows, "daemons\tagreed on: middle\tmost\tall act: middle\tmost\tcontradiction\tafter a leader's death: middle\tmost")
	for _, n := range sizes {
		f := Measure(n, seed, terms)
		fmt.Fprintf(&rows, "%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n", n, at(f.CommitLatency, 0.5), at(f.CommitLatency, 1), at(f.ActivationLatency, 0.5), at(f.ActivationLatency, 1), f.MaxOverlap.Round(time.Millisecond),
			at(f.FailoverTime, 0.5), at(f.FailoverTime, 1))
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, rows.String()); err != nil {
		return err
	}
	return t.Flush()
}

func at(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	return d[min(int(q*float64(len(d))), len(d)-1)].Round(time.Millisecond)
}
