package raftnode

import (
	"time"

	"tuliprock/internal/cluster/transport"
)

// maxIdleWait bounds the wait of an event loop for which nothing is due.
const maxIdleWait = time.Hour

// run is the event loop: it handles messages, calls and deadlines until the node is closed.
func (n *Node) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case m := <-n.options.Transport.Messages():
			n.handleMessage(m)
		case call := <-n.calls:
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
		if now >= n.client.nextRequestAt {
			n.requestLease(now)
		}
		n.attemptProposals(now)
		n.processVoterOutput()
		n.publish()
		timer.Reset(n.untilNextDeadline(n.options.Now()))
	}
}

// untilNextDeadline is the time for which nothing is due, maxIdleWait at most.
func (n *Node) untilNextDeadline(now time.Duration) time.Duration {
	next := n.client.nextRequestAt
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

// handleMessage dispatches a message by its kind. One that can't be decoded is dropped: it was authenticated as that of
// a daemon of the cluster, so that daemon runs another version.
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
