package transport

import (
	"fmt"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"tuliprock/internal/cluster/swim"
)

// The field numbers of a swim.Message in the wire format of Protocol Buffers. Parsers skip unknown fields, so that a later
// version of the daemon may add fields.
const (
	swimFieldKind protowire.Number = iota + 1
	swimFieldFrom
	swimFieldSequence
	swimFieldTarget
	swimFieldDigest
	swimFieldGossipQueueEmpty
	swimFieldUpdate
)

// The field numbers of a swim.Update in the wire format of Protocol Buffers. They must not change.
const (
	updateFieldName protowire.Number = iota + 1
	updateFieldIP
	updateFieldPort
	updateFieldGeneration
	updateFieldState
	updateFieldIncarnation
	updateFieldSuspectedBy
)

// The field numbers of a Message in the wire format of Protocol Buffers. They must not change.
const (
	messageFieldFrom protowire.Number = iota + 1
	messageFieldGeneration
	messageFieldKind
	messageFieldBody
)

// Message is a message from a component of a daemon to the same component of another daemon.
type Message struct {
	From       string // name of the sending daemon (Options.Name)
	Generation uint64 // swim.Peer.Generation of the sending process
	Kind       byte   // purpose of the message, by which the receiver chooses the component that handles it
	Body       []byte // content of the message, which the transport does not interpret
}

// marshal returns the message in the wire format of Protocol Buffers.
func (m *Message) marshal() []byte {
	b := appendBytes(make([]byte, 0, len(m.Body)+len(m.From)+32), messageFieldFrom, m.From)
	b = appendFixed64(b, messageFieldGeneration, m.Generation)
	b = appendVarint(b, messageFieldKind, uint64(m.Kind))
	return appendBytes(b, messageFieldBody, m.Body)
}

// parseMessage parses a Message that marshal encoded. The result shares no memory with b.
func parseMessage(b []byte) (*Message, error) {
	m := &Message{}
	err := forEachField(b, func(f field) error {
		switch f.id {
		case messageFieldFrom:
			m.From = string(f.bytes)
		case messageFieldGeneration:
			m.Generation = f.number
		case messageFieldKind:
			m.Kind = byte(f.number)
		case messageFieldBody:
			m.Body = append([]byte(nil), f.bytes...)
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if !swim.IsValidName(m.From) {
		return nil, fmt.Errorf("%w: sender's name", errMalformed)
	}
	return m, nil
}

// AppendSwimMessage encodes a message of the failure detector and appends the encoding to b.
func AppendSwimMessage(b []byte, m *swim.Message) []byte {
	b = appendVarint(b, swimFieldKind, uint64(m.Kind))
	b = appendUpdate(b, swimFieldFrom, &m.From)
	b = appendVarint(b, swimFieldSequence, m.Seq)
	if m.Target.Name != "" {
		b = appendUpdate(b, swimFieldTarget, &swim.Update{Peer: m.Target})
	}
	b = appendFixed64(b, swimFieldDigest, m.Digest)
	if m.GossipQueueEmpty {
		b = appendVarint(b, swimFieldGossipQueueEmpty, 1)
	}
	for i := range m.Updates {
		b = appendUpdate(b, swimFieldUpdate, &m.Updates[i])
	}
	return b
}

// appendUpdate appends to b a length-delimited field with the number id that contains the update u.
func appendUpdate(b []byte, id protowire.Number, u *swim.Update) []byte {
	var buffer [160]byte // long enough for nearly all updates; appendBytes allocates memory for a longer update
	ip := u.Addr.Addr().As16()
	update := appendBytes(buffer[:0], updateFieldName, u.Name)
	if u.Addr.Addr().Is4() {
		update = appendBytes(update, updateFieldIP, ip[12:])
	} else {
		update = appendBytes(update, updateFieldIP, ip[:])
	}
	update = appendVarint(update, updateFieldPort, uint64(u.Addr.Port()))
	update = appendFixed64(update, updateFieldGeneration, u.Generation)
	if u.State != swim.Alive {
		update = appendVarint(update, updateFieldState, uint64(u.State))
	}
	update = appendVarint(update, updateFieldIncarnation, u.Incarnation)
	if u.SuspectedBy != "" {
		update = appendBytes(update, updateFieldSuspectedBy, u.SuspectedBy)
	}
	return appendBytes(b, id, update)
}

// parseSwimMessage parses a swim.Message that AppendSwimMessage encoded. It rejects a message with more than maxUpdates
// updates. The result shares no memory with b.
func parseSwimMessage(b []byte, maxUpdates int) (*swim.Message, error) {
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
		case swimFieldGossipQueueEmpty:
			m.GossipQueueEmpty = f.number != 0
		case swimFieldUpdate:
			if len(m.Updates) >= maxUpdates {
				return fmt.Errorf("%w: over %d updates", errMalformed, maxUpdates)
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
		return nil, fmt.Errorf("%w: no kind or no sender", errMalformed)
	}
	return m, nil
}

// parseUpdate parses the encoding of an update that appendUpdate appends.
func parseUpdate(b []byte) (swim.Update, error) {
	var u swim.Update
	var ip netip.Addr
	var port uint64
	err := forEachField(b, func(f field) error {
		ok := true
		switch f.id {
		case updateFieldName:
			u.Name, ok = string(f.bytes), swim.IsValidName(string(f.bytes))
		case updateFieldIP:
			ip, ok = netip.AddrFromSlice(f.bytes)
		case updateFieldPort:
			port, ok = f.number, f.number < 1<<16
		case updateFieldGeneration:
			u.Generation = f.number
		case updateFieldState:
			u.State = swim.State(f.number)
			ok = uint64(u.State) == f.number && u.State.Valid()
		case updateFieldIncarnation:
			u.Incarnation = f.number
		case updateFieldSuspectedBy:
			u.SuspectedBy, ok = string(f.bytes), swim.IsValidName(string(f.bytes))
		}
		if !ok {
			return fmt.Errorf("%w: update's field %d", errMalformed, f.id)
		}
		return nil
	})
	if err != nil {
		return swim.Update{}, err
	}
	if u.Name == "" || !ip.IsValid() {
		return swim.Update{}, fmt.Errorf("%w: update without name or address", errMalformed)
	}
	u.Addr = netip.AddrPortFrom(ip.Unmap(), uint16(port))
	return u, nil
}
