// Package consensus is how daemons agree on settings and lists with versions: a log of commands on which the voters agree by raft
// (go.etcd.io/raft/v3), the state that the commands make, and leases, so that no two daemons act on versions that
// contradict each other for longer than a stated time.
//
// It is pure: messages, instants and what the disk has come in; messages, records for the disk and the next instant go out.
//
// The promise. A daemon acts on a version only under a lease, which it counts by its own clock from before it sent the
// request. The leader grants one only after a majority has confirmed, later than the request came, that it leads
// (raft's ReadIndex). While a version is to come, leases are short. It is made the active one by a command in the log, when
// each daemon that may hold a lease has its documents and holds short leases only, or has certainly none; a new leader waits
// for as long as the leases of its predecessors may last. So from the moment at which some daemon acts on a version, no
// daemon acts on an earlier one for longer than a short lease, by the slowest clock allowed (Terms.Overlap).
package consensus

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds of what is agreed. A snapshot holds the documents three times at most (Docs, Next, Acted) and what is kept of earlier
// ones: in JSON under 7 MiB, which passes a parcel.
const (
	MaxDocumentBytes  = 1 << 20                  // bytes of a document
	MaxTotalBytes     = MaxDocumentBytes * 5 / 4 // of all documents together
	MaxDocuments      = 1000
	maxRetainedBytes  = 1 << 20 // bytes of earlier documents, to go back to
	maxHistoryEntries = 1000    // changes that are remembered
	maxRecentResults  = 1024    // puts whose repeats are known
)

// Document is a text with a name, as of the version in which it was put.
type Document struct {
	Name    string   `json:"name"`
	Version uint64   `json:"version"`
	Digest  [32]byte `json:"digest"`
	By      string   `json:"by"`
	Body    []byte   `json:"body,omitempty"`
}

// HistoryEntry is an entry of the history.
type HistoryEntry struct {
	Version uint64   `json:"version"`
	Name    string   `json:"name"`
	Digest  [32]byte `json:"digest"` // of the body; zeros: it was taken out
	Bytes   int      `json:"bytes"`
	By      string   `json:"by"`
	At      int64    `json:"at,omitempty"`   // Unix milliseconds by the clock of who asked; it decides nothing
	Back    uint64   `json:"back,omitempty"` // the version that it goes back to
}

// State is what the commands have made. All voters that have applied the same commands have the same State.
type State struct {
	Version       uint64              `json:"version"` // of the latest change
	Coming        uint64              `json:"coming"`  // that is to be active next; the same as Active: none. Puts that follow wait for it
	Active        uint64              `json:"active"`  // that daemons act on
	Forced        uint64              `json:"forced"`  // versions up to it are activated though some daemons can't act on them
	Docs          map[string]Document `json:"docs"`    // as of Version; a map that was given away never changes
	PendingDocs   map[string]Document `json:"next"`    // as of Coming
	ActiveDocs    map[string]Document `json:"acted"`   // as of Active
	History       []HistoryEntry      `json:"history"`
	RetainedDocs  []Document          `json:"kept"` // that were replaced or removed, to go back to; the oldest in front
	RecentResults []recentResult      `json:"ids"`  // the latest puts; the oldest in front

	Seats         map[uint64]string `json:"seats"`   // who is to vote, by raft's id; a map that was given away never changes
	Sitting       map[uint64]bool   `json:"sitting"` // who does
	Leaving       map[uint64]string `json:"leaving"` // who has no seat any more, and votes until raft's configuration says so
	DiskIDs       map[uint64]string `json:"marks"`   // of the disks of those who have yet to vote, set once
	LastVoterID   uint64            `json:"last_seat"`
	InitialVoters []string          `json:"first"` // the first voters
}

type recentResult struct {
	ID string `json:"id"`
	CommandResult
}

