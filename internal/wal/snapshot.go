package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxSnapshotBytes bounds a snapshot, which is held in memory while it is written and read.
const MaxSnapshotBytes = 256 << 20

// The trailer of a snapshot, as offsets in bytes (docs/wal-format.md). Numbers are little-endian.
const (
	trailerLengthAt       = 0  // of the body
	trailerBodyChecksumAt = 8  // of the body
	trailerChecksumAt     = 12 // of the trailer's fields that precede it
	snapshotTrailerBytes  = 16
)

// Snap writes a snapshot of at most MaxSnapshotBytes that stands for all records up to index, which must be synced, and removes the
// files that it stands for. When it returns nil the snapshot is durable; otherwise the one before is, or this one.
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
	binary.LittleEndian.PutUint64(trailer[trailerLengthAt:], uint64(len(body)))
	binary.LittleEndian.PutUint32(trailer[trailerBodyChecksumAt:], checksum(body))
	binary.LittleEndian.PutUint32(trailer[trailerChecksumAt:], checksum(trailer[:trailerChecksumAt]))
	return ReplaceFile(l.fs, snapshotName(index), encodeFileHeader(snapshotMagic, index), body, trailer[:])
}

// readSnapshot passes the body of the snapshot at l.snapshot to restore.
func (l *Log) readSnapshot(restore func(uint64, io.Reader) error) error {
	name := snapshotName(l.snapshot)
	f, b, err := l.openAndRead(name)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := checkFileHeader(b, snapshotMagic, l.snapshot); err != nil {
		return &CorruptionError{name, 0, err}
	}
	if len(b) < fileHeaderBytes+snapshotTrailerBytes {
		return &CorruptionError{name, int64(len(b)), errors.New("the snapshot is truncated")}
	}
	body, trailer := b[fileHeaderBytes:len(b)-snapshotTrailerBytes], b[len(b)-snapshotTrailerBytes:]
	if checksum(trailer[:trailerChecksumAt]) != binary.LittleEndian.Uint32(trailer[trailerChecksumAt:]) ||
		binary.LittleEndian.Uint64(trailer[trailerLengthAt:]) != uint64(len(body)) ||
		checksum(body) != binary.LittleEndian.Uint32(trailer[trailerBodyChecksumAt:]) {
		return &CorruptionError{name, fileHeaderBytes, errors.New("the snapshot's checksum is wrong")}
	}
	if err := restore(l.snapshot, bytes.NewReader(body)); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// removeObsolete removes older snapshots, and the segments whose records the snapshot stands for. The active segment stays.
func (l *Log) removeObsolete() error {
	if l.snapshot == 0 {
		return nil
	}
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	firstKept := uint64(0) // the segment of the first record after the snapshot
	for _, first := range l.segments {
		if first <= l.snapshot+1 {
			firstKept = first
		}
	}
	for _, name := range names {
		first, isSegment := parseFileName(name, segmentSuffix)
		index, isSnapshot := parseFileName(name, snapshotSuffix)
		if isSegment && first < firstKept || isSnapshot && index < l.snapshot {
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	for len(l.segments) > 0 && l.segments[0] < firstKept {
		l.segments = l.segments[1:]
	}
	return nil
}
