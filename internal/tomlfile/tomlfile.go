// Package tomlfile reads TOML files strictly into structs. Unknown fields are errors, numbers and durations may be given
// as ranges, and every error is a single line that names the file, the line and the field.
//
// Decode fills a struct according to its toml tags and returns a File, which maps each field to its line. The caller
// then checks the values, and reports invalid ones with File.Check and File.Errorf.
//
// The package starts no goroutines and has no global state. A File does not change after Decode and may be used
// concurrently.
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

// File maps the fields and tables of a TOML file to their line numbers, so that errors can name the line.
type File struct {
	name  string         // file's name in errors
	lines map[string]int // line numbers, from 1, by full name of the field or table, as in tier[0].cores
}

// Decode parses text into the struct that into points to, according to its toml tags. name is the file's name in
// errors. Fields that the text leaves out keep their values, so defaults can be set before the call; but the elements
// of an array start from zero values. Errors are of type *Error; if there are several, the first one in the file is
// returned.
func Decode(name string, text []byte, into any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return f, f.syntaxError(err)
	}
	f.indexLines(text)
	d := decoder{file: f}
	d.decodeTable("", tree, reflect.ValueOf(into).Elem())
	if len(d.errs) == 0 {
		return f, nil
	}
	slices.SortStableFunc(d.errs, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	return f, d.errs[0]
}

// Has reports whether a field, given by its full name, is present in the file.
func (f *File) Has(field string) bool { return f.lines[field] > 0 }

// Errorf returns an *Error for a field, which is given by its full name. If the field is not present in the file, the error has
// the line of the innermost enclosing table that is present.
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

// syntaxError converts an error of the TOML parser to an *Error.
func (f *File) syntaxError(err error) *Error {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return &Error{File: f.name, Problem: err.Error()}
	}
	line, _ := decodeErr.Position()
	return &Error{File: f.name, Line: line, Field: strings.Join(decodeErr.Key(), "."), Problem: decodeErr.Error()}
}

// joinName returns the full name of a key in a table. The empty table name stands for the top level of the file.
func joinName(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
