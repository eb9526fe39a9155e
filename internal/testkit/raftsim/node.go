package raftsim

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/wal"
)

// Node is a daemon: the first ones vote, too.
type Node struct {
	place  int
	rate   float64
	paused time.Duration
	down   bool
	life   int

	id     uint64 // of its seat, as its disk has it; 0: it does not vote
	left   bool   // its seat was taken out: with its next start its disk is empty
	names  map[uint64]int
	asks   []int  // whom it may ask
	mark   string // of its disk
	kept   []int  // whom it knew to vote, over restarts
	disk   *simdisk.Disk
	log    *wal.Log
	voter  *consensus.Voter
	busy   bool     // the disk syncs
	later  []func() // what came meanwhile
	holder *consensus.LeaseHolder
	leader int // whom it asks
	heard  bool

	installed uint64 // the version that its other parts act on
	digest    [32]byte
}

func (n *Node) local(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*n.rate)
}

func (n *Node) world(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour)/n.rate) + 1
}

// begin starts a node's process, with what its disk has.
func (w *Simulation) begin(n *Node) {
	n.life++
	n.down, n.busy, n.later, n.paused, n.installed = false, false, nil, 0, 0
	n.holder = consensus.NewLeaseHolder(fmt.Sprint("d", n.place), w.o.LeaseConfig, 0, nil)
	n.names, n.asks = map[uint64]int{}, slices.Clone(n.kept)
	for i := range w.o.Voters {
		n.asks = append(n.asks, i)
	}
	n.leader = n.asks[w.rng.IntN(len(n.asks))]
	if n.left {
		n.left, n.id = false, 0
		w.newDisk(n)
	}
	if n.id != 0 {
		if err := w.open(n); err != nil {
			w.Checker.Violations = append(w.Checker.Violations, fmt.Sprintf("%v: voter %d does not start: %v", w.Now, n.place, err))
			n.down = true
			return
		}
		w.at(n, w.Now, func() { w.tick(n) })
	}
	w.at(n, w.Now, func() { w.ask(n) })
	w.at(n, w.Now, func() { w.act(n) })
}

func (w *Simulation) open(n *Node) error {
	var names []string
	for i := range w.o.Voters {
		if n.id <= uint64(w.o.Voters) {
			names = append(names, fmt.Sprint("d", i))
		}
	}
	d, err := consensus.NewRecoveredState(names)
	if err != nil {
		return err
	}
	n.log, err = wal.Open(n.disk, wal.Options{SegmentBytes: 64 << 10}, func(index uint64, r io.Reader) error { return d.Restore(index, r) },
		func(r wal.Record) error { return d.Replay(r.Type, r.Payload) })
	if err != nil {
		return err
	}
	n.voter, err = consensus.NewVoter(n.local(w.Now), consensus.Config{ID: n.id, HeartbeatInterval: beat, Seed: w.rng.Uint64(), Lease: w.o.LeaseConfig}, d)
	return err
}

// Crash ends a node's process, and takes the power from its disk.
func (w *Simulation) Crash(n *Node) {
	if n.down {
		return
	}
	n.down, n.voter = true, nil
	n.disk.Crash(w.rng)
}

// leave ends a node's part in the voting.
func (w *Simulation) leave(n *Node) { n.voter, n.left, n.later, n.busy = nil, true, nil, false }

// placeOf is the place of the node of a name. All names here are "d" and a place: another one is this package's mistake.
func placeOf(name string) (place int) {
	if _, err := fmt.Sscanf(name, "d%d", &place); err != nil {
		panic(fmt.Sprintf("raftsim: %q is no node's name: %v", name, err))
	}
	return place
}

// use has a voter's process do something, when its disk is done with what was before.
func (w *Simulation) use(n *Node, do func()) {
	if n.voter == nil {
		return
	}
	if n.busy {
		n.later = append(n.later, do)
		return
	}
	if do(); n.voter.StopReason != nil {
		w.stopped(n)
		return
	}
	w.output(n)
}

// stopped takes up that a voter can't go on, which no disk that keeps its word is a cause for.
func (w *Simulation) stopped(n *Node) {
	w.Checker.broken("%v: voter %d stops: %v", w.Now, n.place, n.voter.StopReason)
	w.Crash(n)
}

