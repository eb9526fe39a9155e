// Package raftsim plays voters, their disks and the daemons that act under leases on one heap of events in virtual time: cuts,
// losses, stops, crashes in the middle of a write, clocks that differ. A checker looks at every act. The same seed gives the
// same play.
package raftsim

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/testkit/eventqueue"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/wal"
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

type put struct {
	c    *consensus.Command
	done bool
}

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

// event is something that a node does, in one life; a nil node: the world.
type event struct {
	node *Node
	life int
	do   func()
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

func (n *Node) local(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*n.rate)
}

func (n *Node) world(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour)/n.rate) + 1
}

// at has something done at an instant: by a node, if it lives on and when it runs, or by the world.
func (w *Simulation) at(n *Node, at time.Duration, do func()) {
	e := event{node: n, do: do}
	if n != nil {
		e.life = n.life
	}
	w.agenda.Schedule(max(at, w.Now), e)
}

// Run plays until an instant.
func (w *Simulation) Run(until time.Duration) {
	for e, ok := w.agenda.PopDue(until); ok; e, ok = w.agenda.PopDue(until) {
		w.Now = e.At
		switch n := e.Event.node; {
		case n == nil:
			e.Event.do()
		case n.down || n.life != e.Event.life:
		case n.paused > w.Now:
			w.agenda.Reschedule(n.paused, e)
		default:
			e.Event.do()
		}
	}
	w.Now = until
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

// reseat changes the voters: who has lost its disk is taken out, one is put in where there are few, and one taken out where there are
// many. Now and then a voter loses its disk, while all others are there.
func (w *Simulation) reseat() {
	if w.calm {
		return
	}
	w.at(nil, w.Now+w.o.ReconfigurationInterval, w.reseat)
	by := w.aVoter()
	if by == nil {
		return
	}
	seats := by.voter.State().VoterSlots
	var lost, in, out []*Node
	for _, n := range w.Nodes {
		switch id := by.voter.State().VoterID(fmt.Sprint("d", n.place)); {
		case id == 0:
			out = append(out, n)
		case n.id != id:
			lost = append(lost, n)
		default:
			in = append(in, n)
		}
	}
	c := &consensus.VoterChange{Remove: true}
	switch {
	case len(lost) > 0:
		c.Name = fmt.Sprint("d", lost[0].place)
	case len(seats) <= w.o.Voters && len(out) > 0:
		n := out[w.rng.IntN(len(out))]
		if c.Name, c.Remove = fmt.Sprint("d", n.place), false; n.left { // its directory is emptied, and it is started again
			w.Crash(n)
			w.begin(n)
		}
	case len(in) > 0:
		c.Name = fmt.Sprint("d", in[w.rng.IntN(len(in))].place)
	}
	w.at(by, w.Now, func() { w.use(by, func() { _ = by.voter.Propose(&consensus.Command{ChangeVoter: c}) }) })
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

// send carries something from one node to another, if it gets there.
func (w *Simulation) send(from, to int, do func(n *Node)) {
	if w.cut[[2]int{from, to}] || w.rng.Float64() < w.loss {
		return
	}
	n := w.Nodes[to]
	w.at(n, w.Now+leastDelay+time.Duration(w.rng.Int64N(int64(moreDelay+w.slow))), func() { do(n) })
}

func (w *Simulation) sendRaft(n *Node, m *raftpb.Message) {
	to, known := n.names[m.GetTo()]
	if name := n.voter.State().VoterName(m.GetTo()); name != "" {
		to, known = w.named(name).place, true
	}
	if !known {
		return
	}
	if m.GetType() == raftpb.MsgSnap { // over a stream: whether it arrives is known
		w.at(n, w.Now+2*moreDelay, func() { w.use(n, func() { n.voter.ReportSnapshot(m.GetTo(), !w.cut[[2]int{n.place, to}]) }) })
	}
	w.send(n.place, to, func(other *Node) { w.hear(other, n.place, m) })
}

// hear takes a message, as chamber does.
func (w *Simulation) hear(n *Node, from int, m *raftpb.Message) {
	if n.voter == nil || n.id != m.GetTo() {
		return
	}
	w.use(n, func() {
		n.names[m.GetFrom()] = from
		n.voter.Receive(n.local(w.Now), m)
	})
}

func (w *Simulation) sendGrant(n *Node, t consensus.AddressedGrant) {
	w.send(n.place, placeOf(t.Recipient), func(d *Node) {
		d.heard, d.leader = true, n.place
		w.learnVoters(d, t.Grant)
		d.holder.HandleGrant(d.local(w.Now), t.Grant)
		w.install(d)
		if version, docs := d.holder.PendingCheck(); version > 0 { // looked at for a while, beside all else
			w.at(d, w.Now+checkTime, func() {
				if now, _ := d.holder.PendingCheck(); now == version {
					d.holder.CompleteCheck(version, d.canAct(docs))
				}
			})
		}
	})
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

// put has something put, and asks again for what has not been heard of.
func (w *Simulation) put() {
	if !w.calm {
		w.next++
		id := fmt.Sprint("put-", w.next)
		c := &consensus.Command{ID: id, ProposedBy: "test", Put: &consensus.DocumentPut{Name: fmt.Sprint("doc-", w.rng.IntN(3)), Body: []byte(id)}}
		switch w.next % hardEvery {
		case 0:
			c.Put = &consensus.DocumentPut{Name: hardDoc, Body: []byte(id + hardEnd)}
		case hardEvery / 4:
			c.Put = &consensus.DocumentPut{Name: hardDoc, Body: []byte(id)}
		case hardEvery / 2:
			c.Put, c.Revert = nil, &consensus.DocumentVersion{Name: "doc-0", Version: w.Checker.latest / 2}
		}
		w.puts[id] = &put{c: c}
		if w.next%(2*hardEvery) == 0 { // every second time somebody insists
			w.at(nil, w.Now+w.o.PutInterval/2, w.force)
		}
	}
	for i := max(1, w.next-20); i <= w.next; i++ {
		if p := w.puts[fmt.Sprint("put-", i)]; !p.done {
			if to := w.aVoter(); to != nil {
				w.at(to, w.Now, func() { w.use(to, func() { _ = to.voter.Propose(p.c) }) })
			}
		}
	}
	w.at(nil, w.Now+w.o.PutInterval, w.put)
}

// force has what comes activated though some can't act on it, as far as some voter knows.
func (w *Simulation) force() {
	to := w.aVoter()
	if to == nil {
		return
	}
	w.at(to, w.Now, func() {
		w.use(to, func() {
			if st := to.voter.State(); st.Pending > st.Active {
				_ = to.voter.Propose(&consensus.Command{Force: st.Pending})
			}
		})
	})
}

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
