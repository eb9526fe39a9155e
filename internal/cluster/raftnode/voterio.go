package raftnode

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
)

// maxPeerNames bounds the names in localVoter.peerNames, which come from messages of voters that the replicated State
// does not name. As raft ids are never assigned twice, more than maxPeerNames such voters can send messages only if
// this voter's log is far behind; this voter then receives the log from the voters whose names it knows.
const maxPeerNames = 64

// peerName returns the name of the voter with the given raft id, or an empty string if the name is not known.
func (v *localVoter) peerName(id uint64) string {
	if name := v.voter.State().VoterName(id); name != "" {
		return name
	}
	return v.peerNames[id]
}

// handleRaft passes a raft message to this node's voter. It drops a message for another voter or another cluster, and a
// message whose sender, by its raft id, is the voter of a daemon other than the one that sent the message.
func (n *Node) handleRaft(now time.Duration, m transport.Message) {
	message := &raftpb.Message{}
	if len(m.Body) < clusterIDSize || proto.Unmarshal(m.Body[clusterIDSize:], message) != nil {
		return
	}
	v, founding := n.localVoter, takeRaftFounding(message)
	if v == nil || clusterID(m.Body[:clusterIDSize]) != v.clusterID || message.GetTo() != v.voterID || !n.acceptsFounding(m.From, founding) {
		return
	}
	switch knownName := v.peerName(message.GetFrom()); {
	case knownName == "" && len(v.peerNames) < maxPeerNames:
		// The replicated State does not name the sender: it may have been added while this voter was down, and may lead.
		v.peerNames[message.GetFrom()] = m.From
	case knownName != m.From:
		return
	}
	v.voter.Receive(now, message)
}

// processVoterOutput does the work that the voter's Output returns, until no work is left: it persists records and
// snapshots, and then sends the messages, grants and results that depend on them.
func (n *Node) processVoterOutput() {
	for n.localVoter != nil {
		voter := n.localVoter.voter
		output := voter.Output(n.options.Now())
		if voter.StopReason != nil {
			n.options.Log.Error("this voter steps down", "error", voter.StopReason)
			n.stopVoter()
			return
		}
		if output != nil {
			if err := n.localVoter.persist(output); err != nil {
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

// persist writes the voter's records and then its snapshot to the durable log, and returns nil when all are durable.
func (v *localVoter) persist(output *consensus.VoterOutput) error {
	for _, r := range output.Records {
		if _, err := v.log.Append(r.Type, r.Payload); err != nil {
			return fmt.Errorf("append to the durable log: %w", err)
		}
	}
	if err := v.log.Sync(); err != nil {
		return fmt.Errorf("sync the durable log: %w", err)
	}
	if output.Snapshot == nil || v.log.SyncedIndex() <= v.log.SnapshotIndex() {
		return nil
	}
	if err := v.log.WriteSnapshot(v.log.SyncedIndex(), output.Snapshot.Body); err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	return nil
}

// errUnknownRecipient is returned for a raft message to a voter whose daemon's name is not known.
var errUnknownRecipient = errors.New("no name is known for the voter")

// sendRaft sends a raft message to its recipient. It reports to raft whether a snapshot was sent: without the report raft would send
// the recipient nothing more. raft needs no such report for other messages, since it resends them without being told that they
// were lost.
func (n *Node) sendRaft(message *raftpb.Message) {
	err := n.trySendRaft(message)
	if message.GetType() == raftpb.MsgSnap {
		n.localVoter.voter.ReportSnapshot(message.GetTo(), err == nil)
	}
}

// trySendRaft sends a raft message to its recipient.
func (n *Node) trySendRaft(message *raftpb.Message) error {
	name := n.localVoter.peerName(message.GetTo())
	if name == "" {
		return errUnknownRecipient
	}
	body, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	body = appendRaftFounding(body, n.foundingID())
	return n.options.Transport.Send(name, kindRaft, append(n.localVoter.clusterID[:], body...))
}

// deliverGrants sends the grants of this daemon's voter to other daemons, and applies the grant for this daemon.
func (n *Node) deliverGrants(grants []consensus.AddressedGrant) {
	for _, g := range grants {
		if g.Recipient == n.options.Name {
			n.applyGrant(n.options.Now(), n.options.Name, g.Grant)
		} else {
			n.sendInCluster(g.Recipient, kindLeaseGrant, g.Grant)
		}
	}
}

// deliverResults completes the proposals whose commands this daemon's voter has applied.
func (n *Node) deliverResults(results []consensus.Result) {
	for _, r := range results {
		result := proposalResult{ID: r.ID, CommandResult: r.CommandResult}
		if r.Err != nil {
			result.Error = r.Err.Error()
		}
		n.completeProposal(result)
	}
}
