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
	l := &Log{fs: fs, options: o, lock: lock, next: 1}
	r := recovery{Log: l, restore: restore, replay: replay}
	if err := r.run(); err != nil {
		if l.active != nil {
			err = errors.Join(err, l.active.Close())
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
	lastSegmentNext uint64
}

func (r *recovery) run() error {
	names, err := r.fs.List()
	if err != nil {
		return err
	}
	var snapshots []uint64
	for _, name := range names {
		if first, ok := parseFileName(name, segmentSuffix); ok {
			r.segments = append(r.segments, first)
		} else if index, ok := parseFileName(name, snapshotSuffix); ok {
			snapshots = append(snapshots, index)
		} else if strings.HasSuffix(name, TempSuffix) { // a snapshot that was not completed
			if err := r.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	slices.Sort(r.segments)
	if len(snapshots) > 0 {
		r.snapshot = slices.Max(snapshots)
		if err := r.readSnapshot(r.restore); err != nil {
			return err
		}
		r.next = r.snapshot + 1
	}
	if err := r.replaySegments(); err != nil {
		return err
	}
	if err := r.removeObsolete(); err != nil {
		return err
	}
	if r.active == nil {
		return r.createSegment(r.next)
	}
	return nil
}

// errNotBegun is returned for a last segment whose header is incomplete: a crash came before a record was written to it.
var errNotBegun = errors.New("the segment has no header")

// replaySegments replays all records after the snapshot, and makes the last segment the active one.
func (r *recovery) replaySegments() error {
	// A crash after a snapshot was written may leave segments that it stands for. All but the last of them are skipped.
	for len(r.segments) > 1 && r.segments[1] <= r.next {
		r.segments = r.segments[1:]
	}
	for i, first := range r.segments {
		f, content, err := r.openAndRead(segmentName(first))
		if err != nil {
			return err
		}
		s := segmentContent{name: segmentName(first), first: first, bytes: content, isFirst: i == 0, isLast: i == len(r.segments)-1}
		end, err := r.replaySegment(s)
		switch {
		case errors.Is(err, errNotBegun):
			return r.dropLastSegment(f)
		case err != nil:
			return errors.Join(err, f.Close())
		case !s.isLast:
			err = f.Close()
		default:
			err = r.activate(f, s, end)
		}
		if err != nil {
			return err
		}
	}
	r.synced = r.next - 1
	if r.active != nil && r.lastSegmentNext < r.next {
		return r.rotate()
	}
	return nil
}

// activate makes the last segment the active one, and truncates it to end, where its last complete record ends.
func (r *recovery) activate(f File, s segmentContent, end int64) error {
	r.active, r.activeBytes = f, end
	if end == int64(len(s.bytes)) {
		return nil
	}
	r.options.OnRepair(fmt.Sprintf("%s: truncated at byte %d of %d, after the last complete record", s.name, end, len(s.bytes)))
	return errors.Join(f.Truncate(end), f.Sync())
}

// dropLastSegment removes the last segment, in which no record was durable, and makes the one before it the active one.
func (r *recovery) dropLastSegment(f File) error {
	last := len(r.segments) - 1
	name := segmentName(r.segments[last])
	r.segments = r.segments[:last]
	r.options.OnRepair(fmt.Sprintf("%s: its header is incomplete, removed", name))
	if err := errors.Join(f.Close(), r.fs.Remove(name)); err != nil {
		return err
	}
	r.synced = r.next - 1
	if last == 0 {
		return nil
	}
	f, err := r.fs.Open(segmentName(r.segments[last-1])) // it was closed after it was replayed
	if err != nil {
		return err
	}
	r.active = f
	r.activeBytes, err = f.Size()
	return err
}

// segmentContent is a segment as it was read.
type segmentContent struct {
	name            string
	first           uint64 // index of its first record
	bytes           []byte
	isFirst, isLast bool // among the segments that are replayed
}

// replaySegment replays a segment's records after the snapshot, and returns the offset at which its last complete record ends.
func (r *recovery) replaySegment(s segmentContent) (end int64, err error) {
	if err := checkFileHeader(s.bytes, segmentMagic, s.first); err != nil {
		if s.isLast && len(s.bytes) <= fileHeaderBytes {
			return 0, errNotBegun
		}
		return 0, &CorruptionError{s.name, 0, err}
	}
	if s.first > r.next || !s.isFirst && s.first != r.next {
		return 0, &CorruptionError{s.name, fileIndexAt, fmt.Errorf("records %d to %d are missing before it", r.next, s.first-1)}
	}
	end = fileHeaderBytes
	index := s.first
	defer func() { r.lastSegmentNext = index }()
	for end < int64(len(s.bytes)) {
		record, err := decodeRecord(s.bytes[end:], index)
		if err != nil {
			if !s.isLast {
				return 0, &CorruptionError{s.name, end, err}
			}
			if hasRecordAfterSync(s.bytes[end:], index) {
				return 0, &CorruptionError{s.name, end, fmt.Errorf("%w, and later records were written after it was synced", err)}
			}
			break
		}
		if index >= r.next {
			if err := r.replay(record.Record); err != nil {
				return 0, fmt.Errorf("%s at byte %d: record %d: %w", s.name, end, index, err)
			}
			r.next = index + 1
		}
		end += int64(record.size)
		index++
	}
	if !s.isLast && index < r.next {
		return 0, &CorruptionError{s.name, end, errors.New("the segment ends early")}
	}
	return end, nil
}

// hasRecordAfterSync reports whether b has, anywhere, a record that was appended when the record at index was durable. If so, the
// record at index is damaged, and not torn by a crash.
func hasRecordAfterSync(b []byte, index uint64) bool {
	for at := 1; at+recordHeaderBytes <= len(b); at++ {
		claimed := binary.LittleEndian.Uint64(b[at+recordIndexAt:])
		if claimed <= index || claimed > index+uint64(len(b)/recordHeaderBytes) {
			continue
		}
		if record, err := decodeRecord(b[at:], claimed); err == nil && record.synced >= index {
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
