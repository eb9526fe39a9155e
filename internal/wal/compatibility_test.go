package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"tuliprock/internal/wal"
)

// Logs that an earlier build wrote (testdata/README.md) are read completely. They can be appended to, and are then read completely
// again.
func TestLogsOfEarlierBuildAreRead(t *testing.T) {
	const appendedPayload = "a record of this build"
	for _, c := range []struct {
		name          string
		snapshotIndex uint64       // index of the last record that the snapshot replaces; 0: there is no snapshot
		snapshotBody  string       // body of the snapshot; empty if there is no snapshot
		records       []wal.Record // records after the snapshot
	}{
		{name: "segments", records: earlierRecords(1)},
		{name: "snapshot", snapshotIndex: 20, snapshotBody: "the state after record 20", records: earlierRecords(21)},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "log")
			if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "build-94b9de8", c.name))); err != nil {
				t.Fatal(err)
			}
			want := c.records
			for _, round := range []string{"first open, as the earlier build left it", "second open, after an append"} {
				l := openEarlierLog(t, dir, c.snapshotIndex, c.snapshotBody, want)
				if next := uint64(len(want)) + c.snapshotIndex + 1; l.NextIndex() != next || l.SyncedIndex() != next-1 || l.SnapshotIndex() != c.snapshotIndex {
					t.Errorf("%s: next index %d, synced index %d, snapshot index %d; want %d, %d, %d",
						round, l.NextIndex(), l.SyncedIndex(), l.SnapshotIndex(), next, next-1, c.snapshotIndex)
				}
				index, err := l.Append('n', []byte(appendedPayload))
				if err := errors.Join(err, l.Sync(), l.Close()); err != nil {
					t.Fatal(err)
				}
				want = append(want, wal.Record{Index: index, Type: 'n', Payload: []byte(appendedPayload)})
			}
		})
	}
}

// earlierRecords returns the records from firstIndex to index 40, the last one that the earlier build wrote.
func earlierRecords(firstIndex uint64) []wal.Record {
	var records []wal.Record
	for i := firstIndex; i <= 40; i++ {
		records = append(records, wal.Record{
			Index:   i,
			Type:    "hem"[i%3],
			Payload: bytes.Repeat(fmt.Appendf(nil, "record %d of the build before;", i), int(i%4)),
		})
	}
	return records
}

// openEarlierLog opens a log. It fails the test unless the log has the given snapshot and records, and Open has repaired nothing.
func openEarlierLog(t *testing.T, path string, snapshotIndex uint64, snapshotBody string, want []wal.Record) *wal.Log {
	t.Helper()
	dir, err := wal.OpenDir(path)
	if err != nil {
		t.Fatal(err)
	}
	var (
		records       []wal.Record
		restoredIndex uint64
		restoredBody  []byte
	)
	options := wal.Options{SegmentBytes: 512, OnRepair: func(line string) { t.Errorf("Open made a repair, want none: %s", line) }}
	l, err := wal.Open(dir, options, func(index uint64, r io.Reader) error {
		var err error
		restoredIndex = index
		restoredBody, err = io.ReadAll(r)
		return err
	}, func(r wal.Record) error {
		r.Payload = bytes.Clone(r.Payload)
		records = append(records, r)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if restoredIndex != snapshotIndex || string(restoredBody) != snapshotBody {
		t.Errorf("the snapshot at index %d is %q, want %q at index %d", restoredIndex, restoredBody, snapshotBody, snapshotIndex)
	}
	if len(records) != len(want) {
		t.Fatalf("%d records were replayed, want %d", len(records), len(want))
	}
	for i, r := range records {
		if w := want[i]; r.Index != w.Index || r.Type != w.Type || !bytes.Equal(r.Payload, w.Payload) {
			t.Errorf("replayed record %d has index %d, type %q and payload %q; want index %d, type %q and payload %q", i, r.Index, r.Type, r.Payload, w.Index, w.Type, w.Payload)
		}
	}
	return l
}
