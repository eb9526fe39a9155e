package swim

import "net/netip"

const (
	// MaxPiggybackedUpdates is the maximum number of updates piggybacked on one message.
	MaxPiggybackedUpdates = 24

	// maxPiggybackBytes bounds the encoded size of the updates piggybacked on a message in bytes, so that the message with its
	// other fields fits a datagram of 1,200 bytes.
	maxPiggybackBytes = 800

	// updateOverheadBytes bounds the encoded size of an update without its names: numbers, address and field tags.
	updateOverheadBytes = 60
)

// Kind is the purpose of a Message. Its values are on the wire and must not change.
type Kind uint8

// The values of Kind. The comment of each says what a message of that kind does.
const (
	Ping      Kind = iota + 1 // probes Target, or whichever node has the destination address if Target has no name
	PingReq                   // asks the receiver to probe Target on behalf of the sender
	Ack                       // response to a Ping, or to a PingReq after Target has responded
	Nack                      // response to a PingReq if Target did not respond in time
	Gossip                    // distributes the updates in the message; no response is expected
	Sync                      // contains the sender's latest update about each member; a SyncReply is expected
	SyncReply                 // contains the sender's latest update about each member, in response to a Sync
	kindEnd                   // one more than the last valid Kind
)

// Valid reports whether k is one of the kinds from Ping to SyncReply.
func (k Kind) Valid() bool { return k >= Ping && k < kindEnd }

// Message is a message of the failure detector from one node to another. Its Kind determines which fields are used.
type Message struct {
	Kind             Kind     // purpose of the message, which decides how the receiver handles it
	From             Update   // address, generation, state and incarnation of the sender
	Seq              uint64   // sequence number of a Ping or PingReq, which the responses repeat
	Target           Peer     // in a Ping or PingReq: process to probe; in the Ack to a PingReq: process that responded to the probe
	Digest           uint64   // digest of the members that the sender considers present (Node.Digest)
	GossipQueueEmpty bool     // whether the sender has no updates left to gossip
	Updates          []Update // gossiped updates, at most MaxPiggybackedUpdates; in a Sync or SyncReply the sender's latest update about each member
}

// isValid reports whether a message's kind is valid, its From and its Updates are valid and have names, and the name of its
// Target is not longer than MaxNameBytes.
func (m *Message) isValid() bool {
	if !m.Kind.Valid() || !m.From.isValid() || m.From.Name == "" {
		return false
	}
	for i := range m.Updates {
		if u := &m.Updates[i]; !u.isValid() || u.Name == "" {
			return false
		}
	}
	return m.Target.Name == "" || len(m.Target.Name) <= MaxNameBytes
}

// Envelope is a message to be sent, with its destination.
type Envelope struct {
	To          netip.AddrPort // address to which the message is sent
	NeedsStream bool           // whether the message may be longer than a datagram, so that it must be sent in a stream
	Message     *Message       // message of the failure detector to be sent
}
