package tomlfile

import (
	"strconv"
	"strings"
)

// Error is what is wrong with a file. Its text is one line.
type Error struct {
	File    string
	Line    int    // from 1; 0: the file as a whole, or unknown
	Field   string // as in tier[0].cores, with indexes from 0; empty: none in particular
	Problem string
}

func (e *Error) Error() string {
	where := e.File
	if e.Line > 0 {
		where += ":" + strconv.Itoa(e.Line)
	}
	if e.Field != "" {
		where += ": " + e.Field
	}
	return where + ": " + strings.ReplaceAll(e.Problem, "\n", " ")
}
