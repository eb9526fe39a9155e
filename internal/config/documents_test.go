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

// The shared part of a file, put over another daemon's own, is what that daemon serves; lists are as they are agreed on.
func TestSharedPartOverAnothersOwn(t *testing.T) {
	shared, left, err := ExtractShared("f.toml", []byte("format = 1\n"+ownPart+sharedPart))
	if err != nil || string(shared) != "format = 1\n"+sharedPart || strings.Join(left, " ") != "daemon listener fleet" {
		t.Fatalf("%s %v %v", shared, left, err)
	}
	own, err := ParseFile("own.toml", []byte("format = 1\n"+strings.Replace(ownPart, ":2", ":22", 1)+strings.Replace(sharedPart, `members = "agreed"`, `member = [{ address = "127.0.0.1:9" }]`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if s := own.Service(); !s.Refuses || len(s.Pools[0].Source.Members) != 1 {
		t.Errorf("by itself: %+v", s)
	}
	with, err := own.WithDocuments(map[string][]byte{SharedDoc: shared, MembersPrefix + "p": []byte(`{"format":1,"members":[{"address":"127.0.0.1:7","state":"draining"}]}`), "flag/x": []byte("1"), "out/e": nil})
	if err != nil {
		t.Fatal(err)
	}
	s := with.Service()
	if s.Listeners[0].Address != "127.0.0.1:22" || s.Admin != "127.0.0.1:1" || s.Fleet == nil || len(s.Pools[0].Source.Members) != 1 || s.Pools[0].Source.Members[0].State != "draining" || s.Pools[0].Source.Hold != 0 {
		t.Errorf("%+v", s)
	}
	if none, err := own.WithDocuments(map[string][]byte{SharedDoc: shared}); err != nil || len(none.Service().Pools[0].Source.Members) != 0 {
		t.Errorf("no list is agreed on: %v", err)
	}
	if again, err := own.WithDocuments(nil); err != nil || len(again.Service().Pools[0].Source.Members) != 1 {
		t.Errorf("nothing is agreed on: %v", err)
	}
}

// What a daemon can't act on is told in one line, with where it stands.
func TestWhatADaemonCantActOn(t *testing.T) {
	own, err := ParseFile("own.toml", []byte("format = 1\n"+ownPart+sharedPart))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "members.json")
	byFile := strings.Replace(sharedPart, `members = "agreed"`, `file = "`+file+`"`, 1)
	for text, want := range map[string]string{
		"format = 1\n" + sharedPart + "more = 1\n":                                  "shared:13: route[0].more: unknown field",
		"format = 1\n" + ownPart + sharedPart:                                       "shared:2: daemon: must be left out",
		"format = 2\n" + sharedPart:                                                 "shared:1: format",
		"format = 1\n" + strings.Replace(sharedPart, `"refuse"`, `"guess"`, 1):      "shared:3: shared.unsure",
		"format = 1\n" + strings.Replace(sharedPart, `pool = "p"`, `pool = "q"`, 1): "shared:11: route[0].pool",
		"format = 1\n" + strings.Replace(sharedPart, `"agreed"`, `"somewhere"`, 1):  "shared:9: pool[0].members",
		"format = 1\n" + byFile:                                                     "no such file",
		"format = 1\n[":                                                             "shared:2",
	} {
		if err := own.CheckDocuments(map[string][]byte{SharedDoc: []byte(text)}); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s\n%v; want %s", text, err, want)
		}
	}
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := own.CheckDocuments(map[string][]byte{SharedDoc: []byte("format = 1\n" + byFile)}); err != nil {
		t.Errorf("the file is there: %v", err)
	}
	for name, body := range map[string]string{"": "", "other": "", "shared/x": "", "members/": "{}", "members/p": `{"format":1,"members":[]}`, "members/q": "{", "out/e": "x", "out/": "", "flag/x": "a\nb"} {
		if err := own.CheckDocuments(map[string][]byte{name: []byte(body)}); err == nil {
			t.Errorf("%q with %q", name, body)
		}
	}
	for _, text := range []string{sharedPart, strings.Replace(sharedPart, `members = "agreed"`, `member = [{ address = "a:1" }]`, 1)} {
		alone := "format = 1\n" + strings.Replace(ownPart, "agreed = true\n", "", 1) + text
		if _, err := ParseFile("f", []byte(alone)); err == nil || !strings.Contains(err.Error(), "where nothing is agreed on") {
			t.Errorf("without a fleet that agrees: %v", err)
		}
	}
	for _, name := range []string{"a b", "", "a\n", strings.Repeat("x", maxDocumentNameBytes+1)} {
		if IsDocumentName(name) {
			t.Errorf("%q", name)
		}
	}
}
