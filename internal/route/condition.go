package route

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// String says what a request lacks that does not meet the condition.
func (c *Condition) String() string {
	switch c.Operator {
	case Absent:
		return fmt.Sprintf("%s is there, and must not be", c.Name)
	case Equal:
		return fmt.Sprintf("%s is not %q", c.Name, c.Value)
	case HasPrefix:
		return fmt.Sprintf("%s does not begin with %q", c.Name, c.Value)
	}
	return fmt.Sprintf("%s is missing", c.Name)
}

// matchesHeader needs a canonical name in the condition.
func (c *Condition) matchesHeader(h http.Header) bool {
	values := h[c.Name]
	if c.Operator == Absent {
		return len(values) == 0
	}
	return slices.ContainsFunc(values, c.matchesValue)
}

// matchesQuery goes through a raw query without building a map of it.
func (c *Condition) matchesQuery(rawQuery string) bool {
	for rawQuery != "" {
		var pair string
		pair, rawQuery, _ = strings.Cut(rawQuery, "&")
		name, value, _ := strings.Cut(pair, "=")
		if unescapeQuery(name) == c.Name && (c.Operator == Absent || c.matchesValue(unescapeQuery(value))) {
			return c.Operator != Absent
		}
	}
	return c.Operator == Absent
}

// matchesValue compares a value that is present.
func (c *Condition) matchesValue(value string) bool {
	switch c.Operator {
	case Equal:
		return value == c.Value
	case HasPrefix:
		return strings.HasPrefix(value, c.Value)
	}
	return true
}

// isImpliedBy reports whether the condition holds wherever another holds. It may return false for one that does.
func (c Condition) isImpliedBy(other Condition) bool {
	switch {
	case c == other:
		return true
	case c.Name != other.Name || c.Operator == Absent || other.Operator == Absent:
		return false
	case c.Operator == Present:
		return true
	}
	return c.Operator == HasPrefix && other.Operator != Present && strings.HasPrefix(other.Value, c.Value)
}

// unescapeQuery decodes a name or value of a query as forms are decoded. A malformed one is returned as it is.
func unescapeQuery(s string) string {
	if !strings.ContainsAny(s, "%+") {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '+':
			b.WriteByte(' ')
		case s[i] == '%' && i+2 < len(s) && hexValue(s[i+1]) >= 0 && hexValue(s[i+2]) >= 0:
			b.WriteByte(byte(hexValue(s[i+1])<<4 | hexValue(s[i+2])))
			i += 2
		case s[i] == '%':
			return s
		default:
			b.WriteByte(s[i])
		}
	}
	return b.String()
}
