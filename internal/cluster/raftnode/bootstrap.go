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
	bootstrapRoundInterval = 300 * time.Millisecond // time between two rounds of requests to the other initial voters
	bootstrapWarnAfter     = 10 * time.Second       // time after Start at which a warning names the voters without an answer
)

// bootstrap is the state of an initial voter that has not created its log. It may create the log once it knows that this
// daemon did not do so before with another disk (consensus.Bootstrap).
type bootstrap struct {
	*consensus.Bootstrap
	startedAt    time.Duration // instant at which the node began to collect votes
	nextRoundAt  time.Duration // instant at which the next round of requests is due
	isWaitLogged bool          // the warning about missing votes is logged
}

// bootstrapMessage carries the vote of an initial voter to another one. Initial voters that have not created their logs
// request votes; all initial voters answer. The JSON names are on the wire and must not change.
type bootstrapMessage struct {
	Round     uint64                  `json:"round"` // round of the requesting voter, which the answer repeats
	IsRequest bool                    `json:"asks"`  // the sender requests the vote of the recipient; false: it is an answer
	Vote      consensus.BootstrapVote `json:"word"`  // vote of the sender
}

// startBootstrapRound starts a round and requests the votes of the other initial voters.
func (n *Node) startBootstrapRound(now time.Duration) {
	b := n.bootstrap
	b.nextRoundAt = now + bootstrapRoundInterval
	missing := b.MissingVotes()
	if now > b.startedAt+bootstrapWarnAfter && !b.isWaitLogged && len(missing) > 0 {
		b.isWaitLogged = true
		n.options.Log.Warn("this daemon votes once all initial voters have been up at the same time", "missing", strings.Join(missing, " "))
	}
	request := bootstrapMessage{Round: b.StartRound(), IsRequest: true, Vote: b.Vote()}
	for _, name := range n.options.InitialVoters {
		if name != n.options.Name {
			n.sendJSON(name, kindBootstrap, request)
		}
	}
	n.decideBootstrap(now)
}

// handleBootstrap answers the request for a vote, or records the vote in an answer. A daemon whose disk has no voter and
// which is not bootstrapping one does not answer.
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

// decideBootstrap ends the bootstrap if the votes allow a decision: either this daemon creates its log and starts its
// voter, or its disk is lost and it never does.
func (n *Node) decideBootstrap(now time.Duration) {
	diskIDs, isDiskLost := n.bootstrap.Decide()
	switch {
	case isDiskLost:
		n.options.Log.Error("this daemon does not vote", "error", errVoterDiskLost)
		n.bootstrap, n.isDiskLossLogged = nil, true
	case diskIDs != nil:
		initialVoters := slices.Sorted(slices.Values(n.options.InitialVoters))
		n.bootstrap, n.bootstrapVote = nil, &consensus.BootstrapVote{HasBegun: true, DiskIDs: diskIDs}
		own := newInitialVoterIdentity(n.options.Name, initialVoters, diskIDs)
		var err error
		if n.localVoter, err = n.createVoter(now, own); err != nil {
			n.hasStoppedVoting = true
			n.options.Log.Error("voter not started after the bootstrap", "error", err)
		}
	}
}
