package transport

import "google.golang.org/protobuf/encoding/protowire"

// The functions below write and parse single fields of protocol buffers' wire format. There is no generated code: messages are
// parsed field by field, with a bound on what each may hold.

func appendVarint(b []byte, id protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, id, protowire.VarintType), v)
}

func appendFixed64(b []byte, id protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, id, protowire.Fixed64Type), v)
}

func appendBytes[T string | []byte](b []byte, id protowire.Number, v T) []byte {
	b = protowire.AppendVarint(protowire.AppendTag(b, id, protowire.BytesType), uint64(len(v)))
	return append(b, v...)
}

// field is a parsed field: a number, or bytes that are part of what was parsed.
type field struct {
	id     protowire.Number
	number uint64
	bytes  []byte
}

// forEachField calls visit with each field of b in turn, until it returns an error.
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
			return errMalformed // no version sends other types
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
