package consensus

import (
	"maps"
	"slices"
)

// Bootstrap decides whether a first voter whose disk has no log may begin one. One that lost its disk must not: it would vote anew
// where it has voted, and two majorities could be. Each first voter keeps a mark on its disk, drawn at its first start, and begins when it
// has heard of all others that they have not begun, or of one that it began with this very mark. So a fleet begins when all its
// first voters have been up at once; one that comes back without its disk has another mark, and is told so by any that has begun. Words are
// forgotten after a round, since they may have begun meanwhile: that a disk is lost and its daemon back within one is ruled out.
type Bootstrap struct {
	round  uint64
	name   string
	diskID string
	votes  map[string]BootstrapVote // of the other first voters; an entry without a mark: nothing yet
}

// BootstrapVote is what a first voter says of its beginning.
type BootstrapVote struct {
	Begun  bool              `json:"begun"`
	DiskID string            `json:"mark"`  // its own
	Marks  map[string]string `json:"marks"` // of all, itself included, with which it began
}

// NewBootstrap makes one for a voter with its mark, among the first ones.
func NewBootstrap(name, mark string, first []string) *Bootstrap {
	f := &Bootstrap{name: name, diskID: mark, votes: map[string]BootstrapVote{}}
	for _, other := range first {
		if other != name {
			f.votes[other] = BootstrapVote{}
		}
	}
	return f
}

// StartRound begins a round: all others are to be asked, and their answers to be heard with its number.
func (f *Bootstrap) StartRound() uint64 {
	f.round++
	for name := range f.votes {
		f.votes[name] = BootstrapVote{}
	}
	return f.round
}

// Vote is what this voter says.
func (f *Bootstrap) Vote() BootstrapVote { return BootstrapVote{DiskID: f.diskID} }

// ReceiveVote takes another's answer to a round.
func (f *Bootstrap) ReceiveVote(from string, round uint64, w BootstrapVote) {
	if _, first := f.votes[from]; first && round == f.round && (w.Begun || w.DiskID != "") {
		f.votes[from] = w
	}
}

// MissingVotes are those that have said nothing yet.
func (f *Bootstrap) MissingVotes() (names []string) {
	for name, w := range f.votes {
		if !w.Begun && w.DiskID == "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Decision says with which marks this voter is to begin; nil: not yet. Lost: it never is, for others began with one of its name whose
// disk this is not.
func (f *Bootstrap) Decision() (marks map[string]string, lost bool) {
	all := map[string]string{f.name: f.diskID}
	for name, w := range f.votes {
		switch {
		case w.Begun && w.Marks[f.name] != f.diskID:
			return nil, true
		case w.Begun:
			marks = w.Marks
		}
		all[name] = w.DiskID
	}
	switch {
	case marks != nil:
		return maps.Clone(marks), false
	case len(f.MissingVotes()) > 0:
		return nil, false
	}
	return all, false
}
