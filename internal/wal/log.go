// Package wal is a durable write-ahead log: records in segments, and a snapshot that stands for the records before it. Its guarantee:
// after any crash, all records that were appended before a Sync that returned nil are there, complete and in order, and the records
// that are there are a prefix of those appended. docs/wal-format.md has the format.
//
// A Log is owned by its caller, starts no goroutine, and keeps other processes from opening its directory. After a disk error it
// fails every call: what a failed write or sync has left is unknown, and is found out by opening the log again.
package wal

import (
	"errors"
	"fmt"
	"io"
)

const (
	defaultSegmentBytes = 16 << 20
	// maxBufferBytes is the size from which records are written before a Sync. A buffer holds one record more at most.
	maxBufferBytes = 1 << 20
)

// Options of a Log.
type Options struct {
	SegmentBytes int64        // a segment of this size or more is followed by another; 0: 16 MiB
	OnRepair     func(string) // takes one line for each file that Open has cut off or removed; nil: it is not reported
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs      FS
	options Options
	lock    io.Closer

	segmentFirstIndexes []uint64 // index of the first record of each, ascending
	activeSegment       File     // the last segment
	activeBytes         int64    // size of the active segment, with what is buffered
	buffer              []byte   // records appended and not yet written
	nextIndex           uint64   // index of the next record
	syncedIndex         uint64   // index of the last record that is durable
	snapshotIndex       uint64   // index of the last record that the snapshot stands for; 0: there is none
	failure             error    // returned by every call; nil: the log works
}

// NextIndex returns the index that the next record will have.
func (l *Log) NextIndex() uint64 { return l.nextIndex }

// SyncedIndex returns the index of the last record that is durable; 0: none is.
func (l *Log) SyncedIndex() uint64 { return l.syncedIndex }

// SnapshotIndex returns the index of the last record that the snapshot stands for; 0: there is no snapshot.
func (l *Log) SnapshotIndex() uint64 { return l.snapshotIndex }

// Append adds a record of at most MaxRecordBytes and returns its index. The record is durable when Sync has returned nil.
func (l *Log) Append(recordType byte, payload []byte) (uint64, error) {
	if l.failure != nil {
		return 0, l.failure
	}
	if len(payload) > MaxRecordBytes {
		return 0, fmt.Errorf("a record of %d bytes, %d are the most", len(payload), MaxRecordBytes)
	}
	if l.activeBytes >= l.options.SegmentBytes {
		if err := l.rotate(); err != nil {
			return 0, l.setFailure(err)
		}
	}
	before := len(l.buffer)
	l.buffer = appendRecord(l.buffer, Record{l.nextIndex, recordType, payload}, l.syncedIndex)
	l.activeBytes += int64(len(l.buffer) - before)
	l.nextIndex++
	if len(l.buffer) >= maxBufferBytes {
		if err := l.flush(); err != nil {
			return 0, err
		}
	}
	return l.nextIndex - 1, nil
}

// flush writes the buffer to the active segment.
func (l *Log) flush() error {
	if _, err := l.activeSegment.Write(l.buffer); err != nil {
		return l.setFailure(err)
	}
	l.buffer = l.buffer[:0]
	return nil
}

// Sync makes all records appended so far durable, with one write and one sync for all of them.
func (l *Log) Sync() error {
	if l.failure != nil {
		return l.failure
	}
	if l.syncedIndex == l.nextIndex-1 {
		return nil
	}
	if err := l.flush(); err != nil {
		return err
	}
	if err := l.activeSegment.Sync(); err != nil {
		return l.setFailure(err)
	}
	l.syncedIndex = l.nextIndex - 1
	return nil
}

// setFailure makes err the result of every later call, and returns it.
func (l *Log) setFailure(err error) error {
	l.failure = fmt.Errorf("the log has failed: %w", err)
	return l.failure
}

// Close closes the log. Records that were not synced may be lost.
func (l *Log) Close() error {
	err := l.activeSegment.Close()
	if l.failure == nil {
		l.failure = errors.New("the log is closed")
	}
	return errors.Join(err, l.lock.Close())
}
