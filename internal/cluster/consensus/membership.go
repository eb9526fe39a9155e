package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// A change of voters is two steps. A command says who is to vote (State.Seats); no two such commands are under way at once. Whoever
// leads then brings raft's own configuration there, one change at a time: who is new learns the log first, and votes when it has
// it; a leader whose own seat is gone hands the lead on first. Ids are never given twice: who comes back with an empty disk is
// another voter, and what the one before has promised stays promised.

// Who is new takes its seat with one disk alone: the log has that disk's mark before raft hears of the newcomer, and the newcomer
// begins when a leader, confirmed by a majority, has told it so. One whose disk is lost has another mark, and stays away: what raft
// counts on of it may be gone.

// SlotClaim is the mark of the disk with which a seat is taken.
type SlotClaim struct {
	VoterID uint64 `json:"seat"`
	DiskID  string `json:"mark"`
}

// MaxVoters is how many may vote.
const MaxVoters = 7

// VoterChange has a daemon vote, or no longer.
type VoterChange struct {
	Name string `json:"name"`
	Out  bool   `json:"out,omitempty"`
}

// ErrMembershipUnchanged is why the voters stay as they are.
var ErrMembershipUnchanged = errors.New("the voters stay as they are")

// setInitialVoters gives the first voters their seats.
func (s *State) setInitialVoters(names []string) {
	s.Seats, s.Sitting, s.LastVoterID = map[uint64]string{}, map[uint64]bool{}, uint64(len(names))
	s.InitialVoters = slices.Sorted(slices.Values(names))
	for i, name := range s.InitialVoters {
		s.Seats[uint64(i+1)], s.Sitting[uint64(i+1)] = name, true
	}
}

// VoterID is the id of a voter that is, or is to be; 0: there is none of this name.
func (s *State) VoterID(name string) uint64 {
	for id, n := range s.Seats {
		if n == name {
			return id
		}
	}
	return 0
}

// VoterName is the name of a voter, one that is about to leave included; empty: there is none of this id.
func (s *State) VoterName(id uint64) string { return cmp.Or(s.Seats[id], s.Leaving[id]) }

// Voters are the names of those who are to vote, in order.
func (s *State) Voters() []string { return slices.Sorted(maps.Values(s.Seats)) }

// activeVoterNames are the names of those who vote.
func (s *State) activeVoterNames() (names []string) {
	for id := range s.Sitting {
		names = append(names, s.VoterName(id))
	}
	slices.Sort(names)
	return names
}

func (s *State) applyVoterChange(c *VoterChange) (CommandResult, error) {
	id := s.VoterID(c.Name)
	switch {
	case (id == 0) == c.Out:
		return CommandResult{Version: s.Version, Same: true}, nil
	case c.Out && !s.Sitting[id]: // it never came
	case s.membershipChangeInProgress() != "":
		return CommandResult{}, fmt.Errorf("%w: %s", ErrMembershipUnchanged, s.membershipChangeInProgress())
	case c.Out && len(s.Seats) == 1:
		return CommandResult{}, fmt.Errorf("%w: %s is the last", ErrMembershipUnchanged, c.Name)
	case !c.Out && len(s.Seats) >= MaxVoters:
		return CommandResult{}, fmt.Errorf("%w: there are %d already", ErrMembershipUnchanged, MaxVoters)
	}
	s.Seats = maps.Clone(s.Seats)
	if c.Out {
		s.Leaving = map[uint64]string{}
		if s.Sitting[id] {
			s.Leaving[id] = c.Name
		}
		delete(s.Seats, id)
		s.DiskIDs = maps.Clone(s.DiskIDs)
		delete(s.DiskIDs, id)
	} else {
		s.LastVoterID++
		s.Seats[s.LastVoterID] = c.Name
	}
	return CommandResult{Version: s.Version}, nil
}

// applySlotClaim sets the mark of a seat that nobody has taken; the first one stays.
func (s *State) applySlotClaim(m *SlotClaim) CommandResult {
	same := s.Seats[m.VoterID] == "" || s.Sitting[m.VoterID] || s.DiskIDs[m.VoterID] != ""
	if !same {
		s.DiskIDs = maps.Clone(s.DiskIDs)
		if s.DiskIDs == nil {
			s.DiskIDs = map[uint64]string{}
		}
		s.DiskIDs[m.VoterID] = m.DiskID
	}
	return CommandResult{Version: s.Version, Same: same}
}

// addSlotStatus tells a daemon of its seat, and whether it may take that now.
func (v *Voter) addSlotStatus(r *LeaseRequest, g *LeaseGrant) {
	g.Seat = v.state.VoterID(r.Daemon)
	if g.Seat == 0 || v.state.Sitting[g.Seat] || r.Mark == "" {
		g.DiskLost = g.Seat != 0 && r.Mark != ""
		return
	}
	switch v.state.DiskIDs[g.Seat] {
	case "":
		_ = v.Propose(&Command{ClaimSlot: &SlotClaim{g.Seat, r.Mark}}) // it asks again
	case r.Mark:
		g.MayStartVoter, g.First = true, v.state.InitialVoters
	default:
		g.DiskLost = true
	}
}

