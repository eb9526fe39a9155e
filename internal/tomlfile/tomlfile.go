// Package tomlfile reads TOML files strictly into structs. Unknown fields are errors, numbers and durations may be given
// as ranges, and every error is one line that names file, line and field.
//
// Decode fills a struct by its toml tags and returns a File, which knows the line of each field. The caller then checks
// values and reports what it finds through File.Check and File.Errorf.
//
// The package has no goroutines and keeps no state. A File does not change after Decode, and may be used concurrently.
package tomlfile

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File knows at which line each field and table of a file is.
type File struct {
	name  string
	lines map[string]int // by full name of the field or table, as in tier[0].cores
}

// Decode reads a text into the struct that into points to, by its toml tags. name stands for the file in errors. Fields
// that the text leaves out keep their values, so that defaults can be set before; but the elements of an array of tables
// start from zero values. Of several errors the first in the file is returned, an *Error.
func Decode(name string, text []byte, into any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return f, f.syntaxError(err)
	}
	f.indexLines(text)
	d := decoder{file: f}
	d.table("", tree, reflect.ValueOf(into).Elem())
	if len(d.errs) == 0 {
		return f, nil
	}
	slices.SortStableFunc(d.errs, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	return f, d.errs[0]
}

// Has reports whether the file states a field.
func (f *File) Has(field string) bool { return f.lines[field] > 0 }

// Errorf returns an *Error at a field. Where the file does not state the field, the line is that of the innermost table
// around it that is in the file.
func (f *File) Errorf(field, format string, args ...any) error {
	return f.errorAt(field, fmt.Sprintf(format, args...))
}

func (f *File) errorAt(field, problem string) *Error {
	line := 0
	for enclosing := field; enclosing != ""; {
		if n, ok := f.lines[enclosing]; ok {
			line = n
			break
		}
		enclosing = enclosing[:max(strings.LastIndexAny(enclosing, ".["), 0)]
	}
	return &Error{File: f.name, Line: line, Field: field, Problem: problem}
}

// syntaxError converts an error of the TOML parser.
func (f *File) syntaxError(err error) *Error {
	var syntax *toml.DecodeError
	if !errors.As(err, &syntax) {
		return &Error{File: f.name, Problem: err.Error()}
	}
	line, _ := syntax.Position()
	return &Error{File: f.name, Line: line, Field: strings.Join(syntax.Key(), "."), Problem: syntax.Error()}
}

// join is the full name of a key in a table; the file's own table has an empty name.
func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
