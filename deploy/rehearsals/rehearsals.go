// Package rehearsals embeds day files into the program. A day file describes a day, a scenario of load and faults that
// "tuliprock rehearse" simulates. The name of a day is the name of its file without ".toml".
package rehearsals

import (
	"embed"
	"io/fs"
	"slices"
	"strings"
)

//go:embed *.toml
var files embed.FS

// DefaultDay is the name of the day that "tuliprock rehearse" simulates if the command names none.
const DefaultDay = "mini"

// Text returns the contents of an embedded day file, and whether there is a day of this name.
func Text(name string) ([]byte, bool) {
	text, err := files.ReadFile(name + ".toml")
	return text, err == nil
}

// Names returns the names of all embedded days, sorted.
func Names() []string {
	var names []string
	entries, _ := fs.ReadDir(files, ".") // ReadDir does not fail for the root of embedded files
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}