// Command changes the State, or reads it. Exactly one of Put, Remove, Back, Force, Skip, Seat, Mark, Read and
// Activate is set.
type Command struct {
	Format    int              `json:"format"`       // commandFormat, at which Encode sets it
	ID        string           `json:"id,omitempty"` // of a put, drawn by who asks: one that comes twice is done once
	Expect    *uint64          `json:"expect,omitempty"`
	By        string           `json:"by,omitempty"`
	At        int64            `json:"at,omitempty"`
	Put       *DocumentPut     `json:"put,omitempty"`
	Remove    string           `json:"remove,omitempty"`
	Back      *DocumentVersion `json:"back,omitempty"`  // a document is to be as it was
	Force     uint64           `json:"force,omitempty"` // this version is to be activated though some can't act on it
	Skip      uint64           `json:"skip,omitempty"`  // this one, which was to come, gives way to what was put since
	Seat      *VoterChange     `json:"seat,omitempty"`
	ClaimSlot *SlotClaim       `json:"mark,omitempty"` // the disk of who has yet to vote
	Read      *DocumentVersion `json:"read,omitempty"` // tells what is agreed when it is its turn in the log; no name: the history
	Activate  uint64           `json:"activate,omitempty"`
}

// DocumentPut is a document that is to be.
type DocumentPut struct {
	Name string `json:"name"`
	Body []byte `json:"body"`
}

// DocumentVersion is a document as of a version; 0: the latest.
type DocumentVersion struct {
	Name    string `json:"name"`
	Version uint64 `json:"version,omitempty"`
}

// CommandResult is what a command brought.
type CommandResult struct {
	Version uint64         `json:"version"`           // that it made, or made when it came first; of a read: the latest
	Same    bool           `json:"same,omitempty"`    // nothing had to be changed for it, and no version was made
	Doc     *Document      `json:"doc,omitempty"`     // what was read
	History []HistoryEntry `json:"history,omitempty"` // the same
}

// Why a command changed nothing.
var (
	ErrVersionMismatch   = errors.New("another version is there than was expected")
	ErrLimitExceeded     = errors.New("over the bounds of what is agreed")
	ErrDocumentNotFound  = errors.New("there is no such document")
	ErrCompacted         = errors.New("what it was is not kept any more")
	ErrVersionNotPending = errors.New("this version is not to come")
)

// ErrIndeterminate is why a command was given up by who asked for it: it may have been agreed on, or may be yet. With the same ID it is
// done once.
var ErrIndeterminate = errors.New("no majority of the voters has answered in time; it may come to pass yet")

// NewState is a state in which nothing was agreed.
func NewState() *State {
	return &State{Docs: map[string]Document{}, PendingDocs: map[string]Document{}, ActiveDocs: map[string]Document{}}
}

// commandFormat is that of commands as this program makes them. What a command does must never change under one number: voters
// of two programs would make two states of one log. ErrLater is why a voter stops at a command that a later program made.
const commandFormat = 2

// ErrUnknownCommand is a command of a later program than this.
var ErrUnknownCommand = errors.New("a command of a later program, which this one can't apply")

// Encode gives a command as the log has it.
func (c *Command) Encode() ([]byte, error) {
	c.Format = commandFormat
	return json.Marshal(c)
}

// Apply takes a command of the log.
func (s *State) Apply(entry []byte) (CommandResult, error) {
	_, a, err := s.applyEncoded(entry)
	return a, err
}

// applyEncoded is Apply, and gives the command's ID: a long command is read once.
func (s *State) applyEncoded(entry []byte) (id string, _ CommandResult, _ error) {
	var c Command
	if err := json.Unmarshal(entry, &c); err != nil {
		return "", CommandResult{}, fmt.Errorf("a command that can't be read: %w", err)
	}
	a, err := s.applyCommand(&c)
	return c.ID, a, err
}

