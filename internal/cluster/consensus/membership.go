package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// The voters change in two steps. A command assigns or removes a voter slot; there is at most one such change in
// progress. The leader then changes raft's configuration accordingly (reconfiguration.go). The raft id of a slot is
// never assigned twice: a daemon that returns with an empty disk becomes a voter with another id. Under the old id,
// raft would still count on the entries and votes that the voter acknowledged and lost.
//
// A slot is bound to one disk, by an id that the daemon draws for the disk. The log has the disk id before raft's
// configuration names the new voter, and the new voter starts only when a leader, confirmed by a majority, permits it
// for this disk. A daemon whose disk was lost has another disk id and must not start the voter, since raft may count on
// what was on the lost disk.

// MaxVoters is the greatest number of voter slots.
const MaxVoters = 7

// VoterChange assigns a voter slot to a daemon, or removes the daemon's slot.
type VoterChange struct {
	Name      string `json:"name"`          // name of the daemon whose slot is assigned or removed
	IsRemoval bool   `json:"out,omitempty"` // whether the daemon's slot is removed; false: a slot is assigned to the daemon
}

// SlotClaim binds a voter slot to the disk of its daemon.
type SlotClaim struct {
	VoterID uint64 `json:"seat"` // raft id of the voter slot to be bound
	DiskID  string `json:"mark"` // id of the disk to which the slot is to be bound
}

// VoterID returns the raft id of a daemon's voter slot, whether or not the slot's voter is active. It returns 0 if the
// daemon has no slot.
func (s *State) VoterID(name string) uint64 {
	for id, holder := range s.VoterSlots {
		if holder == name {
			return id
		}
	}
	return 0
}

// VoterName returns the name of the daemon whose voter has the given raft id, also if the voter has lost its slot but is
// still in raft's configuration (DepartingVoters). The name is empty if no voter has the id.
func (s *State) VoterName(id uint64) string { return cmp.Or(s.VoterSlots[id], s.DepartingVoters[id]) }

// Voters returns the names of all daemons with a voter slot, sorted.
func (s *State) Voters() []string { return slices.Sorted(maps.Values(s.VoterSlots)) }

// activeVoterNames returns the names of the daemons that vote in raft's configuration, sorted.
func (s *State) activeVoterNames() (names []string) {
	for id := range s.ActiveVoters {
		names = append(names, s.VoterName(id))
	}
	slices.Sort(names)
	return names
}

// setInitialVoters assigns slots to the initial voters, which are active from the start. Their ids are 1, 2, ... in the
// order of their names.
func (s *State) setInitialVoters(names []string) {
	s.VoterSlots, s.ActiveVoters, s.LastVoterID = map[uint64]string{}, map[uint64]bool{}, uint64(len(names))
	s.InitialVoters = slices.Sorted(slices.Values(names))
	for i, name := range s.InitialVoters {
		id := uint64(i + 1)
		s.VoterSlots[id], s.ActiveVoters[id] = name, true
	}
}

// applyVoterChange assigns a voter slot to a daemon, or removes the daemon's slot. A change that has been made already
// has no effect.
func (s *State) applyVoterChange(c *VoterChange) (CommandResult, error) {
	id := s.VoterID(c.Name)
	hasSlot := id != 0
	if hasSlot != c.IsRemoval {
		return CommandResult{Version: s.Version, Unchanged: true}, nil
	}
	// A slot whose voter is not active may be removed at any time: raft does not count on its voter.
	removesInactiveVoter := c.IsRemoval && !s.ActiveVoters[id]
	if !removesInactiveVoter {
		if err := s.checkVoterChange(c); err != nil {
			return CommandResult{}, err
		}
	}
	s.VoterSlots = maps.Clone(s.VoterSlots)
	if c.IsRemoval {
		s.DepartingVoters = map[uint64]string{}
		if s.ActiveVoters[id] {
			s.DepartingVoters[id] = c.Name
		}
		delete(s.VoterSlots, id)
		s.DiskIDs = maps.Clone(s.DiskIDs)
		delete(s.DiskIDs, id)
	} else {
		s.LastVoterID++
		s.VoterSlots[s.LastVoterID] = c.Name
	}
	return CommandResult{Version: s.Version}, nil
}

// checkVoterChange returns an error that says why a change of the voters can't be made now, or nil if it can be made.
func (s *State) checkVoterChange(c *VoterChange) error {
	switch reason := s.voterChangeInProgress(); {
	case reason != "":
		return fmt.Errorf("%w: %s", ErrVoterChangeRejected, reason)
	case c.IsRemoval && len(s.VoterSlots) == 1:
		return fmt.Errorf("%w: %s is the last", ErrVoterChangeRejected, c.Name)
	case !c.IsRemoval && len(s.VoterSlots) >= MaxVoters:
		return fmt.Errorf("%w: there are %d already", ErrVoterChangeRejected, MaxVoters)
	}
	return nil
}

// voterChangeInProgress describes the change of voters that raft's configuration does not have yet. It is empty if there is
// none. The texts are part of responses to operators and must not change: a new voter "has yet to learn" while it
// receives the log, and a removed voter "has yet to leave".
func (s *State) voterChangeInProgress() string {
	for id, name := range s.VoterSlots {
		if !s.ActiveVoters[id] {
			return name + " has yet to learn what is agreed on"
		}
	}
	for _, name := range s.DepartingVoters {
		return name + " has yet to leave"
	}
	return ""
}

// applySlotClaim binds a slot whose voter is not active to a disk. Only the first claim of a slot has an effect.
func (s *State) applySlotClaim(c *SlotClaim) CommandResult {
	if s.VoterSlots[c.VoterID] == "" || s.ActiveVoters[c.VoterID] || s.DiskIDs[c.VoterID] != "" {
		return CommandResult{Version: s.Version, Unchanged: true}
	}
	s.DiskIDs = maps.Clone(s.DiskIDs)
	if s.DiskIDs == nil {
		s.DiskIDs = map[uint64]string{}
	}
	s.DiskIDs[c.VoterID] = c.DiskID
	return CommandResult{Version: s.Version}
}

// VoterAction is what a daemon has to do with its own voter after a grant.
type VoterAction int

// Actions that a grant can require of the daemon that receives it.
const (
	KeepVoterRole VoterAction = iota // the daemon changes nothing: it continues to run its voter, or to run none
	StopVoter                        // the daemon stops its voter, whose slot was removed
	StartVoter                       // the daemon starts the voter that has LeaseGrant.VoterID
	VoterDiskLost                    // the daemon must not vote: its voter slot is bound to another disk than the one that the daemon has
)

// VoterAction returns what the daemon has to do with its voter when it receives a grant. voterID is the raft id of the voter that the
// daemon runs; 0: it runs none. A voter whose slot was removed continues until raft's configuration drops it, since a majority
// may need its vote. A grant that does not answer the latest request changes nothing: it may have been delayed, and be older
// than the voter slot.
func (h *LeaseHolder) VoterAction(g *LeaseGrant, voterID uint64) VoterAction {
	switch {
	case g.Seq != h.seq:
		return KeepVoterRole
	case voterID != 0 && g.VoterID != voterID && !slices.Contains(g.ActiveVoters, h.name):
		return StopVoter
	case voterID == 0 && g.MayStartVoter:
		return StartVoter
	case voterID == 0 && g.DiskLost:
		return VoterDiskLost
	}
	return KeepVoterRole
}
