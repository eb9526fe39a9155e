package raftnode

import (
	"reflect"

	"tuliprock/internal/cluster/consensus"
)

// Status describes the cluster's voters and the replicated documents as far as this daemon knows.
type Status struct {
	IsVoter            bool                      // this daemon runs a voter that is not a learner
	IsLeader           bool                      // this daemon's voter takes itself for the leader
	Leader             string                    // voter that granted the latest lease, or from which one was requested last
	KnownVoters        []string                  // names of the daemons from which this one may request a lease, sorted
	ActiveVoters       []string                  // names of the daemons that vote, as a leader last reported them
	Term               uint64                    // latest raft term that this daemon's voter has seen; 0: it runs no voter
	CommittedVersion   uint64                    // latest version that this daemon's voter has applied; 0: it runs no voter
	PendingVersion     uint64                    // version to be activated next, by this daemon's voter; 0: it runs no voter
	FullyActiveVersion uint64                    // version before which no daemon acts; 0: not known
	Lagging            []consensus.LaggingDaemon // daemons for which the leader waits
	RejectedVersion    uint64                    // latest version on which this daemon can't act; 0: none
	RejectionReason    string                    // why this daemon can't act on RejectedVersion
}

// Status returns the status after the latest pass of the event loop. The caller must not modify its slices.
func (n *Node) Status() Status { return *n.status.Load() }

// publish makes the leased version and the status available to other goroutines if they have changed.
func (n *Node) publish() {
	leased := n.client.holder.Leased()
	if before := n.leased.Load(); leased.Version != before.Version || leased.ExpiresAt != before.ExpiresAt {
		n.leased.Store(&leased)
		if leased.Version != before.Version {
			select {
			case n.versionChanged <- struct{}{}:
			default:
			}
		}
	}
	if s := n.currentStatus(); !reflect.DeepEqual(s, *n.status.Load()) {
		n.status.Store(&s)
	}
}

// currentStatus returns the status by the state of the lease client and the voter.
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
