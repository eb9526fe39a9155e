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
	recordChecksumAt  = 0 // of all that follows
	recordLengthAt    = 4 // of the payload
	recordTypeAt      = 8
	recordIndexAt     = 9
	recordSyncedAt    = 17 // index of the last record that was durable when this one was appended
	recordHeaderBytes = 25
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
	binary.LittleEndian.PutUint32(encoded[recordLengthAt:], uint32(len(r.Payload)))
	encoded[recordTypeAt] = r.Type
	binary.LittleEndian.PutUint64(encoded[recordIndexAt:], r.Index)
	binary.LittleEndian.PutUint64(encoded[recordSyncedAt:], synced)
	binary.LittleEndian.PutUint32(encoded[recordChecksumAt:], checksum(encoded[recordLengthAt:]))
	return b
}

// decodedRecord is a record as it is in a segment.
type decodedRecord struct {
	Record        // its payload is a part of the bytes it was decoded from
	synced uint64 // index of the last record that was durable when this one was appended
	size   int    // in bytes, with the header
}

// Why a record cannot be decoded.
var (
	errRecordHeaderTruncated = errors.New("a record's header is truncated")
	errRecordTooLong         = errors.New("a record's length is over the bound")
	errRecordTruncated       = errors.New("a record is truncated")
	errRecordChecksum        = errors.New("a record's checksum is wrong")
)

// decodeRecord decodes the record at the beginning of b, which must have the index given.
func decodeRecord(b []byte, index uint64) (decodedRecord, error) {
	if len(b) < recordHeaderBytes {
		return decodedRecord{}, errRecordHeaderTruncated
	}
	length := binary.LittleEndian.Uint32(b[recordLengthAt:])
	if length > MaxRecordBytes {
		return decodedRecord{}, errRecordTooLong
	}
	size := recordHeaderBytes + int(length)
	if len(b) < size {
		return decodedRecord{}, errRecordTruncated
	}
	if checksum(b[recordLengthAt:size]) != binary.LittleEndian.Uint32(b[recordChecksumAt:]) {
		return decodedRecord{}, errRecordChecksum
	}
	if got := binary.LittleEndian.Uint64(b[recordIndexAt:]); got != index {
		return decodedRecord{}, fmt.Errorf("record %d found, record %d expected", got, index)
	}
	return decodedRecord{
		Record: Record{Index: index, Type: b[recordTypeAt], Payload: b[recordHeaderBytes:size:size]},
		synced: binary.LittleEndian.Uint64(b[recordSyncedAt:]),
		size:   size,
	}, nil
}
