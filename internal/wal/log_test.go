package wal_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/wal"
)

// held is what opening gave: the snapshot, and the payloads behind it.
type held struct {
	snapshot uint64
	body     string
	records  map[uint64]string
	said     []string
}

const segment = 600 // bytes: some ten records

func open(fs wal.FS) (*wal.Log, *held, error) {
	h := &held{records: map[uint64]string{}}
	l, err := wal.Open(fs, wal.Options{SegmentBytes: segment, Said: func(s string) { h.said = append(h.said, s) }}, func(index uint64, r io.Reader) error {
		b, err := io.ReadAll(r)
		h.snapshot, h.body = index, string(b)
		return err
	}, func(r wal.Record) error {
		h.records[r.Index] = string(r.Type) + string(r.Payload)
		return nil
	})
	return l, h, err
}

// model is what was appended, and up to where it was promised.
type model struct {
	payloads []string // of record i+1
	promised uint64
	snapshot uint64
}

func body(index uint64) string { return fmt.Sprint("state at ", index) }

// holds holds what opening gave against the model: a prefix, with all that was promised.
func (m *model) holds(h *held, next uint64) error {
	if next-1 < m.promised || next-1 > uint64(len(m.payloads)) {
		return fmt.Errorf("%d records are there, %d were promised and %d appended", next-1, m.promised, len(m.payloads))
	}
	if h.snapshot < m.snapshot || h.snapshot > 0 && h.body != body(h.snapshot) {
		return fmt.Errorf("the snapshot is %q at %d, promised at %d", h.body, h.snapshot, m.snapshot)
	}
	for i := h.snapshot + 1; i < next; i++ {
		if got, ok := h.records[i]; !ok || got != "t"+m.payloads[i-1] {
			return fmt.Errorf("record %d is %.40q, not %.40q", i, got, m.payloads[i-1])
		}
	}
	for i := range h.records {
		if i <= h.snapshot || i >= next {
			return fmt.Errorf("record %d was replayed", i)
		}
	}
	return nil
}

// step does one thing with a log, as chance will have it.
func (m *model) step(l *wal.Log, rng *rand.Rand) error {
	switch k := rng.IntN(10); {
	case k < 6:
		p := strings.Repeat(string(rune('a'+rng.IntN(26))), rng.IntN(200)) + fmt.Sprint(len(m.payloads)+1)
		index, err := l.Append('t', []byte(p))
		if err == nil {
			m.payloads = append(m.payloads[:index-1], p)
		}
		return err
	case k < 9 || l.Synced() <= l.Snapshot():
		err := l.Sync()
		m.promised = max(m.promised, l.Synced())
		return err
	default:
		at := l.Snapshot() + 1 + rng.Uint64N(l.Synced()-l.Snapshot())
		err := l.Snap(at, []byte(body(at)))
		if err == nil {
			m.snapshot = at
		}
		return err
	}
}

