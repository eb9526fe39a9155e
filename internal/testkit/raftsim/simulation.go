// Package raftsim plays voters, their disks and the daemons that act under leases on one heap of events in virtual time: cuts,
// losses, stops, crashes in the middle of a write, clocks that differ. A checker looks at every act. The same seed gives the
// same play.
package raftsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/testkit/eventqueue"
	"tuliprock/internal/testkit/simdisk"
)

// Options of a Simulation.
type Options struct {
	Voters, NonVoters       int
	Seed                    uint64
	LeaseConfig             consensus.LeaseConfig
	ClockDrift              float64       // by which clocks really differ; 0: as Terms allow
	DisksIgnoreSync         bool          // disks lie about syncs
	PutInterval             time.Duration // one comes so often
	ReconfigurationInterval time.Duration // voters are changed so often, and disks of some are lost; 0: they are not
}

const (
	heartbeatInterval = 50 * time.Millisecond
	decisionInterval  = 25 * time.Millisecond
	minDelay          = 500 * time.Microsecond
	delaySpread       = 4 * time.Millisecond
	minSyncTime       = time.Millisecond
	syncTimeSpread    = 6 * time.Millisecond
	checkTime         = 2 * time.Millisecond
	maxInstallTime    = 300 * time.Millisecond

	// A document that every second daemon can't act on while it ends so; one of hardEvery puts makes it so, and another mends it.
	rejectableDoc     = "doc-hard"
	rejectedSuffix    = "!"
	rejectedPutPeriod = 16
)

// Simulation is a council that is being played.
type Simulation struct {
	Now                   time.Duration
	Nodes                 []*Node
	Checker               Checker
	DecisionsWithoutLease int // acts for which there was no lease
	Decisions             int

	options     Options
	rng         *rand.Rand
	queue       eventqueue.Queue[event]
	cutLinks    map[[2]int]bool
	lossRate    float64
	extraDelay  time.Duration // that messages take on top, at most
	proposals   map[string]*proposal
	lastPut     int
	isQuiescent bool // no more puts are begun
}

// New makes a world in which all are up.
func New(o Options) *Simulation {
	s := &Simulation{options: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), cutLinks: map[[2]int]bool{}, proposals: map[string]*proposal{}}
	drift := o.ClockDrift
	if drift == 0 {
		drift = o.LeaseConfig.MaxClockDrift
	}
	for i := range o.Voters + o.NonVoters {
		n := &Node{index: i, clockRate: 1 - drift + 2*drift*s.rng.Float64()}
		if i < o.Voters {
			n.voterID = uint64(i + 1)
		}
		s.replaceDisk(n)
		s.Nodes = append(s.Nodes, n)
		s.startNode(n)
	}
	s.schedule(nil, o.PutInterval, s.proposePuts)
	if o.ReconfigurationInterval > 0 {
		s.schedule(nil, o.ReconfigurationInterval, s.reconfigure)
	}
	return s
}

func (s *Simulation) replaceDisk(n *Node) {
	n.disk = simdisk.New()
	n.disk.IgnoresSync = s.options.DisksIgnoreSync
	n.diskID = fmt.Sprint("m", s.rng.Uint64())
}

// runningVoters are the nodes that vote, or learn to.
func (s *Simulation) runningVoters() (out []*Node) {
	for _, n := range s.Nodes {
		if n.voter != nil && !n.isDown {
			out = append(out, n)
		}
	}
	return out
}

// randomVoter is one of them; nil: none is up.
func (s *Simulation) randomVoter() *Node {
	if all := s.runningVoters(); len(all) > 0 {
		return all[s.rng.IntN(len(all))]
	}
	return nil
}

