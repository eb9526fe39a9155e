package raftnode

import (
	"reflect"

	"tuliprock/internal/cluster/consensus"
)

// Status describes the cluster's voters and the replicated documents as far as this daemon knows.
type Status struct {
	IsVoter             bool                      // whether this daemon runs a voter that is not a learner
	IsLeader            bool                      // whether this daemon's voter takes itself for the leader
	Leader              string                    // name of the voter taken for the leader: the sender of the latest grant or, if it left a lease request unanswered since, the voter that was asked next
	KnownVoters         []string                  // names of the daemons from which this daemon may request a lease, sorted
	ActiveVoters        []string                  // names of the daemons that vote, as a leader last reported them
	Term                uint64                    // latest raft term that this daemon's voter has seen; 0: the daemon runs no voter
	AppliedVersion      uint64                    // latest version that this daemon's voter has applied; 0: none, or the daemon runs no voter
	PendingVersion      uint64                    // version to be activated next, as far as this daemon's voter knows; 0: none, or it runs no voter
	OldestActiveVersion uint64                    // oldest version on which a daemon may still act; 0: not known
	Lagging             []consensus.LaggingDaemon // daemons that delay the activation of the pending version, or do not act on the active version yet
	RejectedVersion     uint64                    // latest version on which this daemon can't act; 0: none
	RejectionReason     string                    // why this daemon can't act on RejectedVersion
}

// Status returns the status after the latest pass of the event loop. The caller must not modify its slices.
func (n *Node) Status() Status { return *n.status.Load() }

// publish makes the leased version and the status available to other goroutines if they have changed.
func (n *Node) publish() {
	leased := n.leaseClient.holder.Leased()
	if published := n.leased.Load(); leased.Version != published.Version || leased.ExpiresAt != published.ExpiresAt {
		n.leased.Store(&leased)
		if leased.Version != published.Version {
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

// currentStatus returns the status that the lease client and this daemon's voter have now.
func (n *Node) currentStatus() Status {
	s := Status{Leader: n.leaseClient.leader, KnownVoters: n.leaseClient.knownVoters, ActiveVoters: n.leaseClient.activeVoters}
	s.OldestActiveVersion, s.Lagging = n.leaseClient.holder.OldestActiveVersion()
	s.RejectedVersion, s.RejectionReason = n.leaseClient.holder.RejectedVersion()
	if n.localVoter == nil {
		return s
	}
	voter, state := n.localVoter.voter, n.localVoter.voter.State()
	s.IsVoter, s.IsLeader, s.Term = !voter.IsLearner(), voter.IsLeader(), voter.Term()
	s.AppliedVersion, s.PendingVersion = state.Version, state.PendingVersion
	if s.IsLeader {
		s.Lagging = voter.LaggingDaemons()
	}
	return s
}