// Random histories, the power lost at any moment, again and again: what is there is a prefix of what was appended, and all
// that was promised.
func TestThePromiseOutlivesCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		if err := history(simdisk.New(), rng, rapid.IntRange(1, 60).Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// The same by the thousand, without a search for the smallest history.
func TestThousandsOfHistories(t *testing.T) {
	for seed := range uint64(5000) {
		if err := history(simdisk.New(), rand.New(rand.NewPCG(seed, 2)), 60); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

func history(d *simdisk.Disk, rng *rand.Rand, steps int) error {
	m := &model{}
	for range 5 {
		l, h, err := open(d)
		if err != nil {
			return fmt.Errorf("opening: %w", err)
		}
		if err := m.holds(h, l.Next()); err != nil {
			return err
		}
		m.payloads = m.payloads[:l.Next()-1]
		m.promised = l.Next() - 1 // opening makes sure of what it gives
		d.FailAfter = 0
		if rng.IntN(2) == 0 {
			d.FailAfter = d.Changes + 1 + rng.IntN(20)
		}
		if rng.IntN(4) == 0 {
			d.Space = int64(2000 + rng.IntN(3000))
		}
		for range steps {
			if err := m.step(l, rng); err != nil {
				if l.Sync() == nil { // after an error nothing is promised any more
					return fmt.Errorf("a log goes on after %w", err)
				}
				break
			}
		}
		d.Crash(rng)
	}
	return nil
}

// A disk that lies about syncs is seen: the test above can fail.
func TestADiskThatLiesIsSeen(t *testing.T) {
	for seed := range uint64(50) {
		d := simdisk.New()
		d.Forgets = true
		if history(d, rand.New(rand.NewPCG(seed, 1)), 40) != nil {
			return
		}
	}
	t.Error("fifty histories on a disk that forgets all, and nothing was missed")
}

// made is a disk with several segments and a snapshot, all promised.
func made(t *testing.T) (*simdisk.Disk, *model) {
	t.Helper()
	d, m := simdisk.New(), &model{}
	l, _, err := open(d)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		p := strings.Repeat("x", 10+i%40)
		if _, err := l.Append('t', []byte(p)); err != nil {
			t.Fatal(err)
		}
		m.payloads = append(m.payloads, p)
		if i%3 == 2 {
			if err := l.Sync(); err != nil {
				t.Fatal(err)
			}
		}
		if i == 17 {
			if err := l.Snap(15, []byte(body(15))); err != nil {
				t.Fatal(err)
			}
		}
	}
	m.snapshot = 15
	if err := errors.Join(l.Sync(), l.Close()); err != nil {
		t.Fatal(err)
	}
	return d, m
}

// Every file cut at every byte, and every byte changed: opening gives a prefix, or refuses in one line that names the file. What
// was promised is missing only where it was refused, or behind the last batch of the last segment, which can't be told from a
// torn one.
func TestEveryByteCutAndFlipped(t *testing.T) {
	whole, m := made(t)
	names, _ := whole.List()
	refused, opened := 0, 0
	for _, name := range names {
		b := whole.Bytes(name)
		for at := range b {
			flipped := append([]byte(nil), b...)
			flipped[at] ^= 1 << (at % 8)
			for what, bytes := range map[string][]byte{"cut": b[:at], "flipped": flipped} {
				d := whole.Copy()
				d.SetBytes(name, bytes)
				l, h, err := open(d)
				if err != nil {
					refused++
					if damaged := (*wal.CorruptionError)(nil); !errors.As(err, &damaged) || strings.Contains(err.Error(), "\n") || damaged.File == "" {
						t.Fatalf("%s %s at %d: %v", name, what, at, err)
					}
					continue
				}
				opened++
				last := &model{payloads: m.payloads, snapshot: m.snapshot, promised: 27} // the last batch is 28 to 30
				if what == "cut" {
					last.promised = 15
				}
				if err := last.holds(h, l.Next()); err != nil {
					t.Fatalf("%s %s at %d: %v", name, what, at, err)
				}
				if _, err := l.Append('t', []byte("more")); err != nil {
					t.Fatal(err)
				}
				if err := errors.Join(l.Sync(), l.Close()); err != nil {
					t.Fatal(err)
				}
				again, h2, err := open(d)
				if err != nil || h2.records[again.Next()-1] != "tmore" || again.Next() != l.Next() {
					t.Fatalf("%s %s at %d: opened again: %v, %v", name, what, at, h2, err)
				}
			}
		}
		d := whole.Copy()
		if err := d.Remove(name); err != nil {
			t.Fatal(err)
		}
		if l, h, err := open(d); err == nil {
			if err := (&model{payloads: m.payloads}).holds(h, l.Next()); err != nil {
				t.Errorf("without %s: %v", name, err)
			}
		}
	}
	if refused == 0 || opened == 0 {
		t.Errorf("%d refused, %d opened", refused, opened)
	}
	t.Logf("%d refused, %d opened", refused, opened)
}

// On the system's own disk: what is promised is there, a second process is kept out, and old segments go.
func TestOnARealDisk(t *testing.T) {
	fs, err := wal.Dir(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	l, _, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := open(fs); !errors.Is(err, wal.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	m := &model{}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 300 {
		if err := m.step(l, rng); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(l.Sync(), l.Snap(l.Synced(), []byte(body(l.Synced()))), l.Close()); err != nil {
		t.Fatal(err)
	}
	m.promised, m.snapshot = uint64(len(m.payloads)), uint64(len(m.payloads))
	if names, _ := fs.List(); len(names) > 2 {
		t.Errorf("left: %q", names)
	}
	l, h, err := open(fs)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := m.holds(h, l.Next()); err != nil {
		t.Error(err)
	}
	if _, err := l.Append('t', make([]byte, wal.MaxRecordBytes+1)); err == nil {
		t.Error("a record over the bound is taken")
	}
}

func FuzzOpen(f *testing.F) {
	d := simdisk.New()
	l, _, _ := open(d)
	for range 12 {
		_, _ = l.Append('t', []byte("payload"))
		_ = l.Sync()
	}
	name := fmt.Sprintf("%020d.log", 1)
	f.Add(d.Bytes(name), d.Bytes(fmt.Sprintf("%020d.log", 12)))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		d := simdisk.New()
		d.SetBytes(name, first)
		if len(second) > 0 {
			d.SetBytes(fmt.Sprintf("%020d.log", 12), second)
		}
		if l, _, err := open(d); err == nil {
			if _, err := l.Append('t', nil); err != nil || l.Sync() != nil {
				t.Error(err)
			}
		}
	})
}
