package wal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxSnapshotBytes bounds the body of a snapshot, which is in memory as a whole while the snapshot is written or read.
const MaxSnapshotBytes = 256 << 20

// Offsets, in bytes, of the fields of the trailer that follows the body of a snapshot (docs/wal-format.md). Numbers are
// little-endian.
const (
	trailerLengthOffset       = 0  // length of the body in bytes
	trailerBodyChecksumOffset = 8  // CRC-32C of the body
	trailerChecksumOffset     = 12 // CRC-32C of the trailer's bytes before this field
	snapshotTrailerBytes      = 16 // size in bytes of the trailer that follows a snapshot's body
)

// WriteSnapshot stores a snapshot that replaces all records up to index, and removes the files that become obsolete by it. The records
// must be synced, and body must have at most MaxSnapshotBytes. The new snapshot is durable if WriteSnapshot returns nil; after an error
// or a crash the log has either the previous snapshot or the new one.
func (l *Log) WriteSnapshot(index uint64, body []byte) error {
	switch {
	case l.failure != nil:
		return l.failure
	case index > l.syncedIndex || index <= l.snapshotIndex:
		return fmt.Errorf("snapshot at record %d is rejected: records are synced up to %d, and the latest snapshot is at %d", index, l.syncedIndex, l.snapshotIndex)
	case len(body) > MaxSnapshotBytes:
		return fmt.Errorf("snapshot of %d bytes exceeds the maximum of %d bytes", len(body), MaxSnapshotBytes)
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

// writeSnapshotFile writes the file of a snapshot and makes it durable.
func (l *Log) writeSnapshotFile(index uint64, body []byte) error {
	var trailer [snapshotTrailerBytes]byte
	binary.LittleEndian.PutUint64(trailer[trailerLengthOffset:], uint64(len(body)))
	binary.LittleEndian.PutUint32(trailer[trailerBodyChecksumOffset:], checksum(body))
	binary.LittleEndian.PutUint32(trailer[trailerChecksumOffset:], checksum(trailer[:trailerChecksumOffset]))
	return ReplaceFile(l.fs, snapshotName(index), encodeFileHeader(snapshotMagic, index), body, trailer[:])
}

// readSnapshot reads and verifies the snapshot at l.snapshotIndex, and passes its body to restore.
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

// removeObsoleteFiles removes older snapshots, and the segments that have only records that the snapshot replaces. The active segment
// is never removed.
func (l *Log) removeObsoleteFiles() error {
	if l.snapshotIndex == 0 {
		return nil
	}
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	firstKeptIndex := uint64(0) // first index of the oldest segment to keep: the one that has the record after the snapshot, or else the last one
	for _, firstIndex := range l.segmentFirstIndexes {
		if firstIndex <= l.snapshotIndex+1 {
			firstKeptIndex = firstIndex
		}
	}
	for _, name := range names {
		firstIndex, isSegment := parseFileName(name, segmentSuffix)
		index, isSnapshot := parseFileName(name, snapshotSuffix)
		if isSegment && firstIndex < firstKeptIndex || isSnapshot && index < l.snapshotIndex {
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	for len(l.segmentFirstIndexes) > 0 && l.segmentFirstIndexes[0] < firstKeptIndex {
		l.segmentFirstIndexes = l.segmentFirstIndexes[1:]
	}
	return nil
}
