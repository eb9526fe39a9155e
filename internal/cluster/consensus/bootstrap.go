package consensus

import (
	"maps"
	"slices"
)

// Bootstrap decides whether an initial voter whose disk has no log may create one. A voter that lost its disk must not
// create a log again: it could vote a second time in a term in which it has already voted, and two majorities could result.
//
// Each initial voter draws an id for its disk at its first start. It creates its log ("begins") once either all other
// initial voters have reported in the same round that they have not begun, or one of them has reported that it began
// with this voter's present disk id. So a cluster begins when all its initial voters have been up at once. A voter that
// returns with an empty disk, and hence a new disk id, learns from any voter that has begun that its old disk is lost.
// A report (BootstrapVote) counts for one round only, since its sender may begin at any time; it is assumed that a daemon
// does not lose its disk and restart within one round.
//
// The initial voters may all have been replaced since, so they are not the only ones that are asked: every other daemon
// reports whether it knows that the cluster exists (ClusterReport). An initial voter creates no log while it waits for
// these reports. If the cluster exists and no initial voter has begun, the disk on which this voter had begun is lost.
// That the cluster exists stays known in later rounds. The conclusion is drawn only in a later round than the report,
// since the votes of the same round may be older than the cluster.
//
// A Bootstrap is not safe for concurrent use.
type Bootstrap struct {
	round          uint64                   // number of the current round of vote requests; 0: none was started
	name           string                   // name of this initial voter
	diskID         string                   // id of this voter's present disk
	votes          map[string]BootstrapVote // vote of each other initial voter in the current round, by its name; zero value: not received
	missingReports map[string]bool          // names of the other daemons whose ClusterReport has not arrived in the current round
	unreachedCount int                      // number of daemons with which the caller had no contact yet when the current round began
	clusterExists  bool                     // whether a daemon has reported, in any round, that the cluster exists
	existsSince    uint64                   // round of the first report that the cluster exists
}

// ClusterReport is a daemon's report on whether its cluster was bootstrapped.
type ClusterReport struct {
	Exists bool     `json:"exists"`           // whether the daemon has a log of the cluster, or had a lease or a cached version of it
	Voters []string `json:"voters,omitempty"` // names of the voters that the daemon knows; empty unless Exists
}

// BootstrapVote is an initial voter's report on whether it has created its log, and on which disk.
type BootstrapVote struct {
	HasBegun bool              `json:"begun"` // whether the voter has created its log
	DiskID   string            `json:"mark"`  // id of the voter's disk; may be empty if HasBegun
	DiskIDs  map[string]string `json:"marks"` // disk ids of all initial voters, by name, when the voter created its log; nil unless HasBegun
}

// isReceived reports whether the vote has arrived; the zero BootstrapVote stands for a vote that has not.
func (v *BootstrapVote) isReceived() bool { return v.HasBegun || v.DiskID != "" }

// NewBootstrap returns the Bootstrap of the initial voter with the given name, whose disk has the id diskID but no log.
func NewBootstrap(name, diskID string, initialVoters []string) *Bootstrap {
	b := &Bootstrap{name: name, diskID: diskID, votes: map[string]BootstrapVote{}}
	for _, other := range initialVoters {
		if other != name {
			b.votes[other] = BootstrapVote{}
		}
	}
	return b
}

// StartRound begins a round of requests and returns its number. members are the names of the other daemons of which the caller
// knows, and unreachedCount is the number of daemons that it could not contact yet. The caller requests the votes of all other
// initial voters and the reports of all members, and passes them to ReceiveVote and ReceiveReport with the returned number.
func (b *Bootstrap) StartRound(members []string, unreachedCount int) uint64 {
	b.round++
	b.unreachedCount = unreachedCount
	for name := range b.votes {
		b.votes[name] = BootstrapVote{}
	}
	b.missingReports = map[string]bool{}
	for _, name := range members {
		b.missingReports[name] = true
	}
	return b.round
}

// ReceiveReport records the report of a daemon on whether the cluster exists. A report that it does not exist counts for its
// round only.
func (b *Bootstrap) ReceiveReport(from string, round uint64, report ClusterReport) {
	if report.Exists {
		b.SetClusterExists()
	}
	if round == b.round {
		delete(b.missingReports, from)
	}
}

// SetClusterExists records that the cluster exists, according to a daemon's report or to what this daemon itself knows.
func (b *Bootstrap) SetClusterExists() {
	if !b.clusterExists {
		b.clusterExists, b.existsSince = true, b.round
	}
}

// Vote returns the vote of this voter, which has not created its log.
func (b *Bootstrap) Vote() BootstrapVote { return BootstrapVote{DiskID: b.diskID} }

// ReceiveVote records the vote of another initial voter. It drops votes of earlier rounds, and votes of daemons that are
// not initial voters.
func (b *Bootstrap) ReceiveVote(from string, round uint64, vote BootstrapVote) {
	if _, isInitial := b.votes[from]; isInitial && round == b.round && vote.isReceived() {
		b.votes[from] = vote
	}
}

// MissingVotes returns the names of the initial voters whose votes have not arrived in the current round, sorted.
func (b *Bootstrap) MissingVotes() (names []string) {
	for name, vote := range b.votes {
		if !vote.isReceived() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Decide returns the disk ids of all initial voters, by name, if this voter may create its log now, and else nil.
// isDiskLost means that this voter must never create a log: another initial voter created its log when this voter had
// another disk, which is lost, or the cluster exists though no initial voter has a log. With awaitsReports, Decide returns nil
// while a daemon is not reached or its report is missing, unless an initial voter has begun.
func (b *Bootstrap) Decide(awaitsReports bool) (diskIDs map[string]string, isDiskLost bool) {
	votedDiskIDs := map[string]string{b.name: b.diskID}
	for name, vote := range b.votes {
		if vote.HasBegun {
			if vote.DiskIDs[b.name] != b.diskID {
				return nil, true
			}
			diskIDs = vote.DiskIDs
		}
		votedDiskIDs[name] = vote.DiskID
	}
	switch {
	case diskIDs != nil:
		return maps.Clone(diskIDs), false
	case len(b.MissingVotes()) > 0:
		return nil, false
	case b.clusterExists:
		return nil, b.round > b.existsSince
	case awaitsReports && len(b.missingReports)+b.unreachedCount > 0:
		return nil, false
	}
	return votedDiskIDs, false
}
