// Package rehearsals holds the days that ship with the program.
package rehearsals

import (
	"embed"
	"io/fs"
	"slices"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Default is the name of the day that is played when none is named.
const Default = "mini"

// Text is the file of a day by its name.
func Text(name string) ([]byte, bool) {
	text, err := files.ReadFile(name + ".toml")
	return text, err == nil
}

// Names are the days, in order.
func Names() []string {
	var out []string
	entries, _ := fs.ReadDir(files, ".") // embedded: can't fail
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".toml"))
	}
	slices.Sort(out)
	return out
}
