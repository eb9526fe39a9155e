package consensus

import (
	"fmt"
	"maps"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// maxLearnerLag is by how many entries a learner may be behind when it is promoted: it gets them with the next
// messages.
const maxLearnerLag = 16

// IsLearner tells whether this voter does not vote yet.
func (v *Voter) IsLearner() bool { return !v.state.ActiveVoters[v.config.ID] }

// reconcileVoters proposes the next change that brings raft's configuration nearer to the voter slots: a new voter
// becomes a learner first and votes when it has the log; then voters without a slot are removed. raft drops a proposal
// while the change before it is not applied.
func (v *Voter) reconcileVoters() {
	if v.leaseManager == nil {
		return
	}
	learners, caughtUp := v.learners()
	for id := range v.state.VoterSlots {
		if !v.state.ActiveVoters[id] && !learners[id] && v.state.DiskIDs[id] != "" {
			v.proposeConfChange(raftpb.ConfChangeType_ConfChangeAddLearnerNode, id)
			return
		}
	}
	if v.state.VoterSlots[caughtUp] != "" {
		v.proposeConfChange(raftpb.ConfChangeType_ConfChangeAddNode, caughtUp)
		return
	}
	for _, ids := range []map[uint64]bool{learners, v.state.ActiveVoters} {
		for id := range ids {
			if v.state.VoterSlots[id] == "" {
				v.removeVoter(id)
				return
			}
		}
	}
}

// learners returns the learners of raft's configuration, and the id of one that may be promoted; 0: none.
func (v *Voter) learners() (learners map[uint64]bool, caughtUp uint64) {
	learners = map[uint64]bool{}
	last, _ := v.storage.LastIndex() // in memory: it does not fail
	v.rawNode.WithProgress(func(id uint64, kind raft.ProgressType, progress tracker.Progress) {
		if kind != raft.ProgressTypeLearner {
			return
		}
		learners[id] = true
		// raft counts a learner as active from when it is added; only a match says that its voter runs. The log of a young
		// cluster is shorter than maxLearnerLag.
		if progress.RecentActive && progress.Match > 0 && progress.Match+maxLearnerLag >= last {
			caughtUp = id
		}
	})
	return learners, caughtUp
}

// removeVoter proposes that a voter be removed. A leader that is to be removed transfers the leadership first.
func (v *Voter) removeVoter(id uint64) {
	if id != v.config.ID {
		v.proposeConfChange(raftpb.ConfChangeType_ConfChangeRemoveNode, id)
		return
	}
	for other := range v.state.VoterSlots {
		if v.state.ActiveVoters[other] {
			v.rawNode.TransferLeader(other)
			return
		}
	}
}

func (v *Voter) proposeConfChange(kind raftpb.ConfChangeType, id uint64) {
	// A proposal that is dropped is made again at the next heartbeat.
	_ = v.rawNode.ProposeConfChange(&raftpb.ConfChange{Type: kind.Enum(), NodeId: &id})
}

// applyConfChange applies a committed change of raft's configuration.
func (v *Voter) applyConfChange(entry *raftpb.Entry) {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		// raft itself made the entry, and the log checks its digest.
		panic(fmt.Sprintf("decode configuration change at index %d: %v", entry.GetIndex(), err))
	}
	v.confState = v.rawNode.ApplyConfChange(change)
	if change.GetType() == raftpb.ConfChangeType_ConfChangeAddLearnerNode {
		v.needsLearnerSnapshot = true
	}
	active := map[uint64]bool{}
	for _, id := range v.confState.GetVoters() {
		active[id] = true
	}
	v.state.ActiveVoters, v.state.DepartingVoters = active, maps.Clone(v.state.DepartingVoters)
	maps.DeleteFunc(v.state.DepartingVoters, func(id uint64, _ string) bool { return !active[id] })
}

// addSlotStatus adds to a grant whether the daemon has a voter slot, and whether it may start its voter. A disk that is
// new to a free slot is proposed for it; the daemon learns the outcome with a later grant.
func (v *Voter) addSlotStatus(request *LeaseRequest, grant *LeaseGrant) {
	grant.VoterID = v.state.VoterID(request.Daemon)
	if grant.VoterID == 0 || request.DiskID == "" {
		return // it has no slot, or no disk without a voter
	}
	if v.state.ActiveVoters[grant.VoterID] {
		grant.DiskLost = true // its voter is active, and the daemon does not run it
		return
	}
	switch v.state.DiskIDs[grant.VoterID] {
	case "":
		// If the proposal is dropped, the daemon's next request repeats it.
		_ = v.Propose(&Command{ClaimSlot: &SlotClaim{grant.VoterID, request.DiskID}})
	case request.DiskID:
		grant.MayStartVoter, grant.InitialVoters = true, v.state.InitialVoters
	default:
		grant.DiskLost = true
	}
}
