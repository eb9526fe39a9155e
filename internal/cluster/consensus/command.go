package consensus

import (
	"encoding/json"
	"errors"
)

// commandFormat is the format of commands that this build encodes. The effect of a command must never change under one
// number: voters of two builds would derive different States from the same log. A voter stops at a command with a
// higher number (ErrUnknownCommand).
const commandFormat = 2

// Command changes the State, or reads it at its position in the log. Exactly one of the fields for a document change
// (put, removal, revert), for the activation of a version (Force, Skip, Activate), for the voters, or Read is set.
type Command struct {
	Format          int              `json:"format"`           // set by Encode
	ID              string           `json:"id,omitempty"`     // of a document change: a duplicate is applied once
	ExpectedVersion *uint64          `json:"expect,omitempty"` // the latest version that the requester has seen; nil: any
	By              string           `json:"by,omitempty"`
	At              int64            `json:"at,omitempty"` // Unix milliseconds by the requester's clock
	Put             *DocumentPut     `json:"put,omitempty"`
	Remove          string           `json:"remove,omitempty"`   // the name of the document
	Revert          *DocumentVersion `json:"back,omitempty"`     // reverts a document to what it was
	Force           uint64           `json:"force,omitempty"`    // activate this pending version although some daemons reject it
	Skip            uint64           `json:"skip,omitempty"`     // replace this pending version by the latest one
	ChangeVoter     *VoterChange     `json:"seat,omitempty"`     // adds or removes a voter; "seat" is a voter slot
	ClaimSlot       *SlotClaim       `json:"mark,omitempty"`     // binds a voter slot to a disk; "mark" is the disk's id
	Read            *DocumentVersion `json:"read,omitempty"`     // returns a document; without a name: the history
	Activate        uint64           `json:"activate,omitempty"` // make this pending version the active one
}

// Encode returns the command in the form of the log. It sets the command's Format.
func (c *Command) Encode() ([]byte, error) {
	c.Format = commandFormat
	return json.Marshal(c)
}

// CommandResult is the outcome of a command that was applied without an error.
type CommandResult struct {
	Version   uint64         `json:"version"`           // that the command made when first applied; of a read: the latest
	Unchanged bool           `json:"same,omitempty"`    // nothing had to change, and no version was made
	Doc       *Document      `json:"doc,omitempty"`     // the document that was read
	History   []HistoryEntry `json:"history,omitempty"` // the history that was read, oldest entry first
}

// Errors for which a command changes nothing. Operators see their texts, which the operators' pages quote.
var (
	ErrVersionMismatch   = errors.New("another version is there than was expected")
	ErrLimitExceeded     = errors.New("over the bounds of what is agreed")
	ErrDocumentNotFound  = errors.New("there is no such document")
	ErrCompacted         = errors.New("what it was is not kept any more")
	ErrVersionNotPending = errors.New("this version is not to come")
)

// ErrMembershipUnchanged is returned for a change of the voters that can't be made, or not yet.
var ErrMembershipUnchanged = errors.New("the voters stay as they are")

// ErrIndeterminate means that the requester gave up waiting: the command may have been committed, or may be yet. A
// retry with the same ID is applied once.
var ErrIndeterminate = errors.New("no majority of the voters has answered in time; it may come to pass yet")

// ErrUnknownCommand means that the log has a command of a later build than this, which this voter can't apply.
var ErrUnknownCommand = errors.New("a command of a later program, which this one can't apply")
