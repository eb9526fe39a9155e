package route

import (
	"fmt"
	"slices"
	"strings"
)

// Refusal is why a rule does not take a request; empty: it does.
func (t *Table) Refusal(i int, r *Request) string {
	c := &t.rules[i]
	switch {
	case len(c.Hosts) > 0 && !slices.ContainsFunc(c.Hosts, func(h string) bool { return hostMatches(h, r.Host) }):
		return fmt.Sprintf("host %q is none of %s", r.Host, strings.Join(c.Hosts, ", "))
	case !c.pathMatches(r.Path):
		return fmt.Sprintf("path %q does not match %q", r.Path, c.Path)
	case len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method):
		return fmt.Sprintf("method %s is none of %s", r.Method, strings.Join(c.Methods, ", "))
	}
	for i := range c.Headers {
		if !c.Headers[i].matchesHeader(r.Header) {
			return "header " + c.Headers[i].String()
		}
	}
	for i := range c.Query {
		if !c.Query[i].matchesQuery(r.RawQuery) {
			return "query value " + c.Query[i].String()
		}
	}
	return ""
}

// String says what the condition wants, as what is missing.
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

func hostMatches(pattern, host string) bool {
	if rest, ok := strings.CutPrefix(pattern, "*"); ok {
		return len(host) > len(rest) && strings.HasSuffix(host, rest)
	}
	return pattern == host
}

func (c *compiledRule) pathMatches(path string) bool {
	switch c.Kind {
	case Exact:
		return path == c.Path
	case Prefix:
		return strings.HasPrefix(path, c.Path)
	case Segments:
		return c.segmentsMatch(path)
	case Pattern:
		return c.pattern.MatchString(path)
	}
	return true
}

func (c *compiledRule) segmentsMatch(path string) bool {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if c.endsWithRest {
		if len(c.segments) == 0 {
			return true
		}
		if len(parts) < len(c.segments) {
			return false
		}
		parts = parts[:len(c.segments)]
	}
	return slices.EqualFunc(c.segments, parts, func(want, got string) bool { return want == "*" && got != "" || want == got && want != "*" })
}

// Shadow is a rule that takes nothing: By, an earlier one, takes all that it would.
type Shadow struct{ Rule, By int }

// Unreachable finds rules that another before them shadows wholly. It does not look for those that several shadow together.
// Its time grows with the square of the number of rules that share a host.
func (t *Table) Unreachable() []Shadow {
	var out []Shadow
	for j := range t.rules {
		for i := range j {
			if t.rules[i].covers(&t.rules[j]) {
				out = append(out, Shadow{j, i})
				break
			}
		}
	}
	return out
}

// covers tells whether a rule takes all that another would.
func (c *compiledRule) covers(o *compiledRule) bool {
	return c.coversPath(o) &&
		(len(c.Hosts) == 0 || len(o.Hosts) > 0 && allMatch(o.Hosts, func(h string) bool {
			return slices.ContainsFunc(c.Hosts, func(p string) bool { return p == h || hostMatches(p, strings.TrimPrefix(h, "*")) })
		})) &&
		(len(c.Methods) == 0 || len(o.Methods) > 0 && allMatch(o.Methods, func(m string) bool { return slices.Contains(c.Methods, m) })) &&
		allMatch(c.Headers, func(x Condition) bool { return slices.ContainsFunc(o.Headers, x.isImpliedBy) }) &&
		allMatch(c.Query, func(x Condition) bool { return slices.ContainsFunc(o.Query, x.isImpliedBy) })
}

func allMatch[T any](list []T, ok func(T) bool) bool {
	return !slices.ContainsFunc(list, func(v T) bool { return !ok(v) })
}

// isImpliedBy tells whether a condition holds wherever another does.
func (c Condition) isImpliedBy(o Condition) bool {
	switch {
	case c == o:
		return true
	case c.Name != o.Name || c.Operator == Absent || o.Operator == Absent:
		return false
	case c.Operator == Present:
		return true
	}
	return c.Operator == HasPrefix && o.Operator != Present && strings.HasPrefix(o.Value, c.Value)
}

func (c *compiledRule) coversPath(o *compiledRule) bool {
	switch {
	case c.Kind == AnyPath, c.Kind == Prefix && c.Path == "/", c.Kind == Segments && c.endsWithRest && len(c.segments) == 0:
		return true
	case o.Kind == Exact:
		return c.pathMatches(o.Path)
	case c.Kind == Prefix && o.Kind == Prefix:
		return strings.HasPrefix(o.Path, c.Path)
	case c.Kind == o.Kind && c.Path == o.Path:
		return true
	case c.Kind == Segments && o.Kind == Segments && c.endsWithRest:
		return len(o.segments) >= len(c.segments) && slices.EqualFunc(c.segments, o.segments[:len(c.segments)], func(x, y string) bool { return x == y || x == "*" && y != "" })
	}
	return false
}
