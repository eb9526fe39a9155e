// Package rehearsals embeds files of days in the program. A day is a scenario of load and faults that
// "tuliprock rehearse" runs.
package rehearsals

import (
	"embed"
	"io/fs"
	"slices"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Default is the name of the day that is run if none is given.
const Default = "mini"

// Text returns the contents of the embedded file of a day, and whether there is a file of this name.
func Text(name string) ([]byte, bool) {
	text, err := files.ReadFile(name + ".toml")
	return text, err == nil
}

// Names returns the names of the days whose files are embedded, sorted.
func Names() []string {
	var names []string
	entries, _ := fs.ReadDir(files, ".") // reading the root of embedded files does not fail
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}
