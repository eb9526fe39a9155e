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

// Names, and prefixes of names, of the documents that daemons agree on through consensus.
const (
	// SharedDocument is the name of the document with the part of an operators' file that all daemons share, as TOML.
	SharedDocument = "shared"
	// MembersPrefix, followed by a pool's name, names the member list of a pool with members = "agreed". The document has the
	// format of a members file.
	MembersPrefix = "members/"
	// EjectionPrefix, followed by an endpoint's ID, names an empty document whose existence manually ejects the endpoint.
	EjectionPrefix = "out/"
	// FlagPrefix, followed by any name, names a document with a single line of text. The daemon does not interpret it.
	FlagPrefix = "flag/"
)

// maxDocumentNameBytes is the maximum length of a document's complete name, including a prefix such as MembersPrefix.
const maxDocumentNameBytes = 300

// localSections are the sections of an operators' file that may differ between daemons. All other sections are shared.
var localSections = []string{"daemon", "fleet", "listener"}

// Shared is the section [shared] of an operators' file: settings for all daemons of a cluster.
type Shared struct {
	OnIndeterminate string `toml:"unsure"` // what a daemon does after its lease has expired: "keep" or "refuse"
}

// Values of the field unsure: how a daemon handles requests after its lease has expired.
const (
	keepServing    = "keep"   // keep acting on the present version of the settings
	rejectRequests = "refuse" // reject all requests, since other daemons may act on another version of the settings
)

// ExtractShared removes the sections that may differ between daemons (localSections) from an operators' file, and returns the shared
// part that remains and the names of the removed sections. A text without such sections is accepted, too. The shared part is checked
// completely. Line numbers in errors are those of the given text.
func ExtractShared(name string, text []byte) (shared []byte, removed []string, err error) {
	if err := checkWithLocalSections(name, text); err != nil {
		return nil, nil, err
	}
	shared, removed = tomlfile.RemoveTopLevel(text, localSections...)
	_, err = parseSharedDocument(name, shared)
	return shared, removed, err
}

// checkWithLocalSections checks a text before its local sections are removed, so that errors have the line numbers of the
// original text. A text with a listener or the section [fleet] is checked as a complete file. A text with neither cannot be a complete
// file, so only its syntax and the names and types of its fields are checked.
func checkWithLocalSections(name string, text []byte) error {
	f := &File{}
	if _, err := tomlfile.Decode(name, text, f); err != nil {
		return err
	}
	if len(f.Listener) == 0 && f.Cluster == nil {
		return nil
	}
	// assumeConsensus accepts everything: the shared part may have settings that need consensus, even if the local sections of this
	// text configure no consensus.
	assumeConsensus := func(*File, *tomlfile.File) error { return nil }
	_, err := parse(name, text, assumeConsensus)
	return err
}

// parseSharedDocument parses and checks a document with the part of an operators' file that all daemons share. The File that it
// returns has no local sections.
func parseSharedDocument(name string, text []byte) (*File, error) {
	f := &File{}
	tomlFile, err := tomlfile.Decode(name, text, f)
	if err != nil {
		return nil, err
	}
	if _, local := tomlfile.RemoveTopLevel(text, localSections...); len(local) > 0 {
		return nil, tomlFile.Errorf(local[0], "must be left out: it is each daemon's own")
	}
	if err := f.checkFormat(tomlFile); err != nil {
		return nil, err
	}
	f.applyDefaults(tomlFile)
	if err := runChecks(tomlFile, f.checkSharedSection, f.checkClasses, f.checkTenants, f.checkPools, f.checkRoutes); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *File) checkSharedSection(tomlFile *tomlfile.File) error {
	onIndeterminate := f.Shared.OnIndeterminate
	return tomlFile.Check("shared", []tomlfile.Requirement{
		tomlfile.Require("unsure", onIndeterminate == keepServing || onIndeterminate == rejectRequests, `"keep" or "refuse"`),
	})
}

// checkNeedsConsensus rejects settings that need a cluster with consensus if the file configures none.
func (f *File) checkNeedsConsensus(tomlFile *tomlfile.File) error {
	if f.Cluster != nil && f.Cluster.ConsensusEnabled {
		return nil
	}
	if f.Shared.OnIndeterminate == rejectRequests {
		return tomlFile.Errorf("shared.unsure", `must be "keep" unless fleet.agreed is true`)
	}
	for i, p := range f.Pool {
		if p.MembersSource != "" {
			return tomlFile.Errorf(fmt.Sprintf("pool[%d].members", i), "must be left out unless fleet.agreed is true")
		}
	}
	return nil
}

// WithDocuments returns a copy of the file in which agreed documents, given by name, replace the file's shared part and provide
// the member lists of pools with members = "agreed". Without a shared document the file keeps its shared part. An error says in
// one line why this daemon can't act on the documents.
func (f *File) WithDocuments(docs map[string][]byte) (*File, error) {
	merged := *f
	if text, ok := docs[SharedDocument]; ok {
		shared, err := parseSharedDocument(SharedDocument, text)
		if err != nil {
			return nil, err
		}
		merged = *shared
		merged.Daemon, merged.Cluster, merged.Listener, merged.sharesByMembership = f.Daemon, f.Cluster, f.Listener, f.sharesByMembership
	}
	merged.agreedMembers = map[string][]Member{}
	for name, body := range docs {
		if err := checkDocument(name, body); err != nil {
			return nil, err
		}
		if pool, ok := strings.CutPrefix(name, MembersPrefix); ok {
			members, err := parseAgreedMembers(body)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
			merged.agreedMembers[pool] = members
		}
	}
	return &merged, nil
}

// CheckDocuments returns an error if this daemon can't act on the documents. It checks everything that WithDocuments does and, if
// there is a shared document, that the members files of its pools exist on this machine.
func (f *File) CheckDocuments(docs map[string][]byte) error {
	updated, err := f.WithDocuments(docs)
	if err != nil || docs[SharedDocument] == nil {
		return err
	}
	for i, p := range updated.Pool {
		if p.File == "" {
			continue
		}
		if _, err := os.Stat(p.File); err != nil {
			return fmt.Errorf("%s: pool[%d].file: %w", SharedDocument, i, err)
		}
	}
	return nil
}

// parseAgreedMembers parses an agreed list of members. It rejects an empty list, which would take the pool out of service at once.
func parseAgreedMembers(body []byte) ([]Member, error) {
	endpoints, err := discovery.ParseMemberFile(body)
	if err != nil {
		return nil, err
	}
	if len(endpoints) == 0 {
		return nil, errors.New("members: one at least is wanted; eject endpoints manually instead")
	}
	return fileMembers(endpoints), nil
}

// IsDocumentName reports whether name is valid as the name of a document: not empty, at most maxDocumentNameBytes of UTF-8, without
// spaces and ASCII control characters.
func IsDocumentName(name string) bool {
	isForbidden := func(r rune) bool { return r <= ' ' || r == 0x7f || r == '\uFFFD' }
	return name != "" && len(name) <= maxDocumentNameBytes && !strings.ContainsFunc(name, isForbidden)
}

// checkDocument returns an error if a document's name and body are not of a kind that this version of the program knows.
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
