package raftnode

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
)

const (
	bootstrapRoundInterval = 300 * time.Millisecond // between two rounds of requests to the other first voters
	bootstrapWarnAfter     = 10 * time.Second       // after Start: from then on the log names those that do not answer
)

// bootstrap is the state of a first voter that has yet to begin: it may once it knows that none of its name began
// before with another disk (consensus.Bootstrap).
type bootstrap struct {
	*consensus.Bootstrap
	startedAt    time.Duration
	nextRoundAt  time.Duration
	isWaitLogged bool
}

// bootstrapMessage carries a vote between first voters. The ones that have yet to begin request votes, all of them
// answer. On the wire IsRequest is "asks", and Vote is "word".
type bootstrapMessage struct {
	Round     uint64                  `json:"round"`
	IsRequest bool                    `json:"asks"`
	Vote      consensus.BootstrapVote `json:"word"`
}

// startBootstrapRound requests the votes of the other first voters.
func (n *Node) startBootstrapRound(now time.Duration) {
	b := n.bootstrap
	b.nextRoundAt = now + bootstrapRoundInterval
	missing := b.MissingVotes()
	if now > b.startedAt+bootstrapWarnAfter && !b.isWaitLogged && len(missing) > 0 {
		b.isWaitLogged = true
		n.options.Log.Warn("this daemon votes when all first voters have been up at once", "missing", strings.Join(missing, " "))
	}
	request := bootstrapMessage{Round: b.StartRound(), IsRequest: true, Vote: b.Vote()}
	for _, name := range n.options.InitialVoters {
		if name != n.options.Name {
			n.sendJSON(name, kindBootstrap, request)
		}
	}
	n.decideBootstrap(now)
}

// handleBootstrap answers a request and counts an answer. A daemon that never began as a voter, and is not about to,
// does not answer.
func (n *Node) handleBootstrap(now time.Duration, m transport.Message) {
	var received bootstrapMessage
	if json.Unmarshal(m.Body, &received) != nil || !slices.Contains(n.options.InitialVoters, m.From) {
		return
	}
	switch {
	case received.IsRequest && n.bootstrapVote != nil:
		n.sendJSON(m.From, kindBootstrap, bootstrapMessage{Round: received.Round, Vote: *n.bootstrapVote})
	case received.IsRequest && n.bootstrap != nil:
		n.sendJSON(m.From, kindBootstrap, bootstrapMessage{Round: received.Round, Vote: n.bootstrap.Vote()})
	case !received.IsRequest && n.bootstrap != nil:
		n.bootstrap.ReceiveVote(m.From, received.Round, received.Vote)
		n.decideBootstrap(now)
	}
}

// decideBootstrap ends the bootstrap if the votes decide it: this daemon begins as a first voter, or never will.
func (n *Node) decideBootstrap(now time.Duration) {
	marks, isDiskLost := n.bootstrap.Decide()
	switch {
	case isDiskLost:
		n.options.Log.Error("this daemon does not vote", "error", errVoterDiskLost)
		n.bootstrap, n.isDiskLossLogged = nil, true
	case marks != nil:
		firstVoters := slices.Sorted(slices.Values(n.options.InitialVoters))
		n.bootstrap, n.bootstrapVote = nil, &consensus.BootstrapVote{HasBegun: true, DiskIDs: marks}
		own := newInitialVoterIdentity(n.options.Name, firstVoters, marks)
		var err error
		if n.localVoter, err = n.createVoter(now, own); err != nil {
			n.hasStoppedVoting = true
			n.options.Log.Error("voter not started after the bootstrap", "error", err)
		}
	}
}
