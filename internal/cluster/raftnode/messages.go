package raftnode

import "encoding/json"

// Kinds of messages between nodes. They are on the wire, and never change.
const (
	kindRaft           = 'r' // a fleetID, and a raft message in protobuf's encoding
	kindLeaseRequest   = 'q' // consensus.LeaseRequest
	kindLeaseGrant     = 'g' // consensus.LeaseGrant
	kindProposal       = 'p' // consensus.Command, as its Encode returns it
	kindProposalResult = 's' // proposalResult
	kindVoterNames     = 'v' // []string
	kindBootstrap      = 'f' // bootstrapMessage
)

// send sends a message without knowing whether it goes out: one that does not is lost as if the network had dropped it,
// and whoever needs an answer sends again.
func (n *Node) send(to string, kind byte, body []byte) {
	_ = n.options.Transport.Send(to, kind, body)
}

// sendJSON is send of a body in JSON.
func (n *Node) sendJSON(to string, kind byte, body any) {
	if encoded, err := json.Marshal(body); err == nil {
		n.send(to, kind, encoded)
	}
}
