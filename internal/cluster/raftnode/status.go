package raftnode

import (
	"reflect"

	"tuliprock/internal/cluster/consensus"
)

// Status is the state of the agreement as this daemon sees it.
type Status struct {
	IsVoter            bool                      // this daemon is a voter, and no learner
	IsLeader           bool                      // this daemon's voter is the leader
	Leader             string                    // the voter that granted the latest lease, or that was asked for one last
	KnownVoters        []string                  // whom this daemon may ask for a lease, sorted
	ActiveVoters       []string                  // who votes, as the leader reported last
	Term               uint64                    // raft's, of this daemon's voter; 0: it does not vote
	CommittedVersion   uint64                    // latest version that this daemon's voter has applied; 0: it does not vote
	PendingVersion     uint64                    // version that is activated next, as this daemon's voter has applied it; 0: it does not vote
	FullyActiveVersion uint64                    // no daemon acts on an earlier version; 0: not known
	Lagging            []consensus.LaggingDaemon // daemons that the leader waits for
	RejectedVersion    uint64                    // latest version that this daemon rejected; 0: none
	RejectionReason    string                    // why it was rejected
}

// Status returns the state as of the event loop's last turn. Its slices must not be changed.
func (n *Node) Status() Status { return *n.status.Load() }

// publish stores what other goroutines read, the leased version and the status, if it changed.
func (n *Node) publish() {
	leased := n.client.holder.Leased()
	if before := n.leased.Load(); leased.Version != before.Version || leased.ExpiresAt != before.ExpiresAt {
		n.leased.Store(&leased)
		if leased.Version != before.Version {
			select {
			case n.changed <- struct{}{}:
			default:
			}
		}
	}
	if s := n.currentStatus(); !reflect.DeepEqual(s, *n.status.Load()) {
		n.status.Store(&s)
	}
}

// currentStatus collects the status from the lease client and the voter.
func (n *Node) currentStatus() Status {
	s := Status{Leader: n.client.leader, KnownVoters: n.client.knownVoters, ActiveVoters: n.client.activeVoters}
	s.FullyActiveVersion, s.Lagging = n.client.holder.FullyActive()
	s.RejectedVersion, s.RejectionReason = n.client.holder.RejectedVersion()
	if n.localVoter == nil {
		return s
	}
	voter, state := n.localVoter.voter, n.localVoter.voter.State()
	s.IsVoter, s.IsLeader, s.Term = !voter.IsLearner(), voter.IsLeader(), voter.Term()
	s.CommittedVersion, s.PendingVersion = state.Version, state.Pending
	if s.IsLeader {
		s.Lagging = voter.LaggingDaemons()
	}
	return s
}
