package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// A file is named for an index, in this many decimal digits: a segment for its first record, a snapshot for the last record that it
// stands for.
const (
	fileNameDigits                = 20
	segmentSuffix, snapshotSuffix = ".log", ".snap"
)

// The header of segments and snapshots (docs/wal-format.md). Numbers are little-endian; what lies between the fields is zero.
const (
	segmentMagic, snapshotMagic = "TULIPWAL", "TULIPSNP"
	formatVersion               = 1

	fileVersionOffset  = 8
	fileIndexOffset    = 16
	fileChecksumOffset = 24 // of all that precedes it
	fileReservedOffset = 28
	fileHeaderBytes    = 32
)

func segmentName(first uint64) string { return fileName(first, segmentSuffix) }

func snapshotName(index uint64) string { return fileName(index, snapshotSuffix) }

func fileName(index uint64, suffix string) string {
	return fmt.Sprintf("%0*d%s", fileNameDigits, index, suffix)
}

// parseFileName returns the index that a segment or a snapshot is named for; ok is false if the name is another file's.
func parseFileName(name, suffix string) (index uint64, ok bool) {
	digits, hasSuffix := strings.CutSuffix(name, suffix)
	index, err := strconv.ParseUint(digits, 10, 64)
	return index, hasSuffix && err == nil && len(digits) == fileNameDigits && index > 0
}

// encodeFileHeader returns the header of a segment or a snapshot.
func encodeFileHeader(magic string, index uint64) []byte {
	b := make([]byte, fileHeaderBytes)
	copy(b, magic)
	binary.LittleEndian.PutUint32(b[fileVersionOffset:], formatVersion)
	binary.LittleEndian.PutUint64(b[fileIndexOffset:], index)
	binary.LittleEndian.PutUint32(b[fileChecksumOffset:], checksum(b[:fileChecksumOffset]))
	return b
}

// checkFileHeader returns an error unless b begins with the header of magic and index.
func checkFileHeader(b []byte, magic string, index uint64) error {
	if len(b) < fileHeaderBytes {
		return errors.New("the header is truncated")
	}
	version := binary.LittleEndian.Uint32(b[fileVersionOffset:])
	switch {
	case checksum(b[:fileChecksumOffset]) != binary.LittleEndian.Uint32(b[fileChecksumOffset:]) || binary.LittleEndian.Uint32(b[fileReservedOffset:]) != 0:
		return errors.New("the header is damaged")
	case string(b[:len(magic)]) != magic:
		return errors.New("the file is not a log's")
	case version != formatVersion:
		return fmt.Errorf("format version %d is unknown", version)
	case binary.LittleEndian.Uint64(b[fileIndexOffset:]) != index:
		return errors.New("the header has another index than the file's name")
	}
	return nil
}

// rotate completes the active segment and begins the next.
func (l *Log) rotate() error {
	if err := l.Sync(); err != nil {
		return err
	}
	if err := l.activeSegment.Close(); err != nil {
		return err
	}
	return l.createSegment(l.nextIndex)
}

// createSegment begins a segment with the record at first, and makes it the active one. It is durable before a record is written to
// it.
func (l *Log) createSegment(first uint64) error {
	f, err := l.fs.Create(segmentName(first))
	if err != nil {
		return err
	}
	l.activeSegment = f
	if _, err := f.Write(encodeFileHeader(segmentMagic, first)); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	l.segmentFirstIndexes, l.activeBytes = append(l.segmentFirstIndexes, first), fileHeaderBytes
	return l.fs.SyncDir()
}
