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

// A snapshot is due when snapshotEntryThreshold entries, or snapshotByteThreshold bytes of entries, have been applied since the
// latest snapshot. Part of the log before the snapshot is retained for voters that are a little behind, which would otherwise
// need the complete snapshot.
const (
	snapshotEntryThreshold = 1000                       // number of applied entries after which a snapshot is due
	snapshotByteThreshold  = 8 << 20                    // bytes of applied entries after which a snapshot is due; several of the longest commands fit into them
	maxRetainedEntries     = snapshotEntryThreshold / 2 // greatest number of entries that the log in memory retains although a snapshot covers them
	maxRetainedLogBytes    = 4 << 20                    // greatest number of bytes of entries that the log in memory retains although a snapshot covers them
)

// initialSnapshotIndex is the log index of the snapshot from which the logs of the initial voters start.
const initialSnapshotIndex = 1

// snapshotHeaderParts is the number of parts of a snapshot's body before the entries: raft's hard state and raft's own
// snapshot.
const snapshotHeaderParts = 2

// Snapshot is a voter's snapshot, which replaces all records before it in the durable log.
type Snapshot struct {
	Body []byte // raft's hard state, raft's snapshot and the log entries after the snapshot, as joinParts encodes them
}

// initialSnapshot returns the snapshot from which the logs of the initial voters start. All initial voters make the same
// snapshot.
func initialSnapshot(names []string) *raftpb.Snapshot {
	state := NewState()
	state.setInitialVoters(names)
	data, err := state.Encode()
	if err != nil {
		panic(err) // can't happen: every State can be encoded as JSON
	}
	index, term := uint64(initialSnapshotIndex), uint64(1)
	var ids []uint64
	for i := range names {
		ids = append(ids, uint64(i+1))
	}
	return &raftpb.Snapshot{
		Data:     data,
		Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: ids}},
	}
}

// restore replaces this voter's State by the State in a snapshot of raft. If it returns an error, it changes nothing.
func (v *Voter) restore(snapshot *raftpb.Snapshot) error {
	state := NewState()
	if len(snapshot.GetData()) > 0 {
		var err error
		if state, err = DecodeState(snapshot.GetData()); err != nil {
			return err
		}
	}
	v.appliedIndex, v.snapshotIndex = snapshot.GetMetadata().GetIndex(), snapshot.GetMetadata().GetIndex()
	v.state, v.confState = state, snapshot.GetMetadata().GetConfState()
	return nil
}

// needsSnapshot reports whether a snapshot is due because the log has grown, or because a learner was added: a learner
// accepts only a snapshot whose configuration names it.
func (v *Voter) needsSnapshot() bool {
	return v.needsLearnerSnapshot ||
		v.appliedIndex >= v.snapshotIndex+snapshotEntryThreshold ||
		v.bytesSinceSnapshot >= snapshotByteThreshold
}

// takeSnapshot returns a snapshot of the applied State together with the log entries that are not applied yet, and
// compacts the log in memory.
func (v *Voter) takeSnapshot() *Snapshot {
	data, err := v.state.Encode()
	if err != nil {
		panic(err) // can't happen: every State can be encoded as JSON
	}
	if v.appliedIndex > v.snapshotIndex {
		if _, err := v.storage.CreateSnapshot(v.appliedIndex, v.confState, data); err != nil {
			panic(fmt.Sprintf("create snapshot at index %d: %v", v.appliedIndex, err))
		}
		if index := v.compactionIndex(); index > 0 {
			_ = v.storage.Compact(index) // fails only if the log is already compacted up to index
		}
		v.snapshotIndex, v.bytesSinceSnapshot = v.appliedIndex, 0
	}
	// Snapshot and InitialState never fail: the storage is in memory.
	snapshot, _ := v.storage.Snapshot()
	hardState, _, _ := v.storage.InitialState()
	parts := [][]byte{mustMarshal(hardState), mustMarshal(snapshot)}
	if last, err := v.storage.LastIndex(); err == nil && last > v.appliedIndex {
		entries, err := v.storage.Entries(v.appliedIndex+1, last+1, math.MaxUint64)
		if err != nil {
			panic(err) // can't happen: the log in memory has all entries after the snapshot
		}
		for _, entry := range entries {
			parts = append(parts, mustMarshal(entry))
		}
	}
	return &Snapshot{Body: joinParts(parts...)}
}

// compactionIndex returns the index of the last entry that the log in memory may drop once a snapshot covers all applied
// entries. It is 0 if the log may drop no entry.
func (v *Voter) compactionIndex() uint64 {
	first, err := v.storage.FirstIndex()
	if err != nil || first > v.appliedIndex {
		return 0
	}
	entries, err := v.storage.Entries(first, v.appliedIndex+1, math.MaxUint64)
	if err != nil {
		return 0
	}
	retainedBytes := 0
	for i, entry := range slices.Backward(entries) {
		if retainedBytes += len(entry.GetData()); retainedBytes > maxRetainedLogBytes || len(entries)-i > maxRetainedEntries {
			return entry.GetIndex()
		}
	}
	return 0
}

// ReportSnapshot notifies raft whether a snapshot was sent to a voter, whose raft id is recipientID. It must be called for
// each message of type MsgSnap.
func (v *Voter) ReportSnapshot(recipientID uint64, isSent bool) {
	status := raft.SnapshotFailure
	if isSent {
		status = raft.SnapshotFinish
	}
	v.rawNode.ReportSnapshot(recipientID, status)
}

// joinParts concatenates the parts of a snapshot's body, each preceded by its length as a varint. The encoding is stored
// on disk and must not change.
func joinParts(parts ...[]byte) (body []byte) {
	for _, part := range parts {
		body = append(binary.AppendUvarint(body, uint64(len(part))), part...)
	}
	return body
}

// errTruncated means that the body of a snapshot ends before one of its parts does.
var errTruncated = errors.New("the body is truncated")

// splitParts returns the parts of a body that joinParts encoded.
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
