package raftnode

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/wal"
)

// The data that an earlier build stored is decoded without loss: encoded again it is the same, byte for byte. Guards
// against a field whose JSON name has changed since: its value would be missing or have another name.
func TestStoredDataOfEarlierBuildEncodesUnchanged(t *testing.T) {
	commandsByField := map[string]int{} // number of commands in which a field is set, by the field's JSON name
	snapshotCount := 0
	for _, f := range earlierFixtures {
		for _, daemon := range slices.Sorted(maps.Keys(earlierDiskIDs)) {
			t.Run(f.name+"/"+daemon, func(t *testing.T) {
				disk := f.copyData(t, daemon)
				checkCacheEncodesUnchanged(t, disk)
				text, err := readFile(disk, identityFile, maxIdentityBytes)
				if err != nil {
					t.Fatal(err)
				}
				if text == nil {
					return // a daemon without an identity file was not a voter
				}
				ownIdentity, err := parseIdentity(string(text))
				if err != nil {
					t.Fatal(err)
				}
				if ownIdentity.String()+"\n" != string(text) {
					t.Errorf("identity is encoded as %q, want %q", ownIdentity.String()+"\n", text)
				}
				replayNothing := func(wal.Record) error { return nil }
				openAndCloseLog(t, disk, func(r io.Reader) error {
					snapshotCount++
					return checkSnapshotEncodesUnchanged(t, r)
				}, replayNothing)
				// Without the snapshots, the log is replayed from its first record.
				removeSnapshots(t, disk)
				openAndCloseLog(t, disk, nil, func(r wal.Record) error { return checkEntryEncodesUnchanged(t, r, commandsByField) })
			})
		}
	}
	for _, field := range []string{"put", "remove", "back", "force", "skip", "seat", "mark", "read", "activate"} {
		if commandsByField[field] == 0 {
			t.Errorf("no command in the logs sets the field %q, want some; fields: %v", field, commandsByField)
		}
	}
	if snapshotCount != len(earlierDiskIDs) {
		t.Errorf("%d snapshots, want %d", snapshotCount, len(earlierDiskIDs))
	}
}

// openAndCloseLog opens a durable log, which passes its snapshot to restore and its records to replay, and closes it.
func openAndCloseLog(t *testing.T, disk wal.FS, restore func(io.Reader) error, replay func(wal.Record) error) {
	t.Helper()
	log, err := wal.Open(disk, wal.Options{}, func(_ uint64, r io.Reader) error { return restore(r) }, replay)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Error(err)
	}
}

// removeSnapshots removes the snapshots of a durable log. The log must still have its first record.
func removeSnapshots(t *testing.T, disk wal.FS) {
	t.Helper()
	names, err := disk.List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, ".snap") {
			continue
		}
		if err := disk.Remove(name); err != nil {
			t.Fatal(err)
		}
	}
}

// checkCacheEncodesUnchanged fails the test unless the decoded cache file is encoded as the same bytes again.
func checkCacheEncodesUnchanged(t *testing.T, disk wal.FS) {
	t.Helper()
	text, err := readFile(disk, cacheFile, maxCacheBytes)
	if err != nil || len(text) < checksumLineSize {
		t.Fatalf("cache file of %d bytes, error %v; want at least %d bytes", len(text), err, checksumLineSize)
	}
	entry, err := readCacheEntry(disk)
	if err != nil {
		t.Fatal(err)
	}
	checkSameJSON(t, cacheFile, text[checksumLineSize:], entry)
}

// checkSameJSON fails the test unless the JSON encoding of value is text, from which the value was decoded. subject
// describes the value in the failure message.
func checkSameJSON(t *testing.T, subject string, text []byte, value any) {
	t.Helper()
	if encoded, err := json.Marshal(value); err != nil || !bytes.Equal(encoded, text) {
		t.Errorf("%s is encoded as\n%s\nwith error %v, want\n%s", subject, encoded, err, text)
	}
}

// checkSnapshotEncodesUnchanged fails the test unless the decoded State of a snapshot is encoded as the same bytes again.
// The snapshot's body consists of parts, each preceded by its length; the second part is raft's snapshot with the State.
func checkSnapshotEncodesUnchanged(t *testing.T, r io.Reader) error {
	t.Helper()
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	var parts [][]byte
	for len(body) > 0 {
		length, n := binary.Uvarint(body)
		parts, body = append(parts, body[n:n+int(length)]), body[n+int(length):]
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(parts[1], snapshot); err != nil {
		return err
	}
	state, err := consensus.DecodeState(snapshot.GetData())
	if err != nil {
		return err
	}
	encoded, err := state.Encode()
	if err != nil {
		return err
	}
	if !bytes.Equal(encoded, snapshot.GetData()) {
		t.Errorf("the State is encoded as\n%s\nwant\n%s", encoded, snapshot.GetData())
	}
	return nil
}

// checkEntryEncodesUnchanged fails the test unless the decoded command of a raft entry is encoded as the same bytes
// again. It counts the command in commandsByField under each field that the command sets. Records of other types pass.
func checkEntryEncodesUnchanged(t *testing.T, r wal.Record, commandsByField map[string]int) error {
	t.Helper()
	if r.Type != 'e' {
		return nil
	}
	entry := &raftpb.Entry{}
	if err := proto.Unmarshal(r.Payload, entry); err != nil {
		return err
	}
	if entry.GetType() != raftpb.EntryNormal || len(entry.GetData()) == 0 {
		return nil
	}
	var (
		command   consensus.Command
		setFields map[string]json.RawMessage
	)
	if err := json.Unmarshal(entry.GetData(), &command); err != nil {
		return err
	}
	if err := json.Unmarshal(entry.GetData(), &setFields); err != nil {
		return err
	}
	for field := range setFields {
		commandsByField[field]++
	}
	checkSameJSON(t, "a command", entry.GetData(), command)
	return nil
}
