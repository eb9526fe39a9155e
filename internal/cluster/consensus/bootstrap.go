package consensus

import (
	"maps"
	"slices"
)

// Bootstrap decides whether an initial voter whose disk has no log may create one. A voter that lost its disk must not:
// it would vote again in terms in which it has voted, and two majorities could result.
//
// Each initial voter draws an id for its disk at its first start. It begins once all other initial voters have said, in
// the same round, that they have not begun, or one of them that it began with this very disk. So a fleet begins when
// all its initial voters have been up at once, and a voter that returns without its disk learns from any other that has
// begun that the disk is another. Votes count for one round only, since their senders may begin at any time; it is
// assumed that no disk is lost and its daemon back within one round.
//
// A Bootstrap is not safe for concurrent use.
type Bootstrap struct {
	round  uint64
	name   string
	diskID string
	votes  map[string]BootstrapVote // of the other initial voters; without a disk id: not received in this round
}

// BootstrapVote is what an initial voter says about its start. On the wire, "mark" is a disk's id.
type BootstrapVote struct {
	HasBegun bool              `json:"begun"` // it has created its log
	DiskID   string            `json:"mark"`  // of its own disk
	DiskIDs  map[string]string `json:"marks"` // if it has begun: the disk ids with which it did, of all initial voters by name
}

// isReceived tells a vote from the zero value that stands for a missing one.
func (v *BootstrapVote) isReceived() bool { return v.HasBegun || v.DiskID != "" }

// NewBootstrap returns the bootstrap of one of the initial voters, whose disk has an id and no log.
func NewBootstrap(name, diskID string, initialVoters []string) *Bootstrap {
	b := &Bootstrap{name: name, diskID: diskID, votes: map[string]BootstrapVote{}}
	for _, other := range initialVoters {
		if other != name {
			b.votes[other] = BootstrapVote{}
		}
	}
	return b
}

// StartRound begins a round and returns its number. All other initial voters are to be asked, and their responses to be
// passed to ReceiveVote with this number.
func (b *Bootstrap) StartRound() uint64 {
	b.round++
	for name := range b.votes {
		b.votes[name] = BootstrapVote{}
	}
	return b.round
}

// Vote returns this voter's own vote.
func (b *Bootstrap) Vote() BootstrapVote { return BootstrapVote{DiskID: b.diskID} }

// ReceiveVote records the vote of another initial voter. Votes of earlier rounds and of others are dropped.
func (b *Bootstrap) ReceiveVote(from string, round uint64, vote BootstrapVote) {
	if _, isInitial := b.votes[from]; isInitial && round == b.round && vote.isReceived() {
		b.votes[from] = vote
	}
}

// MissingVotes returns the names of the initial voters whose votes have not arrived in this round, sorted.
func (b *Bootstrap) MissingVotes() (names []string) {
	for name, vote := range b.votes {
		if !vote.isReceived() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Decide returns the disk ids, by name, with which this voter is to begin; nil: it is not decided yet. isLost means
// that this voter must never begin: others began with another disk of its name.
func (b *Bootstrap) Decide() (diskIDs map[string]string, isLost bool) {
	all := map[string]string{b.name: b.diskID}
	for name, vote := range b.votes {
		if vote.HasBegun {
			if vote.DiskIDs[b.name] != b.diskID {
				return nil, true
			}
			diskIDs = vote.DiskIDs
		}
		all[name] = vote.DiskID
	}
	switch {
	case diskIDs != nil:
		return maps.Clone(diskIDs), false
	case len(b.MissingVotes()) > 0:
		return nil, false
	}
	return all, false
}
