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
	index       int
	clockRate   float64
	pausedUntil time.Duration
	isDown      bool
	incarnation int

	voterID         uint64 // of its seat, as its disk has it; 0: it does not vote
	wasRemoved      bool   // its seat was taken out: with its next start its disk is empty
	peerIndexes     map[uint64]int
	knownVoters     []int  // whom it may ask
	diskID          string // of its disk
	persistedVoters []int  // whom it knew to vote, over restarts
	disk            *simdisk.Disk
	log             *wal.Log
	voter           *consensus.Voter
	isSyncing       bool     // the disk syncs
	deferredCalls   []func() // what came meanwhile
	leaseHolder     *consensus.LeaseHolder
	leaseTarget     int // whom it asks
	isAnswered      bool

	installedVersion uint64 // the version that its other parts act on
	installedDigest  [32]byte
}

func (n *Node) localTime(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*n.clockRate)
}

func (n *Node) virtualTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour)/n.clockRate) + 1
}

// startNode starts a node's process, with what its disk has.
func (s *Simulation) startNode(n *Node) {
	n.incarnation++
	n.isDown, n.isSyncing, n.deferredCalls, n.pausedUntil, n.installedVersion = false, false, nil, 0, 0
	n.leaseHolder = consensus.NewLeaseHolder(fmt.Sprint("d", n.index), s.options.LeaseConfig, 0, nil)
	n.peerIndexes, n.knownVoters = map[uint64]int{}, slices.Clone(n.persistedVoters)
	for i := range s.options.Voters {
		n.knownVoters = append(n.knownVoters, i)
	}
	n.leaseTarget = n.knownVoters[s.rng.IntN(len(n.knownVoters))]
	if n.wasRemoved {
		n.wasRemoved, n.voterID = false, 0
		s.replaceDisk(n)
	}
	if n.voterID != 0 {
		if err := s.openVoter(n); err != nil {
			s.Checker.Violations = append(s.Checker.Violations, fmt.Sprintf("%v: voter %d does not start: %v", s.Now, n.index, err))
			n.isDown = true
			return
		}
		s.schedule(n, s.Now, func() { s.tickVoter(n) })
	}
	s.schedule(n, s.Now, func() { s.requestLease(n) })
	s.schedule(n, s.Now, func() { s.decide(n) })
}

