package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// MaxRecordBytes bounds the payload of a record. It is several times the size of the largest command that the consensus stores, which
// is a document of 1 MB.
const MaxRecordBytes = 16 << 20

// Offsets, in bytes, of the fields of an encoded record, whose payload follows the header (docs/wal-format.md). Numbers are
// little-endian.
const (
	recordChecksumOffset    = 0  // CRC-32C of all bytes of the record after the checksum
	recordLengthOffset      = 4  // length of the payload in bytes
	recordTypeOffset        = 8  // type of the record: one byte, defined by the user of the log
	recordIndexOffset       = 9  // index of the record, in eight bytes
	recordSyncedIndexOffset = 17 // index of the last record that was durable when this record was appended, in eight bytes
	recordHeaderBytes       = 25 // size in bytes of a record's header
)

// crc32c is the table of the CRC-32C checksum.
var crc32c = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the CRC-32C of b.
func checksum(b []byte) uint32 { return crc32.Checksum(b, crc32c) }

// Record is an entry of the log, which stores its payload under an index.
type Record struct {
	Index   uint64 // position in the log; the first record has 1, and there are no gaps
	Type    byte   // kind of the payload, defined by the user of the log
	Payload []byte // content, which the log does not interpret
}

// appendRecord appends the encoded record to b. syncedIndex is the index of the last record that is durable now.
func appendRecord(b []byte, r Record, syncedIndex uint64) []byte {
	start := len(b)
	b = append(b, make([]byte, recordHeaderBytes)...)
	b = append(b, r.Payload...)
	encoded := b[start:]
	binary.LittleEndian.PutUint32(encoded[recordLengthOffset:], uint32(len(r.Payload)))
	encoded[recordTypeOffset] = r.Type
	binary.LittleEndian.PutUint64(encoded[recordIndexOffset:], r.Index)
	binary.LittleEndian.PutUint64(encoded[recordSyncedIndexOffset:], syncedIndex)
	binary.LittleEndian.PutUint32(encoded[recordChecksumOffset:], checksum(encoded[recordLengthOffset:]))
	return b
}

// decodedRecord is a record that was read from a segment.
type decodedRecord struct {
	Record              // record, whose payload shares memory with the bytes of the segment
	syncedIndex  uint64 // index of the last record that was durable when this record was appended
	encodedBytes int    // size of the encoded record in bytes, including the header
}

// Reasons for which decodeRecord rejects a record.
var (
	errRecordHeaderTruncated = errors.New("the record's header is truncated")
	errRecordExceedsMaximum  = errors.New("the record's length exceeds the maximum")
	errRecordTruncated       = errors.New("the record is truncated")
	errRecordChecksum        = errors.New("the record's checksum is wrong")
)

// decodeRecord decodes the record at the beginning of b. It returns an error if the record is incomplete or damaged, or has another
// index than expectedIndex.
func decodeRecord(b []byte, expectedIndex uint64) (decodedRecord, error) {
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
	if got := binary.LittleEndian.Uint64(b[recordIndexOffset:]); got != expectedIndex {
		return decodedRecord{}, fmt.Errorf("record %d found, record %d expected", got, expectedIndex)
	}
	return decodedRecord{
		Record:       Record{Index: expectedIndex, Type: b[recordTypeOffset], Payload: b[recordHeaderBytes:size:size]},
		syncedIndex:  binary.LittleEndian.Uint64(b[recordSyncedIndexOffset:]),
		encodedBytes: size,
	}, nil
}
