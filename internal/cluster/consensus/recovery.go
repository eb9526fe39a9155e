package consensus

import (
	"errors"
	"fmt"
	"io"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Types of records in a voter's durable log. They are stored and must not change.
const (
	recordHardState      byte = 'h' // raft's term, vote and commit index
	recordEntry          byte = 'e' // an entry of raft's log
	recordSnapshotMarker byte = 'm' // empty: a snapshot of another voter, which follows, replaces all records up to here
)

// Record is one record for the durable log.
type Record struct {
	Type    byte
	Payload []byte
}

// RecoveredState collects what a durable log holds when it is opened: first Restore is called with the latest snapshot,
// if there is one, then Replay with each record after it. NewVoter takes it over.
type RecoveredState struct{ storage *raft.MemoryStorage }

// NewRecoveredState returns the state of an empty disk. initialVoters are the fleet's initial voters, whose ids are
// their places in sorted order, from 1; none: the voter joins a fleet that has begun, and gets the log from others.
func NewRecoveredState(initialVoters []string) (*RecoveredState, error) {
	d := &RecoveredState{storage: raft.NewMemoryStorage()}
	if len(initialVoters) == 0 {
		return d, nil
	}
	return d, d.storage.ApplySnapshot(initialSnapshot(initialVoters))
}

// Restore takes the body of a Snapshot. The index by which the log knows it is not used: the body has raft's own.
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

// Replay takes a record of the durable log.
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

// appendEntry appends an encoded entry, in place of those that it overrides.
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