func (s *State) applyCommand(c *Command) (CommandResult, error) {
	switch {
	case c.Format > commandFormat:
		return CommandResult{}, ErrUnknownCommand
	case c.Activate > 0:
		if c.Activate == s.Coming && s.Active < s.Coming { // one that comes twice does nothing
			s.Active, s.ActiveDocs = s.Coming, s.PendingDocs
			s.setPending()
		}
		return CommandResult{Version: s.Active}, nil
	case c.Skip > 0:
		if c.Skip == s.Coming && s.Active < s.Coming && s.Forced < s.Coming {
			s.setPending()
		}
		return CommandResult{Version: s.Coming}, nil
	case c.Force > 0:
		if c.Force != s.Coming || s.Active == s.Coming {
			return CommandResult{}, fmt.Errorf("%w: %d", ErrVersionNotPending, c.Force)
		}
		s.Forced = c.Force
		return CommandResult{Version: c.Force}, nil
	case c.Seat != nil:
		return s.applyVoterChange(c.Seat)
	case c.ClaimSlot != nil:
		return s.applySlotClaim(c.ClaimSlot), nil
	case c.Read != nil:
		return s.readDocument(c.Read)
	}
	return s.applyDocumentChange(c)
}

// setPending has the latest version come next.
func (s *State) setPending() { s.Coming, s.PendingDocs = s.Version, s.Docs }

func (s *State) applyDocumentChange(c *Command) (CommandResult, error) {
	if i := slices.IndexFunc(s.RecentResults, func(d recentResult) bool { return d.ID == c.ID }); c.ID != "" && i >= 0 {
		return s.RecentResults[i].CommandResult, nil
	}
	if c.Expect != nil && *c.Expect != s.Version {
		return CommandResult{}, fmt.Errorf("%w: %d, not %d", ErrVersionMismatch, s.Version, *c.Expect)
	}
	name, put := c.Remove, c.Put
	change := HistoryEntry{Version: s.Version + 1, By: c.By, At: c.At}
	if c.Back != nil {
		doc, err := s.documentAt(c.Back)
		if err != nil && !errors.Is(err, ErrDocumentNotFound) {
			return CommandResult{}, err
		}
		if name, change.Back = c.Back.Name, c.Back.Version; doc != nil {
			put = &DocumentPut{doc.Name, doc.Body}
		}
	}
	if put != nil {
		name = put.Name
	}
	was, known := s.Docs[name]
	docs := maps.Clone(s.Docs) // who holds the ones before keeps them
	change.Name = name
	switch {
	case put != nil:
		if len(put.Body) > MaxDocumentBytes || !known && len(docs) >= MaxDocuments || totalBytes(docs)-len(was.Body)+len(put.Body) > MaxTotalBytes {
			return CommandResult{}, ErrLimitExceeded
		}
		change.Digest, change.Bytes = sha256.Sum256(put.Body), len(put.Body)
		docs[name] = Document{name, change.Version, change.Digest, c.By, put.Body}
	case !known: // it is as it should be
		return s.rememberResult(c.ID, CommandResult{Version: s.Version, Same: true}), nil
	default:
		delete(docs, name)
	}
	s.Docs = docs
	s.Version++
	if s.Coming == s.Active {
		s.setPending()
	}
	if known {
		s.retain(was)
	}
	s.History = lastN(append(s.History, change), maxHistoryEntries)
	return s.rememberResult(c.ID, CommandResult{Version: s.Version}), nil
}

// rememberResult remembers what a command brought.
func (s *State) rememberResult(id string, a CommandResult) CommandResult {
	if id != "" {
		s.RecentResults = lastN(append(s.RecentResults, recentResult{id, a}), maxRecentResults)
	}
	return a
}

func totalBytes(docs map[string]Document) (n int) {
	for _, d := range docs {
		n += len(d.Body)
	}
	return n
}

// retain keeps a document that is no more, in place of the oldest that are kept.
func (s *State) retain(d Document) {
	kept := append(slices.Clone(s.RetainedDocs), d)
	n := 0
	for i := len(kept) - 1; i >= 0; i-- {
		if n += len(kept[i].Body); n > maxRetainedBytes || len(kept)-i > maxHistoryEntries {
			kept = kept[i+1:]
			break
		}
	}
	s.RetainedDocs = kept
}

