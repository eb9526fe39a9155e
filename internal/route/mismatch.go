package route

import (
	"fmt"
	"slices"
	"strings"
)

// Mismatch describes why the rule at an index of the table does not match a request. It returns "" if the rule matches.
//
// It compares each part of the rule directly, without the table's indexes, so that tests can check Match against it.
func (t *Table) Mismatch(index int, r *Request) string {
	c := &t.rules[index]
	switch {
	case !c.matchesHost(r.Host):
		return fmt.Sprintf("host %q is none of %s", r.Host, strings.Join(c.Hosts, ", "))
	case !c.matchesPath(r.Path):
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

func (c *compiledRule) matchesHost(host string) bool {
	return len(c.Hosts) == 0 || slices.ContainsFunc(c.Hosts, func(pattern string) bool { return matchesHost(pattern, host) })
}

func matchesHost(pattern, host string) bool {
	if suffix, ok := strings.CutPrefix(pattern, "*"); ok {
		return len(host) > len(suffix) && strings.HasSuffix(host, suffix)
	}
	return pattern == host
}

func (c *compiledRule) matchesPath(path string) bool {
	switch c.Kind {
	case Exact:
		return path == c.Path
	case Prefix:
		return strings.HasPrefix(path, c.Path)
	case Segments:
		return c.matchesSegments(path)
	case Pattern:
		return c.pattern.MatchString(path)
	}
	return true
}

func (c *compiledRule) matchesSegments(path string) bool {
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	if c.hasTrailingWildcard {
		if len(c.segments) == 0 {
			return true
		}
		if len(segments) < len(c.segments) {
			return false
		}
		segments = segments[:len(c.segments)]
	}
	return slices.EqualFunc(c.segments, segments, func(want, got string) bool {
		if want == wildcardSegment {
			return got != ""
		}
		return want == got
	})
}
