package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"tuliprock/balance"
)

// maxInterned bounds how many distinct values a message keeps for reuse. It is far above the names that one fleet has.
const maxInterned = 1 << 16

// maxMicros is the largest count of microseconds that a time.Duration can hold.
const maxMicros = int64(1<<63-1) / int64(time.Microsecond)

// presence says whether a message must have a field.
type presence bool

const (
	optional presence = false
	required presence = true
)

// message is one line of a batch: a name, and fields of the form key=value, separated by tabs. It is reused from line to
// line, and what it holds is valid until the next line is parsed. The accessors keep the first error in err; err is
// checked once, after all fields were read and before any of their values is used.
type message struct {
	name     []byte
	fields   []field
	err      error
	interned map[string]string // outlives the line
}

type field struct{ key, value []byte }

// parse splits a line into its name and fields. The last field of START, its Config, runs to the end of the line, tabs
// included. A line without a byte gives a message without a name.
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
		key, after, ok := bytes.Cut(rest, []byte("="))
		if !ok || len(key) == 0 || bytes.IndexByte(key, '\t') >= 0 {
			return fmt.Errorf("%s has a part that is not name=value", name)
		}
		value := after
		if string(name) == "START" && string(key) == "Config" {
			rest = nil
		} else {
			value, rest, _ = bytes.Cut(after, []byte("\t"))
		}
		m.fields = append(m.fields, field{key, value})
	}
	return nil
}

// fail keeps an error unless there already is one.
func (m *message) fail(format string, args ...any) {
	if m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

// lookup returns the value of the first field of a key.
func (m *message) lookup(key string) (value []byte, ok bool) {
	for i := range m.fields {
		if string(m.fields[i].key) == key {
			return m.fields[i].value, true
		}
	}
	return nil, false
}

// unsigned reads a decimal number without a sign; a field that is absent and optional is 0.
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

// parseUnsigned is strconv.ParseUint in base 10 without the allocation of a string.
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

// integer reads a number that an int can hold.
func (m *message) integer(key string, need presence) int {
	n := m.unsigned(key, need)
	if n > 1<<63-1 {
		m.fail("%s is too large", key)
	}
	return int(n)
}

// microseconds reads a number of microseconds.
func (m *message) microseconds(key string, need presence) time.Duration {
	n := m.unsigned(key, need)
	if n > uint64(maxMicros) {
		m.fail("%s is too large a time", key)
	}
	return time.Duration(n) * time.Microsecond
}

// bytes reads a value as it is. One that is required must not be empty.
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

// text is bytes as a string of its own.
func (m *message) text(key string, need presence) string { return string(m.bytes(key, need)) }

// requestID reads the id of the request that the message is about.
func (m *message) requestID() string { return m.text("Rid", required) }

// internedText reads a value of which few different ones come, such as a class or an endpoint, without a new string each time.
func (m *message) internedText(key string, need presence) string {
	value := m.bytes(key, need)
	if s, ok := m.interned[string(value)]; ok {
		return s
	}
	s := string(value)
	if len(m.interned) < maxInterned {
		m.interned[s] = s
	}
	return s
}

// result reads how an attempt or a health check ended.
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

// load reads a load report, which is a list of name:value pairs. The requests that an endpoint holds are its "active"
// value, the queued ones included.
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
			load.Known, load.Requests = true, value
		}
	}
	return load
}
