package swim

import "net/netip"

const (
	// MaxPiggyback is the number of updates that are piggybacked on one message.
	MaxPiggyback = 24

	// maxPiggybackBytes bounds the piggybacked updates, so that a message stays within a datagram of 1,200 bytes.
	maxPiggybackBytes = 800

	// updateOverheadBytes bounds an encoded update without its names: numbers, address and their tags.
	updateOverheadBytes = 60
)

// Kind is the purpose of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping      Kind = iota + 1 // a probe of Target, or of whoever is at the address where Target has no name
	PingReq                   // a request to probe Target for the sender
	Ack                       // the response to a Ping, or to a PingReq once Target has responded
	Nack                      // the response to a PingReq while Target has not responded
	Gossip                    // updates alone; no response is expected
	Sync                      // the sender's full state; a SyncReply is expected
	SyncReply                 // the sender's full state
	kindEnd
)

// Valid reports whether k is one of the kinds.
func (k Kind) Valid() bool { return k >= Ping && k < kindEnd }

// Message is what nodes send to one another.
type Message struct {
	Kind    Kind
	From    Update   // the sender as it sees itself
	Seq     uint64   // sequence number of a Ping or PingReq, repeated in the responses to it
	Target  Peer     // of a Ping, a PingReq and the Ack of an indirect probe
	Digest  uint64   // the sender's Node.Digest
	Quiet   bool     // the sender has no updates left to gossip
	Updates []Update // MaxPiggyback at most, unless in a Sync or SyncReply
}

// isValid reports whether a message can be acted on.
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
	To      netip.AddrPort
	Stream  bool // the message may be too long for a datagram
	Message *Message
}
