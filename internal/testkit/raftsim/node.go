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

// Node is a simulated daemon, named "d" and its index. It may run a voter, too.
type Node struct {
	index       int           // position in Simulation.Nodes
	clockRate   float64       // speed of the node's clock relative to virtual time
	pausedUntil time.Duration // virtual time until which the process does not run
	isDown      bool
	incarnation int // number of starts of the process; events that were scheduled before the latest start are dropped

	voterID         uint64         // raft id of the voter slot that the disk belongs to; 0: none
	wasRemoved      bool           // the node's voter was removed from the cluster; the node's next start uses an empty disk
	peerIndexes     map[uint64]int // indexes of the nodes from which raft messages have arrived, by the raft id of the sending voter
	knownVoters     []int          // indexes of the nodes that may be asked for a lease
	diskID          string         // random id of the disk
	persistedVoters []int          // indexes of the voters that the latest lease grant listed; kept across restarts of the node
	disk            *simdisk.Disk
	log             *wal.Log
	voter           *consensus.Voter // voter that the node runs; nil: none
	isSyncing       bool             // whether the voter's output is being made durable; calls of the voter are deferred until the sync has ended
	deferredCalls   []func()         // calls of the voter that wait for the end of the sync, in order
	leaseHolder     *consensus.LeaseHolder
	leaseTarget     int  // index of the node that lease requests are sent to
	gotGrant        bool // a grant has arrived since the latest lease request

	installedVersion uint64   // version that all parts of the daemon act on; 0: none
	installedDigest  [32]byte // digest of the documents of installedVersion
}

// localTime converts virtual time to the time of the node's clock, which shows one hour at virtual time 0.
func (n *Node) localTime(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*n.clockRate)
}

// virtualTime converts a time of the node's clock to virtual time, rounded up so that the node's clock has reached it then.
func (n *Node) virtualTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-time.Hour)/n.clockRate) + 1
}

// startNode starts a node's process from the content of its disk. A node whose voter was removed gets an empty disk first.
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

// openVoter recovers a node's voter from its disk. Only initial voters, whose ids are the lowest, start from the initial set of
// voters; others receive the set from the leader.
func (s *Simulation) openVoter(n *Node) error {
	var initialVoters []string
	for i := range s.options.Voters {
		if n.voterID <= uint64(s.options.Voters) {
			initialVoters = append(initialVoters, fmt.Sprint("d", i))
		}
	}
	recovered, err := consensus.NewRecoveredState(initialVoters)
	if err != nil {
		return err
	}
	n.log, err = wal.Open(n.disk, wal.Options{SegmentBytes: 64 << 10},
		func(index uint64, r io.Reader) error { return recovered.Restore(index, r) },
		func(r wal.Record) error { return recovered.Replay(r.Type, r.Payload) })
	if err != nil {
		return err
	}
	config := consensus.Config{ID: n.voterID, HeartbeatInterval: heartbeatInterval, Seed: s.rng.Uint64(), Lease: s.options.LeaseConfig}
	n.voter, err = consensus.NewVoter(n.localTime(s.Now), config, recovered)
	return err
}

// Crash ends a node's process and simulates a power loss of its disk. A node that is down is left as it is.
func (s *Simulation) Crash(n *Node) {
	if n.isDown {
		return
	}
	n.isDown, n.voter = true, nil
	n.disk.Crash(s.rng)
}

// endVoter stops a node's voter, whose slot was removed. The node continues as a daemon.
func (s *Simulation) endVoter(n *Node) {
	n.voter, n.wasRemoved, n.deferredCalls, n.isSyncing = nil, true, nil, false
}

// indexOf returns the index of the node with the given name. Every node's name is "d" and its index; indexOf panics on any other
// name, which would be a bug of this package.
func indexOf(name string) (index int) {
	if _, err := fmt.Sscanf(name, "d%d", &index); err != nil {
		panic(fmt.Sprintf("raftsim: %q is not the name of a node: %v", name, err))
	}
	return index
}

// callVoter calls a method of a node's voter and processes the voter's output. While earlier output is being synced, the call is
// deferred. If the node runs no voter, the call is dropped.
func (s *Simulation) callVoter(n *Node, call func()) {
	if n.voter == nil {
		return
	}
	if n.isSyncing {
		n.deferredCalls = append(n.deferredCalls, call)
		return
	}
	if call(); n.voter.StopReason != nil {
		s.crashStoppedVoter(n)
		return
	}
	s.processOutput(n)
}

// crashStoppedVoter reports that a node's voter has stopped itself, as a violation, and crashes the node. No voter may stop
// itself unless its disk has lost data that was synced.
func (s *Simulation) crashStoppedVoter(n *Node) {
	s.Checker.addViolation("%v: voter %d stops: %v", s.Now, n.index, n.voter.StopReason)
	s.Crash(n)
}

