package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// When a snapshot is taken, and how much of the log stays beside it for voters that are a little behind. They would
// otherwise need the whole snapshot.
const (
	snapshotEntries  = 1000    // entries applied since the last snapshot, or
	snapshotLogBytes = 8 << 20 // bytes of them: several of the longest commands
	retainedEntries  = snapshotEntries / 2
	retainedLogBytes = 4 << 20
)

// initialIndex is the index of the snapshot with which initial voters begin.
const initialIndex = 1

// snapshotHeaderParts are the parts of a snapshot's body before the entries: raft's hard state and raft's snapshot.
const snapshotHeaderParts = 2

// Snapshot replaces all records of the durable log before it.
type Snapshot struct{ Body []byte }

// initialSnapshot returns the snapshot with which the initial voters begin, which is the same for all of them.
func initialSnapshot(names []string) *raftpb.Snapshot {
	state := NewState()
	state.setInitialVoters(names)
	data, err := state.Encode()
	if err != nil {
		panic(err) // plain data of this package always encodes
	}
	index, term := uint64(initialIndex), uint64(1)
	var ids []uint64
	for i := range names {
		ids = append(ids, uint64(i+1))
	}
	return &raftpb.Snapshot{
		Data:     data,
		Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: ids}},
	}
}

// restore replaces this voter's State by that of a snapshot.
func (v *Voter) restore(snapshot *raftpb.Snapshot) error {
	v.appliedIndex, v.snapshotIndex = snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetIndex()
	v.state, v.confState = NewState(), snapshot.GetMetadata().GetConfState()
	if len(snapshot.GetData()) == 0 {
		return nil
	}
	state, err := DecodeState(snapshot.GetData())
	if err != nil {
		return err
	}
	v.state = state
	return nil
}

// needsSnapshot tells whether the log has grown so much that a snapshot is due, or a learner was added: it accepts only
// a snapshot whose configuration names it.
func (v *Voter) needsSnapshot() bool {
	return v.needsLearnerSnapshot ||
		v.appliedIndex >= v.snapshotIndex+snapshotEntries ||
		v.bytesSinceSnapshot >= snapshotLogBytes
}

// takeSnapshot returns a snapshot of what is applied together with the entries of the log beyond that, and compacts the
// log in memory.
func (v *Voter) takeSnapshot() *Snapshot {
	data, err := v.state.Encode()
	if err != nil {
		panic(err) // plain data of this package always encodes
	}
	if v.appliedIndex > v.snapshotIndex {
		if _, err := v.storage.CreateSnapshot(v.appliedIndex, v.confState, data); err != nil {
			panic(fmt.Sprintf("create snapshot at index %d: %v", v.appliedIndex, err))
		}
		if index := v.compactionIndex(); index > 0 {
			_ = v.storage.Compact(index) // fails only where the log is compacted that far already
		}
		v.snapshotIndex, v.bytesSinceSnapshot = v.appliedIndex, 0
	}
	snapshot, _ := v.storage.Snapshot() // in memory: these do not fail
	hardState, _, _ := v.storage.InitialState()
	parts := [][]byte{mustMarshal(hardState), mustMarshal(snapshot)}
	if last, err := v.storage.LastIndex(); err == nil && last > v.appliedIndex {
		entries, err := v.storage.Entries(v.appliedIndex+1, last+1, math.MaxUint64)
		if err != nil {
			panic(err) // the log in memory has all entries after a snapshot
		}
		for _, entry := range entries {
			parts = append(parts, mustMarshal(entry))
		}
	}
	return &Snapshot{Body: joinParts(parts...)}
}

// compactionIndex returns the entry up to which the log may be dropped, now that a snapshot has all that is applied; 0:
// none.
func (v *Voter) compactionIndex() uint64 {
	first, err := v.storage.FirstIndex()
	if err != nil || first > v.appliedIndex {
		return 0
	}
	entries, err := v.storage.Entries(first, v.appliedIndex+1, math.MaxUint64)
	if err != nil {
		return 0
	}
	bytes := 0
	for i, entry := range slices.Backward(entries) {
		if bytes += len(entry.GetData()); bytes > retainedLogBytes || len(entries)-i > retainedEntries {
			return entry.GetIndex()
		}
	}
	return 0
}

// ReportSnapshot tells raft whether a snapshot was sent to another voter. It must be called for each message of type
// MsgSnap.
func (v *Voter) ReportSnapshot(to uint64, isSent bool) {
	status := raft.SnapshotFailure
	if isSent {
		status = raft.SnapshotFinish
	}
	v.rawNode.ReportSnapshot(to, status)
}

// joinParts concatenates the parts of a snapshot's body, each behind its length as a varint. The form is stored and
// must not change.
func joinParts(parts ...[]byte) (body []byte) {
	for _, part := range parts {
		body = append(binary.AppendUvarint(body, uint64(len(part))), part...)
	}
	return body
}

var errTruncated = errors.New("the body is truncated")

// splitParts undoes joinParts.
func splitParts(body []byte) (parts [][]byte, err error) {
	for len(body) > 0 {
		length, n := binary.Uvarint(body)
		if n <= 0 || length > uint64(len(body)-n) {
			return nil, errTruncated
		}
		end := n + int(length)
		parts, body = append(parts, body[n:end]), body[end:]
	}
	return parts, nil
}
