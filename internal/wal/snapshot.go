package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
)

// MostSnapshot bounds a snapshot: it is held in memory while it is written and read.
const MostSnapshot = 256 << 20

// Snap writes a snapshot that stands for all records up to an index, which must be synced, and takes out what it stands
// for. When it returns nil the snapshot is sure to be there; when it does not, the one before is, or this one.
func (l *Log) Snap(index uint64, body []byte) error {
	switch {
	case l.failed != nil:
		return l.failed
	case index > l.synced || index <= l.snapshot:
		return fmt.Errorf("a snapshot at %d: records are synced up to %d, and there is one at %d", index, l.synced, l.snapshot)
	case len(body) > MostSnapshot:
		return fmt.Errorf("a snapshot of %d bytes, %d are the most", len(body), MostSnapshot)
	}
	if err := l.writeSnapshot(index, body); err != nil {
		return l.fail(err)
	}
	l.snapshot = index
	if err := l.clean(); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) writeSnapshot(index uint64, body []byte) error {
	var trailer [trailerSize]byte
	binary.LittleEndian.PutUint64(trailer[:], uint64(len(body)))
	binary.LittleEndian.PutUint32(trailer[8:], sum(body))
	binary.LittleEndian.PutUint32(trailer[12:], sum(trailer[:12]))
	return Replace(l.fs, snapshotName(index), header(snapshotMagic, index), body, trailer[:])
}

func (l *Log) readSnapshot(restore func(uint64, io.Reader) error) error {
	name := snapshotName(l.snapshot)
	f, b, err := l.readAll(name)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if bad := checkHeader(b, snapshotMagic, l.snapshot); bad != "" {
		return &DamagedError{name, 0, bad}
	}
	if len(b) < headerSize+trailerSize {
		return &DamagedError{name, int64(len(b)), "it is cut off"}
	}
	body, trailer := b[headerSize:len(b)-trailerSize], b[len(b)-trailerSize:]
	if sum(trailer[:12]) != binary.LittleEndian.Uint32(trailer[12:]) || binary.LittleEndian.Uint64(trailer) != uint64(len(body)) || sum(body) != binary.LittleEndian.Uint32(trailer[8:]) {
		return &DamagedError{name, headerSize, "its checksum is wrong"}
	}
	if err := restore(l.snapshot, bytes.NewReader(body)); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// clean takes out snapshots that another followed, and segments that it stands for whole. The active segment stays.
func (l *Log) clean() error {
	if l.snapshot == 0 {
		return nil
	}
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	keep := uint64(0) // the segment in which the first record after the snapshot is
	for _, first := range l.segments {
		if first <= l.snapshot+1 {
			keep = first
		}
	}
	for _, name := range names {
		n, isSegment := numbered(name, segmentSuffix)
		m, isSnapshot := numbered(name, snapshotSuffix)
		if isSegment && n < keep || isSnapshot && m < l.snapshot {
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	for len(l.segments) > 0 && l.segments[0] < keep {
		l.segments = l.segments[1:]
	}
	return nil
}
