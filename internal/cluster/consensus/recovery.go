package consensus

import (
	"errors"
	"fmt"
	"io"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Types of records in a voter's durable log. The values are stored and must not change.
const (
	recordHardState      byte = 'h' // raft's term, vote and commit index
	recordEntry          byte = 'e' // a log entry of raft, which replaces earlier records of entries from its index on
	recordSnapshotMarker byte = 'm' // no payload; all records up to this one are replaced by another voter's snapshot, which is stored next
)

// Record is a record that the owner of a Voter appends to the voter's durable log.
type Record struct {
	Type    byte   // one of recordHardState, recordEntry and recordSnapshotMarker
	Payload []byte // encoded message of raft; nil for recordSnapshotMarker
}

// RecoveredState collects what a durable log holds when it is opened. Restore is called first, with the latest snapshot
// if there is one, and then Replay with each record after it. NewVoter takes ownership of the RecoveredState.
type RecoveredState struct{ storage *raft.MemoryStorage }

// NewRecoveredState returns the state of an empty disk. initialVoters are the names of the cluster's initial voters,
// whose raft ids are their positions in sorted order, from 1. For a voter that is added later initialVoters is empty, and
// the voter receives the log from other voters.
func NewRecoveredState(initialVoters []string) (*RecoveredState, error) {
	d := &RecoveredState{storage: raft.NewMemoryStorage()}
	if len(initialVoters) == 0 {
		return d, nil
	}
	return d, d.storage.ApplySnapshot(initialSnapshot(initialVoters))
}

// Restore reads the body of a Snapshot. It ignores the snapshot's index in the durable log, since the body has raft's
// index.
func (d *RecoveredState) Restore(_ uint64, r io.Reader) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return fmt.Errorf("read snapshot: %w", err)
	}
	parts, err := splitParts(body)
	if err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if len(parts) < snapshotHeaderParts {
		return fmt.Errorf("decode snapshot: %d parts, want at least %d", len(parts), snapshotHeaderParts)
	}
	hardState, snapshot := &raftpb.HardState{}, &raftpb.Snapshot{}
	if err := errors.Join(proto.Unmarshal(parts[0], hardState), proto.Unmarshal(parts[1], snapshot)); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if current, _ := d.storage.Snapshot(); snapshot.GetMetadata().GetIndex() > current.GetMetadata().GetIndex() {
		if err := d.storage.ApplySnapshot(snapshot); err != nil {
			return fmt.Errorf("apply snapshot: %w", err)
		}
	}
	for _, entry := range parts[snapshotHeaderParts:] {
		if err := d.appendEntry(entry); err != nil {
			return err
		}
	}
	return d.storage.SetHardState(hardState)
}

// Replay adds a record of the durable log to the state.
func (d *RecoveredState) Replay(recordType byte, payload []byte) error {
	switch recordType {
	case recordHardState:
		hardState := &raftpb.HardState{}
		if err := proto.Unmarshal(payload, hardState); err != nil {
			return fmt.Errorf("decode hard state: %w", err)
		}
		return d.storage.SetHardState(hardState)
	case recordEntry:
		return d.appendEntry(payload)
	case recordSnapshotMarker:
		return nil
	}
	return fmt.Errorf("unknown record type %q", recordType)
}

// appendEntry decodes an entry and appends it to the log in memory. The entry replaces an earlier one with the same
// index, and all entries with higher indexes are dropped.
func (d *RecoveredState) appendEntry(encoded []byte) error {
	entry := &raftpb.Entry{}
	if err := proto.Unmarshal(encoded, entry); err != nil {
		return fmt.Errorf("decode entry: %w", err)
	}
	last, err := d.storage.LastIndex()
	if err != nil {
		return fmt.Errorf("append entry %d: %w", entry.GetIndex(), err)
	}
	if entry.GetIndex() > last+1 {
		return fmt.Errorf("append entry %d: the log ends at %d", entry.GetIndex(), last)
	}
	return d.storage.Append([]*raftpb.Entry{entry})
}
