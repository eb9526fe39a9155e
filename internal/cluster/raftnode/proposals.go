package raftnode

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
)

const (
	// maxPendingProposals and maxPendingProposalBytes bound the number and the total size in bytes of the commands that
	// a node holds. raft allows as many bytes of uncommitted commands.
	maxPendingProposals     = 64
	maxPendingProposalBytes = 8 << 20

	// initialRetryBackoff is the time between the first two attempts to propose a command to raft or to forward it to
	// the leader. The time doubles with each attempt up to maxRetryBackoff, since with every attempt all voters may
	// write another copy of a long command.
	initialRetryBackoff = time.Second
	maxRetryBackoff     = orphanRetention

	// orphanRetention is how long a node holds a proposal for whose result no caller of Propose waits. A caller that
	// proposes the same command again within that time waits for the result of the held proposal.
	orphanRetention = 8 * time.Second
)

// proposal is a command that was proposed at this node, or that another daemon forwarded to this node's voter.
type proposal struct {
	body          []byte              // encoded command; nil once result is set
	waiter        chan proposalResult // channel on which a caller of Node.Propose waits for the result; nil: no caller waits
	forwarder     string              // name of the daemon that forwarded the command; empty: the command was proposed at this node
	nextAttemptAt time.Duration       // instant at which the command is next proposed to raft or forwarded
	backoff       time.Duration       // time from the next attempt to the one after it
	expiresAt     time.Duration       // instant at which the proposal is dropped
	result        *proposalResult     // result for a caller that proposes the command again; nil: the result is not known yet
}

// proposalResult is the result of a command. Its JSON names are on the wire and must not change.
type proposalResult struct {
	ID string `json:"ID"` // ID of the command (consensus.Command)
	consensus.CommandResult
	Error string `json:"Err"` // why the command was rejected; empty: the command was committed and applied
}

// pendingProposals holds proposals by the IDs of their commands.
type pendingProposals map[string]*proposal

// hasCapacity reports whether the bounds allow the node to hold one more command, whose encoding has size bytes.
func (p pendingProposals) hasCapacity(size int) bool {
	for _, other := range p {
		size += len(other.body)
	}
	return len(p) < maxPendingProposals && size <= maxPendingProposalBytes
}

// ProposeVersion proposes a command in the same way as Propose, and returns only the version that the command made.
func (n *Node) ProposeVersion(ctx context.Context, cmd consensus.Command) (uint64, error) {
	r, err := n.Propose(ctx, cmd)
	return r.Version, err
}

