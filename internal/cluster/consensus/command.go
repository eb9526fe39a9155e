package consensus

import (
	"encoding/json"
	"errors"
)

// commandFormat is the format number of the commands that this build encodes. The effect of a command with a given format
// number must never change, or voters of two builds would derive different States from the same log. A voter stops at a
// command with a higher number (ErrUnknownCommand).
const commandFormat = 2

// Command changes the State, or reads it at the command's position in the log. Exactly one of these fields is set: Put,
// Remove or Revert for a change of a document; Force, Skip or Activate for the activation of a version; ChangeVoter or
// ClaimSlot for the voters; or Read.
type Command struct {
	Format          int              `json:"format"`             // commandFormat of the build that encoded the command; set by Encode
	ID              string           `json:"id,omitempty"`       // id by which the proposer recognizes the command's result; a document change has no effect if a recent document change had the same id
	ExpectedVersion *uint64          `json:"expect,omitempty"`   // version that must be the latest one, or else a document change is rejected; nil: not checked
	ProposedBy      string           `json:"by,omitempty"`       // name of the daemon that proposed the command
	AtUnixMilli     int64            `json:"at,omitempty"`       // time of the proposal in Unix milliseconds, by the clock of the proposing daemon
	Put             *DocumentPut     `json:"put,omitempty"`      // document to write
	Remove          string           `json:"remove,omitempty"`   // name of the document to remove
	Revert          *DocumentVersion `json:"back,omitempty"`     // document to revert, and the version whose body the document gets
	ForceVersion    uint64           `json:"force,omitempty"`    // pending version to activate even if some daemons reject it
	SkipVersion     uint64           `json:"skip,omitempty"`     // pending version to replace by the latest one
	ChangeVoter     *VoterChange     `json:"seat,omitempty"`     // voter slot to assign to a daemon or to remove
	ClaimSlot       *SlotClaim       `json:"mark,omitempty"`     // voter slot to bind to a disk
	Read            *DocumentVersion `json:"read,omitempty"`     // document to read; with an empty Name: the history of all documents is read
	ActivateVersion uint64           `json:"activate,omitempty"` // pending version that becomes the active version
}

// Encode returns the command in the form in which the log stores it. It sets the command's Format.
func (c *Command) Encode() ([]byte, error) {
	c.Format = commandFormat
	return json.Marshal(c)
}

// CommandResult is the outcome of a command that was applied without an error.
type CommandResult struct {
	Version   uint64         `json:"version"`           // version that the command made; for a read the latest version
	Unchanged bool           `json:"same,omitempty"`    // whether the command had nothing to change and made no version
	Doc       *Document      `json:"doc,omitempty"`     // document that was read
	History   []HistoryEntry `json:"history,omitempty"` // history that was read, oldest entry first
}

// Errors of commands that failed and changed nothing. Their texts must not change: they are sent to the daemon that
// proposed the command, which answers operators with them.
var (
	ErrVersionMismatch   = errors.New("another version is there than was expected")
	ErrLimitExceeded     = errors.New("over the bounds of what is agreed")
	ErrDocumentNotFound  = errors.New("there is no such document")
	ErrCompacted         = errors.New("what it was is not kept any more")
	ErrVersionNotPending = errors.New("this version is not to come")
)

// ErrVoterChangeRejected is returned for a change of the voters that is impossible, or that has to wait for another change.
// Its text is sent to the daemon that proposed the command and must not change.
var ErrVoterChangeRejected = errors.New("the voters stay as they are")

// ErrIndeterminate means that the requester gave up waiting: the command may have been committed, or may be committed
// later. A retry with the same ID is not applied a second time. The text must not change: the package status recognizes the
// error by its text in the responses of other processes, also of other builds.
var ErrIndeterminate = errors.New("no majority of the voters has answered in time; it may come to pass yet")

// ErrUnknownCommand is returned for a command of the log whose format number is above commandFormat. The voter stops,
// since it can't derive the same State as voters of the later build.
var ErrUnknownCommand = errors.New("the log has a command of a later build, which this build can't apply")