// output carries out what a voter wants: records first, then, when they are sure, messages and answers.
func (w *Simulation) output(n *Node) {
	if n.voter == nil {
		return
	}
	v := n.voter
	out := v.Output(n.local(w.Now))
	if n.voter.StopReason != nil {
		w.stopped(n)
		return
	}
	if out == nil && len(n.voter.Grants) == 0 && len(n.voter.Results) == 0 {
		return
	}
	if out == nil {
		out = &consensus.VoterOutput{}
	}
	for _, r := range out.Records {
		if _, err := n.log.Append(r.Type, r.Payload); err != nil {
			w.Crash(n)
			return
		}
	}
	grants, results := n.voter.Grants, n.voter.Results
	n.voter.Grants, n.voter.Results = nil, nil
	wait := time.Duration(0)
	if len(out.Records) > 0 || out.Snapshot != nil {
		wait = syncLeast + time.Duration(w.rng.Int64N(int64(syncMore)))
	}
	n.busy = true // until that has been done: a stop in the middle lets nothing overtake it
	w.at(n, w.Now+wait, func() {
		if n.voter != v { // its seat was taken out meanwhile
			return
		}
		if err := n.log.Sync(); err != nil {
			w.Crash(n)
			return
		}
		if out.Snapshot != nil && n.log.SyncedIndex() > n.log.SnapshotIndex() {
			if err := n.log.WriteSnapshot(n.log.SyncedIndex(), out.Snapshot.Body); err != nil {
				w.Crash(n)
				return
			}
		}
		for _, m := range out.Messages {
			w.sendRaft(n, m)
		}
		for _, r := range results {
			w.Checker.committed(w.Now, n, r)
			if p := w.puts[r.ID]; p != nil {
				p.done = true
			}
		}
		for _, g := range grants {
			w.sendGrant(n, g)
		}
		n.busy = false
		todo := n.later
		n.later = nil
		w.output(n)
		for _, do := range todo {
			w.use(n, do)
		}
	})
}

// learnVoters takes up whom a daemon may ask, and whether it votes.
func (w *Simulation) learnVoters(n *Node, g consensus.LeaseGrant) {
	n.asks = nil
	for _, name := range g.SlotHolders {
		n.asks = append(n.asks, w.named(name).place)
	}
	n.kept = n.asks
	seat := uint64(0)
	if n.voter != nil {
		seat = n.id
	}
	switch g.VoterAction(fmt.Sprint("d", n.place), seat) {
	case consensus.StopVoter:
		w.leave(n)
	case consensus.StartVoter:
		if n.left {
			return
		}
		n.id = g.VoterID
		if err := w.open(n); err != nil {
			w.Checker.broken("%v: daemon %d can't take a seat: %v", w.Now, n.place, err)
			return
		}
		w.at(n, w.Now, func() { w.tick(n) })
	}
}

// errOld is why some daemons can't act on some versions.
var errOld = errors.New("this program knows no such setting")

// canAct tells whether a daemon can act on documents: every second one is of a program that can't read some.
func (n *Node) canAct(docs map[string]consensus.Document) error {
	if n.place%2 == 1 && strings.HasSuffix(string(docs[hardDoc].Body), hardEnd) {
		return errOld
	}
	return nil
}

func (w *Simulation) tick(n *Node) {
	w.use(n, func() { n.voter.Tick(n.local(w.Now)) })
	if !n.down && n.voter != nil {
		w.at(n, max(n.world(n.voter.NextTick()), w.Now+time.Millisecond), func() { w.tick(n) })
	}
}

// ask sends a request for a lease to whom the last answer came from, or to the next.
func (w *Simulation) ask(n *Node) {
	if !n.heard {
		n.leader = n.asks[(slices.Index(n.asks, n.leader)+1)%len(n.asks)]
	}
	n.heard = false
	r, again := n.holder.NextRequest(n.local(w.Now))
	if n.voter == nil && !n.left {
		r.DiskID = n.mark
	}
	w.send(n.place, n.leader, func(v *Node) {
		hint := func() { // it says whom to ask
			w.send(v.place, n.place, func(d *Node) {
				if !d.heard {
					d.asks = slices.Compact(slices.Sorted(slices.Values(slices.Concat(d.asks, v.asks))))
				}
			})
		}
		if v.voter == nil {
			hint()
			return
		}
		w.use(v, func() {
			if v.voter.RequestLease(r) != nil {
				hint()
			}
		})
	})
	w.at(n, n.world(again), func() { w.ask(n) })
}

// act is a request that a daemon decides by the version that it has.
func (w *Simulation) act(n *Node) {
	w.Decisions++
	a := n.holder.Leased()
	if n.installed > 0 && (a.CoversVersion(n.installed, n.local(w.Now)) || w.o.LeaseConfig.SkipExpiryCheck) {
		w.Checker.acts(w.Now, n, n.installed, n.digest)
	} else {
		w.DecisionsWithoutLease++
	}
	w.at(n, w.Now+actEvery, func() { w.act(n) })
}

// install has a daemon's other parts change over to what it is to act on, which takes them a while.
func (w *Simulation) install(n *Node) {
	a := n.holder.Leased()
	w.at(n, w.Now+time.Duration(w.rng.Int64N(int64(installMost))), func() {
		if a.Version > n.installed {
			n.installed, n.digest = a.Version, consensus.DigestDocuments(a.Docs)
			n.holder.MarkInstalled(a.Version)
		}
	})
}
