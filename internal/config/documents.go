package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"strings"

	"tuliprock/internal/discovery"
	"tuliprock/internal/tomlfile"
)

// Names of the documents that daemons agree on through consensus.
const (
	// SharedDocument is the name of the part of an operators' file that is the same on all daemons, as TOML.
	SharedDocument = "shared"
	// MembersPrefix precedes a pool's name: the list of a pool with members = "agreed", in the form of a members file.
	MembersPrefix = "members/"
	// EjectionPrefix precedes an endpoint's ID: the endpoint is manually ejected. The body is empty.
	EjectionPrefix = "out/"
	// FlagPrefix precedes a name: a value of one line, without a meaning to the daemon.
	FlagPrefix = "flag/"
)

// maxDocumentNameBytes bounds a document's name.
const maxDocumentNameBytes = 300

// ownSections are the sections of an operators' file that are each daemon's own; the rest is shared.
var ownSections = []string{"daemon", "fleet", "listener"}

// Shared is the section [shared]: what concerns all daemons of a cluster alike.
type Shared struct {
	OnIndeterminate string `toml:"unsure"` // what a daemon does after its lease has expired: "keep" or "refuse"
}

// Values of unsure.
const (
	keepServing    = "keep"   // go on with the version that it has
	rejectRequests = "refuse" // reject all requests: others may act on another version
)

// ExtractShared removes the daemon's own sections from an operators' file and returns what is shared, with the names of
// the sections that were removed. A text without such sections is accepted, too. The shared part has been checked as a
// whole; an error has the line in the text as it was given.
func ExtractShared(name string, text []byte) (shared []byte, removed []string, err error) {
	if err := checkOwnSections(name, text); err != nil {
		return nil, nil, err
	}
	shared, removed = tomlfile.RemoveTopLevel(text, ownSections...)
	_, err = parseShared(name, shared)
	return shared, removed, err
}

// checkOwnSections checks a text complete with the daemon's own sections where it has any. Without them the line numbers
// of errors would be those of the shortened text.
func checkOwnSections(name string, text []byte) error {
	f := &File{}
	if _, err := tomlfile.Decode(name, text, f); err != nil {
		return err
	}
	if len(f.Listener) == 0 && f.Cluster == nil {
		return nil
	}
	// The text is for daemons with consensus, even if the daemon whose sections these are has none.
	withConsensus := func(*File, *tomlfile.File) error { return nil }
	_, err := parse(name, text, withConsensus)
	return err
}

// parseShared reads and checks the shared part alone. The File that it returns has no daemon, cluster or listeners.
func parseShared(name string, text []byte) (*File, error) {
	f := &File{}
	at, err := tomlfile.Decode(name, text, f)
	if err != nil {
		return nil, err
	}
	if _, own := tomlfile.RemoveTopLevel(text, ownSections...); len(own) > 0 {
		return nil, at.Errorf(own[0], "must be left out: it is each daemon's own")
	}
	if err := f.checkFormat(at); err != nil {
		return nil, err
	}
	f.applyDefaults(at)
	if err := runChecks(at, f.checkShared, f.checkClasses, f.checkTenants, f.checkPools, f.checkRoutes); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *File) checkShared(at *tomlfile.File) error {
	behavior := f.Shared.OnIndeterminate
	return at.Check("shared", []tomlfile.Requirement{
		tomlfile.Require("unsure", behavior == keepServing || behavior == rejectRequests, `"keep" or "refuse"`),
	})
}

// checkNeedsConsensus rejects what only a cluster with consensus can do, where the file configures none.
func (f *File) checkNeedsConsensus(at *tomlfile.File) error {
	if f.Cluster != nil && f.Cluster.ConsensusEnabled {
		return nil
	}
	if f.Shared.OnIndeterminate == rejectRequests {
		return at.Errorf("shared.unsure", `must be "keep" where nothing is agreed on`)
	}
	for i, p := range f.Pool {
		if p.Members != "" {
			return at.Errorf(fmt.Sprintf("pool[%d].members", i), "must be left out where nothing is agreed on")
		}
	}
	return nil
}

// WithDocuments returns a copy of the file with agreed documents, by name, in place of its own shared part and lists of
// members. Without a shared document the file's own shared part applies. An error says in one line why this daemon
// can't act on the documents.
func (f *File) WithDocuments(docs map[string][]byte) (*File, error) {
	out := *f
	if text, ok := docs[SharedDocument]; ok {
		shared, err := parseShared(SharedDocument, text)
		if err != nil {
			return nil, err
		}
		out = *shared
		out.Daemon, out.Cluster, out.Listener, out.dividesByMembership = f.Daemon, f.Cluster, f.Listener, f.dividesByMembership
	}
	out.agreedMembers = map[string][]Member{}
	for name, body := range docs {
		if err := checkDocument(name, body); err != nil {
			return nil, err
		}
		if pool, ok := strings.CutPrefix(name, MembersPrefix); ok {
			members, err := parseAgreedMembers(body)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			out.agreedMembers[pool] = members
		}
	}
	return &out, nil
}

// CheckDocuments returns nil if this daemon can act on documents, and otherwise why not. It checks what WithDocuments
// does and, where there is a shared document, that the files of members which its pools read exist on this machine.
func (f *File) CheckDocuments(docs map[string][]byte) error {
	with, err := f.WithDocuments(docs)
	if err != nil || docs[SharedDocument] == nil {
		return err
	}
	for i, p := range with.Pool {
		if p.File == "" {
			continue
		}
		if _, err := os.Stat(p.File); err != nil {
			return fmt.Errorf("%s: pool[%d].file: %w", SharedDocument, i, err)
		}
	}
	return nil
}

// parseAgreedMembers reads a list of members. An empty one is rejected: it would take the pool out of service at once.
func parseAgreedMembers(body []byte) ([]Member, error) {
	endpoints, err := discovery.ParseMemberFile(body)
	if err != nil {
		return nil, err
	}
	if len(endpoints) == 0 {
		return nil, errors.New("members: one at least is wanted; take endpoints out by hand")
	}
	return membersFromEndpoints(endpoints), nil
}

// IsDocumentName reports whether a document may have this name: 300 bytes at most, valid UTF-8, without spaces and
// ASCII control characters.
func IsDocumentName(name string) bool {
	isForbidden := func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\uFFFD' }
	return name != "" && len(name) <= maxDocumentNameBytes && !strings.ContainsFunc(name, isForbidden)
}

// checkDocument requires a document to be of a kind that this version of the program knows.
func checkDocument(name string, body []byte) error {
	if isKnownDocument(name, body) {
		return nil
	}
	return fmt.Errorf("%.80q: this program knows no such document", cmp.Or(name, "a document without a name"))
}

func isKnownDocument(name string, body []byte) bool {
	if name == SharedDocument {
		return true
	}
	if pool, ok := strings.CutPrefix(name, MembersPrefix); ok {
		return pool != ""
	}
	if endpoint, ok := strings.CutPrefix(name, EjectionPrefix); ok {
		return endpoint != "" && len(body) == 0
	}
	flag, ok := strings.CutPrefix(name, FlagPrefix)
	return ok && flag != "" && !bytes.ContainsAny(body, "\r\n")
}
