package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// CorruptionError is returned by Open where something that was durable is damaged or missing. No segment and no snapshot was changed.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes
	Err    error // what is wrong there
}

// Error implements error: one line that says what an operator can do.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s at byte %d: %v; restore the directory from a copy, or empty it and let the others bring this one up to date",
		e.File, e.Offset, e.Err)
}

// Unwrap returns Err.
func (e *CorruptionError) Unwrap() error { return e.Err }

// Open opens the log in a directory, or creates it. The snapshot, if there is one, is passed to restore with a reader of its body; then
// each record after it is passed to replay, which must not keep its payload. An error of either ends Open. It returns an error that is
// ErrLocked where the log is open already, and a CorruptionError where durable data is damaged.
func Open(fs FS, o Options, restore func(index uint64, r io.Reader) error, replay func(Record) error) (*Log, error) {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = defaultSegmentBytes
	}
	if o.OnRepair == nil {
		o.OnRepair = func(string) {}
	}
	lock, err := fs.Lock()
	if err != nil {
		return nil, err
	}
	l := &Log{fs: fs, options: o, lock: lock, nextIndex: 1}
	r := recovery{Log: l, restore: restore, replay: replay}
	if err := r.recoverLog(); err != nil {
		if l.activeSegment != nil {
			err = errors.Join(err, l.activeSegment.Close())
		}
		return nil, errors.Join(err, lock.Close())
	}
	return l, nil
}

// recovery opens a log.
type recovery struct {
	*Log
	restore func(uint64, io.Reader) error
	replay  func(Record) error
	// lastSegmentNext is the index after the last record of the segment that was read last. It is less than next where the snapshot
	// stands for records that the segment has lost.
	nextIndexInLastSegment uint64
}

