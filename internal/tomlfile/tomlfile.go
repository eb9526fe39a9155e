// Package tomlfile reads TOML files strictly into structs: unknown fields are errors, numbers and durations may be given
// as ranges, and each error names file, line and field in one line.
package tomlfile

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Error is what is wrong with a file. Its text is one line.
type Error struct {
	File    string
	Line    int    // from 1; 0: of the file as a whole
	Field   string // as in tier[0].cores, counted from 0; empty: none in particular
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

// Range is a number, or two between which one is drawn.
type Range struct{ Lo, Hi float64 }

// At is the number at a share of the way, 0 to 1.
func (r Range) At(share float64) float64 { return r.Lo + (r.Hi-r.Lo)*share }

// Span is a duration, or two between which one is drawn.
type Span struct{ Lo, Hi time.Duration }

// At is the duration at a share of the way, 0 to 1.
func (s Span) At(share float64) time.Duration {
	return s.Lo + time.Duration(float64(s.Hi-s.Lo)*share)
}

// File knows where the fields of a file stand.
type File struct {
	name  string
	lines map[string]int
}

// Errorf is an Error at a field, or at the nearest one round it that stands in the file.
func (f *File) Errorf(field, format string, args ...any) error {
	line := 0
	for at := field; at != ""; {
		if n, ok := f.lines[at]; ok {
			line = n
			break
		}
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	return &Error{File: f.name, Line: line, Field: field, Problem: fmt.Sprintf(format, args...)}
}

// Must is one thing that has to hold of a field. Need makes one.
type Must struct {
	field    string
	isMet    bool
	expected string
}

// Need wants a field to be as described, and is told whether it is.
func Need(field string, ok bool, be string) Must { return Must{field, ok, be} }

// Check gives an Error for the first that does not hold. Fields are below under, which may be empty.
func (f *File) Check(under string, list []Must) error {
	for _, m := range list {
		if !m.isMet {
			return f.Errorf(join(under, m.field), "must be %s", m.expected)
		}
	}
	return nil
}

// Has tells whether a field stands in the file.
func (f *File) Has(field string) bool { return f.lines[field] > 0 }

// Decode reads a text into a struct, by its toml tags. Fields that the text lacks are left as they are, so that defaults
// can be set before; but an array of tables starts empty. Of several errors the first in the file is returned.
func Decode(name string, text []byte, into any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		var syntax *toml.DecodeError
		if errors.As(err, &syntax) {
			line, _ := syntax.Position()
			return f, &Error{File: name, Line: line, Field: strings.Join(syntax.Key(), "."), Problem: syntax.Error()}
		}
		return f, &Error{File: name, Problem: err.Error()}
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

// indexLines notes the line of each key and table. The text has been parsed before.
func (f *File) indexLines(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	prefix, count := "", map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.Table:
			prefix = f.recordLine(&p, "", e.Key(), count)
		case unstable.ArrayTable:
			count[f.path("", e.Key(), count, true)]++
			prefix = f.recordLine(&p, "", e.Key(), count)
		case unstable.KeyValue:
			f.recordValueLines(&p, prefix, e)
		}
	}
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// path is the full name of a key; the last part of an array table's own name gets no index if bare is set.
func (f *File) path(prefix string, key unstable.Iterator, count map[string]int, bare bool) string {
	for key.Next() {
		prefix = join(prefix, string(key.Node().Data))
		if n := count[prefix]; n > 0 && (!bare || !key.IsLast()) {
			prefix = fmt.Sprintf("%s[%d]", prefix, n-1)
		}
	}
	return prefix
}

func (f *File) recordLine(p *unstable.Parser, prefix string, key unstable.Iterator, count map[string]int) string {
	line := 0
	for key := key; key.Next(); {
		line = p.Shape(key.Node().Raw).Start.Line
	}
	path := f.path(prefix, key, count, false)
	f.lines[path] = line
	return path
}

func (f *File) recordValueLines(p *unstable.Parser, prefix string, e *unstable.Node) {
	path := f.recordLine(p, prefix, e.Key(), nil)
	if e.Value().Kind == unstable.InlineTable {
		for it := e.Value().Children(); it.Next(); {
			f.recordValueLines(p, path, it.Node())
		}
	}
}

type decoder struct {
	file *File
	errs []*Error
}

func (d *decoder) fail(path, format string, args ...any) {
	d.errs = append(d.errs, d.file.Errorf(path, format, args...).(*Error))
}

func (d *decoder) table(path string, tree map[string]any, into reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range into.NumField() {
		if tag := into.Type().Field(i).Tag.Get("toml"); tag != "" {
			fields[tag] = into.Field(i)
		}
	}
	for key, value := range tree {
		field, ok := fields[key]
		if !ok {
			d.fail(join(path, key), "unknown field")
			continue
		}
		d.value(join(path, key), value, field)
	}
}

var (
	rangeType    = reflect.TypeFor[Range]()
	spanType     = reflect.TypeFor[Span]()
	durationType = reflect.TypeFor[time.Duration]()
)

func (d *decoder) value(path string, value any, into reflect.Value) {
	switch into.Type() {
	case rangeType:
		lo, hi, ok := lowAndHigh(value, number)
		if !ok || lo > hi {
			d.fail(path, "%v is neither a number nor two in order", value)
			return
		}
		into.Set(reflect.ValueOf(Range{lo, hi}))
		return
	case spanType:
		lo, hi, ok := lowAndHigh(value, duration)
		if !ok || lo > hi {
			d.fail(path, `%v is neither a duration ("1.5s") nor two in order`, value)
			return
		}
		into.Set(reflect.ValueOf(Span{lo, hi}))
		return
	case durationType:
		v, ok := duration(value)
		if !ok {
			d.fail(path, `%v is no duration ("1.5s")`, value)
			return
		}
		into.SetInt(int64(v))
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(path, value, into.Elem())
	case reflect.Struct:
		tree, ok := value.(map[string]any)
		if !ok {
			d.fail(path, "a table is wanted")
			return
		}
		d.table(path, tree, into)
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			d.fail(path, "a list is wanted")
			return
		}
		into.Set(reflect.MakeSlice(into.Type(), len(list), len(list)))
		for i, v := range list {
			d.value(fmt.Sprintf("%s[%d]", path, i), v, into.Index(i))
		}
	default:
		d.scalar(path, value, into)
	}
}

func (d *decoder) scalar(path string, value any, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		if v, ok := value.(string); ok {
			into.SetString(v)
			return
		}
		d.fail(path, "%v is no text", value)
	case reflect.Bool:
		if v, ok := value.(bool); ok {
			into.SetBool(v)
			return
		}
		d.fail(path, "%v is neither true nor false", value)
	case reflect.Int, reflect.Int64:
		if v, ok := value.(int64); ok {
			into.SetInt(v)
			return
		}
		d.fail(path, "%v is no whole number", value)
	case reflect.Uint64:
		if v, ok := value.(int64); ok && v >= 0 {
			into.SetUint(uint64(v))
			return
		}
		d.fail(path, "%v is no whole number from 0 up", value)
	case reflect.Float64:
		if v, ok := number(value); ok {
			into.SetFloat(v)
			return
		}
		d.fail(path, "%v is no number", value)
	default:
		d.fail(path, "can't be set")
	}
}

// lowAndHigh reads one value or a list of two.
func lowAndHigh[T any](value any, read func(any) (T, bool)) (lo, hi T, ok bool) {
	if list, isList := value.([]any); isList {
		if len(list) != 2 {
			return lo, hi, false
		}
		lo, ok = read(list[0])
		if ok {
			hi, ok = read(list[1])
		}
		return lo, hi, ok
	}
	lo, ok = read(value)
	return lo, lo, ok
}

func number(value any) (float64, bool) {
	switch v := value.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, !math.IsNaN(v) && !math.IsInf(v, 0)
	}
	return 0, false
}

func duration(value any) (time.Duration, bool) {
	text, ok := value.(string)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	return d, err == nil && d >= 0
}
