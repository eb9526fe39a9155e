package tomlfile

import (
	"fmt"
	"math"
	"reflect"
	"time"
)

// decoder sets the fields of a struct from a parsed file, and collects all errors that it finds.
type decoder struct {
	file *File // source of line numbers for errors
	errs []*Error
}

// addError records an error about a field, which is given by its full name.
func (d *decoder) addError(field, format string, args ...any) {
	d.errs = append(d.errs, d.file.errorAt(field, fmt.Sprintf(format, args...)))
}

// decodeTable sets the fields of a struct from the keys of a table; name is the table's full name.
func (d *decoder) decodeTable(name string, tree map[string]any, into reflect.Value) {
	fields := map[string]reflect.Value{}
	for i := range into.NumField() {
		if tag := into.Type().Field(i).Tag.Get("toml"); tag != "" {
			fields[tag] = into.Field(i)
		}
	}
	for key, value := range tree {
		field, ok := fields[key]
		if !ok {
			d.addError(joinName(name, key), "unknown field")
			continue
		}
		d.decodeValue(joinName(name, key), value, field)
	}
}

var (
	numberRangeType   = reflect.TypeFor[NumberRange]()
	durationRangeType = reflect.TypeFor[DurationRange]()
	durationType      = reflect.TypeFor[time.Duration]()
)

// decodeValue sets a field of a struct, or an element of an array, to a value of the parsed file; field is its full name. Ranges and
// durations are recognized by their Go types first, since their reflect.Kinds are those of ordinary structs and integers.
func (d *decoder) decodeValue(field string, value any, into reflect.Value) {
	switch into.Type() {
	case numberRangeType:
		d.decodeNumberRange(field, value, into)
		return
	case durationRangeType:
		d.decodeDurationRange(field, value, into)
		return
	case durationType:
		v, ok := parseDuration(value)
		if !ok {
			d.addError(field, `%v is not a duration like "1.5s"`, value)
			return
		}
		into.SetInt(int64(v))
		return
	}
	switch into.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		d.decodeValue(field, value, into.Elem())
	case reflect.Struct:
		tree, ok := value.(map[string]any)
		if !ok {
			d.addError(field, "must be a table")
			return
		}
		d.decodeTable(field, tree, into)
	case reflect.Slice:
		d.decodeArray(field, value, into)
	default:
		d.decodeScalar(field, value, into)
	}
}

func (d *decoder) decodeNumberRange(field string, value any, into reflect.Value) {
	lo, hi, ok := parseRange(value, parseNumber)
	if !ok || lo > hi {
		d.addError(field, "%v is neither a number nor an array of two numbers, the lower bound first", value)
		return
	}
	into.Set(reflect.ValueOf(NumberRange{lo, hi}))
}

func (d *decoder) decodeDurationRange(field string, value any, into reflect.Value) {
	lo, hi, ok := parseRange(value, parseDuration)
	if !ok || lo > hi {
		d.addError(field, `%v is neither a duration like "1.5s" nor an array of two durations, the lower bound first`, value)
		return
	}
	into.Set(reflect.ValueOf(DurationRange{lo, hi}))
}

func (d *decoder) decodeArray(field string, value any, into reflect.Value) {
	list, ok := value.([]any)
	if !ok {
		d.addError(field, "must be an array")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list), len(list)))
	for i, element := range list {
		d.decodeValue(fmt.Sprintf("%s[%d]", field, i), element, into.Index(i))
	}
}

func (d *decoder) decodeScalar(field string, value any, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		if v, ok := value.(string); ok {
			into.SetString(v)
			return
		}
		d.addError(field, "%v is not a string", value)
	case reflect.Bool:
		if v, ok := value.(bool); ok {
			into.SetBool(v)
			return
		}
		d.addError(field, "%v is neither true nor false", value)
	case reflect.Int, reflect.Int64:
		if v, ok := value.(int64); ok {
			into.SetInt(v)
			return
		}
		d.addError(field, "%v is not an integer", value)
	case reflect.Uint64:
		if v, ok := value.(int64); ok && v >= 0 {
			into.SetUint(uint64(v))
			return
		}
		d.addError(field, "%v is not an integer of at least 0", value)
	case reflect.Float64:
		if v, ok := parseNumber(value); ok {
			into.SetFloat(v)
			return
		}
		d.addError(field, "%v is not a finite number", value)
	default:
		d.addError(field, "fields of type %v are not supported", into.Type())
	}
}

// parseRange parses an array of two bounds, or one value that is both bounds. It does not check that the lower bound is first.
func parseRange[T any](value any, parse func(any) (T, bool)) (lo, hi T, ok bool) {
	list, isList := value.([]any)
	if !isList {
		lo, ok = parse(value)
		return lo, lo, ok
	}
	if len(list) != 2 {
		return lo, hi, false
	}
	if lo, ok = parse(list[0]); ok {
		hi, ok = parse(list[1])
	}
	return lo, hi, ok
}

// parseNumber returns a finite integer or floating-point number as a float64.
func parseNumber(value any) (float64, bool) {
	switch v := value.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, !math.IsNaN(v) && !math.IsInf(v, 0)
	}
	return 0, false
}

// parseDuration parses a non-negative duration in the syntax of time.ParseDuration.
func parseDuration(value any) (time.Duration, bool) {
	text, ok := value.(string)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	return d, err == nil && d >= 0
}
