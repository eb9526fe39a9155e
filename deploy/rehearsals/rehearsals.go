// Package rehearsals embeds the files of the days that ship with the program. A day is a scenario of load and faults that
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

// Text returns the contents of the file of a day that ships, and whether there is a day of this name.
func Text(name string) ([]byte, bool) {
	text, err := files.ReadFile(name + ".toml")
	return text, err == nil
}

// Names returns the names of the days that ship, sorted.
func Names() []string {
	var names []string
	entries, _ := fs.ReadDir(files, ".") // reading the root of embedded files does not fail
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	slices.Sort(names)
	return names
}
