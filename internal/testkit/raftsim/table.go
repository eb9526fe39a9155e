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
	measuredPuts  = 20 // puts
	leaderCrashes = 10
	pollInterval  = 2 * time.Millisecond
	pauseAfterPut = 3 * time.Second
)

// Measure plays a council of three voters and so many daemons in all.
func Measure(daemons int, seed uint64, terms consensus.LeaseConfig) Measurements {
	var f Measurements
	s := New(Options{Voters: 3, NonVoters: daemons - 3, Seed: seed, LeaseConfig: terms, PutInterval: 10 * time.Millisecond})
	s.isQuiescent = true
	s.Run(5*time.Second + 2*terms.Duration)
	for range measuredPuts {
		committed, acted := s.measurePut()
		f.CommitLatency, f.ActivationLatency = append(f.CommitLatency, committed), append(f.ActivationLatency, acted)
		s.Run(s.Now + pauseAfterPut)
	}
	f.MaxOverlap = s.Checker.MaxOverlap
	for range leaderCrashes {
		for _, n := range s.Nodes[:3] {
			if !n.isDown && n.voter.IsLeader() {
				s.Crash(n)
				committed, _ := s.measurePut()
				f.FailoverTime = append(f.FailoverTime, committed)
				s.startNode(n)
				break
			}
		}
		s.Run(s.Now + 3*terms.Duration)
	}
	slices.Sort(f.CommitLatency)
	slices.Sort(f.ActivationLatency)
	slices.Sort(f.FailoverTime)
	return f
}

// measurePut has something put, and gives how long it took until it was agreed on and until all who run acted on it.
func (s *Simulation) measurePut() (committed, acted time.Duration) {
	began, was := s.Now, s.Checker.latestVersion
	s.lastPut++
	id := fmt.Sprint("put-", s.lastPut)
	s.proposals[id] = &proposal{command: &consensus.Command{ID: id, Put: &consensus.DocumentPut{Name: "doc", Body: []byte(id)}}}
	for s.Now < began+time.Minute {
		s.Run(s.Now + pollInterval)
		if committed == 0 && s.Checker.latestVersion > was {
			committed = s.Now - began
		}
		if committed > 0 && s.allActOn(s.Checker.latestVersion) {
			return committed, s.Now - began
		}
	}
	return committed, time.Minute
}

func (s *Simulation) allActOn(version uint64) bool {
	return !slices.ContainsFunc(s.Nodes, func(n *Node) bool {
		if n.isDown {
			return false
		}
		v, _, ok := n.leaseHolder.Valid(n.localTime(s.Now))
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
		fmt.Fprintf(&rows, "%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n", n, quantile(f.CommitLatency, 0.5), quantile(f.CommitLatency, 1), quantile(f.ActivationLatency, 0.5), quantile(f.ActivationLatency, 1), f.MaxOverlap.Round(time.Millisecond),
			quantile(f.FailoverTime, 0.5), quantile(f.FailoverTime, 1))
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, rows.String()); err != nil {
		return err
	}
	return t.Flush()
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	return d[min(int(q*float64(len(d))), len(d)-1)].Round(time.Millisecond)
}
