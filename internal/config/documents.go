package config

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"strings"

	"tuliprock/internal/discovery"
	"tuliprock/internal/endpointset"
	"tuliprock/internal/tomlfile"
)

// Names of documents that daemons agree on.
const (
	SharedDoc     = "shared"   // the part of an operators' file that is all daemons' alike, as TOML
	MembersPrefix = "members/" // and a pool's name: the list of a pool with members = "agreed", in the form of a members file
	OutPrefix     = "out/"     // and an endpoint's id: it is out by hand; the body is empty
	FlagPrefix    = "flag/"    // and a name: a value of a line, for whoever asks
)

// maxDocumentNameBytes is how many bytes a document's name may have.
const maxDocumentNameBytes = 300

// ownSections are the parts of an operators' file that are each daemon's own.
var ownSections = []string{"daemon", "fleet", "listener"}

// Shared is what of an operators' file concerns all daemons alike.
type Shared struct {
	OnIndeterminate string `toml:"unsure"` // what a daemon does whose lease has run out: "keep" or "refuse"
}

// What a daemon does that does not know what others act on.
const (
	keepServing    = "keep"
	rejectRequests = "refuse"
)

// ExtractShared cuts an operators' file, or a text that holds that part alone, to what is shared, and names what was left out. The
// part is checked whole.
func ExtractShared(name string, text []byte) (shared []byte, left []string, _ error) {
	if err := checkOwnSections(name, text); err != nil {
		return nil, nil, err
	}
	shared, left = tomlfile.RemoveTopLevel(text, ownSections...)
	_, err := parseShared(name, shared)
	return shared, left, err
}

// checkOwnSections checks a text with its own parts, where it has any, so that errors have its own lines.
func checkOwnSections(name string, text []byte) error {
	f := &File{}
	if _, err := tomlfile.Decode(name, text, f); err != nil {
		return err
	}
	if len(f.Listener) == 0 && f.Fleet == nil {
		return nil
	}
	_, err := parse(name, text, func(*File, *tomlfile.File) error { return nil }) // it is for daemons that agree
	return err
}

// parseShared reads the shared part.
func parseShared(name string, text []byte) (*File, error) {
	f := &File{}
	at, err := tomlfile.Decode(name, text, f)
	if err != nil {
		return nil, err
	}
	if _, own := tomlfile.RemoveTopLevel(text, ownSections...); len(own) > 0 {
		return nil, at.Errorf(own[0], "must be left out: it is each daemon's own")
	}
	if f.Format != 1 {
		return nil, at.Errorf("format", "must be 1")
	}
	f.applyDefaults(at)
	for _, check := range []func(*tomlfile.File) error{f.checkShared, f.checkClasses, f.checkTenants, f.checkPools, f.checkRoutes} {
		if err := check(at); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *File) checkShared(at *tomlfile.File) error {
	return at.Check("shared", []tomlfile.Must{
		tomlfile.Need("unsure", f.Shared.OnIndeterminate == keepServing || f.Shared.OnIndeterminate == rejectRequests, `"keep" or "refuse"`),
	})
}

// checkNeedsConsensus wants nothing of a file for which a fleet that agrees would be needed, where there is none.
func (f *File) checkNeedsConsensus(at *tomlfile.File) error {
	if f.Fleet != nil && f.Fleet.ConsensusEnabled {
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

// WithDocuments is the file as it is with documents that were agreed on, by name: what is shared is theirs, where they say something of
// it. An error says, in one line, why this daemon can't act on them.
func (f *File) WithDocuments(docs map[string][]byte) (*File, error) {
	out := *f
	if text, ok := docs[SharedDoc]; ok {
		s, err := parseShared(SharedDoc, text)
		if err != nil {
			return nil, err
		}
		s.Daemon, s.Fleet, s.Listener, s.dividesByMembership = f.Daemon, f.Fleet, f.Listener, f.dividesByMembership
		out = *s
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

// CheckDocuments tells why this daemon can't act on documents; nil: it can. Besides what With finds, it looks for the files of members
// that pools are to read.
func (f *File) CheckDocuments(docs map[string][]byte) error {
	with, err := f.WithDocuments(docs)
	if err != nil || docs[SharedDoc] == nil {
		return err
	}
	for i, p := range with.Pool {
		if p.File == "" {
			continue
		}
		if _, err := os.Stat(p.File); err != nil {
			return fmt.Errorf("%s: pool[%d].file: %w", SharedDoc, i, err)
		}
	}
	return nil
}

var errNoMembers = errors.New("members: one at least is wanted; take endpoints out by hand")

func parseAgreedMembers(body []byte) ([]Member, error) {
	list, err := discovery.ParseMemberFile(body)
	if err != nil {
		return nil, err
	}
	if len(list) == 0 {
		return nil, errNoMembers
	}
	return membersFromEndpoints(list), nil
}

// membersFromEndpoints undoes List.
func membersFromEndpoints(list []endpointset.Member) (out []Member) {
	for _, m := range list {
		state := "ready"
		if m.Draining {
			state = "draining"
		}
		out = append(out, Member{ID: m.ID, Address: m.Addr, Zone: m.Zone, Kind: m.Kind, Cell: m.Cell, State: state})
	}
	return out
}

// IsDocumentName tells whether a document may be of this name: printable and without spaces.
func IsDocumentName(name string) bool {
	return name != "" && len(name) <= maxDocumentNameBytes && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r == 0x7f || r == 0xfffd })
}

// checkDocument wants a document to be of a sort that this program knows.
func checkDocument(name string, body []byte) error {
	pool, isList := strings.CutPrefix(name, MembersPrefix)
	id, isOut := strings.CutPrefix(name, OutPrefix)
	flag, isFlag := strings.CutPrefix(name, FlagPrefix)
	switch {
	case name == SharedDoc, isList && pool != "", isOut && id != "" && len(body) == 0, isFlag && flag != "" && !bytes.ContainsAny(body, "\r\n"):
		return nil
	}
	return fmt.Errorf("%.80q: this program knows no such document", cmp.Or(name, "a document without a name"))
}
