package consensus

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// The voters change in two steps. A command assigns or removes a voter slot; there is at most one such change in
// progress. The leader then carries it over into raft's configuration (reconfiguration.go). The id of a slot is never
// assigned twice: a daemon that returns with an empty disk becomes another voter, so that nothing that the one before
// has acknowledged is lost unnoticed.
//
// A slot is bound to one disk. The log has the disk's id before raft's configuration names the new voter, and the new
// voter starts only when a leader, confirmed by a majority, says so for this very disk. A daemon whose disk was lost
// has another id and stays away: raft may count on what was on the lost disk.

// MaxVoters is the greatest number of voter slots.
const MaxVoters = 7

// VoterChange assigns a voter slot to a daemon, or removes it.
type VoterChange struct {
	Name   string `json:"name"`          // of the daemon
	Remove bool   `json:"out,omitempty"` // its slot is removed
}

// SlotClaim binds a voter slot to the disk of its daemon. On the wire and in the log, "seat" is the slot's id and
// "mark" the disk's.
type SlotClaim struct {
	VoterID uint64 `json:"seat"`
	DiskID  string `json:"mark"`
}

// VoterID returns the raft id of the slot of a daemon, whether or not it votes yet; 0: it has no slot.
func (s *State) VoterID(name string) uint64 {
	for id, holder := range s.VoterSlots {
		if holder == name {
			return id
		}
	}
	return 0
}

// VoterName returns the name of the daemon that has a raft id, including one that is about to leave; empty: the id is
// not in use.
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

// setInitialVoters assigns slots to the initial voters, which vote at once. Their ids are 1, 2, ... in the order of
// their names.
func (s *State) setInitialVoters(names []string) {
	s.VoterSlots, s.ActiveVoters, s.LastVoterID = map[uint64]string{}, map[uint64]bool{}, uint64(len(names))
	s.InitialVoters = slices.Sorted(slices.Values(names))
	for i, name := range s.InitialVoters {
		id := uint64(i + 1)
		s.VoterSlots[id], s.ActiveVoters[id] = name, true
	}
}

func (s *State) applyVoterChange(c *VoterChange) (CommandResult, error) {
	id := s.VoterID(c.Name)
	hasSlot := id != 0
	if hasSlot != c.Remove {
		return CommandResult{Version: s.Version, Unchanged: true}, nil
	}
	isUnstarted := c.Remove && !s.ActiveVoters[id] // its slot may be withdrawn at any time: raft counts on nothing of it
	if !isUnstarted {
		if err := s.checkVoterChange(c); err != nil {
			return CommandResult{}, err
		}
	}
	s.VoterSlots = maps.Clone(s.VoterSlots)
	if c.Remove {
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

// checkVoterChange returns why a change can't be made now.
func (s *State) checkVoterChange(c *VoterChange) error {
	switch reason := s.changeInProgress(); {
	case reason != "":
		return fmt.Errorf("%w: %s", ErrMembershipUnchanged, reason)
	case c.Remove && len(s.VoterSlots) == 1:
		return fmt.Errorf("%w: %s is the last", ErrMembershipUnchanged, c.Name)
	case !c.Remove && len(s.VoterSlots) >= MaxVoters:
		return fmt.Errorf("%w: there are %d already", ErrMembershipUnchanged, MaxVoters)
	}
	return nil
}

// changeInProgress describes the change of voters that raft's configuration does not have yet; empty: there is none.
func (s *State) changeInProgress() string {
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

// applySlotClaim binds a slot whose voter is not active to a disk. The first claim stands.
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

// VoterAction is what a daemon has to do about its voter after a grant.
type VoterAction int

// The actions.
const (
	KeepVoterRole VoterAction = iota // nothing changes
	StopVoter                        // the daemon's slot was removed: its voter ends
	StartVoter                       // the daemon starts the voter whose id the grant has
	VoterDiskLost                    // the daemon's slot is bound to another disk than it has: it must not vote
)

// VoterAction returns what the daemon that received the grant has to do. voterID is the id of the voter that it runs, 0
// for none. A voter whose slot was removed continues until raft's configuration drops it, since a majority may need its
// vote.
func (g *LeaseGrant) VoterAction(name string, voterID uint64) VoterAction {
	switch {
	case voterID != 0 && g.VoterID != voterID && !slices.Contains(g.ActiveVoters, name):
		return StopVoter
	case voterID == 0 && g.MayStartVoter:
		return StartVoter
	case voterID == 0 && g.DiskLost:
		return VoterDiskLost
	}
	return KeepVoterRole
}