// Propose proposes a command and waits until it is committed or rejected. A command without an ID gets a random one;
// with the same ID a command is applied once. The error is consensus.ErrIndeterminate if ctx or the node ended before
// the result was known: the command may have been committed, or may be committed later.
func (n *Node) Propose(ctx context.Context, cmd consensus.Command) (consensus.CommandResult, error) {
	if cmd.ID == "" {
		cmd.ID = rand.Text()
	}
	body, err := cmd.Encode()
	if err != nil {
		return consensus.CommandResult{}, err
	}
	result := make(chan proposalResult, 1)
	isAdded := make(chan bool, 1)
	if !n.submit(ctx, func() { isAdded <- n.addProposal(cmd.ID, body, result) }) {
		return consensus.CommandResult{}, consensus.ErrIndeterminate
	}
	if !<-isAdded {
		return consensus.CommandResult{}, fmt.Errorf("too many pending proposals: at most %d commands, or %d bytes of them",
			maxPendingProposals, maxPendingProposalBytes)
	}
	select {
	case r := <-result:
		if r.Error != "" {
			return r.CommandResult, errors.New(r.Error) // a proposalResult has only the text of the error
		}
		return r.CommandResult, nil
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	n.submit(n.ctx, func() {
		if p := n.proposals[cmd.ID]; p != nil && p.waiter == result {
			p.waiter, p.expiresAt = nil, n.options.Now()+orphanRetention
		}
	})
	return consensus.CommandResult{}, consensus.ErrIndeterminate
}

// addProposal arranges that waiter receives the result of a command: at once if the result is known, otherwise when it
// arrives. It returns false if the command is new and the node holds as many commands as the bounds allow.
func (n *Node) addProposal(id string, body []byte, waiter chan proposalResult) bool {
	p := n.proposals[id]
	switch {
	case p == nil && !n.proposals.hasCapacity(len(body)):
		return false
	case p == nil:
		n.proposals[id] = &proposal{body: body, waiter: waiter, backoff: initialRetryBackoff, expiresAt: math.MaxInt64}
	case p.result != nil:
		waiter <- *p.result
		delete(n.proposals, id)
	default:
		p.waiter, p.expiresAt = waiter, math.MaxInt64
	}
	return true
}

// handleProposal handles a command that another daemon forwarded to this node's voter. If the node already holds as
// many commands as maxPendingProposals and maxPendingProposalBytes allow, a new command is dropped, and the other
// daemon retries.
func (n *Node) handleProposal(now time.Duration, m transport.Message) {
	var cmd struct {
		ID string `json:"id"`
	}
	if _, ok := n.openInCluster(&m); !ok || n.localVoter == nil || json.Unmarshal(m.Body, &cmd) != nil || cmd.ID == "" {
		return
	}
	if known := n.proposals[cmd.ID]; known != nil {
		known.forwarder = m.From
		if known.result != nil {
			n.sendJSON(m.From, kindProposalResult, *known.result)
		}
		return
	}
	if n.proposals.hasCapacity(len(m.Body)) {
		n.proposals[cmd.ID] = &proposal{
			body:      m.Body,
			forwarder: m.From,
			backoff:   initialRetryBackoff,
			expiresAt: now + orphanRetention,
		}
	}
}

// attemptProposals drops expired proposals and makes an attempt for each proposal that is due: a node with a voter
// proposes the command to raft, and a node without one forwards the command to the leader that it knows.
func (n *Node) attemptProposals(now time.Duration) {
	for id, p := range n.proposals {
		switch {
		case now >= p.expiresAt:
			delete(n.proposals, id)
		case now < p.nextAttemptAt || p.result != nil:
		case n.localVoter != nil:
			if n.localVoter.voter.ProposeEncoded(p.body) != nil {
				p.nextAttemptAt = now + heartbeatInterval // raft knows no leader, so nothing was proposed
				continue
			}
			p.scheduleRetry(now)
		default:
			n.send(n.leaseClient.leader, kindProposal, prependFounding(n.foundingID(), p.body))
			p.scheduleRetry(now)
		}
	}
}

// scheduleRetry schedules the next attempt after the current backoff, and doubles the backoff up to maxRetryBackoff.
func (p *proposal) scheduleRetry(now time.Duration) {
	p.nextAttemptAt = now + p.backoff
	p.backoff = min(2*p.backoff, maxRetryBackoff)
}

// handleProposalResult completes a proposal that this node forwarded to a voter, with the result that the voter sent. A
// result from a daemon that is no known voter is dropped.
func (n *Node) handleProposalResult(m transport.Message) {
	var r proposalResult
	if json.Unmarshal(m.Body, &r) == nil && slices.Contains(n.leaseClient.knownVoters, m.From) {
		n.completeProposal(r)
	}
}

// completeProposal passes a result to the caller or the daemon that waits for it. If neither waits, the result is held
// until the proposal expires.
func (n *Node) completeProposal(r proposalResult) {
	p := n.proposals[r.ID]
	if p == nil || p.result != nil {
		return
	}
	if p.forwarder != "" {
		n.sendJSON(p.forwarder, kindProposalResult, r)
	}
	switch {
	case p.waiter != nil:
		p.waiter <- r
		delete(n.proposals, r.ID)
	case p.forwarder != "":
		delete(n.proposals, r.ID)
	default:
		p.result, p.body, p.nextAttemptAt = &r, nil, p.expiresAt
	}
}
