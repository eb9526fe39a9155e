package transport

import (
	"errors"
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"tuliprock/internal/cluster/swim"
)

// Fields of a message and of an update, in protocol buffers' wire format. What is unknown is skipped, so that a later
// version may say more.
const (
	swimFieldKind protowire.Number = iota + 1
	swimFieldFrom
	swimFieldSequence
	swimFieldTarget
	swimFieldDigest
	swimFieldQuiet
	swimFieldUpdate
)

const (
	updateFieldName protowire.Number = iota + 1
	updateFieldIP
	updateFieldPort
	updateFieldRunID
	updateFieldState
	updateFieldIncarnation
	updateFieldSuspectedBy
)

var errMalformed = errors.New("damaged message")

// Marshal appends a message to b.
func Marshal(b []byte, m *swim.Message) []byte {
	b = appendVarint(b, swimFieldKind, uint64(m.Kind))
	b = appendUpdate(b, swimFieldFrom, &m.From)
	b = appendVarint(b, swimFieldSequence, m.Seq)
	if m.Target.Name != "" {
		b = appendUpdate(b, swimFieldTarget, &swim.Update{Peer: m.Target})
	}
	b = protowire.AppendTag(b, swimFieldDigest, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, m.Digest)
	if m.Quiet {
		b = appendVarint(b, swimFieldQuiet, 1)
	}
	for i := range m.Updates {
		b = appendUpdate(b, swimFieldUpdate, &m.Updates[i])
	}
	return b
}

func appendVarint(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func appendBytes[T string | []byte](b []byte, n protowire.Number, v T) []byte {
	b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.BytesType), uint64(len(v)))
	return append(b, v...)
}

func appendUpdate(b []byte, n protowire.Number, u *swim.Update) []byte {
	var room [160]byte
	ip := u.Addr.Addr().As16()
	in := appendBytes(room[:0], updateFieldName, u.Name)
	if u.Addr.Addr().Is4() {
		in = appendBytes(in, updateFieldIP, ip[12:])
	} else {
		in = appendBytes(in, updateFieldIP, ip[:])
	}
	in = appendVarint(in, updateFieldPort, uint64(u.Addr.Port()))
	in = protowire.AppendFixed64(protowire.AppendTag(in, updateFieldRunID, protowire.Fixed64Type), u.Run)
	if u.State != swim.Alive {
		in = appendVarint(in, updateFieldState, uint64(u.State))
	}
	in = appendVarint(in, updateFieldIncarnation, u.Incarnation)
	if u.By != "" {
		in = appendBytes(in, updateFieldSuspectedBy, u.By)
	}
	return appendBytes(b, n, in)
}

// field is one that was read: a number, or bytes that lie in what it was read from.
type field struct {
	id     protowire.Number
	number uint64
	bytes  []byte
}

// forEachField calls each with all fields of b, in turn.
func forEachField(b []byte, each func(f field) error) error {
	for len(b) > 0 {
		is, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		f := field{id: is}
		switch kind {
		case protowire.VarintType:
			f.number, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.number, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			return errMalformed // nothing of the kind is sent, now or later
		}
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if err := each(f); err != nil {
			return err
		}
	}
	return nil
}

// parseSwimMessage reads a message that holds at most so many updates. It keeps nothing of b.
func parseSwimMessage(b []byte, most int) (*swim.Message, error) {
	m := &swim.Message{}
	err := forEachField(b, func(f field) (err error) {
		switch f.id {
		case swimFieldKind:
			if m.Kind = swim.Kind(f.number); uint64(m.Kind) != f.number || !m.Kind.Valid() {
				return fmt.Errorf("%w: kind %d", errMalformed, f.number)
			}
		case swimFieldFrom:
			m.From, err = parseUpdate(f.bytes)
		case swimFieldSequence:
			m.Seq = f.number
		case swimFieldTarget:
			var u swim.Update
			u, err = parseUpdate(f.bytes)
			m.Target = u.Peer
		case swimFieldDigest:
			m.Digest = f.number
		case swimFieldQuiet:
			m.Quiet = f.number != 0
		case swimFieldUpdate:
			if len(m.Updates) >= most {
				return fmt.Errorf("%w: over %d updates", errMalformed, most)
			}
			var u swim.Update
			u, err = parseUpdate(f.bytes)
			m.Updates = append(m.Updates, u)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	if m.Kind == 0 || m.From.Name == "" {
		return nil, errMalformed
	}
	return m, nil
}

func parseUpdate(b []byte) (u swim.Update, err error) {
	var ip netip.Addr
	var port uint64
	err = forEachField(b, func(f field) error {
		ok := true
		switch f.id {
		case updateFieldName:
			u.Name, ok = string(f.bytes), swim.IsValidName(string(f.bytes))
		case updateFieldIP:
			ip, ok = netip.AddrFromSlice(f.bytes)
		case updateFieldPort:
			port, ok = f.number, f.number < 1<<16
		case updateFieldRunID:
			u.Run = f.number
		case updateFieldState:
			u.State = swim.State(f.number)
			ok = uint64(u.State) == f.number && u.State.Valid()
		case updateFieldIncarnation:
			u.Incarnation = f.number
		case updateFieldSuspectedBy:
			u.By, ok = string(f.bytes), swim.IsValidName(string(f.bytes))
		}
		if !ok {
			return fmt.Errorf("%w: field %d", errMalformed, f.id)
		}
		return nil
	})
	if err == nil && (u.Name == "" || !ip.IsValid()) {
		err = errMalformed
	}
	u.Addr = netip.AddrPortFrom(ip.Unmap(), uint16(port))
	return u, err
}
