package wal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
)

// MaxSnapshotBytes bounds a snapshot: it is held in memory while it is written and read.
const MaxSnapshotBytes = 256 << 20

// Snap writes a snapshot that stands for all records up to an index, which must be synced, and takes out what it stands
// for. When it returns nil the snapshot is sure to be there; when it does not, the one before is, or this one.
func (l *Log) Snap(index uint64, body []byte) error {
	switch {
	case l.failed != nil:
		return l.failed
	case index > l.synced || index <= l.snapshot:
		return fmt.Errorf("a snapshot at %d: records are synced up to %d, and there is one at %d", index, l.synced, l.snapshot)
	case len(body) > MaxSnapshotBytes:
		return fmt.Errorf("a snapshot of %d bytes, %d are the most", len(body), MaxSnapshotBytes)
	}
	if err := l.writeSnapshot(index, body); err != nil {
		return l.fail(err)
	}
	l.snapshot = index
	if err := l.removeObsolete(); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) writeSnapshot(index uint64, body []byte) error {
	var trailer [snapshotTrailerBytes]byte
	binary.LittleEndian.PutUint64(trailer[:], uint64(len(body)))
	binary.LittleEndian.PutUint32(trailer[8:], checksum(body))
	binary.LittleEndian.PutUint32(trailer[12:], checksum(trailer[:12]))
	return Replace(l.fs, snapshotName(index), encodeFileHeader(snapshotMagic, index), body, trailer[:])
}

func (l *Log) readSnapshot(restore func(uint64, io.Reader) error) error {
	name := snapshotName(l.snapshot)
	f, b, err := l.openAndRead(name)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if bad := checkFileHeader(b, snapshotMagic, l.snapshot); bad != "" {
		return &CorruptionError{name, 0, bad}
	}
	if len(b) < fileHeaderBytes+snapshotTrailerBytes {
		return &CorruptionError{name, int64(len(b)), "it is cut off"}
	}
	body, trailer := b[fileHeaderBytes:len(b)-snapshotTrailerBytes], b[len(b)-snapshotTrailerBytes:]
	if checksum(trailer[:12]) != binary.LittleEndian.Uint32(trailer[12:]) || binary.LittleEndian.Uint64(trailer) != uint64(len(body)) || checksum(body) != binary.LittleEndian.Uint32(trailer[8:]) {
		return &CorruptionError{name, fileHeaderBytes, "its checksum is wrong"}
	}
	if err := restore(l.snapshot, bytes.NewReader(body)); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// removeObsolete takes out snapshots that another followed, and segments that it stands for whole. The active segment stays.
func (l *Log) removeObsolete() error {
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
		n, isSegment := parseFileName(name, segmentSuffix)
		m, isSnapshot := parseFileName(name, snapshotSuffix)
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