// loseDisk takes a voter's disk away, where all the others are there and have theirs.
func (s *Simulation) loseDisk(n *Node) {
	var by *Node // who knows most
	for _, v := range s.runningVoters() {
		if by == nil || v.voter.AppliedIndex() > by.voter.AppliedIndex() {
			by = v
		}
	}
	if by == nil || n.voter == nil || len(by.voter.State().ActiveVoters) < 3 {
		return
	}
	st := by.voter.State()
	for id, name := range st.VoterSlots {
		if v := s.nodeNamed(name); v.isDown || v.voterID != id || v.wasRemoved || !st.ActiveVoters[id] {
			return
		}
	}
	if len(st.DepartingVoters) > 0 {
		return
	}
	s.Crash(n)
	n.voterID, n.persistedVoters = 0, nil
	s.replaceDisk(n)
	s.schedule(nil, s.Now+time.Second, func() {
		if n.isDown {
			s.startNode(n)
		}
	})
}

func (s *Simulation) nodeNamed(name string) *Node { return s.Nodes[indexOf(name)] }

// InjectFaults plays drawn faults for a while, and heals all.
func (s *Simulation) InjectFaults(until time.Duration) {
	for s.Now < until {
		n := s.Nodes[s.rng.IntN(len(s.Nodes))]
		if s.rng.IntN(2) == 0 {
			if v := s.randomVoter(); v != nil {
				n = v
			}
		}
		length := time.Duration(s.rng.Int64N(int64(6 * time.Second)))
		kinds := 8
		if s.options.ReconfigurationInterval > 0 {
			kinds++
		}
		switch s.rng.IntN(kinds) {
		case 0, 1:
			s.partition(length)
		case 2:
			n.pausedUntil = s.Now + length
		case 3, 4:
			s.Crash(n)
			s.schedule(nil, s.Now+length, func() {
				if n.isDown {
					s.startNode(n)
				}
			})
		case 5:
			s.lossRate = 0.3 * s.rng.Float64()
			s.schedule(nil, s.Now+length, func() { s.lossRate = 0 })
		case 6:
			s.extraDelay = 400 * time.Millisecond
			s.schedule(nil, s.Now+length, func() { s.extraDelay = 0 })
		case 7: // the leader, whatever it is doing
			for _, l := range s.runningVoters() {
				if l.voter.IsLeader() {
					l.pausedUntil = s.Now + length
				}
			}
		case 8:
			s.loseDisk(n)
		}
		s.Run(s.Now + time.Duration(s.rng.Int64N(int64(2*time.Second))))
	}
	s.cutLinks, s.lossRate, s.extraDelay = map[[2]int]bool{}, 0, 0
	for _, n := range s.Nodes {
		if n.isDown {
			s.startNode(n)
		}
	}
}

// partition cuts the nodes into two parts for a while, in one direction at times.
func (s *Simulation) partition(length time.Duration) {
	oneWay := s.rng.IntN(3) == 0
	side := map[int]bool{}
	for i := range s.Nodes {
		side[i] = s.rng.IntN(2) == 0
	}
	cut := map[[2]int]bool{}
	for i := range s.Nodes {
		for k := range s.Nodes {
			if side[i] != side[k] && (!oneWay || side[i]) {
				cut[[2]int{i, k}] = true
			}
		}
	}
	s.cutLinks = cut
	s.schedule(nil, s.Now+length, func() { s.cutLinks = map[[2]int]bool{} })
}

// Converge lets all be well until all that was put is acted on by all, and says what is missing.
func (s *Simulation) Converge(within time.Duration) {
	s.isQuiescent = true
	for _, n := range s.Nodes {
		if n.wasRemoved {
			s.Crash(n)
			s.startNode(n)
		}
	}
	s.Run(s.Now + within/2)
	s.lastPut++ // the last one mends what some can't act on
	id := fmt.Sprint("put-", s.lastPut)
	s.proposals[id] = &proposal{command: &consensus.Command{ID: id, ProposedBy: "test", Put: &consensus.DocumentPut{Name: rejectableDoc, Body: []byte(id)}}}
	s.Run(s.Now + within/2)
	s.Checker.checkConverged(s)
}