// VoterAction is what a daemon does about its seat.
type VoterAction int

// The moves.
const (
	KeepVoterRole VoterAction = iota
	StopVoter                 // its seat was taken out
	StartVoter                // it takes Grant.Seat
	VoterDiskLost             // its seat was taken with another disk than it has
)

// VoterAction tells what a daemon does that has this seat, 0 for none, when it is told so by a leader that a majority has confirmed. One
// that is to leave votes until raft's configuration says otherwise: a majority may need it.
func (g *LeaseGrant) VoterAction(name string, seat uint64) VoterAction {
	switch {
	case seat != 0 && g.Seat != seat && !slices.Contains(g.Sitting, name):
		return StopVoter
	case seat == 0 && g.MayStartVoter:
		return StartVoter
	case seat == 0 && g.DiskLost:
		return VoterDiskLost
	}
	return KeepVoterRole
}

// membershipChangeInProgress says which change of voters is under way; empty: none.
func (s *State) membershipChangeInProgress() string {
	for id, name := range s.Seats {
		if !s.Sitting[id] {
			return name + " has yet to learn what is agreed on"
		}
	}
	for _, name := range s.Leaving {
		return name + " has yet to leave"
	}
	return ""
}

// applyConfChange applies a change of raft's configuration.
func (v *Voter) applyConfChange(e *raftpb.Entry) {
	cc := &raftpb.ConfChange{}
	if err := proto.Unmarshal(e.GetData(), cc); err != nil {
		panic(fmt.Sprintf("an entry of raft's own: %v", err)) // which was checked by its digest
	}
	v.confState = v.rawNode.ApplyConfChange(cc)
	v.needsLearnerSnapshot = v.needsLearnerSnapshot || cc.GetType() == raftpb.ConfChangeType_ConfChangeAddLearnerNode
	sitting := map[uint64]bool{}
	for _, id := range v.confState.GetVoters() {
		sitting[id] = true
	}
	v.state.Sitting, v.state.Leaving = sitting, maps.Clone(v.state.Leaving)
	maps.DeleteFunc(v.state.Leaving, func(id uint64, _ string) bool { return !sitting[id] })
}

// reconcileVoters brings raft's configuration a step nearer to the seats. raft itself drops a change while another is not yet applied.
func (v *Voter) reconcileVoters() {
	if v.leaseManager == nil {
		return
	}
	learners := map[uint64]bool{}
	var ready uint64
	last, _ := v.storage.LastIndex()
	v.rawNode.WithProgress(func(id uint64, kind raft.ProgressType, p tracker.Progress) {
		if kind == raft.ProgressTypeLearner {
			if learners[id] = true; p.RecentActive && p.Match+maxLearnerLag >= last {
				ready = id
			}
		}
	})
	for id := range v.state.Seats {
		if !v.state.Sitting[id] && !learners[id] && v.state.DiskIDs[id] != "" {
			v.proposeConfChange(raftpb.ConfChangeType_ConfChangeAddLearnerNode, id)
			return
		}
	}
	if v.state.Seats[ready] != "" {
		v.proposeConfChange(raftpb.ConfChangeType_ConfChangeAddNode, ready)
		return
	}
	for _, ids := range []map[uint64]bool{learners, v.state.Sitting} {
		for id := range ids {
			if v.state.Seats[id] == "" {
				v.removeVoter(id)
				return
			}
		}
	}
}

// maxLearnerLag is by how many entries a learner may be behind that is to vote: it gets them with the next messages.
const maxLearnerLag = 16

func (v *Voter) removeVoter(id uint64) {
	if id != v.config.ID {
		v.proposeConfChange(raftpb.ConfChangeType_ConfChangeRemoveNode, id)
		return
	}
	for other := range v.state.Seats {
		if v.state.Sitting[other] {
			v.rawNode.TransferLeader(other)
			return
		}
	}
}

func (v *Voter) proposeConfChange(kind raftpb.ConfChangeType, id uint64) {
	_ = v.rawNode.ProposeConfChange(&raftpb.ConfChange{Type: kind.Enum(), NodeId: &id}) // dropped, it is proposed again
}

// IsLearner tells whether this voter does not vote yet.
func (v *Voter) IsLearner() bool { return !v.state.Sitting[v.config.ID] }

// encodeInitialState is what the first snapshot holds.
func encodeInitialState(names []string) []byte {
	s := NewState()
	s.setInitialVoters(names)
	b, err := s.Encode()
	if err != nil {
		panic(err)
	}
	return b
}