// documentAt is a document as of a version. ErrNoDoc: there was none.
func (s *State) documentAt(a *DocumentVersion) (*Document, error) {
	if d, ok := s.Docs[a.Name]; ok && (a.Version == 0 || d.Version <= a.Version) {
		return &d, nil
	}
	if a.Version == 0 {
		return nil, fmt.Errorf("%.200q: %w", a.Name, ErrDocumentNotFound)
	}
	for _, c := range slices.Backward(s.History) {
		if c.Name != a.Name || c.Version > a.Version {
			continue
		}
		if c.Digest == [32]byte{} {
			return nil, fmt.Errorf("%.200q at version %d: %w", a.Name, a.Version, ErrDocumentNotFound)
		}
		if i := slices.IndexFunc(s.RetainedDocs, func(d Document) bool { return d.Name == c.Name && d.Version == c.Version }); i >= 0 {
			return &s.RetainedDocs[i], nil
		}
		return nil, fmt.Errorf("%.200q at version %d: %w", a.Name, a.Version, ErrCompacted)
	}
	if len(s.History) > 0 && s.History[0].Version > 1 && s.History[0].Version > a.Version {
		return nil, fmt.Errorf("%.200q at version %d: %w", a.Name, a.Version, ErrCompacted)
	}
	return nil, fmt.Errorf("%.200q at version %d: %w", a.Name, a.Version, ErrDocumentNotFound)
}

func (s *State) readDocument(a *DocumentVersion) (CommandResult, error) {
	if a.Name == "" {
		return CommandResult{Version: s.Version, History: s.History}, nil
	}
	d, err := s.documentAt(a)
	return CommandResult{Version: s.Version, Doc: d}, err
}

// snapshotState is a State as a snapshot has it: each body once, by its digest.
type snapshotState struct {
	State
	Bodies map[string][]byte `json:"bodies"`
}

// Encode gives the State for a snapshot.
func (s *State) Encode() ([]byte, error) {
	out := snapshotState{State: *s, Bodies: map[string][]byte{}}
	strip := func(d Document) Document {
		if len(d.Body) > 0 {
			out.Bodies[fmt.Sprintf("%x", d.Digest)] = d.Body
		}
		d.Body = nil
		return d
	}
	for _, docs := range []*map[string]Document{&out.Docs, &out.PendingDocs, &out.ActiveDocs} {
		bare := make(map[string]Document, len(*docs))
		for name, d := range *docs {
			bare[name] = strip(d)
		}
		*docs = bare
	}
	out.RetainedDocs = nil
	for _, d := range s.RetainedDocs {
		out.RetainedDocs = append(out.RetainedDocs, strip(d))
	}
	return json.Marshal(out)
}

// DecodeState reads what Encode gave.
func DecodeState(b []byte) (*State, error) {
	in := snapshotState{State: *NewState()}
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, err
	}
	fill := func(d *Document) {
		if body := in.Bodies[fmt.Sprintf("%x", d.Digest)]; len(body) > 0 {
			d.Body = body
		}
	}
	for _, docs := range []map[string]Document{in.Docs, in.PendingDocs, in.ActiveDocs} {
		for name, d := range docs {
			fill(&d)
			docs[name] = d
		}
	}
	for i := range in.RetainedDocs {
		fill(&in.RetainedDocs[i])
	}
	return &in.State, nil
}

func lastN[T any](list []T, most int) []T {
	if len(list) > most {
		return slices.Clone(list[len(list)-most:])
	}
	return list
}

// DigestOf is of documents in one form, to compare what daemons act on.
func DigestOf(docs map[string]Document) [32]byte {
	h := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(docs)) {
		d := docs[name]
		fmt.Fprintf(h, "%q %x\n", name, d.Digest)
	}
	return [32]byte(h.Sum(nil))
}
