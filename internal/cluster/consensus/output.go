package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// VoterOutput is what a voter wants done, in this order: the records are appended to the durable log and synced, the
// snapshot is stored, and only then are the messages sent.
type VoterOutput struct {
	Records  []Record
	Snapshot *Snapshot // nil: none
	Messages []*raftpb.Message
}

// Result is the outcome of a command that was committed.
type Result struct {
	ID string // of the command; empty: it has none
	CommandResult
	Err error // why the command changed nothing
}

// Output returns what is to be done now, or nil if there is nothing. It is called in a loop until it returns nil; what
// it returned must be done before any other method is called. It also adds to Results and Grants, which may be sent
// only after that. Once the voter has stopped, none of this may be used.
func (v *Voter) Output(now time.Duration) *VoterOutput {
	defer v.stopOnRaftPanic()
	if v.StopReason != nil || !v.rawNode.HasReady() {
		return nil
	}
	ready := v.rawNode.Ready()
	out := &VoterOutput{Messages: ready.Messages}
	if ready.SoftState != nil {
		v.setLeadership(now, ready.RaftState == raft.StateLeader)
	}
	hasSnapshot := !raft.IsEmptySnap(ready.Snapshot)
	if hasSnapshot {
		v.installSnapshot(ready.Snapshot)
	}
	out.Records = v.appendToLog(&ready)
	for _, read := range ready.ReadStates {
		v.completeReadIndex(binary.BigEndian.Uint64(read.RequestCtx), read.Index)
	}
	for _, entry := range ready.CommittedEntries {
		if v.applyEntry(entry); v.StopReason != nil {
			return nil // nothing that follows from this entry may leave the voter
		}
	}
	if v.isLeader && v.leaseManager == nil && v.hasAppliedOwnTerm() {
		v.leaseManager = NewLeaseManager(now, v.config.Lease)
	}
	v.grantConfirmedLeases(now)
	if hasSnapshot {
		// The snapshot below includes the hard state and the entries that came with it. As records of their own they
		// would become durable before it, and a loss of power in between would leave a log with a gap.
		out.Records = []Record{{recordSnapshotMarker, nil}}
	}
	if hasSnapshot || v.needsSnapshot() {
		out.Snapshot, v.needsLearnerSnapshot = v.takeSnapshot(), false
	}
	v.rawNode.Advance(ready)
	return out
}

// installSnapshot replaces log and State by a snapshot of another voter.
func (v *Voter) installSnapshot(snapshot *raftpb.Snapshot) {
	if err := errors.Join(v.storage.ApplySnapshot(snapshot), v.restore(snapshot)); err != nil {
		// The transport has verified the message's signature: another voter of the fleet made this snapshot.
		panic(fmt.Sprintf("install snapshot of another voter: %v", err))
	}
}

// appendToLog appends raft's new entries and its hard state to the log in memory, and returns the records for the
// durable one.
func (v *Voter) appendToLog(ready *raft.Ready) (records []Record) {
	for _, entry := range ready.Entries {
		records = append(records, Record{recordEntry, mustMarshal(entry)})
	}
	if err := v.storage.Append(ready.Entries); err != nil {
		panic(fmt.Sprintf("append entries of raft: %v", err)) // raft's entries always continue its own log
	}
	if hardState := ready.HardState; hardState != nil && !raft.IsEmptyHardState(hardState) {
		v.term = hardState.GetTerm()
		_ = v.storage.SetHardState(hardState) // in memory: it does not fail
		records = append(records, Record{recordHardState, mustMarshal(hardState)})
	}
	return records
}

// applyEntry applies a committed entry. At a command that this build does not know the voter stops.
func (v *Voter) applyEntry(entry *raftpb.Entry) {
	v.appliedIndex = entry.GetIndex()
	v.bytesSinceSnapshot += len(entry.GetData())
	if entry.GetType() == raftpb.EntryType_EntryConfChange {
		v.applyConfChange(entry)
		return
	}
	if entry.GetType() != raftpb.EntryNormal || len(entry.GetData()) == 0 { // a new leader commits an empty entry
		return
	}
	id, result, err := v.state.applyEncoded(entry.GetData())
	if errors.Is(err, ErrUnknownCommand) {
		v.StopReason = fmt.Errorf("at %d: %w", v.appliedIndex, err)
		return
	}
	v.Results = append(v.Results, Result{id, result, err})
}

// hasAppliedOwnTerm tells whether this leader has applied an entry of its own term, and hence all that was committed
// before.
func (v *Voter) hasAppliedOwnTerm() bool {
	term, err := v.storage.Term(v.appliedIndex)
	return err == nil && term == v.Term()
}

// mustMarshal encodes a message that this process has made or decoded, which does not fail.
func mustMarshal(message proto.Message) []byte {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return encoded
}
