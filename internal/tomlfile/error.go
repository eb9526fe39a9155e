package tomlfile

import (
	"strconv"
	"strings"
)

// Error describes a problem in a file. Its text is a single line.
type Error struct {
	File    string // file's name, as the caller of Decode gave it
	Line    int    // line number, from 1; 0 if unknown or if the problem concerns the whole file
	Field   string // full name of the field, as in tier[0].cores, with indexes from 0; empty if the problem is in no particular field
	Problem string
}

func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position += ":" + strconv.Itoa(e.Line)
	}
	if e.Field != "" {
		position += ": " + e.Field
	}
	return position + ": " + strings.ReplaceAll(e.Problem, "\n", " ")
}
