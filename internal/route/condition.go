package route

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// String describes why a request does not meet the condition.
func (c *Condition) String() string {
	switch c.Operator {
	case Absent:
		return fmt.Sprintf("%s is present, but must be absent", c.Name)
	case Equal:
		return fmt.Sprintf("%s is not %q", c.Name, c.Value)
	case HasPrefix:
		return fmt.Sprintf("%s does not begin with %q", c.Name, c.Value)
	}
	return fmt.Sprintf("%s is missing", c.Name)
}

// matchesHeader reports whether a header meets the condition, whose name must be canonical.
func (c *Condition) matchesHeader(h http.Header) bool {
	values := h[c.Name]
	if c.Operator == Absent {
		return len(values) == 0
	}
	return slices.ContainsFunc(values, c.matchesValue)
}

// matchesQuery reports whether a raw query meets the condition. It scans the query in place, which spares building a map.
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

// matchesValue reports whether a value in a request meets the condition, whose operator must not be Absent.
func (c *Condition) matchesValue(value string) bool {
	switch c.Operator {
	case Equal:
		return value == c.Value
	case HasPrefix:
		return strings.HasPrefix(value, c.Value)
	}
	return true
}

// isImpliedBy reports whether every request that meets the other condition meets this condition, too. A result of true is always
// correct, but false may be wrong.
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

// unescapeQuery decodes a name or value of a query by the rules of HTML forms, where "+" stands for a space. A malformed name or
// value is returned unchanged.
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
