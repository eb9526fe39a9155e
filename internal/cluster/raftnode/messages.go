package raftnode

import (
	"encoding/json"

	"tuliprock/internal/cluster/transport"
)

// Kinds of messages between nodes. The comment of a kind says what the body holds, encoded as JSON unless the comment
// names another encoding. The values are on the wire and must not change.
const (
	kindRaft           = 'r' // body: a clusterID, followed by a raft message in protobuf's encoding
	kindLeaseRequest   = 'q' // body: a consensus.LeaseRequest
	kindLeaseGrant     = 'g' // body: a consensus.LeaseGrant
	kindProposal       = 'p' // body: a consensus.Command, as its Encode method returns it
	kindProposalResult = 's' // body: a proposalResult
	kindVoterNames     = 'v' // body: names of the voters that the sender knows, as a []string
	kindBootstrap      = 'f' // body: a bootstrapMessage
)

// send sends a message and ignores errors: a message that is not sent is lost as if the network had dropped it, and
// senders that need an answer repeat their message.
func (n *Node) send(to string, kind byte, body []byte) {
	_ = n.options.Transport.Send(to, kind, body)
}

// sendInCluster sends a message whose body is the JSON encoding of a struct, with the foundingID of this daemon's cluster.
func (n *Node) sendInCluster(to string, kind byte, body any) {
	if encoded, err := json.Marshal(body); err == nil {
		n.send(to, kind, prependFounding(n.foundingID(), encoded))
	}
}

// openInCluster removes the foundingID from the body of a received message. It returns ok false for a message of another bootstrap.
func (n *Node) openInCluster(m *transport.Message) (founding foundingID, ok bool) {
	founding, m.Body = cutFounding(m.Body)
	return founding, n.acceptsFounding(m.From, founding)
}

// sendJSON sends a message whose body is the JSON encoding of a value.
func (n *Node) sendJSON(to string, kind byte, body any) {
	if encoded, err := json.Marshal(body); err == nil {
		n.send(to, kind, encoded)
	}
}
