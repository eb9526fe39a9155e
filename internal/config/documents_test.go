package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// localPart and sharedPart together are a complete operators' file, except for the line "format = 1".
const localPart = `[daemon]
name = "d"
admin_addr = "127.0.0.1:1"
[[listener]]
name = "in"
address = "127.0.0.1:2"
[fleet]
listen = "127.0.0.1:3"
agreed = true
voters = ["a"]
`

const sharedPart = `[shared]
unsure = "refuse"
[[class]]
name = "look"
effect = "safe"
[[pool]]
name = "p"
members = "agreed"
[[route]]
pool = "p"
class = "look"
`

// agreedMembersDocument is the document with the members of the pool p.
const agreedMembersDocument = `{"format":1,"members":[{"address":"127.0.0.1:7","state":"draining"}]}`

// parseFile parses an operators' file, given without the line "format = 1".
func parseFile(t *testing.T, text string) *File {
	t.Helper()
	f, err := ParseFile("daemon.toml", []byte("format = 1\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestExtractSharedRemovesLocalSections(t *testing.T) {
	shared, removed, err := ExtractShared("f.toml", []byte("format = 1\n"+localPart+sharedPart))
	if err != nil || string(shared) != "format = 1\n"+sharedPart || strings.Join(removed, " ") != "daemon listener fleet" {
		t.Fatalf("shared part %s, removed sections %v, error %v; want the sections daemon, listener and fleet removed, and the rest unchanged", shared, removed, err)
	}
}

// A daemon applies a shared document that was extracted from another daemon's file, and keeps the local sections of its own file.
func TestAgreedDocumentsReplaceSharedPartAndMembers(t *testing.T) {
	shared, _, err := ExtractShared("f.toml", []byte("format = 1\n"+localPart+sharedPart))
	if err != nil {
		t.Fatal(err)
	}
	fixedMembers := replaceOnce(t, sharedPart, `members = "agreed"`, `member = [{ address = "127.0.0.1:9" }]`)
	file := parseFile(t, replaceOnce(t, localPart, ":2", ":22")+fixedMembers)
	if s := file.Service(); !s.RejectsWhenIndeterminate || len(s.Pools[0].Source.Members) != 1 {
		t.Errorf("without documents: %+v, want rejection when indeterminate and one fixed member", s)
	}
	updated, err := file.WithDocuments(map[string][]byte{SharedDocument: shared, MembersPrefix + "p": []byte(agreedMembersDocument), "flag/x": []byte("1"), "out/e": nil})
	if err != nil {
		t.Fatal(err)
	}
	s := updated.Service()
	if s.Listeners[0].Address != "127.0.0.1:22" || s.AdminAddress != "127.0.0.1:1" || s.Cluster == nil {
		t.Errorf("the local sections were not kept: %+v", s)
	}
	if source := s.Pools[0].Source; len(source.Members) != 1 || source.Members[0].State != "draining" || source.HoldLastGood != 0 {
		t.Errorf("source %+v, want the one draining member of the agreed list, and no hold time", source)
	}
	if withoutMembers, err := file.WithDocuments(map[string][]byte{SharedDocument: shared}); err != nil || len(withoutMembers.Service().Pools[0].Source.Members) != 0 {
		t.Errorf("the pool has members without an agreed list, or error %v", err)
	}
	if unchanged, err := file.WithDocuments(nil); err != nil || len(unchanged.Service().Pools[0].Source.Members) != 1 {
		t.Errorf("without documents the pool lost its one fixed member, or error %v", err)
	}
}

func TestCheckDocumentsNamesLineOfSharedDocument(t *testing.T) {
	file := parseFile(t, localPart+sharedPart)
	missingFile := filepath.Join(t.TempDir(), "members.json")
	for name, c := range map[string]struct{ text, want string }{
		"unknown field":           {"format = 1\n" + sharedPart + "more = 1\n", "shared:13: route[0].more: unknown field"},
		"local section":           {"format = 1\n" + localPart + sharedPart, "shared:2: daemon: must be left out"},
		"other format":            {"format = 2\n" + sharedPart, "shared:1: format"},
		"unknown unsure":          {"format = 1\n" + replaceOnce(t, sharedPart, `"refuse"`, `"guess"`), "shared:3: shared.unsure"},
		"unknown pool":            {"format = 1\n" + replaceOnce(t, sharedPart, `pool = "p"`, `pool = "q"`), "shared:11: route[0].pool"},
		"unknown members":         {"format = 1\n" + replaceOnce(t, sharedPart, `"agreed"`, `"somewhere"`), "shared:9: pool[0].members"},
		"missing file of members": {"format = 1\n" + withMembersFile(t, missingFile), "no such file"},
		"malformed TOML":          {"format = 1\n[", "shared:2"},
	} {
		t.Run(name, func(t *testing.T) {
			err := file.CheckDocuments(map[string][]byte{SharedDocument: []byte(c.text)})
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line with %s", err, c.want)
			}
		})
	}
}

// withMembersFile returns the shared part with a pool that reads its members from a file.
func withMembersFile(t *testing.T, path string) string {
	t.Helper()
	return replaceOnce(t, sharedPart, `members = "agreed"`, `file = "`+path+`"`)
}

func TestCheckDocumentsAcceptsMembersFileThatExists(t *testing.T) {
	file := parseFile(t, localPart+sharedPart)
	path := filepath.Join(t.TempDir(), "members.json")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := file.CheckDocuments(map[string][]byte{SharedDocument: []byte("format = 1\n" + withMembersFile(t, path))}); err != nil {
		t.Errorf("a shared document whose members file exists: got error %v", err)
	}
}

func TestCheckDocumentsRejectsUnknownAndMalformedDocuments(t *testing.T) {
	file := parseFile(t, localPart+sharedPart)
	for name, body := range map[string]string{
		"":          "",
		"other":     "",
		"shared/x":  "",
		"members/":  "{}",
		"members/p": `{"format":1,"members":[]}`,
		"members/q": "{",
		"out/e":     "x",
		"out/":      "",
		"flag/x":    "a\nb",
	} {
		t.Run(name, func(t *testing.T) {
			if err := file.CheckDocuments(map[string][]byte{name: []byte(body)}); err == nil {
				t.Errorf("the document %q with body %q is accepted", name, body)
			}
		})
	}
}

func TestAgreedMembersAndRejectingWhenIndeterminateNeedConsensus(t *testing.T) {
	withoutConsensus := replaceOnce(t, localPart, "agreed = true\n", "")
	for name, shared := range map[string]string{
		"unsure and members": sharedPart,
		"unsure alone":       replaceOnce(t, sharedPart, `members = "agreed"`, `member = [{ address = "a:1" }]`),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseFile("f", []byte("format = 1\n"+withoutConsensus+shared))
			if err == nil || !strings.Contains(err.Error(), "unless fleet.agreed is true") {
				t.Errorf("got error %v, want one that names fleet.agreed", err)
			}
		})
	}
}

func TestDocumentNameIsShortAndPrintable(t *testing.T) {
	for name, document := range map[string]string{
		"space": "a b", "empty": "", "line break": "a\n", "too long": strings.Repeat("x", maxDocumentNameBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			if IsDocumentName(document) {
				t.Errorf("the document name %q is accepted", document)
			}
		})
	}
}
