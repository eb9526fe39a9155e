package transport

import (
	"crypto/hmac"
	"crypto/sha256"

	"google.golang.org/protobuf/encoding/protowire"

	"tuliprock/internal/cluster/swim"
)

// A packet consists of a header, a message authentication code and a body. The header consists of packetMagic,
// packetVersion and the ID of the key that signed the packet. The authentication code is the HMAC-SHA256 of header and body;
// a packet with the key ID zero is unsigned and has no authentication code. The body has the fields whose numbers are
// packetFieldCluster to packetFieldMessage, in the wire format of Protocol Buffers.
const (
	packetMagic   = "TR"
	packetVersion = 1

	versionOffset = 2 // offset of the version byte in a packet: the length of packetMagic
	keyIDOffset   = versionOffset + 1
	headerBytes   = keyIDOffset + keyIDBytes
	macBytes      = sha256.Size
)

// The field numbers of a packet's body. A packet has either packetFieldSwimMessage or packetFieldMessage.
const (
	packetFieldCluster protowire.Number = iota + 1
	packetFieldSequence
	packetFieldSwimMessage
	packetFieldMessage
)

// MaxPacketOverheadBytes is the maximum number of bytes that a signed packet adds to a message of the failure detector: header,
// authentication code, cluster name, sequence number, and the tag and length of the message.
const MaxPacketOverheadBytes = headerBytes + macBytes + 2 + swim.MaxNameBytes + 9 + 3

// packet is the content of an authenticated packet. Either swimMessage or message is set.
type packet struct {
	swimMessage *swim.Message // message of the failure detector; nil if message is set
	message     *Message      // message that another daemon sent with Send
	generation  uint64        // swim.Peer.Generation of the sending process
	sequence    uint64        // sequence number of the packet among the packets of the sending process
}

// appendSwimPacket appends to b a packet that contains a message of the failure detector.
func appendSwimPacket(b []byte, options *Options, sequence uint64, m *swim.Message) []byte {
	return appendPacket(b, options, sequence, packetFieldSwimMessage, AppendSwimMessage(nil, m))
}

// appendMessagePacket appends to b a packet that contains a message of Transport.Send.
func appendMessagePacket(b []byte, options *Options, sequence uint64, m *Message) []byte {
	return appendPacket(b, options, sequence, packetFieldMessage, m.marshal())
}

// appendPacket appends a packet to b, with the cluster name in options and signed with the first key in options. Without
// a key the packet is unsigned. payloadField says what payload holds: packetFieldSwimMessage or packetFieldMessage.
func appendPacket(b []byte, options *Options, sequence uint64, payloadField protowire.Number, payload []byte) []byte {
	packetStart := len(b)
	b = append(b, packetMagic...)
	b = append(b, packetVersion)
	isSigned := len(options.Keys) > 0
	if isSigned {
		b = append(b, options.Keys[0].id[:]...)
		b = append(b, make([]byte, macBytes)...)
	} else {
		b = append(b, make([]byte, keyIDBytes)...)
	}
	bodyStart := len(b)
	b = appendBytes(b, packetFieldCluster, options.Cluster)
	b = appendFixed64(b, packetFieldSequence, sequence)
	b = appendBytes(b, payloadField, payload)
	if isSigned {
		copy(b[packetStart+headerBytes:], options.Keys[0].mac(b[packetStart:packetStart+headerBytes], b[bodyStart:]))
	}
	return b
}

// openPacket authenticates and parses a packet that appendPacket encoded. It rejects a message of the failure detector with
// more than maxUpdates updates. An error is the reason to drop the packet. The result shares no memory with b.
func openPacket(b []byte, options *Options, maxUpdates int) (packet, error) {
	body, err := authenticate(b, options.Keys)
	if err != nil {
		return packet{}, err
	}
	var p packet
	var swimMessage, message []byte
	var cluster string
	err = forEachField(body, func(f field) error {
		switch f.id {
		case packetFieldCluster:
			cluster = string(f.bytes)
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
	if cluster != options.Cluster {
		return packet{}, errClusterMismatch
	}
	if message != nil {
		if p.message, err = parseMessage(message); err != nil {
			return packet{}, err
		}
		p.generation = p.message.Generation
		return p, nil
	}
	if p.swimMessage, err = parseSwimMessage(swimMessage, maxUpdates); err != nil {
		return packet{}, err
	}
	p.generation = p.swimMessage.From.Generation
	return p, nil
}

// authenticate checks that the packet b is signed with one of the keys or, if there are no keys, that it is unsigned. It
// returns the body of the packet.
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
