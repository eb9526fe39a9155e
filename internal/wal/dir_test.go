package wal_test

import (
	"errors"
	"math/rand/v2"
	"path/filepath"
	"testing"

	"tuliprock/internal/wal"
)

// In a directory of the operating system, synced records are recovered, a second Open is rejected, and a snapshot removes obsolete
// segments.
func TestLogInOperatingSystemDirectoryRecoversSyncedRecords(t *testing.T) {
	fs, err := wal.OpenDir(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	l, _, err := openLog(fs)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := openLog(fs); !errors.Is(err, wal.ErrLocked) {
		t.Errorf("second open of the directory: error %v, want %v", err, wal.ErrLocked)
	}
	m := &model{}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		if err := m.makeRandomCall(l, rng); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(l.Sync(), l.WriteSnapshot(l.SyncedIndex(), []byte(snapshotBody(l.SyncedIndex()))), l.Close()); err != nil {
		t.Fatal(err)
	}
	m.syncedIndex, m.snapshotIndex = uint64(len(m.payloads)), uint64(len(m.payloads))
	if names, _ := fs.List(); len(names) > 2 {
		t.Errorf("after the snapshot there are the files %q, want at most 2", names)
	}
	l, got, err := openLog(fs)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := m.checkRecovered(got, l.NextIndex()); err != nil {
		t.Error(err)
	}
	if _, err := l.Append('t', make([]byte, wal.MaxRecordBytes+1)); err == nil {
		t.Error("a record of more than MaxRecordBytes was accepted, want an error")
	}
}
