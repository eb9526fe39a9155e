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
	bootstrapRoundInterval = 300 * time.Millisecond // time between two rounds of requests to the other daemons
	bootstrapWarnAfter     = 10 * time.Second       // time after Start at which a warning names the initial voters whose votes are missing
	// clusterSearchTime is how long after Start an initial voter without a log waits for daemons that may know that the cluster
	// exists: those with which it has no contact yet, and those that do not answer, as daemons of earlier builds do not.
	clusterSearchTime = 10 * time.Second
	// maxReportsPerRound is the number of members that are asked in one round whether the cluster exists. In a larger fleet each
	// round asks other members: all daemons of a running cluster know it, and their answers must fit the transport's queue.
	maxReportsPerRound = 64
)

// bootstrap is the state of an initial voter that has not created its log. The voter may create the log once the votes of
// other initial voters show that this daemon did not create a log before on another disk (consensus.Bootstrap).
type bootstrap struct {
	*consensus.Bootstrap
	startedAt       time.Duration // instant, by Options.Now, at which Start was called
	nextRoundAt     time.Duration // instant at which the next round of requests is due
	isWarningLogged bool          // whether the warning about missing votes was logged
	nextMember      int           // index of the member that is asked first in the next round, modulo their number
}

// bootstrapMessage carries the vote of an initial voter to another initial voter. Initial voters that have not created
// their logs request votes; all initial voters answer. The JSON names are on the wire and must not change.
type bootstrapMessage struct {
	Round     uint64                  `json:"round"` // number of the round in which the vote is requested, which the answer repeats
	IsRequest bool                    `json:"asks"`  // whether the sender requests the vote of the recipient; false: the message is an answer
	Vote      consensus.BootstrapVote `json:"word"`  // vote of the sender on whether it has created its log; zero value if the sender is no initial voter

	// Cluster is the sender's report on whether the cluster exists; nil in a request, and in messages of earlier builds.
	Cluster *consensus.ClusterReport `json:"cluster,omitempty"`
}

// startBootstrapRound starts a round of the bootstrap: it requests the votes of the other initial voters, and the reports of all
// other members. If the time bootstrapWarnAfter has passed since Start and votes of the previous round are missing, it logs
// a warning, but only once.
func (n *Node) startBootstrapRound(now time.Duration) {
	b := n.bootstrap
	if n.knowsCluster() {
		b.SetClusterExists()
	}
	b.nextRoundAt = now + bootstrapRoundInterval
	missing := b.MissingVotes()
	if now > b.startedAt+bootstrapWarnAfter && !b.isWarningLogged && len(missing) > 0 {
		b.isWarningLogged = true
		n.options.Log.Warn("this daemon votes once all initial voters have been up at the same time", "missing", strings.Join(missing, " "))
	}
	members, unreachedCount := n.options.Transport.Contacts()
	members = b.membersToAsk(members)
	request := bootstrapMessage{Round: b.StartRound(members, unreachedCount), IsRequest: true, Vote: b.Vote()}
	for _, name := range sortedUnion(members, n.options.InitialVoters) {
		if name != n.options.Name {
			n.sendJSON(name, kindBootstrap, request)
		}
	}
	n.decideBootstrap(now)
}

// membersToAsk returns those of the members that are asked in the next round.
func (b *bootstrap) membersToAsk(members []string) []string {
	if len(members) <= maxReportsPerRound {
		return members
	}
	var asked []string
	for i := range maxReportsPerRound {
		asked = append(asked, members[(b.nextMember+i)%len(members)])
	}
	b.nextMember += maxReportsPerRound
	return asked
}

// handleBootstrap answers a request for this daemon's vote and report, or records those of another daemon from an answer.
func (n *Node) handleBootstrap(now time.Duration, m transport.Message) {
	var received bootstrapMessage
	if json.Unmarshal(m.Body, &received) != nil {
		return
	}
	switch {
	case received.IsRequest && slices.Contains(n.options.InitialVoters, m.From):
		n.sendJSON(m.From, kindBootstrap, n.bootstrapAnswer(received.Round))
	case !received.IsRequest && n.bootstrap != nil:
		n.bootstrap.ReceiveVote(m.From, received.Round, received.Vote)
		if report := received.Cluster; report != nil {
			n.bootstrap.ReceiveReport(m.From, received.Round, *report)
			n.leaseClient.addVoters(report.Voters) // if this daemon does not bootstrap, it requests its lease from them
		}
		n.decideBootstrap(now)
	}
}

// bootstrapAnswer returns the answer to the request of an initial voter that bootstraps the cluster.
func (n *Node) bootstrapAnswer(round uint64) bootstrapMessage {
	answer := bootstrapMessage{Round: round, Cluster: &consensus.ClusterReport{Exists: n.knowsCluster()}}
	if answer.Cluster.Exists {
		answer.Cluster.Voters = n.leaseClient.knownVoters
	}
	switch {
	case n.bootstrapVote != nil:
		answer.Vote = *n.bootstrapVote
	case n.bootstrap != nil:
		answer.Vote = n.bootstrap.Vote()
	case n.isDiskLossLogged: // the other initial voters may still wait for this vote to learn that their disks are lost, too
		answer.Vote = consensus.BootstrapVote{DiskID: n.diskID}
	}
	return answer
}

// knowsCluster reports whether this daemon knows that the cluster was bootstrapped: it has a log, a leader has granted it a lease, it
// has a cached version, or its voter's disk is lost.
func (n *Node) knowsCluster() bool {
	return n.localVoter != nil || n.isDiskLossLogged || len(n.leaseClient.activeVoters) > 0 || len(n.cachedEntry.Voters) > 0
}

// decideBootstrap ends the bootstrap if the votes and reports allow a decision: either this daemon creates its log and starts
// its voter, or the disk on which it had created a log is lost, and it must not create another.
func (n *Node) decideBootstrap(now time.Duration) {
	diskIDs, isDiskLost := n.bootstrap.Decide(now < n.bootstrap.startedAt+clusterSearchTime)
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
