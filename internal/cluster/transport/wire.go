package transport

import "google.golang.org/protobuf/encoding/protowire"

// This file encodes and parses single fields of the wire format of Protocol Buffers. There is no generated code, so that
// the parsers can check the bounds of each field while they read it.

// appendVarint appends a field of the wire type varint to b.
func appendVarint(b []byte, id protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, id, protowire.VarintType), v)
}

// appendFixed64 appends a field of the wire type fixed64 to b.
func appendFixed64(b []byte, id protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, id, protowire.Fixed64Type), v)
}

// appendBytes appends a length-delimited field to b.
func appendBytes[T string | []byte](b []byte, id protowire.Number, v T) []byte {
	b = protowire.AppendVarint(protowire.AppendTag(b, id, protowire.BytesType), uint64(len(v)))
	return append(b, v...)
}

// field is a parsed field of a message. Its value is in number or in bytes, depending on the wire type.
type field struct {
	id     protowire.Number // number that identifies the field in its message
	number uint64           // value of a varint or fixed64 field
	bytes  []byte           // value of a length-delimited field, a subslice of the parsed message
}

// forEachField parses the fields of the encoded message b one after another and calls visit with each. It returns the first
// error, of visit or of the parsing, at once.
func forEachField(b []byte, visit func(f field) error) error {
	for len(b) > 0 {
		id, wireType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		f := field{id: id}
		switch wireType {
		case protowire.VarintType:
			f.number, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.number, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			return errMalformed // no version of the daemon sends fields of other wire types
		}
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if err := visit(f); err != nil {
			return err
		}
	}
	return nil
}
