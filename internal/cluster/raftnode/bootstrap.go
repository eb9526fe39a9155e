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
	bootstrapWarnAfter     = 10 * time.Second       // time after Start at which a warning names the initial voters whose votes are missing
)

// bootstrap is the state of an initial voter that has not created its log. The voter may create the log once the votes of
// other initial voters show that this daemon did not create a log before on another disk (consensus.Bootstrap).
type bootstrap struct {
	*consensus.Bootstrap
	startedAt       time.Duration // instant, by Options.Now, at which Start was called
	nextRoundAt     time.Duration // instant at which the next round of requests is due
	isWarningLogged bool          // whether the warning about missing votes was logged
}

// bootstrapMessage carries the vote of an initial voter to another initial voter. Initial voters that have not created
// their logs request votes; all initial voters answer. The JSON names are on the wire and must not change.
type bootstrapMessage struct {
	Round     uint64                  `json:"round"` // number of the round in which the vote is requested, which the answer repeats
	IsRequest bool                    `json:"asks"`  // whether the sender requests the vote of the recipient; false: the message is an answer
	Vote      consensus.BootstrapVote `json:"word"`  // vote of the sender on whether it has created its log
}

// startBootstrapRound starts a round of the bootstrap: it requests the votes of the other initial voters. If the time
// bootstrapWarnAfter has passed since Start and votes of the previous round are missing, it logs a warning, but only
// once.
func (n *Node) startBootstrapRound(now time.Duration) {
	b := n.bootstrap
	b.nextRoundAt = now + bootstrapRoundInterval
	missing := b.MissingVotes()
	if now > b.startedAt+bootstrapWarnAfter && !b.isWarningLogged && len(missing) > 0 {
		b.isWarningLogged = true
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

// handleBootstrap answers a request for this daemon's vote, or records another initial voter's vote from an answer. A
// daemon that has no voter on its disk, and is not bootstrapping one, does not answer.
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
// voter, or the disk on which it had created a log is lost, and it must not create another.
func (n *Node) decideBootstrap(now time.Duration) {
	diskIDs, isDiskLost := n.bootstrap.Decide()
	switch {
	case isDiskLost:
		n.options.Log.Error("this daemon does not vote", "error", errVoterDiskLost)
		n.bootstrap, n.isDiskLossLogged = nil, true
	case diskIDs != nil:
		initialVoters := slices.Sorted(slices.Values(n.options.InitialVoters))
		n.bootstrap, n.bootstrapVote = nil, &consensus.BootstrapVote{HasBegun: true, DiskIDs: diskIDs}
		ownIdentity := newInitialVoterIdentity(n.options.Name, initialVoters, diskIDs)
		var err error
		if n.localVoter, err = n.createVoter(now, ownIdentity); err != nil {
			n.isVoterStartDisabled = true
			n.options.Log.Error("voter not started after the bootstrap", "error", err)
		}
	}
}