// processOutput processes the output of a node's voter. The output's records are appended to the log and synced first. Only then are
// messages and grants sent and results reported, since these must not state anything that the node would forget in a crash.
func (s *Simulation) processOutput(n *Node) {
	if n.voter == nil {
		return
	}
	voter := n.voter
	output := voter.Output(n.localTime(s.Now))
	if n.voter.StopReason != nil {
		s.crashStoppedVoter(n)
		return
	}
	if output == nil && len(n.voter.Grants) == 0 && len(n.voter.Results) == 0 {
		return
	}
	if output == nil {
		output = &consensus.VoterOutput{}
	}
	for _, r := range output.Records {
		if _, err := n.log.Append(r.Type, r.Payload); err != nil {
			s.Crash(n)
			return
		}
	}
	grants, results := n.voter.Grants, n.voter.Results
	n.voter.Grants, n.voter.Results = nil, nil
	syncTime := time.Duration(0)
	if len(output.Records) > 0 || output.Snapshot != nil {
		syncTime = minSyncTime + time.Duration(s.rng.Int64N(int64(syncTimeSpread)))
	}
	// isSyncing stays set until the event scheduled here has run, even if the process is paused: no call of the voter may overtake the
	// sync.
	n.isSyncing = true
	s.schedule(n, s.Now+syncTime, func() {
		if n.voter != voter { // the voter was removed during the sync
			return
		}
		if err := n.log.Sync(); err != nil {
			s.Crash(n)
			return
		}
		if output.Snapshot != nil && n.log.SyncedIndex() > n.log.SnapshotIndex() {
			if err := n.log.WriteSnapshot(n.log.SyncedIndex(), output.Snapshot.Body); err != nil {
				s.Crash(n)
				return
			}
		}
		for _, m := range output.Messages {
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
		calls := n.deferredCalls
		n.deferredCalls = nil
		s.processOutput(n)
		for _, call := range calls {
			s.callVoter(n, call)
		}
	})
}

// applySlotStatus sets the voters that a daemon knows to those that a grant lists, and stops or starts the daemon's own voter as the
// grant requires.
func (s *Simulation) applySlotStatus(n *Node, g consensus.LeaseGrant) {
	n.knownVoters = nil
	for _, name := range g.SlotHolders {
		n.knownVoters = append(n.knownVoters, s.nodeNamed(name).index)
	}
	n.persistedVoters = n.knownVoters
	runningID := uint64(0) // id of the voter that the node runs; 0: none
	if n.voter != nil {
		runningID = n.voterID
	}
	switch n.leaseHolder.VoterAction(&g, runningID) {
	case consensus.StopVoter:
		s.endVoter(n)
	case consensus.StartVoter:
		if n.wasRemoved {
			return
		}
		n.voterID = g.VoterID
		if err := s.openVoter(n); err != nil {
			s.Checker.addViolation("%v: daemon %d can't start its voter: %v", s.Now, n.index, err)
			return
		}
		s.schedule(n, s.Now, func() { s.tickVoter(n) })
	}
}

// errUnsupportedSetting is the error with which daemons of odd index reject a version in which the body of rejectableDoc ends with
// rejectedSuffix.
var errUnsupportedSetting = errors.New("this build does not support the setting")

// checkDocuments returns an error if the daemon can't act on documents. Daemons with an odd index simulate an older build, which
// does not support some bodies of rejectableDoc.
func (n *Node) checkDocuments(docs map[string]consensus.Document) error {
	if n.index%2 == 1 && strings.HasSuffix(string(docs[rejectableDoc].Body), rejectedSuffix) {
		return errUnsupportedSetting
	}
	return nil
}

// tickVoter calls the voter's Tick, and schedules the next call for when it is due, but at least a millisecond later.
func (s *Simulation) tickVoter(n *Node) {
	s.callVoter(n, func() { n.voter.Tick(n.localTime(s.Now)) })
	if !n.isDown && n.voter != nil {
		s.schedule(n, max(n.virtualTime(n.voter.NextTick()), s.Now+time.Millisecond), func() { s.tickVoter(n) })
	}
}

// requestLease sends a lease request to the voter that sent the latest grant, or to the next known voter if the previous request got no
// grant, and schedules the next request. A receiver that can't grant a lease responds with the voters that it knows.
func (s *Simulation) requestLease(n *Node) {
	if !n.gotGrant {
		n.leaseTarget = n.knownVoters[(slices.Index(n.knownVoters, n.leaseTarget)+1)%len(n.knownVoters)]
	}
	n.gotGrant = false
	request, nextAt := n.leaseHolder.NextRequest(n.localTime(s.Now))
	if n.voter == nil && !n.wasRemoved {
		request.DiskID = n.diskID
	}
	s.send(n.index, n.leaseTarget, func(v *Node) {
		sendKnownVoters := func() {
			s.send(v.index, n.index, func(d *Node) {
				if !d.gotGrant {
					d.knownVoters = slices.Compact(slices.Sorted(slices.Values(slices.Concat(d.knownVoters, v.knownVoters))))
				}
			})
		}
		if v.voter == nil {
			sendKnownVoters()
			return
		}
		s.callVoter(v, func() {
			if v.voter.RequestLease(request) != nil {
				sendKnownVoters()
			}
		})
	})
	s.schedule(n, n.virtualTime(nextAt), func() { s.requestLease(n) })
}

// decide simulates a decision for which a daemon needs the settings: the daemon acts on its installed version if a lease covers this
// version. decide also schedules the daemon's next decision.
func (s *Simulation) decide(n *Node) {
	s.Decisions++
	leasedVersion := n.leaseHolder.Leased()
	if n.installedVersion > 0 && (leasedVersion.CoversVersion(n.installedVersion, n.localTime(s.Now)) || s.options.LeaseConfig.SkipExpiryCheck) {
		s.Checker.observeDecision(s.Now, n, n.installedVersion, n.installedDigest)
	} else {
		s.DecisionsWithoutLease++
	}
	s.schedule(n, s.Now+decisionInterval, func() { s.decide(n) })
}

// installLeasedVersion has all parts of a daemon act on the leased version after a random time of less than maxInstallTime.
func (s *Simulation) installLeasedVersion(n *Node) {
	leasedVersion := n.leaseHolder.Leased()
	s.schedule(n, s.Now+time.Duration(s.rng.Int64N(int64(maxInstallTime))), func() {
		if leasedVersion.Version > n.installedVersion {
			n.installedVersion, n.installedDigest = leasedVersion.Version, consensus.DigestDocuments(leasedVersion.Docs)
			n.leaseHolder.MarkInstalled(leasedVersion.Version)
		}
	})
}
