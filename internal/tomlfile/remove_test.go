package tomlfile

import (
	"bytes"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func TestRemoveTopLevelKeepsRestAsWritten(t *testing.T) {
	text := `# head
format = 1
daemon = { name = "d", admin_addr = "a:1" }
listener = [
  { name = "in" }, # in brackets
]
# of the class
[[class]]
name = "daemon"   # only its name

# of the fleet
[fleet]
name = "x"
join = ["a",
  "b"]
[fleet.more]
z = """
[[class]]
"""
[[pool]]
name = "p"
[[pool.member]]
address = "a:1"
[daemon.more]
x = 1
[[route]]
pool = "p"`
	want := `# head
format = 1
# of the class
[[class]]
name = "daemon"   # only its name

[[pool]]
name = "p"
[[pool.member]]
address = "a:1"
[[route]]
pool = "p"`
	rest, found := RemoveTopLevel([]byte(text), "daemon", "listener", "fleet", "nothing")
	if string(rest) != want || !slices.Equal(found, []string{"daemon", "listener", "fleet"}) {
		t.Errorf("found %v, want [daemon listener fleet]; rest:\n%s\nwant:\n%s", found, rest, want)
	}
	if secondRest, found := RemoveTopLevel(rest, "daemon", "listener", "fleet"); string(secondRest) != want || found != nil {
		t.Errorf("the second removal found %v, and left:\n%s\nwant nothing found and an unchanged text", found, secondRest)
	}
}

// For any valid text, the rest is valid TOML and decodes to the original values without the removed key.
func FuzzRemoveTopLevel(f *testing.F) {
	f.Add([]byte("a = 1\n# b\n[b]\nc = [1,\n2]\n[[a]]\n[b.d]\n"))
	f.Add([]byte("a.b = 1\n\"a\" . c = 2\n['b']\nx = \"\"\"\n[a]\n\"\"\""))
	f.Fuzz(func(t *testing.T, text []byte) {
		var tree, remaining map[string]any
		if toml.Unmarshal(text, &tree) != nil {
			return
		}
		rest, _ := RemoveTopLevel(text, "a")
		if err := toml.Unmarshal(rest, &remaining); err != nil {
			t.Fatalf("the rest %q of %q is invalid: %v", rest, text, err)
		}
		delete(tree, "a")
		want, err := toml.Marshal(tree)
		if err != nil {
			return
		}
		got, err := toml.Marshal(remaining)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("the rest %q of %q decodes to %q (error %v), want %q", rest, text, got, err, want)
		}
	})
}