func (r *recovery) recoverLog() error {
	names, err := r.fs.List()
	if err != nil {
		return err
	}
	var snapshots []uint64
	for _, name := range names {
		if first, ok := parseFileName(name, segmentSuffix); ok {
			r.segmentFirstIndexes = append(r.segmentFirstIndexes, first)
		} else if index, ok := parseFileName(name, snapshotSuffix); ok {
			snapshots = append(snapshots, index)
		} else if strings.HasSuffix(name, TempSuffix) { // a snapshot that was not completed
			if err := r.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	slices.Sort(r.segmentFirstIndexes)
	if len(snapshots) > 0 {
		r.snapshotIndex = slices.Max(snapshots)
		if err := r.readSnapshot(r.restore); err != nil {
			return err
		}
		r.nextIndex = r.snapshotIndex + 1
	}
	if err := r.replaySegments(); err != nil {
		return err
	}
	if err := r.removeObsoleteFiles(); err != nil {
		return err
	}
	if r.activeSegment == nil {
		return r.createSegment(r.nextIndex)
	}
	return nil
}

// errIncompleteHeader is returned for a last segment whose header is incomplete: a crash came before a record was written to it.
var errIncompleteHeader = errors.New("the segment has no header")

// replaySegments replays all records after the snapshot, and makes the last segment the active one.
func (r *recovery) replaySegments() error {
	// A crash after a snapshot was written may leave segments that it stands for. All but the last of them are skipped.
	for len(r.segmentFirstIndexes) > 1 && r.segmentFirstIndexes[1] <= r.nextIndex {
		r.segmentFirstIndexes = r.segmentFirstIndexes[1:]
	}
	for i, first := range r.segmentFirstIndexes {
		f, content, err := r.openAndRead(segmentName(first))
		if err != nil {
			return err
		}
		s := segmentFile{fileName: segmentName(first), firstIndex: first, content: content, isFirst: i == 0, isLast: i == len(r.segmentFirstIndexes)-1}
		end, err := r.replaySegment(s)
		switch {
		case errors.Is(err, errIncompleteHeader):
			return r.removeLastSegment(f)
		case err != nil:
			return errors.Join(err, f.Close())
		case !s.isLast:
			err = f.Close()
		default:
			err = r.activateLastSegment(f, s, end)
		}
		if err != nil {
			return err
		}
	}
	r.syncedIndex = r.nextIndex - 1
	if r.activeSegment != nil && r.nextIndexInLastSegment < r.nextIndex {
		return r.rotate()
	}
	return nil
}

// activateLastSegment makes the last segment the active one, and truncates it to end, where its last complete record ends.
func (r *recovery) activateLastSegment(f File, s segmentFile, end int64) error {
	r.activeSegment, r.activeBytes = f, end
	if end == int64(len(s.content)) {
		return nil
	}
	r.options.OnRepair(fmt.Sprintf("%s: truncated at byte %d of %d, after the last complete record", s.fileName, end, len(s.content)))
	return errors.Join(f.Truncate(end), f.Sync())
}

// removeLastSegment removes the last segment, in which no record was durable, and makes the one before it the active one.
func (r *recovery) removeLastSegment(f File) error {
	last := len(r.segmentFirstIndexes) - 1
	name := segmentName(r.segmentFirstIndexes[last])
	r.segmentFirstIndexes = r.segmentFirstIndexes[:last]
	r.options.OnRepair(fmt.Sprintf("%s: its header is incomplete, removed", name))
	if err := errors.Join(f.Close(), r.fs.Remove(name)); err != nil {
		return err
	}
	r.syncedIndex = r.nextIndex - 1
	if last == 0 {
		return nil
	}
	f, err := r.fs.Open(segmentName(r.segmentFirstIndexes[last-1])) // it was closed after it was replayed
	if err != nil {
		return err
	}
	r.activeSegment = f
	r.activeBytes, err = f.Size()
	return err
}

// segmentFile is a segment as it was read.
type segmentFile struct {
	fileName        string
	firstIndex      uint64 // index of its first record
	content         []byte
	isFirst, isLast bool // among the segments that are replayed
}

// replaySegment replays a segment's records after the snapshot, and returns the offset at which its last complete record ends.
func (r *recovery) replaySegment(s segmentFile) (end int64, err error) {
	if err := checkFileHeader(s.content, segmentMagic, s.firstIndex); err != nil {
		if s.isLast && len(s.content) <= fileHeaderBytes {
			return 0, errIncompleteHeader
		}
		return 0, &CorruptionError{s.fileName, 0, err}
	}
	if s.firstIndex > r.nextIndex || !s.isFirst && s.firstIndex != r.nextIndex {
		return 0, &CorruptionError{s.fileName, fileIndexOffset, fmt.Errorf("records %d to %d are missing before it", r.nextIndex, s.firstIndex-1)}
	}
	end = fileHeaderBytes
	index := s.firstIndex
	defer func() { r.nextIndexInLastSegment = index }()
	for end < int64(len(s.content)) {
		record, err := decodeRecord(s.content[end:], index)
		if err != nil {
			if !s.isLast {
				return 0, &CorruptionError{s.fileName, end, err}
			}
			if hasRecordAfterSync(s.content[end:], index) {
				return 0, &CorruptionError{s.fileName, end, fmt.Errorf("%w, and later records were written after it was synced", err)}
			}
			break
		}
		if index >= r.nextIndex {
			if err := r.replay(record.Record); err != nil {
				return 0, fmt.Errorf("%s at byte %d: record %d: %w", s.fileName, end, index, err)
			}
			r.nextIndex = index + 1
		}
		end += int64(record.encodedBytes)
		index++
	}
	if !s.isLast && index < r.nextIndex {
		return 0, &CorruptionError{s.fileName, end, errors.New("the segment ends early")}
	}
	return end, nil
}

// hasRecordAfterSync reports whether b has, anywhere, a record that was appended when the record at index was durable. If so, the
// record at index is damaged, and not torn by a crash.
func hasRecordAfterSync(b []byte, index uint64) bool {
	for at := 1; at+recordHeaderBytes <= len(b); at++ {
		claimed := binary.LittleEndian.Uint64(b[at+recordIndexOffset:])
		if claimed <= index || claimed > index+uint64(len(b)/recordHeaderBytes) {
			continue
		}
		if record, err := decodeRecord(b[at:], claimed); err == nil && record.syncedIndex >= index {
			return true
		}
	}
	return false
}

// openAndRead opens a file and reads all of it: segments and snapshots are of bounded size. The caller closes the file.
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
