package raftnode

import (
	"reflect"

	"tuliprock/internal/cluster/consensus"
)

// Status is the state of the agreement as this daemon sees it.
type Status struct {
	Votes     bool            // this daemon is a voter, and no learner
	Leads     bool            // this daemon's voter is the leader
	Leader    string          // the voter that granted the latest lease, or that was asked for one last
	Voters    []string        // whom this daemon may ask for a lease, sorted
	Sitting   []string        // who votes, as the leader reported last
	Term      uint64          // raft's, of this daemon's voter; 0: it does not vote
	Committed uint64          // latest version that this daemon's voter has applied; 0: it does not vote
	Coming    uint64          // version that is activated next, as this daemon's voter has applied it; 0: it does not vote
	All       uint64          // no daemon acts on an earlier version; 0: not known
	Lagging   []consensus.Lag // daemons that the leader waits for
	Declined  uint64          // latest version that this daemon rejected; 0: none
	Why       string          // why it was rejected
}

// Status returns the state as of the event loop's last turn. Its slices must not be changed.
func (n *Node) Status() Status { return *n.status.Load() }

// publish stores what other goroutines read, the leased version and the status, if it changed.
func (n *Node) publish() {
	leased := n.client.holder.Leased()
	if before := n.leased.Load(); leased.Version != before.Version || leased.Until != before.Until {
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
	s := Status{Leader: n.client.leader, Voters: n.client.knownVoters, Sitting: n.client.activeVoters}
	s.All, s.Lagging = n.client.holder.FullyActive()
	s.Declined, s.Why = n.client.holder.Rejected()
	if n.slot == nil {
		return s
	}
	voter, state := n.slot.voter, n.slot.voter.State()
	s.Votes, s.Leads, s.Term = !voter.IsLearner(), voter.IsLeader(), voter.Term()
	s.Committed, s.Coming = state.Version, state.Coming
	if s.Leads {
		s.Lagging = voter.Lagging()
	}
	return s
}
