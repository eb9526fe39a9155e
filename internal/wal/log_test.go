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

// recovered is what opening a log passed to its callbacks.
type recovered struct {
	snapshot uint64
	body     string            // of the snapshot
	records  map[uint64]string // type and payload, by index
	reports  []string
}

const segmentBytes = 600 // some ten records

func openLog(fs wal.FS) (*wal.Log, *recovered, error) {
	got := &recovered{records: map[uint64]string{}}
	options := wal.Options{SegmentBytes: segmentBytes, OnRepair: func(line string) { got.reports = append(got.reports, line) }}
	l, err := wal.Open(fs, options, func(index uint64, r io.Reader) error {
		body, err := io.ReadAll(r)
		got.snapshot, got.body = index, string(body)
		return err
	}, func(r wal.Record) error {
		got.records[r.Index] = string(r.Type) + string(r.Payload)
		return nil
	})
	return l, got, err
}

// model is what was appended to a log, and what must be durable.
type model struct {
	payloads []string // of record i+1
	synced   uint64
	snapshot uint64
}

func snapshotBody(index uint64) string { return fmt.Sprint("state at ", index) }

// check compares what was recovered, with next as the log's next index, with the model: it must be a prefix of what was appended,
// with all that was synced.
func (m *model) check(got *recovered, next uint64) error {
	if next-1 < m.synced || next-1 > uint64(len(m.payloads)) {
		return fmt.Errorf("%d records are there, %d were synced and %d appended", next-1, m.synced, len(m.payloads))
	}
	if got.snapshot < m.snapshot || got.snapshot > 0 && got.body != snapshotBody(got.snapshot) {
		return fmt.Errorf("the snapshot is %q at %d, one at %d was written", got.body, got.snapshot, m.snapshot)
	}
	for i := got.snapshot + 1; i < next; i++ {
		if record, ok := got.records[i]; !ok || record != "t"+m.payloads[i-1] {
			return fmt.Errorf("record %d is %.40q, not %.40q", i, record, m.payloads[i-1])
		}
	}
	for i := range got.records {
		if i <= got.snapshot || i >= next {
			return fmt.Errorf("record %d was replayed", i)
		}
	}
	return nil
}

// step makes one random call on the log.
func (m *model) step(l *wal.Log, rng *rand.Rand) error {
	switch k := rng.IntN(10); {
	case k < 6:
		payload := strings.Repeat(string(rune('a'+rng.IntN(26))), rng.IntN(200)) + fmt.Sprint(len(m.payloads)+1)
		index, err := l.Append('t', []byte(payload))
		if err == nil {
			m.payloads = append(m.payloads[:index-1], payload)
		}
		return err
	case k < 9 || l.SyncedIndex() <= l.SnapshotIndex():
		err := l.Sync()
		m.synced = max(m.synced, l.SyncedIndex())
		return err
	default:
		at := l.SnapshotIndex() + 1 + rng.Uint64N(l.SyncedIndex()-l.SnapshotIndex())
		err := l.WriteSnapshot(at, []byte(snapshotBody(at)))
		if err == nil {
			m.snapshot = at
		}
		return err
	}
}

// checkHistory makes random calls on a log, with failures and losses of power in between, and checks what is recovered after each.
func checkHistory(disk *simdisk.Disk, rng *rand.Rand, steps int) error {
	m := &model{}
	for range 5 {
		l, got, err := openLog(disk)
		if err != nil {
			return fmt.Errorf("opening: %w", err)
		}
		if err := m.check(got, l.NextIndex()); err != nil {
			return err
		}
		m.payloads = m.payloads[:l.NextIndex()-1]
		m.synced = l.NextIndex() - 1 // what was recovered is durable
		disk.FailAfter = 0
		if rng.IntN(2) == 0 {
			disk.FailAfter = disk.Changes + 1 + rng.IntN(20)
		}
		if rng.IntN(4) == 0 {
			disk.Space = int64(2000 + rng.IntN(3000))
		}
		for range steps {
			if err := m.step(l, rng); err != nil {
				if l.Sync() == nil { // after an error nothing can become durable
					return fmt.Errorf("a log goes on after %w", err)
				}
				break
			}
		}
		disk.Crash(rng)
	}
	return nil
}

func TestSyncedRecordsSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		if err := checkHistory(simdisk.New(), rng, rapid.IntRange(1, 60).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// Thousands of the same histories, without a search for the smallest one that fails.
func TestSyncedRecordsSurviveCrashesInThousandsOfHistories(t *testing.T) {
	for seed := range uint64(5000) {
		if err := checkHistory(simdisk.New(), rand.New(rand.NewPCG(seed, 2)), 60); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// The tests above can fail: they detect a disk that reports a sync and does not make one.
func TestHistoriesDetectDiskWithoutSync(t *testing.T) {
	for seed := range uint64(50) {
		disk := simdisk.New()
		disk.Forgets = true
		if checkHistory(disk, rand.New(rand.NewPCG(seed, 1)), 40) != nil {
			return
		}
	}
	t.Error("no loss was detected in fifty histories on a disk without syncs")
}

func TestAppendRejectsRecordOverBound(t *testing.T) {
	l, _, err := openLog(simdisk.New())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append('t', make([]byte, wal.MaxRecordBytes+1)); err == nil {
		t.Error("a record over the bound is accepted")
	}
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		t.Error(err)
	}
}
