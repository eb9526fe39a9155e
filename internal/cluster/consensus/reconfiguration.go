package consensus

import (
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// maxLearnerLag is the number of log entries by which a learner may be behind when it is promoted to a voter. The learner
// receives the missing entries with the next messages.
const maxLearnerLag = 16

// IsLearner reports whether this voter receives the log but does not vote in raft's configuration.
func (v *Voter) IsLearner() bool { return !v.state.ActiveVoters[v.config.ID] }

// reconcileVoters proposes the next change that brings raft's configuration closer to the voter slots: a new voter is
// first added as a learner, and promoted when it has received the log; after that, voters without a slot are removed.
// raft drops a proposal while an earlier change is not applied.
func (v *Voter) reconcileVoters() {
	if v.leaseManager == nil {
		return
	}
	learners, promotableID := v.learners()
	for _, id := range sortedIDs(v.state.VoterSlots) {
		if !v.state.ActiveVoters[id] && !learners[id] && v.state.DiskIDs[id] != "" {
			v.proposeConfChange(raftpb.ConfChangeType_ConfChangeAddLearnerNode, id)
			return
		}
	}
	if v.state.VoterSlots[promotableID] != "" {
		v.proposeConfChange(raftpb.ConfChangeType_ConfChangeAddNode, promotableID)
		return
	}
	for _, ids := range []map[uint64]bool{learners, v.state.ActiveVoters} {
		for _, id := range sortedIDs(ids) {
			if v.state.VoterSlots[id] == "" {
				v.removeVoter(id)
				return
			}
		}
	}
}

// sortedIDs returns the raft ids that are keys of a map, in ascending order. Decisions must not depend on the random order of a map.
func sortedIDs[T any](byID map[uint64]T) []uint64 { return slices.Sorted(maps.Keys(byID)) }

// learners returns the raft ids of the learners in raft's configuration, and the raft id of a learner that may be
// promoted to a voter, which is 0 if there is none.
func (v *Voter) learners() (learners map[uint64]bool, promotableID uint64) {
	learners = map[uint64]bool{}
	lastIndex, _ := v.storage.LastIndex() // never fails: the storage is in memory
	v.rawNode.WithProgress(func(id uint64, kind raft.ProgressType, progress tracker.Progress) {
		if kind != raft.ProgressTypeLearner {
			return
		}
		learners[id] = true
		// raft counts a learner as active as soon as it is added; only a Match above 0 shows that its voter runs. The lag
		// alone does not show it, as the log of a young cluster is shorter than maxLearnerLag.
		if progress.RecentActive && progress.Match > 0 && progress.Match+maxLearnerLag >= lastIndex {
			promotableID = id
		}
	})
	return learners, promotableID
}

// removeVoter proposes to remove a voter from raft's configuration. A leader that is to be removed itself transfers the
// leadership first.
func (v *Voter) removeVoter(id uint64) {
	if id != v.config.ID {
		v.proposeConfChange(raftpb.ConfChangeType_ConfChangeRemoveNode, id)
		return
	}
	for _, other := range sortedIDs(v.state.VoterSlots) {
		if v.state.ActiveVoters[other] {
			v.rawNode.TransferLeader(other)
			return
		}
	}
}

// proposeConfChange proposes a change of raft's configuration that concerns the voter with the given raft id.
func (v *Voter) proposeConfChange(kind raftpb.ConfChangeType, id uint64) {
	// If raft drops the proposal, reconcileVoters repeats it at the next heartbeat.
	_ = v.rawNode.ProposeConfChange(&raftpb.ConfChange{Type: kind.Enum(), NodeId: &id})
}

// applyConfChange passes a committed change of raft's configuration to raft, and updates the State's ActiveVoters and
// DepartingVoters accordingly.
func (v *Voter) applyConfChange(entry *raftpb.Entry) {
	change := &raftpb.ConfChange{}
	if err := proto.Unmarshal(entry.GetData(), change); err != nil {
		// can't happen: raft itself encoded the entry, and the durable log has verified the entry's checksum
		panic(fmt.Sprintf("decode configuration change at index %d: %v", entry.GetIndex(), err))
	}
	v.confState = v.rawNode.ApplyConfChange(change)
	if change.GetType() == raftpb.ConfChangeType_ConfChangeAddLearnerNode {
		v.needsLearnerSnapshot = true
	}
	activeVoters := map[uint64]bool{}
	for _, id := range v.confState.GetVoters() {
		activeVoters[id] = true
	}
	v.state.ActiveVoters, v.state.DepartingVoters = activeVoters, maps.Clone(v.state.DepartingVoters)
	maps.DeleteFunc(v.state.DepartingVoters, func(id uint64, _ string) bool { return !activeVoters[id] })
}

// addSlotStatus adds to a grant whether the daemon has a voter slot, and whether it may start its voter. If the slot is
// not bound to a disk yet, addSlotStatus proposes to bind the slot to the disk that the request names; the daemon gets the
// outcome with a later grant.
func (v *Voter) addSlotStatus(request *LeaseRequest, grant *LeaseGrant) {
	grant.VoterID = v.state.VoterID(request.Daemon)
	if grant.VoterID == 0 || request.DiskID == "" {
		return // the daemon has no slot, or no disk on which it could start a voter
	}
	if v.state.ActiveVoters[grant.VoterID] {
		grant.DiskLost = true // raft counts on the voter, but the daemon's present disk has no voter
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
