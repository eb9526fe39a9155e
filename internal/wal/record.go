package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// MaxRecordBytes bounds a record's payload. It holds the largest command of the consensus, a document of 1 MB, several times.
const MaxRecordBytes = 16 << 20

// A record's fields, as offsets in bytes (docs/wal-format.md). Numbers are little-endian.
const (
	recordChecksumOffset    = 0 // of all that follows
	recordLengthOffset      = 4 // of the payload
	recordTypeOffset        = 8
	recordIndexOffset       = 9
	recordSyncedIndexOffset = 17 // index of the last record that was durable when this one was appended
	recordHeaderBytes       = 25
)

var crc32c = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, crc32c) }

// Record is an entry of the log. Indices begin at 1 and have no gaps.
type Record struct {
	Index   uint64
	Type    byte // defined by the log's user
	Payload []byte
}

// appendRecord appends the encoded record to b. synced is the index of the last record that is durable now.
func appendRecord(b []byte, r Record, synced uint64) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeaderBytes)...)
	b = append(b, r.Payload...)
	encoded := b[start:]
	binary.LittleEndian.PutUint32(encoded[recordLengthOffset:], uint32(len(r.Payload)))
	encoded[recordTypeOffset] = r.Type
	binary.LittleEndian.PutUint64(encoded[recordIndexOffset:], r.Index)
	binary.LittleEndian.PutUint64(encoded[recordSyncedIndexOffset:], synced)
	binary.LittleEndian.PutUint32(encoded[recordChecksumOffset:], checksum(encoded[recordLengthOffset:]))
	return b
}

// decodedRecord is a record as it is in a segment.
type decodedRecord struct {
	Record              // its payload is a part of the bytes it was decoded from
	syncedIndex  uint64 // index of the last record that was durable when this one was appended
	encodedBytes int    // in bytes, with the header
}

// Why a record cannot be decoded.
var (
	errRecordHeaderTruncated = errors.New("a record's header is truncated")
	errRecordExceedsMaximum  = errors.New("a record's length is over the bound")
	errRecordTruncated       = errors.New("a record is truncated")
	errRecordChecksum        = errors.New("a record's checksum is wrong")
)

// decodeRecord decodes the record at the beginning of b, which must have the index given.
func decodeRecord(b []byte, index uint64) (decodedRecord, error) {
	if len(b) < recordHeaderBytes {
		return decodedRecord{}, errRecordHeaderTruncated
	}
	length := binary.LittleEndian.Uint32(b[recordLengthOffset:])
	if length > MaxRecordBytes {
		return decodedRecord{}, errRecordExceedsMaximum
	}
	size := recordHeaderBytes + int(length)
	if len(b) < size {
		return decodedRecord{}, errRecordTruncated
	}
	if checksum(b[recordLengthOffset:size]) != binary.LittleEndian.Uint32(b[recordChecksumOffset:]) {
		return decodedRecord{}, errRecordChecksum
	}
	if got := binary.LittleEndian.Uint64(b[recordIndexOffset:]); got != index {
		return decodedRecord{}, fmt.Errorf("record %d found, record %d expected", got, index)
	}
	return decodedRecord{
		Record:       Record{Index: index, Type: b[recordTypeOffset], Payload: b[recordHeaderBytes:size:size]},
		syncedIndex:  binary.LittleEndian.Uint64(b[recordSyncedIndexOffset:]),
		encodedBytes: size,
	}, nil
}
