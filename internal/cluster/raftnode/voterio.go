package raftnode

import (
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
)

// maxPeerNames bounds the names that are learned from messages. Ids are never assigned twice, and a voter that is so
// far behind the log gets it from any of those that it knows.
const maxPeerNames = 64

// peerName returns a voter's name by its id; empty: it is not known.
func (s *voterSlot) peerName(id uint64) string {
	if name := s.voter.State().VoterName(id); name != "" {
		return name
	}
	return s.peerNames[id]
}

// handleRaft hands a raft message to the voter if the daemon that sent it is the voter that it names as its sender.
func (n *Node) handleRaft(now time.Duration, m transport.Message) {
	message := &raftpb.Message{}
	if len(m.Body) < fleetIDSize || proto.Unmarshal(m.Body[fleetIDSize:], message) != nil {
		return
	}
	s := n.slot
	if s == nil || fleetID(m.Body[:fleetIDSize]) != s.fleetID || message.GetTo() != s.id {
		return
	}
	switch known := s.peerName(message.GetFrom()); {
	case known == "" && len(s.peerNames) < maxPeerNames:
		// A voter that was added while this one was away may be the leader now.
		s.peerNames[message.GetFrom()] = m.From
	case known != m.From:
		return
	}
	s.voter.Receive(now, message)
}

// processVoterOutput persists what the voter has to promise and then sends what rests on it, until there is nothing
// more to do.
func (n *Node) processVoterOutput() {
	for n.slot != nil {
		voter := n.slot.voter
		output := voter.Output(n.options.Now())
		if voter.StopReason != nil {
			n.options.Log.Error("this voter steps down", "error", voter.StopReason)
			n.stopVoter()
			return
		}
		if output != nil {
			if err := n.slot.persist(output); err != nil {
				n.options.Log.Error("this voter steps down: its disk has failed", "error", err)
				n.stopVoter()
				return
			}
			for _, message := range output.Messages {
				n.sendRaft(message)
			}
		}
		grants, results := voter.Grants, voter.Results
		voter.Grants, voter.Results = nil, nil
		n.deliverGrants(grants)
		n.deliverResults(results)
		if output == nil {
			return
		}
	}
}

// persist writes a voter's records and then its snapshot, and returns nil when they are durable.
func (s *voterSlot) persist(output *consensus.VoterOutput) error {
	for _, r := range output.Records {
		if _, err := s.log.Append(r.Type, r.Payload); err != nil {
			return fmt.Errorf("append to the durable log: %w", err)
		}
	}
	if err := s.log.Sync(); err != nil {
		return fmt.Errorf("sync the durable log: %w", err)
	}
	if output.Snapshot == nil || s.log.SyncedIndex() <= s.log.SnapshotIndex() {
		return nil
	}
	if err := s.log.WriteSnapshot(s.log.SyncedIndex(), output.Snapshot.Body); err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	return nil
}

// sendRaft sends a raft message to the voter that it is for. Raft needs to know whether a snapshot went out, and
// resends anything else without.
func (n *Node) sendRaft(message *raftpb.Message) {
	name := n.slot.peerName(message.GetTo())
	if name == "" {
		return
	}
	body, err := proto.Marshal(message)
	if err == nil {
		err = n.options.Transport.Send(name, kindRaft, append(n.slot.fleetID[:], body...))
	}
	if message.GetType() == raftpb.MsgSnap {
		n.slot.voter.ReportSnapshot(message.GetTo(), err == nil)
	}
}

// deliverGrants sends the leases that this daemon's voter grants, and takes up its own.
func (n *Node) deliverGrants(grants []consensus.AddressedGrant) {
	for _, g := range grants {
		if g.Recipient == n.options.Name {
			n.applyGrant(n.options.Now(), n.options.Name, g.Grant)
		} else {
			n.sendJSON(g.Recipient, kindLeaseGrant, g.Grant)
		}
	}
}

// deliverResults completes the proposals that the voter has applied.
func (n *Node) deliverResults(results []consensus.Result) {
	for _, r := range results {
		result := proposalResult{ID: r.ID, CommandResult: r.CommandResult}
		if r.Err != nil {
			result.Error = r.Err.Error()
		}
		n.completeProposal(result)
	}
}
