package wal_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/wal"
)

// recoveredContent collects what wal.Open passes to its callbacks.
type recoveredContent struct {
	snapshotIndex uint64            // index of the restored snapshot; 0: there was none
	snapshotBody  string            // body of the restored snapshot
	records       map[uint64]string // type and payload of each replayed record, by index
	repairs       []string          // messages that Open passed to Options.OnRepair
}

// segmentBytes is the size in bytes from which the tests' logs begin a new segment. Such a segment has about ten records.
const segmentBytes = 600

// openLog opens a log with small segments, and returns it with what was recovered.
func openLog(fs wal.FS) (*wal.Log, *recoveredContent, error) {
	got := &recoveredContent{records: map[uint64]string{}}
	options := wal.Options{SegmentBytes: segmentBytes, OnRepair: func(line string) { got.repairs = append(got.repairs, line) }}
	l, err := wal.Open(fs, options, func(index uint64, r io.Reader) error {
		body, err := io.ReadAll(r)
		got.snapshotIndex, got.snapshotBody = index, string(body)
		return err
	}, func(r wal.Record) error {
		got.records[r.Index] = string(r.Type) + string(r.Payload)
		return nil
	})
	return l, got, err
}

// model records what was appended to a log, and what must be durable.
type model struct {
	payloads      []string // payloads of all appended records; element i is that of record i+1
	syncedIndex   uint64   // index of the last record that must be durable; 0: none must be
	snapshotIndex uint64   // index of the latest snapshot that must be durable; 0: there is none
}

// snapshotBody returns the text that the tests write as the body of a snapshot at index.
func snapshotBody(index uint64) string { return fmt.Sprint("state at ", index) }

// checkRecovered returns an error unless what was recovered is consistent with the model: the records must be a prefix of the appended
// ones and include all synced ones. nextIndex is the NextIndex of the recovered log.
func (m *model) checkRecovered(got *recoveredContent, nextIndex uint64) error {
	if nextIndex-1 < m.syncedIndex || nextIndex-1 > uint64(len(m.payloads)) {
		return fmt.Errorf("%d records were recovered, want at least the %d synced and at most the %d appended ones", nextIndex-1, m.syncedIndex, len(m.payloads))
	}
	if got.snapshotIndex < m.snapshotIndex || got.snapshotIndex > 0 && got.snapshotBody != snapshotBody(got.snapshotIndex) {
		return fmt.Errorf("the recovered snapshot is %q at index %d, want one at index %d or later", got.snapshotBody, got.snapshotIndex, m.snapshotIndex)
	}
	for i := got.snapshotIndex + 1; i < nextIndex; i++ {
		if record, ok := got.records[i]; !ok || record != "t"+m.payloads[i-1] {
			return fmt.Errorf("record %d is %.40q, want %.40q", i, record, "t"+m.payloads[i-1])
		}
	}
	for i := range got.records {
		if i <= got.snapshotIndex || i >= nextIndex {
			return fmt.Errorf("record %d was replayed, want only records %d to %d", i, got.snapshotIndex+1, nextIndex-1)
		}
	}
	return nil
}

// makeRandomCall makes one random call of Append, Sync or WriteSnapshot on the log, and updates the model.
func (m *model) makeRandomCall(l *wal.Log, rng *rand.Rand) error {
	switch choice := rng.IntN(10); {
	case choice < 6:
		payload := strings.Repeat(string(rune('a'+rng.IntN(26))), rng.IntN(200)) + fmt.Sprint(len(m.payloads)+1)
		index, err := l.Append('t', []byte(payload))
		if err == nil {
			m.payloads = append(m.payloads[:index-1], payload)
		}
		return err
	case choice < 9 || l.SyncedIndex() <= l.SnapshotIndex():
		err := l.Sync()
		m.syncedIndex = max(m.syncedIndex, l.SyncedIndex())
		return err
	default:
		index := l.SnapshotIndex() + 1 + rng.Uint64N(l.SyncedIndex()-l.SnapshotIndex())
		err := l.WriteSnapshot(index, []byte(snapshotBody(index)))
		if err == nil {
			m.snapshotIndex = index
		}
		return err
	}
}

// checkHistory opens a log five times, makes up to callCount random calls on it each time, and simulates disk errors and losses of
// power. It returns an error if a recovered log is inconsistent with the calls, or a log works on after a disk error.
func checkHistory(disk *simdisk.Disk, rng *rand.Rand, callCount int) error {
	m := &model{}
	for range 5 {
		l, got, err := openLog(disk)
		if err != nil {
			return fmt.Errorf("open the log: %w", err)
		}
		if err := m.checkRecovered(got, l.NextIndex()); err != nil {
			return err
		}
		m.payloads = m.payloads[:l.NextIndex()-1]
		m.syncedIndex = l.NextIndex() - 1 // recovered records are durable
		disk.FailAfter = 0
		if rng.IntN(2) == 0 {
			disk.FailAfter = disk.ChangeCount + 1 + rng.IntN(20)
		}
		if rng.IntN(4) == 0 {
			disk.Capacity = int64(2000 + rng.IntN(3000))
		}
		for range callCount {
			if err := m.makeRandomCall(l, rng); err != nil {
				if l.Sync() == nil { // after an error no record may be reported as durable
					return fmt.Errorf("Sync succeeded after an earlier call had failed: %w", err)
				}
				break
			}
		}
		disk.Crash(rng)
	}
	return nil
}

// Synced records survive crashes and disk errors in random sequences of calls. rapid reduces a sequence that fails to a short one.
func TestSyncedRecordsSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		if err := checkHistory(simdisk.New(), rng, rapid.IntRange(1, 60).Draw(t, "calls")); err != nil {
			t.Fatal(err)
		}
	})
}

// Synced records survive crashes and disk errors in thousands of random sequences of calls. Without rapid, a sequence that fails is
// reported at its full length.
func TestSyncedRecordsSurviveCrashesInThousandsOfHistories(t *testing.T) {
	for seed := range uint64(5000) {
		if err := checkHistory(simdisk.New(), rand.New(rand.NewPCG(seed, 2)), 60); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// The random sequences of calls that checkHistory makes can detect a loss of records: on a disk whose Sync reports success but makes
// nothing durable, at least one sequence of 50 fails.
func TestHistoriesDetectDiskWithoutSync(t *testing.T) {
	for seed := range uint64(50) {
		disk := simdisk.New()
		disk.IgnoresSync = true
		if checkHistory(disk, rand.New(rand.NewPCG(seed, 1)), 40) != nil {
			return
		}
	}
	t.Error("no history of 50 on a disk without syncs detected a loss, want at least one")
}

func TestAppendRejectsRecordOverBound(t *testing.T) {
	l, _, err := openLog(simdisk.New())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append('t', make([]byte, wal.MaxRecordBytes+1)); err == nil {
		t.Error("a record of more than MaxRecordBytes was accepted, want an error")
	}
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		t.Error(err)
	}
}
