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

// VoterOutput is the work that a voter has for its owner, in this order: append the records to the durable log and sync
// the log, store the snapshot, and only then send the messages.
type VoterOutput struct {
	Records  []Record          // records to append to the durable log, in this order
	Snapshot *Snapshot         // snapshot to store in the durable log; nil: none
	Messages []*raftpb.Message // raft messages to send to other voters
}

// Result is the outcome of a command that was committed.
type Result struct {
	ID string // the command's ID; empty: the command has none
	CommandResult
	Err error // why the command changed nothing; nil: the command was applied
}

// Output returns the work that is to be done now, or nil if there is none. The owner calls it in a loop until it returns
// nil, and does the returned work before it calls any other method. Output also adds to Results and Grants, which may be
// sent only after that work is done. If Output has set StopReason, neither the work nor Results and Grants may be used.
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
		if v.StopReason = v.installSnapshot(ready.Snapshot); v.StopReason != nil {
			return nil
		}
	}
	out.Records = v.appendToLog(&ready)
	for _, read := range ready.ReadStates {
		v.completeReadIndex(binary.BigEndian.Uint64(read.RequestCtx), read.Index)
	}
	for _, entry := range ready.CommittedEntries {
		if v.applyEntry(entry); v.StopReason != nil {
			return nil // the voter has stopped at an entry that it can't apply, and no output may depend on that entry
		}
	}
	if v.isLeader && v.leaseManager == nil && v.hasAppliedOwnTerm() {
		v.leaseManager = NewLeaseManager(now, v.config.Lease)
	}
	v.grantConfirmedRequests(now)
	if hasSnapshot {
		// The snapshot that takeSnapshot returns has the hard state and the entries that raft delivered together with the
		// received snapshot. If they were records, they would become durable before the snapshot, and a loss of power
		// between the two would leave a gap in the log.
		out.Records = []Record{{recordSnapshotMarker, nil}}
	}
	if hasSnapshot || v.needsSnapshot() {
		out.Snapshot, v.needsLearnerSnapshot = v.takeSnapshot(), false
	}
	v.rawNode.Advance(ready)
	return out
}

// ErrUnusableSnapshot is the reason why a voter stops that has received a snapshot which this build can't install.
var ErrUnusableSnapshot = errors.New("the snapshot of another voter can't be installed")

// installSnapshot replaces the log and the State by a snapshot received from another voter. If it returns an error, which wraps
// ErrUnusableSnapshot, the voter must not continue: raft already takes the snapshot for installed.
func (v *Voter) installSnapshot(snapshot *raftpb.Snapshot) error {
	if err := v.restore(snapshot); err != nil {
		return fmt.Errorf("%w: %w", ErrUnusableSnapshot, err)
	}
	if err := v.storage.ApplySnapshot(snapshot); err != nil {
		return fmt.Errorf("%w: %w", ErrUnusableSnapshot, err)
	}
	return nil
}

// appendToLog appends raft's new entries and raft's hard state to the log in memory, and returns both as records for the
// durable log.
func (v *Voter) appendToLog(ready *raft.Ready) (records []Record) {
	for _, entry := range ready.Entries {
		records = append(records, Record{recordEntry, mustMarshal(entry)})
	}
	if err := v.storage.Append(ready.Entries); err != nil {
		panic(fmt.Sprintf("append entries of raft: %v", err)) // can't happen: raft's new entries always continue its log
	}
	if hardState := ready.HardState; hardState != nil && !raft.IsEmptyHardState(hardState) {
		v.term = hardState.GetTerm()
		_ = v.storage.SetHardState(hardState) // never fails: the storage is in memory
		records = append(records, Record{recordHardState, mustMarshal(hardState)})
	}
	return records
}

// applyEntry applies a committed entry. If the entry has a command that this build does not know, the voter stops.
func (v *Voter) applyEntry(entry *raftpb.Entry) {
	v.appliedIndex = entry.GetIndex()
	v.bytesSinceSnapshot += len(entry.GetData())
	if entry.GetType() == raftpb.EntryType_EntryConfChange {
		v.applyConfChange(entry)
		return
	}
	if entry.GetType() != raftpb.EntryNormal || len(entry.GetData()) == 0 { // no command: the empty entry that a new leader commits, or an entry of a type that no voter proposes
		return
	}
	id, result, err := v.state.applyEncoded(entry.GetData())
	if errors.Is(err, ErrUnknownCommand) {
		v.StopReason = fmt.Errorf("log index %d: %w", v.appliedIndex, err)
		return
	}
	v.Results = append(v.Results, Result{id, result, err})
}

// hasAppliedOwnTerm reports whether this leader has applied an entry of its own term, and hence everything that was
// committed in earlier terms.
func (v *Voter) hasAppliedOwnTerm() bool {
	term, err := v.storage.Term(v.appliedIndex)
	return err == nil && term == v.Term()
}

// mustMarshal encodes a message of raft. Encoding can't fail for a message that this process made or decoded.
func mustMarshal(message proto.Message) []byte {
	encoded, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return encoded
}
