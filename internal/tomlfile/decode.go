package tomlfile

import (
	"fmt"
	"math"
	"reflect"
	"time"
)

// decoder sets a struct's fields from a parsed file, and collects errors.
type decoder struct {
	file *File
	errs []*Error
}

func (d *decoder) fail(field, format string, args ...any) {
	d.errs = append(d.errs, d.file.errorAt(field, fmt.Sprintf(format, args...)))
}

func (d *decoder) table(name string, tree map[string]any, into reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range into.NumField() {
		if tag := into.Type().Field(i).Tag.Get("toml"); tag != "" {
			fields[tag] = into.Field(i)
		}
	}
	for key, value := range tree {
		field, ok := fields[key]
		if !ok {
			d.fail(join(name, key), "unknown field")
			continue
		}
		d.value(join(name, key), value, field)
	}
}

var (
	rangeType    = reflect.TypeFor[NumberRange]()
	spanType     = reflect.TypeFor[DurationRange]()
	durationType = reflect.TypeFor[time.Duration]()
)

// value sets one field. The types of this package and durations come first: their kinds are those of other types, too.
func (d *decoder) value(field string, value any, into reflect.Value) {
	switch into.Type() {
	case rangeType:
		d.numberRange(field, value, into)
		return
	case spanType:
		d.durationRange(field, value, into)
		return
	case durationType:
		v, ok := duration(value)
		if !ok {
			d.fail(field, `%v is no duration ("1.5s")`, value)
			return
		}
		into.SetInt(int64(v))
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.value(field, value, into.Elem())
	case reflect.Struct:
		tree, ok := value.(map[string]any)
		if !ok {
			d.fail(field, "a table is wanted")
			return
		}
		d.table(field, tree, into)
	case reflect.Slice:
		d.list(field, value, into)
	default:
		d.scalar(field, value, into)
	}
}

func (d *decoder) numberRange(field string, value any, into reflect.Value) {
	lo, hi, ok := interval(value, number)
	if !ok || lo > hi {
		d.fail(field, "%v is neither a number nor two in order", value)
		return
	}
	into.Set(reflect.ValueOf(NumberRange{lo, hi}))
}

func (d *decoder) durationRange(field string, value any, into reflect.Value) {
	lo, hi, ok := interval(value, duration)
	if !ok || lo > hi {
		d.fail(field, `%v is neither a duration ("1.5s") nor two in order`, value)
		return
	}
	into.Set(reflect.ValueOf(DurationRange{lo, hi}))
}

func (d *decoder) list(field string, value any, into reflect.Value) {
	list, ok := value.([]any)
	if !ok {
		d.fail(field, "a list is wanted")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list), len(list)))
	for i, element := range list {
		d.value(fmt.Sprintf("%s[%d]", field, i), element, into.Index(i))
	}
}

func (d *decoder) scalar(field string, value any, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		if v, ok := value.(string); ok {
			into.SetString(v)
			return
		}
		d.fail(field, "%v is no text", value)
	case reflect.Bool:
		if v, ok := value.(bool); ok {
			into.SetBool(v)
			return
		}
		d.fail(field, "%v is neither true nor false", value)
	case reflect.Int, reflect.Int64:
		if v, ok := value.(int64); ok {
			into.SetInt(v)
			return
		}
		d.fail(field, "%v is no whole number", value)
	case reflect.Uint64:
		if v, ok := value.(int64); ok && v >= 0 {
			into.SetUint(uint64(v))
			return
		}
		d.fail(field, "%v is no whole number from 0 up", value)
	case reflect.Float64:
		if v, ok := number(value); ok {
			into.SetFloat(v)
			return
		}
		d.fail(field, "%v is no number", value)
	default:
		d.fail(field, "can't be set")
	}
}

// interval reads a list of two values, or one value that is both bounds. It does not compare them.
func interval[T any](value any, read func(any) (T, bool)) (lo, hi T, ok bool) {
	list, isList := value.([]any)
	if !isList {
		lo, ok = read(value)
		return lo, lo, ok
	}
	if len(list) != 2 {
		return lo, hi, false
	}
	if lo, ok = read(list[0]); ok {
		hi, ok = read(list[1])
	}
	return lo, hi, ok
}

// number reads a finite number.
func number(value any) (float64, bool) {
	switch v := value.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, !math.IsNaN(v) && !math.IsInf(v, 0)
	}
	return 0, false
}

// duration reads a duration in the form of time.ParseDuration that is not negative.
func duration(value any) (time.Duration, bool) {
	text, ok := value.(string)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	return d, err == nil && d >= 0
}
