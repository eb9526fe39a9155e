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

// Measurements holds what Measure has measured in virtual time. Latencies are sorted in ascending order.
type Measurements struct {
	CommitLatency     []time.Duration // time from the proposal of a put to its commit
	ActivationLatency []time.Duration // time from the proposal of a put until all running daemons have a valid lease on its version
	FailoverTime      []time.Duration // time from a crash of the leader to the commit of a put that is proposed at that moment
	MaxOverlap        time.Duration   // Checker.MaxOverlap before the first crash of a leader
}

const (
	measuredPuts  = 20                   // number of puts measured without faults
	leaderCrashes = 10                   // number of crashes of the leader
	pollInterval  = 2 * time.Millisecond // resolution of the measured latencies
	pauseAfterPut = 3 * time.Second      // virtual time between a measured put and the next
)

// Measure simulates a cluster of three voters and daemons-3 other nodes. It measures puts while there are no faults, and then puts
// right after crashes of the leader.
func Measure(daemons int, seed uint64, leaseConfig consensus.LeaseConfig) Measurements {
	var m Measurements
	s := New(Options{Voters: 3, NonVoters: daemons - 3, Seed: seed, LeaseConfig: leaseConfig, PutInterval: 10 * time.Millisecond})
	s.isQuiescent = true
	s.Run(5*time.Second + 2*leaseConfig.Duration)
	for range measuredPuts {
		commitLatency, activationLatency := s.measurePut()
		m.CommitLatency, m.ActivationLatency = append(m.CommitLatency, commitLatency), append(m.ActivationLatency, activationLatency)
		s.Run(s.Now + pauseAfterPut)
	}
	m.MaxOverlap = s.Checker.MaxOverlap
	for range leaderCrashes {
		for _, n := range s.Nodes[:3] {
			if !n.isDown && n.voter.IsLeader() {
				s.Crash(n)
				commitLatency, _ := s.measurePut()
				m.FailoverTime = append(m.FailoverTime, commitLatency)
				s.startNode(n)
				break
			}
		}
		s.Run(s.Now + 3*leaseConfig.Duration)
	}
	slices.Sort(m.CommitLatency)
	slices.Sort(m.ActivationLatency)
	slices.Sort(m.FailoverTime)
	return m
}

// measurePut proposes a put, and returns the time until it is committed and the time until all running daemons have a valid lease on its
// version. measurePut gives up after a minute: activationLatency is then a minute, and commitLatency 0 if the put was not committed.
func (s *Simulation) measurePut() (commitLatency, activationLatency time.Duration) {
	startedAt, versionBefore := s.Now, s.Checker.latestVersion
	s.lastPutNumber++
	id := fmt.Sprint("put-", s.lastPutNumber)
	s.proposals[id] = &proposal{command: &consensus.Command{ID: id, Put: &consensus.DocumentPut{Name: "doc", Body: []byte(id)}}}
	for s.Now < startedAt+time.Minute {
		s.Run(s.Now + pollInterval)
		if commitLatency == 0 && s.Checker.latestVersion > versionBefore {
			commitLatency = s.Now - startedAt
		}
		if commitLatency > 0 && s.allHaveLease(s.Checker.latestVersion) {
			return commitLatency, s.Now - startedAt
		}
	}
	return commitLatency, time.Minute
}

// allHaveLease reports whether all running daemons have a valid lease on a version or on a later one.
func (s *Simulation) allHaveLease(version uint64) bool {
	return !slices.ContainsFunc(s.Nodes, func(n *Node) bool {
		if n.isDown {
			return false
		}
		leased, _, ok := n.leaseHolder.Valid(n.localTime(s.Now))
		return !ok || leased < version
	})
}

// WriteTables measures clusters of several sizes with the default lease durations, and writes a table with a row for each size.
func WriteTables(out io.Writer, sizes []int, seed uint64) error {
	leaseConfig := consensus.LeaseConfig{Duration: 15 * time.Second, ShortDuration: time.Duration(4.95 * float64(time.Second)), MaxClockDrift: 0.01}
	var rows strings.Builder
	// The headings stand for the median and longest time to commit, the median and longest time until all daemons have a lease on the version,
	// Checker.MaxOverlap, and the median and longest time to commit after a crash of the leader.
	fmt.Fprintln(&rows, "daemons\tagreed on: middle\tmost\tall act: middle\tmost\tcontradiction\tafter a leader's death: middle\tmost")
	for _, n := range sizes {
		m := Measure(n, seed, leaseConfig)
		fmt.Fprintf(&rows, "%d\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n", n,
			quantile(m.CommitLatency, 0.5), quantile(m.CommitLatency, 1),
			quantile(m.ActivationLatency, 0.5), quantile(m.ActivationLatency, 1),
			m.MaxOverlap.Round(time.Millisecond),
			quantile(m.FailoverTime, 0.5), quantile(m.FailoverTime, 1))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(table, rows.String()); err != nil {
		return err
	}
	return table.Flush()
}

// quantile returns the q-quantile of sorted durations, rounded to milliseconds; 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)].Round(time.Millisecond)
}
