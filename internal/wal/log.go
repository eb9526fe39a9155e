// Package wal is a durable log: records in segments, a snapshot that stands for those before it, and a promise: what Sync
// has returned for is there after any crash, in order and whole, and what is there is a prefix of what was appended. The
// format is docs/wal-format.md.
//
// After an error of the disk a Log does nothing any more: what a failed write or sync has left can't be known, and is found
// out by opening it anew.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
	"strconv"
	"strings"
)

// Format, byte by byte in docs/wal-format.md. Numbers are little-endian, checksums CRC-32C.
const (
	segmentMagic         = "TULIPWAL"
	snapshotMagic        = "TULIPSNP"
	formatVersion        = 1
	fileHeaderBytes      = 32
	recordHeaderBytes    = 25 // checksum 4, length 4, type 1, index 8, synced 8
	snapshotTrailerBytes = 16

	// MaxRecordBytes bounds a record's payload: a put of 1 MB, and room.
	MaxRecordBytes = 16 << 20

	segmentSuffix, snapshotSuffix = ".log", ".snap"
	nameDigits                    = 20
)

var crc32c = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, crc32c) }

// Record is an entry of the log. Indices begin at 1 and have no gaps.
type Record struct {
	Index   uint64
	Type    byte
	Payload []byte
}

// Options of a Log.
type Options struct {
	SegmentBytes int64        // a segment that is longer is followed by another; 0: 16 MiB
	Said         func(string) // is told, in one line, what opening has cut off; nil: nobody
}

const (
	defaultSegmentBytes = 16 << 20
	maxBufferBytes      = 1 << 20
)

// CorruptionError is why a log can't be opened: what was promised is not there. Nothing was changed.
type CorruptionError struct {
	File   string
	Offset int64
	What   string
}

// Error implements error: one line that says what to do.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s; restore the directory from a copy, or empty it and let the others bring this one up to date", e.File, e.Offset, e.What)
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs      FS
	options Options
	lock    io.Closer

	segments       []uint64 // index of the first record of each, ascending
	active         File     // the last segment
	activeBytes    int64    // of it, with what is buffered
	buffer         []byte   // appended, not yet written; mostBuffer and a record at most
	next           uint64   // index of the next record
	lastSegmentEnd uint64   // while opening: the index behind the last record of the segment that was read last
	synced         uint64   // index of the last record that is sure to be there
	snapshot       uint64   // index up to which the snapshot stands for the records; 0: there is none
	failed         error
}

// Open opens a log, or makes one. The snapshot, if there is one, is handed to restore (whose reader ends with the
// snapshot's last byte), and then each record after it to replay, whose payload must not be kept.
func Open(fs FS, o Options, restore func(index uint64, r io.Reader) error, replay func(Record) error) (*Log, error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.Said == nil {
		o.Said = func(string) {}
	}
	lock, err := fs.Lock()
	if err != nil {
		return nil, err
	}
	l := &Log{fs: fs, options: o, lock: lock, next: 1}
	if err := l.recover(restore, replay); err != nil {
		if l.active != nil {
			l.active.Close()
		}
		return nil, errors.Join(err, lock.Close())
	}
	return l, nil
}

func (l *Log) recover(restore func(uint64, io.Reader) error, replay func(Record) error) error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	var snapshots []uint64
	for _, name := range names {
		if n, ok := parseFileName(name, segmentSuffix); ok {
			l.segments = append(l.segments, n)
		} else if n, ok := parseFileName(name, snapshotSuffix); ok {
			snapshots = append(snapshots, n)
		} else if strings.HasSuffix(name, TempSuffix) { // of a snapshot that was never finished
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	slices.Sort(l.segments)
	slices.Sort(snapshots)
	if len(snapshots) > 0 {
		l.snapshot = snapshots[len(snapshots)-1]
		if err := l.readSnapshot(restore); err != nil {
			return err
		}
		l.next = l.snapshot + 1
	}
	if err := l.replaySegments(replay); err != nil {
		return err
	}
	if err := l.removeObsolete(); err != nil {
		return err
	}
	if l.active == nil {
		return l.createSegment(l.next)
	}
	return nil
}

func segmentName(first uint64) string { return fmt.Sprintf("%0*d%s", nameDigits, first, segmentSuffix) }
func snapshotName(index uint64) string {
	return fmt.Sprintf("%0*d%s", nameDigits, index, snapshotSuffix)
}

func parseFileName(name, suffix string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, suffix)
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, ok && err == nil && len(digits) == nameDigits && n > 0
}

// encodeFileHeader is the beginning of a segment or a snapshot.
func encodeFileHeader(magic string, index uint64) []byte {
	b := make([]byte, fileHeaderBytes)
	copy(b, magic)
	binary.LittleEndian.PutUint32(b[8:], formatVersion)
	binary.LittleEndian.PutUint64(b[16:], index)
	binary.LittleEndian.PutUint32(b[24:], checksum(b[:24]))
	return b
}

