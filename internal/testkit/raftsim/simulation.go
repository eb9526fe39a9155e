// Package raftsim simulates voters with their disks, and daemons that act under leases, as events in virtual time. It injects
// partitions, message loss, delays, paused processes, crashes during writes, lost disks and clocks of different rates. A checker
// observes every version that a daemon acts on.
//
// The same seed gives the same run, except for runs that reconfigure voters: in a reconfiguration, package consensus iterates over
// maps.
package raftsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/testkit/eventqueue"
	"tuliprock/internal/testkit/simdisk"
)

// Options configures a Simulation.
type Options struct {
	Voters                  int    // number of nodes that vote from the start
	NonVoters               int    // number of nodes that start without a voter
	Seed                    uint64 // seed of all random choices
	LeaseConfig             consensus.LeaseConfig
	ClockDrift              float64       // greatest relative error of a node's clock rate, 0.01 for 1 %; 0: LeaseConfig.MaxClockDrift
	DisksIgnoreSync         bool          // injected fault: syncs succeed without making anything durable
	PutInterval             time.Duration // time between two puts of a document
	ReconfigurationInterval time.Duration // time between two proposals to change the voters; 0: voters neither change nor lose their disks
}

const (
	heartbeatInterval = 50 * time.Millisecond  // interval of the raft leader's heartbeats
	decisionInterval  = 25 * time.Millisecond  // time between two attempts of a daemon to act on its installed version
	minDelay          = 500 * time.Microsecond // shortest one-way delay of a message
	delaySpread       = 4 * time.Millisecond   // upper bound of the random time added to minDelay for each message
	minSyncTime       = time.Millisecond       // shortest sync of a voter's log
	syncTimeSpread    = 6 * time.Millisecond   // upper bound of the random time added to minSyncTime for each sync
	checkDuration     = 2 * time.Millisecond   // time that a daemon takes to check a pending version
	maxInstallTime    = 300 * time.Millisecond // longest time until all parts of a daemon act on a newly leased version

	// Daemons with an odd index reject rejectableDoc while its body ends with rejectedSuffix. Of every rejectedPutPeriod puts,
	// one gives the document such a body, and another one a body that all daemons accept.
	rejectableDoc     = "doc-hard"
	rejectedSuffix    = "!"
	rejectedPutPeriod = 16
)

// Simulation is a simulated cluster of voters and daemons in virtual time.
type Simulation struct {
	Now                   time.Duration // virtual time since the start of the simulation
	Nodes                 []*Node
	Checker               Checker
	Decisions             int // number of attempts of daemons to act on a version, with or without a lease
	DecisionsWithoutLease int // number of decisions that were denied, since no lease covered the installed version

	options         Options
	rng             *rand.Rand
	queue           eventqueue.Queue[event]
	cutLinks        map[[2]int]bool      // links that lose all messages, by the indexes of sender and receiver
	lossProbability float64              // probability that a message on any link is lost
	extraDelay      time.Duration        // greatest random delay of a message in addition to minDelay and delaySpread
	proposals       map[string]*proposal // puts and reverts by command ID
	lastPutNumber   int                  // number in the ID of the latest proposal
	isQuiescent     bool                 // no new puts or reconfigurations are proposed
}

// New returns a simulation in which all nodes have started.
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

// replaceDisk gives a node an empty disk with a new id.
func (s *Simulation) replaceDisk(n *Node) {
	n.disk = simdisk.New()
	n.disk.IgnoresSync = s.options.DisksIgnoreSync
	n.diskID = fmt.Sprint("m", s.rng.Uint64())
}

// runningVoters returns the nodes whose voter runs, learners included.
func (s *Simulation) runningVoters() (voters []*Node) {
	for _, n := range s.Nodes {
		if n.voter != nil && !n.isDown {
			voters = append(voters, n)
		}
	}
	return voters
}

// randomVoter returns a random node among the runningVoters; nil if there are none.
func (s *Simulation) randomVoter() *Node {
	if all := s.runningVoters(); len(all) > 0 {
		return all[s.rng.IntN(len(all))]
	}
	return nil
}

