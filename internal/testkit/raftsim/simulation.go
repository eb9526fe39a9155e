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
	beat        = 50 * time.Millisecond
	actEvery    = 25 * time.Millisecond
	leastDelay  = 500 * time.Microsecond
	moreDelay   = 4 * time.Millisecond
	syncLeast   = time.Millisecond
	syncMore    = 6 * time.Millisecond
	checkTime   = 2 * time.Millisecond
	installMost = 300 * time.Millisecond

	// A document that every second daemon can't act on while it ends so; one of hardEvery puts makes it so, and another mends it.
	hardDoc   = "doc-hard"
	hardEnd   = "!"
	hardEvery = 16
)

// Simulation is a council that is being played.
type Simulation struct {
	Now                   time.Duration
	Nodes                 []*Node
	Checker               Checker
	DecisionsWithoutLease int // acts for which there was no lease
	Decisions             int

	o      Options
	rng    *rand.Rand
	agenda eventqueue.Queue[event]
	cut    map[[2]int]bool
	loss   float64
	slow   time.Duration // that messages take on top, at most
	puts   map[string]*put
	next   int
	calm   bool // no more puts are begun
}

// New makes a world in which all are up.
func New(o Options) *Simulation {
	w := &Simulation{o: o, rng: rand.New(rand.NewPCG(o.Seed, 7)), cut: map[[2]int]bool{}, puts: map[string]*put{}}
	drift := o.ClockDrift
	if drift == 0 {
		drift = o.LeaseConfig.MaxClockDrift
	}
	for i := range o.Voters + o.NonVoters {
		n := &Node{place: i, rate: 1 - drift + 2*drift*w.rng.Float64()}
		if i < o.Voters {
			n.id = uint64(i + 1)
		}
		w.newDisk(n)
		w.Nodes = append(w.Nodes, n)
		w.begin(n)
	}
	w.at(nil, o.PutInterval, w.put)
	if o.ReconfigurationInterval > 0 {
		w.at(nil, o.ReconfigurationInterval, w.reseat)
	}
	return w
}

func (w *Simulation) newDisk(n *Node) {
	n.disk = simdisk.New()
	n.disk.IgnoresSync = w.o.DisksIgnoreSync
	n.mark = fmt.Sprint("m", w.rng.Uint64())
}

// voters are the nodes that vote, or learn to.
func (w *Simulation) voters() (out []*Node) {
	for _, n := range w.Nodes {
		if n.voter != nil && !n.down {
			out = append(out, n)
		}
	}
	return out
}

// aVoter is one of them; nil: none is up.
func (w *Simulation) aVoter() *Node {
	if all := w.voters(); len(all) > 0 {
		return all[w.rng.IntN(len(all))]
	}
	return nil
}

// lose takes a voter's disk away, where all the others are there and have theirs.
func (w *Simulation) lose(n *Node) {
	var by *Node // who knows most
	for _, v := range w.voters() {
		if by == nil || v.voter.AppliedIndex() > by.voter.AppliedIndex() {
			by = v
		}
	}
	if by == nil || n.voter == nil || len(by.voter.State().ActiveVoters) < 3 {
		return
	}
	st := by.voter.State()
	for id, name := range st.VoterSlots {
		if v := w.named(name); v.down || v.id != id || v.left || !st.ActiveVoters[id] {
			return
		}
	}
	if len(st.DepartingVoters) > 0 {
		return
	}
	w.Crash(n)
	n.id, n.kept = 0, nil
	w.newDisk(n)
	w.at(nil, w.Now+time.Second, func() {
		if n.down {
			w.begin(n)
		}
	})
}

func (w *Simulation) named(name string) *Node { return w.Nodes[placeOf(name)] }

// InjectFaults plays drawn faults for a while, and heals all.
func (w *Simulation) InjectFaults(until time.Duration) {
	for w.Now < until {
		n := w.Nodes[w.rng.IntN(len(w.Nodes))]
		if w.rng.IntN(2) == 0 {
			if v := w.aVoter(); v != nil {
				n = v
			}
		}
		length := time.Duration(w.rng.Int64N(int64(6 * time.Second)))
		kinds := 8
		if w.o.ReconfigurationInterval > 0 {
			kinds++
		}
		switch w.rng.IntN(kinds) {
		case 0, 1:
			w.partition(length)
		case 2:
			n.paused = w.Now + length
		case 3, 4:
			w.Crash(n)
			w.at(nil, w.Now+length, func() {
				if n.down {
					w.begin(n)
				}
			})
		case 5:
			w.loss = 0.3 * w.rng.Float64()
			w.at(nil, w.Now+length, func() { w.loss = 0 })
		case 6:
			w.slow = 400 * time.Millisecond
			w.at(nil, w.Now+length, func() { w.slow = 0 })
		case 7: // the leader, whatever it is doing
			for _, l := range w.voters() {
				if l.voter.IsLeader() {
					l.paused = w.Now + length
				}
			}
		case 8:
			w.lose(n)
		}
		w.Run(w.Now + time.Duration(w.rng.Int64N(int64(2*time.Second))))
	}
	w.cut, w.loss, w.slow = map[[2]int]bool{}, 0, 0
	for _, n := range w.Nodes {
		if n.down {
			w.begin(n)
		}
	}
}

// partition cuts the nodes into two parts for a while, in one direction at times.
func (w *Simulation) partition(length time.Duration) {
	oneWay := w.rng.IntN(3) == 0
	side := map[int]bool{}
	for i := range w.Nodes {
		side[i] = w.rng.IntN(2) == 0
	}
	cut := map[[2]int]bool{}
	for i := range w.Nodes {
		for k := range w.Nodes {
			if side[i] != side[k] && (!oneWay || side[i]) {
				cut[[2]int{i, k}] = true
			}
		}
	}
	w.cut = cut
	w.at(nil, w.Now+length, func() { w.cut = map[[2]int]bool{} })
}

// Converge lets all be well until all that was put is acted on by all, and says what is missing.
func (w *Simulation) Converge(within time.Duration) {
	w.calm = true
	for _, n := range w.Nodes {
		if n.left {
			w.Crash(n)
			w.begin(n)
		}
	}
	w.Run(w.Now + within/2)
	w.next++ // the last one mends what some can't act on
	id := fmt.Sprint("put-", w.next)
	w.puts[id] = &put{c: &consensus.Command{ID: id, ProposedBy: "test", Put: &consensus.DocumentPut{Name: hardDoc, Body: []byte(id)}}}
	w.Run(w.Now + within/2)
	w.Checker.settled(w)
}
