package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
)

// maxRecentResults bounds the number of commands whose duplicates are recognized. A requester retries within seconds,
// in which far fewer commands are committed.
const maxRecentResults = 1024

// State is the result of the commands in the log. It depends on nothing else: voters that have applied the same commands
// have equal States. The JSON names are stored in snapshots and must not change. The maps are replaced and never
// modified, so that callers may keep them.
type State struct {
	Version        uint64              `json:"version"` // latest version of the documents; 0: no document was ever written
	PendingVersion uint64              `json:"coming"`  // version to be activated next; equal to ActiveVersion if no version is pending
	ActiveVersion  uint64              `json:"active"`  // version on which the daemons act; 0: none was activated yet
	ForcedVersion  uint64              `json:"forced"`  // latest version that operators forced to be activated even if daemons reject it; 0: none
	Docs           map[string]Document `json:"docs"`    // documents of Version, by name
	PendingDocs    map[string]Document `json:"next"`    // documents of the pending version, by name
	ActiveDocs     map[string]Document `json:"acted"`   // documents of the active version, by name
	History        []HistoryEntry      `json:"history"` // latest changes, oldest first, at most maxHistoryEntries
	RetainedDocs   []Document          `json:"kept"`    // replaced or removed documents that can be read or reverted to, oldest first
	RecentResults  []recentResult      `json:"ids"`     // results of commands with an ID, oldest first, at most maxRecentResults

	VoterSlots      map[uint64]string `json:"seats"`     // names of the daemons with a voter slot, by raft id
	ActiveVoters    map[uint64]bool   `json:"sitting"`   // raft ids of the voters in raft's configuration, without learners
	DepartingVoters map[uint64]string `json:"leaving"`   // names, by raft id, of voters without a slot that raft has yet to drop
	DiskIDs         map[uint64]string `json:"marks"`     // id of the disk to which a voter slot is bound, by raft id; set once, before the slot's voter is active
	LastVoterID     uint64            `json:"last_seat"` // highest raft id assigned so far; a raft id is never assigned twice
	InitialVoters   []string          `json:"first"`     // names of the cluster's initial voters, sorted
}

// recentResult is the result of a command that had an ID, with which the command's duplicates are answered.
type recentResult struct {
	ID string `json:"id"` // ID of the command that had this result
	CommandResult
}

// NewState returns the empty State to which the first command of a log is applied.
func NewState() *State {
	return &State{
		Docs:        map[string]Document{},
		PendingDocs: map[string]Document{},
		ActiveDocs:  map[string]Document{},
	}
}

// Apply applies an encoded command of the log. If it returns an error, the State is unchanged.
func (s *State) Apply(entry []byte) (CommandResult, error) {
	_, result, err := s.applyEncoded(entry)
	return result, err
}

// applyEncoded applies an encoded command of the log, as Apply does, and also returns the command's ID, so that callers
// need not decode a long command a second time.
func (s *State) applyEncoded(entry []byte) (id string, _ CommandResult, _ error) {
	var command Command
	if err := json.Unmarshal(entry, &command); err != nil {
		return "", CommandResult{}, fmt.Errorf("decode command: %w", err)
	}
	result, err := s.applyCommand(&command)
	return command.ID, result, err
}

// applyCommand applies a command according to which of its fields is set.
func (s *State) applyCommand(c *Command) (CommandResult, error) {
	switch {
	case c.Format > commandFormat:
		return CommandResult{}, ErrUnknownCommand
	case c.ActivateVersion > 0:
		return s.applyActivate(c.ActivateVersion), nil
	case c.SkipVersion > 0:
		return s.applySkip(c.SkipVersion), nil
	case c.ForceVersion > 0:
		return s.applyForce(c.ForceVersion)
	case c.ChangeVoter != nil:
		return s.applyVoterChange(c.ChangeVoter)
	case c.ClaimSlot != nil:
		return s.applySlotClaim(c.ClaimSlot), nil
	case c.Read != nil:
		return s.readDocument(c.Read)
	}
	return s.applyDocumentChange(c)
}

// applyActivate makes the pending version the active version. It has no effect if that version is not pending any more.
func (s *State) applyActivate(version uint64) CommandResult {
	if version == s.PendingVersion && s.ActiveVersion < s.PendingVersion {
		s.ActiveVersion, s.ActiveDocs = s.PendingVersion, s.PendingDocs
		s.makeLatestPending()
	}
	return CommandResult{Version: s.ActiveVersion}
}

// applySkip makes the latest version the pending version in place of the given version, unless operators have forced
// the given version to be activated. It has no effect if the given version is not pending any more.
func (s *State) applySkip(version uint64) CommandResult {
	if version == s.PendingVersion && s.ActiveVersion < s.PendingVersion && s.ForcedVersion < s.PendingVersion {
		s.makeLatestPending()
	}
	return CommandResult{Version: s.PendingVersion}
}

// applyForce records that the pending version is to be activated even if some daemons reject it.
func (s *State) applyForce(version uint64) (CommandResult, error) {
	if version != s.PendingVersion || s.ActiveVersion == s.PendingVersion {
		return CommandResult{}, fmt.Errorf("%w: %d", ErrVersionNotPending, version)
	}
	s.ForcedVersion = version
	return CommandResult{Version: version}, nil
}

// makeLatestPending makes the latest version, with its documents, the pending version.
func (s *State) makeLatestPending() { s.PendingVersion, s.PendingDocs = s.Version, s.Docs }

// hasPendingVersion reports whether a version waits to be activated.
func (s *State) hasPendingVersion() bool { return s.PendingVersion > s.ActiveVersion }

// recordResult records the result of a command that has an ID, so that duplicates get the same result. It returns the
// result.
func (s *State) recordResult(id string, result CommandResult) CommandResult {
	if id != "" {
		s.RecentResults = lastN(append(s.RecentResults, recentResult{id, result}), maxRecentResults)
	}
	return result
}

// duplicateResult returns the recorded result of a command with this ID; ok is false if none is recorded.
func (s *State) duplicateResult(id string) (_ CommandResult, ok bool) {
	if id == "" {
		return CommandResult{}, false
	}
	i := slices.IndexFunc(s.RecentResults, func(r recentResult) bool { return r.ID == id })
	if i < 0 {
		return CommandResult{}, false
	}
	return s.RecentResults[i].CommandResult, true
}

// lastN returns the last n elements of a list: the list itself if it has no more than n, otherwise a copy.
func lastN[T any](list []T, n int) []T {
	if len(list) > n {
		return slices.Clone(list[len(list)-n:])
	}
	return list
}
