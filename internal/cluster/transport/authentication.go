package transport

import (
	"crypto/hmac"
	"crypto/sha256"

	"google.golang.org/protobuf/encoding/protowire"

	"tuliprock/internal/cluster/swim"
)

// A packet is a header, a message authentication code and a body. The header is two letters, the version, and the ID of
// the key that signed it. The code is an HMAC-SHA256 of header and body; it is left out where the key ID is zero, which
// stands for no key. The body has the fields below, in protocol buffers' wire format.
const (
	packetMagic   = "TR"
	packetVersion = 1

	versionOffset = 2 // behind packetMagic
	keyIDOffset   = versionOffset + 1
	headerBytes   = keyIDOffset + keyIDBytes
	macBytes      = sha256.Size
)

const (
	packetFieldCluster protowire.Number = iota + 1
	packetFieldSequence
	packetFieldSwimMessage // either this one
	packetFieldMessage     // or this one
)

// MaxOverheadBytes is the most bytes that a packet has besides the message of the failure detector in it.
const MaxOverheadBytes = headerBytes + macBytes + 2 + swim.MaxNameBytes + 9 + 3

// packet is what an authenticated packet carries: one of swimMessage and message, and the number that identifies it among
// the packets of its sender's process.
type packet struct {
	swimMessage *swim.Message
	message     *Message
	generation  uint64
	sequence    uint64
}

// appendSwimPacket appends a packet with a message of the failure detector to b.
func appendSwimPacket(b []byte, options *Options, sequence uint64, m *swim.Message) []byte {
	return appendPacket(b, options, sequence, packetFieldSwimMessage, AppendSwimMessage(nil, m))
}

// appendMessagePacket appends a packet with a message of Send to b.
func appendMessagePacket(b []byte, options *Options, sequence uint64, m *Message) []byte {
	return appendPacket(b, options, sequence, packetFieldMessage, m.marshal())
}

// appendPacket appends a packet to b, for the cluster and signed with the first of the keys of options.
func appendPacket(b []byte, options *Options, sequence uint64, payloadField protowire.Number, payload []byte) []byte {
	start := len(b)
	b = append(b, packetMagic...)
	b = append(b, packetVersion)
	isSigned := len(options.Keys) > 0
	if isSigned {
		b = append(b, options.Keys[0].id[:]...)
		b = append(b, make([]byte, macBytes)...)
	} else {
		b = append(b, make([]byte, keyIDBytes)...)
	}
	body := len(b)
	b = appendBytes(b, packetFieldCluster, options.Cluster)
	b = appendFixed64(b, packetFieldSequence, sequence)
	b = appendBytes(b, payloadField, payload)
	if isSigned {
		copy(b[start+headerBytes:], options.Keys[0].mac(b[start:start+headerBytes], b[body:]))
	}
	return b
}

// openPacket authenticates and parses a packet that appendPacket made. An error is the reason to drop it. What it returns
// refers to nothing in b.
func openPacket(b []byte, options *Options, maxUpdates int) (packet, error) {
	body, err := authenticate(b, options.Keys)
	if err != nil {
		return packet{}, err
	}
	var p packet
	var swimMessage, message []byte
	var sentFor string
	err = forEachField(body, func(f field) error {
		switch f.id {
		case packetFieldCluster:
			sentFor = string(f.bytes)
		case packetFieldSequence:
			p.sequence = f.number
		case packetFieldSwimMessage:
			swimMessage = f.bytes
		case packetFieldMessage:
			message = f.bytes
		}
		return nil
	})
	if err != nil {
		return packet{}, err
	}
	if sentFor != options.Cluster {
		return packet{}, errClusterMismatch
	}
	if message != nil {
		if p.message, err = parseMessage(message); err != nil {
			return packet{}, err
		}
		p.generation = p.message.RunID
		return p, nil
	}
	if p.swimMessage, err = parseSwimMessage(swimMessage, maxUpdates); err != nil {
		return packet{}, err
	}
	p.generation = p.swimMessage.From.Generation
	return p, nil
}

// authenticate returns the body of a packet that one of the keys has signed. Without keys, only unsigned packets pass.
func authenticate(b []byte, keys Keys) ([]byte, error) {
	if len(b) < headerBytes || string(b[:versionOffset]) != packetMagic {
		return nil, errMalformed
	}
	if b[versionOffset] != packetVersion {
		return nil, errVersionMismatch
	}
	header, rest := b[:headerBytes], b[headerBytes:]
	keyID := [keyIDBytes]byte(header[keyIDOffset:])
	if len(keys) == 0 {
		if keyID != [keyIDBytes]byte{} {
			return nil, errUnauthenticated
		}
		return rest, nil
	}
	if len(rest) < macBytes {
		return nil, errUnauthenticated
	}
	mac, body := rest[:macBytes], rest[macBytes:]
	for i := range keys {
		if keys[i].id == keyID && hmac.Equal(mac, keys[i].mac(header, body)) {
			return body, nil
		}
	}
	return nil, errUnauthenticated
}
