// Package wal implements a durable write-ahead log. It stores records in segment files, and a snapshot that replaces all records up
// to the snapshot's index. After any crash, the log still has all records that were appended before a Sync that returned nil,
// complete and in order, and the records that it has are a prefix of the appended ones. docs/wal-format.md specifies the format of
// the files.
//
// A Log starts no goroutine, and locks its directory against other processes. After a disk error all its calls fail, since it is
// unknown what the failed write or sync has left on the disk; opening the log again finds that out.
package wal

import (
	"errors"
	"fmt"
	"io"
)

const (
	// defaultSegmentBytes is the value of Options.SegmentBytes if none is set.
	defaultSegmentBytes = 16 << 20
	// maxBufferBytes is the size of the buffered records at which Append writes them to the segment, instead of leaving this to
	// Sync. The buffer may exceed this size by at most one record.
	maxBufferBytes = 1 << 20
)

// Options configure a Log. The zero value is valid.
type Options struct {
	SegmentBytes int64        // size in bytes of a segment at which Append begins the next segment; 0 means 16 MiB
	OnRepair     func(string) // called by Open with a one-line message for each file that it truncates or removes; may be nil
}

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	fs      FS // directory that holds the log's files
	options Options
	lock    io.Closer // lock on the directory, held until Close

	segmentFirstIndexes []uint64 // index of the first record of each segment, in ascending order
	activeSegment       File     // last segment, to which records are appended
	activeSegmentBytes  int64    // size of the active segment in bytes, including the buffered records
	buffer              []byte   // encoded records that were appended and not yet written to the active segment
	nextIndex           uint64   // index that the next appended record gets
	syncedIndex         uint64   // index of the last durable record; 0: none is durable
	snapshotIndex       uint64   // index of the last record that the snapshot replaces; 0: there is no snapshot
	failure             error    // error that every call returns after a disk error or Close; nil while the log is usable
}

// NextIndex returns the index that the next appended record gets.
func (l *Log) NextIndex() uint64 { return l.nextIndex }

// SyncedIndex returns the index of the last durable record, or 0 if none is durable.
func (l *Log) SyncedIndex() uint64 { return l.syncedIndex }

// SnapshotIndex returns the index of the last record that the snapshot replaces, or 0 if there is no snapshot.
func (l *Log) SnapshotIndex() uint64 { return l.snapshotIndex }

// Append adds a record with a payload of at most MaxRecordBytes and returns its index. The record is durable once a later Sync has
// returned nil.
func (l *Log) Append(recordType byte, payload []byte) (uint64, error) {
	if l.failure != nil {
		return 0, l.failure
	}
	if len(payload) > MaxRecordBytes {
		return 0, fmt.Errorf("record of %d bytes exceeds the maximum of %d bytes", len(payload), MaxRecordBytes)
	}
	if l.activeSegmentBytes >= l.options.SegmentBytes {
		if err := l.rotate(); err != nil {
			return 0, l.setFailure(err)
		}
	}
	bufferedBytes := len(l.buffer)
	l.buffer = appendRecord(l.buffer, Record{l.nextIndex, recordType, payload}, l.syncedIndex)
	l.activeSegmentBytes += int64(len(l.buffer) - bufferedBytes)
	l.nextIndex++
	if len(l.buffer) >= maxBufferBytes {
		if err := l.flush(); err != nil {
			return 0, err
		}
	}
	return l.nextIndex - 1, nil
}

// flush writes the buffered records to the active segment, without syncing it.
func (l *Log) flush() error {
	if _, err := l.activeSegment.Write(l.buffer); err != nil {
		return l.setFailure(err)
	}
	l.buffer = l.buffer[:0]
	return nil
}

// Sync makes all records that were appended so far durable. It writes all buffered records at once and syncs the segment once.
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

// setFailure wraps err, records it as the error that every later call returns, and returns it.
func (l *Log) setFailure(err error) error {
	l.failure = fmt.Errorf("the log has failed: %w", err)
	return l.failure
}

// Close closes the log and then releases the lock on its directory. Records that were appended after the last Sync may be lost.
func (l *Log) Close() error {
	err := l.activeSegment.Close()
	if l.failure == nil {
		l.failure = errors.New("the log is closed")
	}
	return errors.Join(err, l.lock.Close())
}
