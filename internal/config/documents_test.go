package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const ownPart = `[daemon]
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

const agreedList = `{"format":1,"members":[{"address":"127.0.0.1:7","state":"draining"}]}`

func parseFile(t *testing.T, text string) *File {
	t.Helper()
	f, err := ParseFile("own.toml", []byte("format = 1\n"+text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestExtractSharedRemovesOwnSections(t *testing.T) {
	shared, removed, err := ExtractShared("f.toml", []byte("format = 1\n"+ownPart+sharedPart))
	if err != nil || string(shared) != "format = 1\n"+sharedPart || strings.Join(removed, " ") != "daemon listener fleet" {
		t.Fatalf("%s %v %v", shared, removed, err)
	}
}

// Documents that were extracted from one daemon's file, and applied to another's with other sections of its own.
func TestAgreedDocumentsReplaceSharedPartAndMembers(t *testing.T) {
	shared, _, err := ExtractShared("f.toml", []byte("format = 1\n"+ownPart+sharedPart))
	if err != nil {
		t.Fatal(err)
	}
	fixedMembers := replaceOnce(t, sharedPart, `members = "agreed"`, `member = [{ address = "127.0.0.1:9" }]`)
	own := parseFile(t, replaceOnce(t, ownPart, ":2", ":22")+fixedMembers)
	if s := own.Service(); !s.RejectsWhenIndeterminate || len(s.Pools[0].Source.Members) != 1 {
		t.Errorf("the file by itself: %+v", s)
	}
	with, err := own.WithDocuments(map[string][]byte{SharedDocument: shared, MembersPrefix + "p": []byte(agreedList), "flag/x": []byte("1"), "out/e": nil})
	if err != nil {
		t.Fatal(err)
	}
	s := with.Service()
	if s.Listeners[0].Address != "127.0.0.1:22" || s.AdminAddress != "127.0.0.1:1" || s.Cluster == nil {
		t.Errorf("the daemon's own sections: %+v", s)
	}
	if source := s.Pools[0].Source; len(source.Members) != 1 || source.Members[0].State != "draining" || source.HoldLastGood != 0 {
		t.Errorf("the agreed list: %+v", source)
	}
	if without, err := own.WithDocuments(map[string][]byte{SharedDocument: shared}); err != nil || len(without.Service().Pools[0].Source.Members) != 0 {
		t.Errorf("without an agreed list: %v", err)
	}
	if unchanged, err := own.WithDocuments(nil); err != nil || len(unchanged.Service().Pools[0].Source.Members) != 1 {
		t.Errorf("without documents: %v", err)
	}
}

func TestCheckDocumentsNamesLineOfSharedDocument(t *testing.T) {
	own := parseFile(t, ownPart+sharedPart)
	missingFile := filepath.Join(t.TempDir(), "members.json")
	for name, c := range map[string]struct{ text, want string }{
		"unknown field":           {"format = 1\n" + sharedPart + "more = 1\n", "shared:13: route[0].more: unknown field"},
		"section of its own":      {"format = 1\n" + ownPart + sharedPart, "shared:2: daemon: must be left out"},
		"other format":            {"format = 2\n" + sharedPart, "shared:1: format"},
		"unknown unsure":          {"format = 1\n" + replaceOnce(t, sharedPart, `"refuse"`, `"guess"`), "shared:3: shared.unsure"},
		"unknown pool":            {"format = 1\n" + replaceOnce(t, sharedPart, `pool = "p"`, `pool = "q"`), "shared:11: route[0].pool"},
		"unknown members":         {"format = 1\n" + replaceOnce(t, sharedPart, `"agreed"`, `"somewhere"`), "shared:9: pool[0].members"},
		"missing file of members": {"format = 1\n" + withMembersFile(t, missingFile), "no such file"},
		"malformed TOML":          {"format = 1\n[", "shared:2"},
	} {
		t.Run(name, func(t *testing.T) {
			err := own.CheckDocuments(map[string][]byte{SharedDocument: []byte(c.text)})
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func withMembersFile(t *testing.T, path string) string {
	t.Helper()
	return replaceOnce(t, sharedPart, `members = "agreed"`, `file = "`+path+`"`)
}

func TestCheckDocumentsAcceptsMembersFileThatExists(t *testing.T) {
	own := parseFile(t, ownPart+sharedPart)
	path := filepath.Join(t.TempDir(), "members.json")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := own.CheckDocuments(map[string][]byte{SharedDocument: []byte("format = 1\n" + withMembersFile(t, path))}); err != nil {
		t.Error(err)
	}
}

func TestCheckDocumentsRejectsUnknownAndMalformed(t *testing.T) {
	own := parseFile(t, ownPart+sharedPart)
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
			if err := own.CheckDocuments(map[string][]byte{name: []byte(body)}); err == nil {
				t.Errorf("accepted with %q", body)
			}
		})
	}
}

func TestAgreedMembersAndRejectionNeedConsensus(t *testing.T) {
	withoutConsensus := replaceOnce(t, ownPart, "agreed = true\n", "")
	for name, shared := range map[string]string{
		"unsure and members": sharedPart,
		"unsure alone":       replaceOnce(t, sharedPart, `members = "agreed"`, `member = [{ address = "a:1" }]`),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseFile("f", []byte("format = 1\n"+withoutConsensus+shared))
			if err == nil || !strings.Contains(err.Error(), "where nothing is agreed on") {
				t.Error(err)
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
				t.Errorf("%q is accepted", document)
			}
		})
	}
}
