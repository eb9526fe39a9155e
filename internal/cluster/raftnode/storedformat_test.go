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

// What an earlier build wrote is decoded without loss: encoded again it is the same, byte by byte. A field that had
// another name in JSON would be missing or renamed.
func TestStoredDataOfEarlierBuildEncodesUnchanged(t *testing.T) {
	kinds := map[string]int{} // commands by the names of fields that are set
	snapshots := 0
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
					return // it did not vote
				}
				own, err := parseIdentity(string(text))
				if err != nil {
					t.Fatal(err)
				}
				if own.String()+"\n" != string(text) {
					t.Errorf("identity %q, it was %q", own, text)
				}
				replayNothing := func(wal.Record) error { return nil }
				openAndClose(t, disk, func(r io.Reader) error {
					snapshots++
					return checkSnapshotEncodesUnchanged(t, r)
				}, replayNothing)
				// Without the snapshot the records that it stands for are replayed too.
				removeSnapshots(t, disk)
				openAndClose(t, disk, nil, func(r wal.Record) error { return checkEntryEncodesUnchanged(t, r, kinds) })
			})
		}
	}
	for _, kind := range []string{"put", "remove", "back", "force", "skip", "seat", "mark", "read", "activate"} {
		if kinds[kind] == 0 {
			t.Errorf("no command %q is in the logs: %v", kind, kinds)
		}
	}
	if snapshots != len(earlierDiskIDs) {
		t.Errorf("%d snapshots, want %d", snapshots, len(earlierDiskIDs))
	}
}

// openAndClose opens a log, which passes a snapshot and records to restore and replay, and closes it.
func openAndClose(t *testing.T, disk wal.FS, restore func(io.Reader) error, replay func(wal.Record) error) {
	t.Helper()
	log, err := wal.Open(disk, wal.Options{}, func(_ uint64, r io.Reader) error { return restore(r) }, replay)
	if err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Error(err)
	}
}

// removeSnapshots removes the snapshots of a log that still has all records from the first one on.
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

func checkCacheEncodesUnchanged(t *testing.T, disk wal.FS) {
	t.Helper()
	text, err := readFile(disk, cacheFile, maxCacheBytes)
	if err != nil || len(text) < checksumSize {
		t.Fatalf("cache of %d bytes: %v", len(text), err)
	}
	entry, err := readCacheEntry(disk)
	if err != nil {
		t.Fatal(err)
	}
	checkSameJSON(t, cacheFile, text[checksumSize:], entry)
}

// checkSameJSON fails the test unless the JSON of a value is the text that it was decoded from.
func checkSameJSON(t *testing.T, what string, text []byte, value any) {
	t.Helper()
	if encoded, err := json.Marshal(value); err != nil || !bytes.Equal(encoded, text) {
		t.Errorf("%s is encoded as\n%s, %v, it was\n%s", what, encoded, err, text)
	}
}

// checkSnapshotEncodesUnchanged reads the state of a snapshot's body: parts behind their lengths, the second of which
// is raft's snapshot.
func checkSnapshotEncodesUnchanged(t *testing.T, r io.Reader) error {
	t.Helper()
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	var parts [][]byte
	for len(body) > 0 {
		length, size := binary.Uvarint(body)
		parts, body = append(parts, body[size:size+int(length)]), body[size+int(length):]
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
		t.Errorf("the state is encoded as\n%s, it was\n%s", encoded, snapshot.GetData())
	}
	return nil
}

// checkEntryEncodesUnchanged decodes the command of a raft entry, and counts it by its kind.
func checkEntryEncodesUnchanged(t *testing.T, r wal.Record, kinds map[string]int) error {
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
		command consensus.Command
		fields  map[string]json.RawMessage
	)
	if err := json.Unmarshal(entry.GetData(), &command); err != nil {
		return err
	}
	if err := json.Unmarshal(entry.GetData(), &fields); err != nil {
		return err
	}
	for field := range fields {
		kinds[field]++
	}
	checkSameJSON(t, "a command", entry.GetData(), command)
	return nil
}