// checkFileHeader says what is wrong with one; empty: nothing.
func checkFileHeader(b []byte, magic string, index uint64) string {
	switch {
	case len(b) < fileHeaderBytes:
		return "the header is cut off"
	case checksum(b[:24]) != binary.LittleEndian.Uint32(b[24:]) || binary.LittleEndian.Uint32(b[28:]) != 0:
		return "the header is damaged"
	case string(b[:8]) != magic:
		return "the file is none of a log's"
	case binary.LittleEndian.Uint32(b[8:]) != formatVersion:
		return fmt.Sprintf("version %d is not known here", binary.LittleEndian.Uint32(b[8:]))
	case binary.LittleEndian.Uint64(b[16:]) != index:
		return "the header names another number than the file's name"
	}
	return ""
}

// openAndRead reads a file whole. Segments and snapshots are of bounded size.
func (l *Log) openAndRead(name string) (File, []byte, error) {
	f, err := l.fs.Open(name)
	if err != nil {
		return nil, nil, err
	}
	size, err := f.Size()
	if err != nil {
		return nil, nil, errors.Join(err, f.Close())
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); int64(n) < size {
		return nil, nil, errors.Join(fmt.Errorf("%s: %w", name, err), f.Close())
	}
	return f, b, nil
}

// replaySegments replays all records, and makes the last segment the active one.
func (l *Log) replaySegments(replay func(Record) error) error {
	// Segments that a snapshot stands for may have been left when it was finished; the last of them is needed no more than
	// the others where none follows it.
	for len(l.segments) > 1 && l.segments[1] <= l.next {
		l.segments = l.segments[1:]
	}
	for i, first := range l.segments {
		name, last := segmentName(first), i == len(l.segments)-1
		f, b, err := l.openAndRead(name)
		if err != nil {
			return err
		}
		end, err := l.replaySegment(name, b, first, i > 0, last, replay)
		if err != nil {
			return errors.Join(err, f.Close())
		}
		switch {
		case !last:
			err = f.Close()
		case end < 0: // it was begun, and nothing of it was ever promised
			l.segments = l.segments[:i]
			l.options.Said(fmt.Sprintf("%s: was not begun whole, and is taken out", name))
			if err := errors.Join(f.Close(), l.fs.Remove(name)); err != nil {
				return err
			}
			return l.reopenLastSegment()
		default:
			l.active, l.activeBytes = f, end
			if end < int64(len(b)) {
				l.options.Said(fmt.Sprintf("%s: cut off at byte %d of %d, behind the last whole record", name, end, len(b)))
				err = errors.Join(f.Truncate(end), f.Sync())
			}
		}
		if err != nil {
			return err
		}
	}
	l.synced = l.next - 1
	if l.active != nil && l.lastSegmentEnd < l.next { // it lost records for which a snapshot stands
		return l.rotate()
	}
	return nil
}

// reopenLastSegment makes the segment that is last now the active one. It was read before.
func (l *Log) reopenLastSegment() error {
	l.synced = l.next - 1
	if len(l.segments) == 0 {
		return nil
	}
	f, err := l.fs.Open(segmentName(l.segments[len(l.segments)-1]))
	if err != nil {
		return err
	}
	l.active = f
	l.activeBytes, err = f.Size()
	return err
}

// replaySegment replays a segment's records and gives where the last whole one ends; negative: it has no header.
func (l *Log) replaySegment(name string, b []byte, first uint64, follows, last bool, replay func(Record) error) (int64, error) {
	if bad := checkFileHeader(b, segmentMagic, first); bad != "" {
		if last && len(b) <= fileHeaderBytes {
			return -1, nil
		}
		return 0, &CorruptionError{name, 0, bad}
	}
	if first > l.next || follows && first != l.next {
		return 0, &CorruptionError{name, 16, fmt.Sprintf("records %d to %d are missing before it", l.next, first-1)}
	}
	at, index := int64(fileHeaderBytes), first
	defer func() { l.lastSegmentEnd = index }()
	for at < int64(len(b)) {
		r, _, size, bad := decodeRecord(b[at:], index)
		if bad != "" {
			if !last {
				return 0, &CorruptionError{name, at, bad}
			}
			if l.hasSyncedRecordAfter(b[at:], index) {
				return 0, &CorruptionError{name, at, bad + ", and records behind it were promised after it"}
			}
			break
		}
		if index >= l.next {
			if err := replay(r); err != nil {
				return 0, fmt.Errorf("%s at byte %d: record %d: %w", name, at, index, err)
			}
			l.next = index + 1
		}
		at += int64(size)
		index++
	}
	if !last && index < l.next {
		return 0, &CorruptionError{name, at, "it ends early"}
	}
	return at, nil
}

