package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"tuliprock/balance"
)

// maxInternedStrings is the largest number of distinct strings that a message caches. A fleet has far fewer names.
const maxInternedStrings = 1 << 16

// maxMicroseconds is the largest number of microseconds that a time.Duration can represent.
const maxMicroseconds = int64(1<<63-1) / int64(time.Microsecond)

// presence tells whether a message must have a field.
type presence bool

const (
	optional presence = false
	required presence = true
)

// message is one line of a batch: a name, and fields of the form key=value, separated by tabs. One message is reused for all
// lines, so its name and fields are valid until the next line is parsed. Its accessors store the first error in err, which is
// checked once, after all fields were read and before any of their values is used.
type message struct {
	name     []byte
	fields   []field
	err      error
	interned map[string]string // strings that internedText has returned, kept for reuse by later lines
}

// field is a key=value pair of a message.
type field struct{ key, value []byte }

// parse splits a line into its name and fields. The Config field of a START message is its last one and extends to the end of the
// line, tabs included. An empty line gives a message without a name.
func (m *message) parse(line []byte) error {
	m.fields, m.err = m.fields[:0], nil
	name, rest, _ := bytes.Cut(line, []byte("\t"))
	m.name = name
	if len(name) == 0 {
		if len(line) > 0 {
			return errors.New("a line without a message name")
		}
		return nil
	}
	for len(rest) > 0 {
		key, afterKey, ok := bytes.Cut(rest, []byte("="))
		if !ok || len(key) == 0 || bytes.IndexByte(key, '\t') >= 0 {
			return fmt.Errorf("%s has a part that is not name=value", name)
		}
		value := afterKey
		if string(name) == "START" && string(key) == "Config" {
			rest = nil
		} else {
			value, rest, _ = bytes.Cut(afterKey, []byte("\t"))
		}
		m.fields = append(m.fields, field{key, value})
	}
	return nil
}

// fail stores an error in err, which keeps only the first error of a line.
func (m *message) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// lookup returns the value of the first field with the given key.
func (m *message) lookup(key string) (value []byte, ok bool) {
	for i := range m.fields {
		if string(m.fields[i].key) == key {
			return m.fields[i].value, true
		}
	}
	return nil, false
}

// unsigned returns the value of a field as a decimal number without a sign; a missing optional field is 0.
func (m *message) unsigned(key string, need presence) uint64 {
	value, ok := m.lookup(key)
	if !ok {
		if need == required {
			m.fail("%s is missing", key)
		}
		return 0
	}
	n, ok := parseUnsigned(value)
	if !ok {
		m.fail("%s=%.40q is not a number", key, value)
	}
	return n
}

// parseUnsigned parses a decimal number like strconv.ParseUint, but does not allocate a string.
func parseUnsigned(digits []byte) (n uint64, ok bool) {
	if len(digits) == 0 || len(digits) > 20 {
		return 0, false
	}
	for _, c := range digits {
		if c < '0' || c > '9' || n > (1<<64-1-uint64(c-'0'))/10 {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, true
}

// integer returns the value of a field as a number that an int can represent.
func (m *message) integer(key string, need presence) int {
	n := m.unsigned(key, need)
	if n > 1<<63-1 {
		m.fail("%s is too large", key)
	}
	return int(n)
}

// microseconds returns the value of a field, which is a number of microseconds, as a duration.
func (m *message) microseconds(key string, need presence) time.Duration {
	n := m.unsigned(key, need)
	if n > uint64(maxMicroseconds) {
		m.fail("%s is too large a time", key)
	}
	return time.Duration(n) * time.Microsecond
}

// bytes returns the unchanged value of a field. A required field must not be empty.
func (m *message) bytes(key string, need presence) []byte {
	value, ok := m.lookup(key)
	if need == required && len(value) == 0 {
		if ok {
			m.fail("%s is empty", key)
		} else {
			m.fail("%s is missing", key)
		}
	}
	return value
}

// text returns the value of a field as a string, which stays valid when the next line is parsed.
func (m *message) text(key string, need presence) string { return string(m.bytes(key, need)) }

// requestID returns the ID of the request that the message is about.
func (m *message) requestID() string { return m.text("Rid", required) }

// internedText returns the value of a field like text, but caches the string. It is for fields with few distinct values, such as
// classes and endpoints.
func (m *message) internedText(key string, need presence) string {
	value := m.bytes(key, need)
	if s, ok := m.interned[string(value)]; ok {
		return s
	}
	s := string(value)
	if len(m.interned) < maxInternedStrings {
		m.interned[s] = s
	}
	return s
}

// result returns the result of an attempt or a load probe, which is the field StateCode.
func (m *message) result() balance.Result {
	switch value := m.bytes("StateCode", required); string(value) {
	case "Ok":
		return balance.OK
	case "Failed":
		return balance.ErrorResponse
	case "QueueFull":
		return balance.Rejected
	case "TimedOut":
		return balance.TimedOut
	case "ConnectError":
		return balance.ConnectFailed
	case "ResetByPeer":
		return balance.Reset
	case "Canceled":
		return balance.Canceled
	case "Ignored":
		return balance.NotSent
	default:
		m.fail("unknown StateCode %q", value)
		return balance.ErrorResponse
	}
}

// load returns the load report in the field Load, which is a list of name:value pairs. Its "active" value is the number of
// requests that the endpoint serves or has queued.
func (m *message) load() (load balance.Load) {
	rest := m.bytes("Load", optional)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte(","))
		name, text, ok := bytes.Cut(pair, []byte(":"))
		value, err := strconv.ParseFloat(string(text), 64)
		if !ok || err != nil {
			m.fail("Load has a part %.40q that is not name:value", pair)
			return balance.Load{}
		}
		if string(name) == "active" {
			load.IsReported, load.Requests = true, value
		}
	}
	return load
}
