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
	trailerLengthOffset       = 0  // of the body
	trailerBodyChecksumOffset = 8  // of the body
	trailerChecksumOffset     = 12 // of the trailer's fields that precede it
	snapshotTrailerBytes      = 16
)

// WriteSnapshot writes a snapshot of at most MaxSnapshotBytes that stands for all records up to index, which must be synced, and removes the
// files that it stands for. When it returns nil the snapshot is durable; otherwise the one before is, or this one.
func (l *Log) WriteSnapshot(index uint64, body []byte) error {
	switch {
	case l.failure != nil:
		return l.failure
	case index > l.syncedIndex || index <= l.snapshotIndex:
		return fmt.Errorf("a snapshot at %d: records are synced up to %d, and there is one at %d", index, l.syncedIndex, l.snapshotIndex)
	case len(body) > MaxSnapshotBytes:
		return fmt.Errorf("a snapshot of %d bytes, %d are the most", len(body), MaxSnapshotBytes)
	}
	if err := l.writeSnapshotFile(index, body); err != nil {
		return l.setFailure(err)
	}
	l.snapshotIndex = index
	if err := l.removeObsoleteFiles(); err != nil {
		return l.setFailure(err)
	}
	return nil
}

func (l *Log) writeSnapshotFile(index uint64, body []byte) error {
	var trailer [snapshotTrailerBytes]byte
	binary.LittleEndian.PutUint64(trailer[trailerLengthOffset:], uint64(len(body)))
	binary.LittleEndian.PutUint32(trailer[trailerBodyChecksumOffset:], checksum(body))
	binary.LittleEndian.PutUint32(trailer[trailerChecksumOffset:], checksum(trailer[:trailerChecksumOffset]))
	return ReplaceFile(l.fs, snapshotName(index), encodeFileHeader(snapshotMagic, index), body, trailer[:])
}

// readSnapshot passes the body of the snapshot at l.snapshot to restore.
func (l *Log) readSnapshot(restore func(uint64, io.Reader) error) error {
	name := snapshotName(l.snapshotIndex)
	f, b, err := l.openAndRead(name)
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := checkFileHeader(b, snapshotMagic, l.snapshotIndex); err != nil {
		return &CorruptionError{name, 0, err}
	}
	if len(b) < fileHeaderBytes+snapshotTrailerBytes {
		return &CorruptionError{name, int64(len(b)), errors.New("the snapshot is truncated")}
	}
	body, trailer := b[fileHeaderBytes:len(b)-snapshotTrailerBytes], b[len(b)-snapshotTrailerBytes:]
	if checksum(trailer[:trailerChecksumOffset]) != binary.LittleEndian.Uint32(trailer[trailerChecksumOffset:]) ||
		binary.LittleEndian.Uint64(trailer[trailerLengthOffset:]) != uint64(len(body)) ||
		checksum(body) != binary.LittleEndian.Uint32(trailer[trailerBodyChecksumOffset:]) {
		return &CorruptionError{name, fileHeaderBytes, errors.New("the snapshot's checksum is wrong")}
	}
	if err := restore(l.snapshotIndex, bytes.NewReader(body)); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// removeObsoleteFiles removes older snapshots, and the segments whose records the snapshot stands for. The active segment stays.
func (l *Log) removeObsoleteFiles() error {
	if l.snapshotIndex == 0 {
		return nil
	}
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	firstKept := uint64(0) // the segment of the first record after the snapshot
	for _, first := range l.segmentFirstIndexes {
		if first <= l.snapshotIndex+1 {
			firstKept = first
		}
	}
	for _, name := range names {
		first, isSegment := parseFileName(name, segmentSuffix)
		index, isSnapshot := parseFileName(name, snapshotSuffix)
		if isSegment && first < firstKept || isSnapshot && index < l.snapshotIndex {
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	for len(l.segmentFirstIndexes) > 0 && l.segmentFirstIndexes[0] < firstKept {
		l.segmentFirstIndexes = l.segmentFirstIndexes[1:]
	}
	return nil
}
