package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The name of a file is the index of a record, in fileNameDigits decimal digits, and a suffix. A segment is named after its first
// record, and a snapshot after the last record that it replaces.
const (
	fileNameDigits                = 20 // number of decimal digits of the largest uint64
	segmentSuffix, snapshotSuffix = ".log", ".snap"
)

// The header of segments and snapshots (docs/wal-format.md) begins with the magic bytes. The constants fileVersionOffset to
// fileReservedOffset are the offsets, in bytes, of the header's other fields. Numbers are little-endian, and the bytes between the
// fields are zero.
const (
	segmentMagic, snapshotMagic = "TULIPWAL", "TULIPSNP" // first bytes of a file, which identify its kind
	formatVersion               = 1                      // version of the format; files with another version are rejected

	fileVersionOffset  = 8  // formatVersion, in four bytes
	fileIndexOffset    = 16 // index of the record that the file is named after, in eight bytes
	fileChecksumOffset = 24 // CRC-32C of the header's bytes before this field
	fileReservedOffset = 28 // four zero bytes that are not part of the checksum
	fileHeaderBytes    = 32 // size in bytes of the header of a segment or a snapshot
)

// segmentName returns the name of the segment that begins with the record at firstIndex.
func segmentName(firstIndex uint64) string { return fileName(firstIndex, segmentSuffix) }

// snapshotName returns the name of the snapshot that replaces the records up to index.
func snapshotName(index uint64) string { return fileName(index, snapshotSuffix) }

// fileName returns the name of a segment or a snapshot: index in decimal digits, and then segmentSuffix or snapshotSuffix.
func fileName(index uint64, suffix string) string {
	return fmt.Sprintf("%0*d%s", fileNameDigits, index, suffix)
}

// parseFileName returns the index in the name of a segment or a snapshot, depending on the suffix. It returns false if the name is
// not that of a segment or snapshot with the suffix.
func parseFileName(name, suffix string) (index uint64, ok bool) {
	digits, hasSuffix := strings.CutSuffix(name, suffix)
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, hasSuffix && err == nil && len(digits) == fileNameDigits && index > 0
}

// encodeFileHeader returns the header of a segment or a snapshot, depending on magic.
func encodeFileHeader(magic string, index uint64) []byte {
	b := make([]byte, fileHeaderBytes)
	copy(b, magic)
	binary.LittleEndian.PutUint32(b[fileVersionOffset:], formatVersion)
	binary.LittleEndian.PutUint64(b[fileIndexOffset:], index)
	binary.LittleEndian.PutUint32(b[fileChecksumOffset:], checksum(b[:fileChecksumOffset]))
	return b
}

// checkFileHeader returns an error unless b begins with a valid header that has the given magic bytes and index.
func checkFileHeader(b []byte, magic string, index uint64) error {
	if len(b) < fileHeaderBytes {
		return errors.New("the header is truncated")
	}
	version := binary.LittleEndian.Uint32(b[fileVersionOffset:])
	switch {
	case checksum(b[:fileChecksumOffset]) != binary.LittleEndian.Uint32(b[fileChecksumOffset:]) || binary.LittleEndian.Uint32(b[fileReservedOffset:]) != 0:
		return errors.New("the header is damaged")
	case string(b[:len(magic)]) != magic:
		return fmt.Errorf("the header does not begin with %q", magic)
	case version != formatVersion:
		return fmt.Errorf("format version %d is unknown", version)
	case binary.LittleEndian.Uint64(b[fileIndexOffset:]) != index:
		return errors.New("the index in the header differs from the index in the file name")
	}
	return nil
}

// rotate syncs and closes the active segment, and begins the next one. The sync comes first, so that only the last segment can have
// records that are not durable.
func (l *Log) rotate() error {
	if err := l.Sync(); err != nil {
		return err
	}
	if err := l.activeSegment.Close(); err != nil {
		return err
	}
	return l.createSegment(l.nextIndex)
}

// createSegment creates a segment that begins with the record at firstIndex, and makes it the active one. It syncs the file and the
// directory, so that the segment is durable before a record is written to it.
func (l *Log) createSegment(firstIndex uint64) error {
	f, err := l.fs.Create(segmentName(firstIndex))
	if err != nil {
		return err
	}
	l.activeSegment = f
	if _, err := f.Write(encodeFileHeader(segmentMagic, firstIndex)); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	l.segmentFirstIndexes, l.activeSegmentBytes = append(l.segmentFirstIndexes, firstIndex), fileHeaderBytes
	return l.fs.SyncDir()
}
