package discovery

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// replaceFile replaces the file at path atomically.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

func TestFileSourceFollowsReplacedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members.json")
	f := startSource(t, holdOptions, func(cache *MemberCache, deliver func(ListUpdate), onFailure func(), log *slog.Logger) *PollingSource {
		return NewFileSource(path, cache, deliver, onFailure, log)
	})
	f.expectFailure(t) // the file does not exist yet
	replaceFile(t, path, `{"format":1,"members":[{"address":"10.0.0.1:80"},{"id":"b","address":"10.0.0.2:80","zone":"z","cell":2}]}`)
	f.expectList(t, "10.0.0.1:80", "10.0.0.2:80")
	replaceFile(t, path, `{"format":1,"members":[{"address":"10.0.0.1:80","state":"draining"},{"id":"b","address":"10.0.0.2:80"}]}`)
	f.expectList(t, "10.0.0.1:80 draining", "10.0.0.2:80")
	for _, bad := range []string{`{"format":1,"members":[{"address":"10.0.0.`, `{"format":1,"members":[]}`, ""} {
		replaceFile(t, path, bad)
		if bad != "" && strings.HasSuffix(bad, "[]}") {
			continue // a valid file without members is not reported as a failure
		}
		f.expectFailure(t)
	}
	f.expectNoUpdate(t)
	replaceFile(t, path, `{"format":1,"members":[{"id":"b","address":"10.0.0.3:80"}]}`) // member b keeps its ID, but has a new address
	f.expectList(t, "10.0.0.3:80")
}

// The file is overwritten in place with a text of the same length and the same modification time, so its metadata does not change.
func TestFileRewrittenWithinMtimeGranularityIsReadAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "members.json")
	mtime := time.Now()
	write := func(n int) {
		t.Helper()
		if err := os.WriteFile(path, fmt.Appendf(nil, `{"format":1,"members":[{"address":"10.0.0.%d:80"}]}`, n), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, mtime, mtime); err != nil {
			t.Fatal(err)
		}
	}
	p := filePoller{path: path}
	write(1)
	if result, err := p.poll(t.Context()); err != nil || result.members[0].Addr != "10.0.0.1:80" {
		t.Fatalf("the first version of the file was not read: %+v, %v", result, err)
	}
	write(2)
	if result, err := p.poll(t.Context()); err != nil || result.isUnchanged || result.members[0].Addr != "10.0.0.2:80" {
		t.Errorf("the second version of the file was not read: %+v, %v", result, err)
	}
	mtime = mtime.Add(-time.Minute)
	write(3)
	if _, err := p.poll(t.Context()); err != nil {
		t.Error(err)
	}
	if result, err := p.poll(t.Context()); err != nil || !result.isUnchanged {
		t.Errorf("an unchanged file was read again: %+v, %v", result, err)
	}
}

func TestParseMemberFileRejectsBadFiles(t *testing.T) {
	entry := func(i int) string { return fmt.Sprintf(`{"address":"10.%d.%d.%d:80"}`, i>>16, i>>8&255, i&255) }
	var entriesAtLimit []string // as many entries as a file may have
	for i := range 100_000 {
		entriesAtLimit = append(entriesAtLimit, entry(i))
	}
	fileOf := func(entries ...string) string { return `{"format":1,"members":[` + strings.Join(entries, ",") + `]}` }
	if members, err := ParseMemberFile([]byte(fileOf(entriesAtLimit...))); err != nil || len(members) != 100_000 {
		t.Errorf("a file of 100,000 members: parsed %d of them, error %v", len(members), err)
	}
	validText := fileOf(entry(1), entry(2))
	for length := range len(validText) {
		if _, err := ParseMemberFile([]byte(validText[:length])); err == nil {
			t.Fatalf("a file truncated to %d bytes is accepted: %s", length, validText[:length])
		}
	}
	for text, want := range map[string]string{
		fileOf(append(entriesAtLimit, entry(100_000))...): "members: over 100000",
		fileOf(entry(1), entry(1)):                        `members[1].id: "10.0.0.1:80" is listed twice`,
		fileOf(`{"address":"here"}`):                      "members[0].address",
		fileOf(`{"address":"h:1","state":"x"}`):           `members[0].state: "x"`,
		fileOf(`{"addr":"h:1"}`):                          "unknown field",
		validText + "{}":                                  "unexpected data after the list",
		`{"members":[]}`:                                  "format: 0 is not 1",
	} {
		if _, err := ParseMemberFile([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.60s: got error %v, want %s", text, err, want)
		}
	}
	path := filepath.Join(t.TempDir(), "huge.json")
	if err := os.WriteFile(path, make([]byte, 50<<20), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := (&filePoller{path: path}).poll(t.Context()); err == nil || !strings.Contains(err.Error(), "longer than") {
		t.Errorf("a file of 50 MB: got error %v, want one about its length", err)
	}
}

func FuzzMemberFile(f *testing.F) {
	f.Add([]byte(`{"format":1,"members":[{"id":"a","address":"h:1","zone":"","kind":"","cell":0,"state":"ready"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		members, err := ParseMemberFile(text)
		ids := map[string]bool{}
		for _, m := range members {
			if err != nil || m.ID == "" || ids[m.ID] || CheckAddress("", m.Addr) != nil {
				t.Errorf("parsed the invalid member %+v, or one despite the error %v", m, err)
			}
			ids[m.ID] = true
		}
	})
}
