package raftnode

import (
	"time"

	"tuliprock/internal/cluster/transport"
)

// maxIdleWait is the longest time for which the event loop waits when nothing is due.
const maxIdleWait = time.Hour

// run is the event loop: it handles messages, submitted functions and deadlines until the node is closed.
func (n *Node) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-n.options.Transport.Messages():
			n.handleMessage(m)
		case call := <-n.submittedCalls:
			call()
		case <-timer.C:
		}
		now := n.options.Now()
		if n.localVoter != nil && now >= n.localVoter.voter.NextTick() {
			n.localVoter.voter.Tick(now)
		}
		if n.bootstrap != nil && now >= n.bootstrap.nextRoundAt {
			n.startBootstrapRound(now)
		}
		if now >= n.leaseClient.nextRequestAt {
			n.requestLease(now)
		}
		n.attemptProposals(now)
		n.processVoterOutput()
		n.publish()
		timer.Reset(n.untilNextDeadline(n.options.Now()))
	}
}

// untilNextDeadline returns the time until the next work is due, at most maxIdleWait.
func (n *Node) untilNextDeadline(now time.Duration) time.Duration {
	next := n.leaseClient.nextRequestAt
	if n.bootstrap != nil {
		next = min(next, n.bootstrap.nextRoundAt)
	}
	if n.localVoter != nil {
		next = min(next, n.localVoter.voter.NextTick())
	}
	for _, p := range n.proposals {
		next = min(next, p.nextAttemptAt, p.expiresAt)
	}
	return min(max(next-now, 0), maxIdleWait)
}

// handleMessage dispatches a message by its kind. It drops a message that can't be decoded. If the cluster has keys, only
// a daemon of another build can have sent such a message, since the transport has verified that the sender is a daemon of
// the cluster.
func (n *Node) handleMessage(m transport.Message) {
	now := n.options.Now()
	switch m.Kind {
	case kindRaft:
		n.handleRaft(now, m)
	case kindLeaseRequest:
		n.handleLeaseRequest(m)
	case kindLeaseGrant:
		n.handleLeaseGrant(now, m)
	case kindProposal:
		n.handleProposal(now, m)
	case kindProposalResult:
		n.handleProposalResult(m)
	case kindVoterNames:
		n.handleVoterNames(m)
	case kindBootstrap:
		n.handleBootstrap(now, m)
	}
}
