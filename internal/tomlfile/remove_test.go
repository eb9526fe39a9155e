package tomlfile

import (
	"bytes"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

func TestWithout(t *testing.T) {
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
	rest, had := RemoveTopLevel([]byte(text), "daemon", "listener", "fleet", "nothing")
	if string(rest) != want || !slices.Equal(had, []string{"daemon", "listener", "fleet"}) {
		t.Errorf("%v:\n%s", had, rest)
	}
	if again, had := RemoveTopLevel(rest, "daemon", "listener", "fleet"); string(again) != want || had != nil {
		t.Errorf("again %v:\n%s", had, again)
	}
}

// Whatever is cut, what is left is sound and has nothing of what was to go, and the rest means what it meant.
func FuzzWithout(f *testing.F) {
	f.Add([]byte("a = 1\n# b\n[b]\nc = [1,\n2]\n[[a]]\n[b.d]\n"))
	f.Add([]byte("a.b = 1\n\"a\" . c = 2\n['b']\nx = \"\"\"\n[a]\n\"\"\""))
	f.Fuzz(func(t *testing.T, text []byte) {
		var tree, left map[string]any
		if toml.Unmarshal(text, &tree) != nil {
			return
		}
		rest, _ := RemoveTopLevel(text, "a")
		if err := toml.Unmarshal(rest, &left); err != nil {
			t.Fatalf("%q of %q: %v", rest, text, err)
		}
		delete(tree, "a")
		was, err := toml.Marshal(tree)
		if err != nil {
			return
		}
		is, err := toml.Marshal(left)
		if err != nil || !bytes.Equal(was, is) {
			t.Fatalf("%q of %q: %q, %v; want %q", rest, text, is, err, was)
		}
	})
}