func (s *Simulation) openVoter(n *Node) error {
	var names []string
	for i := range s.options.Voters {
		if n.voterID <= uint64(s.options.Voters) {
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
	n.voter, err = consensus.NewVoter(n.localTime(s.Now), consensus.Config{ID: n.voterID, HeartbeatInterval: heartbeatInterval, Seed: s.rng.Uint64(), Lease: s.options.LeaseConfig}, d)
	return err
}

// Crash ends a node's process, and takes the power from its disk.
func (s *Simulation) Crash(n *Node) {
	if n.isDown {
		return
	}
	n.isDown, n.voter = true, nil
	n.disk.Crash(s.rng)
}

// endVoter ends a node's part in the voting.
func (s *Simulation) endVoter(n *Node) {
	n.voter, n.wasRemoved, n.deferredCalls, n.isSyncing = nil, true, nil, false
}

// indexOf is the place of the node of a name. All names here are "d" and a place: another one is this package's mistake.
func indexOf(name string) (place int) {
	if _, err := fmt.Sscanf(name, "d%d", &place); err != nil {
		panic(fmt.Sprintf("raftsim: %q is no node's name: %v", name, err))
	}
	return place
}

// callVoter has a voter's process do something, when its disk is done with what was before.
func (s *Simulation) callVoter(n *Node, do func()) {
	if n.voter == nil {
		return
	}
	if n.isSyncing {
		n.deferredCalls = append(n.deferredCalls, do)
		return
	}
	if do(); n.voter.StopReason != nil {
		s.handleVoterStop(n)
		return
	}
	s.processOutput(n)
}

// handleVoterStop takes up that a voter can't go on, which no disk that keeps its word is a cause for.
func (s *Simulation) handleVoterStop(n *Node) {
	s.Checker.addViolation("%v: voter %d stops: %v", s.Now, n.index, n.voter.StopReason)
	s.Crash(n)
}

// processOutput carries out what a voter wants: records first, then, when they are sure, messages and answers.
func (s *Simulation) processOutput(n *Node) {
	if n.voter == nil {
		return
	}
	v := n.voter
	out := v.Output(n.localTime(s.Now))
	if n.voter.StopReason != nil {
		s.handleVoterStop(n)
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
			s.Crash(n)
			return
		}
	}
	grants, results := n.voter.Grants, n.voter.Results
	n.voter.Grants, n.voter.Results = nil, nil
	wait := time.Duration(0)
	if len(out.Records) > 0 || out.Snapshot != nil {
		wait = minSyncTime + time.Duration(s.rng.Int64N(int64(syncTimeSpread)))
	}
	n.isSyncing = true // until that has been done: a stop in the middle lets nothing overtake it
	s.schedule(n, s.Now+wait, func() {
		if n.voter != v { // its seat was taken out meanwhile
			return
		}
		if err := n.log.Sync(); err != nil {
			s.Crash(n)
			return
		}
		if out.Snapshot != nil && n.log.SyncedIndex() > n.log.SnapshotIndex() {
			if err := n.log.WriteSnapshot(n.log.SyncedIndex(), out.Snapshot.Body); err != nil {
				s.Crash(n)
				return
			}
		}
		for _, m := range out.Messages {
			s.sendRaftMessage(n, m)
		}
		for _, r := range results {
			s.Checker.observeResult(s.Now, n, r)
			if p := s.proposals[r.ID]; p != nil {
				p.isCommitted = true
			}
		}
		for _, g := range grants {
			s.sendGrant(n, g)
		}
		n.isSyncing = false
		todo := n.deferredCalls
		n.deferredCalls = nil
		s.processOutput(n)
		for _, do := range todo {
			s.callVoter(n, do)
		}
	})
}

// handleSlotStatus takes up whom a daemon may ask, and whether it votes.
func (s *Simulation) handleSlotStatus(n *Node, g consensus.LeaseGrant) {
	n.knownVoters = nil
	for _, name := range g.SlotHolders {
		n.knownVoters = append(n.knownVoters, s.nodeNamed(name).index)
	}
	n.persistedVoters = n.knownVoters
	seat := uint64(0)
	if n.voter != nil {
		seat = n.voterID
	}
	switch g.VoterAction(fmt.Sprint("d", n.index), seat) {
	case consensus.StopVoter:
		s.endVoter(n)
	case consensus.StartVoter:
		if n.wasRemoved {
			return
		}
		n.voterID = g.VoterID
		if err := s.openVoter(n); err != nil {
			s.Checker.addViolation("%v: daemon %d can't take a seat: %v", s.Now, n.index, err)
			return
		}
		s.schedule(n, s.Now, func() { s.tickVoter(n) })
	}
}

// errUnsupportedSetting is why some daemons can't act on some versions.
var errUnsupportedSetting = errors.New("this program knows no such setting")

// checkDocuments tells whether a daemon can act on documents: every second one is of a program that can't read some.
func (n *Node) checkDocuments(docs map[string]consensus.Document) error {
	if n.index%2 == 1 && strings.HasSuffix(string(docs[rejectableDoc].Body), rejectedSuffix) {
		return errUnsupportedSetting
	}
	return nil
}

func (s *Simulation) tickVoter(n *Node) {
	s.callVoter(n, func() { n.voter.Tick(n.localTime(s.Now)) })
	if !n.isDown && n.voter != nil {
		s.schedule(n, max(n.virtualTime(n.voter.NextTick()), s.Now+time.Millisecond), func() { s.tickVoter(n) })
	}
}

// requestLease sends a request for a lease to whom the last answer came from, or to the next.
func (s *Simulation) requestLease(n *Node) {
	if !n.isAnswered {
		n.leaseTarget = n.knownVoters[(slices.Index(n.knownVoters, n.leaseTarget)+1)%len(n.knownVoters)]
	}
	n.isAnswered = false
	r, again := n.leaseHolder.NextRequest(n.localTime(s.Now))
	if n.voter == nil && !n.wasRemoved {
		r.DiskID = n.diskID
	}
	s.send(n.index, n.leaseTarget, func(v *Node) {
		hint := func() { // it says whom to ask
			s.send(v.index, n.index, func(d *Node) {
				if !d.isAnswered {
					d.knownVoters = slices.Compact(slices.Sorted(slices.Values(slices.Concat(d.knownVoters, v.knownVoters))))
				}
			})
		}
		if v.voter == nil {
			hint()
			return
		}
		s.callVoter(v, func() {
			if v.voter.RequestLease(r) != nil {
				hint()
			}
		})
	})
	s.schedule(n, n.virtualTime(again), func() { s.requestLease(n) })
}

// decide is a request that a daemon decides by the version that it has.
func (s *Simulation) decide(n *Node) {
	s.Decisions++
	a := n.leaseHolder.Leased()
	if n.installedVersion > 0 && (a.CoversVersion(n.installedVersion, n.localTime(s.Now)) || s.options.LeaseConfig.SkipExpiryCheck) {
		s.Checker.observeDecision(s.Now, n, n.installedVersion, n.installedDigest)
	} else {
		s.DecisionsWithoutLease++
	}
	s.schedule(n, s.Now+decisionInterval, func() { s.decide(n) })
}

// installLeasedVersion has a daemon's other parts change over to what it is to act on, which takes them a while.
func (s *Simulation) installLeasedVersion(n *Node) {
	a := n.leaseHolder.Leased()
	s.schedule(n, s.Now+time.Duration(s.rng.Int64N(int64(maxInstallTime))), func() {
		if a.Version > n.installedVersion {
			n.installedVersion, n.installedDigest = a.Version, consensus.DigestDocuments(a.Docs)
			n.leaseHolder.MarkInstalled(a.Version)
		}
	})
}
