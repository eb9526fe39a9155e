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

// writeLog returns a disk with a log of several segments and a snapshot, all synced, and its model.
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
	m.snapshot = 15
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		t.Fatal(err)
	}
	return disk, m
}

// Each file is truncated at every byte, and each byte is flipped: opening recovers a prefix, or returns an error of one line that names
// the file. A synced record is missing only where opening fails, or where it is in the last batch of the last segment, which cannot be
// told from a torn one.
func TestOpenDetectsEveryTruncationAndFlip(t *testing.T) {
	disk, m := writeLog(t)
	names, err := disk.List()
	if err != nil {
		t.Fatal(err)
	}
	refused, opened := 0, 0
	for _, name := range names {
		content := disk.Bytes(name)
		for at := range content {
			flipped := slices.Clone(content)
			flipped[at] ^= 1 << (at % 8)
			for damage, bytes := range map[string][]byte{"cut": content[:at], "flipped": flipped} {
				damaged := disk.Copy()
				damaged.SetBytes(name, bytes)
				want := &model{payloads: m.payloads, snapshot: m.snapshot, synced: 27} // the last batch is 28 to 30
				if damage == "cut" {
					want.synced = 15
				}
				isRefused, err := checkDamaged(damaged, want)
				if err != nil {
					t.Fatalf("%s %s at %d: %v", name, damage, at, err)
				}
				if isRefused {
					refused++
				} else {
					opened++
				}
			}
		}
		damaged := disk.Copy()
		if err := damaged.Remove(name); err != nil {
			t.Fatal(err)
		}
		if l, got, err := openLog(damaged); err == nil {
			if err := (&model{payloads: m.payloads}).check(got, l.NextIndex()); err != nil {
				t.Errorf("without %s: %v", name, err)
			}
		}
	}
	if refused == 0 || opened == 0 {
		t.Errorf("%d refused, %d opened", refused, opened)
	}
	t.Logf("%d refused, %d opened", refused, opened)
}

// checkDamaged opens a damaged log. If that succeeds, the log must be as want has it, accept a further record and recover that, too.
func checkDamaged(disk *simdisk.Disk, want *model) (isRefused bool, err error) {
	l, got, err := openLog(disk)
	if err != nil {
		var corruption *wal.CorruptionError
		if !errors.As(err, &corruption) || strings.Contains(err.Error(), "\n") || corruption.File == "" {
			return true, err
		}
		return true, nil
	}
	if err := want.check(got, l.NextIndex()); err != nil {
		return false, err
	}
	if _, err := l.Append('t', []byte("more")); err != nil {
		return false, err
	}
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		return false, err
	}
	again, got, err := openLog(disk)
	if err != nil || got.records[again.NextIndex()-1] != "tmore" || again.NextIndex() != l.NextIndex() {
		return false, fmt.Errorf("opened again: %v, %w", got, err)
	}
	return false, nil
}

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
	firstName, secondName := fmt.Sprintf("%020d.log", 1), fmt.Sprintf("%020d.log", 12)
	f.Add(disk.Bytes(firstName), disk.Bytes(secondName))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		disk := simdisk.New()
		disk.SetBytes(firstName, first)
		if len(second) > 0 {
			disk.SetBytes(secondName, second)
		}
		if l, _, err := openLog(disk); err == nil {
			if _, err := l.Append('t', nil); err != nil || l.Sync() != nil {
				t.Error(err)
			}
		}
	})
}
