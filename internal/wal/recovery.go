package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// CorruptionError is returned by Open if durable data is damaged or missing. Open has then changed no segment and no snapshot.
type CorruptionError struct {
	File   string // name of the damaged file, or of the file before which records are missing
	Offset int64  // position of the damage in the file, in bytes
	Err    error  // what is wrong at the offset
}

// Error implements error. It returns a single line, which also says what an operator can do.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s at byte %d: %v; restore the directory from a copy, or empty it so that the other members bring this one up to date",
		e.File, e.Offset, e.Err)
}

// Unwrap returns Err, so that errors.Is and errors.As find the cause of the corruption.
func (e *CorruptionError) Unwrap() error { return e.Err }

// Open opens the log in a directory, or creates it. If there is a snapshot, Open passes its index and a reader of its body to restore.
// It then passes each record after the snapshot to replay, which must not keep the payload. If restore or replay returns an error,
// Open fails. The error is ErrLocked if the log is open already, and a CorruptionError if durable data is damaged or missing.
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

// recovery reads the files of a log while Open opens it.
type recovery struct {
	*Log
	restore func(uint64, io.Reader) error // receives the index and the body of the snapshot
	replay  func(Record) error            // receives each record after the snapshot
	// nextIndexInLastSegment is the index after the last record in the segment that was read last. It is less than Log.nextIndex, the
	// index for the next appended record, if records that the snapshot replaces are missing at the end of the segment.
	nextIndexInLastSegment uint64
}

// recoverLog restores the snapshot, replays the records after it, repairs what a crash has left incomplete, removes obsolete files, and
// makes the log ready for appending.
func (r *recovery) recoverLog() error {
	names, err := r.fs.List()
	if err != nil {
		return err
	}
	var snapshotIndexes []uint64
	for _, name := range names {
		if firstIndex, ok := parseFileName(name, segmentSuffix); ok {
			r.segmentFirstIndexes = append(r.segmentFirstIndexes, firstIndex)
		} else if index, ok := parseFileName(name, snapshotSuffix); ok {
			snapshotIndexes = append(snapshotIndexes, index)
		} else if strings.HasSuffix(name, TempSuffix) { // a crash interrupted ReplaceFile before the rename
			if err := r.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	slices.Sort(r.segmentFirstIndexes)
	if len(snapshotIndexes) > 0 {
		r.snapshotIndex = slices.Max(snapshotIndexes)
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

// errIncompleteHeader means that a crash left the last segment without a complete header. No record can have been written to the
// segment, since its header is synced before the first record.
var errIncompleteHeader = errors.New("the segment's header is incomplete")

// replaySegments replays all records after the snapshot, and makes the last segment the active one.
func (r *recovery) replaySegments() error {
	// A crash after a snapshot was written may leave segments that have only records up to the snapshot. They are skipped, unless one
	// is the last segment, which stays the active one.
	for len(r.segmentFirstIndexes) > 1 && r.segmentFirstIndexes[1] <= r.nextIndex {
		r.segmentFirstIndexes = r.segmentFirstIndexes[1:]
	}
	for i, firstIndex := range r.segmentFirstIndexes {
		f, content, err := r.openAndRead(segmentName(firstIndex))
		if err != nil {
			return err
		}
		s := segmentFile{fileName: segmentName(firstIndex), firstIndex: firstIndex, content: content, isFirst: i == 0, isLast: i == len(r.segmentFirstIndexes)-1}
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
	// If records that the snapshot replaces are missing at the end of the last segment, the next record must not be appended there,
	// since the indexes within a segment must have no gap. It begins a new segment.
	if r.activeSegment != nil && r.nextIndexInLastSegment < r.nextIndex {
		return r.rotate()
	}
	return nil
}

// activateLastSegment makes the last segment the active one, and removes an incomplete record at its end. end is the offset in bytes
// at which the last complete record ends.
func (r *recovery) activateLastSegment(f File, s segmentFile, end int64) error {
	r.activeSegment, r.activeSegmentBytes = f, end
	if end == int64(len(s.content)) {
		return nil
	}
	r.options.OnRepair(fmt.Sprintf("%s: truncated at byte %d of %d, after the last complete record", s.fileName, end, len(s.content)))
	return errors.Join(f.Truncate(end), f.Sync())
}

// removeLastSegment removes the last segment, whose header is incomplete so that it can't have durable records. The segment before
// it, if there is one, becomes the active one.
func (r *recovery) removeLastSegment(f File) error {
	last := len(r.segmentFirstIndexes) - 1
	name := segmentName(r.segmentFirstIndexes[last])
	r.segmentFirstIndexes = r.segmentFirstIndexes[:last]
	r.options.OnRepair(fmt.Sprintf("%s: removed, since its header is incomplete", name))
	if err := errors.Join(f.Close(), r.fs.Remove(name)); err != nil {
		return err
	}
	r.syncedIndex = r.nextIndex - 1
	if last == 0 {
		return nil
	}
	f, err := r.fs.Open(segmentName(r.segmentFirstIndexes[last-1])) // the segment was closed after its records were replayed
	if err != nil {
		return err
	}
	r.activeSegment = f
	r.activeSegmentBytes, err = f.Size()
	return err
}

// segmentFile is a segment that was read from the directory.
type segmentFile struct {
	fileName        string // name of the file in the log's directory, without a path
	firstIndex      uint64 // index of the segment's first record
	content         []byte // all bytes of the file, including the header
	isFirst, isLast bool   // whether the segment is the first, and whether it is the last, of the segments that are replayed
}

// replaySegment replays the records of a segment that come after the snapshot. It returns the offset in bytes at which the last
// complete record of the segment ends.
func (r *recovery) replaySegment(s segmentFile) (end int64, err error) {
	if err := checkFileHeader(s.content, segmentMagic, s.firstIndex); err != nil {
		if s.isLast && len(s.content) <= fileHeaderBytes {
			return 0, errIncompleteHeader
		}
		return 0, &CorruptionError{s.fileName, 0, err}
	}
	if s.firstIndex > r.nextIndex || !s.isFirst && s.firstIndex != r.nextIndex {
		return 0, &CorruptionError{s.fileName, fileIndexOffset, fmt.Errorf("records %d to %d, which precede this segment, are missing", r.nextIndex, s.firstIndex-1)}
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
				return 0, &CorruptionError{s.fileName, end, fmt.Errorf("%w, although it was synced before later records were written", err)}
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
		return 0, &CorruptionError{s.fileName, end, errors.New("records at the end of the segment are missing")}
	}
	return end, nil
}

// hasRecordAfterSync reports whether b has, at any offset, a valid record that was appended when the record at index was durable
// already. If so, the record at index was damaged later, and is not one that a crash left incomplete.
func hasRecordAfterSync(b []byte, index uint64) bool {
	for offset := 1; offset+recordHeaderBytes <= len(b); offset++ {
		possibleIndex := binary.LittleEndian.Uint64(b[offset+recordIndexOffset:])
		if possibleIndex <= index || possibleIndex > index+uint64(len(b)/recordHeaderBytes) {
			continue
		}
		if record, err := decodeRecord(b[offset:], possibleIndex); err == nil && record.syncedIndex >= index {
			return true
		}
	}
	return false
}

// openAndRead opens a file and reads its whole content into memory, since the size of segments and snapshots is bounded. The caller
// must close the file.
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