// loseDisk replaces a voter's disk by an empty one and restarts the node after a second. It does so only if there are at least three
// active voters, no voter is departing, and for each voter slot its node is up, its voter is active and its disk belongs to the slot. Thus
// no two disks are lost at a time.
func (s *Simulation) loseDisk(n *Node) {
	var mostAdvanced *Node // running voter with the highest applied index
	for _, v := range s.runningVoters() {
		if mostAdvanced == nil || v.voter.AppliedIndex() > mostAdvanced.voter.AppliedIndex() {
			mostAdvanced = v
		}
	}
	if mostAdvanced == nil || n.voter == nil || len(mostAdvanced.voter.State().ActiveVoters) < 3 {
		return
	}
	state := mostAdvanced.voter.State()
	for id, name := range state.VoterSlots {
		if v := s.nodeNamed(name); v.isDown || v.voterID != id || v.wasRemoved || !state.ActiveVoters[id] {
			return
		}
	}
	if len(state.DepartingVoters) > 0 {
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

// nodeNamed returns the node with the given name. It panics if the name is not "d" and the index of a node.
func (s *Simulation) nodeNamed(name string) *Node { return s.Nodes[indexOf(name)] }

// InjectFaults injects random faults until an instant, and then ends network faults and restarts the nodes that are down. Voters lose
// their disks only if Options.ReconfigurationInterval is set, since only a reconfiguration replaces such a voter.
func (s *Simulation) InjectFaults(until time.Duration) {
	for s.Now < until {
		n := s.Nodes[s.rng.IntN(len(s.Nodes))]
		if s.rng.IntN(2) == 0 {
			if v := s.randomVoter(); v != nil {
				n = v
			}
		}
		duration := time.Duration(s.rng.Int64N(int64(6 * time.Second)))
		faultKindCount := 8
		if s.options.ReconfigurationInterval > 0 {
			faultKindCount++
		}
		switch s.rng.IntN(faultKindCount) {
		case 0, 1:
			s.partition(duration)
		case 2:
			n.pausedUntil = s.Now + duration
		case 3, 4:
			s.Crash(n)
			s.schedule(nil, s.Now+duration, func() {
				if n.isDown {
					s.startNode(n)
				}
			})
		case 5:
			s.lossProbability = 0.3 * s.rng.Float64()
			s.schedule(nil, s.Now+duration, func() { s.lossProbability = 0 })
		case 6:
			s.extraDelay = 400 * time.Millisecond
			s.schedule(nil, s.Now+duration, func() { s.extraDelay = 0 })
		case 7: // pauses the leader
			for _, l := range s.runningVoters() {
				if l.voter.IsLeader() {
					l.pausedUntil = s.Now + duration
				}
			}
		case 8:
			s.loseDisk(n)
		}
		s.Run(s.Now + time.Duration(s.rng.Int64N(int64(2*time.Second))))
	}
	s.cutLinks, s.lossProbability, s.extraDelay = map[[2]int]bool{}, 0, 0
	for _, n := range s.Nodes {
		if n.isDown {
			s.startNode(n)
		}
	}
}

// partition splits the nodes at random into two sides that can't reach each other for a duration. In one of three partitions only
// messages of one direction are lost.
func (s *Simulation) partition(duration time.Duration) {
	oneWay := s.rng.IntN(3) == 0
	onFirstSide := map[int]bool{}
	for i := range s.Nodes {
		onFirstSide[i] = s.rng.IntN(2) == 0
	}
	links := map[[2]int]bool{}
	for i := range s.Nodes {
		for j := range s.Nodes {
			if onFirstSide[i] != onFirstSide[j] && (!oneWay || onFirstSide[i]) {
				links[[2]int{i, j}] = true
			}
		}
	}
	s.cutLinks = links
	s.schedule(nil, s.Now+duration, func() { s.cutLinks = map[[2]int]bool{} })
}

// Converge ends puts and reconfigurations, restarts the daemons whose voter was removed, and runs the simulation for a duration
// without faults, with a last put in the middle. The checker then verifies that all daemons act on the latest version.
func (s *Simulation) Converge(duration time.Duration) {
	s.isQuiescent = true
	for _, n := range s.Nodes {
		if n.wasRemoved {
			s.Crash(n)
			s.startNode(n)
		}
	}
	s.Run(s.Now + duration/2)
	s.lastPutNumber++ // this put gives rejectableDoc a body that all daemons accept
	id := fmt.Sprint("put-", s.lastPutNumber)
	s.proposals[id] = &proposal{command: &consensus.Command{ID: id, ProposedBy: "test", Put: &consensus.DocumentPut{Name: rejectableDoc, Body: []byte(id)}}}
	s.Run(s.Now + duration/2)
	s.Checker.checkConverged(s)
}
