package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
)

// maxRecentResults bounds the commands whose duplicates are recognized. A requester retries within seconds, in which
// far fewer commands are committed.
const maxRecentResults = 1024

// State is what the commands of the log have produced. It depends on nothing else: voters that have applied the same
// commands have equal States. The names in JSON are those of stored snapshots.
type State struct {
	Version       uint64              `json:"version"` // of the latest change
	Pending       uint64              `json:"coming"`  // the pending version, to be activated next; equal to Active: none
	Active        uint64              `json:"active"`  // on which daemons act
	Forced        uint64              `json:"forced"`  // up to this one versions are activated although daemons reject them
	Docs          map[string]Document `json:"docs"`    // as of Version; never modified once handed out
	PendingDocs   map[string]Document `json:"next"`    // as of the pending version; never modified
	ActiveDocs    map[string]Document `json:"acted"`   // as of Active; never modified
	History       []HistoryEntry      `json:"history"` // oldest first, at most maxHistoryEntries
	RetainedDocs  []Document          `json:"kept"`    // replaced or removed ones, to read or revert to; oldest first
	RecentResults []recentResult      `json:"ids"`     // of commands with an ID, oldest first, at most maxRecentResults

	VoterSlots      map[uint64]string `json:"seats"`     // voter slots: names by raft id; never modified once handed out
	ActiveVoters    map[uint64]bool   `json:"sitting"`   // the ids that vote in raft's configuration
	DepartingVoters map[uint64]string `json:"leaving"`   // without a slot, voting until raft's configuration drops them
	DiskIDs         map[uint64]string `json:"marks"`     // of slots whose voter is not active yet; set once
	LastVoterID     uint64            `json:"last_seat"` // the highest id assigned so far: ids are not reused
	InitialVoters   []string          `json:"first"`     // sorted
}

// recentResult is the result of a command, by the command's ID.
type recentResult struct {
	ID string `json:"id"`
	CommandResult
}

// NewState returns the State before the first command.
func NewState() *State {
	return &State{
		Docs:        map[string]Document{},
		PendingDocs: map[string]Document{},
		ActiveDocs:  map[string]Document{},
	}
}

// Apply applies an encoded command of the log. On an error nothing has changed.
func (s *State) Apply(entry []byte) (CommandResult, error) {
	_, result, err := s.applyEncoded(entry)
	return result, err
}

// applyEncoded is Apply that also returns the command's ID, so that a long command is decoded once.
func (s *State) applyEncoded(entry []byte) (id string, _ CommandResult, _ error) {
	var command Command
	if err := json.Unmarshal(entry, &command); err != nil {
		return "", CommandResult{}, fmt.Errorf("decode command: %w", err)
	}
	result, err := s.applyCommand(&command)
	return command.ID, result, err
}

func (s *State) applyCommand(c *Command) (CommandResult, error) {
	switch {
	case c.Format > commandFormat:
		return CommandResult{}, ErrUnknownCommand
	case c.Activate > 0:
		return s.applyActivate(c.Activate), nil
	case c.Skip > 0:
		return s.applySkip(c.Skip), nil
	case c.Force > 0:
		return s.applyForce(c.Force)
	case c.ChangeVoter != nil:
		return s.applyVoterChange(c.ChangeVoter)
	case c.ClaimSlot != nil:
		return s.applySlotClaim(c.ClaimSlot), nil
	case c.Read != nil:
		return s.readDocument(c.Read)
	}
	return s.applyDocumentChange(c)
}

// applyActivate makes the pending version the active one. A duplicate has no effect.
func (s *State) applyActivate(version uint64) CommandResult {
	if version == s.Pending && s.Active < s.Pending {
		s.Active, s.ActiveDocs = s.Pending, s.PendingDocs
		s.setPending()
	}
	return CommandResult{Version: s.Active}
}

// applySkip replaces the pending version by the latest one, unless it was forced.
func (s *State) applySkip(version uint64) CommandResult {
	if version == s.Pending && s.Active < s.Pending && s.Forced < s.Pending {
		s.setPending()
	}
	return CommandResult{Version: s.Pending}
}

// applyForce has the pending version activated although some daemons reject it.
func (s *State) applyForce(version uint64) (CommandResult, error) {
	if version != s.Pending || s.Active == s.Pending {
		return CommandResult{}, fmt.Errorf("%w: %d", ErrVersionNotPending, version)
	}
	s.Forced = version
	return CommandResult{Version: version}, nil
}

// setPending makes the latest version the pending one.
func (s *State) setPending() { s.Pending, s.PendingDocs = s.Version, s.Docs }

// hasPending tells whether a version waits for its activation.
func (s *State) hasPending() bool { return s.Pending > s.Active }

// rememberResult records the result of a command with an ID, for its duplicates, and returns it.
func (s *State) rememberResult(id string, result CommandResult) CommandResult {
	if id != "" {
		s.RecentResults = lastN(append(s.RecentResults, recentResult{id, result}), maxRecentResults)
	}
	return result
}

// duplicateResult returns the result of a command that was applied before, if it is still known.
func (s *State) duplicateResult(id string) (CommandResult, bool) {
	if id == "" {
		return CommandResult{}, false
	}
	i := slices.IndexFunc(s.RecentResults, func(r recentResult) bool { return r.ID == id })
	if i < 0 {
		return CommandResult{}, false
	}
	return s.RecentResults[i].CommandResult, true
}

// lastN returns the last n elements of a list, in a list of their own if there are more.
func lastN[T any](list []T, n int) []T {
	if len(list) > n {
		return slices.Clone(list[len(list)-n:])
	}
	return list
}