// hasSyncedRecordAfter tells whether a record lies somewhere in b that was written when the record of an index was sure to be there: then
// that one is damaged and not torn.
func (l *Log) hasSyncedRecordAfter(b []byte, index uint64) bool {
	for at := 1; at+recordHeaderBytes <= len(b); at++ {
		claimed := binary.LittleEndian.Uint64(b[at+9:])
		if claimed <= index || claimed > index+uint64(len(b)/recordHeaderBytes) {
			continue
		}
		if _, synced, _, bad := decodeRecord(b[at:], claimed); bad == "" && synced >= index {
			return true
		}
	}
	return false
}

// decodeRecord reads the record of an index at the beginning of b.
func decodeRecord(b []byte, index uint64) (r Record, synced uint64, size int, bad string) {
	if len(b) < recordHeaderBytes {
		return r, 0, 0, "a record's head is cut off"
	}
	length := binary.LittleEndian.Uint32(b[4:])
	if length > MaxRecordBytes {
		return r, 0, 0, "a record is longer than any"
	}
	size = recordHeaderBytes + int(length)
	switch {
	case len(b) < size:
		return r, 0, 0, "a record is cut off"
	case checksum(b[4:size]) != binary.LittleEndian.Uint32(b):
		return r, 0, 0, "a record's checksum is wrong"
	case binary.LittleEndian.Uint64(b[9:]) != index:
		return r, 0, 0, fmt.Sprintf("record %d stands where %d is due", binary.LittleEndian.Uint64(b[9:]), index)
	}
	return Record{index, b[8], b[recordHeaderBytes:size:size]}, binary.LittleEndian.Uint64(b[17:]), size, ""
}

// Next is the index that the next record will have.
func (l *Log) Next() uint64 { return l.next }

// Synced is the index of the last record that is sure to be there.
func (l *Log) Synced() uint64 { return l.synced }

// Snapshot is the index up to which a snapshot stands for the records; 0: there is none.
func (l *Log) Snapshot() uint64 { return l.snapshot }

// Append adds a record and gives its index. It is sure to be there when Sync has returned nil.
func (l *Log) Append(kind byte, payload []byte) (uint64, error) {
	if l.failed != nil {
		return 0, l.failed
	}
	if len(payload) > MaxRecordBytes {
		return 0, fmt.Errorf("a record of %d bytes, %d are the most", len(payload), MaxRecordBytes)
	}
	if l.activeBytes >= l.options.SegmentBytes {
		if err := l.rotate(); err != nil {
			return 0, l.fail(err)
		}
	}
	at := len(l.buffer)
	l.buffer = append(l.buffer, make([]byte, recordHeaderBytes)...)
	l.buffer = append(l.buffer, payload...)
	b := l.buffer[at:]
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	b[8] = kind
	binary.LittleEndian.PutUint64(b[9:], l.next)
	binary.LittleEndian.PutUint64(b[17:], l.synced)
	binary.LittleEndian.PutUint32(b, checksum(b[4:]))
	l.activeBytes += int64(len(b))
	l.next++
	if len(l.buffer) >= maxBufferBytes {
		if err := l.flush(); err != nil {
			return 0, err
		}
	}
	return l.next - 1, nil
}

// flush hands what is buffered to the system.
func (l *Log) flush() error {
	if _, err := l.active.Write(l.buffer); err != nil {
		return l.fail(err)
	}
	l.buffer = l.buffer[:0]
	return nil
}

// Sync makes all records that were appended sure to be there: one write and one sync for as many as there are.
func (l *Log) Sync() error {
	if l.failed != nil {
		return l.failed
	}
	if l.synced == l.next-1 {
		return nil
	}
	if err := l.flush(); err != nil {
		return err
	}
	if err := l.active.Sync(); err != nil {
		return l.fail(err)
	}
	l.synced = l.next - 1
	return nil
}

// fail makes an error the last word.
func (l *Log) fail(err error) error {
	l.failed = fmt.Errorf("the log does nothing any more: %w", err)
	return l.failed
}

// rotate ends the active segment and begins the next.
func (l *Log) rotate() error {
	if err := l.Sync(); err != nil {
		return err
	}
	if err := l.active.Close(); err != nil {
		return err
	}
	return l.createSegment(l.next)
}

// createSegment makes a segment. It is sure to be there before a record is written to it.
func (l *Log) createSegment(first uint64) error {
	f, err := l.fs.Create(segmentName(first))
	if err != nil {
		return err
	}
	l.active = f
	if _, err := f.Write(encodeFileHeader(segmentMagic, first)); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	l.segments, l.activeBytes = append(l.segments, first), fileHeaderBytes
	return l.fs.SyncDir()
}

// Close ends the log. What was not synced may be lost.
func (l *Log) Close() error {
	err := l.active.Close()
	if l.failed == nil {
		l.failed = errors.New("the log is closed")
	}
	return errors.Join(err, l.lock.Close())
}
