package wal_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/wal"
)

// writeLog returns a disk that has a log of 30 records in several segments with a snapshot at record 15, all synced, and the model of
// the log.
func writeLog(t *testing.T) (*simdisk.Disk, *model) {
	t.Helper()
	disk, m := simdisk.New(), &model{}
	l, _, err := openLog(disk)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		payload := strings.Repeat("x", 10+i%40)
		if _, err := l.Append('t', []byte(payload)); err != nil {
			t.Fatal(err)
		}
		m.payloads = append(m.payloads, payload)
		if i%3 == 2 {
			if err := l.Sync(); err != nil {
				t.Fatal(err)
			}
		}
		if i == 17 {
			if err := l.WriteSnapshot(15, []byte(snapshotBody(15))); err != nil {
				t.Fatal(err)
			}
		}
	}
	m.snapshotIndex = 15
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		t.Fatal(err)
	}
	return disk, m
}

// A file is truncated at any byte, or a bit of any of its bytes is flipped: Open then either recovers a prefix of the records, or
// fails with a one-line error that names the file. If Open succeeds after a bit was flipped, only records of the last synced batch
// may be lost, since a damaged record there looks like one that a crash left incomplete.
func TestOpenDetectsEveryTruncationAndFlip(t *testing.T) {
	disk, m := writeLog(t)
	names, err := disk.List()
	if err != nil {
		t.Fatal(err)
	}
	rejectedCount, openedCount := 0, 0
	for _, name := range names {
		content := disk.Bytes(name)
		for offset := range content {
			flipped := slices.Clone(content)
			flipped[offset] ^= 1 << (offset % 8)
			for damage, damagedContent := range map[string][]byte{"truncated": content[:offset], "flipped": flipped} {
				damagedDisk := disk.Copy()
				damagedDisk.SetBytes(name, damagedContent)
				want := &model{payloads: m.payloads, snapshotIndex: m.snapshotIndex, syncedIndex: 27} // records 28 to 30 are the last synced batch
				if damage == "truncated" {
					want.syncedIndex = 15 // all records after the snapshot may be lost: a record that a truncation removed can no longer show that earlier ones were synced
				}
				isRejected, err := checkDamagedLog(damagedDisk, want)
				if err != nil {
					t.Fatalf("%s %s at byte %d: %v", name, damage, offset, err)
				}
				if isRejected {
					rejectedCount++
				} else {
					openedCount++
				}
			}
		}
		damagedDisk := disk.Copy()
		if err := damagedDisk.Remove(name); err != nil {
			t.Fatal(err)
		}
		if l, got, err := openLog(damagedDisk); err == nil {
			if err := (&model{payloads: m.payloads}).checkRecovered(got, l.NextIndex()); err != nil {
				t.Errorf("with the file %s removed: %v", name, err)
			}
		}
	}
	if rejectedCount == 0 || openedCount == 0 {
		t.Errorf("%d damaged logs were rejected and %d opened, want some of both", rejectedCount, openedCount)
	}
	t.Logf("%d damaged logs were rejected and %d opened", rejectedCount, openedCount)
}

// checkDamagedLog opens a damaged log. If Open fails, the error must be a one-line CorruptionError that names a file. Otherwise the log must
// be consistent with the model want, and accept a further record that the next Open recovers.
func checkDamagedLog(disk *simdisk.Disk, want *model) (isRejected bool, err error) {
	l, got, err := openLog(disk)
	if err != nil {
		var corruption *wal.CorruptionError
		if !errors.As(err, &corruption) || strings.Contains(err.Error(), "\n") || corruption.File == "" {
			return true, err
		}
		return true, nil
	}
	if err := want.checkRecovered(got, l.NextIndex()); err != nil {
		return false, err
	}
	if _, err := l.Append('t', []byte("more")); err != nil {
		return false, err
	}
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		return false, err
	}
	reopened, got, err := openLog(disk)
	if err != nil || got.records[reopened.NextIndex()-1] != "tmore" || reopened.NextIndex() != l.NextIndex() {
		return false, fmt.Errorf("second open recovered %v with error %w, want the appended record", got, err)
	}
	return false, nil
}

// Open accepts or rejects any content of one or two segments without a panic, and a log that it opens can be appended to and synced.
func FuzzOpen(f *testing.F) {
	disk := simdisk.New()
	l, _, err := openLog(disk)
	if err != nil {
		f.Fatal(err)
	}
	for range 12 {
		if _, err := l.Append('t', []byte("payload")); err != nil {
			f.Fatal(err)
		}
		if err := l.Sync(); err != nil {
			f.Fatal(err)
		}
	}
	firstSegmentName, secondSegmentName := fmt.Sprintf("%020d.log", 1), fmt.Sprintf("%020d.log", 12)
	f.Add(disk.Bytes(firstSegmentName), disk.Bytes(secondSegmentName))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		disk := simdisk.New()
		disk.SetBytes(firstSegmentName, first)
		if len(second) > 0 {
			disk.SetBytes(secondSegmentName, second)
		}
		if l, _, err := openLog(disk); err == nil {
			if _, err := l.Append('t', nil); err != nil || l.Sync() != nil {
				t.Error(err)
			}
		}
	})
}
