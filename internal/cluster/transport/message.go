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
	msgKind protowire.Number = iota + 1
	msgFrom
	msgSeq
	msgTarget
	msgDigest
	msgQuiet
	msgUpdate
)

const (
	updName protowire.Number = iota + 1
	updIP
	updPort
	updRun
	updState
	updIncarnation
	updBy
)

var errDamaged = errors.New("damaged message")

// Marshal appends a message to b.
func Marshal(b []byte, m *swim.Message) []byte {
	b = number(b, msgKind, uint64(m.Kind))
	b = update(b, msgFrom, &m.From)
	b = number(b, msgSeq, m.Seq)
	if m.Target.Name != "" {
		b = update(b, msgTarget, &swim.Update{Peer: m.Target})
	}
	b = protowire.AppendTag(b, msgDigest, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, m.Digest)
	if m.Quiet {
		b = number(b, msgQuiet, 1)
	}
	for i := range m.Updates {
		b = update(b, msgUpdate, &m.Updates[i])
	}
	return b
}

func number(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func text[T string | []byte](b []byte, n protowire.Number, v T) []byte {
	b = protowire.AppendVarint(protowire.AppendTag(b, n, protowire.BytesType), uint64(len(v)))
	return append(b, v...)
}

func update(b []byte, n protowire.Number, u *swim.Update) []byte {
	var room [160]byte
	ip := u.Addr.Addr().As16()
	in := text(room[:0], updName, u.Name)
	if u.Addr.Addr().Is4() {
		in = text(in, updIP, ip[12:])
	} else {
		in = text(in, updIP, ip[:])
	}
	in = number(in, updPort, uint64(u.Addr.Port()))
	in = protowire.AppendFixed64(protowire.AppendTag(in, updRun, protowire.Fixed64Type), u.Run)
	if u.State != swim.Alive {
		in = number(in, updState, uint64(u.State))
	}
	in = number(in, updIncarnation, u.Incarnation)
	if u.By != "" {
		in = text(in, updBy, u.By)
	}
	return text(b, n, in)
}

// field is one that was read: a number, or bytes that lie in what it was read from.
type field struct {
	is     protowire.Number
	number uint64
	bytes  []byte
}

// fields calls each with all fields of b, in turn.
func fields(b []byte, each func(f field) error) error {
	for len(b) > 0 {
		is, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errDamaged
		}
		b = b[n:]
		f := field{is: is}
		switch kind {
		case protowire.VarintType:
			f.number, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.number, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			return errDamaged // nothing of the kind is sent, now or later
		}
		if n < 0 {
			return errDamaged
		}
		b = b[n:]
		if err := each(f); err != nil {
			return err
		}
	}
	return nil
}

// Unmarshal reads a message that holds at most so many updates. It keeps nothing of b.
func Unmarshal(b []byte, most int) (*swim.Message, error) {
	m := &swim.Message{}
	err := fields(b, func(f field) (err error) {
		switch f.is {
		case msgKind:
			if m.Kind = swim.Kind(f.number); uint64(m.Kind) != f.number || !m.Kind.Valid() {
				return fmt.Errorf("%w: kind %d", errDamaged, f.number)
			}
		case msgFrom:
			m.From, err = readUpdate(f.bytes)
		case msgSeq:
			m.Seq = f.number
		case msgTarget:
			var u swim.Update
			u, err = readUpdate(f.bytes)
			m.Target = u.Peer
		case msgDigest:
			m.Digest = f.number
		case msgQuiet:
			m.Quiet = f.number != 0
		case msgUpdate:
			if len(m.Updates) >= most {
				return fmt.Errorf("%w: over %d updates", errDamaged, most)
			}
			var u swim.Update
			u, err = readUpdate(f.bytes)
			m.Updates = append(m.Updates, u)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	if m.Kind == 0 || m.From.Name == "" {
		return nil, errDamaged
	}
	return m, nil
}

func readUpdate(b []byte) (u swim.Update, err error) {
	var ip netip.Addr
	var port uint64
	err = fields(b, func(f field) error {
		ok := true
		switch f.is {
		case updName:
			u.Name, ok = string(f.bytes), swim.IsValidName(string(f.bytes))
		case updIP:
			ip, ok = netip.AddrFromSlice(f.bytes)
		case updPort:
			port, ok = f.number, f.number < 1<<16
		case updRun:
			u.Run = f.number
		case updState:
			u.State = swim.State(f.number)
			ok = uint64(u.State) == f.number && u.State.Valid()
		case updIncarnation:
			u.Incarnation = f.number
		case updBy:
			u.By, ok = string(f.bytes), swim.IsValidName(string(f.bytes))
		}
		if !ok {
			return fmt.Errorf("%w: field %d", errDamaged, f.is)
		}
		return nil
	})
	if err == nil && (u.Name == "" || !ip.IsValid()) {
		err = errDamaged
	}
	u.Addr = netip.AddrPortFrom(ip.Unmap(), uint16(port))
	return u, err
}
